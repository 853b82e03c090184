"""Requests at one agent: a short queue before the slots of its upstream.

The agent is in the request path, so a request that it refuses was surely not run.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from fescuechute.admission import FairQueue, QueuedItem
from fescuechute.errors import Reason
from fescuechute.net import HttpCall
from fescuechute.wire import Call, Cancel, Generate, Message, Refused

#: Seconds after which a refused entry may try this agent again.
RETRY_AFTER_S = 0.2

Request = Generate | Call
WorkKey = str


@attrs.define(eq=False)
class WorkRow:
    """One request, from arrival until its last message is sent."""

    #: Entry that sent it.
    peer_id: str
    msg: Request
    #: Call to the upstream; None while queued.
    call: HttpCall | None = None
    #: Unfinished line of the upstream's stream.
    partial: bytes = b""
    #: Tokens passed on, resumed ones included.
    count: int = 0
    #: Explicit end that the upstream sent.
    end: dict[str, object] | None = None
    #: Boot id of the engine that it was sent to; empty for calls.
    boot_id: str = ""

    @property
    def key(self) -> WorkKey:
        """Identity of the attempt."""
        return _key(self.peer_id, self.msg)

    @property
    def solo(self) -> bool:
        """Whether it must run alone."""
        return isinstance(self.msg, Generate) and self.msg.solo


class Executor(Protocol):
    """Passes requests to the upstream."""

    def start(self, row: WorkRow) -> None:
        """Starts a request; `WorkTable.finished` is called when it ends."""

    def cancel(self, row: WorkRow) -> None:
        """Stops a running request."""

    def link_down(self, row: WorkRow) -> bool:
        """The entry of a running request is gone. Returns whether the request goes on."""

    def dropped(self, row: WorkRow) -> None:
        """A waiting request was dropped because its entry is gone; it never starts."""


class WorkTable:
    """Queue, slots and rows of running requests."""

    def __init__(
        self,
        slots: int,
        queue: FairQueue,
        send: Callable[[str, Message], bool],
        count: Callable[[str], None],
    ):
        self.slots = slots
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
        """Requests that wait for a slot."""
        return len(self._waiting) + (1 if self._solo_waits else 0)

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not self.running and not self.queued

    @property
    def _solo_waits(self) -> bool:
        return self._solo is not None and self._solo.key not in self.running

    def submit(self, peer_id: str, msg: Request, now: float) -> None:
        """Queues a request that passed the checks of the daemon, or refuses it."""
        row = WorkRow(peer_id, msg)
        if row.key in self.running or row.key in self._waiting:
            return
        if msg.deadline <= now:
            self.refuse(peer_id, msg, Reason.DEADLINE_PASSED, now)
            return
        if row.solo:
            self._submit_solo(row, now)
            return
        full = len(self.running) >= self.slots or self._solo is not None
        if full and len(self._waiting) >= self.queue_limit:
            self.refuse(peer_id, msg, Reason.BUSY, now)
            return
        cost = msg.max_tokens if isinstance(msg, Generate) else 1
        item = QueuedItem(row.key, msg.rank, msg.workspace, cost, now, msg.deadline, row, "")
        self._waiting[row.key] = row
        self._queue.push(item)
        self.pump(now)

    def pump(self, now: float) -> None:
        """Starts requests while slots are free."""
        if self._solo is not None:
            if self._solo_waits and not self.running:
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
        """Refuses waiting requests whose deadline has passed."""
        for item in self._queue.expire(now):
            row = self._waiting.pop(item.item_id, None)
            if row is not None:
                self.refuse(row.peer_id, row.msg, Reason.DEADLINE_PASSED, now)
        solo = self._solo
        if solo is not None and self._solo_waits and solo.msg.deadline <= now:
            self._solo = None
            self.refuse(solo.peer_id, solo.msg, Reason.DEADLINE_PASSED, now)

    def finished(self, row: WorkRow, now: float) -> None:
        """Frees the slot of a request whose last message was sent."""
        self.running.pop(row.key, None)
        if self._solo is row:
            self._solo = None
        self.pump(now)

    def cancel(self, peer_id: str, msg: Cancel, now: float) -> None:
        """Drops a request that its caller gave up."""
        key = _key(peer_id, msg)
        self._drop(key)
        row = self.running.get(key)
        if row is not None and self.executor is not None:
            self._count("cancelled")
            self.executor.cancel(row)
            self.finished(row, now)

    def link_down(self, peer_id: str, now: float) -> None:
        """Drops the requests of an entry that is gone, except those that must be completed."""
        for row in [row for row in self._waiting.values() if row.peer_id == peer_id]:
            self._drop(row.key)
            if self.executor is not None:
                self.executor.dropped(row)
        if self._solo is not None and self._solo.peer_id == peer_id and self._solo_waits:
            self._solo = None
        for row in [row for row in self.running.values() if row.peer_id == peer_id]:
            if self.executor is not None and not self.executor.link_down(row):
                self.executor.cancel(row)
                self.finished(row, now)

    def refuse_waiting(self, reason: Reason, now: float) -> None:
        """Refuses every request that has not started."""
        for key, row in list(self._waiting.items()):
            self._drop(key)
            self.refuse(row.peer_id, row.msg, reason, now)
        if self._solo is not None and self._solo_waits:
            solo, self._solo = self._solo, None
            self.refuse(solo.peer_id, solo.msg, reason, now)

    def refuse(self, peer_id: str, msg: Request, reason: Reason, now: float) -> None:
        """Tells an entry that its request was not run and never will be."""
        self._count(f"refused.{reason}")
        retry_at = now + RETRY_AFTER_S
        self._send(peer_id, Refused(msg.request_id, msg.attempt, str(reason), retry_at))

    def _submit_solo(self, row: WorkRow, now: float) -> None:
        if self._solo is not None:
            self.refuse(row.peer_id, row.msg, Reason.BUSY, now)
            return
        self._solo = row
        self.pump(now)

    def _start(self, row: WorkRow) -> None:
        assert self.executor is not None
        self.running[row.key] = row
        self.executor.start(row)

    def _drop(self, key: WorkKey) -> None:
        if self._waiting.pop(key, None) is not None:
            self._queue.remove(key)
        if self._solo is not None and self._solo.key == key and self._solo_waits:
            self._solo = None


def _key(peer_id: str, msg: Request | Cancel) -> WorkKey:
    return f"{peer_id}/{msg.request_id}/{msg.attempt}"
