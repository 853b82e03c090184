"""Clients that keep their connections open until the process at the other end is gone."""

from __future__ import annotations

import contextlib
import http.client
import random
import threading
import time

from soak._operator import Operator
from soak._records import Attempt
from tests.platform.deployment import HOST

_PORT = 18005
_TIMEOUT_S = 8.0
_DEADLINE_MS = 4000
#: Seconds between the end of one request and the next one.
_PAUSE_S = (0.02, 0.15)
_PATHS = ("/a/x", "/a/x", "/once/x", "/once/x", "/s/stream", "/lm/stream")
#: Share of the requests that carry a key which was taken away.
_REVOKED_SHARE = 0.25


def send(conn: http.client.HTTPConnection, attempt: Attempt) -> bool:
    """Sends a request and records what came back; returns whether the connection can be used again."""
    headers = {
        "Host": HOST, "X-Fescuechute-Request-Id": attempt.id,
        "X-Fescuechute-Deadline-Ms": str(_DEADLINE_MS), "Authorization": f"Token {attempt.key}",
    }  # fmt: skip
    if attempt.path.startswith("/lm/"):
        headers |= {"X-Fescuechute-Model": "m", "X-Fescuechute-Token-Count": "10,15"}
    try:
        conn.request("POST", attempt.path, body=attempt.body, headers=headers)
        response = conn.getresponse()
        attempt.status, attempt.headers = response.status, dict(response.getheaders())
        attempt.answer = response.read()
        attempt.ended = True
    except (OSError, http.client.HTTPException):
        conn.close()
    attempt.ended_at = time.time()
    # http.client forgets the socket after a response with `Connection: close`.
    return attempt.ended and conn.sock is not None


class Client:
    """One client, which moves to another gateway when its connection has ended."""

    def __init__(self, name: str, gateways: dict[str, str], operator: Operator, seed: str):
        self._name = name
        self._gateways = gateways
        self._operator = operator
        self._rng = random.Random(seed)
        self.attempts: list[Attempt] = []
        self._ends = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def close(self) -> None:
        self._ends.set()
        self._thread.join(2 * _TIMEOUT_S)

    def _run(self) -> None:
        while not self._ends.is_set():
            gateway = self._rng.choice(list(self._gateways))
            conn = http.client.HTTPConnection(self._gateways[gateway], _PORT, timeout=_TIMEOUT_S)
            with contextlib.closing(conn):
                while not self._ends.wait(self._rng.uniform(*_PAUSE_S)):
                    attempt = self._draw(gateway)
                    self.attempts.append(attempt)
                    if not send(conn, attempt):
                        break

    def _draw(self, gateway: str) -> Attempt:
        written = self._operator.written
        revoked = list(written.revoked)[-3:]
        draws_revoked = revoked and self._rng.random() < _REVOKED_SHARE
        key = self._rng.choice(revoked if draws_revoked else written.keys)
        id_ = f"{self._name}-{len(self.attempts)}"
        path = self._rng.choice(_PATHS)
        return Attempt(id_, path, key, gateway, time.time(), f"body of {id_}".encode())
