"""Odd batches and records at relays: guards against one record that stops all followers."""

import zlib

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescuechute.errors import WireError
from fescuechute.feeds import KeyedRecord
from fescuechute.relay import decode_batch, encode_batch
from fescuechute.relay._codec import encode_records

INFINITE, NO_NUMBER = float("inf"), float("nan")
DEEP = b"\x91" * 100_000 + b"\xc0"


def batch(rows=((1, "k", b"v"),), end=2, confirmed=0.0, dates=()):
    return msgpack.packb((end, confirmed, None, None, dates, zlib.compress(msgpack.packb(rows))))


@pytest.mark.parametrize(
    ("name", "data"),
    [
        ("deeply nested", DEEP),
        ("deeply nested records", batch()[:-1] + DEEP),
        ("infinite end", batch(end=INFINITE)),
        ("end that is no number", batch(end=NO_NUMBER)),
        ("end that is a text", batch(end="2")),
        ("infinite offset", batch([(INFINITE, "k", b"v")])),
        ("value of another type", batch([(1, "k", 7)])),
        ("key of another type", batch([(1, 7, b"v")])),
        ("infinite confirmation", batch(confirmed=INFINITE)),
        ("confirmation that is no number", batch(confirmed=NO_NUMBER)),
        ("date that is no number", batch(dates=[NO_NUMBER])),
        ("records that are no list", batch(7)),
        ("records that are a map", batch({})),
    ],
)
def test_odd_batch_is_an_error(name, data):
    """Guards against a feed that waits for ever because its response raised another error."""
    with pytest.raises(WireError):
        decode_batch(data, "10.0.0.1:17703", 0.0)


_VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(1 << 63), (1 << 64) - 1),
        st.floats(),
        st.text(max_size=4),
        st.binary(max_size=8),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=6), st.dictionaries(st.text(max_size=2), inner, max_size=3)
    ),
    max_leaves=12,
)


@given(
    st.one_of(
        st.binary(max_size=64),
        _VALUES.map(msgpack.packb),
        st.builds(batch, rows=_VALUES, end=_VALUES, confirmed=_VALUES, dates=_VALUES),
    )
)
def test_decoding_raises_only_the_declared_error(data):
    """Guards against a response that ends the tick of its reader."""
    try:
        decode_batch(data, "10.0.0.1:17703", 0.0)
    except WireError:
        return


def test_odd_values_are_passed_on_as_they_are():
    """Guards against a relay that cannot answer because of one record of another writer."""
    records = tuple(
        KeyedRecord(offset, f"i-{offset}", value)
        for offset, value in enumerate((b"[" * 1000, b"\xff\xfe", b'{"slots":' + b"9" * 400 + b"}"))
    )
    decoded = decode_batch(encode_batch(encode_records(records), 3, 0.0, None), "relay", 0.0)
    assert decoded.records == records
