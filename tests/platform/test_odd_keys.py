"""Keys that are no text: guards against one key that stops the reading of a topic."""

import base64
import json
import struct

import pytest

from fescuechute.checks import Address
from fescuechute.errors import PlatformError
from fescuechute.feeds import RecordBatch, SnapshotPage
from fescuechute.net import HttpResult
from fescuechute.platform import StoreClient, decode_registration
from fescuechute.relay import decode_batch, encode_batch
from fescuechute.relay._codec import encode_records

ENTRY = json.dumps(
    {"service": "lm", "address": "10.0.0.9:80", "zone": "z", "state": "ready"}
).encode()


class FakeHttp:
    """Answers each call with the given body and records the paths."""

    def __init__(self, body):
        self.body, self.paths = body, []

    def call(self, _method, _server, path, on_end, **_options):
        self.paths.append(path)
        on_end(HttpResult(200, self.body, "", True))


def read(records):
    body = struct.pack(">QQ", len(records), 0)
    for key, value in records:
        content = bytes([len(key)]) + key + value
        body += struct.pack(">I", len(content)) + content
    outcomes = []
    store = StoreClient(FakeHttp(body), Address("10.0.0.1", 80))
    store.read("t", 0, 0.0, outcomes.append)
    return outcomes[0]


def snapshot(keys):
    value = base64.b64encode(ENTRY).decode()
    items = [{"key": key, "value": value, "offset": n} for n, key in enumerate(keys)]
    body = json.dumps({"items": items, "has_more": True, "end": len(keys)}).encode()
    http, outcomes = FakeHttp(body), []
    store = StoreClient(http, Address("10.0.0.1", 80))
    store.snapshot("t", "", outcomes.append)
    store.snapshot("t", outcomes[0].records[-1].key, outcomes.append)
    return outcomes[0], http.paths[1]


def assert_only_sound_entries(outcome, sound):
    decoded = []
    for record in outcome.records:
        try:
            decoded.append(decode_registration(record.key, record.value).instance)
        except PlatformError:
            continue
    assert decoded == sound
    data = encode_batch(encode_records(outcome.records), outcome.end, 0.0, None)
    assert decode_batch(data, "relay", 0.0).records == outcome.records


@pytest.mark.parametrize("key", [b"\xff", b"i\xed\xa0\x80", b"", b"i\0", b"i\n1"])
def test_record_with_an_odd_key_is_one_record_of_its_batch(key):
    """Guards against a batch that fails as a whole, again at each read."""
    outcome = read([(b"i-1", ENTRY), (key, ENTRY), (b"i-2", ENTRY)])
    assert isinstance(outcome, RecordBatch)
    assert [record.offset for record in outcome.records] == [0, 1, 2]
    assert_only_sound_entries(outcome, ["i-1", "i-2"])


@pytest.mark.parametrize(("key", "after"), [("\ud800", "%ED%A0%80"), ("\udcff", "%ED%B3%BF")])
def test_snapshot_continues_after_an_odd_key(key, after):
    """Guards against an exception at the call for the next page, after which no call follows."""
    outcome, path = snapshot(["i-1", key])
    assert isinstance(outcome, SnapshotPage)
    assert path.endswith(f"&after={after}")
    assert_only_sound_entries(outcome, ["i-1"])
