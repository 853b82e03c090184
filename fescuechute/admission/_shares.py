"""Protected shares of ranks."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class _HasLength(Protocol):
    @property
    def length(self) -> int:
        """Number of waiting items."""


class ShareAccount:
    """Decides which rank is served next, by credit and urgency.

    Whenever an item is served, each rank with waiting items is credited its protected share of the
    item's cost, and the item's rank is charged the cost. The most urgent rank with credit is served
    first; if no rank has credit, it is the most urgent one with waiting items. In any interval in
    which a rank always has waiting items, it thus receives at least its share of the cost served,
    less a few items of the largest size. The share therefore holds over every sliding window.

    A rank without waiting items loses its credit, so that it cannot save up for a burst. It keeps
    its debt and works it off meanwhile. An item that is served while no more urgent rank has
    waiting items uses spare capacity: its charge uses up credit but adds no debt.

    Args:
      shares: Protected shares of the ranks, most urgent first.
    """

    def __init__(self, shares: Sequence[float]):
        self._shares = tuple(shares)
        #: Tokens by rank, negative for a debt.
        self._credit = [0.0] * len(self._shares)

    def next_rank(self, waiting: Sequence[_HasLength]) -> int | None:
        """Returns the index of the rank to serve, or None if nothing waits."""
        most_urgent = None
        for index, items in enumerate(waiting):
            if not items.length:
                continue
            if self._credit[index] > 0:
                return index
            if most_urgent is None:
                most_urgent = index
        return most_urgent

    def charge(self, rank: int, cost: float, waiting: Sequence[_HasLength]) -> bool:
        """Accounts for an item that is served.

        Args:
          rank: Index of the item's rank.
          cost: Tokens.
          waiting: Waiting items by rank, including the served one.

        Returns:
          Whether the rank was charged the full cost.
        """
        self._add_credit(cost, waiting)
        if any(items.length for items in waiting[:rank]):
            self._credit[rank] -= cost
            return True
        self._credit[rank] = max(min(0.0, self._credit[rank]), self._credit[rank] - cost)
        return False

    def correct(
        self, rank: int, excess: float, charged: bool, waiting: Sequence[_HasLength]
    ) -> None:
        """Accounts for the difference between the usage of an item and its cost.

        Args:
          rank: Index of the item's rank.
          excess: Tokens used less the cost; may be negative.
          charged: Result of `charge` for the item.
          waiting: Waiting items by rank at present.
        """
        own_credit = self._credit[rank]
        self._add_credit(excess, waiting)
        if not charged:
            self._credit[rank] = own_credit
            return
        self._credit[rank] -= excess
        if not waiting[rank].length:
            self.drop_credit(rank)

    def _add_credit(self, cost: float, waiting: Sequence[_HasLength]) -> None:
        for index, share in enumerate(self._shares):
            credit = self._credit[index] + share * cost
            self._credit[index] = credit if waiting[index].length else min(0.0, credit)

    def drop_credit(self, rank: int) -> None:
        """Drops the credit of a rank that has no more waiting items; a debt stays."""
        self._credit[rank] = min(0.0, self._credit[rank])
