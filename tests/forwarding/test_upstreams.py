"""Upstream client: connection reuse, matching of responses, and truncated responses."""

import socket
import struct

import pytest

from fescuechute.checks import Address
from fescuechute.forwarding import OutboundRequest, UpstreamClient, header
from fescuechute.net import ManualClock
from tests.forwarding.harness import (
    RawUpstream,
    RecordingListener,
    make_upstream_client,
    read_until,
    running_loop,
)
from tests.net.statuses import INVALID_HEADS

REQUEST = OutboundRequest(b"POST", b"/a?b=1", [(b"Host", b"a.example")], b"body")


def matches_request(headers) -> bool:
    return header(headers, b"x-id") in (None, b"mine")


def start_call(
    loop, client, upstream, max_idle_s=float("inf"), max_connections=24
) -> RecordingListener:
    listener = RecordingListener()
    loop.call_at(
        0.0,
        lambda: client.call(
            "i-1",
            Address("127.0.0.1", upstream.port),
            REQUEST,
            listener,
            matches_request,
            connect_timeout_s=2.0,
            max_idle_s=max_idle_s,
            max_connections=max_connections,
        ),
    )
    return listener


def response(body: bytes, *fields: bytes) -> bytes:
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def test_request_is_sent_unchanged_and_the_connection_is_reused():
    """Guards against modified requests and against a new connection for each request."""
    upstream = RawUpstream()
    with running_loop(make_upstream_client) as (loop, client):
        first = start_call(loop, client, upstream)
        conn = upstream.accept()
        received = read_until(conn, b"body")
        assert received.startswith(b"POST /a?b=1 HTTP/1.1\r\nHost: a.example\r\n")
        conn.sendall(response(b"one"))
        assert [first.next_event(), first.next_event()] == [("head", 200), ("end", b"one")]
        second = start_call(loop, client, upstream)
        read_until(conn, b"body")
        conn.sendall(response(b"two"))
        second.next_event()
        assert second.next_event() == ("end", b"two")
        assert client.connections_opened == 1


