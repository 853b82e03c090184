"""Plays the disturbances of one seed and checks what happened."""

from __future__ import annotations

import http.client
import shutil
import signal
import threading
import time
import traceback
from contextlib import closing
from pathlib import Path

import attrs

from soak._checks import (
    check_answers,
    check_keys,
    check_log,
    check_replicas,
    check_runs,
    check_versions,
)
from soak._clients import Client, send
from soak._deployment import Deployment
from soak._operator import parse_lines
from soak._options import Options
from soak._plan import Disturbance, Kind, draw_plan
from soak._records import Attempt, Finding
from tests.harness import Fleet, http_json, set_faults

_CLIENTS = 8
#: Seconds within which all is served, first after the start and then after the last disturbance.
START_S = 30.0
RECOVERY_S = 15.0
#: Bounds of the settings: `revoke_ms` and `version_ms`, in seconds.
REVOKE_S = 5.0
VERSION_S = 8.0
_PROBE_PATHS = ("/a/probe", "/once/probe", "/s/stream", "/lm/stream")
_SIGNALS = {Kind.TERMINATE: signal.SIGTERM, Kind.KILL: signal.SIGKILL}
#: Seconds within which a disturbance and what belongs to it are over.
_DISTURBANCE_TIMEOUT_S = 30.0


@attrs.frozen
class Played:
    """The outcome of one play."""

    findings: list[Finding]
    #: Number of the requests of clients, without the probes.
    requests: int
    #: Number of these that were answered with success.
    served: int
    runs: int
    disturbances: int
    #: Seconds from the last disturbance until all was served, None if it was not within the bound.
    recovered_in_s: float | None
    #: What was done, with times.
    timeline: list[str]
    #: Directory of the logs, None if they were removed.
    logs: Path | None


