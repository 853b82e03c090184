"""Counters of a process."""

from __future__ import annotations

from collections import Counter


class Metrics:
    """Totals in memory."""

    def __init__(self, address: tuple[str, int] | None, prefix: str):
        self.totals: Counter[str] = Counter()

    def count(self, name: str, n: int = 1) -> None:
        """Adds to a counter."""
        self.totals[name] += n
