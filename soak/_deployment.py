"""The processes of a soak: store, gateways in two regions, replicas, and engines with stagers."""

from __future__ import annotations

import json
import os
import signal
import threading
import time
from collections import defaultdict
from typing import Any

from soak._operator import Operator, Registry, parse_lines, put
from soak._options import Options
from soak._records import Finding, Run
from standins.platform.engine import Origin
from standins.platform.serving_engine import ServingEngine
from tests.harness import Fleet, Process, ProcessError
from tests.platform.deployment import PEER_PORT, gateway_settings

_CHUNKS, _CHUNK_BYTES = 24, 4096
_ZONES = {"z": "r", "z2": "r2"}
#: Seconds from SIGTERM to the end of a process, `grace_s` of the settings and one for the start of its end.
_GRACE_S = 9.0
#: Seconds from the ready line of a replica within which the store has its entry, which a return may lose.
_REGISTRATION_S = 4.0


class Node:
    """One process that is ended and started again."""

    def __init__(self, fleet: Fleet, name: str, module: str, args: tuple[str, ...]):
        self._fleet = fleet
        self.name = name
        self._module = module
        self._args = args
        #: All processes of this name, and the ids of those that were ended on purpose.
        self.processes: list[Process] = []
        self.ended_pids: set[int] = set()
        #: Held while the process is ended and started again.
        self.lock = threading.Lock()

    def start(self) -> None:
        name = f"{self.name}.{len(self.processes)}"
        self.processes.append(self._fleet.spawn_module(self._module, *self._args, name=name))

    @property
    def process(self) -> Process:
        """The newest process."""
        return self.processes[-1]

    @property
    def alive(self) -> bool:
        """Whether the newest process has not ended, nor been told to."""
        return self.process.alive and self.process.pid not in self.ended_pids

    def end(self, number: signal.Signals) -> None:
        """Ends the process by a signal and waits for it.

        Raises:
          ProcessError: It is still there after the time for a planned stop.
        """
        self.ended_pids.add(self.process.pid)
        self.process.kill(number)
        self.process.wait_exit(_GRACE_S)


