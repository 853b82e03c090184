"""Fold of one partition of the claims stream."""

from __future__ import annotations

import enum
import heapq
import math
from collections.abc import Iterable, Mapping
from typing import Any, TypeGuard

import attrs

from fescuechute.claims._keys import Key, Scope
from fescuechute.claims._records import (
    ClaimRecord,
    LogRecord,
    OutcomeRecord,
    ReleaseRecord,
    parse_record,
)


class ScopeState(enum.Enum):
    """What the log says about a scope."""

    FREE = "free"
    HELD = "held"
    DONE = "done"
    REUSED = "reused"


@attrs.frozen
class ScopeStatus:
    """State of a scope with the fields that belong to it."""

    state: ScopeState
    #: Holder's claim; empty for FREE.
    claim_id: str = ""
    #: HTTP status of the recorded answer, for DONE.
    status: int = 0
    #: JSON text of the recorded answer, for DONE.
    body: str = ""


@attrs.define(eq=False)
class _ClaimRow:
    record: ClaimRecord
    released: bool = False


@attrs.define(eq=False)
class _ScopeRow:
    #: Claims that count, in log order.
    claims: list[_ClaimRow] = attrs.field(factory=list)
    #: Index of the first claim that is not released.
    head: int = 0
    outcome: OutcomeRecord | None = None
    #: Claim that the outcome belongs to.
    done_by: _ClaimRow | None = None

    @property
    def holder(self) -> _ClaimRow | None:
        if self.done_by is not None:
            return self.done_by
        while self.head < len(self.claims) and self.claims[self.head].released:
            self.head += 1
        return self.claims[self.head] if self.head < len(self.claims) else None


