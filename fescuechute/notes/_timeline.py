"""Timeline of accepted notes, for queries of earlier states."""

from __future__ import annotations

import bisect
import math

import attrs

from fescuechute.notes._fold import fold
from fescuechute.notes._note import Note
from fescuechute.notes._state import ReleaseState

#: Number of notes between two stored states. A query folds at most this many notes again; folding a
#: day of notes would block the process for longer than its heartbeat timeout.
_CHECKPOINT_INTERVAL = 64


@attrs.frozen
class _AcceptedNote:
    offset: int
    #: Unix seconds, never less than the time of an earlier accepted note.
    time: float
    note: Note
    #: State after the note, stored at checkpoints only.
    state: ReleaseState | None


class Timeline:
    """States in force after a base state.

    Attributes:
      last_time: Unix time of the last accepted note, minus infinity before the first.
    """

    def __init__(self, max_notes: float):
        """Creates a timeline that starts with the empty state at the start of the log.

        Args:
          max_notes: Maximum number of notes to keep, infinity for no limit.
        """
        self._max_notes = max_notes
        self.reset(ReleaseState(), 0, -math.inf)

    def reset(self, state: ReleaseState, offset: int, time: float) -> None:
        """Drops all notes and starts from a new base state.

        Args:
          state: Base state.
          offset: Offset of the last record that the base state includes.
          time: Unix time since which the base state was in force.
        """
        self._base = state
        self._base_offset = offset
        self._base_time = self.last_time = time
        self._accepted: list[_AcceptedNote] = []

    def add(self, offset: int, time: float, note: Note, state: ReleaseState) -> None:
        """Adds an accepted note and the state after it."""
        self.last_time = max(self.last_time, time)
        checkpoint = state if state.revision % _CHECKPOINT_INTERVAL == 0 else None
        self._accepted.append(_AcceptedNote(offset, self.last_time, note, checkpoint))
        while len(self._accepted) > self._max_notes:
            oldest = self._accepted.pop(0)
            self._base = _state_after(self._base, oldest)
            self._base_offset, self._base_time = oldest.offset, oldest.time

    def at_offset(self, offset: int) -> ReleaseState | None:
        """Returns the state after all records up to an offset, or None before the base state."""
        if offset < self._base_offset:
            return None
        return self._state_after_count(
            bisect.bisect_right(self._accepted, offset, key=lambda accepted: accepted.offset)
        )

    def at_time(self, time: float) -> ReleaseState | None:
        """Returns the state in force at a unix time, or None before the base state."""
        if time < self._base_time:
            return None
        return self._state_after_count(
            bisect.bisect_right(self._accepted, time, key=lambda accepted: accepted.time)
        )

    def _state_after_count(self, count: int) -> ReleaseState:
        """Returns the state after the first `count` notes of the timeline."""
        start = count
        while start > 0 and self._accepted[start - 1].state is None:
            start -= 1
        state = self._base if start == 0 else self._accepted[start - 1].state
        assert state is not None
        for accepted in self._accepted[start:count]:
            state = _state_after(state, accepted)
        return state


def _state_after(state: ReleaseState, accepted: _AcceptedNote) -> ReleaseState:
    return accepted.state or fold(state, accepted.offset, accepted.time, accepted.note).state
