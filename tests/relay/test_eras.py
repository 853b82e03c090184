"""Returns of the store at relays and their followers: guards against two eras that are mixed."""

import attrs
import msgpack
import pytest

from fescuechute.errors import WireError
from fescuechute.feeds import Delivery, Failure, KeyedRecord, RecordBatch, SnapshotPage
from fescuechute.relay import RecordCache, decode_batch, encode_batch
from fescuechute.relay._codec import encode_records
from tests.relay.relay_harness import RELAYS, TIMING, Reader, make_result
from tests.relay.test_relayed_log import Follower


def rec(offset, era, value=b"1", key="config"):
    return KeyedRecord(offset, key, value, era)


def rank(key, value):
    """The value, for the keys of configurations."""
    return int(value) if key == "config" else None


def encoded(*records, era, end=9):
    return make_result(body=encode_batch(encode_records(records, era), end, 0.0, None, era=era))


# Followers.


def test_source_of_an_older_era_is_replaced_by_the_next():
    """Guards against a follower that goes back because its relay is behind."""
    follower = Follower()
    follower.log.eras.observe(2, 0.0)
    follower.read()
    assert "&era=2&" in follower.http.calls[0][1]
    follower.answer(encoded(era=1))
    follower.answer(encoded(era=1))
    follower.store.calls.pop()[1](RecordBatch((), 9, era=1))
    (outcome,) = follower.outcomes
    assert isinstance(outcome, Failure) and "older" in outcome.reason
    assert not follower.log.is_current(0.0)


def test_rise_through_a_relay_is_known_to_all_readers():
    """Guards against two topics of one process in different eras."""
    follower = Follower()
    follower.log.eras.observe(1, 0.0)
    follower.read()
    follower.answer(encoded(era=2))
    assert (follower.outcomes[0].era, follower.log.eras.newest) == (2, 2)


@pytest.mark.parametrize("late", [RecordBatch((), 5, era=1), Failure("silent")])
def test_late_outcome_of_a_call_that_was_given_up_changes_nothing(late):
    """Guards against a relay that refuses its region because of a call from before the rise."""
    reader = Reader()
    reader.complete(SnapshotPage((), False, 5, era=1))
    reader.feed.tick(reader.clock.time)
    _, on_late, _ = reader.store.calls.pop()
    reader.eras.observe(2, reader.clock.time)
    assert not reader.log.is_current(reader.clock.time)
    reader.complete(SnapshotPage((rec(1, 2),), False, 2, era=2))
    on_late(late)
    assert reader.server.is_current(reader.clock.time)
    assert [record.position for record in reader.ask(0).batch.records] == [rec(1, 2).position]


@pytest.mark.parametrize(
    ("after_s", "calls"), [(0.0, 0), (TIMING.stale_s - 0.1, 0), (TIMING.stale_s, 1)]
)
def test_follower_lets_the_readers_read_a_new_era_first(after_s, calls):
    """Guards against a region whose processes all read a snapshot from the store at once."""
    follower = Follower()
    follower.log.eras.observe(1, 0.0)
    follower.log.eras.observe(2, follower.clock.time)
    follower.clock.advance(after_s)
    follower.log.snapshot("t", "", follower.outcomes.append)
    for _ in RELAYS:
        follower.answer(make_result(503))
    assert (len(follower.outcomes), len(follower.store.calls)) == (1 - calls, calls)


def test_reader_asks_the_store_without_waiting_first():
    """Guards against relays that refuse their region for the wait of their first call in an era."""
    reader = Reader()
    reader.complete(SnapshotPage((), False, 5, era=1))
    waits = []
    for era in (1, 2, 2):
        reader.eras.observe(era, reader.clock.time)
        reader.log.read("t", 5, 9.0, lambda _outcome: None)
        (_, _, wait_s), on_end, _ = reader.store.calls.pop()
        waits.append(wait_s)
        on_end(RecordBatch((), 5, era=era))
    assert waits == [TIMING.store_wait_s, 0.0, TIMING.store_wait_s]


# Relays.


def test_relay_behind_a_request_refuses_until_it_has_read_anew():
    """Guards against a region in which only some know of a return."""
    reader = Reader()
    reader.complete(SnapshotPage((rec(4, 1),), False, 5, era=1))
    ahead = "/records?topic=t&from=3&era=2&wait_ms=0"
    assert reader.send(ahead).status == 503
    reader.complete(SnapshotPage((rec(3, 2),), False, 4, era=2))
    batch = reader.send(ahead).batch
    assert (batch.era, batch.records) == (2, (rec(3, 2),))


@pytest.mark.parametrize("wait_ms", [0, 400])
def test_relay_ahead_of_a_request_answers_at_once_without_records(wait_ms):
    """Guards against records of the new era that are applied after an offset of the old one."""
    reader = Reader()
    reader.complete(SnapshotPage((rec(4, 2),), False, 5, era=2))
    batch = reader.send(f"/records?topic=t&from=9&era=1&wait_ms={wait_ms}").batch
    assert (batch.era, batch.records) == (2, ())


@pytest.mark.parametrize(("after_s", "status"), [(0.1, 200), (0.6, 503)])
def test_waiting_call_is_answered_when_the_relay_has_read_anew(after_s, status):
    """Guards against a region whose followers all read from the store after a return."""
    reader = Reader()
    reader.complete(SnapshotPage((rec(4, 1),), False, 5, era=1))
    waiting = reader.send("/records?topic=t&from=5&era=1&wait_ms=5000")
    reader.eras.observe(2, reader.clock.time)
    reader.server.tick(reader.clock.time)
    assert waiting.status is None
    reader.clock.advance(after_s)
    reader.server.tick(reader.clock.time)
    reader.complete(SnapshotPage((rec(4, 2),), False, 5, era=2))
    assert waiting.status == status
    if status == 200:
        assert (waiting.batch.era, waiting.batch.records) == (2, ())


