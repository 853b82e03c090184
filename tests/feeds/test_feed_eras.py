"""Returns of the store at feeds: guards against anything that is believed because of a lost stretch."""

from random import Random

import pytest

from fescuechute.feeds import (
    Delivery,
    EraWatch,
    Failure,
    Feed,
    FeedSettings,
    KeyedRecord,
    RecordBatch,
    SnapshotPage,
    Trimmed,
)

RELAY = Delivery("10.0.0.1:17703", 100)
SETTLE_S = 2.0


class Reader:
    """A feed that has read a snapshot up to offset 9 at 100.0 s, in era 1."""

    def __init__(self):
        self.now, self.calls, self.records, self.bounds, self.snapshots = 100.0, [], [], [], []
        self.eras = EraWatch()
        self.eras.observe(1, 50.0)
        self.feed = Feed(
            self,
            FeedSettings("t", 1.0, settle_s=SETTLE_S),
            lambda: self.now,
            self.on_record,
            self.snapshots.append,
            lambda _reason: None,
            Random(1),
            self.eras,
        )
        self.answer(SnapshotPage((), False, 9, era=1))

    def snapshot(self, _topic, after, on_end):
        self.calls.append((("snapshot", after), on_end))

    def read(self, _topic, offset, wait_s, on_end):
        self.calls.append((("read", offset), on_end))
        self.wait_s = wait_s

    def on_record(self, record):
        self.records.append(record)
        self.bounds.append(self.feed.earliest_appended_at)

    def start(self):
        """Starts the due call and returns its arguments and its callback."""
        self.feed.tick(self.now)
        return self.calls.pop()

    def answer(self, outcome, after_s=0.0):
        call, on_end = self.start()
        self.now += after_s
        on_end(outcome)
        return call

    def rise(self):
        """Lets another reader of the process see era 2, 1 s after the last confirmation."""
        self.now = 101.0
        self.eras.observe(2, self.now)


def rec(offset, key="k", era=2, value=b"v"):
    return KeyedRecord(offset, key, value, era)


def page(*records, more=False, end=5, era=2, **fields):
    return SnapshotPage(records, more, end, era=era, **fields)


OLD_BATCH = RecordBatch((rec(9, era=1),), 10, era=1)


@pytest.mark.parametrize(
    "late", [OLD_BATCH, RecordBatch((rec(3),), 4, era=2), Trimmed(2), Failure("silent")]
)
def test_rise_through_another_topic_starts_a_snapshot_at_once(late):
    """Guards against a reader that goes on from an offset that is given out again."""
    reader = Reader()
    _, on_late = reader.start()
    reader.rise()
    call, on_end = reader.start()
    assert call == ("snapshot", "")
    on_late(late)
    assert reader.records == []
    on_end(page(rec(2)))
    assert (reader.records, reader.feed.next_offset, reader.feed.era) == ([rec(2)], 5, 2)
    assert reader.feed.failed_at == 101.0


@pytest.mark.parametrize(
    ("name", "outcome", "applied", "call"),
    [
        ("batch of a newer era", RecordBatch((rec(9),), 10, era=2), [], ("snapshot", "")),
        ("batch of an older era", RecordBatch((rec(9, era=0),), 10), [], ("read", 9)),
        ("missing offset in a newer era", Trimmed(2), [], ("snapshot", "")),
        ("missing offset in an older era", Trimmed(0), [], ("read", 9)),
        ("error of a newer era", Failure("status 503", 2), [], ("snapshot", "")),
        ("batch of the same era", OLD_BATCH, [rec(9, era=1)], ("read", 10)),
    ],
)
def test_only_a_batch_of_the_own_era_is_applied(name, outcome, applied, call):
    """Guards against records of two eras in one sequence of offsets."""
    reader = Reader()
    reader.answer(outcome)
    assert reader.records == applied, name
    reader.now += 1.0
    assert reader.start()[0] == call, name


@pytest.mark.parametrize("second", [page(rec(4, "b", 3), era=3), page(rec(4, "b", 1), era=1)])
def test_pages_of_two_eras_start_the_snapshot_anew(second):
    """Guards against a snapshot of which one part was lost."""
    reader = Reader()
    reader.rise()
    reader.answer(page(rec(2, "a"), more=True))
    assert reader.answer(second) == ("snapshot", "a")
    reader.now += 1.0
    era = max(2, second.era)
    assert reader.answer(page(rec(1, "c", era), era=era)) == ("snapshot", "")
    assert [record.key for record in reader.records] == ["a", "c"]
    assert reader.snapshots[-1] == {"c"}


def test_first_page_that_tells_of_the_rise_is_used():
    """Guards against a second snapshot for each return."""
    reader = Reader()
    reader.answer(Trimmed(1))
    assert reader.answer(page(rec(2))) == ("snapshot", "")
    assert reader.start()[0] == ("read", 5)


