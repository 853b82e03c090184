"""Estimation of the service rate."""

from __future__ import annotations


class RateEstimator:
    """Exponentially weighted average of the service rate, in tokens per second.

    Only time with a backlog counts. While nothing waits, the rate of service shows the demand and
    not the capacity.

    Args:
      half_life_s: Seconds of backlog after which an observation counts half.
      initial_rate: Tokens per second that are returned until enough was observed.
    """

    def __init__(self, half_life_s: float = 10.0, initial_rate: float = 0.0):
        self._half_life_s = half_life_s
        self._initial_rate = initial_rate
        #: Weighted tokens served, and weighted seconds, with a backlog.
        self._tokens = 0.0
        self._backlogged_s = 0.0
        #: Unix seconds of the last observation.
        self._observed_at: float | None = None
        self._backlogged = False

    def observe(self, now: float, tokens: float, backlogged: bool) -> None:
        """Adds an observation.

        Args:
          now: Unix seconds.
          tokens: Tokens served since the last call.
          backlogged: Whether items wait from now until the next call.
        """
        if self._observed_at is not None:
            elapsed = max(0.0, now - self._observed_at)
            decay = 0.5 ** (elapsed / self._half_life_s) if self._backlogged else 1.0
            self._tokens *= decay
            self._backlogged_s *= decay
            if self._backlogged:
                self._backlogged_s += elapsed
                self._tokens += tokens
        self._observed_at = now
        self._backlogged = backlogged

    def rate(self, now: float) -> float:
        """Returns tokens per second, or the initial rate while too little was observed."""
        backlogged_s = self._backlogged_s
        if self._backlogged and self._observed_at is not None:
            # A backlog that is not served lowers the rate before the next observation.
            backlogged_s += max(0.0, now - self._observed_at)
        # A sample shorter than a tenth of the half-life is dominated by single requests.
        if backlogged_s < 0.1 * self._half_life_s:
            return self._initial_rate
        return self._tokens / backlogged_s
