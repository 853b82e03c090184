"""Clocks, injected wherever the time is needed so that tests can control it."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of unix time."""

    def now(self) -> float:
        """Returns unix seconds."""


class SystemClock:
    """Unix time that never steps while the process runs.

    The wall clock is read once and then advanced by CLOCK_BOOTTIME. Otherwise, a step of the wall
    clock would expire or extend all deadlines at once. CLOCK_MONOTONIC is unsuitable because it
    stops while the VM is suspended, so leases and keys would stay valid past their expiry.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Returns unix seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) + self._offset


class ManualClock:
    """A clock that stands still until a test advances it."""

    def __init__(self, now: float = 1_000_000.0):
        self.time = now

    def now(self) -> float:
        """Returns the current manual time in unix seconds."""
        return self.time

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self.time += seconds
