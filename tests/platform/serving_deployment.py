"""A stager, its engine and a gateway, with clients that send requests to the engine all the while."""

from __future__ import annotations

import http.client
import itertools
import json
import threading
import time

import attrs

from standins.platform.engine import MODEL
from standins.platform.serving_engine import ServingEngine
from tests.harness import Fleet
from tests.platform.deployment import HOST, MODEL_PATH, gateway_settings, wait_until
from tests.platform.stager_deployment import CHUNK_BYTES, CHUNKS, LOOPBACK_IPS, StagerDeployment

INSTANCE = "i-0"
KEY = "k1"
#: Seconds between two requests, and the deadline of each.
SEND_INTERVAL_S = 0.05
DEADLINE_S = 6.0


@attrs.frozen
class Served:
    """A request that was answered with success."""

    id: str
    answered_at: float
    version: int


class Clients:
    """Clients that send a request at each interval, without waiting for earlier responses."""

    def __init__(self, ip: str):
        self._ip = ip
        self.served: list[Served] = []
        #: Number of the requests with each other status; 0 stands for no response.
        self.failed: dict[int, int] = {}
        self._ends = threading.Event()
        self._threads: list[threading.Thread] = []
        self._main = threading.Thread(target=self._send_all, daemon=True)

    def start(self) -> None:
        self._main.start()

    def close(self) -> None:
        """Stops sending and waits for the responses."""
        self._ends.set()
        self._main.join()
        for thread in self._threads:
            thread.join(DEADLINE_S + 1.0)

    def _send_all(self) -> None:
        for number in itertools.count():
            if self._ends.wait(SEND_INTERVAL_S):
                return
            thread = threading.Thread(target=self._send, args=(f"r{number}",), daemon=True)
            self._threads.append(thread)
            thread.start()

    def _send(self, id_: str) -> None:
        headers = {
            "Host": HOST, "X-Fescuechute-Request-Id": id_, "Authorization": f"Token {KEY}",
            "X-Fescuechute-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "X-Fescuechute-Model": MODEL, "X-Fescuechute-Token-Count": "10,15",
        }  # fmt: skip
        conn = http.client.HTTPConnection(self._ip, 18005, timeout=DEADLINE_S)
        status = 0
        try:
            conn.request("POST", f"{MODEL_PATH}x", body=b"prompt", headers=headers)
            response = conn.getresponse()
            version = int(response.getheader("X-Fescuechute-Weight-Versions", "0"))
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            conn.close()
        if status == 200:
            self.served.append(Served(id_, time.monotonic(), version))
        else:
            self.failed[status] = self.failed.get(status, 0) + 1


class ServingDeployment(StagerDeployment):
    """One gateway, one stager and its engine."""

    engine: ServingEngine

    def __init__(self, fleet: Fleet, directory):
        super().__init__(fleet, directory)
        self._gateway_ip = next(LOOPBACK_IPS)
        self._gateway_settings = directory / "front.json"
        self.gateway = None
        self.clients = Clients(self._gateway_ip)

    def start(self) -> None:
        """Starts everything and waits until the engine serves requests."""
        super().start()
        settings = gateway_settings(self._gateway_ip, "front-1", self.store.port)
        self._gateway_settings.write_text(json.dumps(settings))
        args = ("gateway", "--settings", str(self._gateway_settings))
        self.gateway = self._fleet.spawn_module("fescuechute", *args, name="gateway")
        self.clients.start()
        wait_until(lambda: len(self.clients.served) >= 10)

    def close(self) -> None:
        self.clients.close()
        super().close()

    def make_engine(self, seed: int) -> ServingEngine:
        return ServingEngine(CHUNKS, CHUNK_BYTES, self.ip, INSTANCE, self.register)

    def configuration(self) -> dict:
        body = super().configuration()
        body["services"][0] |= {"health_path": "/health", "max_conns": 300}
        body["services"][0]["engine"] |= {"slots": 16, "kv_capacity": 1_000_000}
        route = {
            "name": "lm", "host": HOST, "path_prefix": MODEL_PATH, "kind": "streaming",
            "can_resume": True, "timeout_ms": 6000, "target_latency_ms": 400, "priority": 0,
            "service": "lm", "max_attempts": 2, "anonymous": False,
        }  # fmt: skip
        limits = {"max_header_bytes": 16384, "max_body_bytes": 1 << 20}
        tenants = [{"name": "taller", "api_keys": [KEY]}]
        return body | {"routes": [route], "limits": limits, "tenants": tenants}

    def register(self) -> None:
        entry = {"service": "lm", "address": self.engine.address, "zone": "z", "slots": 16}
        entry |= {"state": "ready", "version": "v1", **self.engine.report()}
        self.put_record("keyed.servers", INSTANCE, entry)

    def wrong_runs(self) -> list:
        """Returns the requests that ran on a load with wrong chunks."""
        return [run for run in list(self.engine.runs) if run.load.wrong]

    def serves(self, version: int, since: float = 0.0) -> bool:
        """Returns whether a request that began since a monotonic time was served on a whole load."""
        whole = {
            run.id
            for run in list(self.engine.runs)
            if run.started_at >= since and run.load.version == version and not run.load.wrong
        }
        return any(served.id in whole for served in list(self.clients.served))
