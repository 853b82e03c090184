"""Checks a concurrent run of non-repeatable calls against what must hold for every history.

The evidence has three independent sources: what callers saw, what the services executed, and the
claim streams of the log. `find_violations` names every contradiction between them.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from tests.harness._callers import CallSeen
from tests.harness._http import http_json
from tests.harness._system import System

#: Refusals that tell nothing of earlier attempts with the same key.
_STALE_KEY = ("key_expired", "not_ready")


@attrs.define
class ClaimSeen:
    """One claim in the log and the records that name it."""

    claim_id: str
    key: str
    digest: str
    released: bool = False
    #: Bodies of its outcomes; equal ones may be there twice.
    outcomes: list[str] = attrs.field(factory=list)


@attrs.define
class Evidence:
    """All that is known of one run."""

    rows: Sequence[CallSeen]
    #: Executions of all services: objects with `key` and `request_id`.
    executions: list[dict[str, Any]]
    claims: list[ClaimSeen]

    @property
    def executed(self) -> Counter[str]:
        """Number of executions by key."""
        return Counter(str(entry["key"]) for entry in self.executions if entry["key"])

    @property
    def final(self) -> list[CallSeen]:
        """Attempts made after the system had settled."""
        return [row for row in self.rows if row.final]

    @property
    def unknown_share(self) -> float:
        """Share of keys whose last attempt was answered "unknown"."""
        final = self.final
        return sum(row.ran == "unknown" for row in final) / len(final) if final else 0.0

    def summary(self) -> str:
        """Returns one line of counts."""
        ends = Counter("answered" if row.answered else row.reason[:24] for row in self.rows)
        final = Counter("answered" if row.answered else row.reason[:24] for row in self.final)
        return (
            f"attempts {dict(ends)}; executed keys {len(self.executed)}; "
            f"final {dict(final)}; unknown share {self.unknown_share:.3f}"
        )


def gather(system: System, rows: Sequence[CallSeen]) -> Evidence:
    """Collects the evidence of a run; log and services must answer."""
    executions: list[dict[str, Any]] = []
    for replica in system.replicas:
        if replica.pool.kind == "service":
            executions += http_json("GET", replica.upstream.port, "/executions/log")[1]
    return Evidence(rows, executions, claims_in_log(system))


def claims_in_log(system: System) -> list[ClaimSeen]:
    """Reads all claim streams that the log knows."""
    streams = http_json("GET", system.log.port, "/stats")[1]["streams"]
    claims: list[ClaimSeen] = []
    for stream in sorted(name for name in streams if name.startswith("claims-")):
        _, page = http_json("GET", system.log.port, f"/streams/{stream}/records?limit=10000")
        claims += _claims(entry["data"] for entry in page["records"])
    return claims


def _claims(records: Iterable[dict[str, Any]]) -> list[ClaimSeen]:
    claims: dict[str, ClaimSeen] = {}
    early: set[str] = set()
    for data in records:
        claim_id = data["claim_id"]
        if data["type"] == "claim":
            claim = ClaimSeen(claim_id, data["key"], data["digest"], claim_id in early)
            claims.setdefault(claim_id, claim)
        elif data["type"] == "outcome" and claim_id in claims:
            claims[claim_id].outcomes.append(data["body"])
        elif data["type"] == "release" and claim_id in claims:
            claims[claim_id].released = True
        elif data["type"] == "release":
            early.add(claim_id)
    return list(claims.values())


def find_violations(evidence: Evidence) -> list[str]:
    """Returns one sentence for each contradiction; an empty list for a history that holds."""
    return [
        *_executed_twice(evidence),
        *_false_not_run(evidence),
        *_answers_differ(evidence),
        *_log_contradicts(evidence),
        *_known_but_unknown(evidence),
        *_no_retry_time(evidence),
    ]


def _executed_twice(evidence: Evidence) -> list[str]:
    return [f"{key} executed {n} times" for key, n in evidence.executed.items() if n > 1]


def _false_not_run(evidence: Evidence) -> list[str]:
    """A refusal as not run speaks of the caller's own attempt, which the request id names."""
    executed = {entry["request_id"]: entry["key"] for entry in evidence.executions}
    return [
        f"{row.key} ({row.request_id}) was refused as not run ({row.reason}) and executed"
        for row in evidence.rows
        if row.ran == "not_run" and row.request_id in executed
    ]


def _answers_differ(evidence: Evidence) -> list[str]:
    answers: dict[str, set[str]] = defaultdict(set)
    for row in evidence.rows:
        if row.answered:
            answers[row.key].add(row.result)
    found = [f"{key} was answered with {sorted(a)}" for key, a in answers.items() if len(a) > 1]
    executed = evidence.executed
    return found + [
        f"{key} was answered and never executed" for key in answers if not executed[key]
    ]


def _log_contradicts(evidence: Evidence) -> list[str]:
    found = []
    done: dict[str, list[str]] = defaultdict(list)
    for claim in evidence.claims:
        if claim.released and claim.outcomes:
            found.append(f"{claim.key}: claim {claim.claim_id} has a release and an outcome")
        if len(set(claim.outcomes)) > 1:
            found.append(f"{claim.key}: claim {claim.claim_id} has differing outcomes")
        if claim.outcomes:
            done[claim.key].append(claim.claim_id)
    found += [f"{key}: outcomes under {ids}" for key, ids in done.items() if len(ids) > 1]
    return found


def _known_but_unknown(evidence: Evidence) -> list[str]:
    """After settling, a key is unknown exactly when an unreleased claim has no outcome."""
    known = {claim.key for claim in evidence.claims if claim.outcomes}
    open_keys = {c.key for c in evidence.claims if not c.released and not c.outcomes} - known
    answered = {row.key for row in evidence.rows if row.answered}
    found = []
    for row in evidence.final:
        if row.answered or row.reason in _STALE_KEY:
            continue
        if row.key in known:
            found.append(f"{row.key}: outcome in the log, but answered {row.reason}")
        elif row.key in answered:
            found.append(f"{row.key}: answered before, but now {row.reason}")
        elif row.ran == "unknown" and row.key not in open_keys:
            found.append(f"{row.key}: unknown although no claim in the log is open")
    return found


def _no_retry_time(evidence: Evidence) -> list[str]:
    return [
        f"{row.key} was refused ({row.reason}) without a retry time"
        for row in evidence.rows
        if row.reason in ("log_unavailable", "not_ready") and not row.retry_at
    ]
