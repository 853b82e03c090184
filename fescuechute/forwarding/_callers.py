"""Connections of clients: requests in, answers out, over HTTP/1.1 with h11 as the codec."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import attrs
import h11

from fescuechute.catalog import ClientLimits
from fescuechute.forwarding._headers import Headers
from fescuechute.net import Clock, Connection, SocketOwner

#: Bytes that may wait for a client that does not read its answer.
_MAX_BUFFERED_BYTES = 1 << 20
#: Seconds for which a client may take to send the body after the head.
_BODY_S = 10.0


@attrs.define(eq=False)
class CallerRequest:
    """One request as it arrived; the body is complete."""

    method: bytes
    #: Path and query as sent.
    target: bytes
    headers: Headers
    body: bytes
    #: Unix seconds at which the head was complete.
    received_at: float
    #: Whether an earlier request came on the same connection.
    reused: bool
    answer: Answer

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class Answer:
    """Answers one request once: whole, or as a stream that ends visibly incomplete on `abort`."""

    def __init__(self, caller: _Caller):
        self._caller = caller
        self._started = False
        #: False once the answer is complete or the client is gone.
        self.is_open = True
        #: Called when the client goes away before its answer is complete.
        self.on_gone: Callable[[], None] = lambda: None

    @property
    def started(self) -> bool:
        """Whether the head was sent."""
        return self._started

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""
        if self.is_open and not self._started:
            self.is_open = False
            self._caller.send_whole(status, headers, body)

    def start(self, status: int, headers: Headers) -> None:
        """Sends the head of a streamed answer."""
        if self.is_open and not self._started:
            self._started = True
            self._caller.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Sends part of the body of a streamed answer."""
        if self.is_open and self._started:
            self._caller.send_data(data)

    def end(self) -> None:
        """Ends a streamed answer as complete."""
        if self.is_open and self._started:
            self.is_open = False
            self._caller.end()

    def abort(self) -> None:
        """Closes the connection, so that what was sent of the answer looks incomplete."""
        if self.is_open:
            self.is_open = False
            self._caller.close()

    def caller_gone(self) -> None:
        """Called by the connection when it ended."""
        if self.is_open:
            self.is_open = False
            self.on_gone()


class CallerServer(SocketOwner):
    """Listens for clients and hands each complete request to a function.

    Args:
      clock: Source of unix time.
      handle: Receives each request.
      count: Adds one to a counter.
      channel: Channel of the component, different for each server of a process.
    """

    def __init__(
        self,
        clock: Clock,
        handle: Callable[[CallerRequest], None],
        count: Callable[[str], None],
        channel: str = "callers",
    ):
        super().__init__(channel=channel)
        self.clock = clock
        self.handle = handle
        self.count = count
        self.limits = ClientLimits()
        #: Once set, connections are closed after their present answer.
        self.draining = False
        self._callers: set[_Caller] = set()

    def accepted(self, conn: Connection) -> None:
        """Starts reading the requests of an accepted connection."""
        self._callers.add(_Caller(self, conn))

    @property
    def busy(self) -> int:
        """Connections with a request that is not answered completely."""
        return sum(caller.busy for caller in self._callers)

    def close_idle(self) -> None:
        """Closes the connections on which no request is under way."""
        for caller in list(self._callers):
            if not caller.busy:
                caller.finish()

    def tick(self, now: float) -> None:
        """Closes connections that are idle for too long or do not complete a request."""
        for caller in list(self._callers):
            caller.expire(now)

    def discard(self, caller: _Caller) -> None:
        """Removes a connection that has ended."""
        self._callers.discard(caller)


