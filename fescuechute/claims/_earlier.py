"""Claims and outcomes that a process read in earlier eras of one partition."""

from __future__ import annotations

import math
from collections.abc import Iterator

import attrs

from fescuechute.claims._keys import Scope
from fescuechute.claims._records import ClaimRecord, LogRecord, OutcomeRecord, ReleaseRecord
from fescuechute.claims._view import ClaimsView, ScopeState, ScopeStatus

#: A record of a claim, with the scope of the claim.
ScopedRecord = tuple[Scope, LogRecord]


@attrs.frozen
class KnownScope:
    """The claim that held a scope in an earlier era, and its outcome if it was read."""

    claim: ClaimRecord
    outcome: OutcomeRecord | None


class EarlierEras:
    """Knowledge from earlier eras of the log, which the current one may lack.

    It never lets a call be sent: a key that can have a claim in an earlier era is older than the
    return, so that no view of the current era is complete for it.
    """

    def __init__(self) -> None:
        self._scopes: dict[Scope, KnownScope] = {}
        #: Released claims by claim id.
        self._released: dict[str, ClaimRecord] = {}

    def __len__(self) -> int:
        """Returns the number of scopes in memory."""
        return len(self._scopes)

    def keep(self, view: ClaimsView) -> None:
        """Adds what the view of an era that has ended contains.

        A known outcome is never replaced, and a holding claim only if its release is known.
        """
        for scope, earlier in self._scopes.items():
            early_outcome = view.early_outcome(earlier.claim.claim_id)
            if earlier.outcome is None and early_outcome is not None:
                self._scopes[scope] = KnownScope(earlier.claim, early_outcome)
            if view.has_release(earlier.claim):
                self._released[earlier.claim.claim_id] = earlier.claim
        for claim in view.released_claims():
            self._released[claim.claim_id] = claim
        for scope, claim, outcome in view.holding_claims():
            known = self._scopes.get(scope)
            is_held = known is not None and known.claim.claim_id not in self._released
            if outcome is not None and (known is None or known.outcome is None):
                self._scopes[scope] = KnownScope(claim, outcome)
            elif not is_held:
                self._scopes[scope] = KnownScope(claim, None)

    def claim(self, scope: Scope, view: ClaimsView) -> ClaimRecord | None:
        """Returns the claim that holds a scope, unless its release is known.

        Args:
          scope: The scope.
          view: View of the current era, which may contain the release.
        """
        known = self._scopes.get(scope)
        if known is None or (known.outcome is None and self.is_released(known.claim, view)):
            return None
        return known.claim

    def outcome(self, scope: Scope) -> OutcomeRecord | None:
        """Returns the known outcome of a scope."""
        known = self._scopes.get(scope)
        return known.outcome if known is not None else None

    def is_released(self, claim: ClaimRecord, view: ClaimsView) -> bool:
        """Whether a release of a claim was read in an earlier era or in the current one."""
        return claim.claim_id in self._released or view.has_release(claim)

    def has_released(self, claim_id: str, scope: Scope, view: ClaimsView) -> bool:
        """Whether a claim was read in an earlier era, and its release then or in the current one."""
        known = self._scopes.get(scope)
        is_known = known is not None and known.claim.claim_id == claim_id
        return claim_id in self._released or (
            is_known and known is not None and view.has_release(known.claim)
        )

    def status(self, scope: Scope, content_digest: str, view: ClaimsView) -> ScopeStatus:
        """Returns the state of a scope for a request with this content; FREE if unknown."""
        claim = self.claim(scope, view)
        if claim is None:
            return ScopeStatus(ScopeState.FREE)
        if claim.digest != content_digest:
            return ScopeStatus(ScopeState.REUSED, claim.claim_id)
        outcome = self.outcome(scope) or view.early_outcome(claim.claim_id)
        if outcome is None:
            return ScopeStatus(ScopeState.HELD, claim.claim_id)
        return ScopeStatus(ScopeState.DONE, claim.claim_id, outcome.status, outcome.body)

    def missing_records(self, holder: str, view: ClaimsView) -> Iterator[ScopedRecord]:
        """Returns the records of a holder's claims that the current era lacks, outcomes first.

        Each outcome follows its claim if the claim is lacking as well.
        """
        own = [
            (scope, known) for scope, known in self._scopes.items() if known.claim.holder == holder
        ]
        for scope, known in own:
            if known.outcome is not None and view.outcome(scope) is None:
                if not view.has_claim(known.claim.claim_id):
                    yield scope, known.claim
                yield scope, known.outcome
        for scope, known in own:
            held = known.outcome is None and not self.is_released(known.claim, view)
            if held and not view.has_claim(known.claim.claim_id):
                yield scope, known.claim
        for claim in self._released.values():
            is_held = view.has_claim(claim.claim_id) and not view.has_release(claim)
            if claim.holder == holder and is_held:
                yield claim.scope, ReleaseRecord(claim.claim_id, holder)

    def drop_expired(self, oldest_created_at: float) -> None:
        """Drops the scopes whose key was created earlier, unix seconds."""
        if oldest_created_at == -math.inf:
            return
        for scope in [s for s in self._scopes if s.key.created_at < oldest_created_at]:
            del self._scopes[scope]
        for claim_id, claim in list(self._released.items()):
            if claim.scope.key.created_at < oldest_created_at:
                del self._released[claim_id]
