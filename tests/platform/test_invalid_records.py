"""Records that cannot be applied, at a process: guards against readers that stop following a topic."""

import json

import pytest

from fescuechute.feeds import KeyedRecord, RecordBatch
from fescuechute.stager import StagerDaemon
from tests.platform.test_stager_records import stager  # noqa: F401 - a fixture


def entry(**changes):
    sound = {"service": "lm", "address": "10.0.0.9:80", "zone": "z", "state": "ready"}
    return json.dumps({**sound, **changes}).encode()


@pytest.fixture
def events(stager, monkeypatch):  # noqa: F811
    """Names and fields of the events that the process has logged."""
    logged = []
    monkeypatch.setattr(
        stager.telemetry, "event", lambda name, **fields: logged.append((name, fields))
    )
    return logged


@pytest.fixture
def counts(stager, monkeypatch):  # noqa: F811
    """Counters that the process has incremented."""
    counted = []
    monkeypatch.setattr(
        stager.telemetry, "count", lambda name, reason="", n=1: counted.append((name, reason))
    )
    return counted


def test_invalid_record_is_counted_each_time_and_logged_once(stager, events, counts):  # noqa: F811
    """Guards against a log that is full of one entry that its writer renews each second."""
    for offset in range(3):
        stager._on_registration(KeyedRecord(offset, "i-1", entry(slots=-1, sequence=offset)))
    assert [name for name, _ in events] == ["record.invalid"]
    assert events[0][1]["reason"] == "ValueError"
    assert counts == [("record.invalid", "ValueError")] * 2, "the event counts the first one"
    stager._on_registration(KeyedRecord(3, "i-1", entry()))
    stager._on_registration(KeyedRecord(4, "i-1", entry(slots=-1)))
    assert len(events) == 2, "a new fault of a sound entry is logged"


def test_keys_of_invalid_records_take_bounded_memory(stager, events):  # noqa: F811
    """Guards against a writer that fills the memory with invalid keys."""
    for offset in range(5000):
        stager._on_registration(KeyedRecord(offset, f"i-{offset}", b"{"))
    assert len(events) <= 1024


def test_record_that_cannot_be_applied_does_not_stop_the_feed(
    stager,  # noqa: F811
    events,
    monkeypatch,
):
    """Guards against a feed that reads the same record again and again."""
    apply = StagerDaemon._update_ring
    monkeypatch.setattr(
        stager, "_update_ring", lambda: 1 / 0 if len(stager._registrations) == 2 else apply(stager)
    )
    feed = stager.registry_feed
    feed._next_offset = 0
    records = tuple(KeyedRecord(n, f"i-{n}", entry()) for n in range(3))
    feed._on_outcome(RecordBatch(records, 3))
    assert feed.next_offset == 3
    assert set(stager._registrations) == {"i-0", "i-1", "i-2"}
    assert [(name, fields["reason"]) for name, fields in events] == [("fault", "ZeroDivisionError")]
