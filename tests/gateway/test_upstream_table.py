"""Upstream table: guards against herding, stale entries and requests to unreachable replicas."""

import attrs
import pytest

from fescuechute.catalog import EngineReport, LoadedModel, LoadState, Registration, UpstreamState
from fescuechute.checks import Address
from fescuechute.gateway import FirstEventModel, UpstreamTable
from tests.gateway.test_choice import PROFILE


def entry(
    instance="i-1", state=UpstreamState.READY, version=1, born=5, heartbeats=None
) -> Registration:
    return Registration(
        instance,
        "lm",
        Address("10.0.0.1", 80),
        "z",
        state,
        16,
        (LoadedModel("m", version),),
        born,
        heartbeats=heartbeats,
    )


def report(running=0, waiting=0, version=1) -> EngineReport:
    return EngineReport((LoadedModel("m", version),), False, 0, waiting, running, 0, 0, 1.0, 5)


def table() -> UpstreamTable:
    return UpstreamTable({"z": "r"})


@pytest.mark.parametrize("gateways", [1, 15, 35, 560])
def test_estimated_load_does_not_grow_with_the_number_of_gateways(gateways):
    """Guards against idle engines that look full, because one request counts once per gateway."""
    rows = table()
    rows.register(entry())
    row = rows.get("i-1")
    row.apply_report(report(running=2), now=1.0, other_gateway_count=gateways - 1)
    row.in_flight += 1
    row.pending_prompt_tokens += 100
    # All gateways together send 10 requests per second to this engine.
    sends_per_s = 10 / gateways
    assert row.estimated_in_flight(1.0, sends_per_s) == 3
    assert 3 <= row.estimated_in_flight(1.1, sends_per_s) <= 4
    model = FirstEventModel(PROFILE, 800)
    alone = model.seconds(row, row.estimated_in_flight(1.0))
    row.apply_report(report(running=3), now=1.2, other_gateway_count=gateways - 1)
    assert model.seconds(row, row.estimated_in_flight(1.2, sends_per_s)) == pytest.approx(alone)


def test_arrivals_from_other_gateways_are_estimated_from_the_age_of_the_report():
    """Guards against herding: all gateways choose the same free replica between two reports."""
    rows = table()
    rows.register(entry())
    row = rows.get("i-1")
    row.apply_report(report(running=2), now=1.0, other_gateway_count=5)
    assert row.estimated_in_flight(1.5, sends_per_s=2.0) == 2 + 5 * 2.0 * 0.5
    row.apply_report(report(running=8), now=1.5, other_gateway_count=5)
    assert row.estimated_in_flight(1.5, sends_per_s=2.0) == 8


def test_requests_that_wait_at_an_engine_delay_a_new_one():
    """Guards against an engine with long prompts ahead that is chosen like an idle one."""
    rows = table()
    rows.register(entry())
    row = rows.get("i-1")
    model = FirstEventModel(PROFILE, 800)
    row.apply_report(report(running=4), now=1.0)
    before = model.seconds(row, 4)
    row.apply_report(report(running=4, waiting=3), now=1.1)
    prefill_s = 3 * PROFILE.mean_prompt_tokens / PROFILE.prefill_tokens_per_s
    assert model.seconds(row, 4) == pytest.approx(before + prefill_s)


def test_draining_replica_gets_no_new_requests():
    """Guards against requests to a replica that is about to stop."""
    rows = table()
    rows.register(entry())
    assert [row.instance for row in rows.ready_replicas("lm")] == ["i-1"]
    rows.register(entry(state=UpstreamState.DRAINING))
    assert rows.ready_replicas("lm") == []


def test_restart_under_the_same_id_resets_the_state():
    """Guards against versions and failures carried over from before the restart."""
    rows = table()
    rows.register(entry())
    rows.get("i-1").record_unreachable(10.0)
    assert not rows.register(entry())
    assert rows.get("i-1").consecutive_failures == 1
    assert rows.register(entry(born=6))
    assert rows.get("i-1").consecutive_failures == 0
    assert len(rows.ready_replicas("lm")) == 1


def test_entry_that_expired_in_an_outage_may_register_again():
    """Guards against removing every replica after an outage of the store."""
    rows = table()
    rows.register(entry())
    assert rows.remove("i-1", expires_at=12.0) is None
    assert rows.ready_replicas("lm")
    rows.register(entry())
    assert rows.expire(13.0) == []
    rows.remove("i-1", expires_at=12.0)
    assert [row.instance for row in rows.expire(12.0)] == ["i-1"]
    assert rows.ready_replicas("lm") == []


