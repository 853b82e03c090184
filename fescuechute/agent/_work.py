"""Requests at one agent: a short queue and the slots of its upstream.

All requests reach the upstream through the agent, so a request that it refuses certainly did not run.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from fescuechute.admission import FairQueue, QueuedItem
from fescuechute.errors import Reason
from fescuechute.net import HttpCall
from fescuechute.wire import Call, Cancel, Generate, Message, Refused

#: Seconds after which a refused request may be retried.
RETRY_AFTER_S = 0.2

Request = Generate | Call
WorkKey = str


@attrs.define(eq=False)
class WorkRow:
    """State of one request, from its arrival until its last message is sent."""

    #: Entry that sent the request.
    peer_id: str
    msg: Request
    #: HTTP call to the upstream; None while the request is queued.
    call: HttpCall | None = None
    #: Last line of the upstream's stream, as far as it has arrived.
    partial_line: bytes = b""
    #: Number of tokens passed on, including resumed ones.
    token_count: int = 0
    #: The line with which the upstream ended its stream; None until it arrives.
    end_line: dict[str, object] | None = None
    #: Boot id of the engine when the request was sent to it; empty for calls.
    boot_id: str = ""

    @property
    def key(self) -> WorkKey:
        """Unique key of the attempt."""
        return _key(self.peer_id, self.msg)

    @property
    def solo(self) -> bool:
        """Whether the request must run alone on the upstream."""
        return isinstance(self.msg, Generate) and self.msg.solo


class Executor(Protocol):
    """Runs requests on the upstream."""

    def start(self, row: WorkRow) -> None:
        """Starts a request; must call `WorkTable.finish` when it ends."""

    def cancel(self, row: WorkRow) -> None:
        """Cancels a running request."""

    def handle_link_down(self, row: WorkRow) -> bool:
        """Handles the disconnect of a running request's entry; returns whether the request continues."""

    def handle_dropped(self, row: WorkRow) -> None:
        """Handles the removal of a queued request whose entry has disconnected."""


class WorkTable:
    """Queues requests, starts them when slots are free, and tracks the running ones.

    A request that must run alone is held outside the queue. While there is one, no other request starts.
    """

    def __init__(
        self,
        slots: int,
        queue: FairQueue,
        send: Callable[[str, Message], bool],
        count: Callable[[str], None],
    ):
        self.slots = slots
        #: Maximum number of queued requests; `UpstreamRow.capacity` of the entries assumes the same.
        self.queue_limit = max(1, slots // 4)
        self._queue = queue
        self._send = send
        self._count = count
        self._waiting: dict[WorkKey, WorkRow] = {}
        self._solo: WorkRow | None = None
        self.running: dict[WorkKey, WorkRow] = {}
        self.executor: Executor | None = None

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting) + (1 if self._is_solo_waiting else 0)

    @property
    def idle(self) -> bool:
        """Whether no request is running or queued."""
        return not self.running and not self.queued

    @property
    def _is_solo_waiting(self) -> bool:
        return self._solo is not None and self._solo.key not in self.running

    def submit(self, peer_id: str, msg: Request, now: float) -> None:
        """Queues a request, or refuses it if its deadline has passed or the queue is full."""
        row = WorkRow(peer_id, msg)
        if row.key in self.running or row.key in self._waiting:
            return
        if msg.deadline <= now:
            self.refuse(peer_id, msg, Reason.DEADLINE_PASSED, now)
            return
        if row.solo:
            self._submit_solo(row, now)
            return
        is_busy = len(self.running) >= self.slots or self._solo is not None
        if is_busy and len(self._waiting) >= self.queue_limit:
            self.refuse(peer_id, msg, Reason.BUSY, now)
            return
        cost = msg.max_tokens if isinstance(msg, Generate) else 1
        item = QueuedItem(row.key, msg.rank, msg.workspace, cost, now, msg.deadline, row, "")
        self._waiting[row.key] = row
        self._queue.push(item)
        self.start_queued(now)

    def start_queued(self, now: float) -> None:
        """Starts queued requests while slots are free."""
        if self._solo is not None:
            if self._is_solo_waiting and not self.running:
                self._start(self._solo)
            return
        while self._waiting and len(self.running) < self.slots:
            item = self._queue.pop(now)
            if item is None:
                return
            row = self._waiting.pop(item.item_id, None)
            if row is not None:
                self._start(row)

    def expire(self, now: float) -> None:
        """Refuses queued requests whose deadline has passed."""
        for item in self._queue.expire(now):
            row = self._waiting.pop(item.item_id, None)
            if row is not None:
                self.refuse(row.peer_id, row.msg, Reason.DEADLINE_PASSED, now)
        solo = self._solo
        if solo is not None and self._is_solo_waiting and solo.msg.deadline <= now:
            self._solo = None
            self.refuse(solo.peer_id, solo.msg, Reason.DEADLINE_PASSED, now)

    def finish(self, row: WorkRow, now: float) -> None:
        """Removes a running request and starts queued ones in its slot."""
        self.running.pop(row.key, None)
        if self._solo is row:
            self._solo = None
        self.start_queued(now)

    def cancel(self, peer_id: str, msg: Cancel, now: float) -> None:
        """Cancels a queued or running request."""
        key = _key(peer_id, msg)
        self._drop(key)
        row = self.running.get(key)
        if row is not None and self.executor is not None:
            self._count("cancelled")
            self.executor.cancel(row)
            self.finish(row, now)

    def link_down(self, peer_id: str, now: float) -> None:
        """Cancels the requests of a disconnected entry, except those that the executor continues."""
        for row in [row for row in self._waiting.values() if row.peer_id == peer_id]:
            self._drop(row.key)
            if self.executor is not None:
                self.executor.handle_dropped(row)
        if self._solo is not None and self._solo.peer_id == peer_id and self._is_solo_waiting:
            self._solo = None
        for row in [row for row in self.running.values() if row.peer_id == peer_id]:
            if self.executor is not None and not self.executor.handle_link_down(row):
                self.executor.cancel(row)
                self.finish(row, now)

    def refuse_waiting(self, reason: Reason, now: float) -> None:
        """Refuses all queued requests."""
        for key, row in list(self._waiting.items()):
            self._drop(key)
            self.refuse(row.peer_id, row.msg, reason, now)
        if self._solo is not None and self._is_solo_waiting:
            solo, self._solo = self._solo, None
            self.refuse(solo.peer_id, solo.msg, reason, now)

    def refuse(self, peer_id: str, msg: Request, reason: Reason, now: float) -> None:
        """Informs an entry that its request has not run and will not run."""
        self._count(f"refused.{reason}")
        retry_at = now + RETRY_AFTER_S
        self._send(peer_id, Refused(msg.request_id, msg.attempt, str(reason), retry_at))

    def _submit_solo(self, row: WorkRow, now: float) -> None:
        if self._solo is not None:
            self.refuse(row.peer_id, row.msg, Reason.BUSY, now)
            return
        self._solo = row
        self.start_queued(now)

    def _start(self, row: WorkRow) -> None:
        assert self.executor is not None
        self.running[row.key] = row
        self.executor.start(row)

    def _drop(self, key: WorkKey) -> None:
        if self._waiting.pop(key, None) is not None:
            self._queue.remove(key)
        if self._solo is not None and self._solo.key == key and self._is_solo_waiting:
            self._solo = None


def _key(peer_id: str, msg: Request | Cancel) -> WorkKey:
    return f"{peer_id}/{msg.request_id}/{msg.attempt}"
