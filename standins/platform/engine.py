"""A model engine that stages chunks and loads them on order, and the origin of its weights.

Both run as threads of the calling process. The engine carries out the calls of one connection one after
the other, and those of different connections side by side, as an engine on a busy VM does. It judges each
load: a chunk must be one of the ordered version, and must not have been corrupt for more than 3 s.
"""

from __future__ import annotations

import contextlib
import hashlib
import itertools
import json
import random
import socket
import threading
import time
from collections.abc import Iterator
from urllib.parse import parse_qs, urlsplit

import attrs

#: Seconds for which a staged chunk may have been corrupt when it is loaded.
MAX_CORRUPT_S = 3.0
MODEL = "m"


def chunk(version: int, index: int, size: int) -> bytes:
    """Returns a chunk of a version."""
    seed = hashlib.sha256(b"%d/%d" % (version, index)).digest()
    return (seed * (size // len(seed) + 1))[:size]


@attrs.frozen
class Request:
    """A request as a server received it."""

    method: str
    path: str
    query: dict[str, str]
    #: Header fields with names in lower case.
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class Response:
    """A response of a server."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = attrs.field(factory=dict)

    def encode(self) -> bytes:
        """Returns the bytes of the response."""
        fields = {"Content-Length": str(len(self.body)), **self.headers}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"HTTP/1.1 {self.status} X\r\n{head}\r\n".encode() + self.body


@attrs.define
class EngineFaults:
    """Faults of the engine; the defaults mean none."""

    #: Bounds of the seconds that a call waits before it is carried out.
    call_s: tuple[float, float] = (0.0, 0.0)
    #: Share of the puts that wait longer, even if their connection is closed meanwhile, and the bounds
    #: of the seconds.
    late_share: float = 0.0
    late_s: tuple[float, float] = (1.0, 3.0)
    #: Share of the responses that are sent twice; the second one when the next request arrives.
    twice_share: float = 0.0
    #: Share of the puts that are answered with success and not carried out.
    dropped_share: float = 0.0
    #: Text in the paths whose responses do not end, and the bytes with which they begin and go on; no
    #: path if empty.
    endless_path: str = ""
    endless_start: bytes = b""
    endless_bytes: bytes = b""


@attrs.frozen
class Load:
    """A load, with the chunks that were wrong and the reason for each."""

    version: int
    wrong: dict[int, str]


def is_unloading(order: dict) -> bool:
    """Returns whether an order leaves the engine without layers of the model."""
    return order.get("from", 0) == order.get("to", -1)


class Server:
    """An HTTP server that carries out the requests of each connection in order."""

    def __init__(self, ip: str = "127.0.0.1"):
        self._listener = socket.create_server((ip, 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self.address = f"{ip}:{self.port}"
        self.connections: set[socket.socket] = set()
        self._lock = threading.RLock()
        self._thread = threading.Thread(target=self._accept, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.close_connections()

    def close_connections(self) -> None:
        """Closes all connections; calls that were received are still carried out."""
        for conn in list(self.connections):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)

    def answer(self, request: Request) -> Response:
        """Returns the response to a request."""
        raise NotImplementedError

    def is_answered_twice(self) -> bool:
        """Returns whether the next response is sent twice."""
        return False

    def endless_response(self, path: str) -> Iterator[bytes]:
        """Returns the parts of a response without end, none if the response is to be an ordinary one."""
        return iter(())

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        self.connections.add(conn)
        extra = b""
        with contextlib.suppress(OSError), conn, conn.makefile("rb") as file:
            while (request := _read_request(file)) is not None:
                if extra:
                    conn.sendall(extra)
                for part in self.endless_response(request.path):
                    conn.sendall(part)
                data = self.answer(request).encode()
                conn.sendall(data)
                extra = data if self.is_answered_twice() else b""
        self.connections.discard(conn)


def _read_request(file) -> Request | None:
    line = file.readline().decode("latin-1").split()
    if len(line) != 3:
        return None
    headers = {}
    while (field := file.readline().decode("latin-1").strip()) != "":
        name, _, value = field.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = file.read(length)
    if len(body) < length:
        return None
    parts = urlsplit(line[1])
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(line[0], parts.path, query, headers, body)


class Origin(Server):
    """The origin of weights."""

    def __init__(self, chunks: int, chunk_bytes: int):
        super().__init__()
        self._chunks = chunks
        self._chunk_bytes = chunk_bytes

    def answer(self, request: Request) -> Response:
        version = int(request.query["version"])
        if "/manifest/" not in request.path:
            return Response(200, chunk(version, int(request.query["num"]), self._chunk_bytes))
        data = [chunk(version, index, self._chunk_bytes) for index in range(self._chunks)]
        digests = [hashlib.sha256(part).hexdigest() for part in data]
        body = {"model": MODEL, "version": version, "chunk_bytes": self._chunk_bytes}
        body |= {"layers": self._chunks, "digests": digests}
        return Response(200, json.dumps(body).encode())


class Engine(Server):
    """A model engine that holds version 1, which is also staged; each chunk is a layer."""

    def __init__(
        self,
        chunks: int,
        chunk_bytes: int,
        seed: int = 0,
        load_s: float = 0.05,
        ip: str = "127.0.0.1",
    ):
        super().__init__(ip)
        self._chunks = chunks
        self._chunk_bytes = chunk_bytes
        self._load_s = load_s
        self._rng = random.Random(seed)
        self.faults = EngineFaults()
        #: Cleared while the engine is stopped: it accepts requests and carries them out afterwards.
        self.running = threading.Event()
        self.running.set()
        self._born_ms = int(time.time() * 1000)
        self.version = 1
        self._sequence = 0
        self._loading_until = 0.0
        self.staged = {index: chunk(1, index, chunk_bytes) for index in range(chunks)}
        self._corrupt_since: dict[int, float] = {}
        self.loads: list[Load] = []
        #: The load that the engine holds, None without a loaded version.
        self.held: Load | None = Load(1, {})
        #: Number of responses without end that were started.
        self.endless_calls = 0
        self.puts = 0

    def corrupt(self, indexes: list[int]) -> None:
        """Corrupts staged chunks."""
        with self._lock:
            for index in indexes:
                if index in self.staged:
                    self.staged[index] = b"\0" + self.staged[index][1:]
                    self._corrupt_since[index] = time.monotonic()

    def restart(self, keeps_staged: bool) -> None:
        """Crashes and restarts without a loaded version; a loss of power also drops staged chunks."""
        with self._lock:
            self._born_ms = int(time.time() * 1000)
            self.version, self._sequence, self._loading_until, self.held = 0, 0, 0.0, None
            if not keeps_staged:
                self.staged.clear()
                self._corrupt_since.clear()
        self.close_connections()

    def endless_response(self, path: str) -> Iterator[bytes]:
        faults = self.faults
        if not faults.endless_path or faults.endless_path not in path:
            return iter(())
        self.endless_calls += 1
        return itertools.chain([faults.endless_start], itertools.repeat(faults.endless_bytes))

    def is_answered_twice(self) -> bool:
        return self._rng.random() < self.faults.twice_share

    def answer(self, request: Request) -> Response:
        born_ms = self._born_ms
        is_put = "/stage-put/" in request.path
        is_late = is_put and self._rng.random() < self.faults.late_share
        time.sleep(self._rng.uniform(*(self.faults.late_s if is_late else self.faults.call_s)))
        self.running.wait()
        with self._lock:
            if born_ms != self._born_ms:
                raise OSError("the engine has crashed")
            if is_put:
                return self._put(int(request.query["num"]), request.body)
            if "/stage-get/" in request.path:
                data = self.staged.get(int(request.query["num"]))
                return Response(404) if data is None else Response(200, data)
            if request.path.endswith("/order"):
                return Response(self._order(json.loads(request.body)), b"{}")
            return Response(200, json.dumps(self.report()).encode())

    def _put(self, index: int, data: bytes) -> Response:
        if self._rng.random() >= self.faults.dropped_share:
            self.staged[index] = data
            self._corrupt_since.pop(index, None)
            self.puts += 1
        return Response(200)

    def _order(self, order: dict) -> int:
        version, now = order["version"], time.monotonic()
        if now < self._loading_until or order.get("precondition", self._sequence) != self._sequence:
            return 409
        if is_unloading(order):
            if version != self.version:
                return 409
            self.version, self.held = 0, None
            self._sequence += 1
            return 202
        if order.get("from", 0) != 0 or order.get("to", self._chunks) != self._chunks:
            return 400
        if version == self.version:
            return 200
        wrong = {}
        for index in range(self._chunks):
            data = self.staged.get(index)
            if data == chunk(version, index, self._chunk_bytes):
                continue
            corrupt_s = now - self._corrupt_since.get(index, 0.0)
            if index not in self._corrupt_since:
                wrong[index] = "missing" if data is None else "of another version"
            elif corrupt_s > MAX_CORRUPT_S:
                wrong[index] = f"corrupt for {corrupt_s:.2f} s"
        self.held = Load(version, wrong)
        self.loads.append(self.held)
        self.version, self._loading_until = version, now + self._load_s
        self._sequence += 1
        return 202

    def report(self) -> dict:
        """Returns the engine's report."""
        models = [{"name": MODEL, "version": self.version, "adapters": []}] if self.version else []
        return {
            "stage": "combined", "models": models, "busy": time.monotonic() < self._loading_until,
            "sequence": self._sequence, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 1_000_000,
            "handles": 0, "born": self._born_ms, "pace": 1.0,
        }  # fmt: skip
