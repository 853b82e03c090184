"""Planned stops under load with real processes: leaving upstreams, entries and agents."""

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
#: Requests per second. A single engine has capacity for them, so a stop waits for requests in
#: flight only and not for a queue.
RATE_PER_S = 15
#: Seconds after which a leaving upstream must get no new requests (I5).
NO_NEW_REQUESTS_AFTER_S = 2.0
#: Lag of the VM list in seconds; long enough that the list cannot help to meet the bound above.
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


async def send_mixed(traffic, rng):
    """Sends one random request or call: a long or short answer, a lookup or a booking."""
    draw = rng.random()
    if draw < 0.1:
        await traffic.generate(max_tokens=rng.choice((100, 300)), timeout_s=30.0)
    elif draw < 0.5:
        await traffic.generate(max_tokens=rng.randint(5, 30), stream=rng.random() < 0.5)
    elif draw < 0.7:
        await traffic.lookup("booking")
    else:
        await traffic.book("booking", "book")


def entry_ports(system):
    return lambda: [entry.port for entry in system.entries]


def engine_history(replica):
    """Returns the start times (unix seconds) and the records of an engine's requests."""
    _, body = http_json("GET", replica.upstream.port, "/history")
    return [record["start"] for record in body["requests"]], body["requests"]


def upstream_status(entry, agent_id):
    rows = http_json("GET", entry.port, "/v1/status")[1]["upstreams"]
    return next((row for row in rows if row["id"] == agent_id), None)


def executions_by_key(system):
    total = {}
    for replica in system.replicas:
        if replica.pool.kind == "service":
            for key, count in http_json("GET", replica.upstream.port, "/executions")[1].items():
                total[key] = total.get(key, 0) + count
    return total


def assert_all_answered(requests):
    """Asserts that every caller got an answer and retried only what was refused as not run."""
    print(summary(requests))
    assert requests
    unanswered = [request for request in requests if not request.answered]
    assert not unanswered, summary(requests)
    for request in requests:
        results = {(seen.outcome, seen.ran) for seen in request.attempts[:-1]}
        assert all(ran == "not_run" for _, ran in results), (request.kind, results)


def assert_refusals_true(system, requests):
    """Asserts that no live engine has a record of an attempt that was refused as not run."""
    engines = [replica for replica in system.replicas if replica.pool.kind == "engine"]
    started = {}
    for replica in engines:
        if replica.upstream.alive:
            for record in engine_history(replica)[1]:
                started.setdefault(record["request_id"].split("/")[0], []).append(record)
    for request in requests:
        for seen in request.attempts[:-1]:
            if seen.kind == "generate" and seen.ran == "not_run":
                assert seen.request_id not in started, (seen, started[seen.request_id])


def test_leaving_upstream_gets_no_new_requests(system):
    """A leaving upstream must get no new requests after 2 s, even if the VM list is outdated."""
    leaving = next(r for r in system.replicas if r.pool.kind == "engine")
    http_json("POST", system.vms.port, "/faults", {"lag_s": LAG_S})
    with Traffic(entry_ports(system), SEED, RATE_PER_S, send_mixed) as traffic:
        # Ensures that a long stream is running on the replica when its agent is stopped.
        wait_until(
            lambda: any(
                r["outcome"] is None and time.time() - r["start"] > 0.5
                for r in engine_history(leaving)[1]
            ),
            15,
            "a long stream on the leaving replica",
        )
        running = [r for r in engine_history(leaving)[1] if r["outcome"] is None]
        stopped_at = time.time()
        http_json("POST", system.vms.port, "/leave", {"id": leaving.agent_id})
        leaving.agent.kill(signal.SIGTERM)
        detected_after = {}
        while (
            len(detected_after) < len(system.entries)
            and time.time() < stopped_at + NO_NEW_REQUESTS_AFTER_S
        ):
            for entry in system.entries:
                row = upstream_status(entry, leaving.agent_id)
                if entry.entry_id not in detected_after and (row is None or row["state"] != "live"):
                    detected_after[entry.entry_id] = time.time() - stopped_at
        wait_until(
            lambda: time.time() > stopped_at + NO_NEW_REQUESTS_AFTER_S + 2,
            10,
            "time for misrouted requests",
        )
        leaving.agent.wait_exit(30)
        ended_after = time.time() - stopped_at
        requests = traffic.stop()
    print(
        f"detected after {sorted(detected_after.values())} s, agent ended after {ended_after:.2f} s"
    )
    assert len(detected_after) == len(system.entries)
    starts, records = engine_history(leaving)
    late_starts = [at - stopped_at for at in starts if at > stopped_at + NO_NEW_REQUESTS_AFTER_S]
    assert not late_starts, late_starts
    outcome_by_id = {r["request_id"]: r["outcome"] for r in records}
    assert {outcome_by_id[r["request_id"]] for r in running} == {"complete"}
    assert_all_answered(requests)
    assert_refusals_true(system, requests)
    system.replicas.remove(leaving)


