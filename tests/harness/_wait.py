"""Waiting for conditions with a deadline."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

#: Seconds between two looks at a condition.
POLL_S = 0.01


def poll(look: Callable[[], T], deadline_s: float) -> T:
    """Calls `look` until it returns something true or the time is up; returns its last value."""
    deadline = time.monotonic() + deadline_s
    while True:
        value = look()
        if value or time.monotonic() >= deadline:
            return value
        time.sleep(POLL_S)


def wait_until(condition: Callable[[], T], deadline_s: float, what: str) -> T:
    """Waits until a condition holds.

    Args:
      condition: Holds when it returns something true. What it raises ends the wait.
      deadline_s: Seconds from now.
      what: Names the condition in the failure message.

    Returns:
      What the condition returned.

    Raises:
      AssertionError: The condition did not hold in time.
    """
    started = time.monotonic()
    value = poll(condition, deadline_s)
    waited = time.monotonic() - started
    assert value, f"{what}: not within {deadline_s} s (waited {waited:.2f} s, last value {value!r})"
    return value
