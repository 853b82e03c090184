"""Eras of the store: each return from a copy starts a new one, in which offsets are given out again."""

from __future__ import annotations

from collections.abc import Callable

import attrs

#: Largest era that is accepted, so that one malformed answer cannot make all later ones count as old.
MAX_ERA = 1 << 53
#: Seconds after a rise for which records without a rank are kept although the copy lacks their keys.
KEPT_S = 60.0


@attrs.frozen(order=True)
class Position:
    """Position of a record in a topic. Offsets of different eras cannot be compared."""

    era: int
    offset: int


class EraWatch:
    """The newest era that a process has seen, shared by all of its readers.

    Args:
      on_rise: Called with the era before a rise, the new era and the source that told of it.
    """

    def __init__(self, on_rise: Callable[[int, int, str], None] = lambda _from, _to, _source: None):
        self._on_rise = on_rise
        #: Newest era, None before the first observation.
        self.newest: int | None = None
        #: Unix seconds at which the newest era was first seen, minus infinity before any was.
        self.seen_at = float("-inf")
        #: Unix seconds at which the era was last seen to rise, minus infinity if never. What a process
        #: sees first is no rise.
        self.risen_at = float("-inf")

    @property
    def kept_until(self) -> float:
        """Unix seconds until which records without a rank are kept that the copy lacks."""
        return self.seen_at + KEPT_S

    def is_old(self, era: int) -> bool:
        """Returns whether a newer era is known."""
        return self.newest is not None and era < self.newest

    def observe(self, era: int, now: float, source: str = "") -> bool:
        """Notes the era of an answer or of a request; returns whether it is a rise.

        Args:
          era: The era.
          now: Unix seconds.
          source: Name of the source, for logs.
        """
        previous = self.newest
        if previous is not None and era <= previous:
            return False
        self.newest, self.seen_at = era, now
        if previous is None:
            return False
        self.risen_at = now
        self._on_rise(previous, era, source)
        return True
