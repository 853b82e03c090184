"""Feeds: continuity of reading, confirmation times, backoff, and bounds on append times."""

from random import Random

import pytest

from fescuechute.feeds import (
    DatedBy,
    Delivery,
    Failure,
    Feed,
    FeedSettings,
    KeyedRecord,
    RecordBatch,
    SnapshotPage,
    Trimmed,
)

RELAY = Delivery("10.0.0.1:17703", 100)


class RecordingLog:
    """Records the calls; the test completes each of them."""

    def __init__(self):
        self.calls = []

    def snapshot(self, topic, after, on_end):
        self.calls.append((("snapshot", after), on_end))

    def read(self, topic, offset, wait_s, on_end):
        self.calls.append((("read", offset), on_end))
        self.wait_s = wait_s


class FeedHarness:
    """A feed whose callbacks are recorded."""

    def __init__(self):
        self.now = 100.0
        self.log, self.records, self.snapshots, self.availability = RecordingLog(), [], [], []
        self.feed = Feed(
            self.log,
            FeedSettings("t", 1.0),
            lambda: self.now,
            self.records.append,
            self.snapshots.append,
            self.availability.append,
            Random(1),
        )

    def complete_call(self, outcome, after_s=0.01):
        """Starts the due call, completes it after `after_s` and returns its arguments."""
        self.feed.tick(self.now)
        call, on_end = self.log.calls.pop()
        self.now += after_s
        on_end(outcome)
        return call


def make_record(offset, key="k", value=b"v"):
    return KeyedRecord(offset, key, value)


def test_reading_continues_from_the_end_offset_of_the_first_page():
    """Guards against losing records that are appended between two pages of a snapshot."""
    harness = FeedHarness()
    assert harness.complete_call(SnapshotPage((make_record(3, "a"),), True, 7)) == ("snapshot", "")
    assert not harness.feed.complete
    assert harness.complete_call(SnapshotPage((make_record(9, "b"),), False, 10)) == (
        "snapshot",
        "a",
    )
    assert harness.snapshots == [frozenset({"a", "b"})]
    assert harness.complete_call(RecordBatch((make_record(7),), 8)) == ("read", 7)
    assert harness.complete_call(RecordBatch((), 8)) == ("read", 8)


def test_is_confirmed_at_the_start_of_the_call():
    """Guards against trusting revoked keys when the response was delayed."""
    harness = FeedHarness()
    harness.complete_call(SnapshotPage((), False, 5))
    started_at = harness.now
    harness.complete_call(RecordBatch((), 5), after_s=4.0)
    assert harness.feed.confirmed_at == started_at


def test_is_not_confirmed_by_a_batch_that_does_not_reach_the_end():
    """Guards against treating a partly read topic as complete."""
    harness = FeedHarness()
    harness.complete_call(SnapshotPage((), False, 5))
    confirmed_at = harness.feed.confirmed_at
    harness.complete_call(RecordBatch((make_record(5),), 9))
    assert harness.feed.confirmed_at == confirmed_at


@pytest.mark.parametrize("outcome", [Failure("down"), Trimmed()])
def test_recovers_after_a_fault(outcome):
    """Guards against a feed that stops for good, and against repeated reports of one outage."""
    harness = FeedHarness()
    harness.complete_call(SnapshotPage((), False, 5))
    harness.complete_call(outcome)
    harness.now += 1.0
    if isinstance(outcome, Trimmed):
        assert harness.complete_call(SnapshotPage((make_record(8),), False, 9)) == ("snapshot", "")
        assert harness.availability == []
    else:
        assert harness.complete_call(RecordBatch((), 5)) == ("read", 5)
        assert harness.availability == ["down", ""]


def test_backs_off_while_the_log_is_unavailable():
    """Guards against a flood of calls during an outage."""
    harness = FeedHarness()
    calls = 0
    for _ in range(200):
        harness.feed.tick(harness.now)
        if harness.log.calls:
            calls += 1
            harness.log.calls.pop()[1](Failure("down"))
        harness.now += 0.01
    assert calls <= 10


def suspend_process(harness):
    """Suspends the process until just before the response arrives."""
    harness.now += 3.9


def keep_ticking(harness):
    """Keeps the process ticking during the call."""
    for _ in range(39):
        harness.now += 0.1
        harness.feed.tick(harness.now)


@pytest.mark.parametrize(
    ("name", "meanwhile", "transfer_s"),
    [
        ("a waiting call returns", keep_ticking, 0.0),
        ("the response took long", keep_ticking, 3.5),
        ("a link held the response back", keep_ticking, 0.01),
        ("a suspended process reads late", suspend_process, 0.0),
    ],
)
def test_append_time_does_not_depend_on_the_arrival_of_the_response(name, meanwhile, transfer_s):
    """Guards against bounds of versions that start late because a response was held up on its way."""
    harness = FeedHarness()
    bounds = []
    harness.feed = Feed(
        harness.log,
        FeedSettings("t", 10.0),
        lambda: harness.now,
        lambda _record: bounds.append(harness.feed.earliest_appended_at),
        harness.snapshots.append,
        harness.availability.append,
        Random(1),
    )
    harness.complete_call(SnapshotPage((), False, 5), after_s=0.0)
    harness.feed.tick(harness.now)
    meanwhile(harness)
    _call, on_end = harness.log.calls.pop()
    harness.now = 104.0
    on_end(RecordBatch((make_record(5),), 6, Delivery(transfer_s=transfer_s)))
    assert bounds == [100.0], name
    assert harness.feed.dated_by is DatedBy.CONFIRMATION