class ClaimsView:
    """Who holds which scope, folded from one partition in offset order.

    The times of the records must not decrease along the offsets. All decisions depend on the log's
    times only, so that every process that read the same records decides alike.

    Attributes:
      next_offset: Offset of the next record to fold.
      complete_since: Every record with a later log time, up to `next_offset`, has been folded.
      last_time: Log time of the latest record, unix seconds.
      ignored: Number of records that were invalid or had no effect.
    """

    def __init__(self, window_s: float, skew_s: float, margin_s: float = 60.0):
        self._window_s = window_s
        self._skew_s = skew_s
        self._margin_s = margin_s
        self._scopes: dict[Scope, _ScopeRow] = {}
        self._claims: dict[str, _ClaimRow] = {}
        #: Log time of releases of claims that were not seen yet, by claim id and holder. A claim
        #: whose append was delayed can follow its own release.
        self._early_releases: dict[tuple[str, str], float] = {}
        self._by_age: list[tuple[float, int, Scope]] = []
        self._sequence = 0
        self.next_offset = 0
        self.complete_since = -math.inf
        self.last_time = -math.inf
        self.ignored = 0

    def __len__(self) -> int:
        """Returns the number of scopes in memory."""
        return len(self._scopes)

    def apply(self, records: Iterable[Mapping[str, Any]]) -> None:
        """Folds records as the log gives them; known offsets are skipped.

        A record beyond `next_offset` shows that records are missing, which counts as a truncation.
        """
        for entry in records:
            offset, time = entry.get("offset"), entry.get("time")
            if type(offset) is not int or not is_time(time):
                self.ignored += 1
                continue
            if offset < self.next_offset:
                continue
            if offset > self.next_offset:
                self.mark_truncated(offset, time)
            self.next_offset = offset + 1
            self.last_time = max(self.last_time, time)
            try:
                record = parse_record(entry.get("data"))
            except ValueError:
                self.ignored += 1
            else:
                self._fold(record, time)
        self._drop_old()

    def mark_truncated(self, first_offset: int, at: float) -> None:
        """Notes that the records before an offset cannot be read any more.

        Args:
          first_offset: Oldest offset that can be read.
          at: Latest log time that the missing records can have, unix seconds.
        """
        if first_offset > self.next_offset:
            self.next_offset = first_offset
            self.complete_since = max(self.complete_since, at)
            self.last_time = max(self.last_time, at)
            self._drop_old()

    def complete_for(self, key: Key) -> bool:
        """Whether no claim on this key that counts can be missing."""
        return self.complete_since < key.at - self._skew_s

    def counts(self, key: Key, time: float) -> bool:
        """Whether a claim that the log took at this time counts.

        A claim before `key time - skew` must not count either: a view that is complete for the
        key need not hold it.
        """
        return key.at - self._skew_s <= time <= key.at + self._window_s

    def holder(self, scope: Scope) -> str | None:
        """Returns the id of the claim that holds a scope."""
        row = self._scopes.get(scope)
        held = row.holder if row else None
        return held.record.claim_id if held else None

    def claim(self, scope: Scope) -> ClaimRecord | None:
        """Returns the claim that holds a scope."""
        row = self._scopes.get(scope)
        held = row.holder if row else None
        return held.record if held else None

    def outcome(self, scope: Scope) -> OutcomeRecord | None:
        """Returns the recorded outcome of a scope."""
        row = self._scopes.get(scope)
        return row.outcome if row else None

    def status(self, scope: Scope, content_digest: str) -> ScopeStatus:
        """Returns what a request with this content meets."""
        row = self._scopes.get(scope)
        held = row.holder if row else None
        if row is None or held is None:
            return ScopeStatus(ScopeState.FREE)
        claim_id = held.record.claim_id
        if held.record.digest != content_digest:
            return ScopeStatus(ScopeState.REUSED, claim_id)
        if row.outcome is None:
            return ScopeStatus(ScopeState.HELD, claim_id)
        return ScopeStatus(ScopeState.DONE, claim_id, row.outcome.status, row.outcome.body)

    def may_send(self, claim_id: str, scope: Scope) -> bool:
        """Whether the claim holds its scope without doubt and has no outcome."""
        row = self._scopes.get(scope)
        if row is None or row.outcome is not None or not self.complete_for(scope.key):
            return False
        held = row.holder
        return held is not None and held.record.claim_id == claim_id

    def is_counted(self, claim_id: str) -> bool:
        """Whether the claim was read, counts and is still in memory."""
        return claim_id in self._claims

    def is_released(self, claim_id: str) -> bool:
        """Whether the claim was read together with a valid release."""
        row = self._claims.get(claim_id)
        return row is not None and row.released

    def _fold(self, record: LogRecord, time: float) -> None:
        if isinstance(record, ClaimRecord):
            self._fold_claim(record, time)
        elif isinstance(record, OutcomeRecord):
            self._fold_outcome(record)
        else:
            self._fold_release(record, time)

    def _fold_claim(self, record: ClaimRecord, time: float) -> None:
        # Only copies that count are remembered. Otherwise a view that missed an earlier copy which
        # does not count would decide differently from one that read it.
        if record.claim_id in self._claims or not self.counts(record.scope.key, time):
            self.ignored += 1
            return
        early = self._early_releases.pop((record.claim_id, record.holder), None)
        row = _ClaimRow(record, released=early is not None)
        self._claims[record.claim_id] = row
        scope_row = self._scopes.get(record.scope)
        if scope_row is None:
            scope_row = self._scopes[record.scope] = _ScopeRow()
            self._sequence += 1
            heapq.heappush(self._by_age, (record.scope.key.at, self._sequence, record.scope))
        scope_row.claims.append(row)

    def _fold_outcome(self, record: OutcomeRecord) -> None:
        row = self._claims.get(record.claim_id)
        if row is None or row.released:
            self.ignored += 1
            return
        scope = row.record.scope
        scope_row = self._scopes[scope]
        # Where records are missing, the release that made this claim the holder may be among them.
        if scope_row.outcome is not None or (
            scope_row.holder is not row and self.complete_for(scope.key)
        ):
            self.ignored += 1
            return
        scope_row.outcome = record
        scope_row.done_by = row

    def _fold_release(self, record: ReleaseRecord, time: float) -> None:
        row = self._claims.get(record.claim_id)
        if row is None:
            self._early_releases.setdefault((record.claim_id, record.holder), time)
            return
        scope_row = self._scopes[row.record.scope]
        if row.record.holder != record.holder or scope_row.done_by is row:
            self.ignored += 1
            return
        row.released = True

    def _drop_old(self) -> None:
        # A claim on a dropped key can no longer count, because its log time is past the window.
        horizon = self.last_time - self._window_s - self._margin_s
        while self._by_age and self._by_age[0][0] < horizon:
            _, _, scope = heapq.heappop(self._by_age)
            for claim in self._scopes.pop(scope).claims:
                del self._claims[claim.record.claim_id]
        while self._early_releases:
            oldest, time = next(iter(self._early_releases.items()))
            if time >= horizon - self._skew_s:
                break
            del self._early_releases[oldest]


def is_time(value: object) -> TypeGuard[float]:
    """Whether a value read from the log is a time."""
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
