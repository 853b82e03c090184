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
    """One row of the VM list."""

    id: str
    #: `entry` or `agent`.
    role: str
    #: IP address.
    address: str
    link_port: int
    http_port: int
    region: str
    data_centre: str
    #: Name of the upstream that an agent is the sidecar of; empty for an entry.
    upstream: str
    #: Kind of that upstream: `engine` or `service`; empty for an entry.
    kind: str
    #: `live` or `leaving`.
    state: str


def parse_row(raw: Any) -> VmRow | None:
    """Returns the row parsed from decoded JSON, or None if it is malformed."""
    if not isinstance(raw, Mapping):
        return None
    values: dict[str, Any] = {field.name: raw.get(field.name) for field in attrs.fields(VmRow)}
    values["upstream"] = values["upstream"] or ""
    values["kind"] = values["kind"] or ""
    required_strings = [
        values[name] for name in ("id", "role", "address", "region", "data_centre", "state")
    ]
    if not all(isinstance(value, str) and value for value in required_strings):
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


def _is_port(value: Any, min_port: int) -> bool:
    # The list shows an HTTP port of 0 for an agent that has none.
    return isinstance(value, int) and not isinstance(value, bool) and min_port <= value <= 65535
