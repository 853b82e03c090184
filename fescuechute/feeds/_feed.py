"""Following of one keyed topic, with the date up to which it is known to be complete."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import singledispatchmethod

import attrs

from fescuechute.feeds._outcomes import (
    Failure,
    KeyedLog,
    KeyedRecord,
    Outcome,
    RecordBatch,
    SnapshotPage,
    Trimmed,
)

#: Bounds of the delay after a failed call, in seconds. The upper one keeps the time until news are
#: read again after an outage well below the 2 s in which a configuration must be in force.
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.5
#: Longest time in seconds from an append until the answer to a call that waits for it, while nothing
#: is disturbed: the store answers within some ms, and a round trip between regions takes 4 ms.
ANSWER_S = 0.15
#: Seconds between two ticks from which on the process counts as having been suspended; its loop ticks
#: at least 20 times a second.
SUSPENDED_S = 0.25


@attrs.frozen
class FeedSettings:
    """How a topic is followed."""

    topic: str
    #: Seconds for which one call waits for news.
    wait_s: float
    #: Least seconds between two calls; gathers the records of a busy topic.
    every_s: float = 0.0


class Feed:
    """Keeps the newest records of a keyed topic at hand.

    Every call carries the time at which it was asked. When an answer reaches the end of the topic,
    everything that was acknowledged before that time is known, so `confirmed_at` moves to it.

    Args:
      log: Where the topic is.
      settings: Topic and pace.
      now: Returns unix seconds.
      on_record: Called for each record, in the order of their offsets after the snapshot.
      on_snapshot: Called after the last record of a snapshot with its keys; others are gone.
      on_state: Called when the topic is lost or regained, with the reason or an empty text.
      rng: Seeded source of jitter.
    """

    def __init__(
        self,
        log: KeyedLog,
        settings: FeedSettings,
        now: Callable[[], float],
        on_record: Callable[[KeyedRecord], None],
        on_snapshot: Callable[[frozenset[str]], None],
        on_state: Callable[[str], None],
        rng: random.Random,
    ):
        self._log = log
        self._settings = settings
        self._now = now
        self._on_record = on_record
        self._on_snapshot = on_snapshot
        self._on_state = on_state
        self._rng = rng
        self._in_flight = False
        self._next_at = 0.0
        self._failures = 0
        #: Offset to read next, None before the first snapshot is complete.
        self._offset: int | None = None
        self._page_after = ""
        self._page_end: int | None = None
        self._page_asked_at = 0.0
        self._page_keys: set[str] = set()
        self._asked_at = 0.0
        self._ticked_at = 0.0
        #: Unix seconds at which the process last was found to have been suspended.
        self._suspended_at = float("-inf")
        #: Unix seconds up to which every acknowledged record is known, None before the first time.
        self.confirmed_at: float | None = None
        #: Unix seconds before which the records handled now were not there, None when that is unknown.
        self.news_since: float | None = None
        #: Calls made so far.
        self.calls = 0

    @property
    def complete(self) -> bool:
        """Whether a snapshot was read to its end."""
        return self._offset is not None

    def set_pace(self, every_s: float) -> None:
        """Changes the least time between two calls, from now on."""
        if every_s < self._settings.every_s:
            self._next_at = min(self._next_at, self._now() + every_s)
        self._settings = attrs.evolve(self._settings, every_s=every_s)

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    def tick(self, now: float) -> None:
        """Starts the call that is due."""
        if self._is_suspended(now):
            self._suspended_at = now
        self._ticked_at = now
        if self._in_flight or now < self._next_at:
            return
        self._in_flight = True
        self._asked_at = now
        self._next_at = now + self._settings.every_s
        self.calls += 1
        if self._offset is None:
            self._log.snapshot(self._settings.topic, self._page_after, self._ended)
        else:
            # A call that waits at a store that is away would hide its return for as long.
            wait_s = 0.0 if self._failures else self._settings.wait_s
            self._log.read(self._settings.topic, self._offset, wait_s, self._ended)

    def _ended(self, outcome: Outcome) -> None:
        self._in_flight = False
        self._handle(outcome)
        if not isinstance(outcome, Failure) and self._failures:
            self._failures = 0
            self._on_state("")

    @singledispatchmethod
    def _handle(self, outcome: Outcome) -> None:
        raise TypeError(f"Unknown outcome {outcome!r}")

    @_handle.register
    def _(self, outcome: SnapshotPage) -> None:
        if self._page_end is None:
            # Pages are not read at one moment, so what follows the first one is read again.
            self._page_end = outcome.end
            self._page_asked_at = self._asked_at
            self._page_keys.clear()
        self.news_since = self.confirmed_at
        for record in outcome.records:
            self._page_keys.add(record.key)
            self._on_record(record)
        if outcome.more and outcome.records:
            self._page_after = outcome.records[-1].key
            self._next_at = self._now()
            return
        self._offset = self._page_end
        self.confirmed_at = self._page_asked_at
        self._page_after, self._page_end = "", None
        self._on_snapshot(frozenset(self._page_keys))

    @_handle.register
    def _(self, outcome: RecordBatch) -> None:
        self.news_since = self._news_since()
        for record in outcome.records:
            self._on_record(record)
            self._offset = record.offset + 1
        if self._offset is not None and self._offset >= outcome.end:
            self.confirmed_at = self._asked_at

    def _news_since(self) -> float | None:
        """Returns the unix seconds before which the records of an answer were not there.

        A call that waits is answered as soon as a record comes, unless the store or this process was
        away meanwhile.
        """
        now = self._now()
        suspended = self._is_suspended(now) or self._suspended_at > self._asked_at
        if self.confirmed_at is None or self._failures or suspended:
            return self.confirmed_at
        waited = now - self._asked_at > ANSWER_S
        return now - ANSWER_S if waited else self.confirmed_at

    def _is_suspended(self, now: float) -> bool:
        return now - self._ticked_at >= SUSPENDED_S

    @_handle.register
    def _(self, _outcome: Trimmed) -> None:
        self._offset = None
        self._next_at = self._now()

    @_handle.register
    def _(self, outcome: Failure) -> None:
        self._failures += 1
        self._page_after, self._page_end = "", None
        ceiling = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(self._failures - 1, 8))
        self._next_at = self._now() + ceiling * self._rng.uniform(0.5, 1.0)
        if self._failures == 1:
            self._on_state(outcome.reason)
