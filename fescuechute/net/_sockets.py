"""Non-blocking TCP connections registered with the circuits poller.

`circuits.net` copies each read and write through events, which limits it to 36 MB/s at its default
buffer size. Here a readable or writable socket costs one event and the bytes are handled in place.
"""

from __future__ import annotations

import errno
import socket
import time
from collections import deque
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

#: Reason of `on_closed` when the peer ended the connection in order, without a reset.
PEER_CLOSED = "closed by the peer"

#: Bytes taken from a socket in one read.
_READ_BYTES = 256 * 1024
#: Reads handled for one readable event, so that one busy peer cannot starve the others.
_READS_PER_EVENT = 4
#: Seconds for which a finished connection waits for the peer to close before it is closed hard.
_LINGER_S = 1.0
#: Seconds without traffic before a keep-alive probe, between probes, and the probes that may fail.
#: Together they find a connection that went silent within 3 s, the bound of the brief.
_PROBE_IDLE_S = 1
_PROBE_EVERY_S = 1
_PROBES = 2
#: Milliseconds for which sent bytes may stay unacknowledged; the same bound as for the probes.
_UNACKNOWLEDGED_MS = 3000


class Connection:
    """One non-blocking TCP connection with a write buffer.

    The owner sets the callbacks. `on_closed` is called at most once, and never after `close`.
    """

    def __init__(self, owner: SocketOwner, sock: socket.socket, connecting: bool):
        self._owner = owner
        self._sock: socket.socket | None = sock
        self._connecting = connecting
        self._out: deque[memoryview] = deque()
        self._finishing = False
        #: Bytes accepted by `write` that the kernel has not taken.
        self.buffered = 0
        self.on_connected: Callable[[], None] = _ignore
        self.on_data: Callable[[bytes], None] = _ignore
        self.on_closed: Callable[[str], None] = _ignore

    @property
    def is_open(self) -> bool:
        """Whether `write` still has an effect."""
        return self._sock is not None

    @property
    def peer(self) -> str:
        """The remote `ip:port`, or an empty string."""
        try:
            return "{}:{}".format(*self._sock.getpeername()) if self._sock else ""
        except OSError:
            return ""

    def write(self, data: bytes) -> None:
        """Sends what the kernel takes now and buffers the rest."""
        if self._sock is None or not data:
            return
        view = memoryview(data)
        if not self._out and not self._connecting:
            view = view[self._send(view) :]
        if len(view) and self._sock is not None:
            self._out.append(view)
            self.buffered += len(view)
            self._owner.watch_writes(self._sock, True)

    def finish(self) -> None:
        """Sends what is buffered, then closes without calling `on_closed`.

        What still arrives is read and dropped for a while: closing a socket with unread bytes
        resets the connection, and the peer could lose the end of what was sent to it.
        """
        if self._sock is None or self._finishing:
            return
        self._finishing = True
        self.on_data = self.on_closed = _ignore
        self._owner.close_later(self, _LINGER_S)
        if not self._out:
            self._shut_down()

    def _shut_down(self) -> None:
        assert self._sock is not None
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The peer has closed already, so nothing is left to be sent.
            self.close()

    def close(self) -> None:
        """Closes without calling `on_closed`. Buffered bytes are dropped."""
        if self._sock is not None:
            self._owner.forget(self._sock)
            self._sock.close()
            self._sock = None
            self._out.clear()
            self.buffered = 0

    def handle_readable(self) -> None:
        """Reads what has arrived and passes it to `on_data`."""
        for _ in range(_READS_PER_EVENT):
            if self._sock is None:
                return
            try:
                data = self._sock.recv(_READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as exc:
                self.fail(exc.strerror or "read failed")
                return
            if not data:
                self.fail(PEER_CLOSED)
                return
            self._owner.bytes_in += len(data)
            self.on_data(data)
            if len(data) < _READ_BYTES:
                return

    def handle_writable(self) -> None:
        """Completes a connect, then sends buffered bytes."""
        if self._sock is None:
            return
        if self._connecting and not self._finish_connect():
            return
        while self._out and self._sock is not None:
            view = self._out[0]
            sent = self._send(view)
            self.buffered -= sent
            if sent < len(view):
                self._out[0] = view[sent:]
                return
            self._out.popleft()
        if self._sock is not None:
            self._owner.watch_writes(self._sock, False)
            if self._finishing:
                self._shut_down()

    def fail(self, reason: str) -> None:
        """Closes and calls `on_closed`."""
        if self._sock is not None:
            self.close()
            self.on_closed(reason)

    def _finish_connect(self) -> bool:
        assert self._sock is not None
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.fail(f"connect failed: {errno.errorcode.get(code, code)}")
            return False
        self._connecting = False
        self.on_connected()
        return self._sock is not None

    def _send(self, view: memoryview) -> int:
        assert self._sock is not None
        try:
            sent = self._sock.send(view)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as exc:
            # Reported from the next poll: callers of `write` must not be re-entered.
            self._owner.fail_later(self, exc.strerror or "write failed")
            return 0
        self._owner.bytes_out += sent
        return sent


class SocketOwner(BaseComponent):
    """Base of components that own connections. Each needs a channel of its own."""

    def __init__(self, channel: str):
        super().__init__(channel=channel)
        self._poller: EPoll | None = None
        self._connections: dict[socket.socket, Connection] = {}
        self._writing: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self._failed: list[tuple[Connection, str]] = []
        #: Finished connections with the monotonic time of their hard close, the oldest first.
        self._closing: deque[tuple[float, Connection]] = deque()
        #: Bytes read from and written to all connections so far.
        self.bytes_in = 0
        self.bytes_out = 0

    def use_poller(self, poller: EPoll) -> None:
        """Sets the poller; must come before any connection."""
        self._poller = poller

    def listen(self, address: str, port: int) -> int:
        """Opens the listening socket and returns its port."""
        listener = socket.create_server((address, port), backlog=1024, reuse_port=False)
        listener.setblocking(False)
        self._listener = listener
        self._require_poller().addReader(self, listener)
        return int(listener.getsockname()[1])

    def stop_listening(self) -> None:
        """Closes the listening socket; open connections stay."""
        if self._listener is not None:
            self._require_poller().discard(self._listener)
            self._listener.close()
            self._listener = None

    def open_connection(self, address: str, port: int) -> Connection:
        """Starts a connect and returns the connection."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _set_options(sock)
        code = sock.connect_ex((address, port))
        conn = Connection(self, sock, connecting=True)
        self._adopt(sock, conn)
        if code not in (0, errno.EINPROGRESS):
            self.fail_later(conn, f"connect failed: {errno.errorcode.get(code, code)}")
        else:
            self.watch_writes(sock, True)
        return conn

    def accepted(self, conn: Connection) -> None:
        """Called for each accepted connection; subclasses set its callbacks."""

    def close_connections(self) -> None:
        """Closes the listener and every connection."""
        self.stop_listening()
        for conn in list(self._connections.values()):
            conn.close()

    def watch_writes(self, sock: socket.socket, on: bool) -> None:
        """Adds or removes interest in writability."""
        if on and sock not in self._writing:
            self._writing.add(sock)
            self._require_poller().addWriter(self, sock)
        elif not on and sock in self._writing:
            self._writing.discard(sock)
            self._require_poller().removeWriter(sock)

    def forget(self, sock: socket.socket) -> None:
        """Stops polling a socket that is about to be closed."""
        self._writing.discard(sock)
        self._connections.pop(sock, None)
        self._require_poller().discard(sock)

    def fail_later(self, conn: Connection, reason: str) -> None:
        """Fails a connection from the next pass of `report_failures`."""
        self._failed.append((conn, reason))

    def report_failures(self) -> None:
        """Fails the connections noted by `fail_later`; called once a tick."""
        failed, self._failed = self._failed, []
        for conn, reason in failed:
            conn.fail(reason)
        while self._closing and self._closing[0][0] <= time.monotonic():
            self._closing.popleft()[1].close()

    def close_later(self, conn: Connection, delay_s: float) -> None:
        """Closes a connection from a later pass of `report_failures`."""
        self._closing.append((time.monotonic() + delay_s, conn))

    @handler("_read")
    def _on_readable(self, sock: socket.socket) -> None:
        if sock is self._listener:
            self._accept()
            return
        conn = self._connections.get(sock)
        if conn is not None:
            conn.handle_readable()

    @handler("_write")
    def _on_writable(self, sock: socket.socket) -> None:
        conn = self._connections.get(sock)
        if conn is not None:
            conn.handle_writable()

    @handler("_disconnect")
    def _on_hang_up(self, sock: socket.socket) -> None:
        conn = self._connections.get(sock)
        if conn is not None:
            conn.fail("connection reset")

    def _accept(self) -> None:
        assert self._listener is not None
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            _set_options(sock)
            conn = Connection(self, sock, connecting=False)
            self._adopt(sock, conn)
            self.accepted(conn)

    def _adopt(self, sock: socket.socket, conn: Connection) -> None:
        self._connections[sock] = conn
        self._require_poller().addReader(self, sock)

    def _require_poller(self) -> EPoll:
        assert self._poller is not None, "use_poller must be called before the first socket"
        return self._poller


def _set_options(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)


def _ignore(*_args: object) -> None:
    """Default callback."""
