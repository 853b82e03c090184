"""A stager is frozen while it stages a version; pieces that it had just staged turn bad meanwhile."""

from __future__ import annotations

import os
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import model_replica as m
import platform_standins as p

#: Length of a freeze of a `side` machine in the site file, in seconds.
FREEZE_S = 4.0
#: Largest share of the pieces at a replica that turn bad, in the site file.
MAX_ROT = 0.06
#: Seconds for which a piece may have been bad when it is taken.
ALLOWED_BAD_S = 3.0
ROUNDS = 10


def case(folder: Path, record: p.Record, trouble: bool, programs: list[p.Program]) -> bool:
    """Runs the case; returns whether the rule held."""
    rng = random.Random(int(os.environ.get("SEED", time.time_ns())))
    store, front_ip, side_ip = p.Store(), p.loopback_ip(1), p.loopback_ip(2)
    origin, replica = m.Origin("127.0.0.1"), m.ModelReplica(side_ip, "m", record)
    route = {"path_prefix": "/lm/", "kind": "streaming", "can_resume": True, "service": "lm"}
    store.put("keyed.op", "config", p.configuration(1, m.engine_service(origin), [route]))

    def register() -> None:
        entry = {"service": "lm", "address": replica.address, "zone": "norte-mty", "slots": 16}
        entry |= {"state": "ready", "version": "v1", "born": replica.born, **replica.report()}
        store.put("keyed.servers", replica.instance, entry)

    register()
    side = p.settings("side-1", "side", side_ip, store, app=replica.address, service="lm")
    gateway = p.Program(
        "gateway", p.settings("front-1", "front", front_ip, store), folder, "gateway"
    )
    stager = p.Program("stager", side, folder, "stager")
    programs += [gateway, stager]
    gateway.start()
    stager.start()
    p.wait_until(lambda: p.is_ready(front_ip), "the gateway is ready")
    p.wait_until(
        lambda: bool(stager.events("engine.version")), "the stager knows the loaded version"
    )
    time.sleep(1.5)
    held, served = True, 0
    for version in range(2, 2 + ROUNDS):
        puts = replica.puts
        store.put("keyed.op", "version/m", {"model": "m", "version": version})
        record.add(f"operator: names version {version}")
        if trouble:
            # Somewhere between the first and the last piece.
            freeze_at = puts + rng.randrange(10, m.CHUNKS - 10)
            p.wait_until(lambda at=freeze_at: replica.puts >= at, "the stager stages pieces")
            stager.send_signal(signal.SIGSTOP)
            record.add(f"stager: frozen after {replica.puts - puts} pieces were staged")
            time.sleep(0.3)
            unread = sorted(set(replica.last_put.values()))[: int(MAX_ROT * m.CHUNKS)]
            replica.spoil(unread)
            time.sleep(FREEZE_S - 0.3)
            stager.send_signal(signal.SIGCONT)
            record.add("stager: wakes")
        p.wait_until(lambda v=version: replica.version == v, "the replica loads the version")
        register()
        time.sleep(1.0)
        answer = p.send(
            front_ip,
            f"r{version}",
            "POST",
            "/lm/x",
            b"prompt",
            X_Fescuechute_Model="m",
            X_Fescuechute_Token_Count="10,15",
        )
        record.add(
            f"client: r{version} got {answer.status}, complete={answer.complete}, {len(answer.body)} bytes"
        )
        served += answer.status == 200
        bad = {n: s for n, s in replica.taken_bad.items() if s > ALLOWED_BAD_S}
        if bad and answer.status == 200:
            held = False
            record.add(
                f"BROKEN: tokens of r{version} were made with pieces {sorted(bad)} bad for over 3 s when taken"
            )
        replica.last_put.clear()
        time.sleep(1.0)
    if not served:
        raise p.CaseError("no request was served")
    return held


p.run_case(case, Path(__file__).resolve().parent, os.environ.get("TROUBLE", "1") != "0")