class Deployment:
    """All processes of one play."""

    def __init__(self, fleet: Fleet, options: Options):
        self.fleet = fleet
        self._options = options
        ips = (f"127.{os.getpid() >> 8 & 127}.{os.getpid() & 255}.{n}" for n in range(60, 250))
        self.store = fleet.spawn_module("standins.platform.store", name="store")
        self._origin = Origin(_CHUNKS, _CHUNK_BYTES)
        self.engines = [
            ServingEngine(_CHUNKS, _CHUNK_BYTES, next(ips), f"engine-{n}", lambda: None)
            for n in range(options.engines)
        ]
        self._engine_ips = [engine.address.rpartition(":")[0] for engine in self.engines]
        self.gateway_ips = {f"gateway-{n}": next(ips) for n in range(options.gateways)}
        self.nodes: dict[str, Node] = {}
        self._born_ms: dict[str, int] = {}
        #: Unix seconds from each end of a process until others may count on it again, by name.
        self.down: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def start(self) -> None:
        """Starts everything and writes the first records."""
        self._origin.start()
        self.operator = Operator(self.store.port, self._origin.address)
        self.operator.configure()
        for engine in self.engines:
            engine.start()
        for n in range(self._options.replicas):
            runs_file = str(self.fleet.directory / f"replica-{n}.runs")
            args = ("--instance", f"replica-{n}", "--runs-file", runs_file)
            self._add(f"replica-{n}", "standins.platform.replica", *args)
        for instance, entry in self.entries().items():
            put(self.store.port, "keyed.servers", instance, entry)
        self.registry = Registry(self.store.port, self.entries)
        self.registry.start()
        for n, ip in enumerate(self.gateway_ips.values()):
            settings = gateway_settings(ip, f"front-{n}", self.store.port)
            settings |= {"zones": _ZONES, **_place(n)}
            self._add_daemon("gateway", n, settings)
        for n, engine in enumerate(self.engines):
            self._add_daemon("stager", n, self._stager_settings(n, engine))

    def close(self) -> None:
        """Ends what runs in this process; the fleet ends the others."""
        self.registry.close()
        for engine in self.engines:
            engine.close()
        self._origin.close()

    def restart(self, name: str, number: signal.Signals, down_s: float) -> bool:
        """Ends a process and starts it again; returns False if that is under way already."""
        node = self.nodes[name]
        if not node.lock.acquire(blocking=False):
            return False
        ended_at = time.time()
        try:
            node.end(number)
            time.sleep(down_s)
            self._born_ms[name] = round(time.time() * 1000)
            node.start()
            if name.startswith("replica"):
                node.process.wait_ready()
        finally:
            self.down[name].append((ended_at, time.time() + _REGISTRATION_S))
            node.lock.release()
        return True

    def entries(self) -> dict[str, dict[str, Any]]:
        """Returns the registry entries of the replicas and engines that live."""
        entries = {}
        for n in range(self._options.replicas):
            name = f"replica-{n}"
            node = self.nodes[name]
            try:
                port = node.process.wait_ready(0.0 if node.lock.locked() else 30.0)["port"]
            except ProcessError:
                continue
            if node.alive:
                place = {"zone": _place(n)["zone"], "born": self._born_ms.get(name, 1)}
                entries[name] = {"service": "app", "address": f"127.0.0.1:{port}", **place}
        for n, engine in enumerate(self.engines):
            entry = {"service": "lm", "address": engine.address, "zone": _place(n)["zone"]}
            entries[f"engine-{n}"] = {**entry, "version": "v1", **engine.report()}
        common = {"slots": 16, "state": "ready"}
        return {instance: {**entry, **common} for instance, entry in entries.items()}

    def runs(self) -> list[Run]:
        """Returns all executions of requests."""
        runs = []
        for n in range(self._options.replicas):
            path = self.fleet.directory / f"replica-{n}.runs"
            lines = parse_lines(path.read_text()) if path.exists() else []
            runs += [Run(line["id"], line["at"], f"replica-{n}") for line in lines]
        # Engines date their runs by the monotonic clock.
        shift_s = time.time() - time.monotonic()
        for n, engine in enumerate(self.engines):
            for run in list(engine.runs):
                runs.append(Run(run.id, run.started_at + shift_s, f"engine-{n}", run.load.version))
        return runs

    def ended_by_themselves(self) -> list[Finding]:
        """Returns a finding for each process that ended without being told to."""
        findings = []
        for node in self.nodes.values():
            for process in node.processes:
                if not process.alive and process.pid not in node.ended_pids:
                    text = f"{process.name} ended with {process.wait_exit(0)}\n{process.tail()}"
                    findings.append(Finding("ended", time.time(), text))
        return findings

    def _add(self, name: str, module: str, *args: str) -> None:
        self.nodes[name] = Node(self.fleet, name, module, args)
        self.nodes[name].start()

    def _add_daemon(self, role: str, number: int, settings: dict[str, Any]) -> None:
        path = self.fleet.directory / f"{role}-{number}.json"
        path.write_text(json.dumps(settings))
        self._add(f"{role}-{number}", "fescuechute", role, "--settings", str(path))

    def _stager_settings(self, number: int, engine: ServingEngine) -> dict[str, Any]:
        return {
            "node_name": f"side-{number}", "ip": self._engine_ips[number], **_place(number),
            "zones": _ZONES, "port_range": [PEER_PORT, PEER_PORT + 15],
            "app": engine.address, "service": "lm",
            "limits": {"memory_mb": 168, "max_fds": 1124, "link_mbps": 100.0},
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
        }  # fmt: skip


def _place(number: int) -> dict[str, str]:
    """Returns the data centre and the region of the process with a number."""
    zone = list(_ZONES)[number % len(_ZONES)]
    return {"zone": zone, "region": _ZONES[zone]}
