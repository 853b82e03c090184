"""Account of the memory that a process holds for its peers; see docs/design/memory.md."""

from __future__ import annotations

from collections import Counter

#: Share of the free bytes that one connection may hold.
_MAX_SHARE = 0.5


class MemoryAccount:
    """Counts the bytes that a process holds for others, by holder such as "bodies".

    One connection may hold half of what the others leave free (dynamic threshold), so neither one
    connection nor many of them together take the memory of the others.

    Args:
      limit_bytes: Limit on the bytes of all holders.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self._used: Counter[str] = Counter()

    @property
    def used_bytes(self) -> int:
        """Bytes of all holders."""
        return self._used.total()

    def used(self, holder: str) -> int:
        """Returns the bytes of one holder."""
        return self._used[holder]

    def allowed_bytes(self, held_bytes: int = 0) -> float:
        """Returns the bytes that a connection may hold in total, given those that it holds."""
        return _MAX_SHARE * (self.limit_bytes - (self.used_bytes - held_bytes))

    def try_reserve(self, holder: str, size: int, held_bytes: int = 0) -> bool:
        """Counts `size` more bytes of a connection; returns False, and counts nothing, beyond its share.

        Args:
          holder: Kind of the bytes.
          size: Bytes to add.
          held_bytes: Bytes that the connection already holds.
        """
        if held_bytes + size > self.allowed_bytes(held_bytes):
            return False
        self._used[holder] += size
        return True

    def release(self, holder: str, size: int) -> None:
        """Returns bytes that were reserved."""
        self._used[holder] -= size

    def set_used(self, holder: str, size: int) -> None:
        """Replaces the bytes of a holder that measures them itself."""
        self._used[holder] = size
