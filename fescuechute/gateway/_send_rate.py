"""Rate at which this gateway sends requests to a service."""

from __future__ import annotations

import math

#: Time constant of the moving average, in seconds.
TIME_CONSTANT_S = 2.0


class SendRate:
    """Exponentially weighted moving average of a rate of events."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._updated_at = 0.0

    def record(self, now: float) -> None:
        """Records an event at a time in unix seconds."""
        self._rate_per_s = self.per_s(now) + 1 / TIME_CONSTANT_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Returns the rate in events per second."""
        age_s = max(0.0, now - self._updated_at)
        return self._rate_per_s * math.exp(-age_s / TIME_CONSTANT_S)
