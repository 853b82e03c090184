"""Ledger: folds the records of the stream `notes` in offset order."""

from __future__ import annotations

import json
import math
from collections import OrderedDict, deque
from collections.abc import Mapping
from typing import Any

import attrs
import blake3

from fescuechute.errors import NoteError
from fescuechute.notes._fold import fold
from fescuechute.notes._note import Note, parse_note
from fescuechute.notes._snapshot import (
    MAX_ID_CHARS,
    Folded,
    Snapshot,
    parse_snapshot,
    snapshot_to_dict,
)
from fescuechute.notes._state import ReleaseState
from fescuechute.notes._timeline import Timeline

#: Maximum number of history entries, and of accepted notes, that a daemon keeps: about a day at
#: 4,300 changes a day.
DEFAULT_HISTORY_LIMIT = 5000

#: Maximum number of record ids kept for deduplication. Writers retry an append within minutes at
#: most. At the design rate, this many records span about two hours; in a snapshot, they take about
#: 60 KB.
MAX_FOLDED_RECORDS = 512


@attrs.frozen
class HistoryEntry:
    """Verdict on one record, for audits."""

    offset: int
    #: Log time of the record, unix seconds.
    time: float
    #: Id of the note, or of the record if the note cannot be parsed.
    note_id: str
    #: Revision in force after the record.
    revision: int
    accepted: bool
    reason: str
    author: str
    message: str


