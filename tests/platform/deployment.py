"""A gateway process with stand-ins for the metadata store and the replicas."""

from __future__ import annotations

import http.client
import itertools
import json
import os
import time
from typing import Any

from tests.harness import Fleet

#: Timeout of a wait in seconds; longer than every bound in the settings below.
WAIT_S = 10.0
HOST = "a.example"
#: Loopback addresses for the gateways of this test process, which all use the same ports.
_LOOPBACK_IPS = (
    f"127.{os.getpid() >> 8 & 127}.{os.getpid() & 255}.{n}" for n in itertools.count(2)
)


class Answer:
    """A response as the client received it."""

    def __init__(self, response: http.client.HTTPResponse):
        self.status = response.status
        self.headers = dict(response.getheaders())
        self.body = response.read()


class Deployment:
    """One gateway, a store and replicas."""

    def __init__(self, fleet: Fleet, directory, replicas: int = 2):
        self._ip = next(_LOOPBACK_IPS)
        self._fleet = fleet
        self._version = 0
        self.store = fleet.spawn_module("standins.platform.store", name="store")
        self.replicas = [
            fleet.spawn_module("standins.platform.replica", "--instance", f"i-{n}", name=f"i-{n}")
            for n in range(replicas)
        ]
        self._settings = directory / "node.json"
        self._settings.write_text(json.dumps(self._node_settings()))
        self.gateway = fleet.spawn_module(
            "fescuechute", "gateway", "--settings", str(self._settings), name="gateway"
        )

    def write_settings(self, **changes: Any) -> None:
        """Rewrites the settings file of the gateway."""
        self._settings.write_text(json.dumps({**self._node_settings(), **changes}))

    def register(self, index: int, state: str = "ready") -> None:
        """Writes the registry entry of a replica."""
        entry = {
            "service": "app",
            "address": f"127.0.0.1:{self.replicas[index].port}",
            "zone": "z",
            "slots": 4,
            "state": state,
        }
        self.put_record("keyed.servers", f"i-{index}", entry)

    def withdraw(self, index: int) -> None:
        """Removes the registry entry of a replica."""
        self._call(self.store.port, "PUT", f"/records/keyed.servers/i-{index}")

    def configure(self, keys: tuple[str, ...] = ("k1",), **changes: Any) -> None:
        """Writes a new version of the configuration."""
        self._version += 1
        route = {
            "name": "r",
            "host": HOST,
            "path_prefix": "/a/",
            "kind": "idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 400,
            "priority": 0,
            "service": "app",
            "max_attempts": 2,
            "anonymous": False,
            **changes,
        }
        stream = {**route, "path_prefix": "/s/", "kind": "streaming", "can_resume": True}
        body = {
            "version": self._version,
            "routes": [route, stream],
            "services": [{"name": "app", "health_path": "/health", "max_conns": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
            "tenants": [{"name": "taller", "api_keys": list(keys)}],
        }
        self.put_record("keyed.op", "config", body)

    def put_record(self, topic: str, key: str, value: dict[str, Any]) -> None:
        self._call(self.store.port, "PUT", f"/records/{topic}/{key}", value)

    def set_faults(self, process: Any, **faults: Any) -> None:
        self._call(process.port, "POST", "/faults", faults)

    def executed_requests(self) -> list[dict[str, Any]]:
        """Returns the requests that any replica executed."""
        responses = [self._call(replica.port, "GET", "/runs") for replica in self.replicas]
        return [run for runs in responses for run in json.loads(runs)]

    def start(self) -> None:
        """Writes the configuration, registers all replicas and waits until the gateway is ready."""
        self.configure()
        for index in range(len(self.replicas)):
            self.register(index)
        wait_until(self.is_ready)

    def is_ready(self) -> bool:
        try:
            return self.get(self.ready_port, "/fescuechute/ready").status == 200
        except OSError:
            return False

    @property
    def client_port(self) -> int:
        return 18005

    @property
    def ready_port(self) -> int:
        return 18002

    def get(self, port: int, path: str) -> Answer:
        conn = http.client.HTTPConnection(self._ip, port, timeout=WAIT_S)
        conn.request("GET", path)
        return Answer(conn.getresponse())

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(self._ip, self.client_port, timeout=WAIT_S)

    def send(self, path="/a/x", key="k1", body=b"body", request_id="9c41", host=HOST, conn=None):
        """Sends a client request and returns the response."""
        conn = conn or self.connect()
        headers = {"Host": host, "X-Fescuechute-Request-Id": request_id}
        headers["X-Fescuechute-Deadline-Ms"] = "2500"
        if key:
            headers["Authorization"] = f"Token {key}"
        conn.request("POST", path, body=body, headers=headers)
        return Answer(conn.getresponse())

    def log_lines(self) -> list[dict[str, Any]]:
        """Returns the log lines of the gateway."""
        text = self.gateway.stdout.read_text()
        return [json.loads(line) for line in text.splitlines()]

    def wait_for_line(self, event: str, **fields: Any) -> dict[str, Any]:
        """Waits for a matching log line of the gateway and returns the first one."""

        def matching() -> list[dict[str, Any]]:
            wanted = {"event": event, **fields}.items()
            return [line for line in self.log_lines() if wanted <= line.items()]

        wait_until(lambda: bool(matching()))
        return matching()[0]

    def _node_settings(self) -> dict[str, Any]:
        ip = self._ip
        return {
            "node_name": "front-1",
            "ip": ip,
            "zone": "z",
            "region": "r",
            "zones": {"z": "r"},
            "listen_addrs": {"front": f"{ip}:18005", "ready_addr": f"{ip}:18002"},
            "port_range": [17700, 17715],
            "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0},
            "bounds": {
                "drain_ms": 2000,
                "grace_s": 8,
                "config_apply_ms": 2000,
                "strict_revoke": True,
                "revoke_ms": 5000,
                "version_ms": 8000,
                "retry_ratio": 0.2,
                "retry_burst": 100,
                "retry_window_s": 10,
            },
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
        }

    @staticmethod
    def _call(port: int, method: str, path: str, body: dict[str, Any] | None = None) -> bytes:
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
        data = None if body is None else json.dumps(body)
        conn.request(method, path, body=data, headers={"Content-Type": "application/json"})
        response = conn.getresponse()
        assert response.status == 200, (path, response.status)
        return response.read()


def wait_until(condition, timeout_s: float = WAIT_S) -> float:
    """Waits until a condition holds; returns the elapsed seconds."""
    started_at = time.monotonic()
    while not condition():
        assert time.monotonic() - started_at < timeout_s, (
            "the condition did not become true in time"
        )
        time.sleep(0.02)
    return time.monotonic() - started_at
