"""Upstream table: guards against herding, stale entries and requests to unreachable replicas."""

from fescuechute.catalog import EngineReport, LoadedModel, Registration, UpstreamState
from fescuechute.checks import Address
from fescuechute.gateway import UpstreamTable


def entry(instance="i-1", state=UpstreamState.READY, version=1, born=5) -> Registration:
    return Registration(
        instance,
        "lm",
        Address("10.0.0.1", 80),
        "z",
        state,
        16,
        (LoadedModel("m", version),),
        born,
    )


def report(running=0, waiting=0, version=1) -> EngineReport:
    return EngineReport((LoadedModel("m", version),), False, 0, waiting, running, 0, 0, 1.0, 5)


def table() -> UpstreamTable:
    return UpstreamTable({"z": "r"})


def test_other_gateways_are_assumed_to_send_as_many():
    """Guards against herding: all gateways choose the same free replica between two reports."""
    rows = table()
    rows.register(entry())
    row = rows.get("i-1")
    row.apply_report(report(running=2), now=1.0, other_gateway_count=5)
    row.in_flight += 1
    row.sent_since_report += 1
    row.pending_prompt_tokens += 100
    assert row.estimated_in_flight == 1 + 2 + 5
    assert row.total_pending_prompt_tokens == 600
    row.apply_report(report(running=8), now=1.2, other_gateway_count=5)
    assert row.estimated_in_flight == 8


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
