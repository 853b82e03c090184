"""HTTP/1.1 client on non-blocking sockets, with h11 as the codec.

Each call has an explicit end: `on_end` is called exactly once, with an `HttpResult` that says
whether the response is complete.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import attrs
import h11

from fescuechute.net._clock import Clock
from fescuechute.net._sockets import PEER_CLOSED, Connection, SocketOwner

#: Idle connections kept for each server.
_MAX_IDLE = 16
#: Seconds after which an idle connection is not used again; servers close theirs later than that.
_IDLE_S = 5.0
_SILENT = "silent"


@attrs.frozen
class HttpResult:
    """How a call ended."""

    #: HTTP status, 0 when no response head arrived.
    status: int
    #: The whole body, empty when `on_data` was given.
    body: bytes
    #: Empty when the response is complete; otherwise why it is not.
    error: str
    #: Whether any byte of the request may have reached the server.
    sent: bool
    #: Whether the call ended because the server sent nothing for too long.
    silent: bool = False

    @property
    def ok(self) -> bool:
        """Whether a complete response with a 2xx status arrived."""
        return not self.error and 200 <= self.status < 300

    def json(self) -> Any:
        """Returns the parsed body, or None when it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


@attrs.define(eq=False)
class HttpCall:
    """One request in flight."""

    address: str
    port: int
    request: h11.Request
    request_body: bytes
    on_end: Callable[[HttpResult], None]
    #: Receives body parts as they arrive, only for 2xx responses; None gathers the body.
    on_data: Callable[[bytes], None] | None
    #: Unix seconds at which the call fails unless bytes arrive; moved on by each read.
    silent_deadline: float
    silence_s: float
    #: Unix seconds at which the call fails in any case.
    deadline: float
    conn: Connection | None = None
    protocol: h11.Connection | None = None
    status: int = 0
    body: bytearray = attrs.field(factory=bytearray)
    sent: bool = False
    #: Whether the connection served an earlier call.
    reused: bool = False
    done: bool = False


