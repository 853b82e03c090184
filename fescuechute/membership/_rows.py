"""Rows of the platform's VM list."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from typing import Any

import attrs

_ROLES = ("entry", "agent")
_STATES = ("live", "leaving")
_KINDS = ("engine", "service", "")


@attrs.frozen
class VmRow:
    """One VM of the list."""

    id: str
    #: `entry` or `agent`.
    role: str
    #: IP number.
    address: str
    link_port: int
    http_port: int
    region: str
    data_centre: str
    #: Name of the upstream that an agent stands beside; empty for an entry.
    upstream: str
    #: `engine`, `service`, or empty for an entry.
    kind: str
    #: `live` or `leaving`.
    state: str


def parse_row(found: Any) -> VmRow | None:
    """Returns the row, or None when it is malformed."""
    if not isinstance(found, Mapping):
        return None
    values: dict[str, Any] = {field.name: found.get(field.name) for field in attrs.fields(VmRow)}
    values["upstream"] = values["upstream"] or ""
    values["kind"] = values["kind"] or ""
    texts = [values[n] for n in ("id", "role", "address", "region", "data_centre", "state")]
    if not all(isinstance(text, str) and text for text in texts):
        return None
    if not all(isinstance(values[name], str) for name in ("upstream", "kind")):
        return None
    if not _is_port(values["link_port"], 1) or not _is_port(values["http_port"], 0):
        return None
    if values["role"] not in _ROLES or values["state"] not in _STATES:
        return None
    if values["kind"] not in _KINDS or (values["role"] == "agent" and not values["upstream"]):
        return None
    try:
        ipaddress.ip_address(values["address"])
    except ValueError:
        return None
    return VmRow(**values)


def _is_port(value: Any, lowest: int) -> bool:
    # An agent may have no HTTP port, which the list shows as 0.
    return isinstance(value, int) and not isinstance(value, bool) and lowest <= value <= 65535