class _Caller:
    """One connection of a client."""

    def __init__(self, server: CallerServer, conn: Connection):
        self._server = server
        self._conn = conn
        self._protocol = self._new_protocol()
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._answer: Answer | None = None
        self._served = 0
        now = server.clock.now()
        self._head_at = now
        #: Unix seconds at which the connection is closed unless a request progresses.
        self._deadline = now + server.limits.idle_s
        self._receiving = False
        conn.on_data = self._received
        conn.on_closed = self._closed

    @property
    def busy(self) -> bool:
        """Whether a request is being received or answered."""
        return self._answer is not None or self._receiving

    def expire(self, now: float) -> None:
        """Closes the connection when its deadline has passed."""
        if self._answer is not None or now < self._deadline:
            return
        if not self._receiving:
            self.finish()
        elif self._request is None:
            self._server.count("callers.head_timeout")
            self._refuse(408, "The head of the request was not complete in time.")
        else:
            self._server.count("callers.body_timeout")
            self._refuse(408, "The body of the request was not complete in time.")

    # Output.

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends an answer whose body is at hand."""
        fields = [*headers, (b"Content-Length", b"%d" % len(body)), *self._closing_field()]
        reason = _reason(status)
        head = h11.Response(status_code=status, headers=fields, reason=reason)
        data = self._protocol.send(head) or b""
        if body:
            data += self._protocol.send(h11.Data(data=body)) or b""
        self._write(data + (self._protocol.send(h11.EndOfMessage()) or b""))
        self._ended()

    def send_head(self, status: int, headers: Headers) -> None:
        """Sends the head of an answer with chunked framing."""
        fields = [*headers, (b"Transfer-Encoding", b"chunked"), *self._closing_field()]
        head = h11.Response(status_code=status, headers=fields, reason=_reason(status))
        self._write(self._protocol.send(head) or b"")

    def send_data(self, data: bytes) -> None:
        """Sends part of the body."""
        self._write(self._protocol.send(h11.Data(data=data)) or b"")
        if self._conn.buffered > _MAX_BUFFERED_BYTES:
            self._server.count("callers.not_reading")
            self._conn.fail("the client does not read")

    def end(self) -> None:
        """Ends the body."""
        self._write(self._protocol.send(h11.EndOfMessage()) or b"")
        self._ended()

    def close(self) -> None:
        """Closes the connection at once."""
        self._answer = None
        self._conn.close()
        self._server.discard(self)

    def finish(self) -> None:
        """Closes the connection after what is buffered was sent."""
        self._answer = None
        self._conn.finish()
        self._server.discard(self)

    def _write(self, data: bytes) -> None:
        self._conn.write(data)

    def _closing_field(self) -> Headers:
        return [(b"Connection", b"close")] if self._server.draining else []

    def _ended(self) -> None:
        self._answer = None
        if self._protocol.our_state is h11.MUST_CLOSE or self._protocol.their_state not in (
            h11.DONE,
            h11.MUST_CLOSE,
        ):
            self.finish()
            return
        self._served += 1
        self._request = None
        self._receiving = False
        self._body.clear()
        self._deadline = self._server.clock.now() + self._server.limits.idle_s
        self._protocol.start_next_cycle()
        # The next request may have arrived together with the last one.
        self._read_events()

    # Input.

    def _received(self, data: bytes) -> None:
        if not self._receiving and self._answer is None:
            self._receiving = True
            self._deadline = self._server.clock.now() + self._server.limits.header_s
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError:
            # Bytes after the end of what the client announced; it gets its answer all the same.
            self._server.count("callers.extra_bytes")
            return
        if self._answer is None:
            self._read_events()

    def _read_events(self) -> None:
        try:
            while self._answer is None and self._conn.is_open:
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    self._await_more()
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                self._take(event)
        except h11.RemoteProtocolError as exc:
            self._server.count("callers.malformed")
            self._refuse(exc.error_status_hint or 400, str(exc))

    def _await_more(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._protocol.send(go_on) or b"")
        trailing, _ = self._protocol.trailing_data
        if trailing and not self._receiving:
            self._receiving = True
            self._deadline = self._server.clock.now() + self._server.limits.header_s

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._request = event
            self._receiving = True
            self._head_at = self._server.clock.now()
            self._deadline = self._head_at + _BODY_S
            self._check_length(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._server.limits.body_bytes:
                self._refuse_body()
        elif isinstance(event, h11.EndOfMessage):
            self._hand_over()

    def _check_length(self, request: h11.Request) -> None:
        for name, value in request.headers:
            if name == b"content-length" and int(value) > self._server.limits.body_bytes:
                self._refuse_body()

    def _refuse_body(self) -> None:
        self._server.count("callers.body_too_large")
        limit = self._server.limits.body_bytes
        self._refuse(413, f"The body exceeds {limit} bytes; send a smaller one.")

    def _hand_over(self) -> None:
        request = self._request
        assert request is not None
        self._receiving = False
        self._answer = Answer(self)
        self._server.handle(
            CallerRequest(
                request.method,
                request.target,
                list(request.headers.raw_items()),
                bytes(self._body),
                self._head_at,
                self._served > 0,
                self._answer,
            )
        )

    def _refuse(self, status: int, text: str) -> None:
        """Answers what is no proper request and closes the connection."""
        body = text.encode()
        head = (
            f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        if self._answer is None and self._conn.is_open:
            self._conn.write(head.encode() + body)
            self.finish()

    def _closed(self, _reason: str) -> None:
        self._server.discard(self)
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.caller_gone()

    def _new_protocol(self) -> h11.Connection:
        limit = self._server.limits.header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
