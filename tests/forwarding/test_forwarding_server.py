"""HTTP/1.1 server: framing, limits, timeouts, disconnects and draining."""

import contextlib
import socket
import time

import pytest

from fescuechute.catalog import ClientLimits
from fescuechute.net import LINGER_S, MAX_DISCARDED_BYTES, MAX_DISCARDING
from tests.forwarding.harness import (
    TIMEOUT_S,
    read_until,
    read_until_closed,
    running_loop,
    server_factory,
)
from tests.net.slow_caller import send_slowly


def echo(request):
    request.response.send(200, [], request.method + b" " + request.target + b" " + request.body)


def connect(port: int) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)


def serve(handle, counts=None):
    return running_loop(server_factory(handle, counts if counts is not None else []))


def listen(loop, server) -> int:
    return server.listen("127.0.0.1", 0)


@pytest.mark.parametrize(
    ("name", "framing"),
    [
        ("length", b"Content-Length: 4\r\n\r\nbody"),
        ("chunks", b"Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"),
    ],
)
def test_request_body_is_read_with_either_framing(name, framing):
    """Guards against leftover body bytes that are read as part of the next request."""
    with serve(echo) as (loop, server):
        conn = connect(listen(loop, server))
        for _ in range(2):
            conn.sendall(b"POST /a?b HTTP/1.1\r\nHost: x\r\n" + framing)
            assert b"POST /a?b body" in read_until(conn, b"POST /a?b body"), name


