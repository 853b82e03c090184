"""The clock, passed to whatever needs the time, so that tests can set it."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of unix time."""

    def now(self) -> float:
        """Returns unix seconds."""


class SystemClock:
    """Unix time that does not step back while the process runs.

    The wall clock is read once and advanced with the boot-time clock. A step of the wall clock
    would otherwise expire or revive every deadline at once. The monotonic clock would not do: it
    stands still while the VM is suspended, and leases and keys would outlive their dates.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Returns unix seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) + self._offset


class ManualClock:
    """A clock that a test moves."""

    def __init__(self, now: float = 1_000_000.0):
        self.time = now

    def now(self) -> float:
        """Returns the time that was set, in unix seconds."""
        return self.time

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self.time += seconds
