"""Polls the VM list of the platform; the last list stays in use while the platform is down."""

from __future__ import annotations

from collections.abc import Callable

from fescuechute.membership import Directory
from fescuechute.net import Clock, HttpClient, HttpResult

#: Minimum seconds between polls. More frequent polls gain nothing: the list itself lags by more,
#: and links detect liveness sooner.
MIN_POLL_INTERVAL_S = 1.0
#: Bandwidth budget for polls in bytes per second. The list takes about 220 bytes per VM and is
#: always read whole, so a long list is polled less often. The budget of a node for all control
#: traffic is 23 KB/s.
POLL_BYTES_PER_S = 8_000


class VmListPoller:
    """Polls the VM list and applies it to the directory."""

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
        """Starts a poll if one is due."""
        if not self._in_flight and now >= self._next_poll_at:
            self._in_flight = True
            self._next_poll_at = now + MIN_POLL_INTERVAL_S
            self._http.call("GET", self._server, "/vms", self._on_list)

    def _on_list(self, result: HttpResult) -> None:
        self._in_flight = False
        body = result.json() if result.ok else None
        if not isinstance(body, dict) or not isinstance(body.get("vms"), list):
            self._count("vms.unavailable")
            return
        now = self._clock.now()
        self._next_poll_at = now + max(MIN_POLL_INTERVAL_S, len(result.body) / POLL_BYTES_PER_S)
        self._directory.apply_list(body["vms"], float(body.get("as_of", now)), now)
        self._on_change()
