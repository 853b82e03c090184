"""On each kind of hop, open connections go silent forever while new connections work.

This happens when a middlebox loses its connection state, which affects all connections of the hop
at once, so a pooled connection must not be reused after another one went silent. The target is to
detect the silence within 3 s.
"""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench._load import new_key
from tests.harness import Fleet, Layout, Pool, http_json, set_faults
from tests.integration.fault_injection import ProxiedSystem, check_answers, run_load

#: Seconds within which silence must be detected and requests must succeed again.
DETECTION_S = 3.0
SEED = 31


@pytest.fixture(scope="module")
def system():
    layout = Layout(
        pools=(Pool("assistant", 2), Pool("booking", 1, "service")),
        entries=1,
        slots=8,
        engine_options={"token_interval_ms": 5},
    )
    with Fleet() as fleet:
        running = ProxiedSystem(fleet, layout, ("links", "upstreams", "log"))
        running.start()
        running.publish([running.release("assistant", "v1", 256 << 10)])
        running.wait_confirmed("v1", 2)
        running.wait_services()
        yield running


def silence_connections(proxies):
    """Silences all open connections through the proxies; returns the monotonic time."""
    for proxy in proxies:
        set_faults(proxy.control_port, silence_existing=True)
    return time.monotonic()


def generate(system, prompt, max_tokens=20):
    body = {"workspace": "w1", "rank": "urgent", "model": "assistant", "prompt": prompt}
    body |= {"max_tokens": max_tokens, "deadline_unix_ms": int((time.time() + 30) * 1000)}
    return http_json("POST", system.entries[0].port, "/v1/generate", body, timeout_s=35)


def call_service(system, operation, key=""):
    body = {"workspace": "w1", "rank": "urgent", "service": "booking", "operation": operation}
    if key:
        body["idempotency_key"] = key
    return http_json("POST", system.entries[0].port, "/v1/call", body)


def execution_count(system, key):
    service = next(r for r in system.replicas if r.pool.kind == "service")
    return http_json("GET", service.upstream.port, "/executions")[1].get(key, 0)


def retry_until(action, started, what):
    """Retries an action until it returns true; returns the seconds since `started`."""
    while True:
        if action():
            return time.monotonic() - started
        assert time.monotonic() - started < DETECTION_S, (
            f"{what} did not succeed again within {DETECTION_S} s"
        )
        time.sleep(0.02)


def run_parallel(count, action):
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(lambda _number: action(), range(count)))


def test_silent_links_between_entries_and_agents(system):
    """The entry must replace silent links to agents in time and retry their requests."""
    before = system.entry_counters()
    delays_s = []

    def inject():
        started = silence_connections(system.link_proxies.values())
        counter = "links.silent"
        while (system.entry_counters() - before)[counter] < len(system.link_proxies):
            assert time.monotonic() - started < DETECTION_S, "the silence was not detected"
            time.sleep(0.02)
        delays_s.append(time.monotonic() - started)
        retry_until(lambda: generate(system, "after the silence")[0] == 200, started, "requests")
        delays_s.append(time.monotonic() - started)

    rows = run_load(system, SEED, 20, 4.0, [(1.0, inject)])
    counts = check_answers(system, rows, f"entry-agent: detected, recovered after {delays_s}")
    assert counts["answered"] >= 0.7 * len(rows)


def test_silent_links_between_agents(system):
    """Agents must replace silent links to each other in time."""
    agents = system.engine_replicas()
    names = {agent.agent_id for agent in agents}

    def silent_link_count():
        return sum(system.agent_status(a)["counters"].get("links.silent", 0) for a in agents)

    before, entry_before = silent_link_count(), system.entry_counters()
    started = silence_connections(system.link_proxies.values())

    def reconnected():
        link_sets = [set(system.agent_status(a)["links"]) | {a.agent_id} for a in agents]
        return silent_link_count() > before and all(names <= links for links in link_sets)

    print(f"agent-agent: reconnected after {retry_until(reconnected, started, 'links'):.2f} s")
    # The same proxies carry the entry's links; waits until those are replaced, for the next test.
    retry_until(
        lambda: (
            (system.entry_counters() - entry_before)["links.silent"] >= len(system.link_proxies)
        ),
        started,
        "links of the entry",
    )
    system.wait_confirmed("v1", 2)
    system.wait_services()