@pytest.mark.parametrize(
    ("name", "outcomes", "since"),
    [
        ("in the first snapshot", [SnapshotPage((make_record(4),), False, 5)], None),
        (
            "in a snapshot after a gap",
            [SnapshotPage((), False, 5), Trimmed(), SnapshotPage((make_record(9),), False, 10)],
            100.0,
        ),
        (
            "after a failure",
            [SnapshotPage((), False, 5), Failure("reset"), RecordBatch((make_record(5),), 6)],
            100.0,
        ),
        (
            "in a response without a wait",
            [SnapshotPage((), False, 5), RecordBatch((make_record(5),), 6)],
            100.0,
        ),
    ],
)
def test_append_time_of_other_records_is_bounded_by_the_last_confirmation(name, outcomes, since):
    """Guards against deadlines that start only at the end of an outage or suspension."""
    harness = FeedHarness()
    bounds = []
    harness.feed = Feed(
        harness.log,
        FeedSettings("t", 1.0),
        lambda: harness.now,
        lambda _record: bounds.append(harness.feed.earliest_appended_at),
        harness.snapshots.append,
        harness.availability.append,
        Random(1),
    )
    for outcome in outcomes:
        harness.complete_call(outcome)
        harness.now += 0.6
    assert bounds == [since], name


def test_does_not_long_poll_after_a_failure():
    """Guards against reading new records only seconds after the store has recovered."""
    harness = FeedHarness()
    harness.complete_call(SnapshotPage((), False, 5))
    waits = []
    for outcome in (Failure("silent"), Failure("silent"), RecordBatch((), 5), RecordBatch((), 5)):
        harness.now += 1.0
        harness.complete_call(outcome)
        waits.append(harness.log.wait_s)
    assert waits == [1.0, 0.0, 0.0, 1.0]


def test_response_of_a_relay_confirms_up_to_its_own_date():
    """Guards against accepting revoked keys because a relay had older records."""
    harness = FeedHarness()
    harness.complete_call(SnapshotPage((), False, 5))
    started_at = harness.now
    harness.complete_call(RecordBatch((), 5, RELAY, confirmed_after_s=-0.3), after_s=0.7)
    assert harness.feed.confirmed_at == pytest.approx(max(100.0, started_at - 0.3))
    harness.complete_call(RecordBatch((), 5, RELAY, confirmed_after_s=-60.0))
    assert harness.feed.confirmed_at == pytest.approx(max(100.0, started_at - 0.3))


@pytest.mark.parametrize(
    ("name", "appended_after_s", "expected"),
    [("known to the relay", 0.2, 100.21), ("unknown to the relay", None, 100.0)],
)
def test_records_of_a_relay_are_dated_by_it(name, appended_after_s, expected):
    """Guards against declarations that count as younger after a hop."""
    harness = FeedHarness()
    harness.complete_call(SnapshotPage((), False, 5))
    batch = RecordBatch((make_record(5),), 6, RELAY, appended_after_s=appended_after_s)
    harness.complete_call(batch, after_s=0.9)
    assert harness.feed.earliest_appended_at == pytest.approx(expected), name


def test_response_after_a_failed_source_does_not_date_its_records():
    """Guards against declarations that count as younger because their call waited at another source."""
    harness = FeedHarness()
    harness.complete_call(SnapshotPage((), False, 5))
    harness.complete_call(RecordBatch((make_record(5),), 6), after_s=0.9)
    assert harness.feed.earliest_appended_at == pytest.approx(100.0)


def test_records_left_out_by_a_relay_are_not_read_again():
    """Guards against reading old heartbeats from the store after the relays of a region have gone."""
    harness = FeedHarness()
    harness.complete_call(SnapshotPage((), False, 5))
    harness.complete_call(RecordBatch((make_record(7),), 90, RELAY, compacted=True))
    assert harness.complete_call(RecordBatch((), 80, RELAY, compacted=True)) == ("read", 90)
    assert harness.complete_call(RecordBatch((), 95)) == ("read", 90)
    assert harness.complete_call(RecordBatch((), 95)) == ("read", 90)


def test_failure_of_the_log_is_known_from_its_source():
    """Guards against taking an entry that lapsed in an outage for one that was withdrawn."""
    harness = FeedHarness()
    harness.complete_call(SnapshotPage((), False, 5))
    assert harness.feed.failed_at == float("-inf")
    called_at = harness.now
    harness.complete_call(RecordBatch((), 5, RELAY, failed_after_s=-0.5))
    assert harness.feed.failed_at == called_at - 0.5
    harness.complete_call(Failure("status 503"))
    assert harness.feed.failed_at == harness.now


def test_each_record_of_a_batch_has_its_own_date():
    """Guards against a declaration that binds early because an older record came with it."""
    harness, dates = FeedHarness(), {}
    harness.complete_call(SnapshotPage((), False, 5))
    harness.feed._on_record = lambda record: dates.__setitem__(
        record.offset, harness.feed.earliest_appended_at
    )
    started_at = harness.now
    batch = RecordBatch(
        (make_record(5), make_record(6)),
        7,
        RELAY,
        appended_after_s=-3.0,
        record_appended_after_s=(-3.0, -1.0),
    )
    harness.complete_call(batch)
    assert dates == {5: started_at - 3.0, 6: started_at - 1.0}
