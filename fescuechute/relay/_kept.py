"""Asks the relays of a region for what the store has lost, after a snapshot that came from the store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from fescuechute.feeds import Delivery, EraWatch, KeyedRecord, RecordBatch
from fescuechute.net import HttpClient
from fescuechute.relay._query import request_records
from fescuechute.relay._sources import RelayAddress

#: Seconds after the snapshot over which the calls are spread.
SPREAD_S = 2.0


class KeptQuery:
    """Calls each known relay in each era until it has answered in it, one at a time.

    A relay that still reads the new era itself refuses, so it is asked again for some time.

    Args:
      topic: Name of the topic.
      http: Client for calls to relays.
      eras: Newest era that the process has seen.
      on_record: Called with each record of an older era that a relay has kept, the unix seconds after
        which it was appended, None if unknown, and how it arrived.
      rng: Seeded random number generator for the time of the first call.
    """

    def __init__(
        self,
        topic: str,
        http: HttpClient,
        eras: EraWatch,
        on_record: Callable[[KeyedRecord, float | None, Delivery], None],
        rng: Random,
    ):
        self._topic = topic
        self._http = http
        self._eras = eras
        self._on_record = on_record
        self._rng = rng
        #: Era of the latest snapshot.
        self._era = 0
        #: Relays that have answered in the era, and those that were asked, the latest last.
        self._answered: set[RelayAddress] = set()
        self._asked: list[RelayAddress] = []
        self._in_flight = False
        #: Unix seconds from which and until which calls are started.
        self._next_call_at = 0.0
        self._until = 0.0

    def start(self, era: int, now: float, spread_s: float = SPREAD_S / 4) -> None:
        """Starts to ask after a snapshot of the store; in era 0 it has lost nothing yet.

        Args:
          era: Era of the snapshot.
          now: Unix seconds.
          spread_s: Longest random time in seconds until the first call.
        """
        if era <= self._era:
            return
        self._era, self._until = era, now + SPREAD_S
        self._answered.clear()
        self._asked.clear()
        self._next_call_at = now + self._rng.uniform(0.0, spread_s)

    @property
    def has_answer(self) -> bool:
        """Whether a relay has told what it keeps in the era of the latest snapshot."""
        return bool(self._answered)

    def is_asking(self, now: float) -> bool:
        """Returns whether calls may be due."""
        return self._next_call_at <= now < self._until

    def tick(self, now: float, relays: Sequence[RelayAddress]) -> None:
        """Starts the call that is due.

        Args:
          now: Unix seconds.
          relays: Other relays of the region.
        """
        if self._in_flight or not self.is_asking(now):
            return
        unanswered = [relay for relay in relays if relay not in self._answered]
        if not unanswered:
            return
        relay = min(unanswered, key=self._asked_before)
        self._in_flight = True
        self._asked = [*(other for other in self._asked if other != relay), relay]
        self._next_call_at = now + SPREAD_S / 2 / len(relays)
        on_end = partial(self._on_end, relay, now)
        request_records(self._http, self._topic, relay, on_end, self._eras.newest)

    def _asked_before(self, relay: RelayAddress) -> int:
        return self._asked.index(relay) if relay in self._asked else -1

    def _on_end(self, relay: RelayAddress, called_at: float, batch: RecordBatch | None) -> None:
        self._in_flight = False
        if batch is None:
            return
        self._eras.observe(batch.era, called_at, batch.delivery.source)
        if self._eras.is_old(batch.era):
            return
        self._answered.add(relay)
        dates = batch.record_appended_after_s or (None,) * len(batch.records)
        for record, appended_after_s in zip(batch.records, dates, strict=True):
            if record.era < batch.era:
                date = None if appended_after_s is None else called_at + appended_after_s
                self._on_record(record, date, batch.delivery)
