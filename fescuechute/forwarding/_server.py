"""HTTP/1.1 server for clients, with h11 as the protocol codec."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import h11

from fescuechute.catalog import ClientLimits
from fescuechute.forwarding._headers import Headers
from fescuechute.forwarding._memory import MemoryAccount
from fescuechute.forwarding._requests import ClientRequest, Response
from fescuechute.net import BodyParts, Clock, Connection, SocketOwner

#: Limit on response bytes buffered for a slow client; beyond it the connection is closed.
_MAX_BUFFERED_BYTES = 1 << 20
#: Bytes of later requests that are read while a response is pending.
_MAX_PIPELINED_BYTES = 64 << 10
#: Seconds from the end of a request head until its body must be complete.
_BODY_TIMEOUT_S = 10.0
#: Bytes of a body that must arrive in each span of this many seconds while the server is crowded.
_MIN_PROGRESS_BYTES = 1024
_PROGRESS_S = 5.0
#: Growth of a body in memory over its size, as `bytearray` allocates ahead: one part in eight.
_GROWTH_SHIFT = 3
#: Limit on the memory held for clients by a server without an account of its process, in bytes.
_DEFAULT_ACCOUNT_BYTES = 64 << 20
#: Seconds after which a client that was refused for lack of memory may retry.
_RETRY_AFTER_S = 1


class ClientServer(SocketOwner):
    """Accepts connections from clients and passes each complete request to a handler.

    Args:
      clock: Source of unix time.
      handle: Called with each request.
      count: Increments a named counter.
      channel: circuits channel; must be unique among the servers of a process.
      account: Account of the process for the bytes held for clients.
      max_connections: Connections above which the least useful one is closed.
      limits_output: Whether responses that are not read count in the account, too.
    """

    def __init__(
        self,
        clock: Clock,
        handle: Callable[[ClientRequest], None],
        count: Callable[[str], None],
        channel: str = "callers",
        account: MemoryAccount | None = None,
        max_connections: int = 4096,
        limits_output: bool = False,
    ):
        super().__init__(channel=channel)
        self.clock = clock
        self.handle = handle
        self.count = count
        self.limits = ClientLimits()
        self.account = account or MemoryAccount(_DEFAULT_ACCOUNT_BYTES)
        self.max_connections = max_connections
        self._limits_output = limits_output
        #: When set, connections are closed after the current response.
        self.draining = False
        self._clients: set[_ClientConnection] = set()

    def on_accepted(self, conn: Connection) -> None:
        """Starts reading requests from an accepted connection, if there is room for it."""
        while len(self._connections) > self.max_connections:
            if not self.close_oldest_lingering() and not self._close_least_useful():
                self.count("callers.too_many")
                conn.close()
                return
        self._clients.add(_ClientConnection(self, conn))

    def _close_least_useful(self) -> bool:
        """Closes the connection without a pending response that is worth least; False if none is.

        Those that have carried no request go first, then those on which nothing is being received, then
        those without progress for the longest time. One that has not taken its whole response stays.
        """
        candidates = [
            client for client in self._clients if not client.is_handling and not client.has_output
        ]
        if not candidates:
            return False
        self.count("callers.evicted")
        min(candidates, key=lambda client: client.usefulness).close()
        return True

    @property
    def is_crowded(self) -> bool:
        """Whether half of the memory for clients, or of the connections, is in use."""
        account = self.account
        is_memory_short = 2 * account.used_bytes > account.limit_bytes
        return is_memory_short or 2 * len(self._connections) > self.max_connections

    @property
    def active_connections(self) -> int:
        """Number of connections on which a request is in flight."""
        return sum(conn.is_active for conn in self._clients)

    def close_idle(self) -> None:
        """Closes the connections on which no request is in flight."""
        for conn in list(self._clients):
            if not conn.is_active:
                conn.finish()

    @property
    def open_connections(self) -> int:
        """Number of connections that are not closed yet, also if only the end of an answer is left."""
        return len(self._connections)

    def reject_incomplete(self, detail: str) -> None:
        """Responds with 503 to the requests of which only a part has arrived."""
        for conn in list(self._clients):
            if conn.is_receiving:
                self.count("callers.incomplete")
                conn.reject(503, detail)

    def tick(self, now: float) -> None:
        """Closes connections that exceeded a timeout, and slow readers that take too much memory."""
        if self.draining:
            self.discarding.clear()
        is_crowded = self.is_crowded
        for conn in list(self._clients):
            conn.check_deadline(now, is_crowded)
        if self._limits_output:
            self._limit_output()

    def _limit_output(self) -> None:
        buffered = sum(conn.buffered for conn in self._connections.values())
        holder = f"{self.channel} output"
        self.account.set_used(holder, buffered)
        while buffered and self.account.used_bytes > self.account.limit_bytes:
            largest = max(self._connections.values(), key=lambda conn: conn.buffered)
            self.count("callers.not_reading")
            largest.fail("memory limit exceeded: the client is not reading the response")
            buffered = sum(conn.buffered for conn in self._connections.values())
            self.account.set_used(holder, buffered)

    def discard(self, conn: _ClientConnection) -> None:
        """Forgets a closed connection."""
        self._clients.discard(conn)


class _ClientConnection:
    """One connection from a client; it serves one request at a time."""

    def __init__(self, server: ClientServer, conn: Connection):
        self._server = server
        self._conn = conn
        self._protocol = self._new_protocol()
        self._request: h11.Request | None = None
        self._body = bytearray()
        #: Bytes counted for the body in the account, also after it was passed to the handler.
        self._reserved_bytes = 0
        #: Size of the body when it last made progress, and when it must have made further progress.
        self._progress_bytes = 0
        self._progress_deadline = float("inf")
        self._body_parts = BodyParts()
        self._response: Response | None = None
        self._served_requests = 0
        #: Whether the connection ends because its request was not acceptable.
        self._rejected = False
        #: Bytes received while a response is pending; they belong to later requests.
        self._pipelined_bytes = 0
        now = server.clock.now()
        self._head_received_at = now
        #: Unix seconds at which the connection was accepted, or last made progress with a request.
        self._progressed_at = now
        #: Unix seconds at which the wait for the next request, or for the rest of it, times out.
        self._deadline = now + server.limits.idle_s
        self._receiving = False
        conn.on_data = self._on_data
        conn.on_closed = self._on_closed

    @property
    def is_active(self) -> bool:
        """Whether a request is being received or handled."""
        return self._response is not None or self._receiving

    @property
    def is_handling(self) -> bool:
        """Whether a response is pending."""
        return self._response is not None

    @property
    def has_output(self) -> bool:
        """Whether a part of a response has not been sent."""
        return self._conn.buffered > 0

    @property
    def usefulness(self) -> tuple[bool, bool, float]:
        """Orders connections without a pending response; the least one is closed first."""
        return self._served_requests > 0, self._receiving, self._progressed_at

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has arrived."""
        return self._receiving and self._response is None

    def check_deadline(self, now: float, is_crowded: bool) -> None:
        """Closes the connection if its deadline has passed while no response is pending.

        Args:
          now: Unix seconds.
          is_crowded: Whether a body has to make progress as well.
        """
        deadline = min(self._deadline, self._progress_deadline) if is_crowded else self._deadline
        if self._response is not None or now < deadline:
            return
        if not self._receiving:
            self.finish()
        elif self._request is None:
            self._server.count("callers.head_timeout")
            self.reject(408, "The head of the request was not complete in time.")
        else:
            self._server.count("callers.body_timeout")
            self.reject(408, "The body of the request was not complete in time.")

    # Output.

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a response with `Content-Length` framing."""
        fields = [*headers, (b"Content-Length", b"%d" % len(body)), *self._connection_header()]
        reason = _reason_phrase(status)
        head = h11.Response(status_code=status, headers=fields, reason=reason)
        data = self._protocol.send(head) or b""
        if body:
            data += self._protocol.send(h11.Data(data=body)) or b""
        self._write(data + (self._protocol.send(h11.EndOfMessage()) or b""))
        self._end_exchange()

    def send_head(self, status: int, headers: Headers) -> None:
        """Sends the head of a response with chunked framing."""
        fields = [*headers, (b"Transfer-Encoding", b"chunked"), *self._connection_header()]
        head = h11.Response(status_code=status, headers=fields, reason=_reason_phrase(status))
        self._write(self._protocol.send(head) or b"")

    def send_data(self, data: bytes) -> None:
        """Sends part of the body."""
        self._write(self._protocol.send(h11.Data(data=data)) or b"")
        if self._conn.buffered > _MAX_BUFFERED_BYTES:
            self._server.count("callers.not_reading")
            self._conn.fail("write buffer limit exceeded: the client is not reading the response")

    def end(self) -> None:
        """Ends the chunked body."""
        self._write(self._protocol.send(h11.EndOfMessage()) or b"")
        self._end_exchange()

    def close(self) -> None:
        """Closes the connection and drops buffered output."""
        self._response = None
        self._release_body()
        self._conn.close()
        self._server.discard(self)

    def finish(self) -> None:
        """Closes the connection once the buffered output has been sent."""
        self._response = None
        self._release_body()
        self._conn.finish()
        self._server.discard(self)

    def _release_body(self) -> None:
        self._server.account.release("bodies", self._reserved_bytes)
        self._reserved_bytes = 0
        self._progress_bytes = 0
        self._progress_deadline = float("inf")
        self._body = bytearray()

    def _write(self, data: bytes) -> None:
        self._conn.write(data)

    def _connection_header(self) -> Headers:
        return [(b"Connection", b"close")] if self._server.draining else []

    def _end_exchange(self) -> None:
        self._response = None
        if self._protocol.our_state is h11.MUST_CLOSE or self._protocol.their_state not in (
            h11.DONE,
            h11.MUST_CLOSE,
        ):
            self.finish()
            return
        self._served_requests += 1
        self._request = None
        self._receiving = False
        self._release_body()
        self._body_parts = BodyParts()
        self._progressed_at = self._server.clock.now()
        self._deadline = self._progressed_at + self._server.limits.idle_s
        if self._pipelined_bytes:
            self._pipelined_bytes = 0
            self._conn.set_reading(True)
        self._protocol.start_next_cycle()
        # With pipelining, the next request may already be in the receive buffer.
        self._read_events()

    # Input.

    def _on_data(self, data: bytes) -> None:
        if not self._receiving and self._response is None:
            self._receiving = True
            self._deadline = self._server.clock.now() + self._server.limits.header_s
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError:
            # The client sent bytes after its last request; the pending response is still delivered.
            self._server.count("callers.extra_bytes")
            return
        if self._response is None:
            self._read_events()
            return
        self._pipelined_bytes += len(data)
        if self._pipelined_bytes > _MAX_PIPELINED_BYTES:
            self._server.count("callers.pipelining_paused")
            self._conn.set_reading(False)

    def _read_events(self) -> None:
        try:
            while self._response is None and self._conn.is_open and not self._rejected:
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    self._on_need_data()
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as exc:
            self._server.count("callers.malformed")
            self.reject(exc.error_status_hint or 400, str(exc))

    def _on_need_data(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._protocol.send(interim) or b"")
        trailing, _ = self._protocol.trailing_data
        if trailing and not self._receiving:
            self._receiving = True
            self._deadline = self._server.clock.now() + self._server.limits.header_s

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._request = event
            self._receiving = True
            self._head_received_at = self._progressed_at = self._server.clock.now()
            self._deadline = self._head_received_at + _BODY_TIMEOUT_S
            self._progress_deadline = self._head_received_at + _PROGRESS_S
            self._check_content_length(event)
        elif isinstance(event, h11.Data):
            self._on_body_data(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._pass_to_handler()

    def _on_body_data(self, data: bytes) -> None:
        size = len(self._body) + len(data)
        cost = len(data) + (len(data) >> _GROWTH_SHIFT)
        if size > self._server.limits.body_bytes:
            self._reject_body()
        elif not self._server.account.try_reserve("bodies", cost, self._reserved_bytes):
            self._reject_for_memory()
        elif not self._body_parts.add(len(data)):
            self._reserved_bytes += cost
            self._server.count("callers.small_parts")
            self.reject(400, "The body arrives in too small parts; send larger chunks.")
        else:
            self._reserved_bytes += cost
            self._body += data
            if size - self._progress_bytes >= _MIN_PROGRESS_BYTES:
                self._progress_bytes = size
                self._progressed_at = self._server.clock.now()
                self._progress_deadline = self._progressed_at + _PROGRESS_S

    def _reject_for_memory(self) -> None:
        self._server.count("callers.no_memory")
        detail = "Too many bodies arrive at once; the request has not run."
        self.reject(503, detail, retry_after_s=_RETRY_AFTER_S)

    def _check_content_length(self, request: h11.Request) -> None:
        for name, value in request.headers:
            if name != b"content-length":
                continue
            if int(value) > self._server.limits.body_bytes:
                self._reject_body()
            elif int(value) > self._server.account.allowed_bytes():
                self._reject_for_memory()

    def _reject_body(self) -> None:
        self._server.count("callers.body_too_large")
        limit = self._server.limits.body_bytes
        self.reject(413, f"The body exceeds {limit} bytes; send a smaller one.")

    def _pass_to_handler(self) -> None:
        request = self._request
        assert request is not None
        self._receiving = False
        self._progress_deadline = float("inf")
        self._response = Response(self)
        body, self._body = bytes(self._body), bytearray()
        self._server.handle(
            ClientRequest(
                request.method,
                request.target,
                list(request.headers.raw_items()),
                body,
                self._head_received_at,
                self._served_requests > 0,
                self._response,
            )
        )

    def reject(self, status: int, detail: str, retry_after_s: int | None = None) -> None:
        """Responds with an error to an unacceptable request and closes the connection."""
        self._rejected = True
        body = detail.encode()
        head = (
            f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n"
        )
        if retry_after_s is not None:
            head += f"Retry-After: {retry_after_s}\r\n"
        head += "\r\n"
        if self._response is None and self._conn.is_open:
            self._conn.write(head.encode() + body)
            # A process that stops cannot wait until the client has sent its body.
            self._conn.is_refused = not self._server.draining
            self.finish()

    def _on_closed(self, _reason: str) -> None:
        self._release_body()
        self._server.discard(self)
        response, self._response = self._response, None
        if response is not None:
            response.handle_disconnect()

    def _new_protocol(self) -> h11.Connection:
        limit = self._server.limits.header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
