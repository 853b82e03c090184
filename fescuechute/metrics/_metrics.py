"""Metrics client based on the statsd package."""

from __future__ import annotations

import re

import statsd

from fescuechute.checks import Address

#: All characters that are reserved in the statsd protocol or not ASCII; names have them replaced.
_RESERVED_CHARACTERS = re.compile(r"[^A-Za-z0-9_.\-]")


class Metrics:
    """Sends metrics by UDP and keeps totals for the status page.

    Metrics must not fail or delay requests, so no method raises or blocks.

    Attributes:
      totals: Counter totals and latest gauge values by name. A timing `t` is stored as `t.count` and
        `t.sum_ms`.
    """

    def __init__(self, address: Address | None, prefix: str):
        """Opens the socket.

        Args:
          address: Address of the statsd server, or None to keep totals only.
          prefix: Prefix of the names that are sent, but not of the names in `totals`.
        """
        self.totals: dict[str, float] = {}
        self._client = _open_client(address, prefix)

    def count(self, name: str, n: int = 1) -> None:
        """Increments a counter by `n`."""
        self._add(name, n)
        if self._client is not None:
            self._client.incr(_RESERVED_CHARACTERS.sub("_", name), n)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.totals[name] = value
        if self._client is not None:
            self._client.gauge(_RESERVED_CHARACTERS.sub("_", name), value)

    def timing(self, name: str, ms: float) -> None:
        """Records a duration in milliseconds."""
        self._add(f"{name}.count", 1)
        self._add(f"{name}.sum_ms", ms)
        if self._client is not None:
            self._client.timing(_RESERVED_CHARACTERS.sub("_", name), ms)

    def close(self) -> None:
        """Closes the socket; later calls keep totals only."""
        client, self._client = self._client, None
        if client is not None:
            client.close()

    def _add(self, name: str, n: float) -> None:
        self.totals[name] = self.totals.get(name, 0) + n


class _Client(statsd.StatsClient):
    """Client with a non-blocking socket; datagrams are dropped when the send buffer is full."""

    def __init__(self, address: Address, prefix: str):
        super().__init__(address.ip, address.port, prefix, ipv6=":" in address.ip)
        self._sock.setblocking(False)


def _open_client(address: Address | None, prefix: str) -> _Client | None:
    if address is None:
        return None
    try:
        return _Client(address, prefix)
    except OSError:
        # No free file descriptor, or the VM lacks the address family. Totals remain available.
        return None
