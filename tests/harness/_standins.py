"""Starts stand-ins and daemons in a fleet.

Options are given by their names with underscores: `start_engine(fleet, slots=4,
enforce_fencing=True)`. Each function returns before the process is ready; the port properties
wait for it, so that many processes start side by side.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from tests.harness._fleet import Fleet, Process


def _start(fleet: Fleet, module: str, name: str, options: dict[str, Any]) -> Process:
    arguments: list[str] = []
    for option, value in options.items():
        flag = "--" + option.replace("_", "-")
        if value is True:
            arguments.append(flag)
        elif value is not False and value is not None:
            arguments += [flag, str(value)]
    return fleet.spawn_module(f"standins.{module}", *arguments, name=name or module)


def start_log(fleet: Fleet, *, name: str = "", port: int = 0, **options: Any) -> Process:
    """Starts a log service; options `appends_per_s`, `retention_s`."""
    return _start(fleet, "log", name, {"port": port, **options})


def start_vms(fleet: Fleet, *, name: str = "", port: int = 0, **options: Any) -> Process:
    """Starts a VM list; option `lag_s`."""
    return _start(fleet, "vms", name, {"port": port, **options})


def start_weights(fleet: Fleet, *, name: str = "", port: int = 0, **options: Any) -> Process:
    """Starts a store or an origin; options `bytes_per_s`, `requests_per_s`."""
    return _start(fleet, "weights", name, {"port": port, **options})


def start_engine(fleet: Fleet, *, name: str = "", port: int = 0, **options: Any) -> Process:
    """Starts an engine; options as in `standins.engine`."""
    return _start(fleet, "engine", name, {"port": port, **options})


def start_service(fleet: Fleet, *, name: str = "", port: int = 0, **options: Any) -> Process:
    """Starts a plain service; options `work_ms`, `slots`, `executions_file`."""
    return _start(fleet, "service", name, {"port": port, **options})


def start_proxy(
    fleet: Fleet, target_port: int, *, name: str = "", listen_port: int = 0, control_port: int = 0
) -> Process:
    """Starts a fault-injecting proxy in front of a port; use its `port` and `control_port`."""
    options = {
        "listen_port": listen_port,
        "target": f"127.0.0.1:{target_port}",
        "control_port": control_port,
    }
    return _start(fleet, "proxy", name, options)


def _start_daemon(fleet: Fleet, role: str, settings: Path, name: str) -> Process:
    argv = [sys.executable, "-m", "fescuechute", role, "--config", str(settings)]
    return fleet.spawn(argv, name or settings.stem)


def start_entry(fleet: Fleet, settings: Path, *, name: str = "") -> Process:
    """Starts an entry daemon."""
    return _start_daemon(fleet, "entry", settings, name)


def start_agent(fleet: Fleet, settings: Path, *, name: str = "") -> Process:
    """Starts an agent daemon."""
    return _start_daemon(fleet, "agent", settings, name)
