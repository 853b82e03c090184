"""Connections of clients: guards against smuggled, lost and wrongly framed requests and answers."""

import socket
import time

import pytest

from fescuechute.catalog import ClientLimits
from tests.forwarding.peers import WAIT_S, callers, read_all, read_until, running


def echo(request):
    request.answer.send(200, [], request.method + b" " + request.target + b" " + request.body)


def connect(port: int) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), timeout=WAIT_S)


def serve(handle, counts=None):
    return running(callers(handle, counts if counts is not None else []))


def listen(loop, server) -> int:
    return server.listen("127.0.0.1", 0)


@pytest.mark.parametrize(
    ("name", "framing"),
    [
        ("length", b"Content-Length: 4\r\n\r\nbody"),
        ("chunks", b"Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"),
    ],
)
def test_bodies(name, framing):
    """Guards against bodies that are read wrongly; two requests share the connection."""
    with serve(echo) as (loop, server):
        conn = connect(listen(loop, server))
        for _ in range(2):
            conn.sendall(b"POST /a?b HTTP/1.1\r\nHost: x\r\n" + framing)
            assert b"POST /a?b body" in read_until(conn, b"POST /a?b body"), name


def test_requests_sent_at_once_are_answered_in_order():
    """Guards against a second request that is lost behind the first."""
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
    ],
)  # fmt: skip
def test_what_is_refused(name, data, status):
    """Guards against malformed requests that reach a replica."""
    counts = []
    with serve(echo, counts) as (loop, server):
        conn = connect(listen(loop, server))
        conn.sendall(data)
        answer = read_all(conn)
        assert answer.startswith(b"HTTP/1.1 %d " % status), name
        assert counts, name


def test_a_head_that_is_never_complete_is_given_up():
    """Guards against connections that use up the descriptors."""
    with serve(echo) as (loop, server):
        port = listen(loop, server)
        server.limits = ClientLimits(header_s=0.1)
        conn = connect(port)
        conn.sendall(b"GET / HTTP/1.1\r\nHost:")
        assert read_all(conn).startswith(b"HTTP/1.1 408 ")


def test_an_idle_connection_is_closed():
    """Guards against idle clients that use up the descriptors."""
    with serve(echo) as (loop, server):
        server.limits = ClientLimits(idle_s=0.1)
        conn = connect(listen(loop, server))
        assert read_all(conn) == b""


def test_a_client_that_leaves_is_noticed():
    """Guards against work for clients that are gone."""
    gone = []
    seen = []

    def hold(request):
        request.answer.on_gone = lambda: gone.append(1)
        seen.append(request)

    with serve(hold) as (loop, server):
        conn = connect(listen(loop, server))
        conn.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        _until(lambda: seen)
        conn.close()
        _until(lambda: gone)


def test_an_aborted_stream_looks_incomplete():
    """Guards against a cut stream that looks complete."""

    def cut(request):
        request.answer.start(200, [])
        request.answer.write(b"part")
        request.answer.abort()

    with serve(cut) as (loop, server):
        conn = connect(listen(loop, server))
        conn.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        data = read_all(conn)
        assert b"part" in data or data == b""
        assert not data.endswith(b"0\r\n\r\n")


def test_draining_closes_after_the_answer():
    """Guards against a stop that cuts off a request, or that never ends."""
    with serve(echo) as (loop, server):
        conn = connect(listen(loop, server))
        conn.sendall(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
        read_until(conn, b"GET /1 ")
        server.draining = True
        conn.sendall(b"GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
        data = read_all(conn)
        assert b"Connection: close" in data
        assert b"GET /2 " in data


def _until(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)
