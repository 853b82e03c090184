"""Reading from relays, and from the store when they fail."""

import pytest

from fescuechute.feeds import Failure, KeyedRecord, RecordBatch, SnapshotPage
from fescuechute.net import ManualClock
from fescuechute.relay import RelayedLog, SourceSelector, encode_batch
from fescuechute.relay._codec import encode_records
from tests.relay.relay_harness import RELAYS, TIMING, FakeHttp, FakeStore, empty_batch, make_result

BATCH = encode_batch(
    encode_records([KeyedRecord(5, "a", None), KeyedRecord(6, "config", b"{}")]), 7, -0.5, -0.4
)


class Follower:
    """A process that reads from two relays."""

    def __init__(self):
        self.clock, self.store, self.http = ManualClock(), FakeStore(), FakeHttp()
        self.outcomes, self.failed_sources = [], []
        selector = SourceSelector("side-1/a", "d", lambda _now: RELAYS)
        self.log = RelayedLog(
            self.store,
            self.http,
            selector,
            TIMING,
            self.clock.now,
            lambda source, _reason: self.failed_sources.append(source),
        )

    def read(self):
        self.log.read("t", 5, 3.0, self.outcomes.append)

    def answer(self, result):
        """Completes the call to a relay and returns the relay and the wait that it named."""
        ip, path, idle_timeout_s, on_end = self.http.calls.pop()
        wait_s = int(path.rpartition("=")[2]) / 1000
        assert idle_timeout_s == pytest.approx(wait_s + TIMING.silence_s)
        on_end(result)
        return ip, wait_s


def test_records_of_a_relay_keep_their_dates():
    """Guards against records that count as newer than they are after a hop."""
    follower = Follower()
    follower.read()
    _, wait_s = follower.answer(make_result(body=BATCH))
    (batch,) = follower.outcomes
    assert (wait_s, batch.end, batch.confirmed_after_s, batch.appended_after_s) == (
        TIMING.wait_s,
        7,
        -0.5,
        -0.4,
    )


@pytest.mark.parametrize(
    ("name", "result"),
    [
        ("refused", make_result(503)),
        ("silent", make_result(0, error="silent")),
        ("reset", make_result(0, error="Connection reset by peer")),
        ("malformed", make_result(body=b"\xc1")),
    ],
)
def test_failed_relays_are_replaced_by_the_store_without_waiting(name, result):
    """Guards against configurations that are late because the relays of a region failed."""
    follower = Follower()
    follower.read()
    first, _ = follower.answer(result)
    second, wait_s = follower.answer(result)
    assert (first != second, wait_s) == (True, 0.0), name
    call, on_end, _ = follower.store.calls.pop()
    assert call == ("read", 5, 0.0)
    on_end(empty_batch(5))
    # The records may be as old as the call, which the feed must not take for a prompt response.
    assert follower.outcomes == [RecordBatch((), 5)]


def test_failure_of_every_source_is_reported_once():
    """Guards against feeds that never learn that the log is unavailable."""
    follower = Follower()
    follower.read()
    follower.answer(make_result(503))
    follower.answer(make_result(503))
    _, on_end, _ = follower.store.calls.pop()
    on_end(Failure("silent"))
    assert follower.outcomes == [Failure("silent")]


def test_snapshot_of_a_relay_is_one_page_without_deleted_keys():
    """Guards against deleted keys that count as present."""
    follower = Follower()
    follower.log.snapshot("t", "", follower.outcomes.append)
    follower.answer(make_result(body=BATCH))
    (page,) = follower.outcomes
    assert isinstance(page, SnapshotPage)
    assert ([record.key for record in page.records], page.has_more) == (["config"], False)
    assert (page.end, page.confirmed_after_s) == (7, -0.5)


def test_later_pages_of_a_snapshot_come_from_the_store():
    """Guards against a snapshot that mixes pages of two sources."""
    follower = Follower()
    follower.log.snapshot("t", "config", follower.outcomes.append)
    assert follower.store.calls[0][0] == ("snapshot", "config")


def test_snapshot_of_a_relay_is_in_key_order():
    """Guards against readers that get a declaration before the configuration that it refers to."""
    records = [KeyedRecord(5, "version/m", b"2"), KeyedRecord(9, "config", b"{}")]
    follower = Follower()
    follower.log.snapshot("t", "", follower.outcomes.append)
    follower.answer(make_result(body=encode_batch(encode_records(records), 10, 0.0, None)))
    (page,) = follower.outcomes
    assert [record.key for record in page.records] == ["config", "version/m"]


def test_failing_source_is_reported_once():
    """Guards against a log line for each call while a relay is down."""
    follower = Follower()
    for _ in range(2):
        follower.read()
        follower.answer(make_result(503))
        follower.answer(make_result(503))
        follower.store.calls.pop()[1](empty_batch(5))
        follower.clock.advance(10.0)
    assert sorted(follower.failed_sources) == [relay.process_id for relay in RELAYS]


def test_snapshot_of_a_relay_keeps_the_order_of_the_records_of_a_key():
    """Guards against a declaration that is ignored because a newer one came before it."""
    follower = Follower()
    keys = [(2, "b"), (5, "a"), (7, "b"), (9, "a"), (12, "b")]
    records = [KeyedRecord(offset, key, b"v") for offset, key in keys]
    dates = [-float(offset) for offset, _ in keys]
    body = encode_batch(encode_records(records), 13, 0.0, -12.0, None, dates)
    follower.log.snapshot("t", "", follower.outcomes.append)
    _, _, _, on_end = follower.http.calls.pop()
    on_end(make_result(body=body))
    (page,) = follower.outcomes
    assert [record.offset for record in page.records] == [5, 9, 2, 7, 12]
    assert page.appended_after_s == (-5.0, -9.0, -2.0, -7.0, -12.0)
