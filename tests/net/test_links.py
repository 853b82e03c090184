"""Tests of links: lost messages, silent connections and invalid data from peers."""

import contextlib
import socket
import threading
import time

import pytest

from fescuechute.net import LinkHub, Loop, SystemClock
from fescuechute.wire import PROTOCOL_VERSION, Cancel, FrameDecoder, Hello, Piece, encode

DEADLINE_S = 10.0


def wait_for(condition, what: str) -> None:
    """Waits until a condition holds; fails after DEADLINE_S."""
    deadline = time.monotonic() + DEADLINE_S
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for {what}"
        time.sleep(0.005)


class Peer:
    """A LinkHub on its own loop and thread that records the calls of its handler."""

    def __init__(self, name: str, version: int = PROTOCOL_VERSION, tick_s: float = 0.02):
        self.up: list[str] = []
        self.down: list[tuple[str, str]] = []
        self.messages: list[object] = []
        self.counters: list[str] = []
        clock = SystemClock()
        hello = Hello(version, name, "agent", "r1", "d1", f"boot-{name}")
        self.hub = LinkHub(hello, self, clock)
        self.loop = Loop(self.hub.tick, lambda: None, tick_s, clock)
        self.loop.add(self.hub)
        self.port = self.hub.listen("127.0.0.1", 0)
        self.thread = threading.Thread(target=self.loop.run, daemon=True)

    def link_up(self, peer_id, hello):
        self.up.append(peer_id)

    def link_down(self, peer_id, reason):
        self.down.append((peer_id, reason))

    def message(self, peer_id, msg):
        self.messages.append(msg)

    def count(self, name):
        self.counters.append(name)

    def close(self):
        self.loop.close()
        self.thread.join(DEADLINE_S)


@pytest.fixture
def peers():
    created: list[Peer] = []

    def make(name, **kwargs) -> Peer:
        peer = Peer(name, **kwargs)
        created.append(peer)
        return peer

    yield make
    for peer in created:
        peer.close()


def start(*started: Peer) -> None:
    for peer in started:
        peer.thread.start()


def test_messages_arrive_in_order_in_both_directions(peers):
    """Stream assembly relies on the message order within a link."""
    a, b = peers("a"), peers("b")
    a.hub.connect("b", "127.0.0.1", b.port)
    start(a, b)
    wait_for(lambda: a.up == ["b"] and b.up == ["a"], "handshake")
    sent = [Piece("r", 1, i, ("x" * 1000,)) for i in range(2000)]
    for msg in sent:
        a.hub.send("b", msg)
    b.hub.send("a", Cancel("r", 1))
    wait_for(lambda: len(b.messages) == 2000 and a.messages, "all messages")
    assert b.messages == sent
    assert a.messages == [Cancel("r", 1)]


def test_refused_message_is_not_delivered_when_the_peer_reads_later(peers):
    """Guards against double execution.

    When `send` returns False, the caller sends the request to another peer. If the first peer
    resumed reading and still received the message, the request would run twice.
    """
    a = peers("a")
    with socket.create_server(("127.0.0.1", 0)) as server:
        a.hub.connect("b", *server.getsockname())
        start(a)
        conn, _ = server.accept()
        with conn:
            conn.sendall(encode(Hello(PROTOCOL_VERSION, "b", "agent", "r1", "d1", "boot-b")))
            wait_for(lambda: a.up, "the link")
            numbers = iter(range(1000))
            filler = ("x" * 500_000,)
            number = next(n for n in numbers if not a.hub.send("b", Piece("r", 1, n, filler)))
            decoder, seen = FrameDecoder(), []
            conn.settimeout(DEADLINE_S)
            with contextlib.suppress(ConnectionResetError):
                while data := conn.recv(1 << 20):
                    seen += [m.seq for m in decoder.feed(data) if isinstance(m, Piece)]
    assert number not in seen
    assert "links.write_buffer_full" in a.counters


def test_silent_connection_is_replaced_within_three_seconds(peers):
    """A connection whose state a middlebox lost must be replaced within 3 s."""
    a = peers("a")
    with socket.create_server(("127.0.0.1", 0)) as server:
        a.hub.connect("b", "127.0.0.1", server.getsockname()[1])
        start(a)
        conn, _ = server.accept()
        hello = Hello(PROTOCOL_VERSION, "b", "agent", "r1", "d1", "boot")
        conn.sendall(encode(hello))
        wait_for(lambda: a.up == ["b"], "handshake")
        silent_since = time.monotonic()
        second, _ = server.accept()
        assert time.monotonic() - silent_since < 3.0
        wait_for(lambda: a.down, "link_down")
        assert a.down[0] == ("b", "silent")
        conn.close()
        second.close()


def test_unknown_protocol_version_is_rejected(peers):
    """Processes with incompatible protocol versions must not exchange requests."""
    a, b = peers("a"), peers("b", version=PROTOCOL_VERSION + 1)
    b.hub.connect("a", "127.0.0.1", a.port)
    start(a, b)
    wait_for(lambda: "links.version" in a.counters, "version counter")
    assert a.up == []


@pytest.mark.parametrize(
    ("data", "counter"),
    [
        pytest.param(b"\xff" * 8, "links.invalid.FrameTooLargeError", id="too_large"),
        pytest.param(b"GET / HTTP/1.1\r\n", "links.invalid.FrameTooLargeError", id="http"),
        pytest.param(encode(Cancel("r", 1)), "links.invalid.WireError", id="no_hello"),
    ],
)
def test_invalid_bytes_close_the_link_with_a_counter(peers, data, counter):
    """Invalid data from a foreign client must not stop the process, and must be counted."""
    a = peers("a")
    start(a)
    with socket.create_connection(("127.0.0.1", a.port)) as conn:
        conn.sendall(data)
        wait_for(lambda: counter in a.counters, counter)


def test_link_of_restarted_peer_replaces_the_old_link(peers):
    """The dead connection of a restarted peer must not block its new connection."""
    a, first, second = peers("a"), peers("b"), peers("b")
    first.hub.connect("a", "127.0.0.1", a.port)
    start(a, first)
    wait_for(lambda: a.up == ["b"], "first link")
    second.hub.connect("a", "127.0.0.1", a.port)
    start(second)
    wait_for(lambda: a.up.count("b") >= 2, "second link")
    assert ("b", "replaced by a newer connection") in a.down


def test_refused_message_is_not_delivered_before_the_next_tick(peers):
    """A request that `send` refused is reported as not run, so it must never arrive.

    The refused link is closed at the next tick. Until then it must not transmit the message.
    """
    # With a long tick interval the link stays open for a while after the refusal.
    a = peers("a", tick_s=1.0)
    start(a)
    with socket.create_connection(("127.0.0.1", a.port)) as conn:
        conn.sendall(encode(Hello(PROTOCOL_VERSION, "b", "entry", "r1", "d1", "boot", "", "")))
        wait_for(lambda: a.up == ["b"], "the link")
        big = ("x" * 500_000,)
        sent = 0
        while a.hub.send("b", Piece(f"r{sent}", 1, 0, big)):
            sent += 1
            assert sent < 200, "the write buffer is unbounded"
        conn.settimeout(DEADLINE_S)
        decoder, arrived = FrameDecoder(), []
        while data := conn.recv(1 << 20):
            arrived += [msg.request_id for msg in decoder.feed(data) if isinstance(msg, Piece)]
    assert f"r{sent}" not in arrived
    assert "links.write_buffer_full" in a.counters
