"""Records about claims that an agent appends in place of an entry that is gone."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from fescuechute.claims import OutcomeRecord, ReleaseRecord
from fescuechute.net import HttpResult

if TYPE_CHECKING:
    from fescuechute.agent._daemon import AgentDaemon

#: Seconds for which a known outcome is kept, in case its entry dies before recording it.
KEEP_OUTCOMES_S = 60.0
#: Seconds between attempts to append.
APPEND_RETRY_S = 0.5
#: Records in one append. The log's limit is on appends, and the end of a busy entry leaves the
#: outcomes of a whole minute.
BATCH_RECORDS = 64


@attrs.define(eq=False)
class _Kept:
    """A record that its entry may not have appended."""

    peer_id: str
    partition: int
    record: OutcomeRecord | ReleaseRecord
    keep_until: float
    #: Whether this agent has to append it.
    orphaned: bool


class ClaimRecorder:
    """Keeps records until their entry had time to append them, and appends those of dead ones."""

    def __init__(self, node: AgentDaemon):
        self._node = node
        self._kept: dict[str, _Kept] = {}
        #: Partitions with an append in flight.
        self._appending: set[int] = set()
        #: Unix seconds before which nothing is appended to a partition.
        self._append_at: dict[int, float] = {}

    @property
    def unrecorded(self) -> int:
        """Records that this agent still has to append."""
        return sum(kept.orphaned for kept in self._kept.values())

    def keep(
        self, peer_id: str, partition: int, record: OutcomeRecord | ReleaseRecord, orphaned: bool
    ) -> None:
        """Takes a record.

        Args:
          peer_id: Entry that holds the claim.
          partition: Partition of the claim.
          record: The record.
          orphaned: The entry is gone, so that this agent appends the record.
        """
        keep_until = self._node.clock.now() + KEEP_OUTCOMES_S
        self._kept[record.record_id] = _Kept(peer_id, partition, record, keep_until, orphaned)

    def peer_gone(self, peer_id: str) -> None:
        """Notes that an entry may not have appended its latest records."""
        for kept in self._kept.values():
            if kept.peer_id == peer_id:
                kept.orphaned = True

    def tick(self, now: float) -> None:
        """Appends what is due and forgets what entries had time to append."""
        due: dict[int, list[_Kept]] = defaultdict(list)
        for record_id, kept in list(self._kept.items()):
            if kept.orphaned:
                due[kept.partition].append(kept)
            elif now >= kept.keep_until:
                del self._kept[record_id]
        for partition, rows in due.items():
            if partition not in self._appending and now >= self._append_at.get(partition, 0.0):
                self._append(partition, [kept.record for kept in rows[:BATCH_RECORDS]])

    def _append(self, partition: int, records: list[OutcomeRecord | ReleaseRecord]) -> None:
        self._appending.add(partition)
        body = {"records": [{"id": r.record_id, "data": r.to_data()} for r in records]}

        def appended(result: HttpResult) -> None:
            self._appending.discard(partition)
            if not result.ok:
                # The append may have taken effect; a second record of one claim is folded once.
                self._append_at[partition] = self._node.clock.now() + APPEND_RETRY_S
                return
            for record in records:
                self._node.count("claims.recorded_for_entry")
                self._kept.pop(record.record_id, None)

        path = f"/streams/claims-{partition}/records"
        data = json.dumps(body).encode()
        self._node.http.call("POST", self._node.log_server, path, appended, body=data)
