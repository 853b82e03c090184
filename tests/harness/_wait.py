"""Polls conditions until a deadline."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

#: Seconds between two evaluations of a condition.
POLL_S = 0.01


def poll(condition: Callable[[], T], deadline_s: float) -> T:
    """Calls `condition` until it returns a true value or time runs out; returns the last value."""
    deadline = time.monotonic() + deadline_s
    while True:
        value = condition()
        if value or time.monotonic() >= deadline:
            return value
        time.sleep(POLL_S)


def wait_until(condition: Callable[[], T], deadline_s: float, what: str) -> T:
    """Waits until a condition returns a true value.

    Args:
      condition: Called repeatedly; an exception that it raises is propagated.
      deadline_s: Maximum wait in seconds.
      what: Name of the condition for the failure message.

    Returns:
      The true value.

    Raises:
      AssertionError: The condition returned no true value in time.
    """
    started = time.monotonic()
    value = poll(condition, deadline_s)
    waited = time.monotonic() - started
    assert value, f"{what}: not within {deadline_s} s (waited {waited:.2f} s, last value {value!r})"
    return value