def test_backoff_of_an_unreachable_replica_grows():
    """Guards against requests that each try an unreachable replica again."""
    rows = table()
    rows.register(entry())
    row = rows.get("i-1")
    row.record_unreachable(0.0)
    first = row.backoff_until
    row.record_unreachable(first)
    assert row.backoff_until - first > first
    row.record_success()
    assert row.consecutive_failures == 0


def test_address_that_is_used_again_names_the_newer_replica():
    """Guards against the load of a new replica that is applied to the one before it."""
    rows = table()
    rows.register(entry("old", born=5))
    rows.register(entry("new", born=6))
    assert rows.at_address("10.0.0.1", 80).instance == "new"
    rows.remove("new")
    assert rows.at_address("10.0.0.1", 80).instance == "old"
    rows.remove("old")
    assert rows.at_address("10.0.0.1", 80) is None


def test_heartbeat_does_not_change_the_generation():
    """Guards against subsets that are computed anew for each heartbeat of each replica."""
    rows = table()
    rows.register(entry())
    generation = rows.generation
    rows.register(entry())
    assert rows.generation == generation
    rows.register(entry(state=UpstreamState.DRAINING))
    assert rows.generation > generation


def test_leaving_replica_stays_leaving_until_it_restarts():
    """Guards against requests to a leaving replica whose entry is withdrawn and registered again."""
    rows = table()
    rows.register(entry())
    assert rows.record_leaving(rows.get("i-1"))
    assert not rows.record_leaving(rows.get("i-1"))
    rows.remove("i-1")
    rows.register(entry())
    assert rows.get("i-1").leaving
    rows.register(entry(born=6))
    assert not rows.get("i-1").leaving


@pytest.mark.parametrize(
    ("name", "states", "versions"),
    [
        ("verified", [(1, LoadState.VERIFIED)], {"m": 1}),
        ("unverified", [(1, LoadState.UNVERIFIED)], {}),
        ("loaded by an earlier stager", [(1, LoadState.UNKNOWN)], {"m": 1}),
        ("next load unverified", [(0, LoadState.VERIFIED), (1, LoadState.UNVERIFIED)], {}),
        ("next load unknown", [(0, LoadState.VERIFIED), (1, LoadState.UNKNOWN)], {}),
        ("restarted stager", [(1, LoadState.VERIFIED), (1, LoadState.UNKNOWN)], {"m": 1}),
        ("verified later", [(1, LoadState.UNVERIFIED), (1, LoadState.VERIFIED)], {"m": 1}),
    ],
)
def test_only_loads_that_may_be_whole_are_used(name, states, versions):
    """Guards against requests to an engine that may have loaded corrupt chunks."""
    rows = table()
    rows.register(entry())
    row = rows.get("i-1")
    for orders, state in states:
        row.apply_report(attrs.evolve(report(), orders=orders), 1.0, load_state=state)
    assert row.versions == versions, name


def test_registry_does_not_replace_the_version_that_a_stager_reported():
    """Guards against requests to an unverified load whose version the registry shows."""
    rows = table()
    rows.register(entry())
    row = rows.get("i-1")
    row.apply_report(report(), 1.0, load_state=LoadState.UNVERIFIED)
    rows.register(entry(version=2))
    assert row.versions == {}
    rows.register(entry(version=2, born=6))
    assert rows.get("i-1").versions == {}, "a restarted engine"


def test_registry_names_the_version_of_an_engine_without_a_stager():
    """Guards against an engine that gets no requests because no stager reports its load."""
    rows = table()
    rows.register(entry())
    rows.register(entry(version=2))
    assert rows.get("i-1").versions == {"m": 2}


@pytest.mark.parametrize(
    ("name", "born", "orders", "versions"),
    [
        ("the verified load", 5, 1, {"m": 1}),
        ("another load", 5, 2, {}),
        ("the next start, whose load is unknown", 6, 1, {"m": 1}),
    ],
)
@pytest.mark.parametrize("expires", [False, True])
def test_verification_outlasts_the_registry_entry(name, born, orders, versions, expires):
    """Guards against requests to a load that was never verified because the entry had expired meanwhile."""
    rows = table()
    rows.register(entry())
    rows.get("i-1").apply_report(attrs.evolve(report(), orders=1), 1.0, 0, LoadState.VERIFIED)
    rows.remove("i-1", 2.0 if expires else None)
    rows.expire(2.0)
    rows.register(entry(version=2, born=born))
    rows.register(entry(version=3, born=born))
    row = rows.get("i-1")
    assert row.versions == {}, name
    row.apply_report(attrs.evolve(report(), orders=orders, born_ms=born), 3.0)
    assert row.versions == versions, name


