# ruff: noqa: D102, D103 - as for the stand-ins and tests of the project.
"""While the store is silent, engines that have just loaded their weights stop a gateway.

A gateway is stopped as planned while more requests arrive than its engine can take. Meanwhile engines
that were added load their weights. With the store silent, their registry entries do not show that yet, but
their stagers report it. The requests that wait at the gateway then get no answer.
"""

from __future__ import annotations

import http.client
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import lab as lib  # noqa: E402

PIECES, PIECE_BYTES = 8, 4096
SLOTS = 8
#: Seconds that a request occupies a slot; the profile's mean answer of 94 tokens takes as long.
WORK_S = 0.9
DEADLINE_S = 6.0
#: Seconds between two requests before the stop, and after it on the connections that are open.
SEND_INTERVAL_S = 0.025
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
CALM_S = 4.0
#: Seconds after SIGTERM at which the store falls silent, at which the added engines complete their loads,
#: and at which the last request is sent. The largest outage of the deployment takes 8 s.
SILENT_FROM_S, SILENT_S = 1.5, 8.0
LOADED_AT_S = (2.02, 2.05)
LAST_SENT_S = 3.0


class Client(threading.Thread):
    """Sends one request and waits for its answer."""

    def __init__(self, lab: lib.Lab, id_: str, conn: http.client.HTTPConnection):
        super().__init__(daemon=True)
        self.id, self.status, self.detail = id_, 0, ""
        self.sent_at = self.ended_at = 0.0
        self._lab, self._conn = lab, conn

    def run(self) -> None:
        fields = {
            "Host": lib.HOST, "X-Fescuechute-Request-Id": self.id, "X-Fescuechute-Model": lib.MODEL,
            "X-Fescuechute-Token-Count": "977,94", "X-Fescuechute-Prompt-Prefix": f"{self.id}:977",
            "X-Fescuechute-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }  # fmt: skip
        self.sent_at = time.monotonic()
        try:
            self._conn.request("POST", "/lm/x", body=b"prompt", headers=fields)
            response = self._conn.getresponse()
            response.read()
            self.status = response.status
        except (OSError, http.client.HTTPException) as exc:
            self.detail = f"{type(exc).__name__}: {exc}"
        self.ended_at = time.monotonic()
        waited = self.ended_at - self.sent_at
        end = self.status or f"no answer, {self.detail}"
        self._lab.record.line(f"client: {self.id}: {end} after {waited:.2f} s")


def connect(ip: str) -> http.client.HTTPConnection:
    conn = http.client.HTTPConnection(ip, 18005, timeout=DEADLINE_S + GRACE_S)
    conn.connect()
    return conn


def warm_up(conn: http.client.HTTPConnection, number: int) -> None:
    """Uses a connection once, so that the gateway has it as a kept one."""
    fields = {"Host": lib.HOST, "X-Fescuechute-Request-Id": f"warm-{number}"}
    conn.request("GET", "/app/x", headers=fields)
    response = conn.getresponse()
    response.read()
    if response.status != 200:
        raise lib.CouldNotRunError(f"a plain request is answered with {response.status}")


def case(lab: lib.Lab) -> int:
    ip, ip_a, ip_b, ip_c = (f"{lab.net}.{n}" for n in (2, 10, 11, 12))
    origin = lib.Origin(PIECES, PIECE_BYTES)
    sizes = {"pieces": PIECES, "piece_bytes": PIECE_BYTES, "slots": SLOTS, "work_s": WORK_S}
    engine = lib.Engine(lab, "i-a", ip_a, version=1, **sizes)
    added = [
        lib.Engine(lab, "i-b", ip_b, version=0, **sizes),
        lib.Engine(lab, "i-c", ip_c, version=0, **sizes),
    ]
    for other in added:
        other.may_load.clear()
    app = lib.Replica(lab.record, "i-app")
    lab.store.put("keyed.servers", "i-app", lib.entry("app", app.address, 6))
    services = [
        {"name": "lm", "health_path": "/health", "max_conns": 274,
         "engine": lib.engine_profile(PIECES, PIECE_BYTES, SLOTS, 94)},
        {"name": "app", "health_path": "/health", "max_conns": 110},
        {"name": "weights", "origin": origin.address, "zone": "z", "link_mbps": 7.3, "max_conns": 48},
    ]  # fmt: skip
    routes = [
        lib.route("/lm/", "lm", "idempotent", anonymous=True, sticky=True),
        lib.route("/app/", "app", "idempotent", anonymous=True, timeout_ms=1000),
    ]
    lab.store.put("keyed.op", "config", lib.configuration(1, routes, services))
    lab.store.put("keyed.op", f"version/{lib.MODEL}", {"model": lib.MODEL, "version": 1})
    gateway = lab.start("gateway", lab.gateway_settings(ip, "front-1"))
    for number, side in enumerate((engine, *added), 1):
        address = side.address.partition(":")[0]
        lab.start("stager", lab.stager_settings(address, f"side-{number}", side.address, "lm"))
    lib.wait_until(lambda: lab.is_ready(ip), 15, "the gateway is ready")
    for other in added:
        lib.wait_until(other.order_accepted.is_set, 30, "the added engines have the weights staged")
    time.sleep(CALM_S)

    clients: list[Client] = []

    def send(conn: http.client.HTTPConnection) -> None:
        client = Client(lab, f"{len(clients):04x}", conn)
        clients.append(client)
        client.start()

    kept = [connect(ip) for _ in range(int(LAST_SENT_S / SEND_INTERVAL_S) + 2)]
    for number, conn in enumerate(kept):
        warm_up(conn, number)
    for _ in range(int(2.0 / SEND_INTERVAL_S)):
        send(connect(ip))
        time.sleep(SEND_INTERVAL_S)
    stopped_at = time.monotonic()
    gateway.send_signal(signal.SIGTERM)
    lab.record.line("gateway: SIGTERM")

    def sleep_until(seconds: float) -> None:
        time.sleep(max(0.0, stopped_at + seconds - time.monotonic()))

    def load() -> None:
        sleep_until(SILENT_FROM_S)
        if lib.trouble():
            lab.store.silent = True
            lab.record.line("store: silent")
        for at, other in zip(LOADED_AT_S, added, strict=True):
            sleep_until(at)
            other.may_load.set()

    loader = threading.Thread(target=load, daemon=True)
    loader.start()
    for number, conn in enumerate(kept):
        at = number * SEND_INTERVAL_S
        if at > LAST_SENT_S:
            break
        sleep_until(at)
        send(conn)
    loader.join()
    ended_itself = True
    while gateway.poll() is None:
        if time.monotonic() > stopped_at + GRACE_S:
            ended_itself = False
            gateway.kill()
            lab.record.line("gateway: still runs after `grace_s`; SIGKILL by the platform")
        time.sleep(0.01)
    gateway.wait()
    ended_at = time.monotonic()
    lab.record.line(f"gateway: ended {ended_at - stopped_at:.2f} s after SIGTERM")
    sleep_until(SILENT_FROM_S + SILENT_S)
    lab.store.silent = False
    for client in clients:
        client.join(DEADLINE_S)
    after_stop = [client for client in clients if client.sent_at >= stopped_at]
    lost = [
        client
        for client in after_stop
        if not client.status
        and client.ended_at > client.sent_at + LOSS_SLACK_S
        and client.ended_at < client.sent_at + DEADLINE_S
        and not any(client.id in other.runs for other in (engine, *added))
    ]
    late = [
        c for c in clients if c.status in (503, 504) and c.ended_at > c.sent_at + DEADLINE_S - 0.1
    ]
    faults = lab.lines(gateway, "fault")
    if faults:
        last = faults[0]["trace"].splitlines()[-1]
        lab.record.line(f"log of the gateway: {len(faults)} faults, the first: {last}")
    for conn in kept:
        conn.close()
    for server in (engine, *added, app, origin):
        server.close()
    summary = (
        f"{len(after_stop)} requests since SIGTERM, {len(lost)} of them lost; {len(late)} of all refused"
        f" only at their deadline; the gateway {'ended' if ended_itself else 'did not end'} by itself;"
        f" {len(faults)} faults in its log"
    )
    lab.record.line(summary)
    print(summary)
    if any(other.loaded_at > stopped_at + LAST_SENT_S for other in added):
        raise lib.CouldNotRunError("the added engines have not loaded in time")
    return lib.BROKEN if lost else lib.HELD


if __name__ == "__main__":
    sys.exit(lib.run(FOLDER, case))
