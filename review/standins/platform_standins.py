"""Stand-ins and helpers for the scripts in `review/`; needs the standard library only."""

from __future__ import annotations

import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "a.example"
KEY = "k1"
PEER_PORT = 17700
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, directory: Path):
        self._file = (directory / "record.txt").open("w")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def add(self, text: str) -> None:
        """Adds one line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
            self._file.flush()


class Store:
    """The metadata store: linearizable keyed topics with snapshots and long polling."""

    def __init__(self) -> None:
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = threading.Condition()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Appends a record; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        with self._changed:
            self._topics.setdefault(topic, []).append((key, data))
            self._changed.notify_all()

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        try:
            while (request := read_request(conn)) is not None:
                status, body = self._answer(request)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
                conn.sendall(head.encode() + body)
        except OSError:
            pass
        finally:
            conn.close()

    def _answer(self, request: Request) -> tuple[int, bytes]:
        path, _, query = request.target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        with self._changed:
            records = self._topics.setdefault(fields.get("topic", ""), [])
            if path.endswith("/log-newest"):
                newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
                items = [
                    {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                    for key, (offset, value) in sorted(newest.items())
                    if value and key > fields.get("after", "")
                ]
                page = {"items": items, "has_more": False, "end": len(records)}
                return 200, json.dumps(page).encode()
            if not path.endswith("/log-read"):
                return 404, b""
            start = int(fields["from"])
            ends_at = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
            while start >= len(records) and (left := ends_at - time.monotonic()) > 0:
                self._changed.wait(left)
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            return 200, body


class Request:
    """A request as a server received it; `body` may still be incomplete."""

    def __init__(self, head: bytes, body: bytes):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ")
        self.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        self.length = int(self.headers.get("content-length", "0"))
        self.body = body

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.headers.get("x-fescuechute-request-id", "")


def read_head(conn: socket.socket) -> Request | None:
    """Returns the next request with what has arrived of its body, None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = conn.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    return Request(head, body)


def read_request(conn: socket.socket) -> Request | None:
    """Returns the next request with its whole body, None at the end of the connection."""
    request = read_head(conn)
    while request is not None and len(request.body) < request.length:
        part = conn.recv(65536)
        if not part:
            return None
        request.body += part
    return request


def loopback_ip(number: int) -> str:
    """Returns an address that other runs do not use, since some ports are the same on all machines."""
    return f"127.{os.getpid() >> 8 & 63 | 64}.{os.getpid() & 255}.{number}"


def free_port(ip: str) -> int:
    """Returns a free port of an address."""
    with socket.create_server((ip, 0)) as sock:
        return int(sock.getsockname()[1])


