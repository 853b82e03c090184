"""HTTP/1.1 client with a pool of kept-alive connections for each upstream."""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Protocol

import attrs
import h11

from fescuechute.checks import Address
from fescuechute.errors import ResponseTooLargeError
from fescuechute.forwarding._headers import Headers, keep_alive_timeout_s
from fescuechute.net import (
    PEER_CLOSED,
    BodyParts,
    Clock,
    Connection,
    SocketOwner,
    check_head,
    declares_body,
    is_connection_refused,
)

#: Seconds for which an idle connection is kept when the upstream sends no `Keep-Alive` timeout.
_DEFAULT_KEEP_ALIVE_S = 4.0
#: Fraction of the announced `Keep-Alive` timeout for which an idle connection is kept.
_KEEP_ALIVE_FRACTION = 0.6
#: Limit on idle connections to one upstream.
_MAX_IDLE_CONNECTIONS = 24
#: Responses to earlier requests that one call may skip before it fails, and the bytes of their bodies.
_MAX_SKIPPED_RESPONSES = 3
_MAX_SKIPPED_BYTES = 1 << 20
#: Largest body that is sent in one piece with its head.
_MAX_JOINED_BYTES = 16 << 10
#: Informational (1xx) responses that one call may receive before it fails.
_MAX_INFORMATIONAL_RESPONSES = 16


class CallFailure(enum.StrEnum):
    """How a call failed."""

    #: The connection was never established, so nothing was sent.
    NOT_CONNECTED = "not_connected"
    #: The connection was closed before the response was complete.
    BROKEN = "broken"
    #: The received bytes are not valid HTTP.
    MALFORMED = "malformed"
    #: The responses on the connection belong to other requests.
    FOREIGN = "foreign"
    #: The response takes more memory than it may.
    TOO_LARGE = "too_large"


class CallListener(Protocol):
    """Receives the events of one call. `on_end` or `on_failed` is the last one."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Called when the response head has arrived."""

    def on_data(self, data: bytes) -> None:
        """Called for each received part of the response body.

        Raises:
          ResponseTooLargeError: To fail the call.
        """

    def on_end(self) -> None:
        """Called when the response is complete."""

    def on_failed(self, failure: CallFailure, detail: str) -> None:
        """Called when the call has failed without a complete response."""


@attrs.frozen
class OutboundRequest:
    """One request to an upstream."""

    method: bytes
    target: bytes
    #: End-to-end fields and fields added by the proxy; framing fields are added on sending.
    headers: Headers
    body: bytes


@attrs.define(eq=False)
class UpstreamCall:
    """One request in flight."""

    key: str
    request: OutboundRequest
    listener: CallListener
    #: Returns whether a response head belongs to this request.
    matches_request: Callable[[Headers], bool]
    #: Unix seconds by which the connection must be established.
    connect_deadline: float
    conn: Connection
    #: Connections to the upstream, active and idle, above which this one is not kept.
    max_connections: int = _MAX_IDLE_CONNECTIONS
    protocol: h11.Connection = attrs.field(factory=lambda: h11.Connection(h11.CLIENT))
    #: Whether bytes of the request may have reached the upstream.
    sent: bool = False
    #: Whether the connection was taken from the pool.
    reused: bool = False
    #: Number of responses skipped because they belong to earlier requests.
    skipped_responses: int = 0
    #: Bytes of the bodies of these responses.
    skipped_bytes: int = 0
    #: Parts in which the bodies of the responses have arrived.
    body_parts: BodyParts = attrs.field(factory=BodyParts)
    #: Whether the response being received belongs to an earlier request.
    skipping_response: bool = False
    #: Number of informational responses received.
    informational_responses: int = 0
    #: Timeout from the `Keep-Alive` field of the response, in seconds.
    announced_keep_alive_s: float | None = None
    #: Whether the head declares a body that a response with its status does not have.
    lacks_body: bool = False
    #: Whether the head of the response was passed to the listener.
    head_received: bool = False
    #: Whether the call was completed, failed or cancelled.
    done: bool = False

    @property
    def is_first_on_connection(self) -> bool:
        """Whether a response cannot belong to an earlier request on the connection."""
        return not self.reused and not self.skipped_responses


@attrs.frozen
class _IdleConnection:
    """A pooled connection; both times are unix seconds."""

    conn: Connection
    idle_since: float
    reusable_until: float


