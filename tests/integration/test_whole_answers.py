"""Whole answers and true refusals of model requests while engines, agents and links fail."""

import asyncio
import json
import socket
import time

import pytest

from bench._load import Load
from standins.answers import expected_tokens
from tests.harness import Fleet, Layout, Pool, set_faults, wait_until
from tests.integration.faulty import FaultySystem, Supervisor, check_callers, fault, run_load

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
        running = FaultySystem(fleet, layout)
        running.start()
        running.publish([running.release("assistant", "v1", 256 << 10)])
        running.wait_confirmed("v1", 3)
        yield running


def kill_engine(system, replica):
    return [(1.0, replica.upstream.kill)]


def kill_agent(system, replica):
    def restart():
        replica.agent.wait_end(5)
        system.restart_agent(replica)

    return [(1.0, replica.agent.kill), (1.5, restart)]


def link_fault(heal_at=2.5, **faults):
    def steps(system, replica):
        proxy = system.link_proxies[replica.agent_id]
        return [
            (1.0, fault(proxy, **faults)),
            (heal_at, fault(proxy, **dict.fromkeys(faults))),
        ]

    return steps


def stall_engine(system, replica):
    return [(1.0, fault(replica.upstream, stall=True)), (4.2, fault(replica.upstream, stall=None))]


def reset_links(system, replica):
    return [(at, fault(system.link_proxies[replica.agent_id], reset=True)) for at in (1.0, 1.5)]


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
def test_answers_stay_whole_while_a_replica_fails(system, steps, counter, seed):
    """A failing replica must not mix, cut or lose an answer, or make a refusal untrue."""
    before = system.counters()
    with Supervisor(system):
        plan = steps(system, system.replicas[0])
        rows = run_load(system, seed, RATE_PER_S, 4.5, plan)
        system.wait_confirmed("v1", 3)
    change = system.counters() - before
    shown = {name: n for name, n in change.items() if name.startswith(("retried", "resumed"))}
    found = check_callers(system, rows, f"{steps.__name__} {shown}")
    assert found["answered"] >= 0.7 * len(rows)
    assert not counter or change[counter], "the fault hit no request, so nothing was shown"


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


class Caller:
    """A caller with a socket of its own that reads its stream line by line."""

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

    def items(self):
        """Yields the objects of the answer as they arrive."""
        with self.sock, self.sock.makefile("rb") as file:
            for line in file:
                if line.startswith(b"{"):
                    yield (item := json.loads(line))
                    if "error" in item or item.get("end"):
                        return


def busy_replica(system):
    """Returns the only replica that runs anything."""

    def find():
        busy = [r for r in system.engines() if system.agent_status(r)["running"]]
        return busy[0] if len(busy) == 1 else None

    return wait_until(find, 3, "one replica runs the request")


def test_refusal_at_the_deadline_is_true(system):
    """A request that an engine began and left without a token must not be called not run."""
    seed = 21
    print(f"seed {seed}")
    for replica in system.engines():
        set_faults(replica.upstream.port, stall=True)

    async def play():
        async with Load([entry.port for entry in system.entries], seed) as load:
            for number in range(20):
                load.spawn(load.generate(prompt=f"stalled {number}", timeout_s=1.2))
        return load.rows

    rows = asyncio.run(play())
    for replica in system.engines():
        set_faults(replica.upstream.port, stall=None)
    found = check_callers(system, rows, "engines stalled")
    assert found["deadline_passed"] == len(rows)


