"""HTTP client: guards against servers that send bytes without end."""

import queue
import socket
import threading

import pytest

from fescuechute.net import HttpClient, ManualClock
from fescuechute.net._http import MAX_BODY_BYTES
from tests.forwarding.harness import TIMEOUT_S, RawUpstream, read_until, running_loop
from tests.net.statuses import INVALID_HEADS

_PART = b"x" * (256 * 1024)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n" % len(_PART) + _PART + b"\r\n"


def send_until_closed(conn: socket.socket, first: bytes, repeated: bytes, closed) -> None:
    try:
        conn.sendall(first)
        while True:
            conn.sendall(repeated)
    except OSError:
        closed.set()


@pytest.mark.parametrize(
    ("name", "first", "repeated"),
    [
        ("head", b"HTTP/1.1 200 OK\r\nX-A: ", _PART),
        ("body without length", b"HTTP/1.1 200 OK\r\n\r\n", _PART),
        ("chunked body", CHUNKED, CHUNK),
        ("body of a failure", CHUNKED.replace(b"200 OK", b"500 E"), CHUNK),
        ("informational responses", b"", b"HTTP/1.1 102 P\r\n\r\n" * 100),
    ],
)
def test_endless_response_fails_the_call_and_closes_the_connection(name, first, repeated):
    """Guards against memory without bound at a process that reads from a faulty server."""
    upstream, results, closed = RawUpstream(), queue.Queue(), threading.Event()
    with running_loop(HttpClient) as (loop, client):
        server = ("127.0.0.1", upstream.port)
        loop.call_at(0.0, lambda: client.call("GET", server, "/", results.put))
        conn = upstream.accept()
        read_until(conn, b"\r\n\r\n")
        args = (conn, first, repeated, closed)
        threading.Thread(target=send_until_closed, args=args, daemon=True).start()
        result = results.get(timeout=TIMEOUT_S)
        assert not result.ok and result.error, name
        assert len(result.body) <= MAX_BODY_BYTES
        assert closed.wait(TIMEOUT_S)


@pytest.mark.parametrize(("late_s", "sent"), [(0.0, True), (4.0, False)])
def test_request_is_not_sent_after_its_send_deadline(late_s, sent):
    """Guards against a request that leaves a stopped process after it has become outdated."""
    upstream, results, clock = RawUpstream(), queue.Queue(), ManualClock()
    with running_loop(lambda _clock: HttpClient(clock)) as (loop, client):

        def call() -> None:
            server = ("127.0.0.1", upstream.port)
            send_deadline = clock.now() + 1.0
            client.call(
                "POST",
                server,
                "/",
                results.put,
                idle_timeout_s=float("inf"),
                send_deadline=send_deadline,
            )
            # The connection is established only after the process continues.
            clock.advance(late_s)

        loop.call_at(0.0, call)
        conn = upstream.accept()
        if sent:
            read_until(conn, b"\r\n\r\n")
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        result = results.get(timeout=TIMEOUT_S)
        assert (result.ok, result.sent) == (sent, sent)
        if not sent:
            assert conn.recv(1) == b""


def test_connection_with_a_second_response_is_not_used_again():
    """Guards against a repeated response that is taken for the one to the next request."""
    upstream, results = RawUpstream(), queue.Queue()
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
    with running_loop(HttpClient) as (loop, client):
        server = ("127.0.0.1", upstream.port)
        loop.call_at(0.0, lambda: client.call("GET", server, "/1", results.put))
        conn = upstream.accept()
        read_until(conn, b"\r\n\r\n")
        conn.sendall((response + b"one") * 2)
        assert results.get(timeout=TIMEOUT_S).body == b"one"
        loop.call_at(0.0, lambda: client.call("GET", server, "/2", results.put))
        conn = upstream.accept()
        read_until(conn, b"\r\n\r\n")
        conn.sendall(response + b"two")
        assert results.get(timeout=TIMEOUT_S).body == b"two"


