"""Protected shares of ranks."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class _HasLength(Protocol):
    @property
    def length(self) -> int:
        """Number of waiting items."""


class ShareAccount:
    """Decides which rank is served next.

    Each rank earns its protected share of all cost that is served while it has work, and pays for
    what it is served. A rank with credit goes first; otherwise the most urgent rank with work does.
    Over any interval in which a rank has work it therefore receives at least its share of the cost
    served, less a few items of the largest size, so the share also holds over every sliding window.
    Credit is lost when the rank runs out of work: an idle rank cannot save up for a burst. Debt
    stays, and is worked off while the rank is idle. What a rank receives because no more urgent one
    has work is not held against it later.
    """

    def __init__(self, shares: Sequence[float]):
        self._shares = tuple(shares)
        self._credit = [0.0] * len(self._shares)

    def next_rank(self, waiting: Sequence[_HasLength]) -> int | None:
        """Returns the index of the rank to serve, or None when nothing waits."""
        first = None
        for index, work in enumerate(waiting):
            if not work.length:
                continue
            if self._credit[index] > 0:
                return index
            if first is None:
                first = index
        return first

    def served(self, rank: int, cost: float, waiting: Sequence[_HasLength]) -> bool:
        """Accounts for an item; `waiting` is the state before the item is removed.

        Returns:
          Whether the rank paid the whole cost.
        """
        self._earn(cost, waiting)
        if any(work.length for work in waiting[:rank]):
            self._credit[rank] -= cost
            return True
        self._credit[rank] = max(min(0.0, self._credit[rank]), self._credit[rank] - cost)
        return False

    def correct(self, rank: int, extra: float, paid: bool, waiting: Sequence[_HasLength]) -> None:
        """Accounts for the difference between what an item used and what was charged for it.

        Args:
          rank: Index of the item's rank.
          extra: Used less charged, in tokens.
          paid: What `served` returned for the item.
          waiting: The present state.
        """
        own = self._credit[rank]
        self._earn(extra, waiting)
        if not paid:
            self._credit[rank] = own
            return
        self._credit[rank] -= extra
        if not waiting[rank].length:
            self.idle(rank)

    def _earn(self, cost: float, waiting: Sequence[_HasLength]) -> None:
        for index, share in enumerate(self._shares):
            credit = self._credit[index] + share * cost
            self._credit[index] = credit if waiting[index].length else min(0.0, credit)

    def idle(self, rank: int) -> None:
        """Drops the credit of a rank that ran out of work."""
        self._credit[rank] = min(0.0, self._credit[rank])
