"""Callers that do not read their streams, and callers that never complete a request."""

import asyncio
import socket
import time

import pytest

from bench._load import Load, outcomes, percentile
from fescuechute.web._server import REQUEST_S
from tests.harness import Fleet, Layout, Pool, wait_until
from tests.integration.faulty import FaultySystem
from tests.integration.test_whole_answers import Caller, generate_body

SEED = 51
#: Seconds between two tokens of an engine.
TOKEN_S = 0.005
#: Time to the first token at the 95th percentile; the stated target.
FIRST_TOKEN_S = 0.44


@pytest.fixture(scope="module")
def system():
    layout = Layout(
        pools=(Pool("assistant", 2),),
        entries=1,
        slots=64,
        engine_options={"token_interval_ms": TOKEN_S * 1000},
    )
    with Fleet() as fleet:
        running = FaultySystem(fleet, layout, ())
        running.start()
        running.publish([running.release("assistant", "v1", 64 << 10)])
        running.wait_confirmed("v1", 2)
        yield running


async def others(system, seconds):
    async with Load([entry.port for entry in system.entries], SEED) as load:

        def make(rng):
            return load.generate(
                rank="urgent", prompt=f"reads {rng.getrandbits(64):x}", timeout_s=5.0
            )

        await load.poisson(20, time.time() + seconds, make)
    return load.rows


def check_others(rows, label):
    first = percentile([row.first_at - row.sent_at for row in rows if row.first_at], 0.95)
    print(f"seed {SEED} {label}: {dict(outcomes(rows))}, first token p95 {first:.3f} s")
    assert outcomes(rows) == {"answered": len(rows)}
    assert first <= FIRST_TOKEN_S


def test_callers_that_do_not_read_do_not_stop_others(system):
    """Streams that nobody reads must not block the entry or the answers of other callers."""
    entry = system.entries[0]
    memory = entry.process.rss_bytes()
    idle = [
        Caller(entry, generate_body(f"not read {number}", 1500, 60), receive_buffer=4096)
        for number in range(40)
    ]
    rows = asyncio.run(others(system, 5.0))
    check_others(rows, "40 callers do not read")
    assert entry.process.rss_bytes() - memory < 64 << 20
    for caller in idle:
        caller.sock.close()
    wait_until(lambda: system.status()["requests"] == 0, 5, "the entry forgets them")


HALF_OPEN = {
    "nothing_sent": b"",
    "half_a_head": b"POST /v1/generate HTTP/1.1\r\nHost: x\r\n",
    "half_a_body": b"POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{",
}


def test_half_open_callers_do_not_stop_others(system):
    """Incomplete requests must not keep others out, nor hold descriptors for ever."""
    port = system.entries[0].port
    half = {
        name: [socket.create_connection(("127.0.0.1", port)) for _ in range(150)]
        for name in HALF_OPEN
    }
    for name, sent in HALF_OPEN.items():
        for sock in half[name]:
            sock.sendall(sent)
    rows = asyncio.run(others(system, 3.0))
    check_others(rows, "450 half-open callers")
    limit = time.monotonic() + REQUEST_S
    for name in ("half_a_head", "half_a_body"):
        for sock in half[name]:
            sock.settimeout(max(0.1, limit - time.monotonic()))
            assert sock.recv(4096) == b"", name
    # A load balancer keeps connections open between requests, so those without a byte stay.
    body = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    half["nothing_sent"][0].sendall(body)
    assert half["nothing_sent"][0].recv(4096).startswith(b"HTTP/1.1 200")
    for sock in [sock for socks in half.values() for sock in socks]:
        sock.close()
    check_others(asyncio.run(others(system, 1.0)), "afterwards")
