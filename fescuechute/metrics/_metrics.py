"""Metrics over the statsd package."""

from __future__ import annotations

import re

import statsd

from fescuechute.checks import Address

#: Characters with a meaning in the statsd protocol, and those that cannot be sent as ASCII.
_RESERVED = re.compile(r"[^A-Za-z0-9_.\-]")


class Metrics:
    """Sends metrics by UDP and keeps totals for the status page.

    Metrics are not worth a failed request: nothing here raises, and sending does not wait.

    Attributes:
      totals: Counter totals and last gauge values by name. A timing `t` is kept as `t.count` and
        `t.sum_ms`.
    """

    def __init__(self, address: Address | None, prefix: str):
        """Opens the socket.

        Args:
          address: Receiver of the datagrams, or None to keep totals only.
          prefix: Put before each name that is sent, not before names in `totals`.
        """
        self.totals: dict[str, float] = {}
        self._client = _open(address, prefix)

    def count(self, name: str, n: int = 1) -> None:
        """Adds n to a counter."""
        self._add(name, n)
        if self._client is not None:
            self._client.incr(_RESERVED.sub("_", name), n)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.totals[name] = value
        if self._client is not None:
            self._client.gauge(_RESERVED.sub("_", name), value)

    def timing(self, name: str, ms: float) -> None:
        """Records a duration in milliseconds."""
        self._add(f"{name}.count", 1)
        self._add(f"{name}.sum_ms", ms)
        if self._client is not None:
            self._client.timing(_RESERVED.sub("_", name), ms)

    def close(self) -> None:
        """Closes the socket; later calls keep totals only."""
        client, self._client = self._client, None
        if client is not None:
            client.close()

    def _add(self, name: str, n: float) -> None:
        self.totals[name] = self.totals.get(name, 0) + n


class _Client(statsd.StatsClient):
    """A client whose socket never waits; a full send buffer drops the datagram."""

    def __init__(self, address: Address, prefix: str):
        super().__init__(address.ip, address.port, prefix, ipv6=":" in address.ip)
        self._sock.setblocking(False)


def _open(address: Address | None, prefix: str) -> _Client | None:
    if address is None:
        return None
    try:
        return _Client(address, prefix)
    except OSError:
        # No socket, or no such address family on this VM. Totals stay available.
        return None
