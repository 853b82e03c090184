"""Non-blocking TCP connections registered with the circuits poller.

`circuits.net` passes all data through events, which limits it to 36 MB/s at its default buffer
size. Here each readable or writable socket causes one event, and its handler does the I/O directly.
"""

from __future__ import annotations

import errno
import fcntl
import os
import socket
import struct
import termios
import time
from collections import deque
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

#: Reason passed to `on_closed` when the peer closed the connection cleanly, without a reset.
PEER_CLOSED = "closed by the peer"

#: The reason differs with whether the poller reports the failed connect as readable or as writable.
_REFUSED_REASONS = frozenset({"connect failed: ECONNREFUSED", os.strerror(errno.ECONNREFUSED)})

#: Maximum bytes per read from a socket. Decoding may take 10 us for each 10 bytes.
_MAX_READ_BYTES = 16 * 1024
#: Seconds of a readable event after which no further read is started, so that one busy peer cannot
#: starve the others, and the most reads of one event.
_READ_TIME_S = 0.005
_READS_PER_EVENT = 64
#: Readable events handled for a connection that has failed; they cover the kernel's receive buffer.
_MAX_FINAL_READS = 8
#: Seconds that a finished connection waits for the peer to close, or to read more of the buffered
#: data, before it is closed forcibly.
LINGER_S = 1.0
#: Longest time in seconds for which it waits in all.
MAX_LINGER_S = 10.0
#: Bytes of the peer that a finished connection discards, and the number of connections of one owner that
#: wait while their peers go on sending.
MAX_DISCARDED_BYTES = 16 << 20
MAX_DISCARDING = 64
#: TCP keep-alive: idle seconds before the first probe, seconds between probes, and the number of
#: unanswered probes that ends the connection. Together they detect a dead connection within 3 s, as
#: required.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_MAX_PROBES = 2
#: Milliseconds that sent data may stay unacknowledged; the same 3 s limit as for keep-alive.
_TCP_USER_TIMEOUT_MS = 3000
_MAX_PORT = 65_535
_INT = struct.Struct("i")


def is_connection_refused(reason: str) -> bool:
    """Returns whether a reason passed to `on_closed` says that no process listens at the address."""
    return reason in _REFUSED_REASONS


