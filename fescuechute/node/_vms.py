"""Polls the platform's VM list. The last list stays in use while the platform is silent."""

from __future__ import annotations

from collections.abc import Callable

from fescuechute.membership import Directory
from fescuechute.net import Clock, HttpClient, HttpResult

#: Shortest time between polls in seconds. The list lags by more, and links show liveness sooner.
POLL_EVERY_S = 1.0
#: Bytes a second that polls may take. The list has about 220 bytes for each VM and is always read
#: whole, so a long list is read less often; a node may spend 23 KB/s on control in all.
POLL_BYTES_S = 8_000


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
        self._next_poll_at = now + max(POLL_EVERY_S, len(result.body) / POLL_BYTES_S)
        self._directory.apply_list(body["vms"], float(body.get("as_of", now)), now)
        self._on_change()