def test_confirmation_is_kept_for_the_settling_time():
    """Guards against keys whose revocation was lost and has not been written again."""
    reader = Reader()
    reader.rise()
    reader.answer(page())
    confirmed, waits = [], []
    for outcome in [RecordBatch((), 5, era=2)] * 5:
        reader.answer(outcome, after_s=0.7)
        confirmed.append(reader.feed.confirmed_at)
        waits.append(pytest.approx(reader.wait_s))
    assert confirmed == [100.0, 100.0, 100.0, pytest.approx(103.1), pytest.approx(103.8)]
    assert waits == [1.0, 1.0, 0.6, 0.1, 1.0]


def test_late_answer_of_a_relay_does_not_advance_the_confirmation():
    """Guards against a relay that started after the return, and so confirms the copy."""
    reader = Reader()
    reader.rise()
    reader.answer(page())
    reader.now = 103.5
    reader.answer(RecordBatch((), 5, RELAY, confirmed_after_s=-0.6, era=2))
    assert reader.feed.confirmed_at == 100.0


@pytest.mark.parametrize(
    ("name", "fields", "kept", "bound"),
    [
        ("snapshot", {}, False, 100.0),
        ("dated by a relay", {"appended_after_s": (-7.0,)}, False, 94.2),
        ("kept by a relay, undated", {}, True, None),
        ("kept by a relay, dated", {"appended_after_s": (-7.0,)}, True, 94.2),
    ],
)
def test_records_of_a_new_snapshot_are_not_dated_by_the_new_era(name, fields, kept, bound):
    """Guards against a declaration that binds later because it was written a second time."""
    reader = Reader()
    reader.rise()
    reader.now = 101.2
    reader.answer(page(rec(4, era=1 if kept else 2), **fields))
    assert reader.bounds == [None if bound is None else pytest.approx(bound)], name
    assert reader.feed.next_offset == 5


@pytest.mark.parametrize(("at", "bound"), [(104.0, 100.0), (105.9, 100.0), (107.0, 106.4)])
def test_records_that_come_soon_after_a_rise_may_be_second_writings(at, bound):
    """Guards against a bound that starts anew because operators have repeated a declaration."""
    reader = Reader()
    reader.rise()
    reader.answer(page())
    for tenth in range(1012, round(at * 10), 2):
        reader.now = tenth / 10
        reader.feed.tick(reader.now)
        if reader.calls and reader.now < at - 0.5:
            reader.calls.pop()[1](RecordBatch((), 5, era=2))
    reader.now = at
    reader.calls.pop()[1](RecordBatch((rec(5),), 6, era=2))
    assert reader.bounds == [pytest.approx(bound)]


def test_second_rise_keeps_the_confirmation_from_before_the_first():
    """Guards against a record that was lost twice and counts as written between the two returns."""
    reader = Reader()
    reader.rise()
    reader.answer(page())
    reader.now = 103.5
    reader.answer(RecordBatch((), 5, era=2))
    assert reader.feed.confirmed_at == 103.5
    reader.eras.observe(3, 104.0)
    reader.answer(page(rec(4, era=3), era=3))
    assert reader.bounds == [100.0]


def test_kept_record_of_a_relay_does_not_move_the_offset():
    """Guards against records that are skipped because one of an older era had a higher offset."""
    reader = Reader()
    reader.feed.apply_kept(rec(90, era=0), 95.0, RELAY)
    reader.rise()
    reader.start()
    reader.feed.apply_kept(rec(91, era=1), 95.0, RELAY)
    assert (reader.records, reader.bounds) == ([rec(90, era=0)], [95.0])
    assert reader.feed.next_offset is None


@pytest.mark.parametrize("era", [0, 1])
def test_process_that_starts_dates_by_its_own_reads_in_any_era(era):
    """Guards against declarations that bind at once because the store came back once, long ago."""
    reader = Reader()
    reader.feed = Feed(
        reader,
        FeedSettings("t", 1.0),
        lambda: reader.now,
        reader.on_record,
        reader.snapshots.append,
        lambda _reason: None,
        Random(1),
    )
    reader.answer(page(end=5, era=era))
    reader.answer(RecordBatch((rec(5, era=era),), 6, era=era), after_s=0.05)
    assert reader.bounds == [100.0]


@pytest.mark.parametrize("through", ["a later question", "a snapshot", "a batch"])
def test_what_was_left_out_before_a_kept_record_is_older_than_the_rise(through):
    """Guards against the bound of a superseded version that counts from the new era."""
    reader, omitted = Reader(), []
    reader.feed._on_record = lambda _record: omitted.append(reader.feed.earliest_omitted_at)
    reader.rise()
    if through == "a snapshot":
        reader.answer(page(rec(4, era=1)))
    else:
        reader.answer(page())
        # Long after the rise, when the feed has confirmed the new era.
        for _ in range(9):
            reader.now += 1.0
            reader.answer(RecordBatch((), 5, era=2))
        if through == "a batch":
            reader.answer(RecordBatch((rec(8, era=1),), 5, RELAY, compacted=True, era=2))
        else:
            reader.feed.apply_kept(rec(8, era=1), 104.0, RELAY)
    assert omitted == [100.0]
