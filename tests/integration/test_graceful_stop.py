"""Planned stops with real processes: leaving upstreams, entries and agents under load."""

import signal
import time

import pytest

from bench._load import percentile
from tests.harness import (
    Fleet,
    Layout,
    Pool,
    System,
    http_json,
    start_agent,
    start_entry,
    wait_until,
)
from tests.integration.traffic import Traffic, summary

SEED = 20261
#: Requests a second; one engine alone can carry them, so that a stop waits for work in flight only
#: and not for a backlog.
RATE_PER_S = 15
#: Seconds after which a leaving upstream must get no new work (I5).
NO_WORK_AFTER_S = 2.0
#: Lag of the VM list, far beyond that bound.
LAG_S = 10.0


@pytest.fixture(scope="module")
def system():
    layout = Layout(
        pools=(Pool("assistant", 3), Pool("booking", 2, "service")),
        entries=2,
        slots=8,
        vms_options={"lag_s": 0.0},
        service_options={"work_ms": 20},
    )
    with Fleet() as fleet:
        running = System(fleet, layout).start()
        running.publish([running.release("assistant", "v1")])
        running.wait_confirmed("v1", 3)
        running.wait_services()
        yield running


async def mixed_work(traffic, rng):
    """Short and long streams, lookups and bookings, as the workloads have them."""
    kind = rng.random()
    if kind < 0.1:
        await traffic.generate(max_tokens=rng.choice((100, 300)), timeout_s=30.0)
    elif kind < 0.5:
        await traffic.generate(max_tokens=rng.randint(5, 30), stream=rng.random() < 0.5)
    elif kind < 0.7:
        await traffic.look_up("booking")
    else:
        await traffic.book("booking", "book")


def ports(system):
    return lambda: [entry.port for entry in system.entries]


def engine_starts(replica):
    """Returns the unix times at which requests started on a replica's engine."""
    _, body = http_json("GET", replica.upstream.port, "/history")
    return [record["start"] for record in body["requests"]], body["requests"]


def seen_by(entry, agent_id):
    rows = http_json("GET", entry.port, "/v1/status")[1]["upstreams"]
    return next((row for row in rows if row["id"] == agent_id), None)


def executions(system):
    total = {}
    for replica in system.replicas:
        if replica.pool.kind == "service":
            for key, count in http_json("GET", replica.upstream.port, "/executions")[1].items():
                total[key] = total.get(key, 0) + count
    return total


def assert_nothing_lost(stories):
    """Every caller has its answer and repeated only what was truthfully refused."""
    print(summary(stories))
    assert stories
    lost = [story for story in stories if not story.done]
    assert not lost, summary(stories)
    for story in stories:
        told = {(seen.outcome, seen.ran) for seen in story.sends[:-1]}
        assert all(ran == "not_run" for _, ran in told), (story.kind, told)


def assert_refusals_true(system, stories):
    """What was refused as not run has no complete or running trace at any engine."""
    held = [replica for replica in system.replicas if replica.pool.kind == "engine"]
    started = {}
    for replica in held:
        if replica.upstream.alive:
            for record in engine_starts(replica)[1]:
                started.setdefault(record["request_id"].split("/")[0], []).append(record)
    for story in stories:
        for seen in story.sends[:-1]:
            if seen.kind == "generate" and seen.ran == "not_run":
                assert seen.request_id not in started, (seen, started[seen.request_id])


def test_leaving_upstream_gets_no_new_work(system):
    """A leaving upstream must be left alone within 2 s, however late the VM list tells of it."""
    leaving = next(r for r in system.replicas if r.pool.kind == "engine")
    http_json("POST", system.vms.port, "/faults", {"lag_s": LAG_S})
    with Traffic(ports(system), SEED, RATE_PER_S, mixed_work) as traffic:
        # Long streams must be running on the replica when it is told to leave.
        wait_until(
            lambda: any(
                r["outcome"] is None and time.time() - r["start"] > 0.5
                for r in engine_starts(leaving)[1]
            ),
            15,
            "a long stream on the leaving replica",
        )
        running = [r for r in engine_starts(leaving)[1] if r["outcome"] is None]
        told_at = time.time()
        http_json("POST", system.vms.port, "/leave", {"id": leaving.agent_id})
        leaving.agent.kill(signal.SIGTERM)
        noticed = {}
        while len(noticed) < len(system.entries) and time.time() < told_at + NO_WORK_AFTER_S:
            for entry in system.entries:
                row = seen_by(entry, leaving.agent_id)
                if entry.entry_id not in noticed and (row is None or row["state"] != "live"):
                    noticed[entry.entry_id] = time.time() - told_at
        wait_until(lambda: time.time() > told_at + NO_WORK_AFTER_S + 2, 10, "time for wrong work")
        leaving.agent.wait_end(30)
        left_after = time.time() - told_at
        stories = traffic.stop()
    print(f"noticed after {sorted(noticed.values())} s, agent ended after {left_after:.2f} s")
    assert len(noticed) == len(system.entries)
    starts, records = engine_starts(leaving)
    late = [at - told_at for at in starts if at > told_at + NO_WORK_AFTER_S]
    assert not late, late
    finished = {r["request_id"]: r["outcome"] for r in records}
    assert {finished[r["request_id"]] for r in running} == {"complete"}
    assert_nothing_lost(stories)
    assert_refusals_true(system, stories)
    system.replicas.remove(leaving)


