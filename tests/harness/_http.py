"""HTTP client for tests, based on the standard library."""

from __future__ import annotations

import http.client
import json
from typing import Any


class HttpFailedError(Exception):
    """No complete response arrived: connection refused, closed early, or timed out."""


def http_bytes(
    method: str,
    port: int,
    path: str,
    body: bytes = b"",
    *,
    address: str = "127.0.0.1",
    timeout_s: float = 10.0,
) -> tuple[int, bytes]:
    """Sends one request on a new connection and returns the status and the body.

    Raises:
      HttpFailedError: No complete response arrived. `timeout_s` limits each read, not the whole
        request.
    """
    conn = http.client.HTTPConnection(address, port, timeout=timeout_s)
    try:
        conn.request(method, path, body=body, headers={"Content-Type": "application/json"})
        response = conn.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as exc:
        raise HttpFailedError(f"{method} {address}:{port}{path}: {exc!r}") from exc
    finally:
        conn.close()


def http_json(
    method: str,
    port: int,
    path: str,
    body: Any = None,
    *,
    address: str = "127.0.0.1",
    timeout_s: float = 10.0,
) -> tuple[int, Any]:
    """Sends one request with a JSON body; a response that is not JSON is returned as text."""
    request_body = b"" if body is None else json.dumps(body).encode()
    status, response_body = http_bytes(
        method, port, path, request_body, address=address, timeout_s=timeout_s
    )
    try:
        return status, json.loads(response_body)
    except ValueError:
        return status, response_body.decode(errors="replace")
