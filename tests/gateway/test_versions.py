"""Versions that a gateway allows after it has read a compacted log of declarations."""

from random import Random

import attrs
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from fescuechute.feeds import (
    Delivery,
    Feed,
    FeedSettings,
    KeyedRecord,
    RecordBatch,
    SnapshotPage,
    Trimmed,
)
from fescuechute.gateway import VersionTable
from fescuechute.net import ManualClock

BOUND_S = 8.0
RELAY = Delivery("10.0.0.1:17703", 100)


@attrs.frozen
class Declared:
    """A declaration in the log, and when it was appended."""

    offset: int
    version: int
    at: float

    @property
    def record(self):
        return KeyedRecord(self.offset, "version/m", b"%d" % self.version)


class Gateway:
    """A feed of declarations and the versions that it forbids."""

    def __init__(self, clock):
        self.clock, self.table, self._next = clock, VersionTable(BOUND_S), None
        self.feed = Feed(
            self, FeedSettings("t", 1.0), clock.now, self._declare, len, len, Random(1)
        )

    def snapshot(self, topic, after, on_end):
        self._next = on_end

    def read(self, topic, offset, wait_s, on_end):
        self._next = on_end

    def receive(self, outcome):
        self.feed.tick(self.clock.time)
        self._next(outcome)

    def _declare(self, record):
        dates = [self.feed.earliest_appended_at, self.feed.earliest_omitted_at]
        self.table.declare(
            "m", int(record.value), *(float("-inf") if date is None else date for date in dates)
        )


class Deployment:
    """A log of declarations, a gateway that saw all of them and one that reads and restarts."""

    def __init__(self):
        self.clock, self.log = ManualClock(100.0), []
        self.full = VersionTable(BOUND_S)
        self.gateway = Gateway(self.clock)

    def declare(self, step):
        version = (self.log[-1].version if self.log else 1) + step
        self.log.append(Declared(len(self.log), version, self.clock.time))
        self.full.declare("m", version, self.clock.time)

    def read(self, kept, dated):
        """Reads the newest declaration and some older ones.

        Args:
          kept: Bit n says whether the declaration n before the newest one is included; None for a
            response of the store, which includes all of them except in a snapshot.
          dated: Whether the records are dated.
        """
        feed, end = self.gateway.feed, len(self.log)
        found = [item for item in self.log if item.offset >= (feed.next_offset or 0)]
        if kept is not None:
            newest = len(self.log) - 1
            found = [item for item in found if (kept | 1) >> (newest - item.offset) & 1]
        records = tuple(item.record for item in found)
        dates = [item.at - self.clock.time - 0.3 if dated else None for item in found]
        if kept is None and feed.complete:
            outcome = RecordBatch(records, end)
        elif kept is None:
            outcome = SnapshotPage(records[-1:], False, end)
        elif feed.complete:
            outcome = RecordBatch(
                records, end, RELAY, record_appended_after_s=tuple(dates), compacted=True
            )
        else:
            outcome = SnapshotPage(records, False, end, RELAY, appended_after_s=tuple(dates))
        self.gateway.receive(outcome)

    def ask_relay(self, lag_s, kept):
        """Takes dates from a relay, which may date declarations too early and has left some out."""
        newest = len(self.log) - 1
        for item in self.log:
            if (kept | 1) >> (newest - item.offset) & 1:
                self.gateway.table.postpone("m", item.version, item.at - lag_s)
        if self.gateway.feed.next_offset == len(self.log):
            self.check()

    def check(self):
        for after_s in range(12):
            now = self.clock.time + after_s
            required = self.full.required_version("m", now)
            assert self.gateway.table.required_version("m", now) >= required, after_s


ACTIONS = st.one_of(
    st.tuples(st.just("advance"), st.floats(0.05, 5.0)),
    st.tuples(st.just("declare"), st.integers(1, 3)),
    st.tuples(st.just("read"), st.tuples(st.none() | st.integers(0, 31), st.booleans())),
    st.tuples(st.just("ask relay"), st.tuples(st.floats(0.0, 3.0), st.integers(0, 31))),
    st.tuples(st.sampled_from(["restart", "trim"]), st.none()),
)