class _Player:
    """One play under way."""

    def __init__(self, fleet: Fleet, options: Options):
        self._options = options
        self.deployment = Deployment(fleet, options)
        self.timeline: list[str] = []
        self.findings: list[Finding] = []
        #: The store stand-in plays one return at a time.
        self._returning = threading.Lock()
        self._probes: list[Attempt] = []
        self.clients: list[Client] = []

    @property
    def attempts(self) -> list[Attempt]:
        """All requests, those of the probes included."""
        return [*self._probes, *(a for client in self.clients for a in client.attempts)]

    def play(self) -> float | None:
        """Plays all disturbances; returns the seconds until all was served again."""
        self.deployment.start()
        if self._wait_until_served(START_S) is None:
            self._find("start", "not all was served after the start")
            return None
        for n in range(_CLIENTS):
            seed = f"{self._options.seed}-{n}"
            ips, operator = self.deployment.gateway_ips, self.deployment.operator
            self.clients.append(Client(f"c{n}", ips, operator, seed))
            self.clients[-1].start()
        self._disturb(draw_plan(self._options))
        set_faults(self.deployment.store.port, down=False, silent=False, turn_away=False)
        self.deployment.operator.configure()
        recovered_in_s = self._wait_until_served(RECOVERY_S)
        if recovered_in_s is None:
            self._find("recovery", f"not all was served {RECOVERY_S} s after the last disturbance")
        for client in self.clients:
            client.close()
        self._check()
        return recovered_in_s

    def _disturb(self, plan: list[Disturbance]) -> None:
        started_at = time.monotonic()
        threads = []
        for disturbance in plan:
            time.sleep(max(0.0, started_at + disturbance.after_s - time.monotonic()))
            thread = threading.Thread(target=self._apply, args=(disturbance,), daemon=True)
            thread.start()
            threads.append(thread)
        deadline = time.monotonic() + _DISTURBANCE_TIMEOUT_S
        for thread in threads:
            thread.join(max(0.0, deadline - time.monotonic()))
            if thread.is_alive():
                self._find("player", "a disturbance is not over")

    def _apply(self, disturbance: Disturbance) -> None:
        details = str(disturbance.details) if disturbance.details else ""
        self._log(f"{disturbance.kind} {disturbance.target} {details}")
        try:
            self._act(disturbance)
        except Exception:
            self._find("player", f"{disturbance.kind}: {traceback.format_exc()}")
        self._log(f"{disturbance.kind} {disturbance.target} is over")

    def _act(self, disturbance: Disturbance) -> None:
        operator, details = self.deployment.operator, disturbance.details
        match disturbance.kind:
            case Kind.TERMINATE | Kind.KILL:
                number, down_s = _SIGNALS[disturbance.kind], float(details["down_s"])
                if not self.deployment.restart(disturbance.target, number, down_s):
                    self._log(f"{disturbance.target} is being restarted already")
            case Kind.HANG_UP:
                node = self.deployment.nodes[disturbance.target]
                # A process that has no handler yet would end by the signal.
                if node.alive and _has_started(node.process.stdout):
                    node.process.kill(signal.SIGHUP)
            case Kind.CONFIGURE:
                operator.configure()
            case Kind.REVOKE:
                operator.revoke()
            case Kind.DECLARE:
                operator.declare()
            case Kind.OUTAGE:
                fault, port = str(details["fault"]), self.deployment.store.port
                set_faults(port, **{fault: True})
                time.sleep(float(details["for_s"]))
                set_faults(port, **{fault: False})
            case Kind.RETURN:
                self._return_store(details)

    def _return_store(self, details: dict[str, float | str | int]) -> None:
        port = self.deployment.store.port
        with self._returning:
            set_faults(port, late_answers_s=details["late_answers_s"])
            body = {name: details[name] for name in ("age_s", "away_s", "connections")}
            status, answer = http_json("POST", port, "/return", body)
            self._log(f"return: {status} {answer}")
            order = {name: details[name] for name in ("order", "seed", "after_s", "gap_s")}
        self.deployment.operator.rewrite(**order)

    def _wait_until_served(self, timeout_s: float) -> float | None:
        """Waits until each gateway serves each kind of request; returns the seconds that it took."""
        started_at = time.monotonic()
        missing = {(name, path) for name in self.deployment.gateway_ips for path in _PROBE_PATHS}
        while missing:
            if time.monotonic() - started_at > timeout_s:
                self._log(f"not served: {sorted(missing)}")
                return None
            missing = {probe for probe in missing if not self._probe(*probe)}
            time.sleep(0.05)
        return time.monotonic() - started_at

    def _probe(self, gateway: str, path: str) -> bool:
        id_ = f"probe-{len(self._probes)}"
        key = self.deployment.operator.written.keys[-1]
        attempt = Attempt(id_, path, key, gateway, time.time(), f"body of {id_}".encode())
        self._probes.append(attempt)
        ip = self.deployment.gateway_ips[gateway]
        with closing(http.client.HTTPConnection(ip, 18005, timeout=6.0)) as conn:
            send(conn, attempt)
        return attempt.status == 200 and attempt.ended

    def _check(self) -> None:
        attempts, runs = self.attempts, self.deployment.runs()
        written = self.deployment.operator.written
        self.findings += check_answers(attempts) + check_runs(attempts, runs)
        self.findings += check_keys(attempts, runs, written, REVOKE_S)
        self.findings += check_versions(runs, written, VERSION_S)
        self.findings += self.deployment.ended_by_themselves()
        for node in self.deployment.nodes.values():
            for process in node.processes:
                lines = parse_lines(process.stdout.read_text())
                self.findings += check_log(process.name, lines)
                self.findings += check_replicas(process.name, lines, self.deployment.down)
                if "Traceback" in (text := process.stderr.read_text()):
                    self._find("fault", f"{process.name}: {text[-2000:]}")

    def _log(self, text: str) -> None:
        self.timeline.append(f"{time.time():.3f} {text}")

    def _find(self, rule: str, text: str) -> None:
        self._log(f"{rule}: {text}")
        self.findings.append(Finding(rule, time.time(), text))


def play(options: Options) -> Played:
    """Plays one seed."""
    fleet = Fleet()
    player = _Player(fleet, options)
    recovered_in_s = None
    try:
        recovered_in_s = player.play()
    finally:
        player.deployment.close()
        fleet.end_all()
        attempts, runs = player.attempts, player.deployment.runs()
        requests = [a for client in player.clients for a in client.attempts]
        (fleet.directory / "timeline.txt").write_text("\n".join(player.timeline) + "\n")
        (fleet.directory / "attempts.txt").write_text("\n".join(map(repr, attempts)) + "\n")
        logs = _keep(fleet, options) if player.findings else None
        if logs is None:
            shutil.rmtree(fleet.directory, ignore_errors=True)
    return Played(
        player.findings, len(requests), sum(a.status == 200 for a in requests), len(runs),
        len(draw_plan(options)), recovered_in_s, player.timeline, logs,
    )  # fmt: skip


def _keep(fleet: Fleet, options: Options) -> Path:
    if options.keep is None:
        return fleet.directory
    logs = options.keep / f"seed-{options.seed}-{int(time.time())}"
    shutil.copytree(fleet.directory, logs)
    shutil.rmtree(fleet.directory, ignore_errors=True)
    return logs


def _has_started(stdout: Path) -> bool:
    return any(line.get("event") == "start" for line in parse_lines(stdout.read_text()))
