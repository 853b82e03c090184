"""Queue of records to append to one partition.

Records are gathered into batches, and one batch is in flight at a time. After the answer to an
append was lost, the partition is read back before the batch is appended again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from fescuechute.claims._commands import AppendBatch
from fescuechute.claims._records import ClaimRecord, LogRecord, OutcomeRecord
from fescuechute.claims._settings import ClaimSettings

#: Approximate bytes of a record without the body of an outcome.
_RECORD_OVERHEAD_BYTES = 400


@attrs.define(eq=False)
class PendingRecord:
    """A record that is queued for an append or in flight."""

    record: LogRecord
    #: Unix seconds at which it was queued.
    queued_at: float
    #: An earlier append of the record failed in a way that may still have written it.
    maybe_applied: bool = False
    #: The record is no longer needed and is not appended again.
    cancelled: bool = False

    @property
    def size(self) -> int:
        """Approximate bytes of the record in an append request."""
        body = self.record.body if isinstance(self.record, OutcomeRecord) else ""
        return _RECORD_OVERHEAD_BYTES + len(body)


class AppendQueue:
    """Queued records of one partition and its append in flight.

    Attributes:
      reading_back: The answer to the append in flight was lost, and reads of the partition have not
        yet shown whether the log contains the batch.
    """

    def __init__(self, number: int, cfg: ClaimSettings, batch_id_prefix: str):
        self.number = number
        self._cfg = cfg
        self._batch_id_prefix = batch_id_prefix
        self._queue: deque[PendingRecord] = deque()
        self._batch: tuple[PendingRecord, ...] = ()
        self._batch_id = ""
        self._batch_count = 0
        self._next_append_at = 0.0
        self._batch_in_log = False
        #: The batch was issued in an earlier era, so that its answer does not show that the log
        #: contains it.
        self._batch_outdated = False
        self.reading_back = False

    def __len__(self) -> int:
        """Returns the number of records that are queued or in flight."""
        return len(self._queue) + len(self._batch)

    def add(self, record: LogRecord, now: float) -> None:
        """Queues a record."""
        self._queue.append(PendingRecord(record, now))

    def start_era(self) -> None:
        """Requires the append in flight to be read back in a new era of the log."""
        self._batch_outdated = bool(self._batch)
        self._batch_in_log = False

    def next_batch(self, now: float) -> AppendBatch | None:
        """Returns the next batch if one is due and no append is in flight.

        A batch is due when it is full or its oldest record has waited for `gather_s`.
        """
        if self._batch or not self._queue or now < self._next_append_at:
            return None
        full = len(self._queue) >= self._cfg.batch_records
        if not full and now < self._queue[0].queued_at + self._cfg.gather_s:
            return None
        batch: list[PendingRecord] = []
        size = 0
        while self._queue and len(batch) < self._cfg.batch_records:
            size += self._queue[0].size
            if batch and size > self._cfg.batch_bytes:
                break
            batch.append(self._queue.popleft())
        self._batch_count += 1
        self._batch = tuple(batch)
        self._batch_id = f"{self._batch_id_prefix}/{self.number}/{self._batch_count}"
        records = tuple({"id": p.record.record_id, "data": p.record.to_data()} for p in batch)
        return AppendBatch(self.number, self._batch_id, records)

    def complete(self, batch_id: str) -> tuple[PendingRecord, ...]:
        """Ends the append in flight and returns its records.

        Returns nothing for any other batch, and for one that was issued in an earlier era: it may
        be lost, so it is read back first.
        """
        if batch_id != self._batch_id:
            return ()
        if self._batch_outdated and not self._batch_in_log:
            self._read_back()
            return ()
        return self._clear_batch()

    def fail(self, batch_id: str, certain_not_applied: bool, now: float) -> None:
        """Handles a failed append.

        The batch is queued again if it was certainly not applied; otherwise the partition must be
        read back first.
        """
        if batch_id != self._batch_id or not self._batch:
            return
        if self._batch_in_log:
            self._clear_batch()
            return
        self._next_append_at = now + self._cfg.retry_s
        if certain_not_applied:
            self._requeue_batch()
            return
        self._read_back()

    def match_records(self, records: Iterable[Mapping[str, Any]]) -> tuple[PendingRecord, ...]:
        """Returns the records of the append in flight if the records read contain any of them.

        An append is atomic, so one of its records shows that all of them are in the log. This ends
        the append if it was being read back.
        """
        ids = {entry.get("id") for entry in records}
        if not any(pending.record.record_id in ids for pending in self._batch):
            return ()
        if self.reading_back:
            return self._clear_batch()
        self._batch_in_log = True
        return self._batch

    def requeue_missing_batch(self) -> None:
        """Queues the batch again after reads up to the end of the log did not find it.

        The records keep their ids, so a delayed append that still takes effect only creates
        duplicates, which the fold ignores.
        """
        if self.reading_back:
            self._requeue_batch()

    def cancel_claim(self, claim_id: str) -> bool:
        """Cancels the append of a claim.

        Returns:
          Whether the claim may be in the log or may still be written to it.
        """
        for pending in (*self._queue, *self._batch):
            if isinstance(pending.record, ClaimRecord) and pending.record.claim_id == claim_id:
                pending.cancelled = True
                in_flight = pending in self._batch
                if not in_flight:
                    self._queue.remove(pending)
                return in_flight or pending.maybe_applied
        return True

    def _read_back(self) -> None:
        self.reading_back = True
        for pending in self._batch:
            pending.maybe_applied = True

    def _clear_batch(self) -> tuple[PendingRecord, ...]:
        batch, self._batch = self._batch, ()
        self._batch_id = ""
        self._batch_in_log = False
        self._batch_outdated = False
        self.reading_back = False
        return batch

    def _requeue_batch(self) -> None:
        for pending in reversed(self._clear_batch()):
            if not pending.cancelled:
                self._queue.appendleft(pending)
