"""Collection of the problems of one input."""

from __future__ import annotations

import json
from typing import Any

from fescuechute.errors import Problem

#: Returned by a check instead of a value when it has recorded a problem.
INVALID: Any = object()

#: Longer values are truncated in messages.
_MAX_SHOWN_CHARS = 60


class Findings:
    """Collects the problems of one input, in the order in which they are found.

    Attributes:
      file: Path or other name of the input, used in the problems.
      problems: Problems recorded so far.
    """

    def __init__(self, file: str):
        self.file = file
        self.problems: list[Problem] = []

    def add(self, key: str, found: str, remedy: str) -> Any:
        """Records a problem.

        Args:
          key: Dotted key of the value, or an empty string for the whole input.
          found: What was found, as one sentence.
          remedy: How to correct it, as one sentence.

        Returns:
          `INVALID`.
        """
        self.problems.append(Problem(self.file, key, found, remedy))
        return INVALID


def describe(value: object) -> str:
    """Describes a decoded value by its type, and a scalar also by its value, for messages."""
    match value:
        case bool():
            return f"the boolean {str(value).lower()}"
        case int() | float():
            return f"the number {value}"
        case str():
            return f"the text {json.dumps(_truncate(value), ensure_ascii=False)}"
        case dict():
            return "a table"
        case list() | tuple():
            return "a list"
        case None:
            return "null"
        case _:
            return f"a {type(value).__name__} ({_truncate(str(value))})"


def _truncate(text: str) -> str:
    return text if len(text) <= _MAX_SHOWN_CHARS else text[:_MAX_SHOWN_CHARS] + "..."