class Program:
    """One program of the project, started with the command of the deploy file."""

    def __init__(self, role: str, settings: dict[str, Any], directory: Path, name: str):
        self._path = directory / f"{name}.json"
        self.write_settings(settings)
        self._role = role
        self.log = directory / f"{name}.log"
        self._popen: subprocess.Popen[bytes] | None = None

    def write_settings(self, settings: dict[str, Any]) -> None:
        """Replaces the settings file."""
        self._path.write_text(json.dumps(settings))

    def start(self) -> None:
        """Starts the program."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"FESCUECHUTE_SETTINGS": str(self._path), "PYTHONPATH": str(ROOT / "target/deps")}
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                ["python3", "-m", "fescuechute", self._role],
                cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip

    def send_signal(self, number: int) -> None:
        """Sends a signal."""
        assert self._popen is not None
        self._popen.send_signal(number)

    def exit_status(self) -> int | None:
        """Returns the exit status, None while the program runs."""
        return None if self._popen is None else self._popen.poll()

    def resident_bytes(self) -> int:
        """Returns the memory that the program takes, 0 after its end."""
        assert self._popen is not None
        try:
            status = Path(f"/proc/{self._popen.pid}/status").read_text()
        except OSError:
            return 0
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(match[1]) * 1024 if match else 0

    def stop(self) -> None:
        """Kills the program and waits for its end."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
            self._popen.wait()

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the log lines of one kind."""
        lines = self.log.read_text(errors="replace").splitlines() if self.log.exists() else []
        found = [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]
        return [line for line in found if line.get("event") == name]


def settings(node: str, machine_class: str, ip: str, store: Store, **more: Any) -> dict[str, Any]:
    """Returns settings with the figures of the site gcn-despacho."""
    side = machine_class == "side"
    limits = {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4100}
    limits |= {"link_mbps": 1000.0, "disk_mb": 0}
    if side:
        limits |= {
            "cpu_share": 0.645,
            "cores": 2,
            "memory_mb": 168,
            "max_fds": 1124,
            "link_mbps": 3.65,
        }
    return {
        "node_name": node,
        "machine_class": machine_class,
        "serves": ["side"] if side else ["front", "control"],
        "ip": ip,
        "zone": "norte-mty",
        "region": "norte",
        "zones": {"norte-mty": "norte", "centro-qro": "centro", "sur-vhs": "sur"},
        "listen_addrs": {} if side else {"front": f"{ip}:18005", "ready_addr": f"{ip}:18002"},
        "port_range": [PEER_PORT, PEER_PORT + 15],
        "seeds": [],
        "bootstrap": True,
        "limits": limits,
        "heartbeat_ms": 1200,
        "bounds": {
            "seed_lag_s": 3, "addr_reuse_s": 2, "stable_ms": 3000, "ack_ms": 4000, "sync_s": 4,
            "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
            "downgrade_ms": 250, "outer_ms": 5000, "strict_revoke": True, "revoke_ms": 5000,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry_burst": 106, "recovery_s": 12,
            "pass_ms": 120, "retry_after_s": 0, "version_ms": 8000, "version_all_ms": 0,
        },
        "platform": {"address": store.address, "form": "log", "writes_per_s": 400, "reads_per_s": 2000},
        **more,
    }  # fmt: skip


def configuration(
    version: int, services: list[dict[str, Any]], routes: list[dict[str, Any]]
) -> dict[str, Any]:
    """Returns a configuration with the limits of the site gcn-despacho."""
    defaults = {"host": HOST, "timeout_ms": 6000, "target_latency_ms": 400, "priority": 0}
    defaults |= {"max_attempts": 2, "anonymous": False}
    return {
        "version": version,
        "routes": [{**defaults, "name": f"r{n}", **route} for n, route in enumerate(routes)],
        "services": services,
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "taller", "api_keys": [KEY], "priority": 0}],
    }  # fmt: skip


def is_ready(ip: str) -> bool:
    """Returns whether a gateway reports itself ready."""
    try:
        with socket.create_connection((ip, 18002), timeout=2) as conn:
            conn.sendall(b"GET /fescuechute/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in conn.recv(200)
    except OSError:
        return False


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float = 20.0) -> None:
    """Waits until a condition holds.

    Raises:
      CaseError: It does not in time.
    """
    ends_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_at:
            raise CaseError(f"not in time: {what}")
        time.sleep(0.02)


class Answer:
    """An answer as a client received it."""

    def __init__(self, data: bytes, ended: bool):
        head, found, rest = data.partition(b"\r\n\r\n")
        match = re.match(rb"HTTP/1\.1 (\d{3})", head)
        self.status = int(match[1]) if match and found else 0
        self.sealed = b"x-fescuechute-response-seal:" in head.lower()
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        chunked = re.search(rb"(?i)\r\ntransfer-encoding: *chunked", head) is not None
        #: Whether the answer is complete by its framing.
        self.complete = False
        self.body = rest
        if not found:
            return
        if length:
            self.complete = len(rest) >= int(length[1])
        elif chunked:
            self.body = b""
            while match := re.match(rb"([0-9a-fA-F]+)\r\n", rest):
                size = int(match[1], 16)
                if not size:
                    self.complete = rest.endswith(b"\r\n\r\n")
                    break
                self.body += rest[match.end() : match.end() + size]
                rest = rest[match.end() + size + 2 :]
        else:
            self.complete = ended


def send(
    ip: str,
    request_id: str,
    method: str,
    path: str,
    body: bytes = b"",
    deadline_ms: int = 6000,
    **headers: str,
) -> Answer:
    """Sends a request on a new connection and returns the answer."""
    fields = {
        "Host": HOST, "X-Fescuechute-Request-Id": request_id, "Authorization": f"Token {KEY}",
        "X-Fescuechute-Deadline-Ms": str(deadline_ms), "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }  # fmt: skip
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items())
    data = b""
    with socket.create_connection((ip, 18005), timeout=deadline_ms / 1000 + 2) as conn:
        conn.sendall(head.encode() + b"\r\n" + body)
        try:
            while not Answer(data, False).complete:
                part = conn.recv(65536)
                if not part:
                    return Answer(data, True)
                data += part
        except OSError:
            pass
    return Answer(data, False)


def run_case(
    case: Callable[[Path, Record, bool, list[Program]], bool], directory: Path, trouble: bool
) -> None:
    """Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    Args:
      case: Called with a temporary folder, the record, whether to make the disruption, and the list of
        programs to end; returns whether the rule held.
      directory: Folder of the case.
      trouble: Whether to make the disruption.
    """
    record = Record(directory)
    programs: list[Program] = []
    status = NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = HELD if case(Path(folder), record, trouble, programs) else BROKEN
        except Exception as exc:
            record.add(f"the case could not run: {type(exc).__name__}: {exc}")
        finally:
            for program in programs:
                program.stop()
                if os.environ.get("KEEP_LOGS"):
                    (directory / program.log.name).write_bytes(program.log.read_bytes())
    record.add(
        f"TROUBLE={int(trouble)}: " + {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[status]
    )
    sys.stdout.flush()
    os._exit(status)
