"""Collected problems of one input."""

from __future__ import annotations

import json
from typing import Any

from fescuechute.errors import Problem

#: Returned by a check in place of a value after it has added a problem.
INVALID: Any = object()

#: Longer values are cut in messages.
_MAX_SHOWN = 60


class Findings:
    """Problems of one input, in the order in which they were found."""

    def __init__(self, file: str):
        self.file = file
        self.problems: list[Problem] = []

    def add(self, key: str, found: str, remedy: str) -> Any:
        """Records a problem and returns `INVALID`."""
        self.problems.append(Problem(self.file, key, found, remedy))
        return INVALID


def describe(value: object) -> str:
    """Returns the type and the text of a decoded value, for messages."""
    match value:
        case bool():
            return f"the boolean {str(value).lower()}"
        case int() | float():
            return f"the number {value}"
        case str():
            return f"the text {json.dumps(_cut(value), ensure_ascii=False)}"
        case dict():
            return "a table"
        case list() | tuple():
            return "a list"
        case None:
            return "null"
        case _:
            return f"a {type(value).__name__} ({_cut(str(value))})"


def _cut(text: str) -> str:
    return text if len(text) <= _MAX_SHOWN else text[:_MAX_SHOWN] + "..."
