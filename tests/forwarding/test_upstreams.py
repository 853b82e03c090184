"""Calls of replicas: guards against answers of other requests and against cut ones that look whole."""

import socket
import struct

import pytest

from fescuechute.checks import Address
from fescuechute.forwarding import OutboundRequest, header
from tests.forwarding.peers import Listener, Peer, read_until, running, upstreams

REQUEST = OutboundRequest(b"POST", b"/a?b=1", [(b"Host", b"a.example")], b"body")


def is_mine(headers) -> bool:
    return header(headers, b"x-id") in (None, b"mine")


def call(loop, client, peer, max_idle_s=float("inf")) -> Listener:
    listener = Listener()
    loop.call_at(
        0.0,
        lambda: client.call(
            "i-1",
            Address("127.0.0.1", peer.port),
            REQUEST,
            listener,
            is_mine,
            connect_s=2.0,
            max_idle_s=max_idle_s,
        ),
    )
    return listener


def whole(body: bytes, *fields: bytes) -> bytes:
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def test_the_request_arrives_unchanged_and_the_connection_is_kept():
    """Guards against changed requests and a connection for each."""
    peer = Peer()
    with running(upstreams) as (loop, client):
        first = call(loop, client, peer)
        conn = peer.accept()
        data = read_until(conn, b"body")
        assert data.startswith(b"POST /a?b=1 HTTP/1.1\r\nHost: a.example\r\n")
        conn.sendall(whole(b"one"))
        assert [first.next(), first.next()] == [("head", 200), ("end", b"one")]
        second = call(loop, client, peer)
        read_until(conn, b"body")
        conn.sendall(whole(b"two"))
        second.next()
        assert second.next() == ("end", b"two")
        assert client.opened == 1


@pytest.mark.parametrize(
    ("name", "answer", "reset", "expected"),
    [
        ("cut body", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", False, "broken"),
        ("cut chunks", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf", False, "broken"),
        ("no answer", b"", False, "broken"),
        ("no HTTP", b"garbage\r\n\r\n", False, "malformed"),
        ("reset without length", b"HTTP/1.1 200 OK\r\n\r\nhalf", True, "broken"),
    ],
)  # fmt: skip
def test_cut_answers_fail(name, answer, reset, expected):
    """Guards against a cut answer that looks complete."""
    peer = Peer()
    with running(upstreams) as (loop, client):
        listener = call(loop, client, peer)
        conn = peer.accept()
        read_until(conn, b"body")
        conn.sendall(answer)
        if reset:
            assert listener.next() == ("head", 200)
            linger = struct.pack("ii", 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        conn.close()
        result = listener.next()
        if result[0] == "head":
            result = listener.next()
        assert result == ("failed", expected), name


def test_an_answer_without_length_ends_with_its_connection():
    """Guards against a whole answer that counts as cut."""
    peer = Peer()
    with running(upstreams) as (loop, client):
        listener = call(loop, client, peer)
        conn = peer.accept()
        read_until(conn, b"body")
        conn.sendall(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        conn.close()
        assert [listener.next(), listener.next()] == [("head", 200), ("end", b"whole")]


def test_a_late_answer_to_an_earlier_request_is_skipped():
    """Guards against an answer that reaches the wrong client, and against losing the right one."""
    peer = Peer()
    with running(upstreams) as (loop, client):
        listener = call(loop, client, peer)
        conn = peer.accept()
        read_until(conn, b"body")
        conn.sendall(whole(b"theirs", b"X-Id: other") + whole(b"mine", b"X-Id: mine"))
        assert [listener.next(), listener.next()] == [("head", 200), ("end", b"mine")]


def test_extra_bytes_end_the_use_of_a_connection():
    """Guards against a second answer that counts as the answer to the next request."""
    peer = Peer()
    with running(upstreams) as (loop, client):
        first = call(loop, client, peer)
        conn = peer.accept()
        read_until(conn, b"body")
        conn.sendall(whole(b"one") + whole(b"extra"))
        first.next()
        assert first.next() == ("end", b"one")
        second = call(loop, client, peer)
        other = peer.accept()
        read_until(other, b"body")
        other.sendall(whole(b"two"))
        second.next()
        assert second.next() == ("end", b"two")


def test_an_old_connection_is_not_used_for_what_must_not_be_repeated():
    """Guards against a request that is sent just as the replica closes the connection."""
    peer = Peer()
    with running(upstreams) as (loop, client):
        first = call(loop, client, peer)
        conn = peer.accept()
        read_until(conn, b"body")
        conn.sendall(whole(b"one"))
        first.next()
        first.next()
        call(loop, client, peer, max_idle_s=0.0)
        assert read_until(peer.accept(), b"body")


def test_no_connection_means_that_nothing_was_sent():
    """Guards against an unknown outcome where nothing can have run."""
    peer = Peer()
    peer.listener.close()
    with running(upstreams) as (loop, client):
        listener = call(loop, client, peer)
        assert listener.next() == ("failed", "not_connected")