@pytest.mark.parametrize(
    ("name", "data", "reset", "expected"),
    [
        ("truncated body", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", False, "broken"),
        ("truncated chunks", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf", False, "broken"),
        ("no response", b"", False, "broken"),
        ("no HTTP", b"garbage\r\n\r\n", False, "malformed"),
        ("reset without length", b"HTTP/1.1 200 OK\r\n\r\nhalf", True, "broken"),
    ],
)  # fmt: skip
def test_truncated_or_invalid_response_fails_the_call(name, data, reset, expected):
    """Guards against a truncated response that counts as complete."""
    upstream = RawUpstream()
    with running_loop(make_upstream_client) as (loop, client):
        listener = start_call(loop, client, upstream)
        conn = upstream.accept()
        read_until(conn, b"body")
        conn.sendall(data)
        if reset:
            assert listener.next_event() == ("head", 200)
            linger = struct.pack("ii", 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        conn.close()
        result = listener.next_event()
        if result[0] == "head":
            result = listener.next_event()
        assert result == ("failed", expected), name


def test_response_that_is_reset_while_the_request_is_sent_fails_the_call():
    """Guards against half of an answer to a long body that is delivered as whole (review/1)."""
    upstream = RawUpstream()
    listener = RecordingListener()
    request = OutboundRequest(b"POST", b"/", [(b"Host", b"a.example")], bytes(16 << 20))
    address = Address("127.0.0.1", upstream.port)
    with running_loop(make_upstream_client) as (loop, client):

        def call() -> None:
            client.call("i-1", address, request, listener, matches_request, connect_timeout_s=2.0)

        loop.call_at(0.0, call)
        conn = upstream.accept()
        read_until(conn, b"\r\n\r\n")
        conn.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        # The kernel resets a connection that is closed with unread data.
        conn.close()
        events = [listener.next_event(), listener.next_event()]
        assert events == [("head", 200), ("failed", "broken")]


def test_request_is_not_sent_long_after_the_connection_was_started():
    """Guards against a request that leaves a stopped process after its client has left."""
    upstream, listener, clock = RawUpstream(), RecordingListener(), ManualClock()
    address = Address("127.0.0.1", upstream.port)
    with running_loop(lambda _clock: UpstreamClient(clock)) as (loop, client):
        client.tick = lambda _now: None

        def call() -> None:
            client.call("i-1", address, REQUEST, listener, matches_request, connect_timeout_s=0.4)
            clock.advance(4.0)

        loop.call_at(0.0, call)
        conn = upstream.accept()
        assert listener.next_event() == ("failed", "not_connected")
        assert conn.recv(1) == b""


def test_response_without_length_is_completed_by_a_close():
    """Guards against a complete response that counts as truncated."""
    upstream = RawUpstream()
    with running_loop(make_upstream_client) as (loop, client):
        listener = start_call(loop, client, upstream)
        conn = upstream.accept()
        read_until(conn, b"body")
        conn.sendall(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        conn.close()
        assert [listener.next_event(), listener.next_event()] == [("head", 200), ("end", b"whole")]


def test_late_response_to_an_earlier_request_is_skipped():
    """Guards against passing a response to the wrong client, and against losing the right one."""
    upstream = RawUpstream()
    with running_loop(make_upstream_client) as (loop, client):
        listener = start_call(loop, client, upstream)
        conn = upstream.accept()
        read_until(conn, b"body")
        conn.sendall(response(b"theirs", b"X-Id: other") + response(b"mine", b"X-Id: mine"))
        assert [listener.next_event(), listener.next_event()] == [("head", 200), ("end", b"mine")]


def test_connection_with_unsolicited_bytes_is_not_reused():
    """Guards against taking an extra response for the response to the next request."""
    upstream = RawUpstream()
    with running_loop(make_upstream_client) as (loop, client):
        first = start_call(loop, client, upstream)
        conn = upstream.accept()
        read_until(conn, b"body")
        conn.sendall(response(b"one") + response(b"extra"))
        first.next_event()
        assert first.next_event() == ("end", b"one")
        second = start_call(loop, client, upstream)
        other = upstream.accept()
        read_until(other, b"body")
        other.sendall(response(b"two"))
        second.next_event()
        assert second.next_event() == ("end", b"two")


def test_connection_idle_for_longer_than_max_idle_s_is_not_reused():
    """Guards against sending a non-idempotent request on a connection that is being closed."""
    upstream = RawUpstream()
    with running_loop(make_upstream_client) as (loop, client):
        first = start_call(loop, client, upstream)
        conn = upstream.accept()
        read_until(conn, b"body")
        conn.sendall(response(b"one"))
        first.next_event()
        first.next_event()
        start_call(loop, client, upstream, max_idle_s=0.0)
        assert read_until(upstream.accept(), b"body")


def test_failed_connect_is_reported_as_not_connected():
    """Guards against an unknown outcome for a request that was never sent."""
    upstream = RawUpstream()
    upstream.listen_socket.close()
    with running_loop(make_upstream_client) as (loop, client):
        listener = start_call(loop, client, upstream)
        assert listener.next_event() == ("failed", "not_connected")


@pytest.mark.parametrize(("max_connections", "kept"), [(1, 1), (2, 2), (24, 3)])
def test_kept_connections_stay_within_the_limit(max_connections, kept):
    """Guards against idle connections that use up the connections which a replica accepts."""
    upstream = RawUpstream()
    with running_loop(make_upstream_client) as (loop, client):
        calls = [
            start_call(loop, client, upstream, max_connections=max_connections) for _ in range(3)
        ]
        conns = [upstream.accept() for _ in calls]
        for conn in conns:
            read_until(conn, b"body")
        for conn in conns:
            conn.sendall(response(b"one"))
        for call in calls:
            assert [call.next_event()[0], call.next_event()[0]] == ["head", "end"]
        closed = 0
        for conn in conns:
            conn.settimeout(0.2)
            try:
                closed += conn.recv(1) == b""
            except TimeoutError:
                continue
        assert len(conns) - closed == kept


def test_response_with_an_invalid_status_is_malformed():
    """Guards against a status such as 000 or 600 that is passed on to the client."""
    upstream = RawUpstream()
    with running_loop(make_upstream_client) as (loop, client):
        for name, data in INVALID_HEADS:
            listener = start_call(loop, client, upstream)
            conn = upstream.accept()
            read_until(conn, b"body")
            conn.sendall(data)
            assert listener.next_event() == ("failed", "malformed"), name
            assert conn.recv(1) == b"", name


def test_connection_of_a_response_that_declares_a_body_it_must_not_have_is_not_reused():
    """Guards against the late body of a 304 that is read as the next response."""
    upstream = RawUpstream()
    with running_loop(make_upstream_client) as (loop, client):
        first = start_call(loop, client, upstream)
        conn = upstream.accept()
        read_until(conn, b"body")
        conn.sendall(b"HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n")
        assert [first.next_event(), first.next_event()] == [("head", 304), ("end", b"")]
        start_call(loop, client, upstream)
        assert read_until(upstream.accept(), b"body")
