"""HTTP/1.1 client on non-blocking sockets, with h11 as the codec.

Unless it is cancelled, each call ends with exactly one invocation of `on_end`, whose `HttpResult`
states whether the response is complete.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import attrs
import h11

from fescuechute.net._clock import Clock
from fescuechute.net._framing import BodyParts, check_head, declares_body
from fescuechute.net._sockets import PEER_CLOSED, Connection, SocketOwner

#: Idle connections kept per server.
_MAX_IDLE_PER_SERVER = 16
#: Seconds for which an idle connection may be reused by default; shorter than the idle timeout of
#: servers.
_IDLE_TIMEOUT_S = 5.0
#: Limit on a collected body in bytes; records of the store take 4 MB at most.
MAX_BODY_BYTES = 16 << 20
#: Seconds, beyond the silence timeout, after which a call that collects its body fails although data
#: arrives.
_MAX_COLLECT_S = 30.0
#: Informational (1xx) responses that one call may receive before it fails.
_MAX_INFORMATIONAL_RESPONSES = 16
#: `HttpResult.error` of a call that timed out because no data arrived.
_REASON_SILENT = "silent"


@attrs.frozen
class HttpResult:
    """Outcome of a call."""

    #: HTTP status, or 0 if no response head arrived.
    status: int
    #: Response body; empty if `on_data` consumed it.
    body: bytes
    #: Empty if the response is complete, otherwise the reason for the failure.
    error: str
    #: Whether any byte of the request may have reached the server.
    sent: bool
    #: Whether the call failed because no data arrived within the silence timeout.
    silent: bool = False
    #: Seconds from the first received byte to the end of the call.
    transfer_s: float = 0.0
    #: Header fields of the response with names in lower case; empty if no response head arrived.
    headers: tuple[tuple[bytes, bytes], ...] = ()

    @property
    def ok(self) -> bool:
        """Whether a complete response with a 2xx status arrived."""
        return not self.error and 200 <= self.status < 300

    def json(self) -> Any:
        """Returns the parsed body, or None if it is not JSON."""
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
    #: Receives the body of a 2xx response chunk by chunk; other bodies are collected, as are all
    #: bodies if this is None.
    on_data: Callable[[bytes], None] | None
    #: Unix seconds at which the call fails for lack of data; extended by each read.
    silence_deadline: float
    #: Seconds without data after which the call fails.
    idle_timeout_s: float
    #: Unix seconds at which the call fails regardless of progress.
    deadline: float
    #: Unix seconds after which the request is not sent any more.
    send_deadline: float
    #: Called for each received part of the response.
    on_progress: Callable[[], None] | None = None
    #: Seconds for which the connection may be reused after the call; 0 closes it.
    keep_idle_s: float = _IDLE_TIMEOUT_S
    conn: Connection | None = None
    protocol: h11.Connection | None = None
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    #: Whether the head declares a body that a response with its status does not have.
    lacks_body: bool = False
    body: bytearray = attrs.field(factory=bytearray)
    body_parts: BodyParts = attrs.field(factory=BodyParts)
    #: Limit on a collected body in bytes.
    max_body_bytes: int = MAX_BODY_BYTES
    sent: bool = False
    #: Unix seconds at which the first byte of the response arrived, or None before.
    first_byte_at: float | None = None
    #: Number of informational responses received.
    informational_responses: int = 0
    #: Whether the connection was taken from the idle pool.
    reused: bool = False
    done: bool = False


class HttpClient(SocketOwner):
    """Sends HTTP/1.1 requests to IP addresses over pooled connections."""

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
        on_progress: Callable[[], None] | None = None,
        idle_timeout_s: float = 2.0,
        deadline: float | None = None,
        send_deadline: float = float("inf"),
        new_connection: bool = False,
        keep_idle_s: float = _IDLE_TIMEOUT_S,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> HttpCall:
        """Starts a request.

        Args:
          method: HTTP method.
          server: IP address and port.
          path: Path and query.
          on_end: Called once when the call ends, unless it is cancelled.
          body: Request body.
          on_data: Receives the body of a 2xx response chunk by chunk.
          on_progress: Called for each received part of the response.
          idle_timeout_s: Seconds without incoming data after which the call fails.
          deadline: Unix seconds at which the call fails regardless of progress; by default none with
            `on_data`, and otherwise after 30 s beyond `idle_timeout_s`.
          send_deadline: Unix seconds after which the request is not sent any more; the call then
            fails. A process that was stopped while it connected may be that late.
          new_connection: Whether to open a new connection. The server may close a pooled connection
            just before the request arrives, which leaves unknown whether the request was executed.
          keep_idle_s: Seconds for which the connection may be reused after the call; 0 closes it.
          max_body_bytes: Limit in bytes on a collected body, beyond which the call fails.

        Returns:
          A handle to pass to `cancel`.
        """
        address, port = server
        now = self._clock.now()
        if deadline is None:
            deadline = (
                float("inf") if on_data is not None else now + idle_timeout_s + _MAX_COLLECT_S
            )
        headers = [
            ("Host", f"{address}:{port}"),
            ("Content-Length", str(len(body))),
            ("Content-Type", "application/json"),
        ]
        request = h11.Request(method=method, target=path, headers=headers)
        call = HttpCall(
            address,
            port,
            request,
            body,
            on_end,
            on_data,
            now + idle_timeout_s,
            idle_timeout_s,
            deadline,
            send_deadline,
            on_progress,
            keep_idle_s,
            max_body_bytes=max_body_bytes,
        )
        self._calls.add(call)
        self._start_call(call, now, new_connection)
        return call

    def cancel(self, call: HttpCall) -> None:
        """Cancels a call and closes its connection; `on_end` is not called."""
        if not call.done:
            call.done = True
            self._calls.discard(call)
            if call.conn is not None:
                call.conn.close()

    def tick(self, now: float) -> None:
        """Fails calls that have timed out and closes expired idle connections."""
        for call in list(self._calls):
            if now >= call.deadline:
                self._fail(call, "deadline passed")
            elif now >= call.silence_deadline:
                self._close_idle(call.address, call.port)
                self._fail(call, _REASON_SILENT)
        for pool in self._idle.values():
            while pool and now >= pool[0][0]:
                pool.pop(0)[1].close()

    def close_connections(self) -> None:
        """Closes every connection and drops calls in flight without calling `on_end`."""
        self._calls.clear()
        self._idle.clear()
        super().close_connections()

    def _start_call(self, call: HttpCall, now: float, new_connection: bool) -> None:
        conn = None if new_connection else self._take_idle(call, now)
        call.reused = conn is not None
        if conn is None:
            conn = self.open_connection(call.address, call.port)
        call.conn = conn
        call.protocol = h11.Connection(h11.CLIENT)
        call.status = 0
        conn.on_data = lambda data: self._on_data(call, data)
        conn.on_closed = lambda reason: self._on_closed(call, reason)
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

    def _close_idle(self, address: str, port: int) -> None:
        # A middlebox that loses its state silences all connections at once. Each idle connection
        # that is reused would make another call wait for its full silence timeout.
        for _, conn in self._idle.pop((address, port), []):
            conn.close()

    def _send(self, call: HttpCall) -> None:
        assert call.conn is not None and call.protocol is not None
        if self._clock.now() >= call.send_deadline:
            self._fail(call, "too late to be sent")
            return
        call.sent = True
        data = call.protocol.send(call.request) or b""
        if call.request_body:
            data += call.protocol.send(h11.Data(data=call.request_body)) or b""
        data += call.protocol.send(h11.EndOfMessage()) or b""
        call.conn.write(data)

    def _on_data(self, call: HttpCall, data: bytes) -> None:
        if call.done:
            return
        now = self._clock.now()
        call.silence_deadline = now + call.idle_timeout_s
        if call.first_byte_at is None:
            call.first_byte_at = now
        if call.on_progress is not None:
            call.on_progress()
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
                    check_head(event)
                    call.status = event.status_code
                    call.headers = tuple(event.headers)
                    call.lacks_body = call.status == 304 and declares_body(event)
                elif isinstance(event, h11.InformationalResponse):
                    check_head(event)
                    call.informational_responses += 1
                    if call.informational_responses > _MAX_INFORMATIONAL_RESPONSES:
                        self._fail(call, "too many informational responses")
                elif isinstance(event, h11.Data):
                    self._add_body(call, bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._complete(call)
                elif isinstance(event, h11.ConnectionClosed):
                    self._fail(call, PEER_CLOSED)
        except h11.RemoteProtocolError as exc:
            self._fail(call, f"invalid HTTP: {exc}")

    def _add_body(self, call: HttpCall, data: bytes) -> None:
        if not call.body_parts.add(len(data)):
            call.body.clear()
            self._fail(call, "the body arrives in too small parts")
        elif call.on_data is not None and 200 <= call.status < 300:
            call.on_data(data)
        elif len(call.body) + len(data) > call.max_body_bytes:
            call.body.clear()
            self._fail(call, f"the body exceeds {call.max_body_bytes} bytes")
        else:
            call.body += data

    def _complete(self, call: HttpCall) -> None:
        assert call.conn is not None and call.protocol is not None
        conn = call.conn
        call.done = True
        self._calls.discard(call)
        pool = self._idle[(call.address, call.port)]
        keep_alive = (
            call.keep_idle_s > 0
            and call.protocol.their_state is h11.DONE
            and not call.lacks_body
            and len(pool) < _MAX_IDLE_PER_SERVER
        )
        # After unsolicited bytes, later responses could not be matched to their requests.
        trailing, closed = call.protocol.trailing_data
        if keep_alive and call.protocol.our_state is h11.DONE and not trailing and not closed:
            conn.on_data = lambda _data: conn.close()
            conn.on_closed = lambda _reason: None
            pool.append((self._clock.now() + call.keep_idle_s, conn))
        else:
            conn.close()
        transfer_s = 0.0 if call.first_byte_at is None else self._clock.now() - call.first_byte_at
        call.on_end(
            HttpResult(
                call.status,
                bytes(call.body),
                "",
                True,
                transfer_s=transfer_s,
                headers=call.headers,
            )
        )

    def _on_closed(self, call: HttpCall, reason: str) -> None:
        if call.done:
            return
        assert call.protocol is not None
        if call.status and reason == PEER_CLOSED:
            # The end of the connection ends a body without a declared length, except after a reset.
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
        silent = reason == _REASON_SILENT
        call.on_end(
            HttpResult(
                call.status, bytes(call.body), reason, call.sent, silent, headers=call.headers
            )
        )
