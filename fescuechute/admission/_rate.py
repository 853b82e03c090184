"""Measured service rate."""

from __future__ import annotations


class RateEstimator:
    """Service rate in tokens per second, exponentially weighted.

    Only time with a backlog counts. While nothing waits, the served rate shows the demand and says
    nothing about the capacity.
    """

    def __init__(self, half_life_s: float = 10.0, initial: float = 0.0):
        self._half_life_s = half_life_s
        self._initial = initial
        self._tokens = 0.0
        self._busy_s = 0.0
        self._at: float | None = None
        self._backlogged = False

    def observe(self, now: float, tokens: float, backlogged: bool) -> None:
        """Adds tokens served since the last call; `backlogged` holds from now on."""
        if self._at is not None:
            elapsed = max(0.0, now - self._at)
            decay = 0.5 ** (elapsed / self._half_life_s) if self._backlogged else 1.0
            self._tokens *= decay
            self._busy_s *= decay
            if self._backlogged:
                self._busy_s += elapsed
                self._tokens += tokens
        self._at = now
        self._backlogged = backlogged

    def rate(self, now: float) -> float:
        """Returns tokens per second, or the initial value while too little was measured."""
        busy = self._busy_s
        if self._backlogged and self._at is not None:
            # A backlog without any service is a sign of a low rate.
            busy += max(0.0, now - self._at)
        # Less than a tenth of the half-life is dominated by single requests.
        if busy < 0.1 * self._half_life_s:
            return self._initial
        return self._tokens / busy
