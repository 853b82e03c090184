"""Consumers that follow keyed topics of the platform's log by long polling.

A feed does no I/O itself: `Feed.tick` starts the call that is due through a `KeyedLog`.
"""

from fescuechute.feeds._feed import Feed, FeedSettings
from fescuechute.feeds._outcomes import (
    Delivery,
    Failure,
    KeyedLog,
    KeyedRecord,
    Outcome,
    RecordBatch,
    SnapshotPage,
    Trimmed,
)

__all__ = [
    "Delivery",
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
