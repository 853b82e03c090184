"""Appends of claim records in place of entries that have disconnected."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from fescuechute.claims import OutcomeRecord, ReleaseRecord
from fescuechute.net import HttpResult

if TYPE_CHECKING:
    from fescuechute.agent._daemon import AgentDaemon

#: Seconds for which a record is kept, in case its entry terminates before appending it.
KEEP_RECORDS_S = 60.0
#: Seconds between a failed append and the next one to the same partition.
APPEND_RETRY_S = 0.5
#: Maximum number of records per append. The log service limits the number of appends, and a busy entry
#: leaves the outcomes of a whole minute behind.
BATCH_RECORDS = 64


@attrs.define(eq=False)
class _KeptRecord:
    """A record that its entry may not have appended."""

    #: Entry that holds the claim.
    peer_id: str
    #: Partition of the log stream that holds the claim.
    partition: int
    record: OutcomeRecord | ReleaseRecord
    #: Unix seconds.
    keep_until: float
    #: Whether this agent must append it, because the entry has disconnected.
    orphaned: bool


class ClaimRecorder:
    """Keeps records while their entry may append them, and appends those of disconnected entries."""

    def __init__(self, node: AgentDaemon):
        self._node = node
        #: Records by record id.
        self._kept: dict[str, _KeptRecord] = {}
        #: Partitions with an append in flight.
        self._appending: set[int] = set()
        #: Unix seconds before which nothing is appended to a partition.
        self._next_append_at: dict[int, float] = {}

    @property
    def unrecorded(self) -> int:
        """Number of records that this agent must still append."""
        return sum(kept.orphaned for kept in self._kept.values())

    def keep(
        self, peer_id: str, partition: int, record: OutcomeRecord | ReleaseRecord, orphaned: bool
    ) -> None:
        """Stores a record until it is appended or its time has passed.

        Args:
          peer_id: Entry that holds the claim.
          partition: Partition of the claim.
          record: The record.
          orphaned: Whether the entry has disconnected, so that this agent must append the record.
        """
        keep_until = self._node.clock.now() + KEEP_RECORDS_S
        self._kept[record.record_id] = _KeptRecord(peer_id, partition, record, keep_until, orphaned)

    def peer_down(self, peer_id: str) -> None:
        """Marks for append the records that a disconnected entry may not have appended."""
        for kept in self._kept.values():
            if kept.peer_id == peer_id:
                kept.orphaned = True

    def tick(self, now: float) -> None:
        """Appends orphaned records that are due and drops the others after their time."""
        due: dict[int, list[_KeptRecord]] = defaultdict(list)
        for record_id, kept in list(self._kept.items()):
            if kept.orphaned:
                due[kept.partition].append(kept)
            elif now >= kept.keep_until:
                del self._kept[record_id]
        for partition, rows in due.items():
            if partition not in self._appending and now >= self._next_append_at.get(partition, 0.0):
                self._append(partition, [kept.record for kept in rows[:BATCH_RECORDS]])

    def _append(self, partition: int, records: list[OutcomeRecord | ReleaseRecord]) -> None:
        self._appending.add(partition)
        body = {"records": [{"id": r.record_id, "data": r.to_data()} for r in records]}

        def on_result(result: HttpResult) -> None:
            self._appending.discard(partition)
            if not result.ok:
                # The append may have taken effect. Duplicate records of a claim have no further effect.
                self._next_append_at[partition] = self._node.clock.now() + APPEND_RETRY_S
                return
            for record in records:
                self._node.count("claims.recorded_for_entry")
                self._kept.pop(record.record_id, None)

        path = f"/streams/claims-{partition}/records"
        data = json.dumps(body).encode()
        self._node.http.call("POST", self._node.log_server, path, on_result, body=data)
