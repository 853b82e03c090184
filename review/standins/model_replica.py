"""Stand-ins of a model replica, with staged pieces and orders, and of the origin of weights."""

from __future__ import annotations

import hashlib
import json
import socket
import threading
import time

import platform_standins as p

CHUNKS = 96
CHUNK_BYTES = 24576
#: Seconds that one call takes at the replica.
CALL_S = 0.001
#: Seconds for which a replica loads.
LOAD_S = 0.3


def piece(version: int, number: int) -> bytes:
    """Returns a piece of a version."""
    seed = hashlib.sha256(b"%d/%d" % (version, number)).digest()
    return (seed * (CHUNK_BYTES // len(seed) + 1))[:CHUNK_BYTES]


def manifest(model: str, version: int) -> bytes:
    """Returns the manifest of a version."""
    digests = [hashlib.sha256(piece(version, number)).hexdigest() for number in range(CHUNKS)]
    body = {"model": model, "version": version, "chunk_bytes": CHUNK_BYTES, "layers": 16}
    return json.dumps({**body, "digests": digests}).encode()


class Server:
    """An HTTP server that answers each request by `answer`."""

    def __init__(self, ip: str):
        self._listener = socket.create_server((ip, 0), backlog=128)
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def answer(self, request: p.Request, connection: int) -> tuple[int, bytes, dict[str, str]]:
        """Returns status, body and header fields of the answer to a request."""
        raise NotImplementedError

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        try:
            while (request := p.read_request(conn)) is not None:
                status, body, fields = self.answer(request, conn.fileno())
                lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
                lines += [f"{name}: {value}" for name, value in fields.items()]
                conn.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        except OSError:
            pass
        finally:
            conn.close()


def parse_target(request: p.Request) -> tuple[str, dict[str, str]]:
    """Returns path and query of a request."""
    path, _, query = request.target.partition("?")
    return path, dict(part.partition("=")[::2] for part in query.split("&") if part)


class Origin(Server):
    """The origin of weights."""

    def answer(self, request: p.Request, connection: int) -> tuple[int, bytes, dict[str, str]]:
        """Returns status, body and header fields of the answer to a request."""
        path, query = parse_target(request)
        version = int(query["version"])
        if "/manifest/" in path:
            return 200, manifest(path.rpartition("/")[2], version), {}
        return 200, piece(version, int(query["num"])), {}


class ModelReplica(Server):
    """A model replica that holds version 1, which is also staged."""

    def __init__(self, ip: str, model: str, record: p.Record):
        self._model = model
        self._record = record
        self.instance = "i-model"
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.version = 1
        self._sequence = 1
        self._busy_until = 0.0
        #: Staged pieces by number.
        self.staged = {number: piece(1, number) for number in range(CHUNKS)}
        #: Monotonic time at which a staged piece turned bad, by number.
        self.bad_since: dict[int, float] = {}
        #: Number of pieces put, and the number of the last one put on each connection.
        self.puts = 0
        self.last_put: dict[int, int] = {}
        #: Ids of the requests that reached the replica.
        self.ran: list[str] = []
        #: Pieces of the loaded version that had been bad for more than 3 s when they were taken.
        self.taken_bad: dict[int, float] = {}
        super().__init__(ip)

    def report(self) -> dict[str, object]:
        """Returns the state of the replica."""
        return {
            "stage": "combined",
            "models": [{"name": self._model, "version": self.version, "adapters": []}],
            "busy": time.monotonic() < self._busy_until,
            "sequence": self._sequence, "queued": 0, "active": 0, "kv_used": 0,
            "kv_total": 1180000, "handles": 0, "born": self.born, "pace": 1.0,
        }  # fmt: skip

    def spoil(self, numbers: list[int]) -> None:
        """Turns staged pieces bad."""
        with self.lock:
            for number in numbers:
                self.staged[number] = b"\0" + self.staged[number][1:]
                self.bad_since[number] = time.monotonic()
        self._record.add(f"replica: staged pieces {numbers} turn bad")

    def answer(self, request: p.Request, connection: int) -> tuple[int, bytes, dict[str, str]]:
        """Returns status, body and header fields of the answer to a request."""
        path, query = parse_target(request)
        if path.endswith("/report"):
            return 200, json.dumps(self.report()).encode(), {}
        if "/stage-put/" in path:
            time.sleep(CALL_S)
            number = int(query["num"])
            with self.lock:
                self.staged[number] = request.body
                self.bad_since.pop(number, None)
                self.puts += 1
                self.last_put[connection] = number
            return 200, b"", {}
        if "/stage-get/" in path:
            data = self.staged.get(int(query["num"])) if "num" in query else None
            return (404, b"", {}) if data is None else (200, data, {})
        if path.endswith("/order"):
            return self._order(json.loads(request.body))
        return self._generate(request)

    def _order(self, order: dict[str, object]) -> tuple[int, bytes, dict[str, str]]:
        version = int(str(order["version"]))
        with self.lock:
            now = time.monotonic()
            if self.version == version:
                return 200, b"{}", {}
            if now < self._busy_until:
                return 409, b"{}", {}
            wrong = [n for n in range(CHUNKS) if self.staged.get(n) != piece(version, n)]
            self.taken_bad = {n: now - self.bad_since.get(n, 0.0) for n in wrong}
            self._busy_until = now + LOAD_S
            self.version = version
            self._sequence += 1
        self._record.add(
            f"replica: accepts the order to start version {version}; wrong pieces and the seconds for which "
            f"they have been bad: { {n: round(s, 2) for n, s in self.taken_bad.items()} }"
        )
        return 202, b"{}", {}

    def _generate(self, request: p.Request) -> tuple[int, bytes, dict[str, str]]:
        fields = {"X-Fescuechute-Request-Id": request.id}
        if request.headers.get("x-fescuechute-target-instance") != self.instance:
            return 421, b"", fields
        if time.monotonic() < self._busy_until:
            return 503, b"", {**fields, "X-Fescuechute-Not-Executed": "1"}
        expected = request.headers.get("x-fescuechute-expect-version", str(self.version))
        if int(expected) != self.version:
            return 421, b"", fields
        self._record.add(f"replica: runs {request.id} on version {self.version}")
        body = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 4))
        fields |= {"X-Fescuechute-Response-Seal": "s", "Content-Type": "text/event-stream"}
        return 200, body, {**fields, "X-Fescuechute-Weight-Versions": str(self.version)}


def engine_service(origin: Origin) -> list[dict[str, object]]:
    """Returns the services of the model and of the origin as the site gcn-despacho has them."""
    engine = {
        "slots": 16, "kv_capacity": 1180000, "stride": 5, "models": [{"name": "m", "warmup_s": LOAD_S}],
        "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0,
        "pairs_per_m": 1.47, "chunk": 2048, "usual": {"prompt": 977, "answer": 94}, "layers": 16,
        "chunks": CHUNKS, "chunk_bytes": CHUNK_BYTES,
    }  # fmt: skip
    return [
        {"name": "lm", "health_path": "/health", "max_conns": 274, "engine": engine},
        {
            "name": "weights",
            "origin": origin.address,
            "zone": "norte-mty",
            "link_mbps": 7.3,
            "max_conns": 48,
        },
    ]
