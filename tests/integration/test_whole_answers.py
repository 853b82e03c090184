"""Complete answers and true refusals of model requests while engines, agents and links fail."""

import asyncio
import json
import socket
import time

import pytest

from bench._load import LoadGenerator
from standins.answers import expected_tokens
from tests.harness import Fleet, Layout, Pool, set_faults, wait_until
from tests.integration.fault_injection import (
    EngineSupervisor,
    ProxiedSystem,
    check_answers,
    fault_step,
    run_load,
)

RATE_PER_S = 30.0


@pytest.fixture(scope="module")
def system():
    layout = Layout(
        pools=(Pool("assistant", 3),),
        entries=2,
        slots=8,
        engine_options={"token_interval_ms": 10},
    )
    with Fleet() as fleet:
        running = ProxiedSystem(fleet, layout)
        running.start()
        running.publish([running.release("assistant", "v1", 256 << 10)])
        running.wait_confirmed("v1", 3)
        yield running


def kill_engine(system, replica):
    return [(1.0, replica.upstream.kill)]


def kill_agent(system, replica):
    def restart():
        replica.agent.wait_exit(5)
        system.restart_agent(replica)

    return [(1.0, replica.agent.kill), (1.5, restart)]


def link_fault(heal_at=2.5, **faults):
    def steps(system, replica):
        proxy = system.link_proxies[replica.agent_id]
        return [
            (1.0, fault_step(proxy, **faults)),
            (heal_at, fault_step(proxy, **dict.fromkeys(faults))),
        ]

    return steps


def stall_engine(system, replica):
    return [
        (1.0, fault_step(replica.upstream, stall=True)),
        (4.2, fault_step(replica.upstream, stall=None)),
    ]


def reset_links(system, replica):
    return [
        (at, fault_step(system.link_proxies[replica.agent_id], reset=True)) for at in (1.0, 1.5)
    ]


FAULTS = [
    pytest.param(kill_engine, "retried.upstream_lost", 11, id="engine_killed"),
    pytest.param(kill_agent, "retried.upstream_lost", 12, id="agent_killed"),
    pytest.param(link_fault(4.0, cut="both"), "retried.upstream_lost", 13, id="link_cut"),
    pytest.param(link_fault(4.0, cut="down"), "retried.upstream_lost", 14, id="link_cut_one_way"),
    pytest.param(link_fault(4.0, stall=True), "retried.upstream_lost", 15, id="link_stalled"),
    pytest.param(link_fault(3.0, bytes_per_s=3000.0), "", 16, id="link_slowed"),
    pytest.param(
        link_fault(corrupt_every_bytes=5000), "retried.upstream_lost", 17, id="link_corrupted"
    ),
    pytest.param(reset_links, "retried.upstream_lost", 18, id="link_reset"),
    pytest.param(stall_engine, "retried.upstream_lost", 19, id="engine_stalled"),
]


@pytest.mark.parametrize(("steps", "counter", "seed"), FAULTS)
def test_answers_are_complete_while_a_replica_fails(system, steps, counter, seed):
    """A failing replica must not corrupt, truncate or lose an answer, or cause a false refusal."""
    before = system.entry_counters()
    with EngineSupervisor(system):
        plan = steps(system, system.replicas[0])
        rows = run_load(system, seed, RATE_PER_S, 4.5, plan)
        system.wait_confirmed("v1", 3)
    counter_changes = system.entry_counters() - before
    retry_counters = {
        name: n for name, n in counter_changes.items() if name.startswith(("retried", "resumed"))
    }
    counts = check_answers(system, rows, f"{steps.__name__} {retry_counters}")
    assert counts["answered"] >= 0.7 * len(rows)
    assert not counter or counter_changes[counter], (
        "the fault affected no request, so nothing was tested"
    )


def generate_body(prompt, max_tokens, timeout_s, stream=True):
    return {
        "workspace": "w1",
        "rank": "urgent",
        "model": "assistant",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
        "deadline_unix_ms": int((time.time() + timeout_s) * 1000),
    }


class SocketCaller:
    """A caller with its own socket that reads its stream line by line."""

    def __init__(self, entry, body, receive_buffer=0):
        self.sock = socket.socket()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.settimeout(30)
        self.sock.connect(("127.0.0.1", entry.port))
        data = json.dumps(body).encode()
        head = "POST /v1/generate HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        self.sock.sendall(head.encode() + data)

    def read_items(self):
        """Yields the JSON objects of the answer as they arrive, up to its end or an error."""
        with self.sock, self.sock.makefile("rb") as file:
            for line in file:
                if line.startswith(b"{"):
                    yield (item := json.loads(line))
                    if "error" in item or item.get("end"):
                        return


def busy_replica(system):
    """Waits until exactly one replica runs a request, and returns it."""

    def find_busy():
        busy = [r for r in system.engine_replicas() if system.agent_status(r)["running"]]
        return busy[0] if len(busy) == 1 else None

    return wait_until(find_busy, 3, "one replica to run the request")