def test_changed_slots_change_what_is_learned():
    """Guards against limits by slots that a replica no longer has, since it registered again."""
    rows = table()
    rows.register(entry())
    rows.register(attrs.evolve(entry(), slots=4))
    capacity = rows.get("i-1").capacity
    assert capacity.slots == 4
    capacity.record_refusal(3.0, 0.0)
    # Half of the slots come back in four seconds: the limit is 2 + 2 then.
    assert capacity.limit(4.0) == 4.0


def test_region_follows_the_data_centre_of_the_entry():
    """Guards against a request outside its regions, at a replica whose entry named another place first."""
    rows = UpstreamTable({"z": "r", "z2": "r2"})
    rows.register(entry())
    row = rows.get("i-1")
    assert not rows.register(attrs.evolve(entry(), data_centre="z2"))
    assert (rows.get("i-1") is row, row.region) == (True, "r2")


#: Start and heartbeat count of a known entry and of the next one, and whether the next one is taken while
#: the replica is known, and after it was removed.
ENTRIES = {
    "next heartbeat": ((5, 9), (5, 10), True, True),
    "same heartbeat": ((5, 9), (5, 9), True, False),
    "old heartbeat": ((5, 9), (5, 8), False, False),
    "count starts anew": ((5, 9), (6, 0), True, True),
    "old start": ((5, 9), (4, 90), False, False),
    "old start without counts": ((5, None), (4, None), False, False),
    "no start": ((5, 9), (0, 8), True, True),
    "no start known": ((0, 9), (0, 8), True, True),
    "no count": ((5, 9), (5, None), True, True),
    "no count known": ((5, None), (5, 8), True, True),
}


@pytest.mark.parametrize("is_removed", [False, True])
@pytest.mark.parametrize(
    ("known", "other", "is_taken", "is_taken_back"), ENTRIES.values(), ids=ENTRIES
)
def test_entry_of_a_copy_does_not_bring_back_what_is_gone(
    known, other, is_taken, is_taken_back, is_removed
):
    """Guards against requests to a replica that is known to drain or to be gone."""
    rows = table()
    rows.register(entry(born=known[0], heartbeats=known[1]))
    rows.register(entry(born=known[0], heartbeats=known[1], state=UpstreamState.DRAINING))
    if is_removed:
        rows.remove("i-1")
    rows.register(entry(born=other[0], heartbeats=other[1]))
    assert bool(rows.ready_replicas("lm")) == (is_taken_back if is_removed else is_taken)


def test_heartbeat_raises_the_count_without_a_change():
    """Guards against a known count that stays at that of the last change, below the one of a copy."""
    rows = table()
    rows.register(entry(heartbeats=1))
    rows.register(entry(heartbeats=7))
    rows.register(entry(heartbeats=6, state=UpstreamState.DRAINING))
    assert rows.ready_replicas("lm")


@pytest.mark.parametrize(("expires_at", "is_taken"), [(2.0, True), (None, False)])
def test_replica_whose_entry_only_expired_comes_back_by_any_entry(expires_at, is_taken):
    """Guards against a replica that is lost because a relay has cached one of its older entries."""
    rows = table()
    rows.register(entry(heartbeats=100))
    rows.remove("i-1", expires_at=expires_at)
    rows.expire(2.0)
    rows.register(entry(heartbeats=3))
    assert (rows.get("i-1") is not None) is is_taken


def test_second_return_of_the_store_gives_a_replica_the_time_to_register_again():
    """Guards against replicas that are given up although the store has only just lost them again."""
    rows = table()
    rows.register(entry())
    rows.register(entry("i-2", UpstreamState.DRAINING))
    assert [rows.await_entry(rows.get("i-1"), at) for at in (5.0, 8.0, 6.0)] == 3 * [True]
    assert not rows.await_entry(rows.get("i-2"), 8.0)
    # The store may be away again when the time has passed.
    assert rows.expire(7.9, 7.9) == rows.expire(9.0, 7.9) == rows.expire(9.0) == []
    assert [row.instance for row in rows.expire(9.0, 8.0)] == ["i-1"]
