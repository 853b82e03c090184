# ruff: noqa: D102 - as for the stand-ins and tests of the project.
"""Stand-ins and helpers for the scripts of this review; standard library only.

The programs under review run as separate processes, started with the commands of deploy/system.toml. The
store, the replicas and the clients are threads of the script.
"""

from __future__ import annotations

import base64
import contextlib
import hashlib
import http.client
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "a.example"
MODEL = "m"
KEY = "key-1"
WORKSPACE = "taller"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Servers of these pages accept any number of header fields within `max_header_bytes`.
http.client._MAXHEADERS = 10_000


class CouldNotRunError(Exception):
    """The case could not be brought about."""


def trouble() -> bool:
    """Returns whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def loopback_net() -> str:
    """Returns the first three parts of loopback addresses that no other run uses."""
    pid = os.getpid()
    return f"127.{100 + (pid >> 8) % 100}.{pid & 255}"


def wait_until(condition, timeout_s: float, what: str) -> float:
    """Waits for a condition; returns the monotonic seconds at which it held."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise CouldNotRunError(f"not in time: {what}")
        time.sleep(0.02)
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()
        self._lock = threading.Lock()

    def line(self, text: str) -> None:
        with self._lock:
            print(f"{time.monotonic() - self._started:9.3f}  {text}", file=self._file, flush=True)

    def close(self) -> None:
        self._file.close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request, client_address) -> None:
        """Ignores connections that their peers have closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args) -> None:
        """Writes nothing."""

    def answer(self, status: int, body: bytes = b"", **fields: str) -> None:
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))


class Store:
    """The platform's store: the topics keyed.op and keyed.servers, snapshots and long polls."""

    def __init__(self, record: Record):
        self._record = record
        self._lock = threading.Condition()
        self._topics: dict[str, list[tuple[str, bytes]]] = {"keyed.op": [], "keyed.servers": []}
        #: While set, calls get no answer.
        self.silent = False
        self.calls = 0
        store = self

        class Handler(_Handler):
            def do_GET(self) -> None:
                store.calls += 1
                if not store.wait_while_silent():
                    return
                query = {k: v[0] for k, v in parse_qs(urlsplit(self.path).query).items()}
                if self.path.startswith("/fescuechute/log-newest"):
                    body = store.newest(query["topic"])
                else:
                    body = store.read(query)
                if body is not None and store.wait_while_silent():
                    self.answer(200, body)

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def wait_while_silent(self) -> bool:
        """Drops the call if the store is silent."""
        silent = self.silent
        while self.silent:
            time.sleep(0.05)
        return not silent

    def put(self, topic: str, key: str, value: dict | None) -> None:
        """Writes a record as the operator or a replica does; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        with self._lock:
            self._topics[topic].append((key, data))
            self._lock.notify_all()
        if topic == "keyed.op":
            version = "" if value is None else f" version {value.get('version')}"
            self._record.line(f"store: {topic}/{key}{version} acknowledged")

    def newest(self, topic: str) -> bytes:
        with self._lock:
            records = self._topics[topic]
            last = {key: (offset, value) for offset, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(last.items())
                if value
            ]
            return json.dumps({"items": items, "has_more": False, "end": len(records)}).encode()

    def read(self, query: dict[str, str]) -> bytes:
        start, end_at = int(query["from"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._lock:
            records = self._topics[query["topic"]]
            while len(records) <= start and time.monotonic() < end_at:
                self._lock.wait(end_at - time.monotonic())
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            return body

    def close(self) -> None:
        self.silent = False
        self._server.shutdown()
        self._server.server_close()


class Replica:
    """A plain replica: answers each request after a time, with its seal, and counts the runs."""

    def __init__(self, record: Record, instance: str, ip: str = "127.0.0.1", work_s: float = 0.02):
        self.instance, self.work_s = instance, work_s
        self.runs: list[str] = []
        self._record = record
        replica = self

        class Handler(_Handler):
            def handle_any(self) -> None:
                body = self.body()
                replica.serve(self, body)

            do_GET = do_HEAD = do_POST = do_PUT = handle_any  # noqa: N815

        self._server = _Server((ip, 0), Handler)
        self.address = f"{ip}:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def serve(self, call: _Handler, body: bytes) -> None:
        id_ = call.headers.get("X-Fescuechute-Request-Id", "")
        fields = {"X_Fescuechute_Request_Id": id_, "X_Fescuechute_Instance_Id": self.instance}
        if call.path == "/health":
            call.answer(200, b"", **fields)
            return
        if call.headers.get("X-Fescuechute-Target-Instance", self.instance) != self.instance:
            call.answer(421, b"", **fields)
            return
        self.runs.append(id_)
        self._record.line(f"{self.instance}: runs {id_}")
        time.sleep(self.work_s)
        call.answer(
            200, b"answer to " + body[:64], X_Fescuechute_Response_Seal=f"seal.{id_}", **fields
        )

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


def piece(version: int, index: int, size: int) -> bytes:
    """Returns a piece of the weights of a version."""
    seed = hashlib.sha256(b"%d/%d" % (version, index)).digest()
    return (seed * (size // len(seed) + 1))[:size]


class Origin:
    """The origin of weights."""

    def __init__(self, pieces: int, piece_bytes: int):
        class Handler(_Handler):
            def do_GET(self) -> None:
                url = urlsplit(self.path)
                query = {name: int(values[0]) for name, values in parse_qs(url.query).items()}
                version = query["version"]
                if "/piece/" in url.path:
                    self.answer(200, piece(version, query["num"], piece_bytes))
                    return
                parts = [piece(version, index, piece_bytes) for index in range(pieces)]
                digests = [hashlib.sha256(part).hexdigest() for part in parts]
                body = {"model": MODEL, "version": version, "chunk_bytes": piece_bytes}
                body |= {"layers": pieces, "digests": digests}
                self.answer(200, json.dumps(body).encode())

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


class Engine:
    """A model replica on a side machine: stages pieces, loads on order and runs requests in slots.

    Args:
      lab: The lab.
      instance: Its id in the registry.
      ip: Address of its machine.
      pieces: Pieces of a version; each is a layer.
      piece_bytes: Bytes of a piece.
      slots: Requests that it runs at once; twice as many more may wait.
      work_s: Seconds for which a request runs.
      version: Version that it holds at its start, 0 for none.
    """

    LOAD_S = 0.3
    HEARTBEAT_S = 1.2

    def __init__(self, lab, instance, ip, *, pieces, piece_bytes, slots, work_s, version, zone="z"):
        self.instance, self.version, self.slots = instance, version, slots
        self.zone = zone
        self.runs: list[str] = []
        #: Cleared to keep an order that was accepted from being carried out for a while.
        self.may_load = threading.Event()
        self.may_load.set()
        self.order_accepted = threading.Event()
        #: Whether its machine is without power.
        self.off = False
        #: Monotonic time at which the latest version was loaded.
        self.loaded_at = 0.0
        self._lab, self._work_s, self._pieces = lab, work_s, pieces
        self._born_ms = int(time.time() * 1000)
        self._sequence = self._heartbeats = 0
        self._busy = False
        self._lock = threading.Lock()
        self._free = threading.Semaphore(slots)
        self._held = self._running = 0
        self._staged = {n: piece(version, n, piece_bytes) for n in range(pieces)} if version else {}
        engine = self

        class Handler(_Handler):
            def handle_any(self) -> None:
                engine.serve(self, self.body())

            do_GET = do_POST = do_PUT = handle_any  # noqa: N815

        self._server = _Server((ip, 0), Handler)
        self.address = f"{ip}:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._register_forever, daemon=True).start()

    def models(self) -> list[dict]:
        return [{"name": MODEL, "version": self.version, "adapters": []}] if self.version else []

    def _register_forever(self) -> None:
        while self._server is not None:
            self.register()
            time.sleep(self.HEARTBEAT_S)

    def register(self) -> None:
        """Writes the entry, unless the store doesn't answer."""
        if not self._lab.store.silent and not self.off:
            self._heartbeats += 1
            fields = {"stage": "combined", "models": self.models(), "born": self._born_ms}
            fields["zone"] = self.zone
            value = entry("lm", self.address, self.slots, sequence=self._heartbeats, **fields)
            self._lab.store.put("keyed.servers", self.instance, value)

    def serve(self, call: _Handler, body: bytes) -> None:
        if self.off:
            call.close_connection = True
            return
        url = urlsplit(call.path)
        num = int(parse_qs(url.query).get("num", ["0"])[0])
        if url.path == "/fescuechute/report":
            call.answer(200, json.dumps(self._report()).encode())
        elif "/stage-put/" in url.path:
            self._staged[num] = body
            call.answer(200)
        elif "/stage-get/" in url.path:
            data = self._staged.get(num)
            call.answer(404 if data is None else 200, data or b"")
        elif url.path == "/fescuechute/order":
            call.answer(self._order(json.loads(body)), b"{}")
        else:
            self._run(call)

    def _report(self) -> dict:
        # As that of a real engine, the time of a step varies a little.
        pace = 1.0 + 0.01 * (int(time.monotonic() * 4) % 3)
        return {
            "stage": "combined", "models": self.models(), "busy": self._busy,
            "sequence": self._sequence, "queued": max(0, self._held - self._running),
            "active": self._running, "kv_used": 0, "kv_total": 1_180_000, "handles": 0,
            "born": self._born_ms, "pace": pace,
        }  # fmt: skip

    def _order(self, order: dict) -> int:
        if self._busy or order.get("precondition", self._sequence) != self._sequence:
            return 409
        if order["version"] == self.version:
            return 200
        if len(self._staged) < self._pieces:
            return 409
        self._busy, self._sequence = True, self._sequence + 1
        self._lab.record.line(
            f"{self.instance}: accepts the order to load version {order['version']}"
        )
        threading.Thread(target=self._load, args=(order["version"],), daemon=True).start()
        self.order_accepted.set()
        return 202

    def _load(self, version: int) -> None:
        time.sleep(self.LOAD_S)
        self.may_load.wait()
        self.version, self._busy = version, False
        self.loaded_at = time.monotonic()
        self._lab.record.line(f"{self.instance}: has loaded version {version}")
        self.register()

    def _run(self, call: _Handler) -> None:
        id_ = call.headers.get("X-Fescuechute-Request-Id", "")
        fields = {"X_Fescuechute_Request_Id": id_, "X_Fescuechute_Instance_Id": self.instance}
        expected = call.headers.get("X-Fescuechute-Expect-Version")
        if call.headers.get("X-Fescuechute-Target-Instance", self.instance) != self.instance or (
            expected is not None and int(expected) != self.version
        ):
            call.answer(421, b"", **fields)
            return
        with self._lock:
            if not self.version or self._held >= 3 * self.slots:
                call.answer(503, b"", X_Fescuechute_Not_Executed="1", **fields)
                return
            self._held += 1
        with self._free:
            self._running += 1
            self.runs.append(id_)
            self._lab.record.line(f"{self.instance}: runs {id_}")
            time.sleep(self._work_s)
            self._running -= 1
        self._held -= 1
        if self.off:
            call.close_connection = True
            return
        fields |= {"X_Fescuechute_Weight_Versions": str(self.version)}
        call.answer(
            200, b"answer to " + id_.encode(), X_Fescuechute_Response_Seal=f"seal.{id_}", **fields
        )

    def lose_power(self) -> None:
        """Loses everything; serves nothing until `return_after_power_loss`."""
        with self._lock:
            self.off, self.version, self._sequence, self._heartbeats = True, 0, 0, 0
            self._staged, self._busy = {}, False

    def return_after_power_loss(self) -> None:
        """Starts again under the same id, without weights."""
        self._born_ms, self.off = int(time.time() * 1000), False
        self.register()

    def close(self) -> None:
        server, self._server = self._server, None
        server.shutdown()
        server.server_close()


