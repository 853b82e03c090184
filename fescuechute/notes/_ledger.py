"""The ledger folds the records of the stream `notes` in offset order."""

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
    MAX_ID,
    Folded,
    Snapshot,
    parse_snapshot,
    snapshot_to_dict,
)
from fescuechute.notes._state import ReleaseState
from fescuechute.notes._timeline import Timeline

#: History entries and accepted notes that a daemon keeps, about a day at 4,300 changes a day.
DEFAULT_HISTORY = 5000

#: Record ids kept for deduplication. A writer repeats an append within minutes at most; this many
#: records take about two hours at the design rate, and a snapshot carries them in about 60 KB.
FOLDED_KEPT = 512


@attrs.frozen
class HistoryEntry:
    """One record that was judged, for audits."""

    offset: int
    #: The log's unix time of the record.
    time: float
    #: Id of the note, or of the record when the note cannot be read.
    note_id: str
    #: Revision in force after the record.
    revision: int
    accepted: bool
    reason: str
    author: str
    message: str


class Ledger:
    """Folds records and answers what was in force when.

    A reader that starts inside the log keeps what it reads aside until a snapshot arrives whose
    following records it has seen. The same holds after a gap; the last state stays in force
    meanwhile. The revision never moves back.

    Attributes:
      state: The state in force.
      history: Judged records, oldest first.
      next_offset: Offset of the next record to apply.
      replay_from: Offset of the oldest record that a new reader needs, given the snapshots in the
        log; 0 while there is none. Records from here on must not age out.
      has_base: Whether offset 0 or a usable snapshot was seen, so that `state` is meaningful.
    """

    def __init__(self, keep: int | None = DEFAULT_HISTORY):
        """Creates an empty ledger.

        Args:
          keep: Number of history entries and of accepted notes to keep, None for all.
        """
        self.state = ReleaseState()
        self.history: deque[HistoryEntry] = deque(maxlen=keep)
        self.next_offset = 0
        self.replay_from = 0
        self.has_base = False
        self._timeline = Timeline(math.inf if keep is None else keep)
        self._folded: OrderedDict[str, Folded] = OrderedDict()
        #: Records read since the last gap that await a snapshot; None while the fold is complete.
        self._waiting: list[dict[str, Any]] | None = []
        self._first_waiting = 0

    @property
    def is_current(self) -> bool:
        """Whether every record up to `next_offset` is folded, so that verdicts are known."""
        return self._waiting is None

    def apply(self, record: Mapping[str, Any]) -> list[HistoryEntry]:
        """Applies one record of the stream `notes`.

        Args:
          record: Object with `offset`, `time`, `id` and `data`, as the log service gives it.

        Returns:
          The history entries that the record caused. Empty for records seen before, for agreeing
          snapshots and while a snapshot is awaited.
        """
        offset = record["offset"]
        if offset < self.next_offset:
            return []
        if offset == 0:
            self._waiting, self.has_base = None, True
        elif offset > self.next_offset:
            self._waiting, self._first_waiting = [], offset
        self.next_offset = offset + 1
        data = record["data"]
        if isinstance(data, Mapping) and "snapshot" in data:
            entries = self._apply_snapshot(record, data)
        elif self._waiting is None:
            entries = self._apply_note(record)
        else:
            entries = []
        if self._waiting is not None:
            self._waiting.append(dict(record))
        return entries

    def state_at(self, time: float) -> ReleaseState | None:
        """Returns the state in force at a unix time, or None when the records have aged out."""
        return self._timeline.at_time(time) if self.has_base else None

    def snapshot(self) -> dict[str, Any]:
        """Returns the data of a snapshot record.

        Raises:
          ValueError: The ledger is not current, or no record was read yet.
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
        if len(record_id) > MAX_ID:
            reason = f"The record id has {len(record_id)} characters; the limit is {MAX_ID}."
            return [self._judge(record, None, False, reason)]
        earlier = self._folded.get(record_id)
        if earlier is not None:
            if earlier.digest == digest:
                return []
            reason = f"The record id is that of another note at offset {earlier.offset}."
            return [self._judge(record, None, False, reason)]
        self._folded[record_id] = Folded(record_id, offset, digest)
        while len(self._folded) > FOLDED_KEPT:
            self._folded.popitem(last=False)
        try:
            note = parse_note(data)
        except NoteError as exc:
            reason = "; ".join(str(problem) for problem in exc.problems)
            return [self._judge(record, None, False, reason)]
        verdict = fold(self.state, offset, record["time"], note)
        if verdict.accepted:
            self.state = verdict.state
            self._timeline.add(offset, record["time"], note, self.state)
        return [self._judge(record, note, verdict.accepted, verdict.reason)]

    def _judge(
        self, record: Mapping[str, Any], note: Note | None, accepted: bool, reason: str
    ) -> HistoryEntry:
        entry = HistoryEntry(
            offset=record["offset"],
            time=record["time"],
            note_id=str(record["id"])[:MAX_ID] if note is None else note.id,
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
            return [self._judge(record, None, False, reason)]
        if self._waiting is None:
            return self._compare(record, snapshot)
        if snapshot.covers + 1 < self._first_waiting:
            # Notes between the snapshot and the first record read may be missing.
            return []
        if self.has_base and snapshot.revision < self.state.revision:
            reason = f"A snapshot of revision {snapshot.revision} would move the revision back."
            return [self._judge(record, None, False, reason)]
        return self._start_from(snapshot)

    def _compare(self, record: Mapping[str, Any], snapshot: Snapshot) -> list[HistoryEntry]:
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
        return [self._judge(record, None, False, reason)]

    def _start_from(self, snapshot: Snapshot) -> list[HistoryEntry]:
        waiting, self._waiting = self._waiting or [], None
        self.has_base = True
        self.state = snapshot.state
        self._timeline.start(snapshot.state, snapshot.covers, snapshot.time)
        self.replay_from = snapshot.covers + 1
        self._folded = OrderedDict((folded.id, folded) for folded in snapshot.folded)
        entries = []
        for record in waiting:
            data = record["data"]
            is_snapshot = isinstance(data, Mapping) and "snapshot" in data
            if record["offset"] > snapshot.covers and not is_snapshot:
                entries += self._apply_note(record)
        return entries


def _digest(data: object) -> str:
    """Returns a digest that does not depend on key order or on tuples becoming lists."""
    try:
        text = json.dumps(data, sort_keys=True, separators=(",", ":"), default=str)
    except (TypeError, ValueError, RecursionError):
        return "unreadable"
    return blake3.blake3(text.encode()).hexdigest()[:16]
