"""A gateway process with stand-ins for the metadata store and the replicas."""

from __future__ import annotations

import http.client
import itertools
import json
import os
import signal
import socket
import threading
import time
from collections import Counter
from typing import Any

from fescuechute.checks import Address
from fescuechute.relay import RelayDirectory
from fescuechute.stager import CrashRelay
from fescuechute.stager._load_reporter import LoadReporter
from fescuechute.wire import AnswerReport, CrashReport, FrameDecoder, RelayOffer, encode
from tests.harness import Fleet

#: Path prefix of the requests to the model `m`, and the profile of its engines.
MODEL_PATH = "/lm/"
ENGINE = {
    "slots": 16,
    "kv_capacity": 1_000_000,
    "step_ms": 8,
    "read_per_s": 20_000,
    "models": [{"name": "m"}],
    "chunks": 2,
    "chunk_bytes": 10,
}
#: Timeout of a wait in seconds; longer than every bound in the settings below.
WAIT_S = 10.0
HOST = "a.example"
PEER_PORT = 17700
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


class StagerStandIn:
    """Answers the greetings of gateways on the VM of an engine, so that they know each other."""

    def __init__(self):
        self.ip = next(_LOOPBACK_IPS)
        self.greeted: Counter[str] = Counter()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((self.ip, PEER_PORT))
        self._reporter = LoadReporter(Address(self.ip, 1), self._send)
        self._crash_relay = CrashRelay(self._reporter.counted_gateways, self._send)
        self._relays = RelayDirectory()
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def close(self) -> None:
        # An empty datagram ends the loop of the thread.
        self._sock.sendto(b"", (self.ip, PEER_PORT))
        self._thread.join(WAIT_S)
        self._sock.close()

    def _send(self, to, msg) -> None:
        self._sock.sendto(encode(msg), to)

    def _serve(self) -> None:
        while data := self._sock.recv(65_507):
            for msg in FrameDecoder().feed(data):
                if isinstance(msg, RelayOffer):
                    relays = self._relays.receive_offer(msg, time.time())
                    self._sock.sendto(encode(relays), (msg.ip, msg.datagram_port))
                    continue
                if isinstance(msg, CrashReport | AnswerReport):
                    self._crash_relay.receive(msg, time.time())
                    continue
                self._reporter.receive(msg, time.time())
                self._crash_relay.tick(time.time())
                self.greeted[msg.process_id] += 1


