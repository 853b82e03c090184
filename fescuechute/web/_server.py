"""Callers' HTTP on circuits.web: deferred whole answers and pushed streams."""

from __future__ import annotations

import itertools
import json
import socket
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import attrs
from circuits import BaseComponent, Event, handler
from circuits.net.events import close
from circuits.web.events import response, stream
from circuits.web.servers import BaseServer
from circuits.web.wrappers import Request, Response

from fescuechute.errors import Reason, RefusedError, refusal
from fescuechute.logs import part_logger

#: Bytes of a request head that are tolerated besides the body.
_MAX_HEAD_BYTES = 16 * 1024
#: Bytes read from a caller's socket at a time.
_READ_BYTES = 64 * 1024
#: Bytes that may wait for a caller that does not read its stream.
_MAX_BUFFERED_BYTES = 4 << 20
#: Seconds from the first byte of a request until it must be complete. Without a limit, callers that
#: never complete one would use up the file descriptors of the entry.
REQUEST_S = 10.0
_CHANNEL = "web"


@attrs.frozen
class HttpRequest:
    """What a caller sent."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class Responder:
    """Answers one request, once: either whole or as a stream of NDJSON lines."""

    def __init__(self, server: CallerServer, sock: socket.socket, res: Response):
        self._server = server
        self._sock = sock
        self._res = res
        self._streaming = False
        #: False once the answer is complete or the caller is gone.
        self.is_open = True
        #: Called when the caller goes away before its answer is complete.
        self.on_gone: Callable[[], None] = lambda: None

    @property
    def streaming(self) -> bool:
        """Whether the head of a stream was sent, so that errors must follow as a line."""
        return self._streaming

    def send_json(self, status: int, body: dict[str, Any]) -> None:
        """Sends a whole answer."""
        if not self.is_open:
            return
        self.is_open = False
        self._res.status = status
        self._res.headers["Content-Type"] = "application/json"
        self._res.body = json.dumps(body).encode()
        self._server.finish(self._sock)
        self._server.fire(response(self._res), _CHANNEL)

    def push(self, line: dict[str, Any]) -> None:
        """Sends one line of a stream; the first call sends the head too."""
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
        """Ends a stream."""
        if self.is_open:
            self.is_open = False
            self._server.finish(self._sock)
            self._server.fire(stream(self._res, None), _CHANNEL)

    def refuse(self, exc: RefusedError, request_id: str = "") -> None:
        """Sends an error: as the answer, or as the last line of a stream."""
        body = error_body(exc, request_id)
        if self._streaming:
            self.push(body)
            self.end()
        else:
            self.send_json(refusal(exc.reason).status, body)

    def caller_gone(self) -> None:
        """Called by the server when the connection ended."""
        if self.is_open:
            self.is_open = False
            self.on_gone()

    def _head(self) -> bytes:
        self._res.status = 200
        self._res.stream = True
        self._res.body = None
        self._res.headers["Content-Type"] = "application/x-ndjson"
        # An empty body would otherwise be announced with a length of 0.
        self._res.headers["Transfer-Encoding"] = "chunked"
        self._res.prepare()
        del self._res.headers["Content-Length"]
        return bytes(self._res) + bytes(self._res.headers)


class _WebServer(BaseServer):
    """The server of circuits.web without its banner, which would not follow the log format."""

    @handler("ready", override=True)
    def _on_ready(self, *_args: Any) -> None:
        """Says nothing; the daemon prints its own ready line."""


class CallerServer(BaseComponent):
    """Listens for callers and hands each request to a function with its responder."""

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
        self._max_bytes = max_body_bytes + _MAX_HEAD_BYTES
        self._max_body_bytes = max_body_bytes
        self._count = count
        self._received: dict[socket.socket, int] = {}
        #: Bytes buffered for each caller since its buffer was last empty.
        self._waiting: dict[socket.socket, int] = {}
        #: Monotonic seconds at which incomplete requests are given up, the oldest first.
        self._complete_by: dict[socket.socket, float] = {}
        self._open: dict[socket.socket, Responder] = {}
        self._web = _WebServer(
            bind, channel=_CHANNEL, display_banner=False, bufsize=_READ_BYTES
        ).register(self)

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return int(self._web.port)

    @property
    def idle(self) -> bool:
        """Whether every answer is complete and handed to the kernel."""
        return not self._open and not any(self._web.server._buffers.values())

    def tick(self) -> None:
        """Closes the connections of callers that do not complete their requests."""
        now = time.monotonic()
        late = list(itertools.takewhile(lambda item: item[1] <= now, self._complete_by.items()))
        for sock, _ in late:
            self._count("callers.incomplete")
            self._complete_by.pop(sock)
            self._web.server._close(sock)

    def finish(self, sock: socket.socket) -> None:
        """Forgets a request whose answer was handed over."""
        self._open.pop(sock, None)

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Sends part of a stream at once; what the kernel does not take is buffered.

        The events of circuits.web cost about 0.2 ms for each piece, and an entry passes on tens of
        thousands of pieces a second.
        """
        server = self._web.server
        waiting = server._buffers.get(sock)
        sent = 0
        if not waiting:
            try:
                sent = sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                # The disconnect event follows and reports the caller as gone.
                server._close(sock)
                return
        if sent < len(data):
            server.write(sock, data[sent:])
            before = self._waiting.get(sock, 0) if waiting else 0
            self._waiting[sock] = before + len(data) - sent
            if self._waiting[sock] > _MAX_BUFFERED_BYTES:
                self._check_reading(sock)

    def _check_reading(self, sock: socket.socket) -> None:
        # The count does not fall while the caller reads; the pieces are summed only when it is
        # high, because a sum for each piece would take time in proportion to what waits.
        self._waiting[sock] = sum(map(len, self._web.server._buffers[sock]))
        if self._waiting[sock] > _MAX_BUFFERED_BYTES:
            self._count("callers.not_reading")
            self._web.server._close(sock)

    @handler("read", priority=10)
    def _on_read(self, event: Event, sock: socket.socket, data: bytes) -> None:
        received = self._received.get(sock, 0) + len(data)
        self._received[sock] = received
        self._complete_by.setdefault(sock, time.monotonic() + REQUEST_S)
        if received <= self._max_bytes:
            return
        event.stop()
        if received - len(data) <= self._max_bytes:
            self._refuse_raw(sock, self._too_large())

    @handler("request", priority=10)
    def _on_request(self, event: Event, req: Request, res: Response) -> bool:
        event.stop()
        self._forget_received(req.sock)
        responder = Responder(self, req.sock, res)
        self._open[req.sock] = responder
        body = req.body.read()
        if len(body) > self._max_body_bytes:
            responder.refuse(self._too_large())
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
        self._forget_received(req.sock)
        self._open.pop(req.sock, None)
        self._count("refused.malformed_request")
        status = event.code if event.code and event.code < 500 else 400
        exc = RefusedError(Reason.MALFORMED_REQUEST, "The request is not valid HTTP.")
        res.status = status
        res.close = True
        res.headers["Content-Type"] = "application/json"
        res.body = json.dumps(error_body(exc, "")).encode()
        self.fire(response(res), _CHANNEL)

    @handler("exception", channel="*", priority=10)
    def _on_exception(self, event: Event, *_args: Any, fevent: Event, **_kwargs: Any) -> None:
        # The HTTP parser of circuits.web fails on some malformed heads instead of refusing them.
        if fevent.name == "read" and fevent.args and fevent.args[0] in self._received:
            event.stop()
            self._count(f"refused.{Reason.MALFORMED_REQUEST}")
            exc = RefusedError(Reason.MALFORMED_REQUEST, "The request is not valid HTTP.")
            self._refuse_raw(fevent.args[0], exc)

    @handler("disconnect", priority=10)
    def _on_disconnect(self, sock: socket.socket) -> None:
        self._forget_received(sock)
        self._waiting.pop(sock, None)
        responder = self._open.pop(sock, None)
        if responder is not None:
            responder.caller_gone()

    def _forget_received(self, sock: socket.socket) -> None:
        self._received.pop(sock, None)
        self._complete_by.pop(sock, None)

    def _too_large(self) -> RefusedError:
        self._count(f"refused.{Reason.BODY_TOO_LARGE}")
        return RefusedError(
            Reason.BODY_TOO_LARGE, f"The body exceeds {self._max_body_bytes} bytes."
        )

    def _refuse_raw(self, sock: socket.socket, exc: RefusedError) -> None:
        body = json.dumps(error_body(exc, "")).encode()
        status = refusal(exc.reason).status
        head = (
            f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self._web.server.write(sock, head.encode() + body)
        self.fire(close(sock), _CHANNEL)


def error_body(exc: RefusedError, request_id: str) -> dict[str, Any]:
    """Returns the JSON body of a refusal."""
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
