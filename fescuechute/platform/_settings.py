"""Decoding of the platform's settings file."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from fescuechute.checks import (
    INVALID,
    Address,
    Check,
    Findings,
    Flag,
    Integer,
    IpAddress,
    IpPort,
    Number,
    Text,
    describe,
)
from fescuechute.errors import Problem, SettingsError
from fescuechute.settings import NodeSettings, ServiceLevels, StoreSettings

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "FESCUECHUTE_SETTINGS"

_SECONDS_PER_MS = 1e-3
_MEGA = 1e6
#: File descriptors that the platform reserves for files; the rest of `max_fds` is for sockets.
_RESERVED_FILE_DESCRIPTORS = 200


def load_node_settings(path: str | os.PathLike[str]) -> NodeSettings:
    """Reads and checks the settings file of a process.

    Raises:
      SettingsError: The file cannot be read or has problems; all of them are listed.
    """
    file = os.fspath(path)
    try:
        data = json.loads(Path(file).read_bytes())
    except OSError as exc:
        problem = Problem(file, "", f"{exc.strerror}.", "Give the path of a readable file.")
        raise SettingsError([problem]) from exc
    except ValueError as exc:
        problem = Problem(file, "", f"This is not valid JSON: {exc}.", "Correct the syntax.")
        raise SettingsError([problem]) from exc
    return parse_node_settings(data, file)


def parse_node_settings(data: object, file: str) -> NodeSettings:
    """Checks decoded settings; unknown keys are ignored, because the platform adds others.

    Raises:
      SettingsError: Lists all problems.
    """
    findings = Findings(file)
    if not isinstance(data, Mapping):
        findings.add("", f"Found {describe(data)}.", "Write an object.")
        raise SettingsError(findings.problems)
    root = _Section(data, "", findings)
    settings = NodeSettings(
        node=root.read("node_name", Text()),
        ip=root.read("ip", IpAddress()),
        # The platform calls a data centre a zone.
        data_centre=root.read("zone", Text()),
        region=root.read("region", Text()),
        region_by_data_centre=_parse_regions(data.get("zones"), findings),
        port_range=_parse_port_range(data.get("port_range"), findings),
        store=_read_store(root.section("platform")),
        service_levels=_read_service_levels(root.section("bounds")),
        link_bits_s=root.section("limits").read("link_mbps", Number(), 0.0) * _MEGA,
        max_memory_bytes=int(root.section("limits").read("memory_mb", Number(), 0.0) * _MEGA),
        max_sockets=root.section("limits").read("max_fds", Integer(), 1024)
        - _RESERVED_FILE_DESCRIPTORS,
        heartbeat_s=root.read("heartbeat_ms", Number(), 1000.0) * _SECONDS_PER_MS,
        client_address=_read_optional_address(root.section("listen_addrs"), "front"),
        readiness_address=_read_optional_address(root.section("listen_addrs"), "ready_addr"),
        # The platform calls the engine on this VM an app.
        engine_address=_read_optional_address(root, "app"),
        service=root.read("service", Text(allow_empty=True), ""),
    )
    if findings.problems:
        raise SettingsError(findings.problems)
    return settings


class _Section:
    """Reads keys of one JSON object; an invalid value adds a finding and reads as a placeholder."""

    def __init__(self, data: Mapping[str, Any], key: str, findings: Findings):
        self._data = data
        self._key = key
        self._findings = findings

    def section(self, name: str) -> _Section:
        """Returns a nested object; a missing object reads as empty."""
        value = self._data.get(name)
        if value is not None and not isinstance(value, Mapping):
            self._findings.add(self._path(name), f"Found {describe(value)}.", "Write an object.")
        data = value if isinstance(value, Mapping) else {}
        return _Section(data, self._path(name), self._findings)

    def read(self, name: str, check: Check, default: Any = INVALID) -> Any:
        """Returns a checked value; a key without a default is required."""
        value = self._data.get(name)
        if value is None:
            if default is INVALID:
                self._findings.add(self._path(name), "The key is missing.", f"Add `{name}`.")
                return _placeholder(check)
            return default
        result = check.read(value, self._path(name), self._findings)
        return _placeholder(check) if result is INVALID else result

    def has(self, name: str) -> bool:
        """Returns whether the key is present and not null."""
        return self._data.get(name) is not None

    def _path(self, name: str) -> str:
        return f"{self._key}.{name}" if self._key else name


def _placeholder(check: Check) -> Any:
    # Lets checking continue so that all problems are found; settings with findings are discarded.
    if isinstance(check, Number):
        return 0.0
    if isinstance(check, Integer):
        return 0
    return Address("0.0.0.0", 1) if isinstance(check, IpPort) else ""


def _read_store(section: _Section) -> StoreSettings:
    return StoreSettings(
        address=section.read("address", IpPort()),
        writes_per_s=section.read("writes_per_s", Number(), 100.0),
        reads_per_s=section.read("reads_per_s", Number(), 100.0),
    )


def _read_service_levels(section: _Section) -> ServiceLevels:
    is_strict = section.read("strict_revoke", Flag(), False)
    revoke_s = section.read("revoke_ms", Number(), 5000.0) * _SECONDS_PER_MS
    evacuate_s = section.read("evacuate_ms", Number(), 0.0) * _SECONDS_PER_MS
    return ServiceLevels(
        drain_s=section.read("drain_ms", Number(), 2000.0) * _SECONDS_PER_MS,
        grace_s=section.read("grace_s", Number(), 8.0),
        config_apply_s=section.read("config_apply_ms", Number(), 2000.0) * _SECONDS_PER_MS,
        revoke_s=revoke_s if is_strict is True else None,
        version_switch_s=section.read("version_ms", Number(), 8000.0) * _SECONDS_PER_MS,
        stabilization_s=section.read("stable_ms", Number(), 3000.0) * _SECONDS_PER_MS,
        retry_ratio=section.read("retry_ratio", Number(), 0.1),
        retry_burst=section.read("retry_burst", Number(), 10.0),
        retry_window_s=section.read("retry_window_s", Number(), 10.0),
        evacuate_s=evacuate_s if section.has("evacuate_ms") else None,
        cold_rate_factor=section.read("cold_over", Number(), 1.0),
        cold_burst=section.read("cold_slack", Number(), 0.0),
    )


def _read_optional_address(section: _Section, name: str) -> Address | None:
    return section.read(name, IpPort()) if section.has(name) else None


def _parse_regions(value: object, findings: Findings) -> dict[str, str]:
    if isinstance(value, Mapping) and all(isinstance(item, str) for item in value.values()):
        return dict(value)
    remedy = "Write an object that names the region of each zone."
    findings.add("zones", f"Found {describe(value)}.", remedy)
    return {}


def _parse_port_range(value: object, findings: Findings) -> tuple[int, int]:
    match value:
        case [int() as first, int() as last] if 1 <= first <= last <= 65535:
            return (first, last)
    remedy = "Write the first and the last port as two whole numbers."
    findings.add("port_range", f"Found {describe(value)}.", remedy)
    return (0, 0)
