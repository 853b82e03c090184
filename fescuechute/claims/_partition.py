"""An entry's access to one partition of the claims stream: its view, appends and reads."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import xxhash

from fescuechute.claims._commands import ReadPartition
from fescuechute.claims._earlier import EarlierEras, ScopedRecord
from fescuechute.claims._keys import Scope
from fescuechute.claims._queue import AppendQueue
from fescuechute.claims._records import (
    ClaimRecord,
    EraRecord,
    LogRecord,
    ReleaseRecord,
    is_timestamp,
)
from fescuechute.claims._settings import ClaimSettings
from fescuechute.claims._view import ClaimsView, ScopeState, ScopeStatus

#: Shares of the window after which the record of an era is appended again, so that retention never
#: removes the last one. Each process draws its own share, and the first one spares the others.
_MIN_RENEWAL_SHARE = 0.5
_MAX_RENEWAL_SHARE = 0.9


class PartitionLog:
    """View, append queue and read schedule of one partition.

    Attributes:
      earlier: What was read in earlier eras of the log.
      read_to_end: Whether the end of the log was reached in the current era.
    """

    def __init__(self, number: int, cfg: ClaimSettings, holder: str):
        self.number = number
        self._cfg = cfg
        self._holder = holder
        #: Share of an interval that spreads the appends of all processes, from 0 to 1.
        self._spread = xxhash.xxh32_intdigest(f"{holder}/{number}".encode()) / 2**32
        self.view = ClaimsView(cfg.window_s, cfg.skew_s, cfg.margin_s)
        self.earlier = EarlierEras()
        self.read_to_end = False
        #: Records to append again, None until they are known in the current era.
        self._to_restore: deque[ScopedRecord] | None = None
        #: Unix seconds.
        self._next_restore_at = 0.0
        #: Offset up to which own records were appended in the current era.
        self._appended_end = 0
        self._era_record_count = 0
        #: The log's clock in its latest answer, unix seconds.
        self._log_time = 0.0
        self.queue = AppendQueue(number, cfg, holder)
        self._read_in_flight = False
        #: The read in flight was issued after the answer to an append was lost.
        self._read_follows_lost_append = False
        #: Unix seconds before which no read is issued, because the last one failed.
        self._next_read_at = 0.0
        self._last_read_at = 0.0
        self._read_requested = True

    def start_era(self, era: int) -> None:
        """Reads the log anew in a later era and keeps what earlier ones contained."""
        self.earlier.keep(self.view)
        cfg = self._cfg
        self.view = ClaimsView(
            cfg.window_s, cfg.skew_s, cfg.margin_s, era=era, last_time=self.view.last_time
        )
        self.read_to_end = False
        self._to_restore = None
        self._appended_end = 0
        self.queue.start_era()
        # A read in flight is of the earlier era.
        self._read_in_flight = False
        self._read_follows_lost_append = False
        self._read_requested = True

    def status(self, scope: Scope, content_digest: str) -> ScopeStatus:
        """Returns the state of a scope, from the current era and from earlier ones.

        The claim that held the scope in an earlier era precedes those of the current one, whose
        order may differ.
        """
        status = self.view.status(scope, content_digest)
        if status.state is ScopeState.DONE:
            return status
        earlier = self.earlier.status(scope, content_digest, self.view)
        return status if earlier.state is ScopeState.FREE else earlier

    def holding_claim(self, scope: Scope) -> ClaimRecord | None:
        """Returns the claim that holds a scope, from the current era and from earlier ones."""
        claim = self.view.holding_claim(scope)
        if self.view.outcome(scope) is not None:
            return claim
        return self.earlier.claim(scope, self.view) or claim

    def has_outcome(self, scope: Scope) -> bool:
        """Whether an outcome of the scope was read in any era."""
        return self.view.outcome(scope) is not None or self.earlier.outcome(scope) is not None

    def is_released(self, claim_id: str, scope: Scope) -> bool:
        """Whether both the claim and a valid release of it were read, in any era."""
        return self.view.is_released(claim_id) or self.earlier.has_released(
            claim_id, scope, self.view
        )

    def has_aged_out(self, scope: Scope) -> bool:
        """Whether log time has passed the end of the key's window and margin."""
        return self.view.last_time > self._end_of_retention(scope)

    def _end_of_retention(self, scope: Scope) -> float:
        return scope.key.created_at + self._cfg.window_s + self._cfg.margin_s

    def restore(self, local_records: Iterable[ScopedRecord], now: float) -> None:
        """Queues records that the current era lacks, batch by batch, once it was read to its end.

        Args:
          local_records: Records of this process that it may not have read back yet.
          now: Unix seconds.
        """
        if not self.view.era or not self.read_to_end or self.queue.reading_back:
            return
        if self._to_restore is None:
            missing = self.earlier.missing_records(self._holder, self.view)
            records = {scoped[1].record_id: scoped for scoped in (*missing, *local_records)}
            self._to_restore = deque(records.values())
            self._next_restore_at = now + self._spread * self._cfg.restore_interval_s
        is_read_back = not len(self.queue) and self.view.next_offset >= self._appended_end
        if now < self._next_restore_at or not is_read_back:
            return
        self._next_restore_at = now + self._cfg.restore_interval_s
        if self._is_era_record_due():
            self._era_record_count += 1
            record = EraRecord(
                self.view.era, self.view.returned_by, self._holder, self._era_record_count
            )
            self.queue.add(record, now)
        while self._to_restore and len(self.queue) < self._cfg.batch_records:
            scope, restored = self._to_restore.popleft()
            if not self.view.has_record(restored) and self._has_effect(scope, restored):
                self.queue.add(restored, now)

    def _has_effect(self, scope: Scope, record: LogRecord) -> bool:
        """Whether a record that is appended again can change what readers know."""
        if self._log_time > self._end_of_retention(scope):
            return False
        if isinstance(record, ClaimRecord):
            return self.view.is_in_window(record.scope.key, self._log_time)
        if isinstance(record, ReleaseRecord):
            return self.view.has_claim(record.claim_id)
        return True

    def _is_era_record_due(self) -> bool:
        share = _MIN_RENEWAL_SHARE + self._spread * (_MAX_RENEWAL_SHARE - _MIN_RENEWAL_SHARE)
        return self._log_time > self.view.era_recorded_at + share * self._cfg.window_s

    def appended(self, end: int) -> None:
        """Records that own records were appended up to this offset in the current era."""
        self._appended_end = max(self._appended_end, end)
        self.request_read()

    def request_read(self) -> None:
        """Makes the next read due without waiting for the poll interval."""
        self._read_requested = True

    def request_read_back(self) -> None:
        """Makes reads due up to the end of the log, after the answer to an append was lost.

        A read already in flight does not cover the append, because it was issued earlier.
        """
        self._read_requested = True
        self._read_follows_lost_append = False

    def next_read(self, now: float, call_waiting: bool) -> ReadPartition | None:
        """Returns the next read if one is due.

        Args:
          now: Unix seconds.
          call_waiting: Whether a call waits for a record of this partition.
        """
        interval = self._cfg.poll_s if call_waiting else self._cfg.idle_poll_s
        due = (
            self._read_requested or self.queue.reading_back or now >= self._last_read_at + interval
        )
        if self._read_in_flight or not due or now < self._next_read_at:
            return None
        self._read_in_flight = True
        self._read_requested = False
        self._last_read_at = now
        self._read_follows_lost_append = self.queue.reading_back
        return ReadPartition(
            self.number, self.view.next_offset, self._cfg.read_limit, self.view.era
        )

    def fold(self, records: Sequence[Mapping[str, Any]], first_retained: int, now: float) -> None:
        """Folds the records that a read returned.

        Args:
          records: Records of the answer.
          first_retained: Oldest offset that the log retains.
          now: The log's clock in the answer, unix seconds.
        """
        previous_offset = self.view.next_offset
        self._log_time = now
        self.view.bound_return(now)
        if first_retained > previous_offset:
            # Log times do not decrease, so the time of the record at `first_retained`, if it is
            # here, is an upper bound for the times of the missing records.
            first_record = records[0] if records else {}
            time = first_record.get("time")
            at = (
                time if first_record.get("offset") == first_retained and is_timestamp(time) else now
            )
            self.view.mark_truncated(first_retained, at)
        self.view.apply(records)
        self.earlier.drop_expired(self.view.oldest_created_at)
        # Only an answer without new records shows that the end of the log was reached.
        if self._read_in_flight and self.view.next_offset == previous_offset:
            self.read_to_end = True
            if self._read_follows_lost_append:
                self.queue.requeue_missing_batch()
        if len(records) >= self._cfg.read_limit or (self.view.era and not self.read_to_end):
            self._read_requested = True
        self._read_in_flight = False

    def read_failed(self, now: float) -> None:
        """Schedules a retry of the read in flight, if any, after it failed."""
        self._read_in_flight = False
        self._read_follows_lost_append = False
        self._next_read_at = now + self._cfg.retry_s
        self._read_requested = True
