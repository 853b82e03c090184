"""Follows one keyed topic and tracks the time up to which its records are known completely."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from functools import partial, singledispatchmethod

import attrs

from fescuechute.feeds._era import EraWatch
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

#: Longest delay after the first failed call, in seconds.
BACKOFF_BASE_S = 0.1
#: Upper limit on the delay after any failed call, in seconds. It keeps the time from the end of an
#: outage to the next read well below the 2 s in which a configuration must be in force.
BACKOFF_CAP_S = 0.5
#: Seconds after a rise of the era for which a record that is seen first may be a second writing of one
#: that the store has lost.
DATE_SETTLING_S = 5.0
#: Longest wait of a call in seconds after the settling time until the first confirmation. A relay whose
#: settling time ends a little later confirms within a few calls.
CONFIRM_WAIT_S = 0.1


class DatedBy(enum.StrEnum):
    """What the time after which records were appended rests on."""

    #: The start of an earlier call whose response did not include them.
    CONFIRMATION = "confirmation"
    #: The source of the response, a relay.
    SOURCE = "source"


@attrs.frozen
class FeedSettings:
    """Topic and polling parameters of a feed."""

    topic: str
    #: Seconds for which a call waits for new records (long polling).
    wait_s: float
    #: Shortest time from the start of one call to the next, in seconds; batches the records of a
    #: busy topic.
    min_interval_s: float = 0.0
    #: Time in seconds after a rise of the era for which `Feed.confirmed_at` does not advance, so that
    #: writers can repeat what the store has lost.
    settle_s: float = 0.0


class Feed:
    """Follows a keyed topic: reads a snapshot first, then the records appended since.

    When a response reaches the end of the topic, it includes every record that was acknowledged
    before the call started. `confirmed_at` is therefore set to the start of that call, not to the
    arrival of the response.

    When the store comes back from a copy, its era rises and its offsets are given out again. The feed
    then gives up the call in flight and reads a new snapshot. No response of an older era than the
    newest that the process has seen is applied.

    Args:
      log: Log that holds the topic.
      settings: Topic and polling parameters.
      now: Returns unix seconds.
      on_record: Called for each record. After the snapshot, records come in the order of their
        offsets.
      on_snapshot: Called after the last record of a snapshot with all of its keys; any other key
        has been deleted.
      on_availability: Called with a reason when the log becomes unavailable, and with an empty
        string when it is available again.
      rng: Seeded random number generator for the backoff jitter.
      eras: Newest era that the process has seen; a watch of its own by default.
    """

    def __init__(
        self,
        log: KeyedLog,
        settings: FeedSettings,
        now: Callable[[], float],
        on_record: Callable[[KeyedRecord], None],
        on_snapshot: Callable[[frozenset[str]], None],
        on_availability: Callable[[str], None],
        rng: random.Random,
        eras: EraWatch | None = None,
    ):
        self._log = log
        self._settings = settings
        self._now = now
        self._on_record = on_record
        self._on_snapshot = on_snapshot
        self._on_availability = on_availability
        self._rng = rng
        self._eras = EraWatch() if eras is None else eras
        #: Era of the position, None before the first response.
        self._era: int | None = None
        #: Unix seconds up to which every record was known before the rise of the era, None if unknown.
        self._confirmed_before_rise: float | None = None
        #: Unix seconds until which `confirmed_at` does not advance, and until which records that are
        #: seen first may be second writings.
        self._settled_at = float("-inf")
        self._dated_from = float("-inf")
        #: Whether `confirmed_at` is still the one from before the rise.
        self._unconfirmed_in_era = False
        self._in_flight = False
        self._next_call_at = 0.0
        self._consecutive_failures = 0
        #: Offset of the next read, None until a snapshot is complete.
        self._next_offset: int | None = None
        #: Key after which the next page of the snapshot starts.
        self._last_page_key = ""
        #: End offset of the topic as of the first page; None outside a snapshot.
        self._snapshot_end: int | None = None
        self._snapshot_confirmed_at = 0.0
        self._snapshot_keys: set[str] = set()
        #: Unix seconds at which the latest call was started.
        self._call_started_at = 0.0
        self._has_read = False
        #: Unix seconds up to which every acknowledged record is known; None before a snapshot.
        self.confirmed_at: float | None = None
        #: Unix seconds after which the records being handled were appended; None if unknown.
        self.earliest_appended_at: float | None = None
        #: What that time rests on.
        self.dated_by = DatedBy.CONFIRMATION
        #: Unix seconds after which older records of the keys being handled may have been appended that
        #: the log left out; infinity if it left out none, None if unknown.
        self.earliest_omitted_at: float | None = None
        #: How the latest response with records arrived.
        self.delivery = Delivery()
        #: Unix seconds at which the log last failed, as seen by this process or by its source.
        self.failed_at = float("-inf")
        #: Number of calls started.
        self.calls = 0
        #: Number of the latest call whose outcome is ignored.
        self._abandoned_calls = 0

    @property
    def complete(self) -> bool:
        """Whether a snapshot was read completely and reading continues from it."""
        return self._next_offset is not None

    @property
    def has_read(self) -> bool:
        """Whether a snapshot was ever read completely, in whichever era."""
        return self._has_read or self.complete

    @property
    def era(self) -> int:
        """Era of the position, 0 before the first response."""
        return self._era or 0

    @property
    def next_offset(self) -> int | None:
        """Offset after the last known record, or None before a snapshot is complete."""
        return self._next_offset

    def set_poll_interval(self, min_interval_s: float) -> None:
        """Changes the shortest time between calls; a reduction also applies to the next call."""
        if min_interval_s < self._settings.min_interval_s:
            self._next_call_at = min(self._next_call_at, self._now() + min_interval_s)
        self._settings = attrs.evolve(self._settings, min_interval_s=min_interval_s)

    def set_settling(self, settle_s: float) -> None:
        """Changes the settling time from the next rise of the era on."""
        self._settings = attrs.evolve(self._settings, settle_s=settle_s)

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._consecutive_failures > 0

    def tick(self, now: float) -> None:
        """Starts the call that is due."""
        self._follow_era(now)
        if self._in_flight or now < self._next_call_at:
            return
        self._in_flight = True
        self._call_started_at = now
        self._next_call_at = now + self._settings.min_interval_s
        self.calls += 1
        is_first_page = self._next_offset is None and not self._last_page_key
        on_end = partial(self._on_call_ended, self.calls, is_first_page)
        if self._next_offset is None:
            self._log.snapshot(self._settings.topic, self._last_page_key, on_end)
        else:
            wait_s = self._call_wait_s(now)
            self._log.read(self._settings.topic, self._next_offset, wait_s, on_end)

    def apply_kept(
        self, record: KeyedRecord, appended_after: float | None, delivery: Delivery
    ) -> None:
        """Applies a record of an older era that a relay has kept against the copy of the store.

        Args:
          record: The record.
          appended_after: Unix seconds after which it was appended, None if unknown.
          delivery: How it arrived.
        """
        if not self.complete or record.era >= self.era:
            return
        self.earliest_appended_at = appended_after
        self.dated_by = DatedBy.SOURCE
        self.earliest_omitted_at = self._confirmed_before_rise
        self.delivery = delivery
        self._on_record(record)

    def _call_wait_s(self, now: float) -> float:
        """Returns the seconds for which the next read waits for new records."""
        # After a failure the call must not wait, or a recovery of the store would go unnoticed for up
        # to `wait_s`.
        if self._consecutive_failures:
            return 0.0
        if now < self._settled_at:
            return min(self._settings.wait_s, self._settled_at - now)
        if self._unconfirmed_in_era:
            return min(self._settings.wait_s, CONFIRM_WAIT_S)
        return self._settings.wait_s

    def _follow_era(self, now: float) -> bool:
        """Starts a new snapshot if the era has risen; returns whether it has."""
        newest, risen_at = self._eras.newest, self._eras.risen_at
        if newest is None or newest == self._era:
            return False
        is_rise = self._era is not None
        self._era = newest
        # What was confirmed between two rises that follow closely may be a second writing as well.
        if risen_at >= self._dated_from:
            self._confirmed_before_rise = self.confirmed_at
        self._settled_at = risen_at + self._settings.settle_s
        self._dated_from = risen_at + DATE_SETTLING_S
        self.failed_at = max(self.failed_at, risen_at)
        if not is_rise:
            return False
        self._unconfirmed_in_era = True
        self._in_flight, self._abandoned_calls = False, self.calls
        self._next_offset, self._last_page_key, self._snapshot_end = None, "", None
        self._next_call_at = now
        return True

    def _on_call_ended(self, call: int, is_first_page: bool, outcome: Outcome) -> None:
        """Handles the outcome of a call unless it was given up or is of an older era."""
        if call <= self._abandoned_calls:
            return
        self._in_flight = False
        if outcome.era is not None:
            self._eras.observe(outcome.era, self._now(), _source(outcome))
        has_risen = self._follow_era(self._now())
        if not isinstance(outcome, Failure):
            if self._eras.is_old(outcome.era):
                reason = f"era {outcome.era} is older than the known era {self._eras.newest}"
                outcome = Failure(reason, outcome.era)
            elif has_risen and not (isinstance(outcome, SnapshotPage) and is_first_page):
                return
        self._on_outcome(outcome)

    def _on_outcome(self, outcome: Outcome) -> None:
        self._handle(outcome)
        if not isinstance(outcome, Failure) and self._consecutive_failures:
            self._consecutive_failures = 0
            # The log may have become available again only just now.
            self.failed_at = self._now()
            self._on_availability("")

    @singledispatchmethod
    def _handle(self, outcome: Outcome) -> None:
        raise TypeError(f"Unknown outcome {outcome!r}")

    @_handle.register
    def _(self, outcome: SnapshotPage) -> None:
        if self._snapshot_end is None:
            # Later pages reflect later states of the topic, so everything appended since the first
            # page is read again after the snapshot.
            self._snapshot_end = outcome.end
            self._snapshot_confirmed_at = self._call_started_at + outcome.confirmed_after_s
            self._snapshot_keys.clear()
        self._note_failure(outcome)
        self.delivery = outcome.delivery
        undated = self._undated_after()
        dates = outcome.appended_after_s or (None,) * len(outcome.records)
        for record, appended_after_s in zip(outcome.records, dates, strict=True):
            self.earliest_omitted_at = undated
            self._date(record, outcome.era, appended_after_s, undated)
            self._snapshot_keys.add(record.key)
            self._on_record(record)
        if outcome.has_more and outcome.records:
            self._last_page_key = outcome.records[-1].key
            self._next_call_at = self._now()
            return
        self._next_offset, self._has_read = self._snapshot_end, True
        self._confirm(self._snapshot_confirmed_at)
        self._last_page_key, self._snapshot_end = "", None
        self._on_snapshot(frozenset(self._snapshot_keys))

    @_handle.register
    def _(self, outcome: RecordBatch) -> None:
        appended_at = self.earliest_appended_at = self._appended_after(outcome)
        omitted_at = self._undated_after() if outcome.compacted else float("inf")
        self.delivery = outcome.delivery
        self._note_failure(outcome)
        dates = outcome.record_appended_after_s or (None,) * len(outcome.records)
        for record, appended_after_s in zip(outcome.records, dates, strict=True):
            self.earliest_omitted_at = omitted_at
            self._date(record, outcome.era, appended_after_s, appended_at)
            self._on_record(record)
            if record.era == outcome.era:
                self._next_offset = record.offset + 1
        if outcome.compacted and self._next_offset is not None:
            self._next_offset = max(self._next_offset, outcome.end)
        if self._next_offset is not None and self._next_offset >= outcome.end:
            self._confirm(self._call_started_at + outcome.confirmed_after_s)

    def _date(
        self, record: KeyedRecord, era: int, appended_after_s: float | None, default: float | None
    ) -> None:
        """Dates a record by its source, or by a default without a date of the source.

        A record of an older era than the response was kept by a relay. It, and what the log left out
        before it, may be older than anything that was confirmed since the rise.
        """
        self.dated_by = DatedBy.CONFIRMATION if appended_after_s is None else DatedBy.SOURCE
        if record.era < era:
            self.earliest_omitted_at, default = self._confirmed_before_rise, None
        if appended_after_s is None:
            self.earliest_appended_at = default
        else:
            self.earliest_appended_at = self._call_started_at + appended_after_s

    def _note_failure(self, outcome: SnapshotPage | RecordBatch) -> None:
        if outcome.failed_after_s is not None:
            failed_at = self._call_started_at + outcome.failed_after_s
            self.failed_at = max(self.failed_at, failed_at)

    def _confirm(self, confirmed_at: float) -> None:
        # Writers may not have repeated yet what they wrote in the lost stretch.
        if confirmed_at < self._settled_at:
            return
        self._unconfirmed_in_era = False
        # A relay may know less than an earlier response of another source.
        self.confirmed_at = max(confirmed_at, self.confirmed_at or confirmed_at)

    def _undated_after(self) -> float | None:
        """Returns the unix seconds after which records without a date were appended, None if unknown."""
        if self._now() < self._dated_from:
            return self._confirmed_before_rise
        return self.confirmed_at

    def _appended_after(self, outcome: RecordBatch) -> float | None:
        """Returns the unix seconds after which the records of a response were appended.

        Only an earlier response that lacks them is a proof. The arrival of a response to a waiting call
        is none: a link may hold a response back behind large ones for longer than the call could wait.
        Soon after a rise of the era, only a response from before it is a proof.
        """
        if outcome.appended_after_s is None:
            return self._undated_after()
        return self._call_started_at + outcome.appended_after_s

    @_handle.register
    def _(self, _outcome: Trimmed) -> None:
        self._next_offset = None
        self._next_call_at = self._now()

    @_handle.register
    def _(self, outcome: Failure) -> None:
        self._consecutive_failures += 1
        self.failed_at = self._now()
        self._last_page_key, self._snapshot_end = "", None
        max_delay_s = min(
            BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** min(self._consecutive_failures - 1, 8)
        )
        self._next_call_at = self._now() + max_delay_s * self._rng.uniform(0.5, 1.0)
        if self._consecutive_failures == 1:
            self._on_availability(outcome.reason)


def _source(outcome: Outcome) -> str:
    return outcome.delivery.source if isinstance(outcome, SnapshotPage | RecordBatch) else ""
