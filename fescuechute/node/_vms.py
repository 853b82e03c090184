"""Polls the platform's VM list. The last list stays in use while the platform is silent."""

from __future__ import annotations

from collections.abc import Callable

from fescuechute.membership import Directory
from fescuechute.net import Clock, HttpClient, HttpResult

#: Seconds between polls. The list itself lags by more; links show liveness sooner.
POLL_EVERY_S = 1.0


class VmListPoller:
    """Keeps the directory up to date."""

    def __init__(
        self,
        server: tuple[str, int],
        http: HttpClient,
        directory: Directory,
        clock: Clock,
        on_change: Callable[[], None],
        count: Callable[[str], None],
    ):
        self._server = server
        self._http = http
        self._directory = directory
        self._clock = clock
        self._on_change = on_change
        self._count = count
        self._next_poll_at = 0.0
        self._in_flight = False

    def tick(self, now: float) -> None:
        """Starts a poll when one is due."""
        if not self._in_flight and now >= self._next_poll_at:
            self._in_flight = True
            self._next_poll_at = now + POLL_EVERY_S
            self._http.call("GET", self._server, "/vms", self._on_list)

    def _on_list(self, result: HttpResult) -> None:
        self._in_flight = False
        body = result.json() if result.ok else None
        if not isinstance(body, dict) or not isinstance(body.get("vms"), list):
            self._count("vms.unavailable")
            return
        now = self._clock.now()
        self._directory.apply_list(body["vms"], float(body.get("as_of", now)), now)
        self._on_change()
