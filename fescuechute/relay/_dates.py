"""Asks the relays of a region when records were appended that were read from the store, which has no dates."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from fescuechute.feeds import KeyedRecord, RecordBatch
from fescuechute.net import HttpClient
from fescuechute.relay._query import request_records
from fescuechute.relay._sources import RelayAddress

#: Seconds between two calls.
INTERVAL_S = 0.5


class DateQuery:
    """Calls the known relays in turn, one at a time, for as long as it is ticked.

    A relay that is not current refuses, and one that has read the records from the store itself after a start
    does not know their dates either, so every relay is asked.

    Args:
      topic: Name of the topic.
      http: Client for calls to relays.
      on_date: Called with each record of known date and the unix seconds after which it was appended.
    """

    def __init__(
        self,
        topic: str,
        http: HttpClient,
        on_date: Callable[[KeyedRecord, float], None],
    ):
        self._topic = topic
        self._http = http
        self._on_date = on_date
        self._next_call_at = 0.0
        self._calls = 0
        self._in_flight = False

    def tick(self, now: float, relays: Sequence[RelayAddress]) -> None:
        """Starts the call that is due.

        Args:
          now: Unix seconds.
          relays: Other relays of the region.
        """
        if self._in_flight or now < self._next_call_at or not relays:
            return
        self._in_flight = True
        self._next_call_at = now + INTERVAL_S
        relay = relays[self._calls % len(relays)]
        self._calls += 1
        request_records(self._http, self._topic, relay, partial(self._on_end, now))

    def _on_end(self, called_at: float, batch: RecordBatch | None) -> None:
        self._in_flight = False
        if batch is None:
            return
        dates = batch.record_appended_after_s or (None,) * len(batch.records)
        seen: set[tuple[str, bytes | None]] = set()
        for record, appended_after_s in zip(batch.records, dates, strict=True):
            # A writer may have repeated a record; the first one dates what it says.
            content = (record.key, record.value)
            if appended_after_s is not None and content not in seen:
                self._on_date(record, called_at + appended_after_s)
            seen.add(content)
