"""A request of a client and the response to it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from fescuechute.forwarding._headers import Headers


class ResponseChannel(Protocol):
    """The connection on which a response is sent."""

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response."""

    def send_head(self, status: int, headers: Headers) -> None:
        """Sends the head of a streamed response."""

    def send_data(self, data: bytes) -> None:
        """Sends part of the body."""

    def end(self) -> None:
        """Ends the body."""

    def close(self) -> None:
        """Closes the connection and drops buffered output."""


@attrs.define(eq=False)
class ClientRequest:
    """A request with its complete body."""

    method: bytes
    #: Request target (path and query) as received.
    target: bytes
    headers: Headers
    body: bytes
    #: Unix seconds at which the head was completely received.
    received_at: float
    #: Whether the connection carried an earlier request.
    reused: bool
    response: Response

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class Response:
    """Sends the response to one request, at once or as a stream.

    After `abort` a streamed response lacks the end of its framing, so that the client can tell that
    it is incomplete.
    """

    def __init__(self, conn: ResponseChannel):
        self._conn = conn
        self._started = False
        #: False once the response is complete or aborted, or the client has disconnected.
        self.is_open = True
        #: Called when the client disconnects before the response is complete.
        self.on_disconnect: Callable[[], None] = lambda: None

    @property
    def started(self) -> bool:
        """Whether the head of a streamed response was sent."""
        return self._started

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response."""
        if self.is_open and not self._started:
            self.is_open = False
            self._conn.send_response(status, headers, body)

    def start(self, status: int, headers: Headers) -> None:
        """Sends the head of a streamed response."""
        if self.is_open and not self._started:
            self._started = True
            self._conn.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Sends part of the body of a streamed response."""
        if self.is_open and self._started:
            self._conn.send_data(data)

    def end(self) -> None:
        """Completes a streamed response."""
        if self.is_open and self._started:
            self.is_open = False
            self._conn.end()

    def abort(self) -> None:
        """Closes the connection without completing the response."""
        if self.is_open:
            self.is_open = False
            self._conn.close()

    def handle_disconnect(self) -> None:
        """Marks the response as undeliverable; called when the connection was closed."""
        if self.is_open:
            self.is_open = False
            self.on_disconnect()
