"""Records of this process that were not read back from the log yet."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from fescuechute.claims._earlier import ScopedRecord
from fescuechute.claims._keys import Scope
from fescuechute.claims._partition import PartitionLog
from fescuechute.claims._records import OutcomeRecord, ReleaseRecord


class UnreadRecords:
    """Outcomes and releases of this process until their partition shows them."""

    def __init__(self, holder: str, partition_log: Callable[[Scope], PartitionLog]):
        """Creates an empty collection.

        Args:
          holder: Name of this process.
          partition_log: Returns the partition of a scope.
        """
        self._holder = holder
        self._partition_log = partition_log
        #: Outcomes that were reported to this process, by claim id.
        self._outcomes: dict[str, tuple[Scope, OutcomeRecord]] = {}
        #: Own claims that will not be used to send, by claim id.
        self._releases: dict[str, Scope] = {}

    def add_outcome(self, scope: Scope, outcome: OutcomeRecord) -> None:
        """Adds the outcome of a claim of this process."""
        self._outcomes[outcome.claim_id] = (scope, outcome)

    def add_release(self, scope: Scope, claim_id: str) -> ReleaseRecord:
        """Adds and returns the release of a claim of this process."""
        self._releases[claim_id] = scope
        return ReleaseRecord(claim_id, self._holder)

    def outcome(self, claim_id: str) -> OutcomeRecord | None:
        """Returns the outcome of a claim."""
        unread = self._outcomes.get(claim_id)
        return unread[1] if unread is not None else None

    def is_released(self, claim_id: str) -> bool:
        """Whether a claim of this process is released."""
        return claim_id in self._releases

    def of_partition(self, number: int) -> Iterator[ScopedRecord]:
        """Returns the records of a partition, outcomes first."""
        for scope, outcome in self._outcomes.values():
            if self._partition_log(scope).number == number:
                yield scope, outcome
        for claim_id, scope in self._releases.items():
            if self._partition_log(scope).number == number:
                yield scope, ReleaseRecord(claim_id, self._holder)

    def drop_settled(self) -> None:
        """Drops records that were read back or whose key aged out."""
        for claim_id, (scope, _) in list(self._outcomes.items()):
            partition_log = self._partition_log(scope)
            if partition_log.has_outcome(scope) or partition_log.has_aged_out(scope):
                del self._outcomes[claim_id]
        for claim_id, scope in list(self._releases.items()):
            partition_log = self._partition_log(scope)
            if partition_log.view.is_released(claim_id) or partition_log.has_aged_out(scope):
                del self._releases[claim_id]
