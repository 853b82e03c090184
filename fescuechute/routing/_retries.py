"""Retry budget, and exponential backoff with jitter."""

from __future__ import annotations

from random import Random

#: Longest delay after the first attempt, in seconds.
BACKOFF_BASE_S = 0.05
#: Upper limit on the delay after any attempt, in seconds.
BACKOFF_CAP_S = 2.0


class RetryBudget:
    """Token bucket that limits retries to a share of the first attempts.

    The budget also refills to one token over time, so that a request can be retried when there is
    little traffic. The capacity bounds the burst of retries after a failure.

    Args:
      retry_share: Tokens added by each first attempt.
      min_retries_per_s: Tokens added per second while less than one is left.
      capacity: Limit on the number of tokens.
    """

    def __init__(
        self, retry_share: float = 0.1, min_retries_per_s: float = 0.1, capacity: float = 20.0
    ):
        self._retry_share = retry_share
        self._min_retries_per_s = min_retries_per_s
        self._capacity = capacity
        self._tokens = min(1.0, capacity)
        self._refilled_at: float | None = None

    def set_capacity(self, capacity: float) -> None:
        """Changes the limit on the number of tokens and discards the excess."""
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def record_first_attempt(self) -> None:
        """Adds the share of a first attempt to the budget."""
        self._tokens = min(self._capacity, self._tokens + self._retry_share)

    def try_spend(self, now: float) -> bool:
        """Takes one token for a retry; returns False if less than one is left."""
        self._refill(now)
        # The tolerance absorbs rounding: ten shares of 0.1 must add up to one token.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def _refill(self, now: float) -> None:
        # Time refills the budget to one token only; idle time must not fund a burst of retries.
        if self._refilled_at is not None and now > self._refilled_at and self._tokens < 1.0:
            self._tokens = min(
                1.0, self._tokens + (now - self._refilled_at) * self._min_retries_per_s
            )
        self._refilled_at = now if self._refilled_at is None else max(self._refilled_at, now)


def next_attempt_at(
    attempt: int,
    now: float,
    rng: Random,
    base_s: float = BACKOFF_BASE_S,
    cap_s: float = BACKOFF_CAP_S,
) -> float:
    """Returns the unix seconds at which the next attempt may start.

    Args:
      attempt: Number of attempts made so far, at least 1.
      now: Unix seconds.
      rng: Seeded random number generator for the jitter, which spreads the retries of requests that
        failed at the same time.
      base_s: Longest delay after the first attempt, in seconds; doubled by each further attempt.
      cap_s: Upper limit on the delay, in seconds.
    """
    max_delay_s = min(cap_s, base_s * 2.0 ** min(attempt - 1, 30))
    return now + max_delay_s * rng.uniform(0.5, 1.0)
