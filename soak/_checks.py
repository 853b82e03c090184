"""Checks of what a play has recorded."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from soak._records import Attempt, Finding, Operators, Run

#: Statuses that promise that a request has not run and never will.
_REFUSED = frozenset({408, 421, 429, 503})
#: Path prefix of the requests that run at most once.
ONCE_PATH = "/once/"
STREAM_EVENTS = 5
MODEL_EVENTS = 3


def expected_answer(attempt: Attempt) -> bytes:
    """Returns the whole body of the response to a request."""
    events = {"/s/": STREAM_EVENTS, "/lm/": MODEL_EVENTS}.get(attempt.path[: -len("stream")])
    if events is None:
        return b"echo " + attempt.body
    return b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, events + 1))


def check_answers(attempts: Iterable[Attempt]) -> list[Finding]:
    """Finds successful responses that are not the caller's own, or that end early unnoticed."""
    findings = []
    for attempt in attempts:
        if attempt.status != 200 or not attempt.ended:
            continue
        id_ = attempt.headers.get("X-Fescuechute-Request-Id")
        if id_ != attempt.id or attempt.answer != expected_answer(attempt):
            text = f"{attempt.path} of {attempt.id} got {id_} with {attempt.answer!r:.200}"
            findings.append(Finding("whole answer", attempt.ended_at, text, attempt.id))
    return findings


def check_runs(attempts: Iterable[Attempt], runs: Iterable[Run]) -> list[Finding]:
    """Finds requests that ran twice although they may not, or that ran after a refusal."""
    runs_by_id = defaultdict(list)
    for run in runs:
        runs_by_id[run.id].append(run)
    findings = []
    for attempt in attempts:
        ran = runs_by_id[attempt.id]
        where = ", ".join(f"{run.replica} at {run.at:.3f}" for run in ran)
        if len(ran) > 1 and attempt.path.startswith(ONCE_PATH):
            text = f"{attempt.id} ran {len(ran)} times: {where}"
            findings.append(Finding("at most once", ran[-1].at, text, attempt.id))
        if ran and attempt.status in _REFUSED:
            text = f"{attempt.id} got {attempt.status} from {attempt.gateway}, but ran: {where}"
            findings.append(Finding("refused", ran[-1].at, text, attempt.id))
    return findings


def check_keys(
    attempts: Iterable[Attempt], runs: Iterable[Run], operators: Operators, revoke_s: float
) -> list[Finding]:
    """Finds runs with a key that was taken away `revoke_s` seconds ago or longer."""
    by_id = {attempt.id: attempt for attempt in attempts}
    findings = []
    for run in runs:
        attempt = by_id.get(run.id)
        revoked_at = operators.revoked.get(attempt.key) if attempt else None
        if attempt and revoked_at is not None and run.at > revoked_at + revoke_s:
            late_s = run.at - revoked_at
            text = f"{run.id} through {attempt.gateway} ran {late_s:.3f} s after {attempt.key} was revoked"
            findings.append(Finding("revoked key", run.at, text, run.id))
    return findings


def check_versions(runs: Iterable[Run], operators: Operators, bound_s: float) -> list[Finding]:
    """Finds runs on weights that a declaration superseded `bound_s` seconds ago or longer."""
    findings = []
    for run in runs:
        for version, declared_at in operators.declared.items():
            late_s = run.at - declared_at
            if run.version is not None and run.version < version and late_s > bound_s:
                text = f"{run.id} began on version {run.version} at {run.replica}, {late_s:.3f} s after {version}"
                findings.append(Finding("version", run.at, text, run.id))
    return findings


def check_replicas(
    process: str,
    lines: Iterable[Mapping[str, Any]],
    down: Mapping[str, Sequence[tuple[float, float]]],
) -> list[Finding]:
    """Finds replicas that a gateway gave up although they lived and sent heartbeats.

    Args:
      process: Name of the gateway.
      lines: Its log.
      down: For each replica, the unix seconds from each end of its process to those at which the store
        is sure to have its entry again.
    """
    findings = []
    for line in lines:
        if line.get("event") != "upstream.gone":
            continue
        name, at = line["upstream"], float(line["at"])
        if not any(start <= at <= end for start, end in down.get(name, ())):
            text = f"{process} gave up {name}, which lived: {line.get('reason')}"
            findings.append(Finding("replica given up", at, text))
    return findings


def check_log(process: str, lines: Sequence[Mapping[str, Any]]) -> list[Finding]:
    """Finds older configurations that a process applied after newer ones, and faults."""
    findings, newest = [], 0
    for line in lines:
        if line.get("event") == "fault":
            text = f"{process}: {line.get('reason')}: {line.get('trace')}"
            findings.append(Finding("fault", float(line["at"]), text))
        if line.get("event") == "configuration":
            if line["version"] <= newest:
                text = f"{process} applied configuration {line['version']} after {newest}"
                findings.append(Finding("older configuration", float(line["at"]), text))
            newest = max(newest, line["version"])
    return findings
