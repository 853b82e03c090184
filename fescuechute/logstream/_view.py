"""View of a contiguous range of a log stream."""

from __future__ import annotations

import itertools
import math
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from fescuechute.logstream._records import MAX_RECORD_BYTES, is_valid_record, to_transportable


@attrs.frozen
class _StoredRecord:
    record: dict[str, Any]
    #: Msgpack size in bytes.
    size: int


class StreamView:
    """Records of one stream from `first_offset` up to `next_offset`, without gaps.

    Attributes:
      name: Name of the stream.
      first_offset: Offset of the oldest stored record.
      next_offset: Offset of the next record to apply.
      complete_since: Unix seconds by the clock of the log. The view has seen every record up to
        `next_offset` with this time or a later one. Minus infinity if the view started at offset
        0, plus infinity while no such time is known.
      truncated: Whether records expired at the source before this view saw them.
      missing_from: Offset from which to request records, or None if none is known to be missing.
    """

    def __init__(self, name: str):
        self.name = name
        self.first_offset = 0
        self.next_offset = 0
        self.complete_since = math.inf
        self.truncated = False
        self.missing_from: int | None = None
        self._stored: deque[_StoredRecord] = deque()

    def __len__(self) -> int:
        """Returns the number of stored records."""
        return len(self._stored)

    def apply(
        self,
        first: int,
        records: Sequence[Mapping[str, Any]],
        oldest: int,
        now: float | None = None,
    ) -> list[dict[str, Any]]:
        """Applies consecutive records from the log service or from a peer.

        Records below `next_offset` are skipped. Records after a gap are refused and `missing_from`
        is set, unless `first` is the oldest offset of the source: then the source cannot provide
        the missing records, and the view restarts at `first`.

        Args:
          first: Offset of the first record.
          records: Records with offsets `first`, `first + 1`, and so on.
          oldest: Oldest offset available at the source.
          now: Unix seconds by the clock of the log; None if the source is a peer.

        Returns:
          The new records in order, converted by `to_transportable`.
        """
        if first > self.next_offset:
            if first > oldest or (not records and now is None):
                self.missing_from = self.next_offset
                return []
            self._restart(first)
        starts_at_zero = self.next_offset == first == 0
        new_records = self._append(first, records)
        if starts_at_zero and (new_records or now is not None):
            # An empty message from a peer does not prove that the log starts at 0.
            self.complete_since = -math.inf
        elif self.complete_since == math.inf:
            self._set_complete_since(new_records, now)
        if self.missing_from is not None and self.next_offset > self.missing_from:
            self.missing_from = None
        return new_records

    def pull_offset(self, next_offset: int) -> int | None:
        """Returns the offset to pull from a peer that has read further, or None if it has not."""
        return self.next_offset if next_offset > self.next_offset else None

    def read(
        self, offset: int, limit: int, max_bytes: int = MAX_RECORD_BYTES
    ) -> list[dict[str, Any]]:
        """Returns stored records from an offset on.

        Args:
          offset: Offset of the first requested record. The result starts at `first` if that is
            higher.
          limit: Maximum number of records.
          max_bytes: Maximum msgpack size of all records together; the first record is returned
            regardless of its size.

        Returns:
          Consecutive records, empty if there are none from `offset` on.
        """
        start = max(offset, self.first_offset) - self.first_offset
        batch: list[dict[str, Any]] = []
        size = 0
        for stored in itertools.islice(self._stored, start, start + max(0, limit)):
            size += stored.size
            if batch and size > max_bytes:
                break
            batch.append(stored.record)
        return batch

    def trim(self, keep: int, needed_offset: int | None = None) -> None:
        """Removes the oldest records.

        Args:
          keep: Number of records to keep.
          needed_offset: Records from this offset on are always kept.
        """
        while len(self._stored) > keep and (
            needed_offset is None or self.first_offset < needed_offset
        ):
            self._stored.popleft()
            self.first_offset += 1

    def _restart(self, first: int) -> None:
        self._stored.clear()
        self.first_offset = self.next_offset = first
        self.complete_since = math.inf
        self.truncated = True

    def _append(self, first: int, records: Sequence[Mapping[str, Any]]) -> list[dict[str, Any]]:
        new_records = []
        for offset, record in enumerate(records, first):
            if not is_valid_record(record, offset):
                # The remaining records are ignored as well and must be requested again.
                self.missing_from = self.next_offset
                break
            if offset < self.next_offset:
                continue
            stored = _StoredRecord(*to_transportable(record))
            self._stored.append(stored)
            self.next_offset = offset + 1
            new_records.append(stored.record)
        return new_records

    def _set_complete_since(self, new_records: list[dict[str, Any]], now: float | None) -> None:
        if new_records:
            # A missed record may have the same time as the first new one.
            self.complete_since = math.nextafter(new_records[0]["time"], math.inf)
        elif now is not None:
            self.complete_since = math.nextafter(now, math.inf)
