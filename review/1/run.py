"""A replica answers early, without a length, and its connection is reset in the middle of the answer."""

from __future__ import annotations

import os
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import platform_standins as p

#: The largest body that the configuration allows.
BODY = b"b" * 4194304
#: Requests of 30 at which a replica crashes: a share of 0.17, as in the site file.
CRASHES = {4, 9, 14, 19, 27}
EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 11)]
CONFIRMATION = b"confirmed: truck 17, winch 4; "
#: Kind of each route, and the whole answer and its first half as sent by the replica.
KINDS = {"reserva": "non_idempotent", "consulta": "idempotent", "plan": "streaming"}
WHOLE = {"reserva": CONFIRMATION * 40, "consulta": CONFIRMATION * 40, "plan": b"".join(EVENTS)}
HALF = {"reserva": CONFIRMATION * 20, "consulta": CONFIRMATION * 20, "plan": b"".join(EVENTS[:5])}


class Replica:
    """A replica that answers before it has read a long body, which the pages allow."""

    def __init__(self, record: p.Record):
        self._record = record
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.crashes = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn:
            request = p.read_head(conn)
            if request is None:
                return
            self._record.add(f"replica: runs {request.id}")
            head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
            head += f"X-Fescuechute-Request-Id: {request.id}\r\n"
            head += "X-Fescuechute-Response-Seal: s\r\n\r\n"
            whole, half = WHOLE[request.id.partition("-")[0]], HALF[request.id.partition("-")[0]]
            if self.crashes:
                # The kernel resets a connection that is closed with unread data.
                conn.sendall(head.encode() + half)
                self._record.add(
                    f"replica: sent {len(half)} of {len(whole)} bytes to {request.id}, crashes"
                )
                return
            conn.sendall(head.encode() + whole)
            conn.shutdown(socket.SHUT_WR)
            # Reads on, so that the rest of the body does not cause a reset.
            while conn.recv(1 << 20):
                pass


def case(folder: Path, record: p.Record, trouble: bool, programs: list[p.Program]) -> bool:
    """Runs the case; returns whether the rule held."""
    store, replica = p.Store(), Replica(record)
    service = {"name": "app", "health_path": "/health", "max_conns": 110}
    routes: list[dict[str, object]] = [
        {"path_prefix": f"/{name}/", "kind": kind, "can_resume": True, "service": "app"}
        for name, kind in KINDS.items()
    ]
    store.put("keyed.op", "config", p.configuration(1, [service], routes))
    for number in range(2):
        entry = {"service": "app", "address": replica.address, "zone": "norte-mty", "slots": 6}
        store.put("keyed.servers", f"i-{number}", {**entry, "state": "ready", "version": "v1"})
    ip = p.loopback_ip(1)
    gateway = p.Program("gateway", p.settings("front-1", "front", ip, store), folder, "gateway")
    programs.append(gateway)
    gateway.start()
    p.wait_until(lambda: p.is_ready(ip), "the gateway is ready")
    time.sleep(0.5)
    held, whole = True, 0
    for number in range(30):
        replica.crashes = trouble and number in CRASHES
        name = list(KINDS)[number % len(KINDS)]
        answer = p.send(ip, f"{name}-{number}", "POST", f"/{name}/x", BODY)
        success = answer.status == 200 and answer.complete
        wrong = success and answer.body != WHOLE[name]
        whole += success and not wrong
        held &= not wrong
        record.add(
            f"client: {name}-{number} got {answer.status}, complete={answer.complete}, {len(answer.body)} bytes"
            + (" BROKEN: a success without the whole body" if wrong else "")
        )
    if not trouble and whole < 30:
        raise p.CaseError(f"only {whole} of 30 requests were served")
    return held


p.run_case(case, Path(__file__).resolve().parent, os.environ.get("TROUBLE", "1") != "0")
