"""HTTP status codes."""

from __future__ import annotations

from typing import TypeGuard


def is_final_status(value: object) -> TypeGuard[int]:
    """Returns whether a value is the status of a final response (RFC 9110 section 15): 200 to 599."""
    return type(value) is int and 200 <= value <= 599
