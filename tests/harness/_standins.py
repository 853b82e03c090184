"""Starts stand-ins and daemons in a fleet.

Keyword options become command-line options: `start_engine(fleet, slots=4, enforce_fencing=True)`
passes `--slots 4 --enforce-fencing`. Each function returns before the process is ready, so that
several processes start in parallel; the port properties of Process wait for it.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from tests.harness._fleet import Fleet, Process
from tests.harness._http import http_json


def _start_standin(fleet: Fleet, module: str, name: str, options: dict[str, Any]) -> Process:
    arguments: list[str] = []
    for option, value in options.items():
        flag = "--" + option.replace("_", "-")
        if value is True:
            arguments.append(flag)
        elif value is not False and value is not None:
            arguments += [flag, str(value)]
    return fleet.spawn_module(f"standins.{module}", *arguments, name=name or module)


def start_log(fleet: Fleet, *, name: str = "", port: int = 0, **options: Any) -> Process:
    """Starts a log; options `appends_per_s`, `retention_s`."""
    return _start_standin(fleet, "log", name, {"port": port, **options})


def start_vms(fleet: Fleet, *, name: str = "", port: int = 0, **options: Any) -> Process:
    """Starts a VM list; option `lag_s`."""
    return _start_standin(fleet, "vms", name, {"port": port, **options})


def start_weights(fleet: Fleet, *, name: str = "", port: int = 0, **options: Any) -> Process:
    """Starts a weight store or origin; options `bytes_per_s`, `requests_per_s`."""
    return _start_standin(fleet, "weights", name, {"port": port, **options})


def start_engine(fleet: Fleet, *, name: str = "", port: int = 0, **options: Any) -> Process:
    """Starts an engine; options as in `standins.engine`."""
    return _start_standin(fleet, "engine", name, {"port": port, **options})


def start_service(fleet: Fleet, *, name: str = "", port: int = 0, **options: Any) -> Process:
    """Starts a service; options `work_ms`, `slots`, `executions_file`."""
    return _start_standin(fleet, "service", name, {"port": port, **options})


def start_proxy(
    fleet: Fleet, target_port: int, *, name: str = "", listen_port: int = 0, control_port: int = 0
) -> Process:
    """Starts a fault-injecting proxy for a port; it listens on `port` and `control_port`."""
    options = {
        "listen_port": listen_port,
        "target": f"127.0.0.1:{target_port}",
        "control_port": control_port,
    }
    return _start_standin(fleet, "proxy", name, options)


def set_faults(port: int, **faults: Any) -> dict[str, Any]:
    """Sets faults of a stand-in and returns all its current faults.

    Args:
      port: The port of the stand-in, or the control port of a proxy.
      **faults: Values by name; None restores the default.

    Raises:
      ValueError: The stand-in rejected the name or value of a fault.
    """
    status, answer = http_json("POST", port, "/faults", faults)
    if status != 200:
        raise ValueError(answer["error"])
    return dict(answer)


def add_target(proxy: Process, target_port: int, *, reverse: bool = False) -> int:
    """Adds a target to a proxy, with the same faults, and returns the new listening port.

    Args:
      proxy: The proxy.
      target_port: Port of the target.
      reverse: Whether callers of the new port send in the direction `down`.
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
