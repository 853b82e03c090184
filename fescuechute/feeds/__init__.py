"""Consumers that follow keyed topics of the platform's log by long polling.

A feed does no I/O itself: `Feed.tick` starts the call that is due through a `KeyedLog`.
"""

from fescuechute.feeds._era import KEPT_S, MAX_ERA, EraWatch, Position
from fescuechute.feeds._feed import DatedBy, Feed, FeedSettings
from fescuechute.feeds._outcomes import (
    STORE_SOURCE,
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
    "KEPT_S",
    "MAX_ERA",
    "STORE_SOURCE",
    "DatedBy",
    "Delivery",
    "EraWatch",
    "Failure",
    "Feed",
    "FeedSettings",
    "KeyedLog",
    "KeyedRecord",
    "Outcome",
    "Position",
    "RecordBatch",
    "SnapshotPage",
    "Trimmed",
]