def test_response_that_is_reset_while_the_request_is_sent_fails_the_call():
    """Guards against half of a response to a long body that counts as complete."""
    upstream, results = RawUpstream(), queue.Queue()
    with running_loop(HttpClient) as (loop, client):
        server = ("127.0.0.1", upstream.port)
        body = bytes(16 << 20)
        loop.call_at(0.0, lambda: client.call("PUT", server, "/", results.put, body=body))
        conn = upstream.accept()
        read_until(conn, b"\r\n\r\n")
        conn.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        # The kernel resets a connection that is closed with unread data.
        conn.close()
        assert not results.get(timeout=TIMEOUT_S).ok


@pytest.mark.parametrize("kept", range(0, 40, 3))
def test_response_that_breaks_off_fails_the_call(kept):
    """Guards against a head or body that is cut off and counts as a complete response."""
    upstream, results = RawUpstream(), queue.Queue()
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
    with running_loop(HttpClient) as (loop, client):
        server = ("127.0.0.1", upstream.port)
        loop.call_at(0.0, lambda: client.call("GET", server, "/", results.put))
        conn = upstream.accept()
        read_until(conn, b"\r\n\r\n")
        conn.sendall(response[:kept])
        conn.close()
        result = results.get(timeout=TIMEOUT_S)
        assert result.error and not result.ok


@pytest.mark.parametrize(
    ("response", "ok"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Era: 3\r\nContent-Length: 0\r\n\r\n", True),
        (b"HTTP/1.1 503 E\r\nX-Era: 3\r\nContent-Length: 0\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nX-Era: 3\r\nContent-Length: 9\r\n\r\ncut", False),
    ],
)
def test_result_has_the_header_fields_however_the_call_ends(response, ok):
    """Guards against fields that are lost with the body that follows them."""
    upstream, results = RawUpstream(), queue.Queue()
    with running_loop(HttpClient) as (loop, client):
        server = ("127.0.0.1", upstream.port)
        loop.call_at(0.0, lambda: client.call("GET", server, "/", results.put))
        conn = upstream.accept()
        read_until(conn, b"\r\n\r\n")
        conn.sendall(response)
        conn.close()
        result = results.get(timeout=TIMEOUT_S)
    assert result.ok is ok
    assert (b"x-era", b"3") in result.headers


def test_response_with_an_invalid_status_fails_the_call():
    """Guards against a status such as 000 or 600 that is taken for an answer, or passed on."""
    upstream, results = RawUpstream(), queue.Queue()
    with running_loop(HttpClient) as (loop, client):
        server = ("127.0.0.1", upstream.port)
        for name, data in INVALID_HEADS:
            loop.call_at(0.0, lambda: client.call("GET", server, "/", results.put))
            conn = upstream.accept()
            read_until(conn, b"\r\n\r\n")
            conn.sendall(data)
            result = results.get(timeout=TIMEOUT_S)
            assert (result.status, bool(result.error)) == (0, True), name
            assert conn.recv(1) == b"", name


@pytest.mark.parametrize(
    ("status", "kept"), [(b"200", True), (b"204", True), (b"304", False), (b"599", True)]
)
def test_connection_is_kept_only_if_no_body_can_follow(status, kept):
    """Guards against the late body of a response without one that is read as the next response."""
    upstream, results = RawUpstream(), queue.Queue()
    length = b"" if status == b"204" else b"Content-Length: 3\r\n"
    body = b"" if status in (b"204", b"304") else b"one"
    with running_loop(HttpClient) as (loop, client):
        server = ("127.0.0.1", upstream.port)
        loop.call_at(0.0, lambda: client.call("GET", server, "/", results.put))
        conn = upstream.accept()
        read_until(conn, b"\r\n\r\n")
        conn.sendall(b"HTTP/1.1 " + status + b" X\r\n" + length + b"\r\n" + body)
        assert results.get(timeout=TIMEOUT_S).status == int(status)
        loop.call_at(0.0, lambda: client.call("GET", server, "/", results.put))
        assert read_until(conn if kept else upstream.accept(), b"\r\n\r\n")
