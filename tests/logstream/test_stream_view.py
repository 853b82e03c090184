"""Tests of StreamView: undetected gaps and wrong claims of completeness."""

import math

import hypothesis.strategies as st
import msgpack
import pytest
from hypothesis import given, settings

from fescuechute.logstream import MAX_RECORD_BYTES, StreamView


def records(first, last, time=100.0):
    """Returns records with offsets from first (inclusive) to last (exclusive)."""
    return [
        {"offset": i, "time": time + i, "id": f"r{i}", "data": {"n": i}} for i in range(first, last)
    ]


def offsets(items):
    return [item["offset"] for item in items]


def view_of(*parts):
    view = StreamView("s")
    for first, last, oldest in parts:
        view.apply(first, records(first, last), oldest)
    return view


def test_overlapping_records_are_returned_once():
    """Pushes and pulls overlap; a record returned twice would be applied twice."""
    view = view_of((0, 3, 0))
    assert offsets(view.apply(1, records(1, 5), 0)) == [3, 4]
    assert view.apply(0, records(0, 5), 0) == []
    assert (view.first_offset, view.next_offset, len(view)) == (0, 5, 5)


def test_records_after_a_gap_are_refused_until_it_is_filled():
    """Applying records after a gap would lose the missing notes permanently."""
    view = view_of((0, 3, 0))
    assert view.apply(5, records(5, 7), 0) == []
    assert (view.missing_from, view.next_offset, view.truncated) == (3, 3, False)
    assert offsets(view.apply(3, records(3, 7), 0)) == [3, 4, 5, 6]
    assert view.missing_from is None


def test_partial_answer_keeps_the_gap_open():
    """An answer truncated by its limit must not be mistaken for the whole gap."""
    view = view_of((0, 3, 0), (9, 10, 0))
    view.apply(1, records(1, 3), 0)
    assert view.missing_from == 3


def test_push_to_a_new_view_waits_for_the_oldest_records():
    """A new process must not start at the newest record while the peer has older ones."""
    view = view_of((50, 51, 40))
    assert (view.missing_from, view.next_offset, view.truncated) == (0, 0, False)
    assert offsets(view.apply(40, records(40, 51), 40)) == list(range(40, 51))
    assert (view.first_offset, view.truncated, view.missing_from) == (40, True, None)


def test_view_restarts_when_its_next_records_have_expired():
    """A reader whose next records have expired must continue and report the truncation."""
    view = view_of((0, 3, 0))
    assert offsets(view.apply(7, records(7, 9), 7, now=500.0)) == [7, 8]
    assert view.truncated
    assert (view.first_offset, view.next_offset) == (7, 9)
    assert view.read(0, 10) == records(7, 9)


def test_view_from_offset_0_is_complete():
    """Claims require a complete view, which a new log must provide immediately."""
    assert view_of((0, 3, 0)).complete_since == -math.inf
    view = StreamView("s")
    view.apply(0, [], 0, now=50.0)
    assert view.complete_since == -math.inf


def test_empty_push_does_not_make_a_view_complete():
    """A peer without records cannot prove that the log starts at 0."""
    view = StreamView("s")
    assert view.apply(0, [], 0) == []
    assert view.complete_since == math.inf
    view.apply(5, [], 5)
    assert (view.complete_since, view.next_offset) == (math.inf, 0)


def test_truncated_view_is_complete_after_the_first_record():
    """An expired record may have the same time as the first record seen."""
    view = view_of((7, 9, 7))
    assert 107.0 < view.complete_since < 107.001
    view.trim(0)
    assert view.complete_since < 107.001


def test_old_records_do_not_complete_a_truncated_view():
    """Records below `next_offset` are skipped, so they must not change `complete_since`."""
    view = view_of((7, 9, 7))
    view.apply(0, records(0, 3), 0)
    assert view.complete_since > 107.0
    view.apply(0, records(0, 3), 0, now=500.0)
    assert view.complete_since > 107.0


