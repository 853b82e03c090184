"""The newest record of each key of a topic."""

from __future__ import annotations

import attrs

from fescuechute.feeds import KeyedRecord


@attrs.frozen
class CachedRecord:
    """A record and what is known of the time of its append."""

    record: KeyedRecord
    #: Unix seconds after which the record was appended, or None if unknown.
    appended_after: float | None


class RecordCache:
    """Keeps the newest record of each key, including the last deletions."""

    def __init__(self) -> None:
        self._records: dict[str, CachedRecord] = {}
        #: Highest offset of the records, -1 without any.
        self.newest_offset = -1

    def add(self, record: KeyedRecord, appended_after: float | None) -> None:
        """Adds a record unless a newer one of its key is known.

        Args:
          record: The record.
          appended_after: Unix seconds after which it was appended, or None if unknown.
        """
        known = self._records.get(record.key)
        if known is None or record.offset > known.record.offset:
            self._records[record.key] = CachedRecord(record, appended_after)
            self.newest_offset = max(self.newest_offset, record.offset)

    def retain(self, keys: frozenset[str], end: int) -> None:
        """Replaces the records of all other keys by deletions at the last offset before `end`."""
        for key, known in list(self._records.items()):
            if key not in keys and known.record.value is not None:
                self._records[key] = CachedRecord(KeyedRecord(end - 1, key, None), None)
                self.newest_offset = max(self.newest_offset, end - 1)

    def since(self, offset: int) -> list[CachedRecord]:
        """Returns the records from an offset on, in the order of their offsets."""
        found = [known for known in self._records.values() if known.record.offset >= offset]
        return sorted(found, key=lambda known: known.record.offset)
