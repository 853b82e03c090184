"""HTTP calls of the command line, with the standard library."""

from __future__ import annotations

import http.client
import json
from typing import Any

import attrs

from fescuechute.checks import Address
from fescuechute.errors import PlatformError


class NotSentError(PlatformError):
    """No connection was made, so the request had no effect."""


class AnswerLostError(PlatformError):
    """The request was sent, but no complete answer came; it may have had its effect."""


@attrs.frozen
class Answer:
    """A complete HTTP answer."""

    status: int
    body: bytes

    @property
    def ok(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    def json(self) -> Any:
        """Returns the parsed body, or None when it is not JSON."""
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError):
            return None


def call(
    server: Address, method: str, path: str, body: object = None, silence_s: float = 3.0
) -> Answer:
    """Makes one HTTP call.

    Args:
      server: Where to connect.
      method: HTTP method.
      path: Path and query.
      body: Sent as JSON unless None.
      silence_s: The call fails when nothing arrives for this many seconds.

    Raises:
      NotSentError: The connection failed.
      AnswerLostError: The connection ended before the answer was complete.
    """
    conn = http.client.HTTPConnection(server.ip, server.port, timeout=silence_s)
    payload = None if body is None else json.dumps(body).encode()
    headers = {"Connection": "close"} | ({"Content-Type": "application/json"} if payload else {})
    try:
        try:
            conn.connect()
        except OSError as exc:
            found = f"{server} accepts no connection: {exc}."
            raise NotSentError(found, "Check the address, or try again later.") from exc
        try:
            conn.request(method, path, payload, headers)
            answer = conn.getresponse()
            return Answer(answer.status, answer.read())
        except (OSError, http.client.HTTPException) as exc:
            found = f"{server} gave no complete answer: {type(exc).__name__} {exc}."
            raise AnswerLostError(found, "Try again later.") from exc
    finally:
        conn.close()
