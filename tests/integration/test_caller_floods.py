"""Many callers that do not read their streams or never complete their requests."""

import asyncio
import socket
import time

import pytest

from bench._load import LoadGenerator, count_outcomes, percentile
from fescuechute.web._server import REQUEST_TIMEOUT_S
from tests.harness import Fleet, Layout, Pool, wait_until
from tests.integration.fault_injection import ProxiedSystem
from tests.integration.test_whole_answers import SocketCaller, generate_body

SEED = 51
#: Seconds that an engine takes for each token.
TOKEN_INTERVAL_S = 0.005
#: Target: 95th percentile of the seconds to the first token.
FIRST_TOKEN_P95_S = 0.44


@pytest.fixture(scope="module")
def system():
    layout = Layout(
        pools=(Pool("assistant", 2),),
        entries=1,
        slots=64,
        engine_options={"token_interval_ms": TOKEN_INTERVAL_S * 1000},
    )
    with Fleet() as fleet:
        running = ProxiedSystem(fleet, layout, ())
        running.start()
        running.publish([running.release("assistant", "v1", 64 << 10)])
        running.wait_confirmed("v1", 2)
        yield running


async def send_normal_requests(system, seconds):
    async with LoadGenerator([entry.port for entry in system.entries], SEED) as load:

        def make(rng):
            return load.generate(
                rank="urgent", prompt=f"reads {rng.getrandbits(64):x}", timeout_s=5.0
            )

        await load.send_poisson(20, time.time() + seconds, make)
    return load.rows


def assert_first_tokens_on_time(rows, label):
    first_token_p95_s = percentile(
        [row.first_at - row.sent_at for row in rows if row.first_at], 0.95
    )
    print(
        f"seed {SEED} {label}: {dict(count_outcomes(rows))}, first token p95 {first_token_p95_s:.3f} s"
    )
    assert count_outcomes(rows) == {"answered": len(rows)}
    assert first_token_p95_s <= FIRST_TOKEN_P95_S


def test_callers_that_do_not_read_do_not_stop_others(system):
    """Streams that callers do not read must not block other requests or exhaust memory."""
    entry = system.entries[0]
    rss_before = entry.process.rss_bytes()
    idle_callers = [
        SocketCaller(entry, generate_body(f"not read {number}", 1500, 60), receive_buffer=4096)
        for number in range(40)
    ]
    rows = asyncio.run(send_normal_requests(system, 5.0))
    assert_first_tokens_on_time(rows, "40 callers do not read")
    assert entry.process.rss_bytes() - rss_before < 64 << 20
    for caller in idle_callers:
        caller.sock.close()
    wait_until(
        lambda: system.status()["requests"] == 0,
        5,
        "the entry to drop the requests of closed connections",
    )


INCOMPLETE_REQUESTS = {
    "nothing_sent": b"",
    "half_a_head": b"POST /v1/generate HTTP/1.1\r\nHost: x\r\n",
    "half_a_body": b"POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{",
}


def test_half_open_callers_do_not_stop_others(system):
    """Incomplete requests must not delay others; their connections must time out."""
    port = system.entries[0].port
    open_sockets = {
        name: [socket.create_connection(("127.0.0.1", port)) for _ in range(150)]
        for name in INCOMPLETE_REQUESTS
    }
    for name, sent in INCOMPLETE_REQUESTS.items():
        for sock in open_sockets[name]:
            sock.sendall(sent)
    rows = asyncio.run(send_normal_requests(system, 3.0))
    assert_first_tokens_on_time(rows, "450 half-open callers")
    deadline = time.monotonic() + REQUEST_TIMEOUT_S
    for name in ("half_a_head", "half_a_body"):
        for sock in open_sockets[name]:
            sock.settimeout(max(0.1, deadline - time.monotonic()))
            assert sock.recv(4096) == b"", name
    # A load balancer keeps idle connections open, so connections without a request do not time out.
    request = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    open_sockets["nothing_sent"][0].sendall(request)
    assert open_sockets["nothing_sent"][0].recv(4096).startswith(b"HTTP/1.1 200")
    for sock in [sock for socks in open_sockets.values() for sock in socks]:
        sock.close()
    assert_first_tokens_on_time(asyncio.run(send_normal_requests(system, 1.0)), "afterwards")
