"""Checks of decoded TOML and JSON that report every problem of an input at once.

An attrs class names a check in the metadata of each field. `read_table` reads a mapping into the
class and gathers the problems.

Example:
  >>> import attrs
  >>> from fescuechute.checks import Findings, Whole, checked, read_table
  >>> @attrs.frozen
  ... class Tick:
  ...     interval_ms: int = attrs.field(default=50, metadata=checked(Whole(1)))
  >>> findings = Findings("a.toml")
  >>> read_table(Tick, {"interval_ms": 20}, "tick", findings)
  Tick(interval_ms=20)
"""

from fescuechute.checks._findings import INVALID, Findings, describe
from fescuechute.checks._kinds import (
    Address,
    Check,
    Choice,
    Flag,
    HexDigest,
    IpNumber,
    IpPort,
    Number,
    Text,
    Texts,
    Whole,
)
from fescuechute.checks._tables import Table, Tables, checked, read_table

__all__ = [
    "INVALID",
    "Address",
    "Check",
    "Choice",
    "Findings",
    "Flag",
    "HexDigest",
    "IpNumber",
    "IpPort",
    "Number",
    "Table",
    "Tables",
    "Text",
    "Texts",
    "Whole",
    "checked",
    "describe",
    "read_table",
]
