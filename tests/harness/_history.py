"""Checks the history of a concurrent run of non-repeatable calls for violations.

The evidence has three independent sources: the results of the callers, the executions of the
services, and the claim streams of the log. `find_violations` reports each contradiction between
them.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from tests.harness._callers import CallAttempt
from tests.harness._http import http_json
from tests.harness._system import System

#: Refusal reasons that say nothing about earlier attempts with the same key.
_INCONCLUSIVE_REASONS = ("key_expired", "not_ready")


@attrs.define
class LoggedClaim:
    """One claim in the log, with the outcomes and releases recorded for it."""

    claim_id: str
    key: str
    digest: str
    released: bool = False
    #: Bodies of its outcome records; an outcome may be recorded more than once.
    outcomes: list[str] = attrs.field(factory=list)


@attrs.define
class Evidence:
    """The evidence of one run."""

    rows: Sequence[CallAttempt]
    #: Executions by all services, as objects with `key` and `request_id`.
    executions: list[dict[str, Any]]
    claims: list[LoggedClaim]

    @property
    def executions_by_key(self) -> Counter[str]:
        """Returns the number of executions by key."""
        return Counter(str(entry["key"]) for entry in self.executions if entry["key"])

    @property
    def final_attempts(self) -> list[CallAttempt]:
        """Returns the attempts made after the scenario, in a quiet system."""
        return [row for row in self.rows if row.final]

    @property
    def unknown_share(self) -> float:
        """Returns the share of keys whose outcome is unknown in the final attempt, from 0 to 1."""
        final_rows = self.final_attempts
        return (
            sum(row.ran == "unknown" for row in final_rows) / len(final_rows) if final_rows else 0.0
        )

    def summary(self) -> str:
        """Returns the counts of the run as one line."""
        counts = Counter("answered" if row.answered else row.reason[:24] for row in self.rows)
        final_counts = Counter(
            "answered" if row.answered else row.reason[:24] for row in self.final_attempts
        )
        return (
            f"attempts {dict(counts)}; executed keys {len(self.executions_by_key)}; "
            f"final {dict(final_counts)}; unknown share {self.unknown_share:.3f}"
        )


def collect_evidence(system: System, rows: Sequence[CallAttempt]) -> Evidence:
    """Collects the evidence of a run; the log and all services must be reachable."""
    executions: list[dict[str, Any]] = []
    for replica in system.replicas:
        if replica.pool.kind == "service":
            executions += http_json("GET", replica.upstream.port, "/executions/log")[1]
    return Evidence(rows, executions, claims_in_log(system))


def claims_in_log(system: System) -> list[LoggedClaim]:
    """Reads the claims of all claim streams in the log."""
    streams = http_json("GET", system.log.port, "/stats")[1]["streams"]
    claims: list[LoggedClaim] = []
    for stream in sorted(name for name in streams if name.startswith("claims-")):
        _, page = http_json("GET", system.log.port, f"/streams/{stream}/records?limit=10000")
        claims += _parse_claims(entry["data"] for entry in page["records"])
    return claims


def _parse_claims(records: Iterable[dict[str, Any]]) -> list[LoggedClaim]:
    claims: dict[str, LoggedClaim] = {}
    released_before_claim: set[str] = set()
    for data in records:
        if data["type"] == "era":
            continue
        claim_id = data["claim_id"]
        if data["type"] == "claim":
            claim = LoggedClaim(
                claim_id, data["key"], data["digest"], claim_id in released_before_claim
            )
            claims.setdefault(claim_id, claim)
        elif data["type"] == "outcome" and claim_id in claims:
            claims[claim_id].outcomes.append(data["body"])
        elif data["type"] == "release" and claim_id in claims:
            claims[claim_id].released = True
        elif data["type"] == "release":
            released_before_claim.add(claim_id)
    return list(claims.values())


def find_violations(evidence: Evidence) -> list[str]:
    """Returns one message per violation, an empty list for a correct history."""
    return [
        *_find_repeated_executions(evidence),
        *_find_false_refusals(evidence),
        *_find_differing_answers(evidence),
        *_find_log_contradictions(evidence),
        *_find_wrong_unknown_outcomes(evidence),
        *_find_missing_retry_times(evidence),
    ]


def _find_repeated_executions(evidence: Evidence) -> list[str]:
    return [f"{key} executed {n} times" for key, n in evidence.executions_by_key.items() if n > 1]


def _find_false_refusals(evidence: Evidence) -> list[str]:
    """Finds refusals as not run whose own attempt, identified by its request id, was executed."""
    executed_requests = {entry["request_id"]: entry["key"] for entry in evidence.executions}
    return [
        f"{row.key} ({row.request_id}) was refused as not run ({row.reason}) and executed"
        for row in evidence.rows
        if row.ran == "not_run" and row.request_id in executed_requests
    ]


def _find_differing_answers(evidence: Evidence) -> list[str]:
    answers: dict[str, set[str]] = defaultdict(set)
    for row in evidence.rows:
        if row.answered:
            answers[row.key].add(row.result)
    violations = [
        f"{key} was answered with {sorted(a)}" for key, a in answers.items() if len(a) > 1
    ]
    execution_counts = evidence.executions_by_key
    return violations + [
        f"{key} was answered and never executed" for key in answers if not execution_counts[key]
    ]


def _find_log_contradictions(evidence: Evidence) -> list[str]:
    violations = []
    claim_ids_by_key: dict[str, list[str]] = defaultdict(list)
    for claim in evidence.claims:
        if claim.released and claim.outcomes:
            violations.append(f"{claim.key}: claim {claim.claim_id} has a release and an outcome")
        if len(set(claim.outcomes)) > 1:
            violations.append(f"{claim.key}: claim {claim.claim_id} has differing outcomes")
        if claim.outcomes:
            claim_ids_by_key[claim.key].append(claim.claim_id)
    violations += [
        f"{key}: outcomes under {ids}" for key, ids in claim_ids_by_key.items() if len(ids) > 1
    ]
    return violations


def _find_wrong_unknown_outcomes(evidence: Evidence) -> list[str]:
    """Finds wrong final answers.

    In a quiet system, the outcome of a key is unknown exactly if it has an unreleased claim and no
    outcome in the log.
    """
    keys_with_outcome = {claim.key for claim in evidence.claims if claim.outcomes}
    open_keys = {
        c.key for c in evidence.claims if not c.released and not c.outcomes
    } - keys_with_outcome
    answered_keys = {row.key for row in evidence.rows if row.answered}
    violations = []
    for row in evidence.final_attempts:
        if row.answered or row.reason in _INCONCLUSIVE_REASONS:
            continue
        if row.key in keys_with_outcome:
            violations.append(f"{row.key}: outcome in the log, but refused with {row.reason}")
        elif row.key in answered_keys:
            violations.append(f"{row.key}: answered before, but finally refused with {row.reason}")
        elif row.ran == "unknown" and row.key not in open_keys:
            violations.append(f"{row.key}: outcome unknown although the log has no open claim")
    return violations


def _find_missing_retry_times(evidence: Evidence) -> list[str]:
    return [
        f"{row.key} was refused ({row.reason}) without a retry time"
        for row in evidence.rows
        if row.reason in ("log_unavailable", "not_ready") and not row.retry_at
    ]
