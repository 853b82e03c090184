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
from tests.harness._http import http_json


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


def set_faults(port: int, **faults: Any) -> dict[str, Any]:
    """Sets faults of a stand-in and returns all that are set now.

    Args:
      port: The stand-in's port; for a proxy its control port.
      faults: Values by name; None restores the default.

    Raises:
      ValueError: The stand-in does not know a fault or its value.
    """
    status, answer = http_json("POST", port, "/faults", faults)
    if status != 200:
        raise ValueError(answer["error"])
    return dict(answer)


def add_target(proxy: Process, target_port: int, *, reverse: bool = False) -> int:
    """Lets a proxy listen for one more target on the same link; returns the new port.

    Args:
      proxy: The proxy.
      target_port: Port of the target.
      reverse: The callers send in the direction `down`.
    """
    body = {"target": f"127.0.0.1:{target_port}", "reverse": reverse}
    return int(http_json("POST", proxy.control_port, "/targets", body)[1]["port"])


def _start_daemon(fleet: Fleet, role: str, settings: Path, name: str) -> Process:
    argv = [sys.executable, "-m", "fescuechute", role, "--config", str(settings)]
    return fleet.spawn(argv, name or settings.stem)


def start_entry(fleet: Fleet, settings: Path, *, name: str = "") -> Process:
    """Starts an entry daemon."""
    return _start_daemon(fleet, "entry", settings, name)


def start_agent(fleet: Fleet, settings: Path, *, name: str = "") -> Process:
    """Starts an agent daemon."""
    return _start_daemon(fleet, "agent", settings, name)