def test_pipelined_requests_are_answered_in_order():
    """Guards against losing a request that arrives while an earlier one is being handled."""
    with serve(echo) as (loop, server):
        conn = connect(listen(loop, server))
        conn.sendall(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
        data = read_until(conn, b"GET /2 ")
        assert data.index(b"GET /1 ") < data.index(b"GET /2 ")


@pytest.mark.parametrize(
    ("name", "data", "status"),
    [
        ("no HTTP", b"garbage\r\n\r\n", 400),
        ("no host", b"GET / HTTP/1.1\r\n\r\n", 400),
        ("two framings", b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        ("long head", b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + b"y" * 40_000, 431),
        ("long body", b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n", 413),
        ("chunks of one byte", b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 9000, 400),
    ],
)  # fmt: skip
def test_malformed_and_oversized_requests_are_rejected(name, data, status):
    """Guards against request smuggling and against invalid requests that reach an upstream."""
    counts = []
    with serve(echo, counts) as (loop, server):
        conn = connect(listen(loop, server))
        conn.sendall(data)
        response = read_until_closed(conn)
        assert response.startswith(b"HTTP/1.1 %d " % status), name
        assert counts, name


def test_incomplete_request_head_times_out():
    """Guards against slow clients that exhaust the file descriptors."""
    with serve(echo) as (loop, server):
        port = listen(loop, server)
        server.limits = ClientLimits(header_s=0.1)
        conn = connect(port)
        conn.sendall(b"GET / HTTP/1.1\r\nHost:")
        assert read_until_closed(conn).startswith(b"HTTP/1.1 408 ")


def test_idle_connection_is_closed():
    """Guards against idle clients that exhaust the file descriptors."""
    with serve(echo) as (loop, server):
        server.limits = ClientLimits(idle_s=0.1)
        conn = connect(listen(loop, server))
        assert read_until_closed(conn) == b""


def test_client_disconnect_is_reported_to_the_handler():
    """Guards against continued work on a request whose client has disconnected."""
    disconnected = []
    received = []

    def handle(request):
        request.response.on_disconnect = lambda: disconnected.append(1)
        received.append(request)

    with serve(handle) as (loop, server):
        conn = connect(listen(loop, server))
        conn.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        _wait_for(lambda: received)
        conn.close()
        _wait_for(lambda: disconnected)


def test_aborted_stream_is_visibly_incomplete():
    """Guards against a truncated stream that the client takes for a complete one."""

    def handle(request):
        request.response.start(200, [])
        request.response.write(b"part")
        request.response.abort()

    with serve(handle) as (loop, server):
        conn = connect(listen(loop, server))
        conn.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        data = read_until_closed(conn)
        assert b"part" in data or data == b""
        assert not data.endswith(b"0\r\n\r\n")


def test_draining_closes_the_connection_after_the_response():
    """Guards against a shutdown that drops a request or waits for ever on idle connections."""
    with serve(echo) as (loop, server):
        conn = connect(listen(loop, server))
        conn.sendall(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
        read_until(conn, b"GET /1 ")
        server.draining = True
        conn.sendall(b"GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
        data = read_until_closed(conn)
        assert b"Connection: close" in data
        assert b"GET /2 " in data


def _wait_for(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


@pytest.mark.parametrize(
    ("name", "framing"),
    [
        ("length", b"Content-Length: 20\r\n\r\n" + b"x" * 20),
        ("chunks", b"Transfer-Encoding: chunked\r\n\r\n14\r\n" + b"x" * 20 + b"\r\n0\r\n\r\n"),
    ],
)  # fmt: skip
def test_rejected_body_does_not_reach_the_handler(name, framing):
    """Guards against a request that is rejected with 413 and forwarded nevertheless."""
    handled = []
    with serve(handled.append) as (loop, server):
        server.limits = ClientLimits(body_bytes=10)
        conn = connect(listen(loop, server))
        conn.sendall(b"POST / HTTP/1.1\r\nHost: x\r\n" + framing)
        assert read_until_closed(conn).startswith(b"HTTP/1.1 413 "), name
        assert handled == []


def test_pipelined_bytes_are_bounded_and_answered_later():
    """Guards against memory that a client fills with requests while its first one is pending."""
    requests = []
    counts = []
    with serve(requests.append, counts) as (loop, server):
        conn = connect(listen(loop, server))
        conn.setblocking(False)
        request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000
        sent = 0
        wanted = len(request) * 300
        ends_at = time.monotonic() + 2.0
        while sent < wanted and time.monotonic() < ends_at:
            try:
                sent += conn.send((request * 2)[sent % len(request) :][: len(request)])
            except BlockingIOError:
                time.sleep(0.01)
        # The rest waits in the buffers of the two sockets, which the kernel bounds.
        assert sent < wanted
        assert "callers.pipelining_paused" in counts
        assert server.bytes_in < 1 << 20
        conn.setblocking(True)
        for served in range(3):
            _wait_for(lambda count=served: len(requests) > count)
            loop.call_at(0.0, lambda n=served: requests[n].response.send(200, [], b"done"))
            read_until(conn, b"done")


REFUSED = {
    "413 by its length": (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n", b"413"),
    "413 by its chunks": (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1e8480\r\n", b"413"),
    "400 malformed": (b"POST / HTTP/9\r\nContent-Length: 3000000\r\n\r\n", b"400"),
    "431 long head": (b"POST / HTTP/1.1\r\nHost: a\r\nX-A: ", b"431"),
}  # fmt: skip


@pytest.mark.parametrize(("head", "status"), REFUSED.values(), ids=REFUSED)
def test_early_refusal_reaches_a_client_that_still_writes(head, status):
    """Guards against a refusal that is lost to a reset while the client sends the rest of its body."""
    with serve(None) as (_loop, server):
        port = server.listen("127.0.0.1", 0)
        received = send_slowly(port, head, b"x" * 100_000, parts=30, pause_s=0.08)
        assert received.startswith(b"HTTP/1.1 " + status)


def test_refused_clients_that_go_on_writing_are_bounded():
    """Guards against crowds of refused clients that occupy connections, and against endless bodies."""
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n"
    with serve(None) as (_loop, server):
        port = server.listen("127.0.0.1", 0)
        conns = [socket.create_connection(("127.0.0.1", port)) for _ in range(MAX_DISCARDING + 16)]
        for conn in conns:
            conn.sendall(head)
        open_until = time.monotonic() + 2.5 * LINGER_S
        while time.monotonic() < open_until:
            for conn in conns:
                with contextlib.suppress(OSError):
                    conn.sendall(b"x")
            time.sleep(0.1)
        assert 0 < server.open_connections <= MAX_DISCARDING
        with pytest.raises(OSError, match=r"reset|pipe"):
            send_slowly(
                port, head, b"x" * (1 << 20), parts=2 * MAX_DISCARDED_BYTES >> 20, pause_s=0
            )
        for conn in conns:
            conn.close()
