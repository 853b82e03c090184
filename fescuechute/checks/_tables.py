"""Checks of whole tables against attrs classes."""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

from fescuechute.checks._findings import INVALID, Findings, describe
from fescuechute.checks._kinds import Check

T = TypeVar("T")

_METADATA_KEY = "fescuechute.check"

#: Unit suffixes of keys with their names, longest suffix first, so that `_bytes_s` is not
#: taken for `_s`.
_UNITS = {
    "_bytes_s": "bytes a second",
    "_kbit_s": "kilobits a second",
    "_mbit_s": "megabits a second",
    "_seconds": "seconds",
    "_minutes": "minutes",
    "_bytes": "bytes",
    "_hours": "hours",
    "_min": "minutes",
    "_sec": "seconds",
    "_kib": "KiB",
    "_mib": "MiB",
    "_kb": "kB",
    "_mb": "MB",
    "_ms": "milliseconds",
    "_us": "microseconds",
    "_ns": "nanoseconds",
    "_s": "seconds",
    "_h": "hours",
}


def checked(check: Check) -> dict[str, Check]:
    """Returns the metadata of an attrs field that is read from a table with a check."""
    return {_METADATA_KEY: check}


def read_table(cls: type[T], data: object, key: str, findings: Findings) -> T:
    """Reads a mapping into an attrs class and gathers all problems.

    Args:
      cls: Class whose fields have metadata from `checked`.
      data: Decoded TOML or JSON.
      key: Dotted key of the table, empty for the root.
      findings: Receives the problems.

    Returns:
      The instance, or `INVALID` when at least one problem was added.
    """
    if not isinstance(data, Mapping):
        return findings.add(key, f"Found {describe(data)}.", "Write a table of keys and values.")
    checks = _checks(cls)
    before = len(findings.problems)
    for name in data:
        if name not in checks:
            _add_unknown(str(name), key, tuple(checks), findings)
    values = {}
    for name, (check, required) in checks.items():
        if name in data:
            values[name] = check.read(data[name], _join(key, name), findings)
        elif isinstance(check, Table) and required:
            values[name] = check.read({}, _join(key, name), findings)
        elif required:
            where = f" to [{key}]" if key else ""
            findings.add(_join(key, name), "The key is missing.", f"Add `{name}`{where}.")
    return INVALID if len(findings.problems) > before else cls(**values)


@attrs.frozen
class Table:
    """A nested table. A missing one that has required keys reports each of them."""

    cls: type

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns an instance of the class."""
        return read_table(self.cls, value, key, findings)


@attrs.frozen
class Tables:
    """A list of tables with distinct names, read as a tuple."""

    cls: type
    #: Fields that together must differ between the tables; empty when repetition is allowed.
    unique: tuple[str, ...] = ()
    allow_empty: bool = True

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns a tuple of instances of the class."""
        if not isinstance(value, list | tuple):
            return findings.add(key, f"Found {describe(value)}.", "Write a list of tables.")
        if not value and not self.allow_empty:
            return findings.add(key, "Found an empty list.", "Write at least one table.")
        before = len(findings.problems)
        seen: dict[tuple[Any, ...], str] = {}
        rows = []
        for i, item in enumerate(value):
            at = f"{key}[{i}]"
            row: Any = read_table(self.cls, item, at, findings)
            rows.append(row)
            if row is INVALID or not self.unique:
                continue
            identity = tuple(getattr(row, field) for field in self.unique)
            if identity in seen:
                found = f"Found {' '.join(identity)} here and in {seen[identity]}."
                findings.add(at, found, "Keep one of the two.")
            seen.setdefault(identity, at)
        return INVALID if len(findings.problems) > before else tuple(rows)


def _checks(cls: type) -> dict[str, tuple[Check, bool]]:
    return {
        field.name: (field.metadata[_METADATA_KEY], field.default is attrs.NOTHING)
        for field in attrs.fields(cls)
        if _METADATA_KEY in field.metadata
    }


def _join(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


def _add_unknown(name: str, key: str, known: tuple[str, ...], findings: Findings) -> None:
    stem, unit = _split_unit(name)
    for candidate in known:
        known_stem, known_unit = _split_unit(candidate)
        if known_unit and known_stem == stem and known_unit != unit:
            found = f"Found `{name}`" + (f" in {unit}." if unit else " without a unit.")
            remedy = f"Write `{candidate}`; it takes {known_unit}."
            findings.add(_join(key, name), found, remedy)
            return
    nearest = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    remedy = (
        f"Did you mean `{nearest[0]}`?" if nearest else f"Remove it; known: {', '.join(known)}."
    )
    findings.add(_join(key, name), f"There is no key `{name}` here.", remedy)


def _split_unit(name: str) -> tuple[str, str]:
    for suffix, unit in _UNITS.items():
        if name.endswith(suffix):
            return name.removesuffix(suffix), unit
    return name, ""
