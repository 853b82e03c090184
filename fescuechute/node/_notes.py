"""Follows the `notes` stream via the log service and via peers.

Only processes that hold the `log-reader` duty poll the log; the others receive records from peers.
A process without links, or whose state is not complete yet, also polls the log itself.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from fescuechute.logs import part_logger
from fescuechute.logstream import StreamView
from fescuechute.net import Clock, HttpClient, HttpResult, LinkHub
from fescuechute.notes import HistoryEntry, Ledger
from fescuechute.wire import Digest, PullRecords, Records

NOTES_STREAM = "notes"
#: Seconds between polls of the log by a reader. About a tenth of the 3 s within which a note must
#: be in force, so that polling, pushing to peers and switching the routing fit into it.
POLL_INTERVAL_S = 0.25
#: Seconds between digests on each link. New records are pushed immediately; digests only repair
#: missed pushes.
DIGEST_INTERVAL_S = 1.0
#: Maximum bytes and number of records in one batch; the bytes are well below the frame limit.
_BATCH_BYTES = 256 * 1024
_BATCH_RECORDS = 256
#: Records kept to serve peers, in addition to those that a new reader needs; about six hours at
#: the design rate.
_RETAINED_RECORDS = 1024


class NoteFollower:
    """Applies records of the stream to the ledger and pushes new ones to peers."""

    def __init__(
        self,
        server: tuple[str, int],
        http: HttpClient,
        hub: LinkHub,
        clock: Clock,
        is_log_reader: Callable[[], bool],
        on_change: Callable[[], None],
        count: Callable[[str], None],
    ):
        self._server = server
        self._http = http
        self._hub = hub
        self._clock = clock
        self._is_log_reader = is_log_reader
        self._on_change = on_change
        self._count = count
        self._log = part_logger("notes")
        self._in_flight = False
        self._next_poll_at = 0.0
        self._next_digest_at = 0.0
        #: Highest next offset of the stream reported by the log or a peer.
        self._known_end = 0
        self._caught_up = False
        #: Whether the log reported that no note was ever published; revision 0 is then complete.
        self._log_was_empty = False
        self.view = StreamView(NOTES_STREAM)
        self.ledger = Ledger()

    @property
    def ready(self) -> bool:
        """Whether the state in force is known.

        This requires a ledger that rests on a complete prefix of the log, and having once read up
        to the reported end of the stream. After only some pages, a restarted process would act on
        an old revision.
        """
        return self._log_was_empty or (self.ledger.has_base and self._caught_up)

    def tick(self, now: float) -> None:
        """Polls the log if this process has to, and sends digests; called once per tick."""
        must_poll = not self._hub.links or not self.ready
        if (
            not self._in_flight
            and now >= self._next_poll_at
            and (must_poll or self._is_log_reader())
        ):
            self._poll(now)
        if now >= self._next_digest_at:
            self._next_digest_at = now + DIGEST_INTERVAL_S
            self._hub.broadcast(self._digest())

    def send_digest(self, peer_id: str) -> None:
        """Sends a peer the position up to which this process has read."""
        self._hub.send(peer_id, self._digest())

    def on_digest(self, peer_id: str, msg: Digest) -> None:
        """Requests missing records from a peer that has read further."""
        self._known_end = max(self._known_end, msg.next_offset)
        self._check_caught_up()
        pull_from = self.view.pull_offset(msg.next_offset)
        if pull_from is not None:
            self._hub.send(peer_id, PullRecords(NOTES_STREAM, pull_from))

    def on_pull(self, peer_id: str, msg: PullRecords) -> None:
        """Sends the requested records to a peer."""
        self._send_records(peer_id, msg.from_offset)

    def on_records(self, peer_id: str, msg: Records) -> None:
        """Applies records from a peer and requests the next ones while more are known to exist."""
        previous_offset = self.view.next_offset
        self._apply(msg.first, list(msg.records), msg.oldest)
        if previous_offset < self.view.next_offset < self._known_end:
            self._hub.send(peer_id, PullRecords(NOTES_STREAM, self.view.next_offset))

    def _digest(self) -> Digest:
        return Digest(NOTES_STREAM, self.view.next_offset, self.ledger.state.revision)

    def _poll(self, now: float) -> None:
        self._in_flight = True
        self._next_poll_at = now + POLL_INTERVAL_S
        path = (
            f"/streams/{NOTES_STREAM}/records?from={self.view.next_offset}&limit={_BATCH_RECORDS}"
        )
        self._http.call("GET", self._server, path, self._on_poll)

    def _on_poll(self, result: HttpResult) -> None:
        self._in_flight = False
        body = result.json() if result.ok else None
        if not isinstance(body, dict) or not isinstance(body.get("records"), list):
            self._count("log.read_failed")
            return
        records = body["records"]
        self._known_end = max(self._known_end, int(body["next"]))
        self._log_was_empty = self._log_was_empty or int(body["next"]) == 0
        first = records[0]["offset"] if records else int(body["next"])
        self._apply(first, records, int(body["first"]), float(body["now"]))
        if len(records) == _BATCH_RECORDS:
            self._next_poll_at = 0.0

    def _apply(
        self, first: int, records: list[dict[str, Any]], oldest: int, now: float | None = None
    ) -> None:
        new_records = self.view.apply(first, records, oldest, now)
        for record in new_records:
            for entry in self.ledger.apply(record):
                self._log_entry(entry)
        if new_records:
            self._push_to_peers(new_records)
            # New readers start at the latest snapshot; older records only serve peers that are
            # slightly behind.
            self.view.trim(_RETAINED_RECORDS, self.ledger.replay_from)
            self._check_caught_up()
            self._on_change()

    def _check_caught_up(self) -> None:
        if self._caught_up or not self.ledger.has_base:
            return
        if 0 < self._known_end <= self.view.next_offset:
            self._caught_up = True
            self._on_change()

    def _log_entry(self, entry: HistoryEntry) -> None:
        if entry.accepted:
            self._log.info("Note {} is in force as revision {}.", entry.note_id, entry.revision)
        else:
            self._count("notes.rejected")
            self._log.warn("Note {} is rejected: {}", entry.note_id, entry.reason)

    def _push_to_peers(self, new_records: list[dict[str, Any]]) -> None:
        for peer_id in list(self._hub.links):
            self._send_records(peer_id, new_records[0]["offset"])

    def _send_records(self, peer_id: str, offset: int) -> None:
        batch = self.view.read(offset, _BATCH_RECORDS, _BATCH_BYTES)
        if batch:
            first = batch[0]["offset"]
            self._hub.send(
                peer_id, Records(NOTES_STREAM, first, tuple(batch), self.view.first_offset)
            )
