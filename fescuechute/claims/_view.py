"""View of one partition of the claims stream: a fold of its records in offset order."""

from __future__ import annotations

import enum
import heapq
import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

from fescuechute.claims._keys import Key, Scope
from fescuechute.claims._records import (
    ClaimRecord,
    EraRecord,
    LogRecord,
    OutcomeRecord,
    ReleaseRecord,
    is_timestamp,
    parse_record,
)


class ScopeState(enum.Enum):
    """State of a scope according to the log."""

    #: No claim holds the scope.
    FREE = "free"
    #: A claim holds the scope, and its outcome is not recorded.
    HELD = "held"
    #: The outcome is recorded.
    DONE = "done"
    #: The scope is held by a claim for a request with other content.
    REUSED = "reused"


@attrs.frozen
class ScopeStatus:
    """State of a scope, with the fields that apply to that state."""

    state: ScopeState
    #: Claim that holds the scope; empty for FREE.
    claim_id: str = ""
    #: HTTP status of the recorded answer, for DONE.
    status: int = 0
    #: JSON text of the recorded answer, for DONE.
    body: str = ""


@attrs.define(eq=False)
class _Claim:
    record: ClaimRecord
    released: bool = False


@attrs.define(eq=False)
class _ScopeClaims:
    #: Claims in log order.
    claims: list[_Claim] = attrs.field(factory=list)
    #: Index of the first claim that is not released.
    first_unreleased: int = 0
    outcome: OutcomeRecord | None = None
    #: Claim to which the outcome belongs.
    outcome_claim: _Claim | None = None

    @property
    def holding_claim(self) -> _Claim | None:
        if self.outcome_claim is not None:
            return self.outcome_claim
        while (
            self.first_unreleased < len(self.claims) and self.claims[self.first_unreleased].released
        ):
            self.first_unreleased += 1
        return (
            self.claims[self.first_unreleased] if self.first_unreleased < len(self.claims) else None
        )


