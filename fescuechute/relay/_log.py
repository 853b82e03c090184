"""A keyed log that is read from relays or from the store."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol
from urllib.parse import quote

import attrs

from fescuechute.errors import WireError
from fescuechute.feeds import (
    STORE_SOURCE,
    EraWatch,
    Failure,
    KeyedLog,
    Outcome,
    RecordBatch,
    SnapshotPage,
)
from fescuechute.net import HttpClient, HttpResult
from fescuechute.relay._codec import decode_batch
from fescuechute.relay._sources import STORE, RelayAddress, SourceSelector
from fescuechute.relay._timing import RelayTiming

#: Path of the records at a relay.
RECORDS_PATH = "/records"


class StoreLog(KeyedLog, Protocol):
    """The store, which also reports the progress of a response."""

    def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        on_end: Callable[[Outcome], None],
        on_progress: Callable[[], None] | None = None,
    ) -> None:
        """Requests records; `on_progress` is called for each received part of the response."""


@attrs.define
class _Call:
    """One call of the feed and the sources that are left for it."""

    topic: str
    #: Offset of the first record, or None for a snapshot.
    offset: int | None
    #: Longest wait at the next source, in seconds; later sources are not waited at.
    wait_s: float
    on_end: Callable[[Outcome], None]
    sources: list[RelayAddress]


class RelayedLog:
    """Reads from the sources of a selector in turn until one responds.

    Args:
      store: The store.
      http: Client for calls to relays.
      selector: Orders the sources.
      timing: Time limits.
      now: Returns unix seconds.
      on_source_failed: Called with the name of a source and the reason when it starts to fail.
      store_waits: Whether calls to the store wait for new records. In a topic with many records, a
        relay leaves most of them out, while the store would answer each call at once.
      eras: Newest era that the process has seen; a watch of its own by default.
    """

    def __init__(
        self,
        store: StoreLog,
        http: HttpClient,
        selector: SourceSelector,
        timing: RelayTiming,
        now: Callable[[], float],
        on_source_failed: Callable[[str, str], None] = lambda _source, _reason: None,
        store_waits: bool = True,
        eras: EraWatch | None = None,
    ):
        self._store = store
        self._http = http
        self._selector = selector
        self._now = now
        self._on_source_failed = on_source_failed
        self._store_waits = store_waits
        #: Newest era that the process has seen.
        self.eras = EraWatch() if eras is None else eras
        #: Era in which the store last responded to this log, None before.
        self._read_era: int | None = None
        #: The latest call; outcomes of those before it, which the feed gave up, are ignored.
        self._latest: _Call | None = None
        #: Sources whose last call failed.
        self._failing: set[RelayAddress] = set()
        self.timing = timing
        #: Whether other processes may read from this one, so that it must be current.
        self.relaying = False
        #: Unix seconds at which the last part of the current response of the store arrived; None
        #: while none is being received.
        self._progress_at: float | None = None
        #: Token of the kept records that the latest relay has sent.
        self._kept_token = 0
        #: Unix seconds at which the store last responded; minus infinity after a failed call.
        self._store_responded_at = float("-inf")

    def is_current(self, now: float) -> bool:
        """Returns whether this process gets the records from the store without delay.

        That holds also while a response of the store is arriving, however long that takes: copies for
        other processes would only slow it down. A process that reads from a relay is not current;
        otherwise two relays without the store could read from each other. Nor is one that has not read
        in the newest era.
        """
        if self._read_era != self.eras.newest:
            return False
        receiving = (
            self._progress_at is not None and now - self._progress_at < self.timing.stalled_s
        )
        return receiving or now - self._store_responded_at < self.timing.stale_s

    def snapshot(self, topic: str, after: str, on_end: Callable[[Outcome], None]) -> None:
        """Requests a page of a snapshot; a relay sends all records as one page."""
        if after:
            # Pages of different sources do not fit together.
            self._latest = None
            self._store.snapshot(topic, after, on_end)
            return
        # A snapshot of a relay is compressed, does not cross the link to the store, and tells when its
        # records were appended.
        sources = self._sources()
        sources.sort(key=lambda source: source == STORE)
        if self._follows_readers():
            sources.remove(STORE)
        self._start(_Call(topic, None, 0.0, on_end, sources))

    def read(
        self, topic: str, offset: int, wait_s: float, on_end: Callable[[Outcome], None]
    ) -> None:
        """Requests the records from an offset on."""
        sources = self._sources()
        if self.relaying or len(sources) > 1:
            wait_s = min(wait_s, self.timing.wait_s)
        self._start(_Call(topic, offset, wait_s, on_end, sources))

    def _follows_readers(self) -> bool:
        """Returns whether the readers of the region are given time to read a new era first.

        Otherwise all processes of a region would read a snapshot from the store after each rise.
        """
        now = self._now()
        is_new = now < self.eras.risen_at + self.timing.stale_s
        return is_new and not self._selector.is_reader(now)

    def _start(self, call: _Call) -> None:
        self._latest, self._progress_at = call, None
        self._try_next(call)

    def _sources(self) -> list[RelayAddress]:
        sources = self._selector.sources(self._now())
        # Relays that have ended never respond again.
        self._failing.intersection_update(sources)
        return sources

    def _try_next(self, call: _Call) -> None:
        source = call.sources.pop(0)
        if source == STORE:
            self._read_store(call)
        else:
            self._read_relay(call, source)

    def _read_store(self, call: _Call) -> None:
        def on_outcome(outcome: Outcome) -> None:
            if call is not self._latest:
                return
            self._progress_at = None
            outcome = self._check_era(outcome, STORE_SOURCE)
            if isinstance(outcome, Failure):
                self._store_responded_at = float("-inf")
                self._on_failure(call, STORE, outcome, responded=False)
            else:
                self._store_responded_at, self._read_era = self._now(), outcome.era
                self._failing.discard(STORE)
                call.on_end(outcome)

        if call.offset is None:
            self._store.snapshot(call.topic, "", on_outcome)
        else:
            # A relay is not current before the store has answered in the newest era.
            waits = self._store_waits and self._read_era == self.eras.newest
            wait_s = call.wait_s if waits else 0.0
            if self.relaying:
                wait_s = min(wait_s, self.timing.store_wait_s)
            on_progress = partial(self._on_progress, call)
            self._store.read(call.topic, call.offset, wait_s, on_outcome, on_progress)

    def _on_progress(self, call: _Call) -> None:
        if call is self._latest:
            self._progress_at = self._now()

    def _check_era(self, outcome: Outcome, source: str) -> Outcome:
        """Notes the era of an outcome; returns a failure in place of one of an older era."""
        if outcome.era is None:
            return outcome
        self.eras.observe(outcome.era, self._now(), source)
        if isinstance(outcome, Failure) or not self.eras.is_old(outcome.era):
            return outcome
        reason = f"{source} is in era {outcome.era}, which is older than {self.eras.newest}"
        return Failure(reason, outcome.era)

    def _read_relay(self, call: _Call, relay: RelayAddress) -> None:
        name = f"{relay.ip}:{relay.port}"
        # The feed reads anew as soon as an era is seen, so its offset is of the newest one.
        era = "" if self.eras.newest is None else f"&era={self.eras.newest}"
        kept = f"&kept={self._kept_token}" if self._kept_token else ""
        path = (
            f"{RECORDS_PATH}?topic={quote(call.topic)}&from={call.offset or 0}{era}{kept}"
            f"&wait_ms={call.wait_s * 1000:.0f}"
        )

        def on_result(result: HttpResult) -> None:
            if call is not self._latest:
                return
            outcome = self._check_era(_relay_outcome(result, name, call.offset is None), name)
            if isinstance(outcome, Failure):
                self._on_failure(call, relay, outcome, responded=not result.error)
            else:
                self._failing.discard(relay)
                if isinstance(outcome, SnapshotPage | RecordBatch):
                    self._kept_token = outcome.kept_token
                call.on_end(outcome)

        timeout_s = call.wait_s + self.timing.silence_s
        self._http.call("GET", (relay.ip, relay.port), path, on_result, idle_timeout_s=timeout_s)

    def _on_failure(
        self, call: _Call, source: RelayAddress, failure: Failure, *, responded: bool
    ) -> None:
        self._selector.record_failure(source, responded, self._now())
        if source not in self._failing:
            self._failing.add(source)
            self._on_source_failed(source.process_id, failure.reason)
        call.wait_s = 0.0
        if call.sources:
            self._try_next(call)
        else:
            call.on_end(failure)


def _relay_outcome(result: HttpResult, source: str, is_snapshot: bool) -> Outcome:
    if not result.ok:
        return Failure(f"relay {source}: {result.error or f'status {result.status}'}")
    try:
        batch = decode_batch(result.body, source, result.transfer_s)
    except WireError as exc:
        return Failure(str(exc))
    if not is_snapshot:
        return batch
    dates = batch.record_appended_after_s or (None,) * len(batch.records)
    present = [
        (record, date)
        for record, date in zip(batch.records, dates, strict=True)
        if record.value is not None
    ]
    # The store sends snapshots in key order as well.
    present.sort(key=lambda item: item[0].key)
    return SnapshotPage(
        tuple(record for record, _ in present),
        False,
        batch.end,
        batch.delivery,
        batch.confirmed_after_s,
        batch.failed_after_s,
        tuple(date for _, date in present),
        batch.era,
        batch.kept_token,
    )