def test_planned_stop_interrupts_no_request(system):
    """SIGTERM to an entry and to an agent of each kind must not interrupt any request."""
    http_json("POST", system.vms.port, "/faults", {"lag_s": LAG_S})
    agents = [
        next(r for r in system.replicas if r.pool.kind == kind) for kind in ("engine", "service")
    ]
    entry = system.entries[-1]
    with Traffic(entry_ports(system), SEED + 1, RATE_PER_S, send_mixed) as traffic:
        wait_until(lambda: len(traffic.requests) > 30, 15, "load")
        durations = {}
        for name, process in [
            ("entry", entry.process),
            *((r.agent_id, r.agent) for r in agents),
        ]:
            started = time.monotonic()
            process.kill(signal.SIGTERM)
            assert process.wait_exit(30) == 0, process.tail()
            durations[name] = time.monotonic() - started
        requests = traffic.stop()
    print(f"ended after {durations}")
    assert_all_answered(requests)
    assert_refusals_true(system, requests)
    keys = [request.last_attempt.key for request in requests if request.kind == "book"]
    counts = executions_by_key(system)
    assert [counts.get(key, 0) for key in keys] == [1] * len(keys)
    system.entries.remove(entry)
    http_json("POST", system.vms.port, "/remove", {"id": entry.entry_id})
    system.entries.append(restart_entry(system, entry))
    for replica in agents:
        restart_agent(system, replica)


def restart_agent(system, replica):
    """Restarts an ended agent with the same id on new ports."""
    replica.agent = start_agent(system.fleet, replica.settings_path, name=replica.agent_id)
    system.register_replica(replica)


def restart_entry(system, entry):
    """Restarts an ended entry with the same id on new ports."""
    entry.process = start_entry(system.fleet, entry.settings_path, name=entry.entry_id)
    entry.process.wait_ready()
    system.register_entry(entry)
    return entry


def test_rolling_restart_loses_no_request(system):
    """Restarting each process under load must lose no request and execute no booking twice."""
    http_json("POST", system.vms.port, "/faults", {"lag_s": 1.0})
    step_durations = []
    engine_count = sum(r.pool.kind == "engine" for r in system.replicas)
    system.wait_confirmed("v1", engine_count)
    system.wait_services()
    with Traffic(entry_ports(system), SEED + 2, RATE_PER_S, send_mixed) as traffic:
        wait_until(lambda: len(traffic.requests) > 20, 15, "load")
        for replica in list(system.replicas):
            started = time.monotonic()
            replica.agent.kill(signal.SIGTERM)
            assert replica.agent.wait_exit(30) == 0, replica.agent.tail()
            restart_agent(system, replica)
            for entry in system.entries:
                wait_until(
                    lambda entry=entry, replica=replica: (
                        (row := upstream_status(entry, replica.agent_id)) is not None
                        and row["linked"]
                        and row["state"] == "live"
                    ),
                    15,
                    f"{replica.agent_id} live again at {entry.entry_id}",
                )
            step_durations.append(time.monotonic() - started)
        for entry in list(system.entries):
            started = time.monotonic()
            entry.process.kill(signal.SIGTERM)
            assert entry.process.wait_exit(30) == 0, entry.process.tail()
            restart_entry(system, entry)
            wait_until(
                lambda entry=entry: http_json("GET", entry.port, "/healthz")[0] == 200,
                15,
                f"{entry.entry_id} ready again",
            )
            step_durations.append(time.monotonic() - started)
        requests = traffic.stop()
    print(
        f"seconds of each step: median {percentile(step_durations, 0.5):.2f}, worst {max(step_durations):.2f}"
    )
    assert_all_answered(requests)
    assert_refusals_true(system, requests)
    counts = executions_by_key(system)
    keys = [request.last_attempt.key for request in requests if request.kind == "book"]
    assert [counts.get(key, 0) for key in keys] == [1] * len(keys)