@given(st.lists(ACTIONS, max_size=30))
@example([("declare", 1), ("advance", 1.0), ("declare", 1), ("read", (0, True))])
@example(
    [
        ("declare", 1),
        *[("advance", 5.0)] * 4,
        ("declare", 1),
        ("declare", 1),
        ("read", (None, False)),
        ("ask relay", (0.0, 3)),
    ]
)
def test_no_compaction_allows_a_version_that_the_full_log_forbids(actions):
    """Guards against requests on old weights at a gateway that missed superseded declarations."""
    deployment = Deployment()
    for action, argument in actions:
        if action == "advance":
            deployment.clock.advance(argument)
        elif action == "declare":
            deployment.declare(argument)
        elif action == "restart":
            deployment.gateway = Gateway(deployment.clock)
        elif action == "trim" and deployment.gateway.feed.complete:
            deployment.gateway.receive(Trimmed())
        elif action == "read":
            deployment.read(*argument)
            deployment.check()
        elif action == "ask relay":
            deployment.ask_relay(*argument)


@pytest.mark.parametrize(
    ("name", "declared", "expected"),
    [
        ("the next version", [(2, 10.0, 0.0)], {2: 10.0}),
        ("the first declaration", [(3, 10.0, 4.0)], {2: 4.0, 3: 10.0}),
        ("unknown since when", [(3, 10.0, float("-inf"))], {2: float("-inf"), 3: 10.0}),
        ("nothing left out", [(2, 1.0, 0.0), (5, 10.0, float("inf"))], {2: 1.0, 5: 10.0}),
        ("a gap", [(2, 1.0, 0.0), (5, 10.0, 4.0)], {2: 1.0, 4: 4.0, 5: 10.0}),
        ("a gap after a known date", [(2, 6.0, 0.0), (5, 10.0, 4.0)], {2: 6.0, 4: 6.0, 5: 10.0}),
        ("an older version", [(3, 1.0, float("inf")), (2, 2.0, 0.0)], {3: 1.0}),
    ],
)
def test_declarations_that_may_have_been_left_out_are_recorded(name, declared, expected):
    """Guards against a bound that is counted from the wrong declaration."""
    table = VersionTable(BOUND_S)
    added = [item for row in declared for item in table.declare("m", *row)]
    assert {item.version: item.earliest_declared_at for item in added} == expected, name


def test_declaration_without_a_date_binds_later_once_its_date_is_known():
    """Guards against a gateway that refuses all requests after a restart during an outage of the store."""
    table = VersionTable(BOUND_S)
    table.declare("m", 3, float("-inf"), float("-inf"))
    assert table.any_undated(10.0) and table.required_version("m", 10.0) == 3
    assert table.postpone("m", 3, 8.0) and table.postpone("m", 2, 6.0)
    assert not table.any_undated(10.0)
    assert [table.required_version("m", now) for now in (10.0, 13.5, 15.5)] == [0, 2, 3]


def test_date_of_a_version_tells_nothing_of_those_that_it_stood_for():
    """Guards against requests on weights whose bound ended with a version that a snapshot left out."""
    table = VersionTable(BOUND_S)
    table.declare("m", 4, float("-inf"), float("-inf"))
    assert table.postpone("m", 4, 21.0) and table.postpone("m", 3, 20.0)
    assert table.required_version("m", 22.0) == 2


@pytest.mark.parametrize(("version", "declared_at"), [(3, 7.0), (4, 20.0), (1, 20.0)])
def test_earlier_dates_and_unknown_versions_change_nothing(version, declared_at):
    """Guards against a bound that a relay with less knowledge moves."""
    table = VersionTable(BOUND_S)
    table.declare("m", 3, 8.0)
    assert not table.postpone("m", version, declared_at)
    assert not table.postpone("other", 3, 20.0)
    assert table.required_version("m", 15.5) == 3


def test_date_of_a_version_below_a_binding_one_is_not_wanted():
    """Guards against a gateway that asks for all records again and again after each start."""
    table = VersionTable(BOUND_S)
    table.declare("m", 3, 0.0, float("-inf"))
    assert table.any_undated(1.0)
    assert not table.any_undated(BOUND_S)
