"""Follows the `notes` stream through the log and through peers.

Only processes with the duty `log-reader` poll the log; the others learn records from their links.
A process that is cut off from every peer polls for itself.
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
#: Seconds between two polls of the log by a reader. A tenth of the 3 s in which a note must be in
#: force, so that polling, pushing and switching the routing fit in it.
POLL_EVERY_S = 0.25
#: Seconds between two digests on each link. New records are pushed at once; digests only repair
#: what a push missed.
DIGEST_EVERY_S = 1.0
#: Bytes of records in one message, well below the frame limit.
_MAX_RECORDS_BYTES = 256 * 1024
_MAX_RECORDS = 256
#: Records kept beyond those that a new reader needs, about six hours at the design rate.
_KEPT_RECORDS = 1024


class NoteFollower:
    """Applies the stream to the ledger and passes new records on."""

    def __init__(
        self,
        server: tuple[str, int],
        http: HttpClient,
        hub: LinkHub,
        clock: Clock,
        is_reader: Callable[[], bool],
        on_change: Callable[[], None],
        count: Callable[[str], None],
    ):
        self._server = server
        self._http = http
        self._hub = hub
        self._clock = clock
        self._is_reader = is_reader
        self._on_change = on_change
        self._count = count
        self._log = part_logger("notes")
        self._in_flight = False
        self._next_poll_at = 0.0
        self._next_digest_at = 0.0
        #: Highest end of the stream that the log or a peer has told of.
        self._known_end = 0
        self._caught_up = False
        #: The log answered that no note was ever published: revision 0 is then complete knowledge.
        self._log_was_empty = False
        self.view = StreamView(NOTES_STREAM)
        self.ledger = Ledger()

    @property
    def ready(self) -> bool:
        """Whether the state in force is known.

        It rests on a complete prefix of the log, and this process has once read up to the end that
        it was told of. After only some pages a restarted process would act on an old revision.
        """
        return self._log_was_empty or (self.ledger.has_base and self._caught_up)

    def tick(self, now: float) -> None:
        """Polls the log when it is this process's turn and sends digests."""
        alone = not self._hub.links or not self.ready
        if not self._in_flight and now >= self._next_poll_at and (alone or self._is_reader()):
            self._poll(now)
        if now >= self._next_digest_at:
            self._next_digest_at = now + DIGEST_EVERY_S
            self._hub.broadcast(self._digest())

    def greet(self, peer_id: str) -> None:
        """Tells a new peer how far this process has read."""
        self._hub.send(peer_id, self._digest())

    def on_digest(self, peer_id: str, msg: Digest) -> None:
        """Asks a peer that has read further for the missing records."""
        self._known_end = max(self._known_end, msg.next_offset)
        self._check_caught_up()
        wanted = self.view.behind(msg.next_offset)
        if wanted is not None:
            self._hub.send(peer_id, PullRecords(NOTES_STREAM, wanted))

    def on_pull(self, peer_id: str, msg: PullRecords) -> None:
        """Answers a peer that is behind."""
        self._send_since(peer_id, msg.from_offset)

    def on_records(self, peer_id: str, msg: Records) -> None:
        """Applies records that a peer sent, and asks it for the next ones while more are known."""
        before = self.view.next_offset
        self._apply(msg.first, list(msg.records), msg.oldest)
        if before < self.view.next_offset < self._known_end:
            self._hub.send(peer_id, PullRecords(NOTES_STREAM, self.view.next_offset))

    def _digest(self) -> Digest:
        return Digest(NOTES_STREAM, self.view.next_offset, self.ledger.state.revision)

    def _poll(self, now: float) -> None:
        self._in_flight = True
        self._next_poll_at = now + POLL_EVERY_S
        path = f"/streams/{NOTES_STREAM}/records?from={self.view.next_offset}&limit={_MAX_RECORDS}"
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
        if len(records) == _MAX_RECORDS:
            self._next_poll_at = 0.0

    def _apply(
        self, first: int, records: list[dict[str, Any]], oldest: int, now: float | None = None
    ) -> None:
        fresh = self.view.apply(first, records, oldest, now)
        for record in fresh:
            for entry in self.ledger.apply(record):
                self._report(entry)
        if fresh:
            self._push(fresh)
            # New readers start at the snapshot, so older records serve only peers slightly behind.
            self.view.trim(_KEPT_RECORDS, self.ledger.replay_from)
            self._check_caught_up()
            self._on_change()

    def _check_caught_up(self) -> None:
        if self._caught_up or not self.ledger.has_base:
            return
        if 0 < self._known_end <= self.view.next_offset:
            self._caught_up = True
            self._on_change()

    def _report(self, entry: HistoryEntry) -> None:
        if entry.accepted:
            self._log.info("Note {} is in force as revision {}.", entry.note_id, entry.revision)
        else:
            self._count("notes.rejected")
            self._log.warn("Note {} is rejected: {}", entry.note_id, entry.reason)

    def _push(self, fresh: list[dict[str, Any]]) -> None:
        for peer_id in list(self._hub.links):
            self._send_since(peer_id, fresh[0]["offset"])

    def _send_since(self, peer_id: str, offset: int) -> None:
        batch = self.view.since(offset, _MAX_RECORDS, _MAX_RECORDS_BYTES)
        if batch:
            first = batch[0]["offset"]
            self._hub.send(peer_id, Records(NOTES_STREAM, first, tuple(batch), self.view.first))
