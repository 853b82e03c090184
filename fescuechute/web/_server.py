"""HTTP server based on circuits.web, with deferred responses and streams of NDJSON lines."""

from __future__ import annotations

import itertools
import json
import resource
import socket
import time
from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import attrs
from circuits import BaseComponent, Event, handler
from circuits.web.events import response, stream
from circuits.web.servers import BaseServer
from circuits.web.wrappers import Request, Response

from fescuechute.errors import Reason, RefusedError, refusal
from fescuechute.forwarding import MemoryAccount
from fescuechute.logs import part_logger
from fescuechute.web._lingering import LingeringCallers

#: Maximum size of a request head in bytes, in addition to the body.
_MAX_HEAD_BYTES = 16 * 1024
#: Maximum number of bytes per read from a socket.
_READ_BYTES = 16 * 1024
#: Memory for incomplete requests, in bytes and in largest bodies; the larger one holds. Chunks of one
#: byte take twelve times their size, and one connection may hold half of the memory.
_REQUEST_MEMORY_BYTES = 16 << 20
_REQUEST_MEMORY_BODIES = 24
#: Estimated memory in bytes of each line end in a body; each chunk has two, and is an object of its own.
_LINE_BYTES = 32
#: Share of the descriptors of the process that callers may take; links and files need the others.
_CALLER_DESCRIPTOR_SHARE = 0.75
#: Descriptors that are presumed if the system names no limit.
_DEFAULT_DESCRIPTORS = 4096
#: Maximum size of the send buffer in bytes for a caller that does not read its stream.
_MAX_BUFFERED_BYTES = 4 << 20
#: Timeout in seconds from the first byte of a request to its last. Without a timeout, callers that
#: never complete their requests could exhaust the file descriptors of the entry.
REQUEST_TIMEOUT_S = 10.0
#: Seconds after which a caller that was refused for lack of memory may retry.
_RETRY_AFTER_S = 1
_CHANNEL = "web"


