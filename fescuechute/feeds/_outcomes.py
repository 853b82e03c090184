"""Interface of a keyed log, and the outcomes of its calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from fescuechute.feeds._era import Position

#: Source of a response of the store.
STORE_SOURCE = "store"


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic."""

    offset: int
    key: str
    #: None if the record deletes its key.
    value: bytes | None
    #: Era of the store in which the record has this offset.
    era: int = 0

    @property
    def position(self) -> Position:
        """Era and offset."""
        return Position(self.era, self.offset)


@attrs.frozen
class Delivery:
    """How a response arrived; logged with the records that it delivered."""

    #: STORE_SOURCE, or the address of the peer that sent it.
    source: str = STORE_SOURCE
    #: Size of the response in bytes.
    size: int = 0
    #: Seconds from the first byte of the response to its last.
    transfer_s: float = 0.0


@attrs.frozen
class SnapshotPage:
    """One page of a snapshot, which holds the newest record of each key."""

    records: tuple[KeyedRecord, ...]
    #: Whether another page follows.
    has_more: bool
    #: Offset after the last record of the topic.
    end: int
    delivery: Delivery = Delivery()
    #: Seconds from the start of the call to the time up to which all records are known; negative if
    #: that time is earlier, as it is in a response of a relay.
    confirmed_after_s: float = 0.0
    #: The same for the last failure of the log that the source has seen, or None without one.
    failed_after_s: float | None = None
    #: For each record the same for the time after which it was appended, None if unknown; empty in a
    #: response of the store.
    appended_after_s: tuple[float | None, ...] = ()
    #: Era of the store as of the response; records of older eras were kept by a relay.
    era: int = 0
    #: See `RecordBatch`.
    kept_token: int = 0


@attrs.frozen
class RecordBatch:
    """Consecutive records; empty if none was appended within the wait time."""

    records: tuple[KeyedRecord, ...]
    #: Offset after the last record of the topic.
    end: int
    delivery: Delivery = Delivery()
    #: Seconds from the start of the call to the time up to which all records are known; negative if
    #: that time is earlier, as it is in a response of a relay.
    confirmed_after_s: float = 0.0
    #: The same for the time after which all records were appended; None if the source does not know it.
    appended_after_s: float | None = None
    #: The same as `confirmed_after_s` for the last failure of the log that the source has seen.
    failed_after_s: float | None = None
    #: For each record what `appended_after_s` says of all of them; empty in a response of the store.
    record_appended_after_s: tuple[float | None, ...] = ()
    #: Whether records without effect are left out, so that the next read starts at `end`.
    compacted: bool = False
    #: Era of the store as of the response; records of older eras were kept by a relay.
    era: int = 0
    #: Stands for all records of older eras that the relay keeps, 0 without any; one that the next call
    #: names is not sent again.
    kept_token: int = 0


@attrs.frozen
class Trimmed:
    """The records at the requested offset have been deleted from the log, or it does not have them yet."""

    #: Era of the store as of the response.
    era: int = 0


@attrs.frozen
class Failure:
    """The call failed, or its response was invalid."""

    reason: str
    #: Era of the store as of the response; None without a response of it.
    era: int | None = None


Outcome = SnapshotPage | RecordBatch | Trimmed | Failure


class KeyedLog(Protocol):
    """A log with keyed topics. Each call ends with one call of `on_end`."""

    def snapshot(self, topic: str, after: str, on_end: Callable[[Outcome], None]) -> None:
        """Requests the page of a snapshot with the keys that follow `after`."""

    def read(
        self, topic: str, offset: int, wait_s: float, on_end: Callable[[Outcome], None]
    ) -> None:
        """Requests the records from an offset on, waiting up to `wait_s` seconds for the first."""
