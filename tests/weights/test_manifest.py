"""Manifests and the blob store must not accept wrong or corrupt weights."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescuechute.weights import (
    BlobStore,
    ManifestError,
    digest_of,
    make_manifest,
    parse_manifest,
    split,
)

MANIFEST, DATA = make_manifest("m", "1", split(bytes(1000), 300))
BODY = json.loads(DATA)
HEX = BODY["blobs"][0][0]


@given(st.binary(max_size=2000), st.integers(1, 500))
def test_split_and_manifest_round_trip(data, chunk_bytes):
    """Guards against chunks that do not reassemble to the weights."""
    chunks = split(data, chunk_bytes)
    manifest, encoded = make_manifest("m", "1", chunks)
    assert b"".join(chunks) == data
    assert manifest.size == len(data)
    assert parse_manifest(encoded, digest_of(encoded)) == manifest
    assert manifest.digests == tuple(digest_of(chunk) for chunk in chunks)


def test_manifest_with_wrong_digest_is_rejected():
    """Guards against using a manifest that the note does not declare."""
    with pytest.raises(ManifestError, match="digest"):
        parse_manifest(DATA, digest_of(b"other"))


MALFORMED = {
    "not JSON": b"{",
    "not an object": b"[]",
    "missing key": json.dumps({k: v for k, v in BODY.items() if k != "size"}).encode(),
    "extra key": json.dumps({**BODY, "more": 1}).encode(),
    "other schema": json.dumps({**BODY, "schema": 2}).encode(),
    "boolean schema": json.dumps({**BODY, "schema": True}).encode(),
    "empty name": json.dumps({**BODY, "name": ""}).encode(),
    "version as number": json.dumps({**BODY, "version": 1}).encode(),
    "negative size": json.dumps({**BODY, "size": -1}).encode(),
    "size as text": json.dumps({**BODY, "size": "1000"}).encode(),
    "blobs as object": json.dumps({**BODY, "blobs": {}}).encode(),
    "sizes do not add up": json.dumps({**BODY, "size": 999}).encode(),
    "short digest": json.dumps({**BODY, "blobs": [["00", 1000]]}).encode(),
    "digest not hex": json.dumps({**BODY, "blobs": [["x" * 64, 1000]]}).encode(),
    "blob of no bytes": json.dumps({**BODY, "size": 0, "blobs": [[HEX, 0]]}).encode(),
    "boolean blob size": json.dumps({**BODY, "size": 1, "blobs": [[HEX, True]]}).encode(),
    "two sizes of one blob": json.dumps(
        {**BODY, "size": 3, "blobs": [[HEX, 1], [HEX, 2]]}
    ).encode(),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_manifest_is_rejected(name):
    """Guards against crashes on malformed manifests and their silent acceptance."""
    with pytest.raises(ManifestError) as caught:
        parse_manifest(MALFORMED[name], digest_of(MALFORMED[name]))
    assert caught.value.remedy


def test_store_rejects_a_blob_with_the_wrong_digest():
    """Guards against storing, uploading or staging a corrupt chunk."""
    store = BlobStore()
    assert not store.put(digest_of(b"a"), b"b")
    assert not store.has(digest_of(b"a"))
    assert store.put(digest_of(b"a"), b"a")
    assert not store.put(digest_of(b"a"), b"b"), (
        "other bytes must be rejected for a held digest too"
    )
    assert store.get(digest_of(b"a")) == b"a"
    assert store.bytes_held == 1


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("put"), st.integers(0, 99)),
            st.tuples(st.just("retain"), st.sets(st.integers(0, 99))),
            st.tuples(st.just("read"), st.just(0)),
        ),
        max_size=200,
    )
)
def test_cursor_lists_every_held_blob(steps):
    """Guards against blobs that are never announced to a peer, also after blobs were dropped."""
    store, cursor, announced, held = BlobStore(), 0, set(), set()
    for action, value in steps:
        if action == "put":
            data = bytes([value])
            store.put(digest_of(data), data)
            held.add(digest_of(data))
        elif action == "retain":
            keep = {digest_of(bytes([item])) for item in value}
            store.retain(keep)
            held &= keep
        else:
            added, cursor = store.added_since(cursor)
            assert len(set(added)) == len(added)
            announced |= set(added)
    announced |= set(store.added_since(cursor)[0])
    assert held <= announced
    assert set(store.added_since(0)[0]) == held
    assert store.bytes_held == len(held) == len(store)
