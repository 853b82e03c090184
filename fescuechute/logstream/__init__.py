"""Ordered prefix of one log stream."""

from __future__ import annotations

from typing import Any


class StreamView:
    """Records of one stream from `first` on."""

    def __init__(self, stream: str):
        self.first = 0
        self.next_offset = 0
        self._records: list[dict[str, Any]] = []

    def apply(self, first: int, records: list[dict[str, Any]], oldest: int) -> list[dict[str, Any]]:
        """Adds records that follow without a gap and returns the new ones."""
        if not self._records and oldest > self.next_offset:
            self.first = self.next_offset = oldest
        fresh = [r for r in records if r["offset"] >= self.next_offset]
        if not fresh or fresh[0]["offset"] != self.next_offset:
            return []
        self._records += fresh
        self.next_offset = fresh[-1]["offset"] + 1
        return fresh

    def since(self, offset: int, limit: int) -> list[dict[str, Any]]:
        """Returns records from an offset on."""
        return [r for r in self._records if r["offset"] >= offset][:limit]
