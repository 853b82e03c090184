"""Appends snapshots to the `notes` stream before the records that they replace expire."""

from __future__ import annotations

import json
from collections.abc import Callable

from fescuechute.logs import part_logger
from fescuechute.net import Clock, HttpClient, HttpResult
from fescuechute.node._notes import NOTES_STREAM, NoteFollower

#: Processes in the whole system that append snapshots. Two, so that the failure of one has no
#: effect.
SNAPSHOT_WRITERS = 2
#: Age of the oldest needed record, as a fraction of the retention time, at which a snapshot is due.
#: Three quarters of the retention time remain to survive an outage of the log.
_DUE_FRACTION = 0.25
#: Fraction added per index in the list of holders, so that the second holder appends a snapshot
#: only if the first has not.
_DUE_FRACTION_PER_HOLDER = 0.05
#: Checks per retention time, and the maximum seconds between two checks.
_CHECKS_PER_RETENTION = 40
_MAX_CHECK_INTERVAL_S = 60.0


class SnapshotWriter:
    """Appends a snapshot when the oldest record that a new reader needs reaches a certain age.

    Ages are measured with the clock of the log service, which also decides when records expire.

    Args:
      server: Address of the log service.
      http: Client for calls to the log service.
      clock: Clock of this process.
      notes: Follower whose ledger is written to snapshots.
      retention_s: Seconds for which the log keeps records.
      holder_index: Returns the index of this process among the snapshot writers, or None.
      count: Increments the counter with a given name.
    """

    def __init__(
        self,
        server: tuple[str, int],
        http: HttpClient,
        clock: Clock,
        notes: NoteFollower,
        retention_s: float,
        holder_index: Callable[[], int | None],
        count: Callable[[str], None],
    ):
        self._server = server
        self._http = http
        self._clock = clock
        self._notes = notes
        self._retention_s = retention_s
        self._holder_index = holder_index
        self._count = count
        self._log = part_logger("notes")
        self._in_flight = False
        self._next_check_at = 0.0

    def tick(self, now: float) -> None:
        """Starts a check if one is due and this process is a snapshot writer."""
        if self._in_flight or now < self._next_check_at:
            return
        self._next_check_at = now + min(
            _MAX_CHECK_INTERVAL_S, self._retention_s / _CHECKS_PER_RETENTION
        )
        if self._holder_index() is None or not self._notes.ledger.is_current:
            return
        self._in_flight = True
        path = f"/streams/{NOTES_STREAM}/records?from={self._notes.view.next_offset}&limit=1"
        self._http.call("GET", self._server, path, self._on_records)

    def _on_records(self, result: HttpResult) -> None:
        self._in_flight = False
        body = result.json() if result.ok else None
        if not isinstance(body, dict) or not isinstance(body.get("records"), list):
            self._count("log.read_failed")
            return
        if not body["records"] and self._is_due(float(body["now"])):
            self._append()

    def _is_due(self, log_now: float) -> bool:
        holder_index, ledger = self._holder_index(), self._notes.ledger
        oldest_needed = self._notes.view.read(ledger.replay_from, 1)
        if holder_index is None or not ledger.is_current or not oldest_needed:
            return False
        due_fraction = _DUE_FRACTION + holder_index * _DUE_FRACTION_PER_HOLDER
        return log_now - float(oldest_needed[0]["time"]) > due_fraction * self._retention_s

    def _append(self) -> None:
        data = self._notes.ledger.snapshot()
        record_id = f"snapshot-{data['covers']}"
        body = json.dumps({"records": [{"id": record_id, "data": data}]}).encode()
        self._in_flight = True
        path = f"/streams/{NOTES_STREAM}/records"

        def on_appended(result: HttpResult) -> None:
            # If the response is lost, the next check finds the record or appends it again; a
            # duplicate snapshot is harmless.
            self._in_flight = False
            self._count("notes.snapshots" if result.ok else "notes.snapshot_failed")
            if result.ok:
                self._log.info(
                    "Appended {} of revision {}.", record_id, data["snapshot"]["revision"]
                )

        self._http.call("POST", self._server, path, on_appended, body=body)