@pytest.mark.parametrize("lost", ["engine", "agent"])
def test_begun_stream_goes_on_with_exactly_the_right_text(system, lost):
    """A stream that moves to another replica must not repeat, skip or change a token."""
    caller = Caller(system.entries[0], generate_body(f"moves {lost}", 250, 15))
    items = caller.items()
    text = "".join(next(items)["text"] for _ in range(20))
    replica = busy_replica(system)
    (replica.upstream if lost == "engine" else replica.agent).kill()
    rest = list(items)
    with Supervisor(system):
        if lost == "agent":
            replica.agent.wait_end(5)
            system.restart_agent(replica)
        assert rest[-1].get("end"), rest[-1]
        text += "".join(item["text"] for item in rest[:-1])
        assert text == "".join(expected_tokens("assistant", "v1", "", "", f"moves {lost}", 250))
        records = system.ran()[rest[-1]["request_id"]]
        resumed = [r["tokens"] for r in records if r["request_id"].endswith("/2") and not r["end"]]
        print(f"resumed at token {resumed}")
        assert len(resumed) == 1 and resumed[0] >= 20
        system.wait_confirmed("v1", 3)


@pytest.mark.parametrize("stream", [True, False])
def test_caller_that_goes_away_is_cancelled_at_the_engine(system, stream):
    """A request that nobody waits for must leave its slot."""
    prompt = f"goes away {stream}"
    caller = Caller(system.entries[1], generate_body(prompt, 1000, 20, stream))
    replica = busy_replica(system)
    before = {id_ for id_, records in system.ran().items() if any(not r["end"] for r in records)}
    caller.sock.close()
    began = time.monotonic()

    def left():
        return system.agent_status(replica)["running"] == 0

    wait_until(left, 2, "the request left its slot")
    newest = wait_until(
        lambda: [r for id_ in before for r in system.ran()[id_][-1:] if r["end"]][-1:],
        2,
        "the engine ended the request",
    )
    print(
        f"{'streamed' if stream else 'whole'} cancelled after {time.monotonic() - began:.2f} s at token {newest[0]['tokens']}"
    )

    def ended():
        last = [records[-1] for records in system.ran().values()]
        return max(last, key=lambda r: r["start"])["outcome"] in ("cancelled", "disconnected")

    wait_until(ended, 2, "the engine ended the request before its last token")


@pytest.fixture(scope="module")
def two_versions():
    layout = Layout(
        regions=("norte", "centro"),
        pools=(Pool("assistant", 2),),
        engine_options={"token_interval_ms": 10},
    )
    with Fleet() as fleet:
        running = FaultySystem(fleet, layout, ())
        running.start()
        running.publish([running.release("assistant", "v1", 64 << 10)])
        running.wait_confirmed("v1", 2)
        yield running


def test_begun_stream_never_mixes_versions(two_versions):
    """A stream whose version is gone must fail visibly; an answer not yet shown starts again."""
    system = two_versions
    for number in range(20):
        # Two retries at once have to fit in the budget, a tenth of the traffic.
        list(Caller(system.entries[0], generate_body(f"before {number}", 1, 5)).items())
    streamed = Caller(system.entries[0], generate_body("two versions", 800, 20)).items()
    whole = Caller(system.entries[0], generate_body("whole one", 400, 20, stream=False))
    text = "".join(next(streamed)["text"] for _ in range(10))
    norte = next(r for r in system.engines() if r.region == "norte")
    assert system.agent_status(norte)["running"] == 2
    # The idle replica switches at once, the busy one has to complete its requests first.
    system.publish([system.release("assistant", "v2", 64 << 10)])
    system.wait_confirmed("v2", 1)
    norte.agent.kill()
    began = time.monotonic()
    rest = list(streamed)
    print(f"failed visibly after {time.monotonic() - began:.2f} s: {rest[-1]}")
    text += "".join(item["text"] for item in rest[:-1])
    assert rest[-1]["error"]["ran"] == "partial"
    assert rest[-1]["error"]["reason"] == "upstream_lost"
    assert time.monotonic() - began < 6.0, "the caller waited for a version that nobody has"
    wanted = "".join(expected_tokens("assistant", "v1", "", "", "two versions", 800))
    assert wanted.startswith(text) and len(text) < len(wanted)
    answer = next(whole.items())
    assert "error" not in answer, answer
    assert answer["version"] == "v2"
    wanted = "".join(expected_tokens("assistant", "v2", "", "", "whole one", 400))
    assert answer["text"] == wanted