class UpstreamClient(SocketOwner):
    """Sends each request on a pooled or new connection, one request at a time on each."""

    def __init__(self, clock: Clock, channel: str = "upstreams"):
        super().__init__(channel=channel)
        self._clock = clock
        self._idle: dict[str, list[_IdleConnection]] = defaultdict(list)
        #: Calls whose connection is not yet established.
        self._connecting: set[UpstreamCall] = set()
        #: Number of calls in flight by upstream.
        self._active: Counter[str] = Counter()
        #: Total number of connections opened.
        self.connections_opened = 0

    def call(
        self,
        key: str,
        address: Address,
        request: OutboundRequest,
        listener: CallListener,
        matches_request: Callable[[Headers], bool],
        *,
        connect_timeout_s: float,
        max_idle_s: float = float("inf"),
        max_connections: int = _MAX_IDLE_CONNECTIONS,
    ) -> UpstreamCall:
        """Starts a call.

        Args:
          key: Instance of the upstream; connections are pooled by it.
          address: Address of the upstream.
          request: Request to send.
          listener: Receives the response.
          matches_request: Returns whether a response head belongs to this request; other responses
            are skipped.
          connect_timeout_s: Timeout for establishing a new connection, in seconds.
          max_idle_s: Longest idle time of a pooled connection to use, in seconds. The upstream may
            be closing one that was idle for longer, and a request lost in that race may or may not
            have been executed.
          max_connections: Connections to the upstream above which none is kept when it becomes idle.
        """
        now = self._clock.now()
        conn = self._pop_idle(key, now, max_idle_s)
        reused = conn is not None
        if conn is None:
            conn = self.open_connection(address.ip, address.port)
            self.connections_opened += 1
        call = UpstreamCall(
            key, request, listener, matches_request, now + connect_timeout_s, conn, max_connections
        )
        call.reused = reused
        self._active[key] += 1
        conn.on_data = lambda data: self._on_data(call, data)
        conn.on_closed = lambda reason: self._on_closed(call, reason)
        if reused:
            self._send(call)
        else:
            self._connecting.add(call)
            conn.on_connected = lambda: self._send(call)
        return call

    def check_refused(self, address: Address, on_result: Callable[[bool], None]) -> None:
        """Connects once and calls back with whether the connection was refused.

        A refused connection means that no process listens at the address; a timeout does not.
        """
        conn = self.open_connection(address.ip, address.port)
        self.connections_opened += 1

        def on_connected() -> None:
            conn.close()
            on_result(False)

        conn.on_connected = on_connected
        conn.on_closed = lambda reason: on_result(is_connection_refused(reason))

    def cancel(self, call: UpstreamCall) -> None:
        """Cancels a call without notifying its listener and closes its connection."""
        if not call.done:
            self._mark_done(call)
            call.conn.close()

    def close_idle(self, key: str) -> None:
        """Closes the idle connections to an upstream."""
        for idle in self._idle.pop(key, []):
            idle.conn.close()

    def tick(self, now: float) -> None:
        """Fails calls whose connect timed out and closes expired idle connections."""
        for call in [call for call in self._connecting if now >= call.connect_deadline]:
            self._fail(call, CallFailure.NOT_CONNECTED, "connect timed out")
        for key in list(self._idle):
            kept = []
            for idle in self._idle[key]:
                if now < idle.reusable_until and idle.conn.is_open:
                    kept.append(idle)
                else:
                    idle.conn.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def _pop_idle(self, key: str, now: float, max_idle_s: float) -> Connection | None:
        pool = self._idle.get(key, [])
        while pool:
            idle = pool.pop()
            if not idle.conn.is_open or now >= idle.reusable_until:
                idle.conn.close()
            elif now - idle.idle_since <= max_idle_s:
                return idle.conn
            else:
                # The pool is a stack, so the remaining connections have been idle for longer still.
                pool.append(idle)
                return None
        return None

    def _send(self, call: UpstreamCall) -> None:
        if not call.reused and self._clock.now() >= call.connect_deadline:
            # The process was stopped while it connected; what it decided then may be outdated.
            self._fail(call, CallFailure.NOT_CONNECTED, "connected too late")
            return
        self._connecting.discard(call)
        request = call.request
        fields = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD"):
            fields.append((b"Content-Length", b"%d" % len(request.body)))
        head = h11.Request(method=request.method, target=request.target, headers=fields)
        data = call.protocol.send(head) or b""
        body = request.body
        if body:
            # With `Content-Length`, h11 returns the body unchanged; a large one is not copied.
            body = call.protocol.send(h11.Data(data=body)) or b""
        call.protocol.send(h11.EndOfMessage())
        call.sent = True
        if len(body) <= _MAX_JOINED_BYTES:
            call.conn.write(data + body)
        else:
            call.conn.write(data)
            call.conn.write(body)
        # The body may be large, and the call outlives its transmission.
        call.request = attrs.evolve(request, body=b"")

    def _on_data(self, call: UpstreamCall, data: bytes) -> None:
        if call.done:
            return
        try:
            call.protocol.receive_data(data)
            self._read_events(call)
        except h11.RemoteProtocolError as exc:
            self._fail(call, CallFailure.MALFORMED, str(exc))

    def _read_events(self, call: UpstreamCall) -> None:
        while not call.done:
            event = call.protocol.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._on_head(call, event)
            elif isinstance(event, h11.InformationalResponse):
                check_head(event)
                self._on_informational(call)
            elif isinstance(event, h11.Data):
                self._on_body(call, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._on_end_of_message(call)
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(call, CallFailure.BROKEN, PEER_CLOSED)

    def _on_head(self, call: UpstreamCall, event: h11.Response) -> None:
        check_head(event)
        headers = list(event.headers.raw_items())
        call.skipping_response = not call.matches_request(headers)
        if not call.skipping_response:
            call.head_received = True
            call.announced_keep_alive_s = keep_alive_timeout_s(headers)
            call.lacks_body = event.status_code == 304 and declares_body(event)
            call.listener.on_head(event.status_code, headers)

    def _on_informational(self, call: UpstreamCall) -> None:
        call.informational_responses += 1
        if call.informational_responses > _MAX_INFORMATIONAL_RESPONSES:
            self._fail(call, CallFailure.MALFORMED, "too many informational responses")

    def _on_body(self, call: UpstreamCall, data: bytes) -> None:
        if not call.body_parts.add(len(data)):
            self._fail(call, CallFailure.TOO_LARGE, "the body arrives in too small parts")
            return
        if call.skipping_response:
            call.skipped_bytes += len(data)
            if call.skipped_bytes > _MAX_SKIPPED_BYTES:
                self._fail(call, CallFailure.FOREIGN, "a response to another request does not end")
            return
        try:
            call.listener.on_data(data)
        except ResponseTooLargeError as exc:
            self._fail(call, CallFailure.TOO_LARGE, str(exc))

    def _on_end_of_message(self, call: UpstreamCall) -> None:
        if call.skipping_response:
            self._skip_response(call)
            return
        self._mark_done(call)
        self._return_to_pool(call)
        call.listener.on_end()

    def _skip_response(self, call: UpstreamCall) -> None:
        """Prepares for the next response after one to an earlier request was read to its end."""
        trailing, closed = call.protocol.trailing_data
        call.skipped_responses += 1
        if call.skipped_responses > _MAX_SKIPPED_RESPONSES or closed:
            self._fail(call, CallFailure.FOREIGN, "the responses belong to other requests")
            return
        call.protocol = h11.Connection(h11.CLIENT)
        # h11 accepts a response only after a request was sent; the encoded bytes are discarded.
        call.protocol.send(
            h11.Request(method=call.request.method, target=b"/", headers=[(b"Host", b"x")])
        )
        call.protocol.send(h11.EndOfMessage())
        call.skipping_response = False
        if trailing:
            call.protocol.receive_data(trailing)

    def _return_to_pool(self, call: UpstreamCall) -> None:
        protocol, conn = call.protocol, call.conn
        reusable = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        trailing, closed = protocol.trailing_data
        idle_count = len(self._idle.get(call.key, ()))
        is_surplus = (
            idle_count >= _MAX_IDLE_CONNECTIONS
            or idle_count + self._active[call.key] >= call.max_connections
        )
        # After unsolicited bytes, later responses could no longer be matched to their requests.
        # An upstream may respond before it has read the request; the rest of that would be kept.
        is_desynchronised = bool(trailing or closed or conn.buffered) or call.lacks_body
        if not reusable or is_desynchronised or is_surplus:
            conn.close()
            return
        now = self._clock.now()
        announced_s = call.announced_keep_alive_s
        idle_s = (
            _DEFAULT_KEEP_ALIVE_S if announced_s is None else announced_s * _KEEP_ALIVE_FRACTION
        )
        conn.on_data = lambda _data: conn.close()
        conn.on_closed = lambda _reason: None
        self._idle[call.key].append(_IdleConnection(conn, now, now + idle_s))

    def _on_closed(self, call: UpstreamCall, reason: str) -> None:
        if call.done:
            return
        if call.head_received and reason == PEER_CLOSED:
            # A body without `Content-Length` or chunked framing is ended by an orderly close.
            try:
                call.protocol.receive_data(b"")
                self._read_events(call)
            except h11.RemoteProtocolError as exc:
                self._fail(call, CallFailure.BROKEN, str(exc))
        if not call.done:
            failure = CallFailure.BROKEN if call.sent else CallFailure.NOT_CONNECTED
            self._fail(call, failure, reason)

    def _fail(self, call: UpstreamCall, failure: CallFailure, detail: str) -> None:
        if call.done:
            return
        self._mark_done(call)
        call.conn.close()
        call.listener.on_failed(failure, detail)

    def _mark_done(self, call: UpstreamCall) -> None:
        call.done = True
        self._connecting.discard(call)
        self._active[call.key] -= 1
        if not self._active[call.key]:
            del self._active[call.key]
