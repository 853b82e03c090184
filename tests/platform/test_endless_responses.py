"""Replicas that send bytes without end: guards against a gateway that reads them until it fails."""

from __future__ import annotations

import http.client
import itertools
import socket
import threading
import time

import pytest

from tests.platform.deployment import HOST, Deployment, wait_until

#: Seconds that the clients of these tests wait; `X-Fescuechute-Deadline-Ms` of the deployment.
CLIENT_DEADLINE_S = 2.5
#: Megabytes by which the memory of a gateway of 300 MB may grow.
MAX_GROWTH_MB = 100
#: Seconds within which a gateway must respond to others: the platform asks it each second whether it is
#: ready, and takes it out after two questions without an answer.
READY_INTERVAL_S = 1.0
_PART_BYTES = 64 * 1024

OWN = b"X-Fescuechute-Request-Id: 9c41\r\nX-Fescuechute-Response-Seal: s\r\n"
FOREIGN = b"X-Fescuechute-Request-Id: other\r\nX-Fescuechute-Response-Seal: s\r\n"


def chunk(data: bytes) -> bytes:
    """Returns data as one chunk of a chunked body."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


CHUNK = chunk(b"x" * _PART_BYTES)
TINY_CHUNKS = chunk(b"x") * 10_000
EVENT = b"id: %d\ndata: a\n\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

#: Name, path of the request, first bytes of the response, bytes that follow without end.
CASES = [
    ("no HTTP", "/a/x", b"", b"x" * _PART_BYTES),
    ("one header field", "/a/x", b"HTTP/1.1 200 OK\r\nX-A: ", b"x" * _PART_BYTES),
    ("header fields", "/a/x", b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 1000),
    ("interim responses", "/a/x", b"", INTERIM * 1000),
    ("body without length", "/a/x", b"HTTP/1.1 200 OK\r\n" + OWN + b"\r\n", b"x" * _PART_BYTES),
    ("chunked body", "/a/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED, CHUNK),
    ("body of a failure", "/a/x", b"HTTP/1.1 500 E\r\n" + OWN + CHUNKED, CHUNK),
    ("body of a refusal", "/a/x", b"HTTP/1.1 503 E\r\nX-Fescuechute-Not-Executed: 1\r\n" + OWN + CHUNKED, CHUNK),
    ("chunk extension", "/a/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED + b"5;a=", b"x" * _PART_BYTES),
    ("trailer", "/a/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED + b"0\r\n", b"X-A: b\r\n" * 1000),
    ("chunks of one byte", "/a/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED, TINY_CHUNKS),
    ("foreign body of one-byte chunks", "/a/x", b"HTTP/1.1 200 OK\r\n" + FOREIGN + CHUNKED, TINY_CHUNKS),
    ("foreign body", "/a/x", b"HTTP/1.1 200 OK\r\n" + FOREIGN + CHUNKED, CHUNK),
    ("one event", "/s/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED, CHUNK),
    ("event of one-byte chunks", "/s/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED, TINY_CHUNKS),
    ("the first event again", "/s/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED, chunk(EVENT % 1) * 1000),
    ("events without ids", "/s/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED, chunk(b"data: a\n\n") * 1000),
    ("events in large chunks", "/s/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED, chunk(b"data: aa\n\n" * 6000)),
    ("one-byte lines of an event", "/s/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED, chunk(b"a\n" * 1000)),
    ("event after the first", "/s/x", b"HTTP/1.1 200 OK\r\n" + OWN + CHUNKED + b"e\r\nid: 1\ndata: a\n\n\r\n", CHUNK),
]  # fmt: skip


class EndlessReplica:
    """Sends the same bytes to each connection until that is closed."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.start_bytes, self.repeated = b"", b""
        #: Number of connections accepted, and of those closed by the gateway.
        self.accepted = self.closed = 0
        self._thread = threading.Thread(target=self._accept, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._respond, args=(conn,), daemon=True).start()

    def _respond(self, conn: socket.socket) -> None:
        try:
            conn.recv(65536)
            for data in itertools.chain([self.start_bytes], itertools.repeat(self.repeated)):
                conn.sendall(data)
        except OSError:
            self.closed += 1
        finally:
            conn.close()


@pytest.fixture(scope="module")
def replica():
    replica = EndlessReplica()
    replica.start()
    yield replica
    replica.close()


def resident_mb(process) -> float:
    with open(f"/proc/{process.pid}/statm") as file:
        return int(file.read().split()[1]) * 4096 / 1e6


@pytest.mark.parametrize(
    ("name", "path", "start_bytes", "repeated"),
    CASES,
    ids=lambda v: v if isinstance(v, str) else "",
)
def test_endless_response_ends_with_a_failure_in_time(
    fleet, tmp_path, replica, name, path, start_bytes, repeated
):
    """Guards against memory without bound, connections that stay open, and foreign bytes."""
    replica.start_bytes, replica.repeated = start_bytes, repeated
    deployment = start_deployment(fleet, tmp_path, replica)
    before_mb = resident_mb(deployment.gateway)
    accepted, closed = replica.accepted, replica.closed
    started_at = time.monotonic()
    with OtherClient(deployment) as other:
        status, body, complete = send(deployment, path)
    assert other.slowest_s < READY_INTERVAL_S
    assert time.monotonic() - started_at < CLIENT_DEADLINE_S + 0.5
    assert not complete or status in (502, 503, 504)
    assert b"x" not in body
    wait_until(lambda: replica.closed - closed == replica.accepted - accepted > 0, 1.0)
    assert resident_mb(deployment.gateway) - before_mb < MAX_GROWTH_MB


class OtherClient:
    """Sends requests beside a test and measures the slowest one, in seconds."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.slowest_s = 0.0

    def __enter__(self) -> OtherClient:
        self._thread.start()
        return self

    def __exit__(self, *_args: object) -> None:
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._ended.wait(0.02):
            started_at = time.monotonic()
            assert self._deployment.is_ready()
            self.slowest_s = max(self.slowest_s, time.monotonic() - started_at)


def start_deployment(fleet, tmp_path, replica) -> Deployment:
    """Starts a gateway whose two replicas are at the address of the endless one."""
    deployment = Deployment(fleet, tmp_path, replicas=0)
    deployment.configure()
    for instance in ("i-0", "i-1"):
        entry = {"service": "app", "address": f"127.0.0.1:{replica.port}", "zone": "z"}
        deployment.put_record("keyed.servers", instance, {**entry, "slots": 4, "state": "ready"})
    wait_until(deployment.is_ready)
    deployment.wait_for_line("upstream", upstream="i-1")
    return deployment


def send(deployment, path) -> tuple[int, bytes, bool]:
    """Returns the status, the received part of the body, and whether it is complete."""
    conn = deployment.connect()
    headers = {
        "Host": HOST,
        "X-Fescuechute-Request-Id": "9c41",
        "X-Fescuechute-Deadline-Ms": f"{CLIENT_DEADLINE_S * 1000:.0f}",
        "Authorization": "Token k1",
    }
    conn.request("POST", path, b"body", headers)
    response = conn.getresponse()
    try:
        return response.status, response.read(), True
    except http.client.IncompleteRead as exc:
        return response.status, exc.partial, False
    except OSError:
        return response.status, b"", False
