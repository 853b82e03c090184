"""Queues of waiting requests and the attempts at agents.

Only this module sends attempts, so that nothing is retried at two layers.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

from fescuechute.admission import AdmissionPolicy, FairQueue, QueuedItem, RateEstimator
from fescuechute.entry._rows import RequestRow
from fescuechute.errors import Ran, Reason, RefusedError
from fescuechute.routing import UpstreamRow
from fescuechute.wire import Accepted, Cancel, End, Failed, Message, Piece, Refused

if TYPE_CHECKING:
    from fescuechute.entry._daemon import EntryDaemon

#: Seconds until a request that found no fitting upstream is looked at again.
LOOK_AGAIN_S = 0.05
#: Refusals as not run after which a request is given up; it keeps a request from circling among
#: full agents until its deadline.
MAX_REFUSALS = 50
#: Seconds after its deadline in which an agent may still say that a request waited there and was
#: not run: its tick, and the way back. Without that word the request may have run.
VERDICT_S = 0.25

#: Builds the message of an attempt, or returns None when no upstream fits now.
Route = Callable[[RequestRow, float], tuple[UpstreamRow, Message] | None]


class Dispatcher:
    """Waiting requests, attempts in flight, and what agents say about them."""

    def __init__(self, node: EntryDaemon):
        cfg = node.cfg
        self._node = node
        ranks = [(rank.name, rank.protected_share) for rank in cfg.ranks]
        weights = {workspace.name: workspace.weight for workspace in cfg.workspaces}
        self._queue = FairQueue(ranks, weights)
        self._admission = AdmissionPolicy()
        self._rates: dict[str, RateEstimator] = {}
        self._order = itertools.count()
        #: Requests that wait for a time: (due, tie breaker, row).
        self._delayed: list[tuple[float, int, RequestRow]] = []
        self._routes: dict[type[RequestRow], Route] = {}
        #: Every request that is not finished, by request id.
        self.rows: dict[str, RequestRow] = {}

    def route(self, kind: type[RequestRow], route: Route) -> None:
        """Sets how attempts of a kind of request are built."""
        self._routes[kind] = route

    # Arrival and end of requests.

    def submit(self, row: RequestRow, now: float) -> None:
        """Queues a new request.

        Raises:
          RefusedError: If it cannot be served before its deadline or the queue is full.
        """
        item = self._item(row, now)
        refuse = self._admission.admit(item, self._queue, now, self._rate(row.pool).rate(now))
        if refuse is not None:
            found = f"{len(self._queue)} requests wait already."
            raise RefusedError(refuse.reason, found, retry_at=refuse.retry_at)
        self.rows[row.request_id] = row
        self._push(item)
        self.pump(row.pool, now)

    def retry_at(self, row: RequestRow, at: float) -> None:
        """Queues a request again at a time."""
        row.agent_id = ""
        heapq.heappush(self._delayed, (at, next(self._order), row))

    def finish(self, row: RequestRow) -> None:
        """Forgets a request; an attempt in flight is cancelled."""
        if self.rows.pop(row.request_id, None) is None:
            return
        self._queue.remove(row.request_id)
        self.abandon_attempt(row)

    def abandon_attempt(self, row: RequestRow) -> None:
        """Cancels the attempt in flight; the request itself stays."""
        if row.agent_id:
            self._node.hub.send(row.agent_id, Cancel(row.request_id, row.attempt))
            self._close_attempt(row)

    def forget(self, row: RequestRow) -> None:
        """Forgets a request and lets an attempt in flight go on."""
        if self.rows.pop(row.request_id, None) is not None:
            self._queue.remove(row.request_id)
            self._close_attempt(row)

    def settle(self, row: RequestRow, used: float) -> None:
        """Corrects what a request was charged for, once an attempt has ended.

        Args:
          row: The request.
          used: Tokens that the attempt used, 0 when it did not run.
        """
        item, row.item = row.item, None
        if item is not None:
            self._queue.report_usage(item, used)

    # Systems.

    def tick(self, now: float) -> None:
        """Queues what is due, refuses what has expired, starts what fits."""
        while self._delayed and self._delayed[0][0] <= now:
            row = heapq.heappop(self._delayed)[2]
            if row.request_id in self.rows and not row.agent_id:
                self._push(self._item(row, now))
        for item in self._queue.expire(now):
            passed = item.deadline <= now
            reason = Reason.DEADLINE_PASSED if passed else Reason.DEADLINE_UNREACHABLE
            self._give_up(item.payload, reason, None if passed else now + 1.0)
        for row in list(self.rows.values()):
            if row.deadline > now or not row.agent_id or row.overdue:
                continue
            if row.accepted or now >= row.deadline + VERDICT_S:
                row.may_have_run = True
                row.owner.failed(row, Reason.DEADLINE_PASSED, None)
        for pool in {row.pool for row in self.rows.values()} | self._rates.keys():
            self.pump(pool, now)

    def pump(self, pool: str, now: float) -> None:
        """Starts waiting requests of a pool while upstreams have room."""
        if not self._queue.queued_cost(pool=pool):
            # Ends the time with a backlog, also when its last request expired.
            self._rate(pool).observe(now, 0.0, False)
            return
        served = 0.0
        while self._has_room(pool, now):
            item = self._queue.pop(now, pool)
            if item is None:
                break
            row: RequestRow = item.payload
            row.item = item
            if self._start(row, now):
                served += item.cost
            else:
                self.settle(row, 0.0)
        # While no upstream is live, waiting says nothing about how fast the pool serves. Counted, it
        # would make admission refuse for minutes after the pool is back.
        waits = self._queue.queued_cost(pool=pool) > 0
        backlogged = waits and self._node.upstreams.any_live(pool)
        self._rate(pool).observe(now, served, backlogged)

    def _has_room(self, pool: str, now: float) -> bool:
        """Whether the next request of a pool may be sent.

        Agents' short queues are used only while the most urgent rank waits. Filled with other work,
        they would make an urgent request wait for a slot behind it.
        """
        upstreams = self._node.upstreams
        if upstreams.has_room(pool, now, queueing=False):
            return True
        most_urgent = self._queue.ranks[0][0]
        waits = self._queue.queued_cost(most_urgent, pool) > 0
        return waits and upstreams.has_room(pool, now, queueing=True)

    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._queue) + len(self._delayed)

    # Messages from agents.

    def on_accepted(self, agent_id: str, msg: Accepted) -> None:
        """An attempt was passed to its upstream."""
        row = self._current(agent_id, msg.request_id, msg.attempt)
        if row is not None:
            row.accepted = True

    def on_piece(self, agent_id: str, msg: Piece) -> None:
        """Passes part of an answer to its owner."""
        row = self._current(agent_id, msg.request_id, msg.attempt)
        if row is not None:
            row.may_have_run = True
            row.owner.piece(row, msg)

    def on_end(self, agent_id: str, msg: End) -> None:
        """Passes the end of an answer to its owner."""
        row = self._current(agent_id, msg.request_id, msg.attempt)
        if row is not None:
            row.may_have_run = True
            self._close_attempt(row)
            row.owner.ended(row, msg)
            self.pump(row.pool, self._node.clock.now())

    def on_refused(self, agent_id: str, msg: Refused) -> None:
        """An attempt was not run: the request waits for another upstream."""
        now = self._node.clock.now()
        row = self._current(agent_id, msg.request_id, msg.attempt)
        if row is None:
            return
        reason = Reason(msg.reason)
        self._node.upstreams.refused(agent_id, reason, now)
        self._close_attempt(row, counted=True)
        self.settle(row, 0.0)
        self._node.count(f"retried.{reason}")
        row.refusals += 1
        final = row.overdue or reason in (Reason.QUARANTINED, Reason.DEADLINE_PASSED)
        if final or row.refusals > MAX_REFUSALS:
            self._give_up(row, reason, msg.retry_at or None)
        else:
            self.retry_at(row, now + LOOK_AGAIN_S * min(row.refusals, 10))

    def on_failed(self, agent_id: str, msg: Failed) -> None:
        """An attempt was passed to its upstream and brought no end."""
        row = self._current(agent_id, msg.request_id, msg.attempt)
        if row is not None:
            row.may_have_run = row.may_have_run or msg.ran != Ran.NOT_RUN
            self._close_attempt(row)
            row.owner.failed(row, Reason(msg.reason), msg)

    def on_link_down(self, agent_id: str) -> None:
        """Attempts at an agent that is gone may have run."""
        for row in [row for row in self.rows.values() if row.agent_id == agent_id]:
            row.may_have_run = True
            self._close_attempt(row)
            row.owner.failed(row, Reason.UPSTREAM_LOST, None)

    # Attempts.

    def _start(self, row: RequestRow, now: float) -> bool:
        routed = self._routes[type(row)](row, now) if now >= row.not_before else None
        if routed is None:
            at = max(now + LOOK_AGAIN_S, row.not_before)
            if not row.agent_id and row.request_id in self.rows:
                self.retry_at(row, at)
            return False
        upstream, msg = routed
        row.agent_id = upstream.agent_id
        row.accepted = False
        if row.fingerprint:
            self._node.quarantine.started(row.fingerprint)
        row.sent_at = now
        self._node.upstreams.sent(upstream, now, row.prefixes)
        if not self._node.hub.send(upstream.agent_id, msg):
            # Nothing left this process, so the attempt was surely not run.
            upstream.linked = False
            self._close_attempt(row)
            self.retry_at(row, now)
            return False
        return True

    def _close_attempt(self, row: RequestRow, counted: bool = False) -> None:
        if not row.agent_id:
            return
        if not counted:
            self._node.upstreams.ended(row.agent_id)
        row.agent_id = ""
        if row.fingerprint:
            self._node.quarantine.ended(row.fingerprint)

    def _current(self, agent_id: str, request_id: str, attempt: int) -> RequestRow | None:
        row = self.rows.get(request_id)
        if row is None or row.agent_id != agent_id or row.attempt != attempt:
            self._node.count("messages.stale")
            return None
        return row

    def _give_up(self, row: RequestRow, reason: Reason, retry_at: float | None) -> None:
        row.owner.gave_up(row, reason, retry_at)

    # Queue.

    def _item(self, row: RequestRow, now: float) -> QueuedItem:
        return QueuedItem(
            row.request_id,
            row.rank,
            row.workspace,
            row.cost,
            now,
            row.deadline,
            row,
            row.pool,
            row.estimated_run_s,
        )

    def _push(self, item: QueuedItem) -> None:
        refused = self._queue.push(item)
        if refused is not None:
            now = self._node.clock.now()
            self._give_up(refused.payload, Reason.OVERLOADED, now + 1.0)

    def _rate(self, pool: str) -> RateEstimator:
        return self._rates.setdefault(pool, RateEstimator())