@attrs.frozen
class HttpRequest:
    """A complete request of a caller."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class Responder:
    """Sends the response to one request, either whole or as a stream of NDJSON lines."""

    def __init__(self, server: CallerServer, sock: socket.socket, res: Response):
        self._server = server
        self._sock = sock
        self._res = res
        self._streaming = False
        #: False once the response is complete or the caller has disconnected.
        self.is_open = True
        #: Called if the caller disconnects before its response is complete.
        self.on_disconnect: Callable[[], None] = lambda: None

    @property
    def streaming(self) -> bool:
        """Whether the head of a stream has been sent, so that an error must be sent as a line."""
        return self._streaming

    def send_json(self, status: int, body: dict[str, Any]) -> None:
        """Sends a whole response with a JSON body."""
        if not self.is_open:
            return
        self.is_open = False
        self._res.status = status
        self._res.headers["Content-Type"] = "application/json"
        self._res.body = json.dumps(body).encode()
        self._server.untrack(self._sock)
        self._server.fire(response(self._res), _CHANNEL)

    def push(self, line: dict[str, Any]) -> None:
        """Sends one line of a stream; the first call also sends the head."""
        if not self.is_open:
            return
        data = json.dumps(line).encode() + b"\n"
        if not self._streaming:
            self._streaming = True
            self._server.send(self._sock, self._head())
        if self._res.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._server.send(self._sock, data)

    def end(self) -> None:
        """Completes a stream."""
        if self.is_open:
            self.is_open = False
            self._server.untrack(self._sock)
            self._server.fire(stream(self._res, None), _CHANNEL)

    def refuse(self, exc: RefusedError, request_id: str = "") -> None:
        """Sends an error, as the whole response or as the last line of a stream."""
        body = error_body(exc, request_id)
        if self._streaming:
            self.push(body)
            self.end()
        else:
            self.send_json(refusal(exc.reason).status, body)

    def handle_disconnect(self) -> None:
        """Closes the responder and calls `on_disconnect`; called when the connection ends."""
        if self.is_open:
            self.is_open = False
            self.on_disconnect()

    def _head(self) -> bytes:
        self._res.status = 200
        self._res.stream = True
        self._res.body = None
        self._res.headers["Content-Type"] = "application/x-ndjson"
        # Without this, circuits.web would send `Content-Length: 0` for the empty body.
        self._res.headers["Transfer-Encoding"] = "chunked"
        self._res.prepare()
        del self._res.headers["Content-Length"]
        return bytes(self._res) + bytes(self._res.headers)


class _WebServer(BaseServer):
    """Server of circuits.web without its startup banner, which does not follow the log format."""

    @handler("ready", override=True)
    def _on_ready(self, *_args: Any) -> None:
        """Suppresses the banner; the daemon prints its own ready line."""


class CallerServer(BaseComponent):
    """Listens for callers and passes each request with its responder to a handler function."""

    channel = _CHANNEL

    def __init__(
        self,
        bind: tuple[str, int],
        handle: Callable[[HttpRequest, Responder], None],
        max_body_bytes: int,
        count: Callable[[str], None],
    ):
        super().__init__()
        self._handle = handle
        self._log = part_logger("web")
        self._max_request_bytes = max_body_bytes + _MAX_HEAD_BYTES
        self._max_body_bytes = max_body_bytes
        self._count = count
        self._account = MemoryAccount(
            max(_REQUEST_MEMORY_BYTES, _REQUEST_MEMORY_BODIES * max_body_bytes)
        )
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            descriptors = _DEFAULT_DESCRIPTORS
        self.max_connections = int(_CALLER_DESCRIPTOR_SHARE * descriptors)
        #: Connections without a request, the one without data for the longest time first.
        self._idle: dict[socket.socket, None] = {}
        self._received_bytes: dict[socket.socket, int] = {}
        #: Bytes reserved in the account for each incomplete request.
        self._reserved_bytes: dict[socket.socket, int] = {}
        #: Connections that were refused; nothing more is parsed for them until they are closed.
        self._refused: set[socket.socket] = set()
        #: Upper bound of the bytes in the send buffer, by caller.
        self._buffered_bytes: dict[socket.socket, int] = {}
        #: Deadlines of incomplete requests in monotonic seconds, earliest first.
        self._request_deadlines: dict[socket.socket, float] = {}
        self._open_responders: dict[socket.socket, Responder] = {}
        self._web = _WebServer(
            bind, channel=_CHANNEL, display_banner=False, bufsize=_READ_BYTES
        ).register(self)
        self._lingering = LingeringCallers(self._web.server._close)

    @property
    def port(self) -> int:
        """Listening port."""
        return int(self._web.port)

    @property
    def idle(self) -> bool:
        """Whether every response is complete and has been written to the kernel."""
        return not self._open_responders and not any(self._web.server._buffers.values())

    def tick(self) -> None:
        """Closes the connections of callers whose requests are not complete in time."""
        now = time.monotonic()
        expired = list(
            itertools.takewhile(lambda item: item[1] <= now, self._request_deadlines.items())
        )
        for sock, _ in expired:
            self._count("callers.incomplete")
            self._request_deadlines.pop(sock)
            self._web.server._close(sock)
        self._lingering.tick(now)

    def untrack(self, sock: socket.socket) -> None:
        """Stops tracking a request whose response has been completed."""
        if self._open_responders.pop(sock, None) is not None:
            self._idle[sock] = None

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Sends part of a stream immediately; buffers what the kernel does not accept.

        Bypasses the events of circuits.web, which cost about 0.2 ms per piece; an entry forwards tens
        of thousands of pieces per second.
        """
        server = self._web.server
        buffered = server._buffers.get(sock)
        sent = 0
        if not buffered:
            try:
                sent = sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                # Closing fires the disconnect event, which notifies the responder.
                server._close(sock)
                return
        if sent < len(data):
            server.write(sock, data[sent:])
            buffered_before = self._buffered_bytes.get(sock, 0) if buffered else 0
            self._buffered_bytes[sock] = buffered_before + len(data) - sent
            if self._buffered_bytes[sock] > _MAX_BUFFERED_BYTES:
                self._close_if_not_reading(sock)

    def _close_if_not_reading(self, sock: socket.socket) -> None:
        # The count does not decrease while the caller reads, so it is an upper bound. The exact sum
        # is computed only when it exceeds the limit, because the cost is linear in the buffer length.
        self._buffered_bytes[sock] = sum(map(len, self._web.server._buffers[sock]))
        if self._buffered_bytes[sock] > _MAX_BUFFERED_BYTES:
            self._count("callers.not_reading")
            self._web.server._close(sock)

    @handler("connect", priority=10)
    def _on_connect(self, sock: socket.socket, *_peer: Any) -> None:
        """Closes the least useful connection if there are too many; the new one if all have requests."""
        if len(self._web.server._clients) > self.max_connections:
            self._count("callers.evicted")
            victim = next(self._evictable(), sock)
            self._web.server._close(victim)
            if victim is sock:
                return
        self._idle[sock] = None

    def _evictable(self) -> Iterator[socket.socket]:
        """Returns the connections that may be closed, the least useful first.

        A caller that was answered counts as idle before its response is written.
        """
        yield from self._lingering
        parsed, buffers = self._web.http._clients, self._web.server._buffers
        for sock in self._idle:
            if sock not in parsed and not buffers.get(sock):
                yield sock
        for sock in self._request_deadlines:
            if sock not in self._open_responders and not buffers.get(sock):
                yield sock

    @handler("read", priority=10)
    def _on_read(self, event: Event, sock: socket.socket, data: bytes) -> None:
        if sock in self._refused or sock not in self._web.server._clients:
            event.stop()
            self._lingering.record_data(sock, len(data), time.monotonic())
            return
        self._idle.pop(sock, None)
        received = self._received_bytes.get(sock, 0) + len(data)
        self._received_bytes[sock] = received
        self._request_deadlines.setdefault(sock, time.monotonic() + REQUEST_TIMEOUT_S)
        if received > self._max_request_bytes:
            event.stop()
            self._refuse_raw(sock, self._body_too_large())
            return
        held = self._reserved_bytes.get(sock, 0)
        cost = len(data) + _LINE_BYTES * data.count(b"\r\n")
        if self._account.try_reserve("requests", cost, held):
            self._reserved_bytes[sock] = held + cost
            return
        event.stop()
        self._count("callers.no_memory")
        self._refuse_raw(sock, RefusedError(Reason.OVERLOADED, "Too many bodies arrive at once."))

    @handler("read", priority=-10)
    def _on_parsed(self, event: Event, sock: socket.socket, data: bytes) -> None:
        """Refuses a request whose head announces a body over the limit."""
        known = self._web.http._clients.get(sock)
        if known is not None and sock in self._received_bytes and sock not in self._refused:
            length = known[0].headers.get("Content-Length", "")
            if length.isdigit() and int(length) > self._max_body_bytes:
                self._refuse_raw(sock, self._body_too_large())

    @handler("request", priority=10)
    def _on_request(self, event: Event, req: Request, res: Response) -> bool:
        event.stop()
        self._clear_request_limits(req.sock)
        responder = Responder(self, req.sock, res)
        self._open_responders[req.sock] = responder
        body = req.body.read()
        # The request lives as long as its response.
        req.body.close()
        if len(body) > self._max_body_bytes:
            responder.refuse(self._body_too_large())
            return True
        query = dict(parse_qsl(req.qs or ""))
        try:
            self._handle(HttpRequest(req.method, req.path, query, body), responder)
        except Exception:
            self._count("fault.request")
            self._log.exception("Handling {} {} failed.", req.method, req.path)
            responder.refuse(RefusedError(Reason.INTERNAL_ERROR, "The entry failed."))
        return True

    @handler("httperror", priority=10)
    def _on_http_error(
        self, event: Event, req: Request, res: Response, *args: Any, **kwargs: Any
    ) -> None:
        event.stop()
        self._clear_request_limits(req.sock)
        self._open_responders.pop(req.sock, None)
        self._count("refused.malformed_request")
        status = event.code if event.code and event.code < 500 else 400
        exc = RefusedError(Reason.MALFORMED_REQUEST, "The request is not valid HTTP.")
        self._refuse_raw(req.sock, exc, status)

    @handler("exception", channel="*", priority=10)
    def _on_exception(self, event: Event, *_args: Any, fevent: Event, **_kwargs: Any) -> None:
        # The HTTP parser of circuits.web raises on some malformed heads instead of rejecting them.
        if fevent.name == "read" and fevent.args and fevent.args[0] in self._received_bytes:
            event.stop()
            self._count(f"refused.{Reason.MALFORMED_REQUEST}")
            exc = RefusedError(Reason.MALFORMED_REQUEST, "The request is not valid HTTP.")
            self._refuse_raw(fevent.args[0], exc)

    @handler("disconnect", priority=10)
    def _on_disconnect(self, sock: socket.socket) -> None:
        self._clear_request_limits(sock)
        self._buffered_bytes.pop(sock, None)
        self._idle.pop(sock, None)
        self._refused.discard(sock)
        self._lingering.discard(sock)
        # circuits.web keeps the parser of an incomplete request otherwise.
        self._web.http._buffers.pop(sock, None)
        responder = self._open_responders.pop(sock, None)
        if responder is not None:
            responder.handle_disconnect()

    def _clear_request_limits(self, sock: socket.socket) -> None:
        self._received_bytes.pop(sock, None)
        self._request_deadlines.pop(sock, None)
        self._account.release("requests", self._reserved_bytes.pop(sock, 0))

    def _body_too_large(self) -> RefusedError:
        self._count(f"refused.{Reason.BODY_TOO_LARGE}")
        return RefusedError(
            Reason.BODY_TOO_LARGE, f"The body exceeds {self._max_body_bytes} bytes."
        )

    def _refuse_raw(self, sock: socket.socket, exc: RefusedError, status: int = 0) -> None:
        body = json.dumps(error_body(exc, "")).encode()
        status = status or refusal(exc.reason).status
        retry_after = f"Retry-After: {_RETRY_AFTER_S}\r\n" if status == 503 else ""
        head = (
            f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n{retry_after}\r\n"
        )
        self._refused.add(sock)
        self._web.http._buffers.pop(sock, None)
        self._web.http._clients.pop(sock, None)
        self._clear_request_limits(sock)
        self._end_with(sock, head.encode() + body)

    def _end_with(self, sock: socket.socket, data: bytes) -> None:
        """Sends the last bytes, then discards what the caller still sends before the close."""
        server = self._web.server
        try:
            is_sent = not server._buffers.get(sock) and sock.send(data) == len(data)
            if is_sent:
                sock.shutdown(socket.SHUT_WR)
        except OSError:
            server._close(sock)
            return
        if is_sent:
            self._lingering.add(sock, time.monotonic())
        else:
            server._close(sock)


def error_body(exc: RefusedError, request_id: str) -> dict[str, Any]:
    """Returns the JSON body of an error response."""
    error: dict[str, Any] = {
        "reason": str(exc.reason),
        "ran": str(exc.ran),
        "message": exc.found,
        "remedy": exc.remedy,
        "request_id": request_id,
    }
    if exc.retry_at is not None:
        error["retry_at_unix_ms"] = int(exc.retry_at * 1000)
    return {"error": error}
