"""An event loop in a thread, and raw sockets in place of clients and upstreams."""

from __future__ import annotations

import contextlib
import queue
import socket
import threading
from collections.abc import Iterator

from fescuechute.forwarding import ClientServer, UpstreamClient
from fescuechute.net import Loop, SystemClock

#: Seconds that a test waits for an expected event before it fails.
TIMEOUT_S = 5.0


class RawUpstream:
    """A listening socket whose connections are read and written by the test itself."""

    def __init__(self):
        self.listen_socket = socket.create_server(("127.0.0.1", 0))
        self.listen_socket.settimeout(TIMEOUT_S)
        self.port = self.listen_socket.getsockname()[1]

    def accept(self) -> socket.socket:
        conn, _ = self.listen_socket.accept()
        conn.settimeout(TIMEOUT_S)
        return conn


class RecordingListener:
    """Records the events of a call."""

    def __init__(self):
        self.events: queue.Queue = queue.Queue()
        self.body = b""

    def on_head(self, status, headers):
        self.events.put(("head", status))

    def on_data(self, data):
        self.body += data

    def on_end(self):
        self.events.put(("end", self.body))

    def on_failed(self, failure, detail):
        self.events.put(("failed", str(failure)))

    def next_event(self):
        return self.events.get(timeout=TIMEOUT_S)


@contextlib.contextmanager
def running_loop(*factories) -> Iterator[list]:
    """Runs a loop with the components that the factories make; yields the loop and these."""
    clock = SystemClock()
    components = [factory(clock) for factory in factories]

    def tick(now: float) -> None:
        for component in components:
            component.tick(now)

    loop = Loop(tick, lambda: None, 0.01, clock)
    for component in components:
        loop.add(component)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    try:
        yield [loop, *components]
    finally:
        loop.close()
        thread.join(TIMEOUT_S)


def make_upstream_client(clock: SystemClock) -> UpstreamClient:
    return UpstreamClient(clock)


def server_factory(handle, counts, channel="callers"):
    def make(clock: SystemClock) -> ClientServer:
        return ClientServer(clock, handle, counts.append, channel)

    return make


def read_until_closed(conn: socket.socket) -> bytes:
    """Reads until the connection is closed or reset."""
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while part := conn.recv(65536):
            data += part
    return data


def read_until(conn: socket.socket, delimiter: bytes) -> bytes:
    data = b""
    while delimiter not in data:
        part = conn.recv(65536)
        assert part, f"the connection was closed after {data!r}"
        data += part
    return data
