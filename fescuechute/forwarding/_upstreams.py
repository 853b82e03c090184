"""Connections to replicas: one request at a time on each, kept for further requests."""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

import attrs
import h11

from fescuechute.checks import Address
from fescuechute.forwarding._headers import Headers, keep_alive_s
from fescuechute.net import PEER_CLOSED, Clock, Connection, SocketOwner

#: Seconds for which an idle connection is kept when the replica announces no time.
_IDLE_S = 4.0
#: Part of the announced idle time after which a connection is not used again.
_IDLE_SHARE = 0.6
#: Idle connections kept to one replica.
_MAX_IDLE = 24
#: Answers to earlier requests that are skipped on one connection before it is given up.
_MAX_SKIPPED = 3


class Ended(enum.StrEnum):
    """How a call failed."""

    #: No connection came about, so nothing was sent.
    NOT_CONNECTED = "not_connected"
    #: The connection ended before the answer was complete.
    BROKEN = "broken"
    #: What arrived is no HTTP.
    MALFORMED = "malformed"
    #: The connection carries answers to other requests.
    FOREIGN = "foreign"


class CallListener(Protocol):
    """Receives what happens to one call. After `on_end` or `on_failed` nothing follows."""

    def on_head(self, status: int, headers: Headers) -> None:
        """The head of the answer arrived."""

    def on_data(self, data: bytes) -> None:
        """Part of the body arrived."""

    def on_end(self) -> None:
        """The answer is complete."""

    def on_failed(self, ended: Ended, detail: str) -> None:
        """The answer will not be complete."""


@attrs.frozen
class OutboundRequest:
    """One request to a replica."""

    method: bytes
    target: bytes
    #: End-to-end fields and those that the system sets; without framing.
    headers: Headers
    body: bytes


@attrs.define(eq=False)
class UpstreamCall:
    """One request in flight."""

    key: str
    request: OutboundRequest
    listener: CallListener
    #: Returns whether a head belongs to this request.
    is_answer: Callable[[Headers], bool]
    #: Unix seconds at which the call fails unless a connection came about.
    connect_by: float
    conn: Connection
    protocol: h11.Connection = attrs.field(factory=lambda: h11.Connection(h11.CLIENT))
    #: Whether bytes of the request may have reached the replica.
    sent: bool = False
    #: Whether the connection served an earlier request.
    reused: bool = False
    skipped: int = 0
    skipping: bool = False
    announced_idle_s: float | None = None
    got_head: bool = False
    done: bool = False


@attrs.frozen
class _Idle:
    conn: Connection
    since: float
    until: float


