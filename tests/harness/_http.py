"""HTTP calls of tests, with the standard library only."""

from __future__ import annotations

import http.client
import json
from typing import Any


class HttpFailedError(Exception):
    """No complete answer arrived: refused, cut off, or too late."""


def http_bytes(
    method: str,
    port: int,
    path: str,
    body: bytes = b"",
    *,
    address: str = "127.0.0.1",
    timeout_s: float = 10.0,
) -> tuple[int, bytes]:
    """Makes one call on a connection of its own and returns status and body.

    Raises:
      HttpFailedError: No complete answer arrived. `timeout_s` bounds each read, not the whole call.
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
    """Makes one call with JSON bodies; an answer that is not JSON is returned as text."""
    sent = b"" if body is None else json.dumps(body).encode()
    status, received = http_bytes(method, port, path, sent, address=address, timeout_s=timeout_s)
    try:
        return status, json.loads(received)
    except ValueError:
        return status, received.decode(errors="replace")
