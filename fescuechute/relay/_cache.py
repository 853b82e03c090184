"""The newest record of each key of a topic, and those superseded shortly before."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from fescuechute.feeds import KeyedRecord, Position

#: Limit on the superseded records of one key, of which the newest are kept.
MAX_SUPERSEDED = 16


@attrs.frozen
class CachedRecord:
    """A record and what is known of the time of its append."""

    record: KeyedRecord
    #: Unix seconds after which the record was appended, or None if unknown.
    appended_after: float | None
    #: Result of the function that ranks records.
    rank: Any = None


@attrs.frozen
class _SupersededRecord:
    cached: CachedRecord
    #: Unix seconds until which it is passed on.
    expires_at: float


class RecordCache:
    """Keeps the newest record of each key, including the last deletions.

    A superseded record is kept as well for as long as its effect outlasts it. After the store has come
    back from a copy, records of the older era are kept that outrank those of the copy, and for a time
    those without a rank. They have no offset in the new era.

    Args:
      rank: Returns the rank of a record from its key and its value, or None without one. Of two records
        of a key the one of the higher rank holds, otherwise that of the later position. Without the
        function, nothing is kept of an older era.
    """

    def __init__(self, rank: Callable[[str, bytes], Any] | None = None) -> None:
        self._rank = rank
        self._records: dict[str, CachedRecord] = {}
        #: Superseded records by key, in the order of their offsets.
        self._superseded: dict[str, list[_SupersededRecord]] = {}
        self._era = 0
        #: Highest offset of the records of the newest era, -1 without any.
        self.newest_offset = -1
        #: Increases with each change.
        self.generation = 0
        #: Token of the kept records, and the generation for which it was computed.
        self._token, self._token_generation = 0, 0

    def add(
        self, record: KeyedRecord, appended_after: float | None, superseded_ttl_s: float = 0.0
    ) -> None:
        """Adds a record unless one of its key is known that holds against it.

        The same content written again takes the later position and keeps the first known date.

        Args:
          record: The record.
          appended_after: Unix seconds after which it was appended, or None if unknown.
          superseded_ttl_s: Seconds from that time for which the record that this one supersedes is
            kept. A deletion keeps none, nor does a record of unknown date.
        """
        self._enter(record.era)
        known = self._records.get(record.key)
        rank = None
        if self._rank is not None and record.value is not None:
            rank = self._rank(record.key, record.value)
        if known is not None and not _holds(record, rank, known):
            return
        self.generation += 1
        if record.era == self._era:
            self.newest_offset = max(self.newest_offset, record.offset)
        if known is not None and _is_repeated(record, rank, known):
            self._records[record.key] = CachedRecord(record, known.appended_after, rank)
            return
        self._records[record.key] = CachedRecord(record, appended_after, rank)
        superseded = self._superseded.pop(record.key, [])
        if known is None or record.value is None or appended_after is None or not superseded_ttl_s:
            return
        if known.record.value is not None:
            superseded.append(_SupersededRecord(known, appended_after + superseded_ttl_s))
            self._superseded[record.key] = superseded[-MAX_SUPERSEDED:]

    def evict(self, now: float, kept_until: float = float("inf")) -> None:
        """Removes the superseded records that have expired.

        Args:
          now: Unix seconds.
          kept_until: Unix seconds from which records of an older era without a rank are removed as well.
        """
        if now >= kept_until:
            self._remove(
                key
                for key, known in self._records.items()
                if known.rank is None and known.record.era < self._era
            )
        for key, superseded in list(self._superseded.items()):
            kept = [item for item in superseded if now < item.expires_at]
            self.generation += len(kept) < len(superseded)
            if kept:
                self._superseded[key] = kept
            else:
                del self._superseded[key]

    def retain(self, keys: frozenset[str], end: int, era: int = 0) -> list[str]:
        """Replaces the records of all other keys by deletions at the last offset before `end`.

        Records from `end` on are newer than the snapshot; a source may know less than the one before.

        Args:
          keys: Keys of the snapshot.
          end: Offset after the last record of the topic as of the snapshot.
          era: Era of the snapshot.

        Returns:
          The keys of the records of older eras that are kept.
        """
        self._enter(era)
        self.generation += 1
        old = {key: known for key, known in self._records.items() if known.record.era < era}
        dropped = [
            key for key, known in old.items() if self._rank is None or known.record.value is None
        ]
        self._remove(dropped)
        for key, known in list(self._records.items()):
            if known.record.era != era or known.record.offset >= end:
                continue
            if key not in keys and known.record.value is not None:
                self._records[key] = CachedRecord(KeyedRecord(end - 1, key, None, era), None)
                self._superseded.pop(key, None)
                self.newest_offset = max(self.newest_offset, end - 1)
        return sorted(old.keys() - set(dropped))

    @property
    def kept_token(self) -> int:
        """Stands for the contents that are kept of older eras, 0 without any."""
        if self._token_generation != self.generation:
            self._token_generation = self.generation
            kept = [
                known.record for known in self._records.values() if known.record.era < self._era
            ]
            kept.sort(key=lambda record: record.key)
            self._token = zlib.crc32(repr([(item.key, item.value) for item in kept]).encode())
            self._token = (self._token or 1) if kept else 0
        return self._token

    def since(self, offset: int, *, with_kept: bool = False) -> list[CachedRecord]:
        """Returns the records from an offset of the newest era on, in the order of their positions.

        Those that are kept of older eras are included from offset 0 on, or on request.
        """
        known = [*self._records.values()]
        for superseded in self._superseded.values():
            known += [item.cached for item in superseded]
        start = Position(self._era, offset)
        with_kept = with_kept or not offset
        found = [
            cached
            for cached in known
            if cached.record.position >= start or (with_kept and cached.record.era < self._era)
        ]
        return sorted(found, key=lambda cached: cached.record.position)

    def _enter(self, era: int) -> None:
        if era > self._era:
            self._era, self.newest_offset = era, -1

    def _remove(self, keys: Iterable[str]) -> None:
        for key in list(keys):
            del self._records[key]
            self._superseded.pop(key, None)
            self.generation += 1


def _holds(record: KeyedRecord, rank: Any, known: CachedRecord) -> bool:
    """Returns whether a record holds against the known one of its key."""
    if rank is not None and known.rank is not None and rank != known.rank:
        return bool(rank > known.rank)
    if record.value is None and known.rank is not None and record.era > known.record.era:
        # The copy lacks what was in force until it is written again.
        return False
    return record.position > known.record.position


def _is_repeated(record: KeyedRecord, rank: Any, known: CachedRecord) -> bool:
    """Returns whether a record only writes the known one of its key again."""
    is_comparable = rank is not None or record.era > known.record.era
    return is_comparable and record.value is not None and record.value == known.record.value
