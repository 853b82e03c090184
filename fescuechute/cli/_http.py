"""HTTP client of the command line, based on the standard library."""

from __future__ import annotations

import http.client
import json
from typing import Any

import attrs

from fescuechute.checks import Address, is_final_status
from fescuechute.errors import PlatformError


class NotSentError(PlatformError):
    """The connection could not be opened, so the request had no effect."""


class AnswerLostError(PlatformError):
    """No complete response arrived; the request may have taken effect."""


@attrs.frozen
class Response:
    """Status and body of an HTTP response that was received in full."""

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


def send_request(
    server: Address, method: str, path: str, body: object = None, idle_timeout_s: float = 3.0
) -> Response:
    """Sends one HTTP request on a new connection and reads the whole response.

    Args:
      server: Address of the server.
      method: HTTP method.
      path: Path and query.
      body: Sent as JSON unless None.
      idle_timeout_s: Timeout of the connect and of each send and receive, in seconds.

    Raises:
      NotSentError: The connection failed.
      AnswerLostError: The connection failed before the response was complete.
    """
    conn = http.client.HTTPConnection(server.ip, server.port, timeout=idle_timeout_s)
    payload = None if body is None else json.dumps(body).encode()
    headers = {"Connection": "close"} | ({"Content-Type": "application/json"} if payload else {})
    try:
        try:
            conn.connect()
        except OSError as exc:
            found = f"{server} cannot be reached: {exc}."
            raise NotSentError(found, "Check the address, or retry later.") from exc
        try:
            conn.request(method, path, payload, headers)
            response = conn.getresponse()
            if not is_final_status(response.status):
                raise http.client.BadStatusLine(f"{response.status}, expected 200 to 599")
            return Response(response.status, response.read())
        except (OSError, http.client.HTTPException) as exc:
            found = f"{server} sent no complete response: {type(exc).__name__} {exc}."
            raise AnswerLostError(found, "Retry later.") from exc
    finally:
        conn.close()