def engine_profile(pieces: int, piece_bytes: int, slots: int, answer_tokens: int) -> dict:
    """Returns the profile of the engines of a service, with the figures of gcn-despacho."""
    return {
        "slots": slots, "kv_capacity": 1180000, "kv_token_bytes": 163840, "link_mbps": 400000.0,
        "stride": 5, "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warmup_s": 0.3}],
        "megabytes": 266000.0, "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227,
        "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0,
        "usual": {"prompt": 977, "answer": answer_tokens}, "layers": pieces, "layer_mb": 4540.0,
        "act_bytes": 16384, "chunks": pieces, "chunk_bytes": piece_bytes,
    }  # fmt: skip


class Lab:
    """Settings, processes and their logs."""

    def __init__(self, folder: Path):
        self.record = Record(folder)
        self.net = loopback_net()
        self.scratch = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.processes: list[subprocess.Popen] = []
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]

    def gateway_settings(self, ip: str, node: str, **changes) -> dict:
        return {
            "node_name": node, "role": "gateway", "machine_class": "front", "serves": ["front"],
            "ip": ip, "zone": "z", "region": "r", "zones": {"z": "r"},
            "listen_addrs": {"front": f"{ip}:18005", "ready_addr": f"{ip}:18002"},
            "port_range": [17700, 17715], "seeds": [], "bootstrap": True, "data_dir": None,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "heartbeat_ms": 1200, "bounds": self.bounds(), "platform": self.platform(), **changes,
        }  # fmt: skip

    def stager_settings(self, ip: str, node: str, app: str, service: str) -> dict:
        return {
            "node_name": node, "role": "stager", "machine_class": "side", "serves": ["side"],
            "ip": ip, "zone": "z", "region": "r", "zones": {"z": "r"},
            "port_range": [17700, 17715], "seeds": [], "bootstrap": True, "data_dir": None,
            "limits": {"cpu_share": 0.645, "cores": 2, "memory_mb": 168, "max_fds": 1124,
                       "link_mbps": 100.0, "disk_mb": 0},
            "heartbeat_ms": 1200, "bounds": self.bounds(), "platform": self.platform(),
            "app": app, "service": service,
        }  # fmt: skip

    def bounds(self) -> dict:
        """Returns the bounds of gcn-despacho."""
        return {
            "seed_lag_s": 3, "addr_reuse_s": 2, "stable_ms": 3000, "ack_ms": 4000, "sync_s": 4,
            "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
            "downgrade_ms": 250, "outer_ms": 5000, "strict_revoke": True, "revoke_ms": 5000,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry_burst": 106, "recovery_s": 12,
            "pass_ms": 120, "retry_after_s": 0, "version_ms": 8000, "version_all_ms": 0,
        }  # fmt: skip

    def platform(self) -> dict:
        return {
            "address": self.store.address, "form": "log", "writes_per_s": 400, "reads_per_s": 2000,
            "parts": 12, "append_ms": 2.0, "part_mb_per_s": 20.0, "read_mb_per_s": 80.0,
            "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200,
            "ttl_min_ms": 1000,
        }  # fmt: skip

    def write_settings(self, settings: dict) -> Path:
        path = self.scratch / f"{settings['node_name']}.json"
        path.write_text(json.dumps(settings))
        return path

    def start(self, role: str, settings: dict) -> subprocess.Popen:
        """Starts a role with its command of the deploy file and the environment of the platform."""
        path = self.write_settings(settings)
        name = f"{settings['node_name']}-{len(self.processes)}"
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target/deps"), "FESCUECHUTE_SETTINGS": str(path)}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.scratch / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(
                self._roles[role]["run"].split(), cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                stdout=log, stderr=subprocess.STDOUT,
            )  # fmt: skip
        process.log_path = self.scratch / f"{name}.log"
        self.processes.append(process)
        self.record.line(f"{role} {settings['node_name']} started, process {process.pid}")
        return process

    def lines(self, process: subprocess.Popen, event: str) -> list[dict]:
        """Returns the log lines of a process with this event."""
        found = []
        for line in process.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                body = json.loads(line)
                if body.get("event") == event:
                    found.append(body)
        return found

    def is_ready(self, ip: str) -> bool:
        try:
            with socket.create_connection((ip, 18002), timeout=1) as sock:
                sock.sendall(b"GET /fescuechute/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.store.close()
        self.record.close()
        shutil.rmtree(self.scratch, ignore_errors=True)


def route(prefix: str, service: str, kind: str, **changes) -> dict:
    """Returns a route of a configuration."""
    return {
        "name": prefix.strip("/"), "host": HOST, "path_prefix": prefix, "kind": kind,
        "service": service, "timeout_ms": 6000, "target_latency_ms": 1000, "priority": 0,
        "max_attempts": 2 if kind != "non_idempotent" else 1, "anonymous": False, **changes,
    }  # fmt: skip


def configuration(version: int, routes: list[dict], services: list[dict], keys=(KEY,)) -> dict:
    """Returns a configuration with the limits of the sites."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": WORKSPACE, "api_keys": list(keys)}],
    }  # fmt: skip


def entry(service: str, address: str, slots: int, **changes) -> dict:
    """Returns the registry entry of a replica."""
    return {
        "service": service, "address": address, "zone": "z", "version": "v1", "slots": slots,
        "state": "ready", "cold_left_ms": 0, "sequence": 1, **changes,
    }  # fmt: skip


def run(folder: Path, case) -> int:
    """Runs a case; returns the exit code."""
    lab = Lab(folder)
    try:
        code = case(lab)
    except CouldNotRunError as exc:
        lab.record.line(f"the case could not run: {exc}")
        print(f"could not run: {exc}")
        code = COULD_NOT_RUN
    finally:
        lab.close()
    return code
