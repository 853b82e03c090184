"""Checks of the values of message fields against their annotations."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, get_args, get_origin

Check = Callable[[object], bool]


def make_check(annotation: Any) -> Check:
    """Returns a function that tells whether a value, with all of its items, has an annotated type.

    Args:
      annotation: `int`, `float`, `str`, `bytes`, `bool`, a `dict`, or a `tuple` of such types, with
        one item type and an ellipsis or with one type for each item. `Any` accepts everything.

    Raises:
      TypeError: If the annotation is of another kind.
    """
    if annotation is Any:
        return lambda _value: True
    if get_origin(annotation) is tuple:
        return _tuple_check(get_args(annotation))
    if get_origin(annotation) is dict:
        return lambda value: isinstance(value, dict)
    if annotation is float:
        return _is_finite_number
    if annotation is int:
        return lambda value: isinstance(value, int) and not isinstance(value, bool)
    if annotation in (str, bytes, bool):
        return lambda value: isinstance(value, annotation)
    raise TypeError(f"A message field cannot have the type {annotation!r}.")


def _is_finite_number(value: object) -> bool:
    # Infinity and NaN fail in arithmetic on integers, long after the message was received.
    return isinstance(value, float | int) and not isinstance(value, bool) and math.isfinite(value)


def _tuple_check(items: tuple[Any, ...]) -> Check:
    if len(items) == 2 and items[1] is Ellipsis:
        check = make_check(items[0])
        return lambda value: isinstance(value, tuple) and all(map(check, value))
    checks = tuple(make_check(item) for item in items)

    def check_row(value: object) -> bool:
        if not isinstance(value, tuple) or len(value) != len(checks):
            return False
        return all(check(item) for check, item in zip(checks, value, strict=True))

    return check_row
