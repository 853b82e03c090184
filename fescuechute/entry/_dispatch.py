"""Dispatch of queued requests to agents.

Only this module sends attempts, so that no request is retried by two layers.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

from fescuechute.admission import AdmissionPolicy, FairQueue, QueuedItem, RateEstimator
from fescuechute.entry._rows import RequestRow
from fescuechute.errors import ExecutionStatus, Reason, RefusedError
from fescuechute.routing import UpstreamRow
from fescuechute.wire import Accepted, Cancel, End, Failed, Message, Piece, Refused

if TYPE_CHECKING:
    from fescuechute.entry._daemon import EntryDaemon

#: Seconds after which a caller may retry a refused request, unless the refusal states another time.
RETRY_AFTER_S = 1.0
#: Seconds until a request for which no upstream was eligible is routed again. After refusals the delay
#: is multiplied by their number, up to MAX_REROUTE_DELAY_FACTOR.
REROUTE_DELAY_S = 0.05
MAX_REROUTE_DELAY_FACTOR = 10
#: Refusals without execution after which a request is given up. The limit keeps a request from being
#: sent from one full agent to the next until its deadline.
MAX_REFUSALS = 50
#: Seconds after the deadline of a request for which a refusal by its agent is awaited. It covers the
#: tick in which the agent expires queued requests, and the transfer of the message. Without a
#: refusal the request may have run.
LATE_REFUSAL_WAIT_S = 0.25

#: Chooses the upstream of an attempt and builds its message; returns None if none is eligible now.
RouteFunction = Callable[[RequestRow, float], tuple[UpstreamRow, Message] | None]


class Dispatcher:
    """Queues requests, sends their attempts to agents and handles the replies."""

    def __init__(self, node: EntryDaemon):
        cfg = node.cfg
        self._node = node
        ranks = [(rank.name, rank.protected_share) for rank in cfg.ranks]
        weights = {workspace.name: workspace.weight for workspace in cfg.workspaces}
        self._queue = FairQueue(ranks, weights)
        self._admission = AdmissionPolicy()
        self._rate_estimators: dict[str, RateEstimator] = {}
        self._tie_breakers = itertools.count()
        #: Heap of requests that are queued again later: (unix seconds, tie breaker, row).
        self._delayed: list[tuple[float, int, RequestRow]] = []
        self._routes: dict[type[RequestRow], RouteFunction] = {}
        #: All unfinished requests by request id.
        self.rows: dict[str, RequestRow] = {}

    def register_route(self, kind: type[RequestRow], route: RouteFunction) -> None:
        """Sets the function that routes requests of one class."""
        self._routes[kind] = route

    # Start and end of requests.

    def submit(self, row: RequestRow, now: float) -> None:
        """Queues a new request.

        Raises:
          RefusedError: If the request cannot be served before its deadline or the queue is full.
        """
        item = self._make_item(row, now)
        refuse = self._admission.admit(
            item, self._queue, now, self._rate_estimator(row.pool).rate(now)
        )
        if refuse is not None:
            found = f"{len(self._queue)} requests wait already."
            raise RefusedError(refuse.reason, found, retry_at=refuse.retry_at)
        self.rows[row.request_id] = row
        self._enqueue(item)
        self.dispatch_pool(row.pool, now)

    def requeue_at(self, row: RequestRow, at: float) -> None:
        """Queues a request again at the given unix seconds."""
        row.agent_id = ""
        heapq.heappush(self._delayed, (at, next(self._tie_breakers), row))

    def finish(self, row: RequestRow) -> None:
        """Removes a request and cancels its attempt in flight."""
        if self.rows.pop(row.request_id, None) is None:
            return
        self._queue.remove(row.request_id)
        self.cancel_attempt(row)

    def cancel_attempt(self, row: RequestRow) -> None:
        """Cancels the attempt in flight without removing the request."""
        if row.agent_id:
            self._node.hub.send(row.agent_id, Cancel(row.request_id, row.attempt))
            self._end_attempt(row)

    def finish_without_cancel(self, row: RequestRow) -> None:
        """Removes a request without cancelling its attempt in flight."""
        if self.rows.pop(row.request_id, None) is not None:
            self._queue.remove(row.request_id)
            self._end_attempt(row)

    def report_usage(self, row: RequestRow, used: float) -> None:
        """Corrects the charge of a request to the actual usage of an attempt that has ended.

        Args:
          row: The request.
          used: Tokens that the attempt used, 0 if it did not run.
        """
        item, row.charged_item = row.charged_item, None
        if item is not None:
            self._queue.report_usage(item, used)

    # Queueing and dispatch.

    def tick(self, now: float) -> None:
        """Queues delayed requests that are due, refuses expired ones and starts attempts."""
        while self._delayed and self._delayed[0][0] <= now:
            row = heapq.heappop(self._delayed)[2]
            if row.request_id in self.rows and not row.agent_id:
                self._enqueue(self._make_item(row, now))
        for item in self._queue.expire(now):
            passed = item.deadline <= now
            reason = Reason.DEADLINE_PASSED if passed else Reason.DEADLINE_UNREACHABLE
            self._give_up(item.payload, reason, None if passed else now + RETRY_AFTER_S)
        for row in list(self.rows.values()):
            if row.deadline > now or not row.agent_id or row.overdue:
                continue
            if row.accepted or now >= row.deadline + LATE_REFUSAL_WAIT_S:
                row.may_have_run = True
                row.handler.handle_failure(row, Reason.DEADLINE_PASSED, None)
        for pool in {row.pool for row in self.rows.values()} | self._rate_estimators.keys():
            self.dispatch_pool(pool, now)

    def dispatch_pool(self, pool: str, now: float) -> None:
        """Starts queued requests of a pool while its upstreams have capacity."""
        if not self._queue.queued_cost(pool=pool):
            # Ends the backlog for the estimator, also if its last request expired.
            self._rate_estimator(pool).observe(now, 0.0, False)
            return
        served = 0.0
        while self._has_capacity(pool, now):
            item = self._queue.pop(now, pool)
            if item is None:
                break
            row: RequestRow = item.payload
            row.charged_item = item
            if self._start_attempt(row, now):
                served += item.cost
            else:
                self.report_usage(row, 0.0)
        # Without a live upstream, a backlog says nothing about the service rate. If it were counted,
        # admission would refuse requests for minutes after the pool has recovered.
        has_queued = self._queue.queued_cost(pool=pool) > 0
        backlogged = has_queued and self._node.upstreams.any_live(pool)
        self._rate_estimator(pool).observe(now, served, backlogged)

    def _has_capacity(self, pool: str, now: float) -> bool:
        """Returns whether the next request of a pool may be sent.

        The short queues of the agents are used only while requests of the most urgent rank are
        queued here. If other requests filled them, an urgent one would wait behind these for a slot.
        """
        upstreams = self._node.upstreams
        if upstreams.has_capacity(pool, now, include_queue=False):
            return True
        most_urgent = self._queue.ranks[0][0]
        has_urgent = self._queue.queued_cost(most_urgent, pool) > 0
        return has_urgent and upstreams.has_capacity(pool, now, include_queue=True)

    def queued(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._queue) + len(self._delayed)

    # Messages from agents.

    def on_accepted(self, agent_id: str, msg: Accepted) -> None:
        """Records that the agent passed an attempt to its upstream."""
        row = self._current_row(agent_id, msg.request_id, msg.attempt)
        if row is not None:
            row.accepted = True

    def on_piece(self, agent_id: str, msg: Piece) -> None:
        """Passes part of an answer to the handler of its request."""
        row = self._current_row(agent_id, msg.request_id, msg.attempt)
        if row is not None:
            row.may_have_run = True
            row.handler.handle_piece(row, msg)

    def on_end(self, agent_id: str, msg: End) -> None:
        """Passes the end of an answer to the handler of its request."""
        row = self._current_row(agent_id, msg.request_id, msg.attempt)
        if row is not None:
            row.may_have_run = True
            self._end_attempt(row)
            row.handler.handle_end(row, msg)
            self.dispatch_pool(row.pool, self._node.clock.now())

    def on_refused(self, agent_id: str, msg: Refused) -> None:
        """Handles an attempt that was not run: queues the request again or gives it up."""
        now = self._node.clock.now()
        row = self._current_row(agent_id, msg.request_id, msg.attempt)
        if row is None:
            return
        reason = Reason(msg.reason)
        self._node.upstreams.record_refusal(agent_id, reason, now)
        self._end_attempt(row, upstream_updated=True)
        self.report_usage(row, 0.0)
        self._node.count(f"retried.{reason}")
        row.refusals += 1
        final = row.overdue or reason in (Reason.QUARANTINED, Reason.DEADLINE_PASSED)
        if final or row.refusals > MAX_REFUSALS:
            self._give_up(row, reason, msg.retry_at or None)
        else:
            self.requeue_at(
                row, now + REROUTE_DELAY_S * min(row.refusals, MAX_REROUTE_DELAY_FACTOR)
            )

    def on_failed(self, agent_id: str, msg: Failed) -> None:
        """Handles an attempt that was passed to its upstream and failed."""
        row = self._current_row(agent_id, msg.request_id, msg.attempt)
        if row is not None:
            row.may_have_run = row.may_have_run or msg.ran != ExecutionStatus.NOT_RUN
            self._end_attempt(row)
            row.handler.handle_failure(row, Reason(msg.reason), msg)

    def on_link_down(self, agent_id: str) -> None:
        """Fails the attempts at a disconnected agent; they may have run."""
        for row in [row for row in self.rows.values() if row.agent_id == agent_id]:
            row.may_have_run = True
            self._end_attempt(row)
            row.handler.handle_failure(row, Reason.UPSTREAM_LOST, None)

    # Attempts.

    def _start_attempt(self, row: RequestRow, now: float) -> bool:
        routed = self._routes[type(row)](row, now) if now >= row.not_before else None
        if routed is None:
            at = max(now + REROUTE_DELAY_S, row.not_before)
            if not row.agent_id and row.request_id in self.rows:
                self.requeue_at(row, at)
            return False
        upstream, msg = routed
        row.agent_id = upstream.agent_id
        row.accepted = False
        if row.fingerprint:
            self._node.quarantine.record_start(row.fingerprint)
        row.sent_at = now
        self._node.upstreams.record_sent(upstream, now, row.prefixes)
        if not self._node.hub.send(upstream.agent_id, msg):
            # The message was not sent, so the attempt certainly did not run.
            upstream.linked = False
            self._end_attempt(row)
            self.requeue_at(row, now)
            return False
        return True

    def _end_attempt(self, row: RequestRow, upstream_updated: bool = False) -> None:
        if not row.agent_id:
            return
        if not upstream_updated:
            self._node.upstreams.record_end(row.agent_id)
        row.agent_id = ""
        if row.fingerprint:
            self._node.quarantine.record_end(row.fingerprint)

    def _current_row(self, agent_id: str, request_id: str, attempt: int) -> RequestRow | None:
        row = self.rows.get(request_id)
        if row is None or row.agent_id != agent_id or row.attempt != attempt:
            self._node.count("messages.stale")
            return None
        return row

    def _give_up(self, row: RequestRow, reason: Reason, retry_at: float | None) -> None:
        row.handler.handle_give_up(row, reason, retry_at)

    # Helpers of the queue.

    def _make_item(self, row: RequestRow, now: float) -> QueuedItem:
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

    def _enqueue(self, item: QueuedItem) -> None:
        refused = self._queue.push(item)
        if refused is not None:
            now = self._node.clock.now()
            self._give_up(refused.payload, Reason.OVERLOADED, now + RETRY_AFTER_S)

    def _rate_estimator(self, pool: str) -> RateEstimator:
        return self._rate_estimators.setdefault(pool, RateEstimator())
