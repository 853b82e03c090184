"""Splitting of event streams that arrive in arbitrary chunks."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescuechute.forwarding import EventSplitter


@given(
    st.lists(st.sampled_from([b"x", b"yy", b"zzz"]), max_size=8),
    st.sampled_from([b"\n", b"\r\n"]),
    st.lists(st.integers(1, 9), min_size=1, max_size=20),
)
def test_events_do_not_depend_on_chunk_boundaries(payloads, eol, chunk_sizes):
    """Guards against incomplete or merged events when a chunk ends inside a blank line."""
    events = [
        b"id: %d%sdata: %s%s%s" % (n, eol, payload, eol, eol) for n, payload in enumerate(payloads)
    ]
    stream = b"".join(events)
    splitter = EventSplitter()
    split = []
    position = 0
    chunk = 0
    while position < len(stream):
        size = chunk_sizes[chunk % len(chunk_sizes)]
        split += splitter.feed(stream[position : position + size])
        position += size
        chunk += 1
    assert [event.data for event in split] == events
    assert [event.id for event in split] == list(range(len(events)))
    assert splitter.remainder == b""


@pytest.mark.parametrize("digits", [19, 400, 5000])
def test_event_whose_id_has_too_many_digits_has_no_id(digits):
    """Guards against a stream that hangs because of a number that a replica sends."""
    (event,) = EventSplitter().feed(b"id: " + b"9" * digits + b"\ndata: x\n\n")
    assert event.id is None
