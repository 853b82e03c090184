"""Appends to one partition: gathered, one in flight, read back when an answer is lost."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from fescuechute.claims._commands import AppendBatch
from fescuechute.claims._records import ClaimRecord, LogRecord, OutcomeRecord
from fescuechute.claims._settings import ClaimSettings

#: Approximate bytes of a record besides the body of an outcome.
_RECORD_BYTES = 400


@attrs.define(eq=False)
class Pending:
    """A record on its way into the log."""

    record: LogRecord
    #: Unix seconds at which it was queued.
    queued_at: float
    #: An append of it was answered with an error that does not rule out its effect.
    maybe_applied: bool = False
    #: Nobody wants the record any more; it is not appended again.
    cancelled: bool = False

    @property
    def size(self) -> int:
        """Approximate bytes in the body of an append."""
        body = self.record.body if isinstance(self.record, OutcomeRecord) else ""
        return _RECORD_BYTES + len(body)


class AppendQueue:
    """Records of one partition that wait to be appended, and the append in flight."""

    def __init__(self, number: int, cfg: ClaimSettings, prefix: str):
        self.number = number
        self._cfg = cfg
        self._prefix = prefix
        self._queue: deque[Pending] = deque()
        self._batch: tuple[Pending, ...] = ()
        self._batch_id = ""
        self._batches = 0
        self._append_at = 0.0
        self._in_log = False
        #: The answer to the append in flight was lost; the partition is read back first.
        self.reading_back = False

    def __len__(self) -> int:
        """Returns the number of records that wait or are in flight."""
        return len(self._queue) + len(self._batch)

    def add(self, record: LogRecord, now: float) -> None:
        """Queues a record."""
        self._queue.append(Pending(record, now))

    def cut(self, now: float) -> AppendBatch | None:
        """Returns the next batch once it was gathered long enough and no append is in flight."""
        if self._batch or not self._queue or now < self._append_at:
            return None
        full = len(self._queue) >= self._cfg.batch_records
        if not full and now < self._queue[0].queued_at + self._cfg.gather_s:
            return None
        batch: list[Pending] = []
        size = 0
        while self._queue and len(batch) < self._cfg.batch_records:
            size += self._queue[0].size
            if batch and size > self._cfg.batch_bytes:
                break
            batch.append(self._queue.popleft())
        self._batches += 1
        self._batch = tuple(batch)
        self._batch_id = f"{self._prefix}/{self.number}/{self._batches}"
        records = tuple({"id": p.record.record_id, "data": p.record.to_data()} for p in batch)
        return AppendBatch(self.number, self._batch_id, records)

    def done(self, batch_id: str) -> tuple[Pending, ...]:
        """Ends the append in flight; returns its records, or nothing for another batch."""
        if batch_id != self._batch_id:
            return ()
        return self._take()

    def failed(self, batch_id: str, certain_not_applied: bool, now: float) -> None:
        """Notes a failed append: queued again if surely without effect, else to be read back."""
        if batch_id != self._batch_id or not self._batch:
            return
        if self._in_log:
            self._take()
            return
        self._append_at = now + self._cfg.retry_s
        if certain_not_applied:
            self._requeue()
            return
        self.reading_back = True
        for pending in self._batch:
            pending.maybe_applied = True

    def found(self, records: Iterable[Mapping[str, Any]]) -> tuple[Pending, ...]:
        """Returns the records of the append in flight if the records read contain them.

        An append is atomic, so one record of it shows that all of them are in the log.
        """
        ids = {entry.get("id") for entry in records}
        if not any(pending.record.record_id in ids for pending in self._batch):
            return ()
        if self.reading_back:
            return self._take()
        self._in_log = True
        return self._batch

    def not_found(self) -> None:
        """Queues the batch again, after a read to the end of the log did not find it.

        The records keep their ids, so that an append that takes effect even later does no harm.
        """
        if self.reading_back:
            self._requeue()

    def withdraw(self, claim_id: str) -> bool:
        """Takes a claim out of the queue; returns whether it may be or come in the log."""
        for pending in (*self._queue, *self._batch):
            if isinstance(pending.record, ClaimRecord) and pending.record.claim_id == claim_id:
                pending.cancelled = True
                in_flight = pending in self._batch
                if not in_flight:
                    self._queue.remove(pending)
                return in_flight or pending.maybe_applied
        return True

    def _take(self) -> tuple[Pending, ...]:
        batch, self._batch = self._batch, ()
        self._batch_id = ""
        self._in_log = False
        self.reading_back = False
        return batch

    def _requeue(self) -> None:
        for pending in reversed(self._take()):
            if not pending.cancelled:
                self._queue.appendleft(pending)
