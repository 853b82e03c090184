"""Retry budget and backoff."""

from __future__ import annotations

from random import Random

#: Bounds of the delay before an attempt, in seconds.
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0


class RetryBudget:
    """Token bucket that limits retries to a share of the first attempts.

    A small floor refills with time, so that a quiet system can retry at all. The capacity bounds
    the burst of retries after a failure.
    """

    def __init__(self, share: float = 0.1, floor_per_s: float = 0.1, capacity: float = 20.0):
        self._share = share
        self._floor_per_s = floor_per_s
        self._capacity = capacity
        self._tokens = min(1.0, capacity)
        self._at: float | None = None

    def set_capacity(self, capacity: float) -> None:
        """Changes the most repeats that may be saved up."""
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def first_attempt(self) -> None:
        """Accounts for the first attempt of a request."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def try_spend(self, now: float) -> bool:
        """Takes one retry from the budget; False when it is used up."""
        self._refill(now)
        # The tolerance makes ten shares of a tenth one whole token in floating point.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def _refill(self, now: float) -> None:
        # The floor fills to one token only; more would let a quiet hour pay for a storm.
        if self._at is not None and now > self._at and self._tokens < 1.0:
            self._tokens = min(1.0, self._tokens + (now - self._at) * self._floor_per_s)
        self._at = now if self._at is None else max(self._at, now)


def backoff_at(
    attempt: int,
    now: float,
    rng: Random,
    base_s: float = BACKOFF_MIN_S,
    cap_s: float = BACKOFF_MAX_S,
) -> float:
    """Returns when the next attempt may start, in unix seconds.

    Args:
      attempt: Number of attempts made so far, 1 or more.
      now: Unix seconds.
      rng: Seeded source of jitter, which keeps callers that failed together from returning
        together.
      base_s: Longest delay after the first attempt, in seconds; doubles with each further one.
      cap_s: Longest delay of all, in seconds.
    """
    longest = min(cap_s, base_s * 2.0 ** min(attempt - 1, 30))
    return now + longest * rng.uniform(0.5, 1.0)