def test_stalled_request_is_not_refused_as_not_run(system):
    """A request that an engine started must not be refused as not run, even without any token."""
    seed = 21
    print(f"seed {seed}")
    for replica in system.engine_replicas():
        set_faults(replica.upstream.port, stall=True)

    async def send_all():
        async with LoadGenerator([entry.port for entry in system.entries], seed) as load:
            for number in range(20):
                load.spawn(load.generate(prompt=f"stalled {number}", timeout_s=1.2))
        return load.rows

    rows = asyncio.run(send_all())
    for replica in system.engine_replicas():
        set_faults(replica.upstream.port, stall=None)
    counts = check_answers(system, rows, "engines stalled")
    assert counts["deadline_passed"] == len(rows)


@pytest.mark.parametrize("lost", ["engine", "agent"])
def test_resumed_stream_has_exactly_the_expected_text(system, lost):
    """A stream resumed on another replica must not repeat, skip or change a token."""
    caller = SocketCaller(system.entries[0], generate_body(f"moves {lost}", 250, 15))
    items = caller.read_items()
    text = "".join(next(items)["text"] for _ in range(20))
    replica = busy_replica(system)
    (replica.upstream if lost == "engine" else replica.agent).kill()
    remaining = list(items)
    with EngineSupervisor(system):
        if lost == "agent":
            replica.agent.wait_exit(5)
            system.restart_agent(replica)
        assert remaining[-1].get("end"), remaining[-1]
        text += "".join(item["text"] for item in remaining[:-1])
        assert text == "".join(expected_tokens("assistant", "v1", "", "", f"moves {lost}", 250))
        records = system.engine_records()[remaining[-1]["request_id"]]
        resumed = [r["tokens"] for r in records if r["request_id"].endswith("/2") and not r["end"]]
        print(f"resumed at token {resumed}")
        assert len(resumed) == 1 and resumed[0] >= 20
        system.wait_confirmed("v1", 3)


@pytest.mark.parametrize("stream", [True, False])
def test_caller_that_goes_away_is_cancelled_at_the_engine(system, stream):
    """A closed caller connection must cancel the request at the engine and free its slot."""
    prompt = f"goes away {stream}"
    caller = SocketCaller(system.entries[1], generate_body(prompt, 1000, 20, stream))
    replica = busy_replica(system)
    running_ids = {
        id_
        for id_, records in system.engine_records().items()
        if any(not r["end"] for r in records)
    }
    caller.sock.close()
    closed_at = time.monotonic()

    def is_idle():
        return system.agent_status(replica)["running"] == 0

    wait_until(is_idle, 2, "the request to leave its slot")
    newest = wait_until(
        lambda: [r for id_ in running_ids for r in system.engine_records()[id_][-1:] if r["end"]][
            -1:
        ],
        2,
        "the engine to end the request",
    )
    print(
        f"{'streamed' if stream else 'whole'} cancelled after {time.monotonic() - closed_at:.2f} s at token {newest[0]['tokens']}"
    )

    def ended_early():
        last = [records[-1] for records in system.engine_records().values()]
        return max(last, key=lambda r: r["start"])["outcome"] in ("cancelled", "disconnected")

    wait_until(ended_early, 2, "the engine to end the request before its last token")


@pytest.fixture(scope="module")
def two_versions():
    layout = Layout(
        regions=("norte", "centro"),
        pools=(Pool("assistant", 2),),
        engine_options={"token_interval_ms": 10},
    )
    with Fleet() as fleet:
        running = ProxiedSystem(fleet, layout, ())
        running.start()
        running.publish([running.release("assistant", "v1", 64 << 10)])
        running.wait_confirmed("v1", 2)
        yield running


def test_begun_stream_never_mixes_versions(two_versions):
    """A started stream must not continue with another version; an unsent answer may restart.

    The stream fails with an error when no replica serves its version any more. An answer of which
    the caller has received nothing runs again with the new version.
    """
    system = two_versions
    for number in range(20):
        # The retry budget is a tenth of the traffic; two concurrent retries must fit.
        list(SocketCaller(system.entries[0], generate_body(f"before {number}", 1, 5)).read_items())
    streamed = SocketCaller(system.entries[0], generate_body("two versions", 800, 20)).read_items()
    whole = SocketCaller(system.entries[0], generate_body("whole one", 400, 20, stream=False))
    text = "".join(next(streamed)["text"] for _ in range(10))
    norte_replica = next(r for r in system.engine_replicas() if r.region == "norte")
    assert system.agent_status(norte_replica)["running"] == 2
    # The idle replica switches at once; the busy one must complete its requests first.
    system.publish([system.release("assistant", "v2", 64 << 10)])
    system.wait_confirmed("v2", 1)
    norte_replica.agent.kill()
    killed_at = time.monotonic()
    remaining = list(streamed)
    print(f"failed with an error after {time.monotonic() - killed_at:.2f} s: {remaining[-1]}")
    text += "".join(item["text"] for item in remaining[:-1])
    assert remaining[-1]["error"]["ran"] == "partial"
    assert remaining[-1]["error"]["reason"] == "upstream_lost"
    assert time.monotonic() - killed_at < 6.0, (
        "the caller waited for a version that no replica serves"
    )
    expected = "".join(expected_tokens("assistant", "v1", "", "", "two versions", 800))
    assert expected.startswith(text) and len(text) < len(expected)
    answer = next(whole.read_items())
    assert "error" not in answer, answer
    assert answer["version"] == "v2"
    expected = "".join(expected_tokens("assistant", "v2", "", "", "whole one", 400))
    assert answer["text"] == expected