class Ledger:
    """Folds records and returns the state in force now or at an earlier time.

    A reader that starts in the middle of the log buffers records until it reads a snapshot for
    which it has all later records. After a gap it does the same, and the last state stays in force
    until then. The revision never decreases.

    Attributes:
      state: State in force.
      history: Verdicts, oldest first.
      next_offset: Offset of the next record to apply.
      replay_from: Offset of the oldest record that a new reader needs, given the snapshots in the
        log; 0 while there is none. Retention must keep the records from this offset on.
      has_base: Whether offset 0 or a usable snapshot was read, so that `state` is valid.
    """

    def __init__(self, history_limit: int | None = DEFAULT_HISTORY_LIMIT):
        """Creates an empty ledger.

        Args:
          history_limit: Maximum number of history entries, and of accepted notes, to keep. None
            for no limit.
        """
        self.state = ReleaseState()
        self.history: deque[HistoryEntry] = deque(maxlen=history_limit)
        self.next_offset = 0
        self.replay_from = 0
        self.has_base = False
        self._timeline = Timeline(math.inf if history_limit is None else history_limit)
        self._folded: OrderedDict[str, Folded] = OrderedDict()
        #: Records read since the last gap, until a snapshot is found; None if the state is current.
        self._buffered: list[dict[str, Any]] | None = []
        self._first_buffered_offset = 0

    @property
    def is_current(self) -> bool:
        """Whether every record before `next_offset` was folded, so that its verdict is known."""
        return self._buffered is None

    def apply(self, record: Mapping[str, Any]) -> list[HistoryEntry]:
        """Applies one record of the stream `notes`.

        Args:
          record: Object with `offset`, `time`, `id` and `data`, as the log service returns it.

        Returns:
          The history entries that the record added. Empty for records read before, for duplicate
          appends, for snapshots that agree with the state, and while records are buffered.
        """
        offset = record["offset"]
        if offset < self.next_offset:
            return []
        if offset == 0:
            self._buffered, self.has_base = None, True
        elif offset > self.next_offset:
            self._buffered, self._first_buffered_offset = [], offset
        self.next_offset = offset + 1
        data = record["data"]
        if isinstance(data, Mapping) and "snapshot" in data:
            entries = self._apply_snapshot(record, data)
        elif self._buffered is None:
            entries = self._apply_note(record)
        else:
            entries = []
        if self._buffered is not None:
            self._buffered.append(dict(record))
        return entries

    def state_at(self, time: float) -> ReleaseState | None:
        """Returns the state in force at a unix time, or None if its records are no longer kept."""
        return self._timeline.at_time(time) if self.has_base else None

    def snapshot(self) -> dict[str, Any]:
        """Returns the data of a snapshot record.

        Raises:
          ValueError: The ledger is not current, or no record has been read.
        """
        if not self.is_current or self.next_offset == 0:
            raise ValueError("A snapshot needs a ledger that has folded every record it read.")
        snapshot = Snapshot(
            covers=self.next_offset - 1,
            revision=self.state.revision,
            offset=self.state.offset,
            time=self._timeline.last_time if self.state.revision else 0.0,
            releases=tuple(release for _, release in sorted(self.state.releases.items())),
            folded=tuple(self._folded.values()),
        )
        return snapshot_to_dict(snapshot)

    def _apply_note(self, record: Mapping[str, Any]) -> list[HistoryEntry]:
        offset, data = record["offset"], record["data"]
        record_id, digest = str(record["id"]), _digest(data)
        if len(record_id) > MAX_ID_CHARS:
            reason = f"The record id has {len(record_id)} characters; the limit is {MAX_ID_CHARS}."
            return [self._add_history_entry(record, None, False, reason)]
        earlier = self._folded.get(record_id)
        if earlier is not None:
            if earlier.digest == digest:
                return []
            reason = f"The record id is that of another note at offset {earlier.offset}."
            return [self._add_history_entry(record, None, False, reason)]
        self._folded[record_id] = Folded(record_id, offset, digest)
        while len(self._folded) > MAX_FOLDED_RECORDS:
            self._folded.popitem(last=False)
        try:
            note = parse_note(data)
        except NoteError as exc:
            reason = "; ".join(str(problem) for problem in exc.problems)
            return [self._add_history_entry(record, None, False, reason)]
        verdict = fold(self.state, offset, record["time"], note)
        if verdict.accepted:
            self.state = verdict.state
            self._timeline.add(offset, record["time"], note, self.state)
        return [self._add_history_entry(record, note, verdict.accepted, verdict.reason)]

    def _add_history_entry(
        self, record: Mapping[str, Any], note: Note | None, accepted: bool, reason: str
    ) -> HistoryEntry:
        entry = HistoryEntry(
            offset=record["offset"],
            time=record["time"],
            note_id=str(record["id"])[:MAX_ID_CHARS] if note is None else note.id,
            revision=self.state.revision,
            accepted=accepted,
            reason=reason,
            author="" if note is None else note.author,
            message="" if note is None else note.message,
        )
        self.history.append(entry)
        return entry

    def _apply_snapshot(
        self, record: Mapping[str, Any], data: Mapping[str, Any]
    ) -> list[HistoryEntry]:
        try:
            snapshot = parse_snapshot(data, record["offset"])
        except NoteError as exc:
            reason = "; ".join(str(problem) for problem in exc.problems)
            return [self._add_history_entry(record, None, False, reason)]
        if self._buffered is None:
            return self._compare_snapshot(record, snapshot)
        if snapshot.covers + 1 < self._first_buffered_offset:
            # Notes between the snapshot and the first buffered record may be missing.
            return []
        if self.has_base and snapshot.revision < self.state.revision:
            reason = f"A snapshot of revision {snapshot.revision} would move the revision back."
            return [self._add_history_entry(record, None, False, reason)]
        return self._restore_snapshot(snapshot)

    def _compare_snapshot(
        self, record: Mapping[str, Any], snapshot: Snapshot
    ) -> list[HistoryEntry]:
        expected = self._timeline.at_offset(snapshot.covers)
        if expected is None:
            return []
        if snapshot.state == expected:
            self.replay_from = max(self.replay_from, snapshot.covers + 1)
            return []
        reason = (
            f"The snapshot of revision {snapshot.revision} disagrees with the notes up to offset "
            f"{snapshot.covers}, which give revision {expected.revision}; it is ignored."
        )
        return [self._add_history_entry(record, None, False, reason)]

    def _restore_snapshot(self, snapshot: Snapshot) -> list[HistoryEntry]:
        buffered, self._buffered = self._buffered or [], None
        self.has_base = True
        self.state = snapshot.state
        self._timeline.reset(snapshot.state, snapshot.covers, snapshot.time)
        self.replay_from = snapshot.covers + 1
        self._folded = OrderedDict((folded.id, folded) for folded in snapshot.folded)
        entries = []
        for record in buffered:
            data = record["data"]
            is_snapshot = isinstance(data, Mapping) and "snapshot" in data
            if record["offset"] > snapshot.covers and not is_snapshot:
                entries += self._apply_note(record)
        return entries


def _digest(data: object) -> str:
    """Returns a digest of JSON data, independent of key order and equal for tuples and lists."""
    try:
        text = json.dumps(data, sort_keys=True, separators=(",", ":"), default=str)
    except (TypeError, ValueError, RecursionError):
        return "unreadable"
    return blake3.blake3(text.encode()).hexdigest()[:16]
