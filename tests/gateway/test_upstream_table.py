"""The table of replicas: guards against herds, stale entries and replicas that are tried in vain."""

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


def test_other_gateways_are_taken_to_send_as_many():
    """Guards against all gateways that send to the one replica that was just free."""
    rows = table()
    rows.register(entry())
    row = rows.get("i-1")
    row.report(report(running=2), now=1.0, other_gateways=5)
    row.in_flight += 1
    row.sent_since += 1
    row.unread_tokens += 100
    assert row.total == 1 + 2 + 5
    assert row.all_unread_tokens == 600
    row.report(report(running=8), now=1.2, other_gateways=5)
    assert row.total == 8


def test_a_draining_replica_gets_nothing_new():
    """Guards against requests at a replica that leaves."""
    rows = table()
    rows.register(entry())
    assert [row.instance for row in rows.of("lm")] == ["i-1"]
    rows.register(entry(state=UpstreamState.DRAINING))
    assert rows.of("lm") == []


def test_a_new_start_under_the_same_id_begins_anew():
    """Guards against versions and failures of a start that is over."""
    rows = table()
    rows.register(entry())
    rows.get("i-1").unreachable(10.0)
    assert not rows.register(entry())
    assert rows.get("i-1").failures == 1
    assert rows.register(entry(born=6))
    assert rows.get("i-1").failures == 0
    assert len(rows.of("lm")) == 1


def test_an_entry_that_lapsed_during_an_outage_may_come_back():
    """Guards against dropping every replica because the store was away."""
    rows = table()
    rows.register(entry())
    assert rows.remove("i-1", lapses_at=12.0) is None
    assert rows.of("lm")
    rows.register(entry())
    assert rows.expire(13.0) == []
    rows.remove("i-1", lapses_at=12.0)
    assert [row.instance for row in rows.expire(12.0)] == ["i-1"]
    assert rows.of("lm") == []


def test_a_replica_that_cannot_be_reached_is_left_alone_for_longer_each_time():
    """Guards against each request that finds out anew."""
    rows = table()
    rows.register(entry())
    row = rows.get("i-1")
    row.unreachable(0.0)
    first = row.not_before
    row.unreachable(first)
    assert row.not_before - first > first
    row.succeeded()
    assert row.failures == 0
