"""Validation of tables and their conversion to attrs classes."""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

from fescuechute.checks._findings import INVALID, Findings, describe
from fescuechute.checks._values import Check

T = TypeVar("T")

_METADATA_KEY = "fescuechute.check"

#: Unit by the suffix of a key. The first match is used, so a suffix such as `_bytes_s` comes before
#: any shorter one that it ends in, such as `_s`.
_UNIT_BY_SUFFIX = {
    "_bytes_s": "bytes per second",
    "_kbit_s": "kilobits per second",
    "_mbit_s": "megabits per second",
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
    """Returns metadata for an attrs field that is read from a table and validated by a check."""
    return {_METADATA_KEY: check}


def read_table(cls: type[T], data: object, key: str, findings: Findings) -> T:
    """Converts a mapping to an instance of an attrs class and collects all problems.

    Unknown keys are problems, and so are missing keys whose field has no default.

    Args:
      cls: Class whose fields have metadata from `checked`; fields without it are not read.
      data: Decoded TOML or JSON.
      key: Dotted key of the table, or an empty string for the root.
      findings: Collects the problems.

    Returns:
      The instance, or `INVALID` when at least one problem was found.
    """
    if not isinstance(data, Mapping):
        return findings.add(key, f"Found {describe(data)}.", "Write a table of keys and values.")
    checks = _field_checks(cls)
    problems_before = len(findings.problems)
    for name in data:
        if name not in checks:
            _report_unknown_key(str(name), key, tuple(checks), findings)
    values = {}
    for name, (check, required) in checks.items():
        if name in data:
            values[name] = check.read(data[name], _join_key(key, name), findings)
        elif isinstance(check, Table) and required:
            values[name] = check.read({}, _join_key(key, name), findings)
        elif required:
            to_table = f" to [{key}]" if key else ""
            findings.add(_join_key(key, name), "The key is missing.", f"Add `{name}`{to_table}.")
    return INVALID if len(findings.problems) > problems_before else cls(**values)


@attrs.frozen
class Table:
    """A nested table. When a required table is missing, each of its required keys is reported."""

    cls: type

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns an instance of the class."""
        return read_table(self.cls, value, key, findings)


@attrs.frozen
class Tables:
    """A list of tables, converted to a tuple of instances of one class."""

    cls: type
    #: Fields whose combined values must be unique in the list; empty when duplicates are allowed.
    unique: tuple[str, ...] = ()
    allow_empty: bool = True

    def read(self, value: object, key: str, findings: Findings) -> Any:
        """Returns a tuple of instances of the class."""
        if not isinstance(value, list | tuple):
            return findings.add(key, f"Found {describe(value)}.", "Write a list of tables.")
        if not value and not self.allow_empty:
            return findings.add(key, "Found an empty list.", "Write at least one table.")
        problems_before = len(findings.problems)
        seen: dict[tuple[Any, ...], str] = {}
        rows = []
        for i, item in enumerate(value):
            row_key = f"{key}[{i}]"
            row: Any = read_table(self.cls, item, row_key, findings)
            rows.append(row)
            if row is INVALID or not self.unique:
                continue
            unique_values = tuple(getattr(row, field) for field in self.unique)
            if unique_values in seen:
                found = f"Found {' '.join(unique_values)} here and in {seen[unique_values]}."
                findings.add(row_key, found, "Keep one of the two.")
            seen.setdefault(unique_values, row_key)
        return INVALID if len(findings.problems) > problems_before else tuple(rows)


def _field_checks(cls: type) -> dict[str, tuple[Check, bool]]:
    return {
        field.name: (field.metadata[_METADATA_KEY], field.default is attrs.NOTHING)
        for field in attrs.fields(cls)
        if _METADATA_KEY in field.metadata
    }


def _join_key(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


def _report_unknown_key(name: str, key: str, known: tuple[str, ...], findings: Findings) -> None:
    stem, unit = _split_unit(name)
    for candidate in known:
        known_stem, known_unit = _split_unit(candidate)
        if known_unit and known_stem == stem and known_unit != unit:
            found = f"Found `{name}`" + (f" in {unit}." if unit else " without a unit.")
            remedy = f"Write `{candidate}`; it takes {known_unit}."
            findings.add(_join_key(key, name), found, remedy)
            return
    similar = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    remedy = (
        f"Did you mean `{similar[0]}`?" if similar else f"Remove it; known: {', '.join(known)}."
    )
    findings.add(_join_key(key, name), f"There is no key `{name}` here.", remedy)


def _split_unit(name: str) -> tuple[str, str]:
    for suffix, unit in _UNIT_BY_SUFFIX.items():
        if name.endswith(suffix):
            return name.removesuffix(suffix), unit
    return name, ""
