"""A loop in a thread, and raw sockets as clients and replicas."""

from __future__ import annotations

import contextlib
import queue
import socket
import threading
from collections.abc import Iterator

from fescuechute.forwarding import CallerServer, UpstreamClient
from fescuechute.net import Loop, SystemClock

#: Seconds that a test waits for something that should happen at once.
WAIT_S = 5.0


class Peer:
    """A listening socket whose connections a test drives byte by byte."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(WAIT_S)
        self.port = self.listener.getsockname()[1]

    def accept(self) -> socket.socket:
        conn, _ = self.listener.accept()
        conn.settimeout(WAIT_S)
        return conn


class Listener:
    """Collects what happens to a call."""

    def __init__(self):
        self.events: queue.Queue = queue.Queue()
        self.body = b""

    def on_head(self, status, headers):
        self.events.put(("head", status))

    def on_data(self, data):
        self.body += data

    def on_end(self):
        self.events.put(("end", self.body))

    def on_failed(self, ended, detail):
        self.events.put(("failed", str(ended)))

    def next(self):
        return self.events.get(timeout=WAIT_S)


@contextlib.contextmanager
def running(*owners_of) -> Iterator[list]:
    """Runs a loop with owners made by functions of its clock; calls their ticks."""
    clock = SystemClock()
    owners = [make(clock) for make in owners_of]

    def tick(now: float) -> None:
        for owner in owners:
            owner.tick(now)

    loop = Loop(tick, lambda: None, 0.01, clock)
    for owner in owners:
        loop.add(owner)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    try:
        yield [loop, *owners]
    finally:
        loop.close()
        thread.join(WAIT_S)


def upstreams(clock: SystemClock) -> UpstreamClient:
    return UpstreamClient(clock)


def callers(handle, counts, channel="callers"):
    def make(clock: SystemClock) -> CallerServer:
        return CallerServer(clock, handle, counts.append, channel)

    return make


def read_all(conn: socket.socket) -> bytes:
    """Reads to the end; a reset counts as the end."""
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while part := conn.recv(65536):
            data += part
    return data


def read_until(conn: socket.socket, end: bytes) -> bytes:
    data = b""
    while end not in data:
        part = conn.recv(65536)
        assert part, f"the connection ended after {data!r}"
        data += part
    return data
