"""Streams that pause are moved off a sound replica during a planned stop, and lost at a full one."""

from __future__ import annotations

import os
import signal
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import model_replica as m
import platform_standins as p

STREAMS = 8
WARM_UP = 80
EVENTS = 10
#: Event after which the replica preempts a request, and the seconds until it goes on. Clients wait for
#: 3.2 s, eight times the longest pause of a stream that is on time.
PAUSE_AFTER, PAUSE_S = 3, 2.0
EVENT_S = 0.05


class Replica:
    """A model replica that is full at times, or one that preempts its requests for some time."""

    def __init__(self, instance: str, preempts: bool, record: p.Record):
        self.instance = instance
        self._preempts = preempts
        self._record = record
        #: Whether requests of others take all slots and the whole queue.
        self.is_full = False
        #: Streams that the replica wrote to their end.
        self.ended: set[str] = set()
        #: Streams whose connection was closed before their end.
        self.cut: set[str] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn:
            while (request := p.read_request(conn)) is not None:
                own = f"X-Fescuechute-Request-Id: {request.id}\r\n"
                if self.is_full:
                    self._record.add(f"{self.instance}: is full, rejects {request.id}")
                    head = f"HTTP/1.1 503 X\r\n{own}X-Fescuechute-Not-Executed: 1\r\n"
                    conn.sendall(head.encode() + b"Content-Length: 0\r\n\r\n")
                    continue
                self._record.add(f"{self.instance}: runs {request.id}")
                head = f"HTTP/1.1 200 OK\r\n{own}X-Fescuechute-Response-Seal: s\r\n"
                conn.sendall(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
                try:
                    self._stream(conn, request.id.startswith("plan"))
                except OSError:
                    self._record.add(f"{self.instance}: the gateway closed {request.id}")
                    self.cut.add(request.id)
                    return
                self.ended.add(request.id)

    def _stream(self, conn: socket.socket, is_long: bool) -> None:
        for number in range(1, EVENTS + 1):
            data = b"id: %d\ndata: token %d\n\n" % (number, number)
            conn.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            pauses = self._preempts and is_long and number == PAUSE_AFTER
            time.sleep(PAUSE_S if pauses else EVENT_S * is_long)
        conn.sendall(b"0\r\n\r\n")


def case(folder: Path, record: p.Record, trouble: bool, programs: list[p.Program]) -> bool:
    """Runs the case; returns whether the rule held."""
    store, origin, ip = p.Store(), m.Origin("127.0.0.1"), p.loopback_ip(1)
    route = {"path_prefix": "/lm/", "kind": "streaming", "can_resume": True, "service": "lm"}
    store.put("keyed.op", "config", p.configuration(1, m.engine_service(origin), [route]))
    replicas = [Replica("i-0", True, record), Replica("i-1", False, record)]
    for replica in replicas:
        entry = {"service": "lm", "address": replica.address, "zone": "norte-mty", "slots": 16}
        entry |= {"models": [{"name": "m", "version": 1, "adapters": []}], "stage": "combined"}
        store.put("keyed.servers", replica.instance, {**entry, "state": "ready", "version": "v1"})
    gateway = p.Program("gateway", p.settings("front-1", "front", ip, store), folder, "gateway")
    programs.append(gateway)
    gateway.start()
    p.wait_until(lambda: p.is_ready(ip), "the gateway is ready")
    time.sleep(0.5)
    answers: dict[str, p.Answer] = {}
    signalled_at = float("inf")
    ended_at: dict[str, float] = {}

    def send(request_id: str) -> None:
        fields = {"X_Fescuechute_Model": "m", "X_Fescuechute_Token_Count": "1290,50"}
        answers[request_id] = p.send(ip, request_id, "POST", "/lm/x", b"prompt", **fields)
        ended_at[request_id] = time.monotonic()

    # Usual traffic, which earns the gateway its retries.
    for number in range(WARM_UP):
        send(f"short-{number}")
    if any(not answer.complete for answer in answers.values()):
        raise p.CaseError("a short stream was not served")
    answers.clear()
    threads = [threading.Thread(target=send, args=(f"plan-{n}",)) for n in range(STREAMS)]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    time.sleep(0.5)
    replicas[1].is_full = True
    record.add("i-1: is full of requests that other gateways send")
    if trouble:
        gateway.send_signal(signal.SIGTERM)
        signalled_at = time.monotonic()
        record.add("platform: SIGTERM to the gateway")
    for thread in threads:
        thread.join()
    # A replica notices that a connection is closed when it goes on after its pause.
    time.sleep(PAUSE_S + EVENTS * EVENT_S)
    held = True
    for request_id, answer in answers.items():
        cut = not answer.complete and request_id in replicas[0].cut
        planned = ended_at[request_id] > signalled_at
        record.add(
            f"client: {request_id} got {answer.status}, complete={answer.complete}, "
            f"{answer.body.count(b'id: ')} of {EVENTS} events"
            + (" (no planned work: not judged)" if cut and not planned else "")
            + (" BROKEN: the gateway ended it, the replica had not" if cut and planned else "")
        )
        held &= not (cut and planned)
    return held


p.run_case(case, Path(__file__).resolve().parent, os.environ.get("TROUBLE", "1") != "0")