class HttpClient(SocketOwner):
    """Sends requests to IP addresses over pooled connections."""

    def __init__(self, clock: Clock, channel: str = "http-client"):
        super().__init__(channel=channel)
        self._clock = clock
        self._calls: set[HttpCall] = set()
        self._idle: dict[tuple[str, int], list[tuple[float, Connection]]] = defaultdict(list)

    def call(
        self,
        method: str,
        server: tuple[str, int],
        path: str,
        on_end: Callable[[HttpResult], None],
        *,
        body: bytes = b"",
        on_data: Callable[[bytes], None] | None = None,
        silence_s: float = 2.0,
        deadline: float = float("inf"),
        fresh: bool = False,
    ) -> HttpCall:
        """Starts a request.

        Args:
          method: HTTP method.
          server: IP address and port.
          path: Path and query.
          on_end: Called once when the call ends, unless it is cancelled.
          body: Request body.
          on_data: Receives parts of a 2xx body as they arrive.
          silence_s: The call fails when nothing arrives for this many seconds.
          deadline: Unix seconds at which the call fails in any case.
          fresh: Uses a new connection. On a pooled one the server may close just before the
            request arrives, and then nobody knows whether it ran.

        Returns:
          The call, for `cancel`.
        """
        address, port = server
        now = self._clock.now()
        headers = [
            ("Host", f"{address}:{port}"),
            ("Content-Length", str(len(body))),
            ("Content-Type", "application/json"),
        ]
        request = h11.Request(method=method, target=path, headers=headers)
        call = HttpCall(
            address, port, request, body, on_end, on_data, now + silence_s, silence_s, deadline
        )
        self._calls.add(call)
        self._begin(call, now, fresh)
        return call

    def cancel(self, call: HttpCall) -> None:
        """Ends a call without calling `on_end`; its connection is closed."""
        if not call.done:
            call.done = True
            self._calls.discard(call)
            if call.conn is not None:
                call.conn.close()

    def tick(self, now: float) -> None:
        """Fails calls whose deadline has passed and closes old idle connections."""
        for call in list(self._calls):
            if now >= call.deadline:
                self._fail(call, "deadline passed")
            elif now >= call.silent_deadline:
                self._distrust_idle(call.address, call.port)
                self._fail(call, _SILENT)
        for pool in self._idle.values():
            while pool and now >= pool[0][0]:
                pool.pop(0)[1].close()

    def close_connections(self) -> None:
        """Closes every connection; open calls end without a result."""
        self._calls.clear()
        self._idle.clear()
        super().close_connections()

    def _begin(self, call: HttpCall, now: float, fresh: bool) -> None:
        conn = None if fresh else self._take_idle(call, now)
        call.reused = conn is not None
        if conn is None:
            conn = self.open_connection(call.address, call.port)
        call.conn = conn
        call.protocol = h11.Connection(h11.CLIENT)
        call.status = 0
        conn.on_data = lambda data: self._received(call, data)
        conn.on_closed = lambda reason: self._closed(call, reason)
        if call.reused:
            self._send(call)
        else:
            conn.on_connected = lambda: self._send(call)

    def _take_idle(self, call: HttpCall, now: float) -> Connection | None:
        pool = self._idle[(call.address, call.port)]
        while pool:
            expires_at, conn = pool.pop()
            if conn.is_open and now < expires_at:
                return conn
            conn.close()
        return None

    def _distrust_idle(self, address: str, port: int) -> None:
        # A middlebox that lost its state silences all connections at once. Each idle one would
        # cost another call its full silence.
        for _, conn in self._idle.pop((address, port), []):
            conn.close()

    def _send(self, call: HttpCall) -> None:
        assert call.conn is not None and call.protocol is not None
        call.sent = True
        data = call.protocol.send(call.request) or b""
        if call.request_body:
            data += call.protocol.send(h11.Data(data=call.request_body)) or b""
        data += call.protocol.send(h11.EndOfMessage()) or b""
        call.conn.write(data)

    def _received(self, call: HttpCall, data: bytes) -> None:
        if call.done:
            return
        call.silent_deadline = self._clock.now() + call.silence_s
        assert call.protocol is not None
        call.protocol.receive_data(data)
        self._read_events(call)

    def _read_events(self, call: HttpCall) -> None:
        assert call.protocol is not None
        try:
            while not call.done:
                event = call.protocol.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    call.status = event.status_code
                elif isinstance(event, h11.Data):
                    self._body(call, bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._complete(call)
                elif isinstance(event, h11.ConnectionClosed):
                    self._fail(call, PEER_CLOSED)
        except h11.RemoteProtocolError as exc:
            self._fail(call, f"invalid HTTP: {exc}")

    def _body(self, call: HttpCall, data: bytes) -> None:
        if call.on_data is not None and 200 <= call.status < 300:
            call.on_data(data)
        else:
            call.body += data

    def _complete(self, call: HttpCall) -> None:
        assert call.conn is not None and call.protocol is not None
        conn = call.conn
        call.done = True
        self._calls.discard(call)
        pool = self._idle[(call.address, call.port)]
        keep_alive = call.protocol.their_state is h11.DONE and len(pool) < _MAX_IDLE
        if keep_alive and call.protocol.our_state is h11.DONE:
            conn.on_data = lambda _data: conn.close()
            conn.on_closed = lambda _reason: None
            pool.append((self._clock.now() + _IDLE_S, conn))
        else:
            conn.close()
        call.on_end(HttpResult(call.status, bytes(call.body), "", sent=True))

    def _closed(self, call: HttpCall, reason: str) -> None:
        if call.done:
            return
        assert call.protocol is not None
        if call.status and reason == PEER_CLOSED:
            # A body without length ends with the connection, unless that was reset.
            call.protocol.receive_data(b"")
            self._read_events(call)
        if not call.done:
            self._fail(call, reason)

    def _fail(self, call: HttpCall, reason: str) -> None:
        if call.done:
            return
        call.done = True
        self._calls.discard(call)
        if call.conn is not None:
            call.conn.close()
        silent = reason == _SILENT
        call.on_end(HttpResult(call.status, bytes(call.body), reason, call.sent, silent))