def test_fully_expired_log_is_complete_from_the_poll_on():
    """Otherwise an idle stream would refuse all claims permanently."""
    view = StreamView("s")
    view.apply(40, [], 40, now=900.0)
    assert (view.next_offset, view.truncated) == (40, True)
    assert 900.0 < view.complete_since < 900.001
    assert offsets(view.apply(40, records(40, 41, time=1000.0), 40)) == [40]
    assert view.complete_since < 900.001


BAD_RECORDS = {
    "wrong offset": {**records(4, 5)[0], "offset": 9},
    "no time": {"offset": 4, "id": "x", "data": {}},
    "not an object": 7,
}


@pytest.mark.parametrize("bad", BAD_RECORDS.values(), ids=BAD_RECORDS.keys())
def test_records_from_a_bad_one_on_are_ignored(bad):
    """An invalid record from a peer must neither raise an error nor shift later records."""
    view = view_of((0, 3, 0))
    assert offsets(view.apply(3, [records(3, 4)[0], bad, records(5, 6)[0]], 0)) == [3]
    assert (view.next_offset, view.missing_from) == (4, 4)


def test_read_respects_its_limits():
    """An answer above the frame limit would close the link to the requesting process."""
    view = view_of((0, 10, 0))
    assert offsets(view.read(4, 3)) == [4, 5, 6]
    assert view.read(10, 3) == []
    size = len(msgpack.packb(records(0, 1)[0]))
    assert offsets(view.read(0, 10, max_bytes=3 * size)) == [0, 1, 2]
    assert offsets(view.read(0, 10, max_bytes=1)) == [0]


def test_trim_keeps_needed_records():
    """Without the records after the last snapshot, new processes could not build the state."""
    view = view_of((0, 10, 0))
    view.trim(2, needed_offset=5)
    assert (view.first_offset, offsets(view.read(0, 10))) == (5, [5, 6, 7, 8, 9])
    view.trim(2)
    assert (view.first_offset, view.next_offset) == (8, 10)
    assert view.pull_offset(12) == 10
    assert view.pull_offset(10) is None


def _nested(depth):
    data = []
    for _ in range(depth):
        data = [data]
    return data


UNTRANSPORTABLE = {
    "whole number above 64 bits": {"n": 2**70},
    "lone surrogate": {"s": "\ud800"},
    "deep nesting": _nested(2000),
    "large": {"s": "x" * (MAX_RECORD_BYTES + 1)},
}


@pytest.mark.parametrize("data", UNTRANSPORTABLE.values(), ids=UNTRANSPORTABLE.keys())
def test_untransportable_data_is_replaced_identically_everywhere(data):
    """A record that does not fit into a frame would block all later notes."""
    from_log, from_peer = StreamView("s"), StreamView("s")
    [seen] = from_log.apply(0, [{"offset": 0, "time": 1.0, "id": "a\ud800", "data": data}], 0)
    sent = msgpack.unpackb(msgpack.packb(from_log.read(0, 1)))
    assert from_peer.apply(0, sent, 0) == [seen]
    assert "unreadable" in seen["data"]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    parts=st.lists(st.tuples(st.integers(0, 30), st.integers(0, 10), st.integers(0, 30))),
    trims=st.sets(st.integers(0, 10)),
)
def test_records_are_returned_once_and_in_order(parts, trims):
    """No record may be returned twice, out of order or after an undetected gap."""
    view, seen = StreamView("s"), []
    for i, (first, count, oldest) in enumerate(parts):
        was_truncated, previous_offset = view.truncated, view.next_offset
        new_offsets = offsets(view.apply(first, records(first, first + count), min(oldest, first)))
        if new_offsets and new_offsets[0] != previous_offset:
            assert view.truncated
            assert new_offsets[0] == first == min(oldest, first)
        assert was_truncated <= view.truncated
        seen += new_offsets
        if i in trims:
            view.trim(3)
        assert view.next_offset == view.first_offset + len(view)
    assert seen == sorted(set(seen))