@pytest.mark.parametrize("era", ["-1", "x", "1.0", str((1 << 53) + 1)])
def test_request_of_an_impossible_era_is_rejected(era):
    """Guards against a caller that makes a relay wait for an era that never comes."""
    reader = Reader()
    reader.complete(SnapshotPage((), False, 5, era=1))
    assert reader.send(f"/records?topic=t&from=5&era={era}&wait_ms=0").status == 400
    assert reader.eras.newest == 1


# Kept records.

COPY, KEPT = rec(1, 2, b"7"), rec(8, 1, b"9")
EVACUATION = KeyedRecord(6, "evacuate/a", b"{}", 1)


@pytest.mark.parametrize(
    ("name", "added", "expected"),
    [
        ("older configuration of the copy", [COPY], [KEPT]),
        ("same one written again", [rec(2, 2, b"9")], [rec(2, 2, b"9")]),
        ("newer one", [COPY, rec(2, 2, b"10")], [rec(2, 2, b"10")]),
        ("older ones written again", [COPY, rec(2, 2, b"8")], [KEPT]),
    ],
)
def test_higher_rank_holds_in_whichever_era(name, added, expected):
    """Guards against a configuration that is taken back until it is written again."""
    cache = RecordCache(rank)
    cache.add(KEPT, 50.0)
    for record in added:
        cache.add(record, 90.0)
    assert cache.retain(frozenset({"config"}), 2, 2) == (["config"] if expected == [KEPT] else [])
    found = cache.since(0)
    assert [known.record for known in found] == expected, name
    assert found[0].appended_after == (90.0 if name == "newer one" else 50.0)
    assert KEPT not in [known.record for known in cache.since(1)]


@pytest.mark.parametrize(
    ("name", "deletion", "now", "is_kept"),
    [
        ("lacking in the copy", None, 159.0, True),
        ("too long ago", None, 160.0, False),
        ("deleted since", KeyedRecord(3, "evacuate/a", None, 2), 101.0, False),
        ("deleted before", KeyedRecord(5, "evacuate/a", None, 1), 101.0, True),
    ],
)
def test_record_without_a_rank_is_kept_for_a_time(name, deletion, now, is_kept):
    """Guards against an evacuation that ends, or never ends, because the store lost it."""
    cache = RecordCache(rank)
    cache.add(EVACUATION, 50.0)
    assert cache.retain(frozenset(), 2, 2) == ["evacuate/a"]
    if deletion is not None:
        cache.add(deletion, 100.0)
    cache.evict(now, 160.0)
    assert (EVACUATION in [known.record for known in cache.since(0)]) is is_kept, name


def test_cache_without_ranks_keeps_nothing_of_an_older_era():
    """Guards against entries of replicas that are gone, and offsets above those of the new era."""
    cache = RecordCache()
    cache.add(KeyedRecord(90, "i-1", b"{}", 1), None)
    assert (cache.retain(frozenset(), 4, 2), cache.since(0), cache.newest_offset) == ([], [], -1)


def test_starting_process_gets_the_kept_configuration():
    """Guards against a gateway that serves by the copy although its region knows better."""
    reader = Reader(rank=rank)
    reader.complete(SnapshotPage((KEPT,), False, 9, era=1))
    reader.complete(SnapshotPage((COPY,), False, 2, era=2))
    reader.complete(SnapshotPage((COPY,), False, 2, era=2))
    follower = Follower()
    follower.log.snapshot("t", "", follower.outcomes.append)
    follower.answer(make_result(body=reader.ask(0).body))
    (page,) = follower.outcomes
    assert (page.records, page.end, page.era) == ((KEPT,), 2, 2)


@pytest.mark.parametrize("era", [-1, True, "2", None, 1.0, (1 << 53) + 1])
def test_batch_of_an_impossible_era_is_an_error(era):
    """Guards against an answer that makes all others count as old."""
    data = msgpack.packb((9, 0.0, None, None, [], encode_records([]), era))
    with pytest.raises(WireError):
        decode_batch(data, "relay", 0.0)
    with pytest.raises(WireError):
        kept = attrs.evolve(COPY, era=era)
        decode_batch(encoded(kept, era=5).body, "relay", 0.0)


def test_follower_gets_what_its_relay_learns_after_the_snapshot():
    """Guards against a region that serves by the copy although one relay has learned of more."""
    reader = Reader(rank=rank)
    reader.complete(SnapshotPage((rec(1, 2, b"7"),), False, 4, era=2))
    call = "/records?topic=t&from=4&era=2&wait_ms=500"
    waiting = reader.send(call)
    assert waiting.status is None
    reader.feed.apply_kept(rec(9, 1, b"9"), None, Delivery())
    reader.server.tick(reader.clock.time)
    batch = waiting.batch
    assert ([record.value for record in batch.records], batch.end) == ([b"9"], 4)
    assert reader.send(f"{call}&kept={batch.kept_token}").status is None


def test_batch_of_the_first_era_is_one_of_earlier_releases():
    """Guards against followers of an earlier release that must all read from the store."""
    assert len(msgpack.unpackb(encode_batch(encode_records([]), 1, 0.0, None))) == 6
