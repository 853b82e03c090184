"""What a keyed log answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic."""

    offset: int
    key: str
    #: None when the record drops its key.
    value: bytes | None


@attrs.frozen
class SnapshotPage:
    """Some of the newest records of each key."""

    records: tuple[KeyedRecord, ...]
    #: Whether another page follows.
    more: bool
    #: Offset after the last record of the topic.
    end: int


@attrs.frozen
class RecordBatch:
    """Consecutive records, none when nothing new came within the wait."""

    records: tuple[KeyedRecord, ...]
    #: Offset after the last record of the topic.
    end: int


@attrs.frozen
class Trimmed:
    """The records asked for have been deleted."""


@attrs.frozen
class Failure:
    """No usable answer."""

    reason: str


Outcome = SnapshotPage | RecordBatch | Trimmed | Failure


class KeyedLog(Protocol):
    """A log with keyed topics."""

    def snapshot(self, topic: str, after: str, on_end: Callable[[Outcome], None]) -> None:
        """Asks for a page of the newest records, those whose keys follow `after`."""

    def read(
        self, topic: str, offset: int, wait_s: float, on_end: Callable[[Outcome], None]
    ) -> None:
        """Asks for records from an offset on; waits up to `wait_s` seconds for the first."""
