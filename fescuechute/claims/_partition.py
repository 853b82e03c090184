"""One partition of the claims stream as an entry sees it: its view, appends and reads."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from fescuechute.claims._commands import ReadPartition
from fescuechute.claims._queue import AppendQueue
from fescuechute.claims._settings import ClaimSettings
from fescuechute.claims._view import ClaimsView, is_time


class PartitionRow:
    """View, appends and reads of one partition."""

    def __init__(self, number: int, cfg: ClaimSettings, holder: str):
        self.number = number
        self._cfg = cfg
        self.view = ClaimsView(cfg.window_s, cfg.skew_s, cfg.margin_s)
        self.queue = AppendQueue(number, cfg, holder)
        self._reading = False
        #: The read in flight was issued after the answer to an append was lost.
        self._covers_append = False
        self._read_at = 0.0
        self._last_read_at = 0.0
        self._soon = True

    def read_soon(self) -> None:
        """Asks for a read without waiting for the poll interval."""
        self._soon = True

    def read_back(self) -> None:
        """Asks for reads to the end of the log, after the answer to an append was lost."""
        self._soon = True
        self._covers_append = False

    def next_read(self, now: float, waiting: bool) -> ReadPartition | None:
        """Returns the read that is due.

        Args:
          now: Unix seconds.
          waiting: A call waits for a record of this partition.
        """
        interval = self._cfg.poll_s if waiting else self._cfg.idle_poll_s
        due = self._soon or self.queue.reading_back or now >= self._last_read_at + interval
        if self._reading or not due or now < self._read_at:
            return None
        self._reading = True
        self._soon = False
        self._last_read_at = now
        self._covers_append = self.queue.reading_back
        return ReadPartition(self.number, self.view.next_offset, self._cfg.read_limit)

    def fold(self, records: Sequence[Mapping[str, Any]], first: int, now: float) -> None:
        """Folds the answer to a read; `now` is the log's clock, unix seconds."""
        before = self.view.next_offset
        if first > before:
            # Records before `first` are not later than the record at `first`, if that is here.
            oldest = records[0] if records else {}
            time = oldest.get("time")
            at = time if oldest.get("offset") == first and is_time(time) else now
            self.view.mark_truncated(first, at)
        self.view.apply(records)
        # Only an answer without new records shows the end of the log.
        if self._reading and self._covers_append and self.view.next_offset == before:
            self.queue.not_found()
        if len(records) >= self._cfg.read_limit:
            self._soon = True
        self._reading = False

    def read_failed(self, now: float) -> None:
        """Notes that the read in flight, if any, brought no answer."""
        self._reading = False
        self._covers_append = False
        self._read_at = now + self._cfg.retry_s
        self._soon = True
