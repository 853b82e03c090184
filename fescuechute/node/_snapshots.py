"""Appends snapshots to the `notes` stream before the records they replace age out."""

from __future__ import annotations

import json
from collections.abc import Callable

from fescuechute.logs import part_logger
from fescuechute.net import Clock, HttpClient, HttpResult
from fescuechute.node._notes import NOTES_STREAM, NoteFollower

#: Processes of the whole system that append snapshots. Two, so that one may fail unnoticed.
SNAPSHOT_WRITERS = 2
#: Age of the oldest needed record, as a fraction of retention, at which a snapshot is appended.
#: Three quarters of retention are left for an outage of the log.
_DUE_SHARE = 0.25
#: Further fraction for each place down the list of holders, so that the second appends only what
#: the first has not.
_NEXT_HOLDER_SHARE = 0.05
#: Checks in one period of retention, and the longest time between two.
_CHECKS = 40
_LONGEST_CHECK_S = 60.0


class SnapshotWriter:
    """Checks the age of the oldest record that a new reader needs.

    Ages are measured with the log's clock, which also decides when records age out.

    Args:
      server: Address of the log service.
      http: Client for calls to it.
      clock: Clock of this process, for the interval of checks.
      notes: The follower whose ledger is written.
      retention_s: Seconds for which the log keeps records.
      place: Returns the place of this process among the holders of the duty, or None.
      count: Counts events by name.
    """

    def __init__(
        self,
        server: tuple[str, int],
        http: HttpClient,
        clock: Clock,
        notes: NoteFollower,
        retention_s: float,
        place: Callable[[], int | None],
        count: Callable[[str], None],
    ):
        self._server = server
        self._http = http
        self._clock = clock
        self._notes = notes
        self._retention_s = retention_s
        self._place = place
        self._count = count
        self._log = part_logger("notes")
        self._in_flight = False
        self._next_check_at = 0.0

    def tick(self, now: float) -> None:
        """Starts a check when one is due and this process holds the duty."""
        if self._in_flight or now < self._next_check_at:
            return
        self._next_check_at = now + min(_LONGEST_CHECK_S, self._retention_s / _CHECKS)
        if self._place() is None or not self._notes.ledger.is_current:
            return
        self._in_flight = True
        path = f"/streams/{NOTES_STREAM}/records?from={self._notes.view.next_offset}&limit=1"
        self._http.call("GET", self._server, path, self._on_head)

    def _on_head(self, result: HttpResult) -> None:
        self._in_flight = False
        body = result.json() if result.ok else None
        if not isinstance(body, dict) or not isinstance(body.get("records"), list):
            self._count("log.read_failed")
            return
        if not body["records"] and self._is_due(float(body["now"])):
            self._append()

    def _is_due(self, log_now: float) -> bool:
        place, ledger = self._place(), self._notes.ledger
        oldest = self._notes.view.since(ledger.replay_from, 1)
        if place is None or not ledger.is_current or not oldest:
            return False
        share = _DUE_SHARE + place * _NEXT_HOLDER_SHARE
        return log_now - float(oldest[0]["time"]) > share * self._retention_s

    def _append(self) -> None:
        data = self._notes.ledger.snapshot()
        record_id = f"snapshot-{data['covers']}"
        body = json.dumps({"records": [{"id": record_id, "data": data}]}).encode()
        self._in_flight = True
        path = f"/streams/{NOTES_STREAM}/records"

        def answered(result: HttpResult) -> None:
            # After a lost answer the next check sees the record, or appends again; a duplicate
            # snapshot is harmless.
            self._in_flight = False
            self._count("notes.snapshots" if result.ok else "notes.snapshot_failed")
            if result.ok:
                self._log.info(
                    "Appended {} of revision {}.", record_id, data["snapshot"]["revision"]
                )

        self._http.call("POST", self._server, path, answered, body=body)
