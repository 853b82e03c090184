"""A contiguous part of a log stream."""

from __future__ import annotations

import itertools
import math
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from fescuechute.logstream._records import MAX_RECORD_BYTES, is_record, transportable


@attrs.frozen
class _Held:
    record: dict[str, Any]
    #: Packed size in bytes.
    size: int


class StreamView:
    """Records of one stream from `first` up to `next_offset`, without gaps.

    Attributes:
      name: Name of the stream.
      first: Offset of the oldest record held.
      next_offset: Offset of the next record to apply.
      complete_since: Every record whose time (unix seconds of the log) is at least this was seen,
        up to `next_offset`. Minus infinity when the view started at offset 0, plus infinity while
        no such time is known.
      truncated: Whether records were removed at the source before this view saw them.
      missing_from: Offset from which to ask for records, or None while none is known to be
        missing.
    """

    def __init__(self, name: str):
        self.name = name
        self.first = 0
        self.next_offset = 0
        self.complete_since = math.inf
        self.truncated = False
        self.missing_from: int | None = None
        self._held: deque[_Held] = deque()

    def __len__(self) -> int:
        """Number of records held."""
        return len(self._held)

    def apply(
        self,
        first: int,
        records: Sequence[Mapping[str, Any]],
        oldest: int,
        now: float | None = None,
    ) -> list[dict[str, Any]]:
        """Applies consecutive records from the log or from another process.

        Records that the view holds already are skipped. Records behind a gap are refused and
        `missing_from` is set, unless the source starts at `first` itself (`first == oldest`): then
        the missing records cannot be had there, and the view starts anew at `first`.

        Args:
          first: Offset of the first record.
          records: Records with offsets `first`, `first + 1`, and so on.
          oldest: Oldest offset that the source holds.
          now: The log's unix time of the answer; None when the source is another process.

        Returns:
          The new records, in order, in the form in which they may be passed on.
        """
        if first > self.next_offset:
            if first > oldest or (not records and now is None):
                self.missing_from = self.next_offset
                return []
            self._restart(first)
        is_start = self.next_offset == first == 0
        fresh = self._append(first, records)
        if is_start and (fresh or now is not None):
            # An empty answer of another process does not show that the log starts at 0.
            self.complete_since = -math.inf
        elif self.complete_since == math.inf:
            self._set_complete_since(fresh, now)
        if self.missing_from is not None and self.next_offset > self.missing_from:
            self.missing_from = None
        return fresh

    def behind(self, next_offset: int) -> int | None:
        """Returns the offset to pull from when a peer has read further, else None."""
        return self.next_offset if next_offset > self.next_offset else None

    def since(
        self, offset: int, limit: int, max_bytes: int = MAX_RECORD_BYTES
    ) -> list[dict[str, Any]]:
        """Returns the answer to a pull.

        Args:
          offset: Offset of the first wanted record. The answer starts at `first` when that is
            later.
          limit: Largest number of records.
          max_bytes: Largest packed size of all records together; one record is always returned.

        Returns:
          Consecutive records, empty when there are none from `offset` on.
        """
        start = max(offset, self.first) - self.first
        answer: list[dict[str, Any]] = []
        size = 0
        for held in itertools.islice(self._held, start, start + max(0, limit)):
            size += held.size
            if answer and size > max_bytes:
                break
            answer.append(held.record)
        return answer

    def trim(self, keep: int, needed_from: int | None = None) -> None:
        """Drops the oldest records.

        Args:
          keep: Number of records to keep.
          needed_from: Records from this offset on are kept in any case.
        """
        while len(self._held) > keep and (needed_from is None or self.first < needed_from):
            self._held.popleft()
            self.first += 1

    def _restart(self, first: int) -> None:
        self._held.clear()
        self.first = self.next_offset = first
        self.complete_since = math.inf
        self.truncated = True

    def _append(self, first: int, records: Sequence[Mapping[str, Any]]) -> list[dict[str, Any]]:
        fresh = []
        for offset, record in enumerate(records, first):
            if not is_record(record, offset):
                # The rest is not usable either; it is asked for again.
                self.missing_from = self.next_offset
                break
            if offset < self.next_offset:
                continue
            held = _Held(*transportable(record))
            self._held.append(held)
            self.next_offset = offset + 1
            fresh.append(held.record)
        return fresh

    def _set_complete_since(self, fresh: list[dict[str, Any]], now: float | None) -> None:
        if fresh:
            # A record that was missed may have the same time as the first one seen.
            self.complete_since = math.nextafter(fresh[0]["time"], math.inf)
        elif now is not None:
            self.complete_since = math.nextafter(now, math.inf)
