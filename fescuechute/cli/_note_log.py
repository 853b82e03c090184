"""The stream `notes`, read from the log service."""

from __future__ import annotations

import random
import time
from collections.abc import Mapping
from typing import Any

from fescuechute.checks import Address
from fescuechute.cli._http import Answer, call
from fescuechute.errors import PlatformError
from fescuechute.logstream import StreamView
from fescuechute.notes import HistoryEntry, Ledger

STREAM = "notes"

#: Records asked for at once.
_PAGE = 500

#: Bounds of the wait between attempts, in seconds.
_MIN_WAIT_S = 0.05
_MAX_WAIT_S = 1.0


class Backoff:
    """Waits that double, with jitter, and never pass a deadline."""

    def __init__(self, deadline: float, rng: random.Random | None = None):
        """Starts with the shortest wait.

        Args:
          deadline: Monotonic seconds.
          rng: Source of the jitter.
        """
        self._deadline = deadline
        self._rng = rng or random.Random()
        self._wait_s = _MIN_WAIT_S

    def wait(self) -> bool:
        """Sleeps and returns True, or returns False when the deadline has passed."""
        left = self._deadline - time.monotonic()
        if left <= 0:
            return False
        time.sleep(min(left, self._wait_s * self._rng.uniform(0.5, 1.0)))
        self._wait_s = min(_MAX_WAIT_S, self._wait_s * 2)
        return True


class NoteLog:
    """Everything that the log retains of the stream `notes`, folded.

    Attributes:
      ledger: The fold, with its whole history.
      records: Records by offset.
      now: The log's unix time of the last answer.
      first: Offset of the oldest record that was read.
    """

    def __init__(self, server: Address):
        self.ledger = Ledger(None)
        self.records: dict[int, Mapping[str, Any]] = {}
        self.now = 0.0
        self.first = 0
        self._server = server
        self._view = StreamView(STREAM)
        self._by_id: dict[str, Mapping[str, Any]] = {}
        self._entries: dict[int, HistoryEntry] = {}

    def refresh(self, deadline: float) -> None:
        """Reads all new records.

        Args:
          deadline: Monotonic seconds up to which a failed read is repeated.

        Raises:
          PlatformError: The log did not answer before the deadline.
        """
        backoff = Backoff(deadline)
        while True:
            try:
                if not self._read_page():
                    return
            except PlatformError:
                if not backoff.wait():
                    raise

    def append(self, record_id: str, data: Mapping[str, Any]) -> Answer:
        """Sends one append, without repetition.

        Raises:
          NotSentError: It had no effect.
          AnswerLostError: It may have had its effect.
        """
        body = {"records": [{"id": record_id, "data": data}]}
        return call(self._server, "POST", f"/streams/{STREAM}/records", body)

    def find(self, record_id: str) -> Mapping[str, Any] | None:
        """Returns the first retained record with an id."""
        return self._by_id.get(record_id)

    def entry_at(self, offset: int) -> HistoryEntry | None:
        """Returns the verdict on the record at an offset, or None when it has none."""
        return self._entries.get(offset)

    def _read_page(self) -> bool:
        """Reads one page and returns whether it brought records."""
        start = self._view.next_offset
        path = f"/streams/{STREAM}/records?from={start}&limit={_PAGE}"
        page = _page(call(self._server, "GET", path))
        records, oldest = page["records"], page["first"]
        self.now = page["now"]
        first = records[0]["offset"] if records else max(start, oldest)
        fresh = self._view.apply(first, records, oldest, self.now)
        if records and not fresh:
            found = f"The log answered offset {first} to a read from {start}."
            raise PlatformError(found, "Check that the address is that of the log service.")
        for record in fresh:
            self.records[record["offset"]] = record
            self._by_id.setdefault(record["id"], record)
            for entry in self.ledger.apply(record):
                self._entries[entry.offset] = entry
        self.first = min(self.records, default=self._view.first)
        return bool(fresh)


def _page(answer: Answer) -> dict[str, Any]:
    if not answer.ok:
        found = f"The log answered a read with status {answer.status}."
        raise PlatformError(found, "Try again later.")
    page = answer.json()
    try:
        if all(isinstance(record["offset"], int) for record in page["records"]):
            first, now = int(page["first"]), float(page["now"])
            return {"records": page["records"], "first": first, "now": now}
    except (KeyError, TypeError, ValueError):
        pass
    found = "The log's answer to a read does not have the agreed form."
    raise PlatformError(found, "Check that the address is that of the log service.")
