"""Client for the stream `notes` of the log service."""

from __future__ import annotations

import random
import time
from collections.abc import Mapping
from typing import Any

from fescuechute.checks import Address
from fescuechute.cli._http import Response, send_request
from fescuechute.errors import PlatformError
from fescuechute.logstream import StreamView
from fescuechute.notes import HistoryEntry, Ledger

STREAM = "notes"

#: Records requested in one read.
_PAGE_RECORDS = 500

#: Bounds of the wait between two attempts, before jitter.
_MIN_WAIT_S = 0.05
_MAX_WAIT_S = 1.0


class Backoff:
    """Exponential backoff with jitter, limited by a deadline."""

    def __init__(self, deadline: float, rng: random.Random | None = None):
        """Starts at the shortest wait.

        Args:
          deadline: Time on the monotonic clock, in seconds.
          rng: Random source of the jitter.
        """
        self._deadline = deadline
        self._rng = rng or random.Random()
        self._wait_s = _MIN_WAIT_S

    def wait(self) -> bool:
        """Sleeps until the next attempt, at most until the deadline.

        Returns:
          False, without sleeping, when the deadline has passed.
        """
        left_s = self._deadline - time.monotonic()
        if left_s <= 0:
            return False
        time.sleep(min(left_s, self._wait_s * self._rng.uniform(0.5, 1.0)))
        self._wait_s = min(_MAX_WAIT_S, self._wait_s * 2)
        return True


class NoteLog:
    """Reads the retained records of the stream `notes` and applies them to a ledger.

    Attributes:
      ledger: State and complete history computed from the records.
      records: Records by offset.
      server_time: Unix time of the log service in its last response, in seconds.
      oldest_offset: Offset of the oldest record that was read.
    """

    def __init__(self, server: Address):
        self.ledger = Ledger(None)
        self.records: dict[int, Mapping[str, Any]] = {}
        self.server_time = 0.0
        self.oldest_offset = 0
        self._server = server
        self._view = StreamView(STREAM)
        self._records_by_id: dict[str, Mapping[str, Any]] = {}
        self._history_by_offset: dict[int, HistoryEntry] = {}

    def refresh(self, deadline: float) -> None:
        """Reads all new records.

        Args:
          deadline: Time on the monotonic clock, in seconds, until which failed reads are retried.

        Raises:
          PlatformError: The log service did not respond as expected before the deadline.
        """
        backoff = Backoff(deadline)
        while True:
            try:
                if not self._read_page():
                    return
            except PlatformError:
                if not backoff.wait():
                    raise

    def append(self, record_id: str, data: Mapping[str, Any]) -> Response:
        """Sends one append request, without retries.

        Raises:
          NotSentError: The append had no effect.
          AnswerLostError: The append may have taken effect.
        """
        body = {"records": [{"id": record_id, "data": data}]}
        return send_request(self._server, "POST", f"/streams/{STREAM}/records", body)

    def find_record(self, record_id: str) -> Mapping[str, Any] | None:
        """Returns the first retained record with an id, or None."""
        return self._records_by_id.get(record_id)

    def history_entry_at(self, offset: int) -> HistoryEntry | None:
        """Returns the history entry of the record at an offset.

        None when the ledger has neither accepted nor rejected the record.
        """
        return self._history_by_offset.get(offset)

    def _read_page(self) -> bool:
        """Reads one page and returns whether it had new records."""
        start = self._view.next_offset
        path = f"/streams/{STREAM}/records?from={start}&limit={_PAGE_RECORDS}"
        page = _parse_page(send_request(self._server, "GET", path))
        records, oldest = page["records"], page["first"]
        self.server_time = page["now"]
        first = records[0]["offset"] if records else max(start, oldest)
        new_records = self._view.apply(first, records, oldest, self.server_time)
        if records and not new_records:
            found = f"The log returned offset {first} for a read from {start}."
            raise PlatformError(found, "Check that the address belongs to the log service.")
        for record in new_records:
            self.records[record["offset"]] = record
            self._records_by_id.setdefault(record["id"], record)
            for entry in self.ledger.apply(record):
                self._history_by_offset[entry.offset] = entry
        self.oldest_offset = min(self.records, default=self._view.first_offset)
        return bool(new_records)


def _parse_page(response: Response) -> dict[str, Any]:
    if not response.ok:
        found = f"The log responded to a read with status {response.status}."
        raise PlatformError(found, "Retry later.")
    page = response.json()
    try:
        if all(isinstance(record["offset"], int) for record in page["records"]):
            first, now = int(page["first"]), float(page["now"])
            return {"records": page["records"], "first": first, "now": now}
    except (KeyError, TypeError, ValueError):
        pass
    found = "The log's response to a read does not have the expected form."
    raise PlatformError(found, "Check that the address belongs to the log service.")
