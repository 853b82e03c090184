"""An entry's access to one partition of the claims stream: its view, appends and reads."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from fescuechute.claims._commands import ReadPartition
from fescuechute.claims._queue import AppendQueue
from fescuechute.claims._settings import ClaimSettings
from fescuechute.claims._view import ClaimsView, is_timestamp


class PartitionLog:
    """View, append queue and read schedule of one partition."""

    def __init__(self, number: int, cfg: ClaimSettings, holder: str):
        self.number = number
        self._cfg = cfg
        self.view = ClaimsView(cfg.window_s, cfg.skew_s, cfg.margin_s)
        self.queue = AppendQueue(number, cfg, holder)
        self._read_in_flight = False
        #: The read in flight was issued after the answer to an append was lost.
        self._read_follows_lost_append = False
        #: Unix seconds before which no read is issued, because the last one failed.
        self._next_read_at = 0.0
        self._last_read_at = 0.0
        self._read_requested = True

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
        return ReadPartition(self.number, self.view.next_offset, self._cfg.read_limit)

    def fold(self, records: Sequence[Mapping[str, Any]], first_retained: int, now: float) -> None:
        """Folds the records that a read returned.

        Args:
          records: Records of the answer.
          first_retained: Oldest offset that the log retains.
          now: The log's clock in the answer, unix seconds.
        """
        previous_offset = self.view.next_offset
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
        # Only an answer without new records shows that the end of the log was reached.
        if (
            self._read_in_flight
            and self._read_follows_lost_append
            and self.view.next_offset == previous_offset
        ):
            self.queue.requeue_missing_batch()
        if len(records) >= self._cfg.read_limit:
            self._read_requested = True
        self._read_in_flight = False

    def read_failed(self, now: float) -> None:
        """Schedules a retry of the read in flight, if any, after it failed."""
        self._read_in_flight = False
        self._read_follows_lost_append = False
        self._next_read_at = now + self._cfg.retry_s
        self._read_requested = True
