"""Relays: dates of their responses, and when they refuse calls."""

import pytest

from fescuechute.feeds import Failure, KeyedRecord, RecordBatch
from tests.relay.relay_harness import TIMING, Reader, empty_batch

CONFIG = KeyedRecord(4, "config", b"{}")


def test_call_before_the_first_snapshot_is_refused():
    """Guards against an empty configuration at processes that start together."""
    assert Reader().ask(0).status == 503


def test_waiting_call_gets_a_new_record():
    """Guards against records that arrive only after the wait of a call."""
    reader = Reader()
    reader.load(CONFIG)
    response = reader.ask(5, wait_ms=700)
    assert response.status is None
    reader.complete(RecordBatch((KeyedRecord(5, "config", b"new"),), 6), after_s=0.3)
    assert [record.value for record in response.batch.records] == [b"new"]
    assert response.batch.end == 6


def test_waiting_call_ends_without_records_after_its_wait():
    """Guards against calls that outlive their wait."""
    reader = Reader()
    reader.load(CONFIG)
    response = reader.ask(5, wait_ms=400)
    reader.clock.advance(0.41)
    reader.server.tick(reader.clock.time)
    assert (response.batch.records, response.batch.end) == ((), 5)


def test_response_is_dated_by_the_arrival_of_the_call():
    """Guards against keys that are accepted longer because the clocks of two VMs differ."""
    reader = Reader()
    reader.load(CONFIG)
    confirmed_at = reader.feed.confirmed_at
    reader.clock.advance(0.6)
    assert reader.ask(0).batch.confirmed_after_s == pytest.approx(confirmed_at - 100.6)


def test_relay_that_lost_the_store_refuses_waiting_and_new_calls():
    """Guards against late configurations at processes whose relay is cut off from the store."""
    reader = Reader()
    reader.load(CONFIG)
    waiting = reader.ask(5, wait_ms=5000)
    reader.clock.advance(TIMING.stale_s)
    reader.server.tick(reader.clock.time)
    assert (waiting.status, reader.ask(0).status) == (503, 503)


def test_relay_that_the_store_rejects_refuses_waiting_calls_at_once():
    """Guards against a region that misses configurations until its reader counts as stale."""
    reader = Reader()
    reader.load(CONFIG)
    waiting = reader.ask(5, wait_ms=5000)
    reader.complete(Failure("status 503"))
    assert waiting.status == 503


def test_relay_that_reads_from_another_relay_refuses_calls():
    """Guards against two relays that confirm each other while both lack the store."""
    reader = Reader()
    reader.load(CONFIG)
    reader.complete(Failure("status 429"))
    reader.clock.advance(TIMING.stale_s)
    assert reader.ask(0).status == 503


@pytest.mark.parametrize("transfer_s", [1.5, 10.0])
def test_relay_stays_current_while_a_large_record_arrives(transfer_s):
    """Guards against a region that reads from the store because its reader needs time for a record."""
    reader = Reader()
    reader.load(CONFIG)
    reader.feed.tick(reader.clock.time)
    _, on_end, on_progress = reader.store.calls.pop()
    waiting = reader.ask(5, wait_ms=20_000)
    while reader.clock.time < 100.0 + transfer_s:
        on_progress()
        reader.server.tick(reader.clock.time)
        reader.clock.advance(0.1)
    assert waiting.status is None
    on_end(RecordBatch((KeyedRecord(5, "config", b"large"),), 6))
    reader.server.tick(reader.clock.time)
    assert waiting.batch.records[0].value == b"large"


@pytest.mark.parametrize("parts_s", [TIMING.stalled_s + 0.1, TIMING.stale_s + 0.1])
def test_relay_whose_transfer_stalls_is_not_current(parts_s):
    """Guards against waiting for a reader on a link that is much slower than the others."""
    reader = Reader()
    reader.load(CONFIG)
    reader.feed.tick(reader.clock.time)
    _, _, on_progress = reader.store.calls.pop()
    while reader.clock.time < 100.0 + 1.5:
        on_progress()
        reader.clock.advance(parts_s)
    assert reader.ask(5).status == 503


@pytest.mark.parametrize(
    ("target", "status"),
    [
        ("/records", 400),
        ("/records?topic=t", 400),
        ("/records?topic=t&from=x", 400),
        ("/records?topic=t&from=1&wait_ms=.", 400),
        ("/records?topic=other&from=1", 404),
        ("/other?topic=t&from=1", 404),
    ],
)
def test_malformed_call_is_rejected(target, status):
    """Guards against a relay that fails because of a foreign call."""
    reader = Reader()
    reader.load(CONFIG)
    assert reader.send(target).status == status


def test_closed_relay_refuses_calls():
    """Guards against calls that wait for a relay that is about to end."""
    reader = Reader()
    reader.load(CONFIG)
    waiting = reader.ask(5, wait_ms=5000)
    reader.server.close()
    reader.complete(empty_batch(5))
    assert (waiting.status, reader.ask(0).status) == (503, 503)


def test_call_waits_for_a_record_with_an_effect():
    """Guards against a response to every process of a region for each heartbeat of each replica."""
    reader = Reader()
    reader.load(CONFIG)
    reader.feed._on_record = lambda record: None
    waiting = reader.ask(5, wait_ms=5000)
    reader.complete(
        RecordBatch((KeyedRecord(5, "i-1", b"beat"), KeyedRecord(6, "i-1", b"beat")), 7)
    )
    reader.server.tick(reader.clock.time)
    assert waiting.status is None
    reader.feed._on_record = reader.server.add
    reader.complete(RecordBatch((KeyedRecord(7, "i-1", b"draining"),), 8))
    reader.server.tick(reader.clock.time)
    assert [record.value for record in waiting.batch.records] == [b"draining"]
    assert (waiting.batch.end, waiting.batch.compacted) == (8, True)


def test_response_tells_when_the_log_last_failed():
    """Guards against replicas whose entries lapsed in an outage that only the reader has seen."""
    reader = Reader()
    reader.load(CONFIG)
    assert reader.ask(0).batch.failed_after_s is None
    reader.complete(Failure("status 503"))
    reader.clock.advance(1.0)
    reader.complete(RecordBatch((), 5))
    reader.clock.advance(0.5)
    assert reader.ask(0).batch.failed_after_s == pytest.approx(-0.5)


def test_expired_record_is_left_out_of_the_next_response():
    """Guards against a response with fewer dates than records, which readers refuse."""
    reader = Reader(superseded_ttl_s=8.0)
    reader.load()
    for offset in range(2):
        reader.complete(RecordBatch((KeyedRecord(offset, "k", b"v"),), offset + 1), after_s=0.5)
    batch = reader.ask(0).batch
    assert [record.offset for record in batch.records] == [0, 1]
    reader.clock.advance(8.1)
    reader.complete(empty_batch(2))
    batch = reader.ask(0).batch
    assert [record.offset for record in batch.records] == [1]
    assert len(batch.record_appended_after_s) == 1
