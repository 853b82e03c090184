"""Memory of incomplete responses."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescuechute.errors import ResponseTooLargeError
from fescuechute.forwarding import EventSplitter, ResponseBuffers
from fescuechute.forwarding._events import MAX_EVENT_BYTES

LIMIT = 10_000


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 4000), st.booleans()), max_size=60))
def test_responses_together_stay_below_the_limit(steps):
    """Guards against many endless responses that take the memory of a process together."""
    buffers, held = ResponseBuffers(LIMIT), dict.fromkeys(range(6), 0)
    for response, size, ends in steps:
        try:
            buffers.add(held[response], size)
            held[response] += size
        except ResponseTooLargeError:
            ends = True
        if ends:
            buffers.release(held[response])
            held[response] = 0
        assert buffers.used_bytes == sum(held.values()) <= LIMIT


def test_endless_response_leaves_room_for_others():
    """Guards against failures of small responses while another one does not end."""
    buffers, held = ResponseBuffers(LIMIT), 0
    with pytest.raises(ResponseTooLargeError):
        while True:
            buffers.add(held, 100)
            held += 100
    buffers.add(0, LIMIT // 5)


def test_event_without_end_is_an_error():
    """Guards against a stream that buffers an event until the memory is used up."""
    splitter = EventSplitter()
    with pytest.raises(ResponseTooLargeError):
        for _ in range(MAX_EVENT_BYTES // 1000 + 1):
            assert splitter.feed(b"x" * 1000) == []
