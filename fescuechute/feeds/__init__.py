"""Feeds: topics of the platform's log that a process follows.

No I/O of its own: a `KeyedLog` makes the calls, and `tick` starts the one that is due.
"""

from fescuechute.feeds._feed import Feed, FeedSettings
from fescuechute.feeds._outcomes import (
    Failure,
    KeyedLog,
    KeyedRecord,
    Outcome,
    RecordBatch,
    SnapshotPage,
    Trimmed,
)

__all__ = [
    "Failure",
    "Feed",
    "FeedSettings",
    "KeyedLog",
    "KeyedRecord",
    "Outcome",
    "RecordBatch",
    "SnapshotPage",
    "Trimmed",
]
