"""A stager process with stand-ins for the store, the engine and the origin of weights."""

from __future__ import annotations

import itertools
import json
import os
import signal

from standins.platform.engine import MODEL, Engine, Origin
from tests.harness import Fleet
from tests.platform.deployment import call_standin, wait_until

CHUNKS = 24
CHUNK_BYTES = 4096
#: Seconds within which a declared version is loaded by an engine without faults.
LOAD_S = 20.0
#: Loopback addresses for VMs of this test process, which all use the same ports.
LOOPBACK_IPS = (
    f"127.{os.getpid() >> 8 & 127}.{os.getpid() & 255}.{n}" for n in itertools.count(120)
)


class StagerDeployment:
    """One stager and its engine."""

    def __init__(self, fleet: Fleet, directory, seed: int = 0):
        self._fleet = fleet
        self._settings = directory / "side.json"
        self._starts = 0
        self.ip = next(LOOPBACK_IPS)
        self.store = fleet.spawn_module("standins.platform.store", name="store")
        self.origin = Origin(CHUNKS, CHUNK_BYTES)
        self.engine = self.make_engine(seed)
        self.stager = None

    def start(self) -> None:
        """Starts everything and waits until the stager knows the loaded version."""
        self.origin.start()
        self.engine.start()
        self._settings.write_text(json.dumps(self._node_settings()))
        self.put_record("keyed.op", "config", self.configuration())
        self.register()
        self.start_stager()
        wait_until(lambda: bool(self.lines("engine.version")), LOAD_S)

    def make_engine(self, seed: int) -> Engine:
        """Returns the engine, which is not started yet."""
        return Engine(CHUNKS, CHUNK_BYTES, seed)

    def configuration(self) -> dict:
        """Returns the configuration."""
        engine = {
            "slots": 4, "kv_capacity": 1000, "step_ms": 8, "read_per_s": 1000,
            "models": [{"name": MODEL}], "chunks": CHUNKS, "chunk_bytes": CHUNK_BYTES,
        }  # fmt: skip
        services = [
            {"name": "lm", "engine": engine},
            {"name": "weights", "origin": self.origin.address, "zone": "z", "max_conns": 48},
        ]
        return {"version": 1, "routes": [], "services": services}

    def register(self) -> None:
        """Writes the registry entry of the engine."""
        entry = {"service": "lm", "address": self.engine.address, "zone": "z", "state": "ready"}
        self.put_record("keyed.servers", "i-0", entry)

    def start_stager(self) -> None:
        """Starts the stager process, at first or after it was killed."""
        self._starts += 1
        args = ("stager", "--settings", str(self._settings))
        name = f"stager-{self._starts}"
        self.stager = self._fleet.spawn_module("fescuechute", *args, name=name)

    def kill_stager(self) -> None:
        """Kills the stager process."""
        self.stager.kill()

    def close(self) -> None:
        self.engine.running.set()
        self.engine.close()
        self.origin.close()

    def declare(self, version: int) -> None:
        """Declares a version of the model."""
        self.put_record("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": version})

    def wait_loaded(self, version: int) -> None:
        """Waits until the engine has loaded a version."""
        wait_until(lambda: self.engine.version == version, LOAD_S)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the stager."""
        os.kill(self.stager.pid, number)

    def lines(self, event: str) -> list[dict]:
        """Returns the log lines of the running stager with this event."""
        lines = [json.loads(line) for line in self.stager.stdout.read_text().splitlines()]
        return [line for line in lines if line["event"] == event]

    def wrong_loads(self) -> list:
        """Returns the loads of the engine that took a wrong chunk."""
        return [load for load in self.engine.loads if load.wrong]

    def put_record(self, topic: str, key: str, value: dict) -> None:
        """Writes a record of the store."""
        call_standin(self.store.port, "PUT", f"/records/{topic}/{key}", value)

    def _node_settings(self) -> dict:
        return {
            "node_name": "side-1",
            "ip": self.ip,
            "zone": "z",
            "region": "r",
            "zones": {"z": "r"},
            "port_range": [17700, 17715],
            "app": self.engine.address,
            "service": "lm",
            "limits": {"memory_mb": 168, "max_fds": 1124, "link_mbps": 100.0},
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
        }
