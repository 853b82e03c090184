"""Choice of the sources of a topic."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescuechute.relay import STORE, RelayAddress, SourceSelector
from fescuechute.relay._sources import AVOID_REJECTING_S, AVOID_SILENT_S, READERS

RELAYS = [RelayAddress(f"front-{n}/a", f"10.0.0.{n}", 17703) for n in range(6)]


def make_selectors(relays=RELAYS):
    return {
        relay.process_id: SourceSelector(relay.process_id, "operators/r", lambda _now: relays)
        for relay in relays
    }


def test_two_readers_read_from_the_store_and_the_others_from_them():
    """Guards against one copy per VM on the link to the store."""
    selectors = make_selectors()
    readers = {id_ for id_, selector in selectors.items() if selector.is_reader(0.0)}
    assert len(readers) == READERS
    for id_, selector in selectors.items():
        *first, last = [source.process_id for source in selector.sources(0.0)]
        if id_ in readers:
            assert first[0] == STORE.process_id
        else:
            assert (set(first), last) == (readers, STORE.process_id)


def test_process_without_relays_reads_from_the_store():
    """Guards against a process that waits for relays that do not exist."""
    selector = SourceSelector("side-1/a", "operators/r", lambda _now: [])
    assert selector.sources(0.0) == [STORE]


@pytest.mark.parametrize(
    ("name", "responded", "avoid_s"),
    [("rejecting relay", True, AVOID_REJECTING_S), ("silent relay", False, AVOID_SILENT_S)],
)
def test_failed_relay_is_the_last_resort_for_a_while(name, responded, avoid_s):
    """Guards against waiting for the same failed relay again and again."""
    selector = SourceSelector("side-1/a", "operators/r", lambda _now: RELAYS)
    first, second, store = selector.sources(0.0)
    selector.record_failure(first, responded, 0.0)
    assert selector.sources(avoid_s - 0.01) == [second, store, first], name
    # The order alternates from call to call.
    assert selector.sources(avoid_s + 0.01) == [first, second, store], name
    assert selector.sources(avoid_s + 0.01) == [second, first, store], name


@given(st.lists(st.sets(st.integers(0, 5)), min_size=6, max_size=6))
def test_processes_that_know_different_relays_do_not_wait_for_each_other(known):
    """Guards against two relays that take each other for a reader of the store."""
    first_source = {}
    for own, others in zip(RELAYS, known, strict=True):
        relays = [RELAYS[n] for n in sorted(others | {RELAYS.index(own)})]
        selector = SourceSelector(own.process_id, "operators/r", lambda _now, known=relays: known)
        first_source[own.process_id] = selector.sources(0.0)[0].process_id
    for start in first_source:
        process = start
        for _ in itertools.repeat(None, len(RELAYS)):
            process = first_source.get(process, process)
        assert process == STORE.process_id
