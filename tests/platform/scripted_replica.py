"""A replica at the level of sockets, whose responses are chosen byte by byte by the test."""

from __future__ import annotations

import contextlib
import re
import socket
import struct
import threading
from collections.abc import Callable

import attrs

_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
_REQUEST_ID = re.compile(rb"(?i)\r\nx-fescuechute-request-id: *([^\r]*)")
_TARGET = re.compile(rb"(?i)\r\nx-fescuechute-target-instance: *([^\r]*)")
_LAST_EVENT_ID = re.compile(rb"(?i)\r\nlast-event-id: *(\d+)")
#: Value of SO_LINGER with which closing a socket resets its connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
#: Number of events of a complete stream.
EVENTS = 3


@attrs.frozen
class ReceivedRequest:
    """A request as the replica received it."""

    id: bytes
    path: bytes
    #: Instance that the request names.
    target: bytes
    #: Id after which a stream continues, 0 for a new one.
    last_event_id: int
    #: Number of earlier requests on the connection.
    earlier: int
    #: Number of earlier requests with the same id at any replica.
    attempts: int


class ScriptedReplica:
    """Answers each request with the parts that a script returns, then closes or keeps the connection.

    The script is called with each request and returns the parts to send. An empty last part closes the
    connection, None resets it; otherwise the connection is kept.
    """

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.script: Callable[[ReceivedRequest], list[bytes | None]] = complete
        self.received: list[ReceivedRequest] = []
        self._connections: set[socket.socket] = set()
        self._thread = threading.Thread(target=self._accept, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def crash(self) -> None:
        """Closes all connections; further ones are refused."""
        self.close()
        for conn in list(self._connections):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)

    def attempts(self, request_id: bytes) -> int:
        """Returns the number of times that a request was received."""
        return sum(request.id == request_id for request in self.received)

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        self._connections.add(conn)
        with contextlib.suppress(OSError), conn:
            earlier = 0
            while (request := self._receive(conn, earlier)) is not None:
                earlier += 1
                self.received.append(request)
                for part in self.script(request):
                    if part is None:
                        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                    if not part:
                        return
                    conn.sendall(part)

    def _receive(self, conn: socket.socket, earlier: int) -> ReceivedRequest | None:
        data = b""
        while b"\r\n\r\n" not in data:
            part = conn.recv(65536)
            if not part:
                return None
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        length = _LENGTH.search(head)
        while length and len(body) < int(length[1]):
            body += conn.recv(65536)
        request_id = _REQUEST_ID.search(head)
        last_event_id = _LAST_EVENT_ID.search(head)
        target = _TARGET.search(head)
        id_ = request_id[1] if request_id else b""
        return ReceivedRequest(
            id_,
            head.split(b" ", 2)[1],
            target[1] if target else b"",
            int(last_event_id[1]) if last_event_id else 0,
            earlier,
            self.attempts(id_),
        )


def head(status: bytes, *fields: bytes) -> bytes:
    """Returns a response head."""
    return b"\r\n".join([b"HTTP/1.1 " + status, *fields]) + b"\r\n\r\n"


def own_fields(request: ReceivedRequest) -> tuple[bytes, bytes]:
    """Returns the fields by which a replica identifies and seals its response."""
    return b"X-Fescuechute-Request-Id: " + request.id, b"X-Fescuechute-Response-Seal: seal"


def plain(request: ReceivedRequest, body: bytes = b"the whole answer") -> bytes:
    """Returns a complete response with a length."""
    return head(b"200 OK", *own_fields(request), b"Content-Length: %d" % len(body)) + body


def event(number: int) -> bytes:
    """Returns one event of a stream."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    """Returns data as one chunk of a chunked body."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


def stream(request: ReceivedRequest, events: int = EVENTS) -> bytes:
    """Returns a complete stream that continues after the event that the request names."""
    numbers = range(request.last_event_id + 1, events + 1)
    body = b"".join(chunk(event(number)) for number in numbers) + b"0\r\n\r\n"
    return head(b"200 OK", *own_fields(request), b"Transfer-Encoding: chunked") + body


def refusal(request_id: bytes | None, status: bytes = b"503 Service Unavailable") -> bytes:
    """Returns a refusal of a request that was not run; without an id, it names no request."""
    fields = [b"X-Fescuechute-Not-Executed: 1", b"Content-Length: 0"]
    if request_id is not None:
        fields.append(b"X-Fescuechute-Request-Id: " + request_id)
    return head(status, *fields)


def complete(request: ReceivedRequest) -> list[bytes]:
    """The script of a replica without faults."""
    return [stream(request) if request.path.startswith(b"/s/") else plain(request)]