class UpstreamClient(SocketOwner):
    """Sends requests to replicas."""

    def __init__(self, clock: Clock, channel: str = "upstreams"):
        super().__init__(channel=channel)
        self._clock = clock
        self._idle: dict[str, list[_Idle]] = defaultdict(list)
        #: Calls whose connection is not established.
        self._connecting: set[UpstreamCall] = set()
        #: Connections opened so far.
        self.opened = 0

    def call(
        self,
        key: str,
        address: Address,
        request: OutboundRequest,
        listener: CallListener,
        is_answer: Callable[[Headers], bool],
        *,
        connect_s: float,
        max_idle_s: float = float("inf"),
    ) -> UpstreamCall:
        """Starts a request.

        Args:
          key: Instance of the replica; connections are kept for each.
          address: Where it listens.
          request: What to send.
          listener: Receives the answer.
          is_answer: Returns whether a head belongs to this request; others are skipped.
          connect_s: Seconds for a new connection.
          max_idle_s: A kept connection that was idle for longer is not used, because the replica
            may be closing it, and then nobody knows whether the request ran.
        """
        now = self._clock.now()
        conn = self._take_idle(key, now, max_idle_s)
        reused = conn is not None
        if conn is None:
            conn = self.open_connection(address.ip, address.port)
            self.opened += 1
        call = UpstreamCall(key, request, listener, is_answer, now + connect_s, conn)
        call.reused = reused
        conn.on_data = lambda data: self._received(call, data)
        conn.on_closed = lambda reason: self._closed(call, reason)
        if reused:
            self._send(call)
        else:
            self._connecting.add(call)
            conn.on_connected = lambda: self._send(call)
        return call

    def cancel(self, call: UpstreamCall) -> None:
        """Ends a call without telling its listener; its connection is closed."""
        if not call.done:
            self._finish(call)
            call.conn.close()

    def drop(self, key: str) -> None:
        """Closes the idle connections to a replica."""
        for idle in self._idle.pop(key, []):
            idle.conn.close()

    def tick(self, now: float) -> None:
        """Fails calls that found no connection in time and closes old idle connections."""
        for call in [call for call in self._connecting if now >= call.connect_by]:
            self._fail(call, Ended.NOT_CONNECTED, "no connection in time")
        for key in list(self._idle):
            kept = []
            for idle in self._idle[key]:
                if now < idle.until and idle.conn.is_open:
                    kept.append(idle)
                else:
                    idle.conn.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def _take_idle(self, key: str, now: float, max_idle_s: float) -> Connection | None:
        pool = self._idle.get(key, [])
        while pool:
            idle = pool.pop()
            if not idle.conn.is_open or now >= idle.until:
                idle.conn.close()
            elif now - idle.since <= max_idle_s:
                return idle.conn
            else:
                # Those below it were idle for even longer.
                pool.append(idle)
                return None
        return None

    def _send(self, call: UpstreamCall) -> None:
        self._connecting.discard(call)
        request = call.request
        fields = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD"):
            fields.append((b"Content-Length", b"%d" % len(request.body)))
        head = h11.Request(method=request.method, target=request.target, headers=fields)
        data = call.protocol.send(head) or b""
        if request.body:
            data += call.protocol.send(h11.Data(data=request.body)) or b""
        data += call.protocol.send(h11.EndOfMessage()) or b""
        call.sent = True
        call.conn.write(data)

    def _received(self, call: UpstreamCall, data: bytes) -> None:
        if call.done:
            return
        try:
            call.protocol.receive_data(data)
            self._read_events(call)
        except h11.RemoteProtocolError as exc:
            self._fail(call, Ended.MALFORMED, str(exc))

    def _read_events(self, call: UpstreamCall) -> None:
        while not call.done:
            event = call.protocol.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._head(call, event)
            elif isinstance(event, h11.Data):
                if not call.skipping:
                    call.listener.on_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._end_of_message(call)
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(call, Ended.BROKEN, PEER_CLOSED)

    def _head(self, call: UpstreamCall, event: h11.Response) -> None:
        headers = list(event.headers.raw_items())
        call.skipping = not call.is_answer(headers)
        if not call.skipping:
            call.got_head = True
            call.announced_idle_s = keep_alive_s(headers)
            call.listener.on_head(event.status_code, headers)

    def _end_of_message(self, call: UpstreamCall) -> None:
        if call.skipping:
            self._skip(call)
            return
        self._finish(call)
        self._keep(call)
        call.listener.on_end()

    def _skip(self, call: UpstreamCall) -> None:
        """Goes on behind a complete answer that belongs to an earlier request."""
        trailing, closed = call.protocol.trailing_data
        call.skipped += 1
        if call.skipped > _MAX_SKIPPED or closed:
            self._fail(call, Ended.FOREIGN, "answers to other requests")
            return
        call.protocol = h11.Connection(h11.CLIENT)
        # The codec expects an answer only after a request; these bytes are not sent again.
        call.protocol.send(
            h11.Request(method=call.request.method, target=b"/", headers=[(b"Host", b"x")])
        )
        call.protocol.send(h11.EndOfMessage())
        call.skipping = False
        if trailing:
            call.protocol.receive_data(trailing)

    def _keep(self, call: UpstreamCall) -> None:
        protocol, conn = call.protocol, call.conn
        reusable = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        trailing, closed = protocol.trailing_data
        # Bytes behind the answer belong to nobody, and what follows them cannot be trusted.
        if not reusable or trailing or closed or len(self._idle[call.key]) >= _MAX_IDLE:
            conn.close()
            return
        now = self._clock.now()
        announced = call.announced_idle_s
        idle_s = _IDLE_S if announced is None else announced * _IDLE_SHARE
        conn.on_data = lambda _data: conn.close()
        conn.on_closed = lambda _reason: None
        self._idle[call.key].append(_Idle(conn, now, now + idle_s))

    def _closed(self, call: UpstreamCall, reason: str) -> None:
        if call.done:
            return
        if call.got_head and reason == PEER_CLOSED:
            # A body without length ends with the connection, unless that was reset.
            try:
                call.protocol.receive_data(b"")
                self._read_events(call)
            except h11.RemoteProtocolError as exc:
                self._fail(call, Ended.BROKEN, str(exc))
        if not call.done:
            ended = Ended.BROKEN if call.sent else Ended.NOT_CONNECTED
            self._fail(call, ended, reason)

    def _fail(self, call: UpstreamCall, ended: Ended, detail: str) -> None:
        if call.done:
            return
        self._finish(call)
        call.conn.close()
        call.listener.on_failed(ended, detail)

    def _finish(self, call: UpstreamCall) -> None:
        call.done = True
        self._connecting.discard(call)
