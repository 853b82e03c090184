"""Tests of frames: invalid data from a peer must neither crash nor mislead the receiver."""

import itertools
import struct

import msgpack
import pytest
import xxhash
from hypothesis import given
from hypothesis import strategies as st

from fescuechute.errors import (
    FrameTooLargeError,
    FrameTruncatedError,
    UnknownMessageError,
    WireError,
)
from fescuechute.wire import MAX_FRAME_BYTES, Blob, FrameDecoder, Piece, Ping, encode

PIECE = Piece(request_id="r1", attempt=2, seq=3, tokens=("a", "ñ"))


def _frame(payload: bytes) -> bytes:
    return struct.pack(">II", len(payload), xxhash.xxh32_intdigest(payload)) + payload


@given(split_points=st.lists(st.integers(0, 200), max_size=6))
def test_messages_survive_any_fragmentation(split_points):
    """Messages must decode unchanged however TCP splits the stream."""
    data = encode(PIECE) + encode(Ping(1.5)) + encode(Blob(b"d" * 32, b"x" * 100))
    decoder = FrameDecoder()
    bounds = [0, *sorted(min(point, len(data)) for point in split_points), len(data)]
    decoded = []
    for start, end in itertools.pairwise(bounds):
        decoded += decoder.feed(data[start:end])
    assert decoded == [PIECE, Ping(1.5), Blob(b"d" * 32, b"x" * 100)]
    decoder.close()


@pytest.mark.parametrize(
    ("data", "error"),
    [
        pytest.param(
            struct.pack(">II", MAX_FRAME_BYTES + 1, 0), FrameTooLargeError, id="too_large"
        ),
        pytest.param(_frame(b"\xc1"), WireError, id="not_msgpack"),
        pytest.param(_frame(msgpack.packb("text")), WireError, id="not_a_list"),
        pytest.param(_frame(msgpack.packb([99, 1])), UnknownMessageError, id="unknown_type"),
        pytest.param(_frame(msgpack.packb([1])), FrameTruncatedError, id="missing_field"),
        pytest.param(_frame(msgpack.packb([1, "now"])), WireError, id="wrong_type"),
        pytest.param(_frame(msgpack.packb([1, True])), WireError, id="bool_for_number"),
        pytest.param(_frame(msgpack.packb([1, float("nan")])), WireError, id="no_number"),
        pytest.param(_frame(msgpack.packb([1, float("inf")])), WireError, id="infinite"),
        pytest.param(_frame(b"\x91" * 100_000 + b"\xc0"), WireError, id="deeply_nested"),
        pytest.param(_frame(b"\x92\x01" + b"\x91" * 500 + b"\xc0"), WireError, id="nested_field"),
        pytest.param(_frame(msgpack.packb([6, "r", 1, 1, ["a", 2]])), WireError, id="item_type"),
        pytest.param(_frame(msgpack.packb([15, [1]])), WireError, id="digest_type"),
        pytest.param(_frame(msgpack.packb([23, [["p", "10.0.0.1"]]])), WireError, id="short_row"),
        pytest.param(
            _frame(msgpack.packb([23, [["p", "10.0.0.1", "80"]]])), WireError, id="row_type"
        ),
    ],
)
def test_invalid_frame_raises_typed_error(data, error):
    """Invalid data must raise a typed error that names a remedy."""
    with pytest.raises(error) as caught:
        FrameDecoder().feed(data)
    assert caught.value.remedy


def test_stream_ending_inside_a_frame_raises():
    """A connection lost inside a frame must not look like a clean end of the stream."""
    decoder = FrameDecoder()
    assert decoder.feed(encode(PIECE)[:-1]) == []
    with pytest.raises(FrameTruncatedError):
        decoder.close()


def test_oversized_message_is_rejected_by_the_sender():
    """A sender must not send a frame that every receiver rejects."""
    with pytest.raises(FrameTooLargeError):
        encode(Blob(b"d" * 32, bytes(MAX_FRAME_BYTES)))


@given(position=st.integers(0), bit=st.integers(0, 7))
def test_flipped_bit_never_decodes_to_a_message(position, bit):
    """A bit flipped in transit must raise an error and never decode to a different token."""
    data = bytearray(encode(PIECE))
    data[position % len(data)] ^= 1 << bit
    with pytest.raises(WireError):
        decoder = FrameDecoder()
        assert decoder.feed(bytes(data)) == []
        decoder.close()
