"""Time of the first read of a process that has no records yet.

Load pattern: all processes of a region start together, after a loss of power. Copies from the store for each of
them would fill the link to it for many seconds, and none would be ready before most are. A few read from the
store, and the others from these.
"""

from __future__ import annotations

from random import Random


class FirstRead:
    """Delays the first read until a relay is known, or until a time that differs between processes.

    Args:
      started_at: Unix seconds at which the process started.
      wait_s: Shortest time from the start until the store is read without a relay.
      spread_s: Longest random time that is added.
      rng: Seeded random number generator.
    """

    def __init__(self, started_at: float, wait_s: float, spread_s: float, rng: Random):
        self._due_at = started_at + wait_s + rng.uniform(0.0, spread_s)

    def is_due(self, now: float, has_relay: bool) -> bool:
        """Returns whether to read, given whether a relay of the region is known."""
        return has_relay or now >= self._due_at