def test_planned_stop_cuts_off_no_request(system):
    """A SIGTERM to an entry and to an agent of each kind must cut off no caller."""
    http_json("POST", system.vms.port, "/faults", {"lag_s": LAG_S})
    agents = [
        next(r for r in system.replicas if r.pool.kind == kind) for kind in ("engine", "service")
    ]
    entry = system.entries[-1]
    with Traffic(ports(system), SEED + 1, RATE_PER_S, mixed_work) as traffic:
        wait_until(lambda: len(traffic.stories) > 30, 15, "load")
        ended = {}
        for name, process in [
            ("entry", entry.process),
            *((r.agent_id, r.agent) for r in agents),
        ]:
            started = time.monotonic()
            process.kill(signal.SIGTERM)
            assert process.wait_end(30) == 0, process.tail()
            ended[name] = time.monotonic() - started
        stories = traffic.stop()
    print(f"ended after {ended}")
    assert_nothing_lost(stories)
    assert_refusals_true(system, stories)
    keys = [story.last.key for story in stories if story.kind == "book"]
    counts = executions(system)
    assert [counts.get(key, 0) for key in keys] == [1] * len(keys)
    system.entries.remove(entry)
    http_json("POST", system.vms.port, "/remove", {"id": entry.entry_id})
    system.entries.append(restart_entry(system, entry))
    for replica in agents:
        restart_agent(system, replica)


def restart_agent(system, replica):
    """Starts an ended agent again with the same id on new ports."""
    replica.agent = start_agent(system.fleet, replica.settings_path, name=replica.agent_id)
    system.register_replica(replica)


def restart_entry(system, entry):
    """Starts an ended entry again with the same id on new ports."""
    entry.process = start_entry(system.fleet, entry.settings_path, name=entry.entry_id)
    entry.process.wait_ready()
    system.register_entry(entry)
    return entry


def test_rolling_restart_loses_nothing(system):
    """Every process stops and starts again under load: no request lost, no booking repeated."""
    http_json("POST", system.vms.port, "/faults", {"lag_s": 1.0})
    steps = []
    replicas = sum(r.pool.kind == "engine" for r in system.replicas)
    system.wait_confirmed("v1", replicas)
    system.wait_services()
    with Traffic(ports(system), SEED + 2, RATE_PER_S, mixed_work) as traffic:
        wait_until(lambda: len(traffic.stories) > 20, 15, "load")
        for replica in list(system.replicas):
            started = time.monotonic()
            replica.agent.kill(signal.SIGTERM)
            assert replica.agent.wait_end(30) == 0, replica.agent.tail()
            restart_agent(system, replica)
            for entry in system.entries:
                wait_until(
                    lambda entry=entry, replica=replica: (
                        (row := seen_by(entry, replica.agent_id)) is not None
                        and row["linked"]
                        and row["state"] == "live"
                    ),
                    15,
                    f"{replica.agent_id} live again at {entry.entry_id}",
                )
            steps.append(time.monotonic() - started)
        for entry in list(system.entries):
            started = time.monotonic()
            entry.process.kill(signal.SIGTERM)
            assert entry.process.wait_end(30) == 0, entry.process.tail()
            restart_entry(system, entry)
            wait_until(
                lambda entry=entry: http_json("GET", entry.port, "/healthz")[0] == 200,
                15,
                f"{entry.entry_id} ready again",
            )
            steps.append(time.monotonic() - started)
        stories = traffic.stop()
    print(f"seconds of each step: median {percentile(steps, 0.5):.2f}, worst {max(steps):.2f}")
    assert_nothing_lost(stories)
    assert_refusals_true(system, stories)
    counts = executions(system)
    keys = [story.last.key for story in stories if story.kind == "book"]
    assert [counts.get(key, 0) for key in keys] == [1] * len(keys)
