"""Connections that go silent for good while new ones work, on each kind of hop.

The target is 3 s from the silence to its notice. A middlebox loses the state of all connections of
a hop at once, so a pooled connection must not be trusted after another one went silent.
"""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench._load import new_key
from tests.harness import Fleet, Layout, Pool, http_json, set_faults
from tests.integration.faulty import FaultySystem, check_callers, run_load

#: Seconds in which silence must be noticed and work must go on.
NOTICE_S = 3.0
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
        running = FaultySystem(fleet, layout, ("links", "upstreams", "log"))
        running.start()
        running.publish([running.release("assistant", "v1", 256 << 10)])
        running.wait_confirmed("v1", 2)
        running.wait_services()
        yield running


def silence(proxies):
    """Makes all open connections of some proxies silent and returns when that was."""
    for proxy in proxies:
        set_faults(proxy.control_port, silence_existing=True)
    return time.monotonic()


def ask(system, prompt, max_tokens=20):
    body = {"workspace": "w1", "rank": "urgent", "model": "assistant", "prompt": prompt}
    body |= {"max_tokens": max_tokens, "deadline_unix_ms": int((time.time() + 30) * 1000)}
    return http_json("POST", system.entries[0].port, "/v1/generate", body, timeout_s=35)


def call(system, operation, key=""):
    body = {"workspace": "w1", "rank": "urgent", "service": "booking", "operation": operation}
    if key:
        body["idempotency_key"] = key
    return http_json("POST", system.entries[0].port, "/v1/call", body)


def executions(system, key):
    service = next(r for r in system.replicas if r.pool.kind == "service")
    return http_json("GET", service.upstream.port, "/executions")[1].get(key, 0)


def retry_until(work, started, what):
    """Repeats some work until it succeeds; returns the seconds since the silence."""
    while True:
        if work():
            return time.monotonic() - started
        assert time.monotonic() - started < NOTICE_S, f"{what} did not go on within {NOTICE_S} s"
        time.sleep(0.02)


def in_parallel(count, work):
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(lambda _number: work(), range(count)))


def test_silent_entry_agent_links(system):
    """Requests on links that lost their state must move to new links in time, each once."""
    before = system.counters()
    noticed = []

    def begin():
        started = silence(system.link_proxies.values())
        down = "links.silent"
        while (system.counters() - before)[down] < len(system.link_proxies):
            assert time.monotonic() - started < NOTICE_S, "the silence was not noticed"
            time.sleep(0.02)
        noticed.append(time.monotonic() - started)
        retry_until(lambda: ask(system, "after the silence")[0] == 200, started, "requests")
        noticed.append(time.monotonic() - started)

    rows = run_load(system, SEED, 20, 4.0, [(1.0, begin)])
    found = check_callers(system, rows, f"entry-agent: noticed, at work after {noticed}")
    assert found["answered"] >= 0.7 * len(rows)


def test_silent_agent_links(system):
    """Agents whose links to each other lost their state must have new ones in time."""
    agents = system.engines()
    names = {agent.agent_id for agent in agents}

    def silent():
        return sum(system.agent_status(a)["counters"].get("links.silent", 0) for a in agents)

    before, entry_before = silent(), system.counters()
    started = silence(system.link_proxies.values())

    def linked():
        others = [set(system.agent_status(a)["links"]) | {a.agent_id} for a in agents]
        return silent() > before and all(names <= linked_to for linked_to in others)

    print(f"agent-agent: linked again after {retry_until(linked, started, 'links'):.2f} s")
    # The entry's links went through the same proxies; the next test must not meet the silent ones.
    retry_until(
        lambda: (system.counters() - entry_before)["links.silent"] >= len(system.link_proxies),
        started,
        "links of the entry",
    )
    system.wait_confirmed("v1", 2)
    system.wait_services()


def test_silent_connections_to_engines(system):
    """An agent must notice silent engine connections in time and free their slots."""
    filled = in_parallel(24, lambda: ask(system, "fill the pool"))
    assert {status for status, _ in filled} == {200}, [a for s, a in filled if s != 200][:2]
    before = system.counters()
    proxies = [system.upstream_proxies[replica.agent_id] for replica in system.engines()]
    noticed = []

    def begin():
        started = silence(proxies)
        reasons = "retried.upstream_lost", "refused.upstream_lost"
        while not sum((system.counters() - before)[name] for name in reasons):
            assert time.monotonic() - started < NOTICE_S, "the silence was not noticed"
            time.sleep(0.02)
        noticed.append(time.monotonic() - started)

    with ThreadPoolExecutor(1) as pool:
        long_one = pool.submit(ask, system, "a long answer", 900)
        rows = run_load(system, SEED + 1, 20, 4.5, [(1.0, begin)], max_tokens=100)
        status, answer = long_one.result()
    assert (status, answer.get("count")) == (200, 900), answer
    silent_from = min(row.sent_at for row in rows) + 1.0
    late = [r for r in rows if r.sent_at > silent_from + NOTICE_S and r.outcome != "answered"]
    check_callers(system, rows, f"agent-engine: noticed after {noticed}")
    assert not late, f"requests sent after {NOTICE_S} s still fail: {late[:3]}"
    records = system.ran()[answer["request_id"]]
    ends = {record["request_id"]: record["outcome"] for record in records}
    print(f"agent-engine: attempts of the long request {ends}")
    assert sorted(ends.values()) == ["cancelled", "complete"], "the first engine went on for nobody"


def test_silent_connections_to_a_service(system):
    """Lookups must go on over new connections, and a booking must run once."""
    assert {status for status, _ in in_parallel(12, lambda: call(system, "lookup"))} == {200}
    service = next(r for r in system.replicas if r.pool.kind == "service")
    started = silence([system.upstream_proxies[service.agent_id]])
    key = new_key("silent_service")
    assert call(system, "book", key)[0] == 200
    booked = time.monotonic() - started
    seen = in_parallel(8, lambda: call(system, "lookup")[0])
    at_work = retry_until(lambda: call(system, "lookup")[0] == 200, started, "lookups")
    print(f"agent-service: booked {booked:.2f} s, looked up {at_work:.2f} s, first {seen}")
    assert executions(system, key) == 1


def test_silent_connections_to_the_log(system):
    """Bookings must go on over new connections to the log, each executed once."""
    keys = [new_key(f"warm_{number}") for number in range(8)]
    with ThreadPoolExecutor(8) as pool:
        warm = list(pool.map(lambda key: call(system, "book", key)[0], keys))
    assert set(warm) == {200}
    assert system.log_proxy is not None
    started = silence([system.log_proxy])
    tried = []

    def book():
        tried.append(new_key(f"silent_log_{len(tried)}"))
        return call(system, "book", tried[-1])[0] == 200

    at_work = retry_until(book, started, "bookings")
    print(f"entry-log: booked after {at_work:.2f} s, tries {len(tried)}")
    for key in keys:
        assert executions(system, key) == 1
    for key in tried:
        assert executions(system, key) <= 1
