"""Feeds: guards against lost, doubled or wrongly dated records."""

from random import Random

import pytest

from fescuechute.feeds import (
    Failure,
    Feed,
    FeedSettings,
    KeyedRecord,
    RecordBatch,
    SnapshotPage,
    Trimmed,
)


class Log:
    """Answers each call with what the test queued."""

    def __init__(self):
        self.calls = []

    def snapshot(self, topic, after, on_end):
        self.calls.append((("snapshot", after), on_end))

    def read(self, topic, offset, wait_s, on_end):
        self.calls.append((("read", offset), on_end))
        self.wait_s = wait_s


class Case:
    """One feed with everything that it said."""

    def __init__(self):
        self.now = 100.0
        self.log, self.records, self.snapshots, self.states = Log(), [], [], []
        self.feed = Feed(
            self.log,
            FeedSettings("t", 1.0),
            lambda: self.now,
            self.records.append,
            self.snapshots.append,
            self.states.append,
            Random(1),
        )

    def answer(self, outcome, after_s=0.01):
        self.feed.tick(self.now)
        call, on_end = self.log.calls.pop()
        self.now += after_s
        on_end(outcome)
        return call


def record(offset, key="k", value=b"v"):
    return KeyedRecord(offset, key, value)


def test_reads_on_from_the_end_of_the_first_page():
    """Guards against records lost between two pages of a snapshot."""
    case = Case()
    assert case.answer(SnapshotPage((record(3, "a"),), True, 7)) == ("snapshot", "")
    assert not case.feed.complete
    assert case.answer(SnapshotPage((record(9, "b"),), False, 10)) == ("snapshot", "a")
    assert case.snapshots == [frozenset({"a", "b"})]
    assert case.answer(RecordBatch((record(7),), 8)) == ("read", 7)
    assert case.answer(RecordBatch((), 8)) == ("read", 8)


def test_is_confirmed_at_the_time_of_the_question():
    """Guards against revoked keys that count as fresh: the answer may have been on its way long."""
    case = Case()
    case.answer(SnapshotPage((), False, 5))
    asked_at = case.now
    case.answer(RecordBatch((), 5), after_s=4.0)
    assert case.feed.confirmed_at == asked_at


def test_is_not_confirmed_by_a_batch_that_stops_short_of_the_end():
    """Guards against counting as complete what has been read in part."""
    case = Case()
    case.answer(SnapshotPage((), False, 5))
    before = case.feed.confirmed_at
    case.answer(RecordBatch((record(5),), 9))
    assert case.feed.confirmed_at == before


@pytest.mark.parametrize("outcome", [Failure("down"), Trimmed()])
def test_goes_on_after_a_fault(outcome):
    """Guards against a feed that stops for good; each loss is reported once."""
    case = Case()
    case.answer(SnapshotPage((), False, 5))
    case.answer(outcome)
    case.now += 1.0
    if isinstance(outcome, Trimmed):
        assert case.answer(SnapshotPage((record(8),), False, 9)) == ("snapshot", "")
        assert case.states == []
    else:
        assert case.answer(RecordBatch((), 5)) == ("read", 5)
        assert case.states == ["down", ""]


def test_backs_off_while_the_log_is_away():
    """Guards against an outage that multiplies the calls."""
    case = Case()
    calls = 0
    for _ in range(200):
        case.feed.tick(case.now)
        if case.log.calls:
            calls += 1
            case.log.calls.pop()[1](Failure("down"))
        case.now += 0.01
    assert calls <= 10


def suspended(case):
    """The process stands still until just before the answer arrives."""
    case.now += 3.9


def ticking(case):
    """The process ticks all the while."""
    for _ in range(39):
        case.now += 0.1
        case.feed.tick(case.now)


@pytest.mark.parametrize(
    ("name", "meanwhile", "since"),
    [
        ("a waiting call is answered at once", ticking, 104.0 - 0.15),
        ("a suspended process reads late", suspended, 100.0),
    ],
)
def test_dates_news_by_the_call_that_waited_for_them(name, meanwhile, since):
    """Guards against bounds that bind seconds early, or late after a suspension."""
    case = Case()
    seen = []
    case.feed = Feed(
        case.log,
        FeedSettings("t", 10.0),
        lambda: case.now,
        lambda _record: seen.append(case.feed.news_since),
        case.snapshots.append,
        case.states.append,
        Random(1),
    )
    case.answer(SnapshotPage((), False, 5), after_s=0.0)
    case.feed.tick(case.now)
    meanwhile(case)
    _call, on_end = case.log.calls.pop()
    case.now = 104.0
    on_end(RecordBatch((record(5),), 6))
    assert seen == [pytest.approx(since)], name


@pytest.mark.parametrize(
    ("name", "outcomes", "since"),
    [
        ("in the first snapshot", [SnapshotPage((record(4),), False, 5)], None),
        (
            "in a snapshot after a gap",
            [SnapshotPage((), False, 5), Trimmed(), SnapshotPage((record(9),), False, 10)],
            100.0,
        ),
        (
            "after a failure",
            [SnapshotPage((), False, 5), Failure("reset"), RecordBatch((record(5),), 6)],
            100.0,
        ),
        (
            "in an answer without a wait",
            [SnapshotPage((), False, 5), RecordBatch((record(5),), 6)],
            100.0,
        ),
    ],
)
def test_dates_other_news_by_the_last_complete_answer(name, outcomes, since):
    """Guards against counting a bound from the end of an outage or of a suspension."""
    case = Case()
    seen = []
    case.feed = Feed(
        case.log,
        FeedSettings("t", 1.0),
        lambda: case.now,
        lambda _record: seen.append(case.feed.news_since),
        case.snapshots.append,
        case.states.append,
        Random(1),
    )
    for outcome in outcomes:
        case.answer(outcome)
        case.now += 0.6
    assert seen == [since], name


def test_does_not_wait_at_a_store_that_is_away():
    """Guards against news that are read seconds after the return of the store."""
    case = Case()
    case.answer(SnapshotPage((), False, 5))
    waits = []
    for outcome in (Failure("silent"), Failure("silent"), RecordBatch((), 5), RecordBatch((), 5)):
        case.now += 1.0
        case.answer(outcome)
        waits.append(case.log.wait_s)
    assert waits == [1.0, 0.0, 0.0, 1.0]
