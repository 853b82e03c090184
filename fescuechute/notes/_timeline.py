"""Accepted notes in order, for questions about earlier states."""

from __future__ import annotations

import bisect
import math

import attrs

from fescuechute.notes._fold import fold
from fescuechute.notes._note import Note
from fescuechute.notes._state import ReleaseState

#: Every so many notes the state itself is kept, so that a question folds at most this many notes
#: again. Folding a day of notes would stop a process for longer than its heartbeat timeout.
_CHECKPOINT = 64


@attrs.frozen
class _Accepted:
    offset: int
    #: Unix seconds, never below that of an earlier accepted note.
    time: float
    note: Note
    #: The state after the note, kept at checkpoints only.
    state: ReleaseState | None


class Timeline:
    """States after a base.

    Attributes:
      last_time: Time of the last accepted note, minus infinity before the first.
    """

    def __init__(self, keep: float):
        """Starts with the empty state at the start of the log.

        Args:
          keep: Number of notes to keep, infinity for all.
        """
        self._keep = keep
        self.start(ReleaseState(), 0, -math.inf)

    def start(self, state: ReleaseState, offset: int, time: float) -> None:
        """Forgets everything and starts with a base.

        Args:
          state: The base.
          offset: Offset up to which the base holds all records.
          time: Unix time since which the base was in force.
        """
        self._base = state
        self._base_offset = offset
        self._base_time = self.last_time = time
        self._items: list[_Accepted] = []

    def add(self, offset: int, time: float, note: Note, state: ReleaseState) -> None:
        """Adds an accepted note with the state after it."""
        self.last_time = max(self.last_time, time)
        checkpoint = state if state.revision % _CHECKPOINT == 0 else None
        self._items.append(_Accepted(offset, self.last_time, note, checkpoint))
        while len(self._items) > self._keep:
            first = self._items.pop(0)
            self._base = _next(self._base, first)
            self._base_offset, self._base_time = first.offset, first.time

    def at_offset(self, offset: int) -> ReleaseState | None:
        """Returns the state after all records up to an offset, or None before the base."""
        if offset < self._base_offset:
            return None
        return self._after(bisect.bisect_right(self._items, offset, key=lambda item: item.offset))

    def at_time(self, time: float) -> ReleaseState | None:
        """Returns the state in force at a unix time, or None before the base."""
        if time < self._base_time:
            return None
        return self._after(bisect.bisect_right(self._items, time, key=lambda item: item.time))

    def _after(self, count: int) -> ReleaseState:
        """Returns the state after the first `count` notes that are kept."""
        start = count
        while start > 0 and self._items[start - 1].state is None:
            start -= 1
        state = self._base if start == 0 else self._items[start - 1].state
        assert state is not None
        for item in self._items[start:count]:
            state = _next(state, item)
        return state


def _next(state: ReleaseState, item: _Accepted) -> ReleaseState:
    return item.state or fold(state, item.offset, item.time, item.note).state