class Connection:
    """A non-blocking TCP connection with a write buffer.

    The creator sets the callbacks. `on_closed` is called at most once, and never after `close`.
    """

    def __init__(self, owner: SocketOwner, sock: socket.socket, connecting: bool):
        self._owner = owner
        self._sock: socket.socket | None = sock
        self._connecting = connecting
        self._write_queue: deque[memoryview] = deque()
        self._finishing = False
        #: Monotonic time at which a finished connection is closed.
        self._linger_deadline = 0.0
        #: Whether the peer may read the answer only after it has sent its request; set before `finish`.
        self.is_refused = False
        #: Bytes that the peer had not acknowledged when a finished connection was last checked.
        self._last_pending = 0
        #: Bytes discarded after `finish`, and those when the connection was last checked.
        self._discarded = 0
        self._last_discarded = 0
        self._reading = True
        #: Reason of the first failed write, empty before.
        self._write_failure = ""
        #: Bytes passed to `write` that the kernel has not accepted yet.
        self.buffered = 0
        self.on_connected: Callable[[], None] = _no_op
        self.on_data: Callable[[bytes], None] = _no_op
        self.on_closed: Callable[[str], None] = _no_op

    @property
    def is_open(self) -> bool:
        """Whether this side has not closed the connection; otherwise `write` does nothing."""
        return self._sock is not None

    @property
    def peer(self) -> str:
        """The remote `ip:port`, or an empty string if not connected."""
        try:
            return "{}:{}".format(*self._sock.getpeername()) if self._sock else ""
        except OSError:
            return ""

    def write(self, data: bytes) -> None:
        """Sends what the kernel accepts immediately and buffers the rest."""
        if self._sock is None or self._write_failure or not data:
            return
        view = memoryview(data)
        if not self._write_queue and not self._connecting:
            view = view[self._send(view) :]
        if len(view) and not self._write_failure:
            self._write_queue.append(view)
            self.buffered += len(view)
            self._owner.watch_writes(self._sock, True)

    def set_reading(self, enabled: bool) -> None:
        """Pauses or resumes reading; while it is paused, only a reset by the peer is noticed."""
        if self._sock is not None and enabled is not self._reading:
            self._reading = enabled
            self._owner.watch_reads(self._sock, enabled)

    def finish(self) -> None:
        """Sends the buffered data, then closes without calling `on_closed`.

        Incoming data is read and discarded until the peer closes or the linger time ends: closing a
        socket with unread data resets the connection, and the peer could lose the end of the
        stream. The linger time starts again while the peer takes buffered data, and with `is_refused` while
        it sends.
        """
        if self._sock is None or self._finishing:
            return
        self._finishing = True
        self._linger_deadline = time.monotonic() + MAX_LINGER_S
        self._last_pending = self.pending()
        self.set_reading(True)
        self.on_data, self.on_closed = self._discard, _no_op
        if self.is_refused and len(self._owner.discarding) < MAX_DISCARDING:
            self._owner.discarding.add(self)
        self._owner.close_later(self, LINGER_S)
        if not self._write_queue:
            self._shut_down_writes()

    def end_linger(self) -> None:
        """Closes a finished connection, unless the peer has taken more of the buffered data."""
        if self._sock is None:
            return
        pending = self.pending()
        is_taking = 0 < pending < self._last_pending
        is_sending = self in self._owner.discarding and self._discarded > self._last_discarded
        self._last_pending, self._last_discarded = pending, self._discarded
        if (is_taking or is_sending) and time.monotonic() < self._linger_deadline:
            self._owner.close_later(self, LINGER_S)
        else:
            self.close()

    def _discard(self, data: bytes) -> None:
        self._discarded += len(data)
        if self._discarded > MAX_DISCARDED_BYTES:
            self.close()

    def pending(self) -> int:
        """Returns the bytes that the peer has not acknowledged, those in the kernel included."""
        if self._sock is None:
            return 0
        queued = fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(_INT.size))
        return self.buffered + int(_INT.unpack(queued)[0])

    def _shut_down_writes(self) -> None:
        assert self._sock is not None
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The peer has already closed the connection; there is nothing left to send.
            self.close()

    def close(self) -> None:
        """Closes immediately without calling `on_closed`; buffered data is discarded."""
        if self._sock is not None:
            self._owner.discarding.discard(self)
            self._owner.remove_socket(self._sock)
            self._sock.close()
            self._sock = None
            self._write_queue.clear()
            self.buffered = 0
            # The callbacks refer to the request, and often back to this connection.
            self.on_connected = self.on_data = self.on_closed = _no_op

    def handle_readable(self) -> None:
        """Reads available data and passes it to `on_data`."""
        deadline = time.monotonic() + _READ_TIME_S
        for _ in range(_READS_PER_EVENT):
            if self._sock is None or not self._reading:
                return
            try:
                data = self._sock.recv(_MAX_READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as exc:
                self.fail(exc.strerror or "read failed")
                return
            if not data:
                # The failed write has consumed the error of the socket, so a reset reads like an
                # orderly close.
                self.fail(self._write_failure or PEER_CLOSED)
                return
            self._owner.bytes_in += len(data)
            self.on_data(data)
            if len(data) < _MAX_READ_BYTES or time.monotonic() >= deadline:
                return

    def handle_writable(self) -> None:
        """Completes a pending connect, then sends buffered data."""
        if self._sock is None:
            return
        if self._connecting and not self._finish_connect():
            return
        while self._write_queue:
            view = self._write_queue[0]
            sent = self._send(view)
            if self._write_failure:
                return
            self.buffered -= sent
            if sent < len(view):
                self._write_queue[0] = view[sent:]
                return
            self._write_queue.popleft()
        self._owner.watch_writes(self._sock, False)
        if self._finishing:
            self._shut_down_writes()

    def fail_after_reading(self, reason: str) -> None:
        """Passes on what has arrived, then closes and calls `on_closed`.

        A peer may answer and reset the connection before it has read everything.
        """
        for _ in range(_MAX_FINAL_READS):
            if self._sock is None or self._connecting or not self._reading:
                break
            self.handle_readable()
        self.fail(reason)

    def fail(self, reason: str) -> None:
        """Closes the connection and calls `on_closed`."""
        if self._sock is not None:
            on_closed = self.on_closed
            self.close()
            on_closed(reason)

    def _finish_connect(self) -> bool:
        assert self._sock is not None
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.fail(f"connect failed: {errno.errorcode.get(code, code)}")
            return False
        self._connecting = False
        on_connected, self.on_connected = self.on_connected, _no_op
        on_connected()
        return self._sock is not None

    def _send(self, view: memoryview) -> int:
        assert self._sock is not None
        try:
            sent = self._sock.send(view)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as exc:
            self._write_failure = exc.strerror or "write failed"
            self._write_queue.clear()
            self.buffered = 0
            self._owner.watch_writes(self._sock, False)
            # Deferred to the next tick, so that `write` never re-enters its caller via `on_closed`.
            self._owner.fail_later(self, self._write_failure)
            return 0
        self._owner.bytes_out += sent
        return sent


class SocketOwner(BaseComponent):
    """Base class of components that own connections; each instance needs its own channel."""

    def __init__(self, channel: str):
        super().__init__(channel=channel)
        self._poller: EPoll | None = None
        self._connections: dict[socket.socket, Connection] = {}
        self._write_watched: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self._deferred_failures: list[tuple[Connection, str]] = []
        #: Lingering connections with the monotonic time at which to close them, earliest first.
        self._deferred_closes: deque[tuple[float, Connection]] = deque()
        #: Finished connections that discard what their peers still send.
        self.discarding: set[Connection] = set()
        #: Total bytes read from and written to all connections.
        self.bytes_in = 0
        self.bytes_out = 0

    def use_poller(self, poller: EPoll) -> None:
        """Sets the poller; must be called before the first socket is opened."""
        self._poller = poller

    def listen(self, address: str, port: int) -> int:
        """Starts listening and returns the port."""
        listener = socket.create_server((address, port), backlog=1024, reuse_port=False)
        listener.setblocking(False)
        self._listener = listener
        self._require_poller().addReader(self, listener)
        return int(listener.getsockname()[1])

    def stop_listening(self) -> None:
        """Closes the listening socket; established connections stay open."""
        if self._listener is not None:
            self._require_poller().discard(self._listener)
            self._listener.close()
            self._listener = None

    def open_connection(self, address: str, port: int) -> Connection:
        """Starts connecting to an address and returns the connection.

        The connection fails later if the address is no IPv4 address with a port.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _set_options(sock)
        is_usable = is_usable_address(address, port)
        code = sock.connect_ex((address, port)) if is_usable else errno.EADDRNOTAVAIL
        conn = Connection(self, sock, connecting=True)
        self._add_connection(sock, conn)
        if code not in (0, errno.EINPROGRESS):
            self.fail_later(conn, f"connect failed: {errno.errorcode.get(code, code)}")
        else:
            self.watch_writes(sock, True)
        return conn

    def on_accepted(self, conn: Connection) -> None:
        """Handles a newly accepted connection; subclasses set its callbacks."""

    def close_connections(self) -> None:
        """Closes the listening socket and every connection."""
        self.stop_listening()
        for conn in list(self._connections.values()):
            conn.close()

    def watch_writes(self, sock: socket.socket, enabled: bool) -> None:
        """Starts or stops polling a socket for writability."""
        if enabled and sock not in self._write_watched:
            self._write_watched.add(sock)
            self._require_poller().addWriter(self, sock)
        elif not enabled and sock in self._write_watched:
            self._write_watched.discard(sock)
            self._require_poller().removeWriter(sock)

    def watch_reads(self, sock: socket.socket, enabled: bool) -> None:
        """Starts or stops polling a socket for readability."""
        if enabled:
            self._require_poller().addReader(self, sock)
        else:
            self._require_poller().removeReader(sock)

    def remove_socket(self, sock: socket.socket) -> None:
        """Removes a socket that is about to be closed from the poller."""
        self._write_watched.discard(sock)
        self._connections.pop(sock, None)
        self._require_poller().discard(sock)

    def fail_later(self, conn: Connection, reason: str) -> None:
        """Defers the failure of a connection to the next `run_deferred`."""
        self._deferred_failures.append((conn, reason))

    def run_deferred(self) -> None:
        """Performs deferred failures and the deferred closes that are due; called once per tick."""
        failed, self._deferred_failures = self._deferred_failures, []
        for conn, reason in failed:
            conn.fail_after_reading(reason)
        while self._deferred_closes and self._deferred_closes[0][0] <= time.monotonic():
            self._deferred_closes.popleft()[1].end_linger()

    def close_oldest_lingering(self) -> bool:
        """Closes the finished connection that lingers longest without output that the peer has not taken.

        Returns:
          False if there is none.
        """
        for _, conn in self._deferred_closes:
            if conn.is_open and not conn.pending():
                conn.close()
                return True
        return False

    def close_later(self, conn: Connection, delay_s: float) -> None:
        """Defers closing a connection to the first `run_deferred` after a delay."""
        self._deferred_closes.append((time.monotonic() + delay_s, conn))

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
    def _on_hangup(self, sock: socket.socket) -> None:
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
            self._add_connection(sock, conn)
            self.on_accepted(conn)

    def _add_connection(self, sock: socket.socket, conn: Connection) -> None:
        self._connections[sock] = conn
        self._require_poller().addReader(self, sock)

    def _require_poller(self) -> EPoll:
        assert self._poller is not None, "use_poller must be called before the first socket"
        return self._poller


def is_usable_address(address: str, port: int) -> bool:
    """Returns whether an address is an IPv4 address, not a host name, with a port that exists."""
    try:
        socket.inet_pton(socket.AF_INET, address)
    except (OSError, ValueError):
        return False
    return 0 < port <= _MAX_PORT


def _set_options(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_MAX_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)


def _no_op(*_args: object) -> None:
    """Default callback; does nothing."""
