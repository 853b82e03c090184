"""The operators and the registry of replicas, which write to the store."""

from __future__ import annotations

import contextlib
import json
import threading
import time
from collections.abc import Callable
from typing import Any

from soak._records import Operators
from tests.harness import HttpFailedError, http_json
from tests.platform.deployment import ENGINE, HOST

_HEARTBEAT_S = 0.5
#: Seconds of silence after which the entry of a replica is removed.
_EXPIRY_S = 3 * _HEARTBEAT_S
_RETRY_S = 0.05
_OPERATOR_TOPIC = "keyed.op"
_REGISTRY_TOPIC = "keyed.servers"


def put(port: int, topic: str, key: str, value: Any) -> float:
    """Writes a record until it is acknowledged; returns the unix seconds of that."""
    while http_json("PUT", port, f"/records/{topic}/{key}", value)[0] != 200:
        time.sleep(_RETRY_S)
    return time.time()


class Operator:
    """Writes configurations and declarations. Each method may be called from any thread."""

    def __init__(self, port: int, origin: str):
        self._port = port
        self._origin = origin
        self._version = 0
        self._lock = threading.Lock()
        self.written = Operators(keys=["k0", "k1"])

    def configure(self) -> None:
        """Writes a new version of the configuration."""
        with self._lock:
            self._write()

    def revoke(self) -> None:
        """Takes away the oldest key and adds a new one."""
        with self._lock:
            keys = self.written.keys
            revoked, added = keys[0], f"k{len(self.written.revoked) + len(keys)}"
            self.written.keys = [*keys[1:], added]
            self.written.revoked[revoked] = self._write()

    def declare(self) -> None:
        """Declares the next version of the weights."""
        with self._lock:
            version = max(self.written.declared, default=1) + 1
            value = {"model": "m", "version": version}
            acknowledged_at = put(self._port, _OPERATOR_TOPIC, "version/m", value)
            self.written.declared[version] = acknowledged_at

    def rewrite(self, **options: Any) -> None:
        """Writes the lost records of operators again; waits until that is done."""
        body = {"topic": _OPERATOR_TOPIC, **options}
        assert http_json("POST", self._port, "/rewrite", body)[0] == 200, body
        while self._has_lost():
            time.sleep(_RETRY_S)

    def _has_lost(self) -> bool:
        lost = http_json("GET", self._port, "/lost")[1]
        return any(record["topic"] == _OPERATOR_TOPIC for record in lost)

    def _write(self) -> float:
        self._version += 1
        route = {
            "name": "r", "host": HOST, "path_prefix": "/a/", "kind": "idempotent",
            "timeout_ms": 3000, "target_latency_ms": 400, "priority": 0, "service": "app",
            "max_attempts": 2, "anonymous": False,
        }  # fmt: skip
        stream = {**route, "path_prefix": "/s/", "kind": "streaming", "can_resume": True}
        once = {**route, "path_prefix": "/once/", "kind": "non_idempotent"}
        model = {**stream, "path_prefix": "/lm/", "service": "lm", "timeout_ms": 6000}
        app = {"name": "app", "health_path": "/health", "max_conns": 100}
        engine = {
            **ENGINE,
            "chunks": 24,
            "chunk_bytes": 4096,
            "usual": {"prompt": 10, "answer": 15},
        }
        weights = {"name": "weights", "origin": self._origin, "zone": "z", "max_conns": 48}
        body = {
            "version": self._version,
            "routes": [route, stream, once, model],
            "services": [app, {**app, "name": "lm", "engine": engine}, weights],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
            "tenants": [{"name": "taller", "api_keys": list(self.written.keys)}],
        }
        return put(self._port, _OPERATOR_TOPIC, "config", body)


class Registry:
    """Writes the heartbeats of the replicas that live and removes the entries of the others.

    Args:
      port: Port of the store.
      entries: Returns the present entry by instance id.
    """

    def __init__(self, port: int, entries: Callable[[], dict[str, dict[str, Any]]]):
        self._port = port
        self._entries = entries
        self._beats = 0
        self._alive_at: dict[str, float] = {}
        self._ends = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def close(self) -> None:
        self._ends.set()
        self._thread.join(5.0)

    def _run(self) -> None:
        while not self._ends.wait(_HEARTBEAT_S):
            # A call without a response or a refused one is made again at the next heartbeat.
            with contextlib.suppress(HttpFailedError):
                self._beat()

    def _beat(self) -> None:
        self._beats += 1
        for instance, entry in self._entries().items():
            self._alive_at[instance] = time.time()
            self._put(instance, {**entry, "sequence": self._beats})
        records = http_json("GET", self._port, f"/records/{_REGISTRY_TOPIC}")[1]
        present = {record["key"] for record in records if record["value"]}
        for instance in present & {record["key"] for record in records}:
            newest = [record["value"] for record in records if record["key"] == instance][-1]
            silent_s = time.time() - self._alive_at.get(instance, 0.0)
            if newest and silent_s > _EXPIRY_S:
                self._put(instance, None)

    def _put(self, instance: str, entry: dict[str, Any] | None) -> None:
        http_json("PUT", self._port, f"/records/{_REGISTRY_TOPIC}/{instance}", entry)


def parse_lines(text: str) -> list[dict[str, Any]]:
    """Returns the JSON lines of a text; the last one may be incomplete after a kill."""
    lines = []
    for line in text.splitlines():
        with contextlib.suppress(ValueError):
            lines.append(json.loads(line))
    return lines