def test_silent_connections_to_engines(system):
    """Agents must detect silent engine connections in time and cancel their requests."""
    results = run_parallel(24, lambda: generate(system, "fill the pool"))
    assert {status for status, _ in results} == {200}, [a for s, a in results if s != 200][:2]
    before = system.entry_counters()
    proxies = [system.upstream_proxies[replica.agent_id] for replica in system.engine_replicas()]
    delays_s = []

    def inject():
        started = silence_connections(proxies)
        counters = "retried.upstream_lost", "refused.upstream_lost"
        while not sum((system.entry_counters() - before)[name] for name in counters):
            assert time.monotonic() - started < DETECTION_S, "the silence was not detected"
            time.sleep(0.02)
        delays_s.append(time.monotonic() - started)

    with ThreadPoolExecutor(1) as pool:
        long_request = pool.submit(generate, system, "a long answer", 900)
        rows = run_load(system, SEED + 1, 20, 4.5, [(1.0, inject)], max_tokens=100)
        status, answer = long_request.result()
    assert (status, answer.get("count")) == (200, 900), answer
    silent_from = min(row.sent_at for row in rows) + 1.0
    late_failures = [
        r for r in rows if r.sent_at > silent_from + DETECTION_S and r.outcome != "answered"
    ]
    check_answers(system, rows, f"agent-engine: detected after {delays_s}")
    assert not late_failures, (
        f"requests sent more than {DETECTION_S} s after the silence failed: {late_failures[:3]}"
    )
    records = system.engine_records()[answer["request_id"]]
    outcome_by_attempt = {record["request_id"]: record["outcome"] for record in records}
    print(f"agent-engine: attempts of the long request {outcome_by_attempt}")
    assert sorted(outcome_by_attempt.values()) == ["cancelled", "complete"], (
        "the first engine did not cancel the request"
    )


def test_silent_connections_to_a_service(system):
    """Lookups must succeed on new connections, and a booking must be executed once."""
    assert {status for status, _ in run_parallel(12, lambda: call_service(system, "lookup"))} == {
        200
    }
    service = next(r for r in system.replicas if r.pool.kind == "service")
    started = silence_connections([system.upstream_proxies[service.agent_id]])
    key = new_key("silent_service")
    assert call_service(system, "book", key)[0] == 200
    booked_s = time.monotonic() - started
    first_statuses = run_parallel(8, lambda: call_service(system, "lookup")[0])
    recovered_s = retry_until(lambda: call_service(system, "lookup")[0] == 200, started, "lookups")
    print(
        f"agent-service: booked {booked_s:.2f} s, looked up {recovered_s:.2f} s, first {first_statuses}"
    )
    assert execution_count(system, key) == 1


def test_silent_connections_to_the_log(system):
    """Bookings must succeed on new connections to the log, each executed at most once."""
    keys = [new_key(f"warm_{number}") for number in range(8)]
    with ThreadPoolExecutor(8) as pool:
        statuses = list(pool.map(lambda key: call_service(system, "book", key)[0], keys))
    assert set(statuses) == {200}
    assert system.log_proxy is not None
    started = silence_connections([system.log_proxy])
    attempted_keys = []

    def book():
        attempted_keys.append(new_key(f"silent_log_{len(attempted_keys)}"))
        return call_service(system, "book", attempted_keys[-1])[0] == 200

    recovered_s = retry_until(book, started, "bookings")
    print(f"entry-log: booked after {recovered_s:.2f} s, attempts {len(attempted_keys)}")
    for key in keys:
        assert execution_count(system, key) == 1
    for key in attempted_keys:
        assert execution_count(system, key) <= 1