class ClaimsView:
    """Claims, releases and outcomes of each scope, folded from one partition in offset order.

    A claim has an effect only if its log time is within the window of its key. The first claim in
    log order that is not released holds the scope. Log times must not decrease with the offset. All
    decisions depend on log times only, so that all processes that read the same records agree.

    A view belongs to one era of the log. In an era above 0 records from before the return may be
    lost, so the view is complete only for keys that were created after it.

    Attributes:
      era: Era of the log whose records are folded.
      next_offset: Offset of the next record to fold.
      returned_by: Upper bound of the time at which the era began, unix seconds by the log's clock;
        minus infinity in era 0, plus infinity while it is unknown.
      last_time: Log time of the latest record, unix seconds.
      ignored_records: Number of records that were invalid or had no effect.
    """

    def __init__(
        self,
        window_s: float,
        skew_s: float,
        margin_s: float = 60.0,
        era: int = 0,
        last_time: float = -math.inf,
    ):
        self._window_s = window_s
        self._skew_s = skew_s
        self._margin_s = margin_s
        self._scopes: dict[Scope, _ScopeClaims] = {}
        self._claims: dict[str, _Claim] = {}
        #: Log times of releases whose claim was not read yet, by claim id and holder. A claim whose
        #: append was delayed can follow its own release in the log.
        self._early_releases: dict[tuple[str, str], float] = {}
        #: Outcomes whose claim was not read yet, with their log times, by claim id. After a return,
        #: an outcome can be appended again before its claim.
        self._early_outcomes: dict[str, tuple[OutcomeRecord, float]] = {}
        #: Heap of scopes by the creation time of their key; the number breaks ties.
        self._scopes_by_age: list[tuple[float, int, Scope]] = []
        self._last_sequence = 0
        self._truncated_at = -math.inf
        self.era = era
        self.next_offset = 0
        self.returned_by = math.inf if era else -math.inf
        #: Log time of the latest record of the era that bounds its begin.
        self.era_recorded_at = -math.inf
        self.last_time = last_time
        self.ignored_records = 0

    @property
    def complete_since(self) -> float:
        """Every record with a later log time, up to `next_offset`, has been folded."""
        return max(self._truncated_at, self.returned_by)

    def bound_return(self, time: float) -> None:
        """Lowers `returned_by` to a log time at which the era had begun, unix seconds."""
        self.returned_by = min(self.returned_by, time)

    def __len__(self) -> int:
        """Returns the number of scopes in memory."""
        return len(self._scopes)

    def apply(self, records: Iterable[Mapping[str, Any]]) -> None:
        """Folds records in the form that the log returns; known offsets are skipped.

        A record beyond `next_offset` shows that records are missing, which is treated as a
        truncation.
        """
        for log_record in records:
            offset, time = log_record.get("offset"), log_record.get("time")
            if type(offset) is not int or not is_timestamp(time):
                self.ignored_records += 1
                continue
            if offset < self.next_offset:
                continue
            if offset > self.next_offset:
                self.mark_truncated(offset, time)
            self.next_offset = offset + 1
            self.last_time = max(self.last_time, time)
            try:
                record = parse_record(log_record.get("data"))
            except ValueError:
                self.ignored_records += 1
            else:
                self._fold(record, time)
        self._drop_expired()

    def mark_truncated(self, first_offset: int, at: float) -> None:
        """Skips the records before an offset, which can no longer be read.

        Args:
          first_offset: Oldest offset that can be read.
          at: Upper bound of the log times of the missing records, unix seconds.
        """
        if first_offset > self.next_offset:
            self.next_offset = first_offset
            self._truncated_at = max(self._truncated_at, at)
            self.last_time = max(self.last_time, at)
            self._drop_expired()

    @property
    def oldest_created_at(self) -> float:
        """Creation time of the oldest keys that are kept, unix seconds."""
        return self.last_time - self._window_s - self._margin_s

    def complete_for(self, key: Key) -> bool:
        """Whether no claim on the key that has an effect can be missing from the view."""
        return self.complete_since < key.created_at - self._skew_s

    def is_in_window(self, key: Key, time: float) -> bool:
        """Whether a claim on the key with this log time has an effect.

        Claims earlier than the creation time minus the skew have none, because a view that is
        complete for the key may lack them.
        """
        return key.created_at - self._skew_s <= time <= key.created_at + self._window_s

    def holding_claim_id(self, scope: Scope) -> str | None:
        """Returns the id of the claim that holds a scope."""
        scope_claims = self._scopes.get(scope)
        claim = scope_claims.holding_claim if scope_claims else None
        return claim.record.claim_id if claim else None

    def holding_claim(self, scope: Scope) -> ClaimRecord | None:
        """Returns the claim that holds a scope."""
        scope_claims = self._scopes.get(scope)
        claim = scope_claims.holding_claim if scope_claims else None
        return claim.record if claim else None

    def outcome(self, scope: Scope) -> OutcomeRecord | None:
        """Returns the recorded outcome of a scope."""
        scope_claims = self._scopes.get(scope)
        return scope_claims.outcome if scope_claims else None

    def status(self, scope: Scope, content_digest: str) -> ScopeStatus:
        """Returns the state of a scope for a request with this content."""
        scope_claims = self._scopes.get(scope)
        claim = scope_claims.holding_claim if scope_claims else None
        if scope_claims is None or claim is None:
            return ScopeStatus(ScopeState.FREE)
        claim_id = claim.record.claim_id
        if claim.record.digest != content_digest:
            return ScopeStatus(ScopeState.REUSED, claim_id)
        if scope_claims.outcome is None:
            return ScopeStatus(ScopeState.HELD, claim_id)
        return ScopeStatus(
            ScopeState.DONE, claim_id, scope_claims.outcome.status, scope_claims.outcome.body
        )

    def may_send(self, claim_id: str, scope: Scope) -> bool:
        """Whether the claim certainly holds its scope and has no outcome."""
        scope_claims = self._scopes.get(scope)
        if (
            scope_claims is None
            or scope_claims.outcome is not None
            or not self.complete_for(scope.key)
        ):
            return False
        claim = scope_claims.holding_claim
        return claim is not None and claim.record.claim_id == claim_id

    def has_claim(self, claim_id: str) -> bool:
        """Whether the claim was read within its window and is still in memory."""
        return claim_id in self._claims

    def is_released(self, claim_id: str) -> bool:
        """Whether both the claim and a valid release of it were read."""
        claim = self._claims.get(claim_id)
        return claim is not None and claim.released

    def has_release(self, claim: ClaimRecord) -> bool:
        """Whether a release of the claim was read, even if the claim itself was not."""
        early = (claim.claim_id, claim.holder) in self._early_releases
        return early or self.is_released(claim.claim_id)

    def early_outcome(self, claim_id: str) -> OutcomeRecord | None:
        """Returns the outcome of a claim that was not read."""
        early = self._early_outcomes.get(claim_id)
        return early[0] if early is not None else None

    def has_record(self, record: LogRecord) -> bool:
        """Whether a record of a claim was read."""
        if isinstance(record, ClaimRecord):
            return record.claim_id in self._claims
        if isinstance(record, OutcomeRecord):
            claim = self._claims.get(record.claim_id)
            scope_claims = self._scopes[claim.record.scope] if claim is not None else None
            in_scope = scope_claims is not None and scope_claims.outcome is not None
            return in_scope or record.claim_id in self._early_outcomes
        if isinstance(record, ReleaseRecord):
            early = (record.claim_id, record.holder) in self._early_releases
            return early or self.is_released(record.claim_id)
        return record.era == self.era and self.era_recorded_at > -math.inf

    def holding_claims(self) -> Iterator[tuple[Scope, ClaimRecord, OutcomeRecord | None]]:
        """Returns each scope that is held, with its claim and outcome."""
        for scope, scope_claims in self._scopes.items():
            claim = scope_claims.holding_claim
            if claim is not None:
                yield scope, claim.record, scope_claims.outcome

    def released_claims(self) -> Iterator[ClaimRecord]:
        """Returns the claims whose release was read."""
        return (claim.record for claim in self._claims.values() if claim.released)

    def _fold(self, record: LogRecord, time: float) -> None:
        if isinstance(record, ClaimRecord):
            self._fold_claim(record, time)
        elif isinstance(record, OutcomeRecord):
            self._fold_outcome(record, time)
        elif isinstance(record, ReleaseRecord):
            self._fold_release(record, time)
        else:
            self._fold_era(record, time)

    def _fold_era(self, record: EraRecord, time: float) -> None:
        if record.era != self.era:
            self.ignored_records += 1
            return
        self.era_recorded_at = time
        self.bound_return(min(time, record.returned_by))

    def _fold_claim(self, record: ClaimRecord, time: float) -> None:
        # Copies outside the window are not remembered. Otherwise a view that missed such a copy
        # would decide differently from one that read it.
        if record.claim_id in self._claims or not self.is_in_window(record.scope.key, time):
            self.ignored_records += 1
            return
        early_release = self._early_releases.pop((record.claim_id, record.holder), None)
        claim = _Claim(record, released=early_release is not None)
        self._claims[record.claim_id] = claim
        scope_claims = self._scopes.get(record.scope)
        if scope_claims is None:
            scope_claims = self._scopes[record.scope] = _ScopeClaims()
            self._last_sequence += 1
            heapq.heappush(
                self._scopes_by_age,
                (record.scope.key.created_at, self._last_sequence, record.scope),
            )
        scope_claims.claims.append(claim)
        early_outcome = self._early_outcomes.pop(record.claim_id, None)
        if early_outcome is not None:
            self._fold_outcome(early_outcome[0], time)

    def _fold_outcome(self, record: OutcomeRecord, time: float) -> None:
        claim = self._claims.get(record.claim_id)
        if claim is None and self.era:
            self._early_outcomes.setdefault(record.claim_id, (record, time))
            return
        if claim is None or claim.released:
            self.ignored_records += 1
            return
        scope = claim.record.scope
        scope_claims = self._scopes[scope]
        # If records are missing, the release that let this claim hold the scope may be among them.
        if scope_claims.outcome is not None or (
            scope_claims.holding_claim is not claim and self.complete_for(scope.key)
        ):
            self.ignored_records += 1
            return
        scope_claims.outcome = record
        scope_claims.outcome_claim = claim

    def _fold_release(self, record: ReleaseRecord, time: float) -> None:
        claim = self._claims.get(record.claim_id)
        if claim is None and record.claim_id in self._early_outcomes:
            self.ignored_records += 1
            return
        if claim is None:
            self._early_releases.setdefault((record.claim_id, record.holder), time)
            return
        scope_claims = self._scopes[claim.record.scope]
        if claim.record.holder != record.holder or scope_claims.outcome_claim is claim:
            self.ignored_records += 1
            return
        claim.released = True

    def _drop_expired(self) -> None:
        # A claim on a dropped key can no longer have an effect: its log time is past the window.
        horizon = self.oldest_created_at
        while self._scopes_by_age and self._scopes_by_age[0][0] < horizon:
            _, _, scope = heapq.heappop(self._scopes_by_age)
            for claim in self._scopes.pop(scope).claims:
                del self._claims[claim.record.claim_id]
        while self._early_releases:
            oldest, time = next(iter(self._early_releases.items()))
            if time >= horizon - self._skew_s:
                break
            del self._early_releases[oldest]
        while self._early_outcomes:
            claim_id, (_, time) = next(iter(self._early_outcomes.items()))
            if time >= horizon - self._skew_s:
                break
            del self._early_outcomes[claim_id]