class Deployment:
    """Gateways, a store and replicas."""

    def __init__(
        self,
        fleet: Fleet,
        directory,
        replicas: int = 2,
        gateways: int = 1,
        limits: dict[str, float] | None = None,
        max_body_bytes: int = 1 << 20,
    ):
        self._limits = limits
        self._max_body_bytes = max_body_bytes
        self._ips = [next(_LOOPBACK_IPS) for _ in range(gateways)]
        self._ip = self._ips[0]
        self._fleet = fleet
        self._version = 0
        self.store = fleet.spawn_module("standins.platform.store", name="store")
        self.replicas = [
            fleet.spawn_module("standins.platform.replica", "--instance", f"i-{n}", name=f"i-{n}")
            for n in range(replicas)
        ]
        self._settings = directory / "node.json"
        self._settings_files = []
        for number, ip in enumerate(self._ips):
            settings = directory / f"node-{number}.json" if number else self._settings
            settings.write_text(json.dumps(self._node_settings(ip, f"front-{number + 1}")))
            self._settings_files.append(settings)
        self.gateways = [
            self._spawn_gateway(number, f"gateway-{number}" if number else "gateway")
            for number in range(gateways)
        ]
        self.gateway = self.gateways[0]

    def _spawn_gateway(self, number: int, name: str) -> Any:
        settings = str(self._settings_files[number])
        return self._fleet.spawn_module("fescuechute", "gateway", "--settings", settings, name=name)

    def restart(self, gateway: int) -> None:
        """Kills a gateway and starts it again."""
        os.kill(self.gateways[gateway].pid, signal.SIGKILL)
        wait_until(lambda: not self.gateways[gateway].alive)
        self.gateways[gateway] = self._spawn_gateway(gateway, f"gateway-{gateway}-again")

    def write_settings(self, **changes: Any) -> None:
        """Rewrites the settings file of the gateway."""
        self._settings.write_text(json.dumps({**self._node_settings(), **changes}))

    def register(self, index: int, state: str = "ready", **changes: Any) -> None:
        """Writes the registry entry of a replica."""
        entry = {
            "service": "app",
            "address": f"127.0.0.1:{self.replicas[index].port}",
            "zone": "z",
            "slots": 4,
            "state": state,
            **changes,
        }
        self.put_record("keyed.servers", f"i-{index}", entry)

    def withdraw(self, index: int) -> None:
        """Removes the registry entry of a replica."""
        call_standin(self.store.port, "PUT", f"/records/keyed.servers/i-{index}")

    def register_engine(self, ip: str) -> None:
        """Writes the registry entry of an engine, which gets no requests in these tests."""
        entry = {"service": "lm", "address": f"{ip}:1", "zone": "z", "state": "ready"}
        entry["models"] = [{"name": "m", "version": 1}]
        self.put_record("keyed.servers", "i-engine", entry)

    def run_as_engine(self, index: int) -> None:
        """Writes the registry entry of a replica that runs as an engine with version 1."""
        entry = {"service": "lm", "address": f"127.0.0.1:{self.replicas[index].port}", "zone": "z"}
        entry |= {"slots": 16, "state": "ready", "models": [{"name": "m", "version": 1}]}
        self.put_record("keyed.servers", f"i-{index}", entry)

    def configure(
        self,
        keys: tuple[str, ...] = ("k1",),
        added_routes: int = 0,
        has_model: bool = False,
        service: dict[str, Any] | None = None,
        **changes: Any,
    ) -> int:
        """Writes a new version of the configuration and returns it; added routes are `/added0/` and so on.

        With a model, there is a route to its engines at `MODEL_PATH`. `service` changes the service of
        the other routes, `changes` the routes.
        """
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
        once = {**route, "path_prefix": "/once/", "kind": "non_idempotent"}
        services: list[dict[str, Any]] = [
            {"name": "app", "health_path": "/health", "max_conns": 100, **(service or {})}
        ]
        added = [{**route, "path_prefix": f"/added{n}/"} for n in range(added_routes)]
        if has_model:
            services.append({**services[0], "name": "lm", "engine": ENGINE})
            added.append({**route, "path_prefix": MODEL_PATH, "service": "lm"})
        body = {
            "version": self._version,
            "routes": [route, stream, once, *added],
            "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": self._max_body_bytes},
            "tenants": [{"name": "taller", "api_keys": list(keys)}],
        }
        self.put_record("keyed.op", "config", body)
        return self._version

    def put_record(self, topic: str, key: str, value: dict[str, Any]) -> None:
        call_standin(self.store.port, "PUT", f"/records/{topic}/{key}", value)

    def set_faults(self, process: Any, **faults: Any) -> None:
        call_standin(process.port, "POST", "/faults", faults)

    def executed_requests(self) -> list[dict[str, Any]]:
        """Returns the requests that any replica executed."""
        responses = [call_standin(replica.port, "GET", "/runs") for replica in self.replicas]
        return [run for runs in responses for run in json.loads(runs)]

    def start(self) -> None:
        """Writes the configuration, registers all replicas and waits until the gateways know them."""
        self.configure()
        for index in range(len(self.replicas)):
            self.register(index)
        wait_until(self.is_ready)
        for gateway, index in itertools.product(
            range(len(self.gateways)), range(len(self.replicas))
        ):
            self.wait_for_line("upstream", gateway, upstream=f"i-{index}")

    def is_ready(self) -> bool:
        try:
            return all(
                self.get(self.ready_port, "/fescuechute/ready", ip).status == 200
                for ip in self._ips
            )
        except OSError:
            return False

    @property
    def client_ip(self) -> str:
        return self._ip

    @property
    def client_port(self) -> int:
        return 18005

    @property
    def ready_port(self) -> int:
        return 18002

    def get(self, port: int, path: str, ip: str = "") -> Answer:
        conn = http.client.HTTPConnection(ip or self._ip, port, timeout=WAIT_S)
        conn.request("GET", path)
        return Answer(conn.getresponse())

    def connect(self, gateway: int = 0) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(self._ips[gateway], self.client_port, timeout=WAIT_S)

    def send(
        self,
        path="/a/x",
        key="k1",
        body=b"body",
        request_id="9c41",
        host=HOST,
        conn=None,
        prompt="",
    ):
        """Sends a client request and returns the response."""
        conn = conn or self.connect()
        headers = {"Host": host, "X-Fescuechute-Request-Id": request_id}
        headers["X-Fescuechute-Deadline-Ms"] = "2500"
        if path.startswith(MODEL_PATH):
            headers["X-Fescuechute-Model"] = "m"
        if key:
            headers["Authorization"] = f"Token {key}"
        if prompt:
            headers["X-Fescuechute-Prompt-Prefix"] = prompt
        conn.request("POST", path, body=body, headers=headers)
        return Answer(conn.getresponse())

    def log_lines(self, gateway: int = 0) -> list[dict[str, Any]]:
        """Returns the log lines of a gateway."""
        text = self.gateways[gateway].stdout.read_text()
        return [json.loads(line) for line in text.splitlines()]

    def wait_for_line(self, event: str, gateway: int = 0, **fields: Any) -> dict[str, Any]:
        """Waits for a matching log line of a gateway and returns the first one."""

        def matching() -> list[dict[str, Any]]:
            wanted = {"event": event, **fields}.items()
            return [line for line in self.log_lines(gateway) if wanted <= line.items()]

        wait_until(lambda: bool(matching()))
        return matching()[0]

    def _node_settings(self, ip: str = "", node: str = "front-1") -> dict[str, Any]:
        settings = gateway_settings(ip or self._ip, node, self.store.port)
        return {**settings, "limits": self._limits or settings["limits"]}


def gateway_settings(ip: str, node: str, store_port: int) -> dict[str, Any]:
    """Returns the settings of a gateway."""
    return {
        "node_name": node,
        "ip": ip,
        "zone": "z",
        "region": "r",
        "zones": {"z": "r"},
        "listen_addrs": {"front": f"{ip}:18005", "ready_addr": f"{ip}:18002"},
        "port_range": [PEER_PORT, PEER_PORT + 15],
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
        "platform": {"address": f"127.0.0.1:{store_port}"},
    }


def call_standin(port: int, method: str, path: str, body: dict[str, Any] | None = None) -> bytes:
    """Calls a stand-in on this VM and returns the body of its response."""
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
