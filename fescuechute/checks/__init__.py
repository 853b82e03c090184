"""Validation of decoded TOML and JSON that reports all problems of an input at once.

Each field of an attrs class has a check in its metadata. `read_table` converts a mapping to an
instance of the class, or collects one problem for each invalid, missing or unknown key.

Example:
  >>> import attrs
  >>> from fescuechute.checks import Findings, Integer, checked, read_table
  >>> @attrs.frozen
  ... class Tick:
  ...     interval_ms: int = attrs.field(default=50, metadata=checked(Integer(1)))
  >>> findings = Findings("a.toml")
  >>> read_table(Tick, {"interval_ms": 20}, "tick", findings)
  Tick(interval_ms=20)
"""

from fescuechute.checks._findings import INVALID, Findings, describe
from fescuechute.checks._statuses import is_final_status
from fescuechute.checks._tables import Table, Tables, checked, read_table
from fescuechute.checks._values import (
    Address,
    Check,
    Choice,
    Flag,
    HexDigest,
    Integer,
    IpAddress,
    IpPort,
    Number,
    Text,
    Texts,
)

__all__ = [
    "INVALID",
    "Address",
    "Check",
    "Choice",
    "Findings",
    "Flag",
    "HexDigest",
    "Integer",
    "IpAddress",
    "IpPort",
    "Number",
    "Table",
    "Tables",
    "Text",
    "Texts",
    "checked",
    "describe",
    "is_final_status",
    "read_table",
]
