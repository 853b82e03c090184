"""Handling of service calls. A non-repeatable call is sent only under a claim."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from blake3 import blake3

from fescuechute.checks import is_final_status
from fescuechute.entry._dispatch import RETRY_AFTER_S
from fescuechute.entry._rows import CallRow, RequestRow
from fescuechute.entry._validate import CallRequest
from fescuechute.errors import ExecutionStatus, Reason, RefusedError
from fescuechute.routing import UpstreamRow, next_attempt_at
from fescuechute.web import Responder
from fescuechute.wire import Call, End, Failed, Message, Piece

if TYPE_CHECKING:
    from fescuechute.entry._daemon import EntryDaemon


class CallHandler:
    """Handles service calls: submits them, builds their attempts and answers the callers."""

    def __init__(self, node: EntryDaemon):
        self._node = node
        node.dispatcher.register_route(CallRow, self._route)

    def submit(self, request_id: str, req: CallRequest, responder: Responder) -> None:
        """Accepts a call.

        Raises:
          RefusedError: If the call cannot be served.
        """
        row = CallRow(
            request_id,
            self,
            responder,
            req.workspace,
            req.rank,
            req.deadline,
            req.service,
            1.0,
            req=req,
        )
        if req.non_repeatable:
            self._node.claims.submit(row)
            return
        responder.on_disconnect = lambda: self._node.dispatcher.finish(row)
        self._node.retry_budget.record_first_attempt()
        self._node.dispatcher.submit(row, self._node.clock.now())

    def handle_piece(self, row: RequestRow, msg: Piece) -> None:
        """Counts an unexpected message, because services do not stream."""
        self._node.count("messages.unexpected")

    def handle_end(self, row: RequestRow, msg: End) -> None:
        """Verifies the result of the service and passes it to the caller or the claim table."""
        assert isinstance(row, CallRow)
        status = _parse_status(msg.body)
        if status is None or blake3(msg.body.encode()).hexdigest() != msg.digest:
            self.handle_failure(row, Reason.INCOMPLETE_ANSWER, None)
            return
        self._node.dispatcher.finish(row)
        if row.claim_id:
            self._node.claims.finished(row.request_id, status, msg.body)
        else:
            self.send_answer(row, status, msg.body)

    def send_answer(self, row: CallRow, status: int, body: str) -> None:
        """Sends the answer of a service to the caller."""
        content: dict[str, Any] = json.loads(body)
        content.pop("status", None)
        self._node.count(f"answered.{row.rank}")
        row.responder.send_json(status, {"request_id": row.request_id, **content})

    def handle_failure(self, row: RequestRow, reason: Reason, msg: Failed | None) -> None:
        """Retries or refuses a repeatable call; reports a call under a claim to the claim table."""
        assert isinstance(row, CallRow)
        now = self._node.clock.now()
        row.failed_attempts += 1
        if row.claim_id:
            self._handle_claimed_failure(row, reason, msg)
            return
        retry = reason is not Reason.DEADLINE_PASSED and row.responder.is_open
        if retry and row.failed_attempts < self._node.cfg.retry.max_attempts:
            if self._node.retry_budget.try_spend(now):
                self._node.count(f"retried.{reason}")
                row.not_before = next_attempt_at(row.failed_attempts, now, self._node.rng)
                self._node.dispatcher.requeue_at(row, row.not_before)
                return
            self._node.count(f"refused.{Reason.RETRY_BUDGET}")
        found = msg.message if msg is not None else f"The call did not complete ({reason})."
        self._refuse(
            row,
            RefusedError(reason, found, ran=ExecutionStatus.UNKNOWN, retry_at=now + RETRY_AFTER_S),
        )

    def handle_give_up(self, row: RequestRow, reason: Reason, retry_at: float | None) -> None:
        """Refuses a call that no upstream accepted."""
        assert isinstance(row, CallRow)
        if row.claim_id:
            self._node.dispatcher.finish(row)
            self._node.claims.not_run(row.request_id, reason, retry_at)
            return
        ran = ExecutionStatus.UNKNOWN if row.may_have_run else ExecutionStatus.NOT_RUN
        found = f"No upstream took the call in time ({reason})."
        self._refuse(row, RefusedError(reason, found, ran=ran, retry_at=retry_at))

    def _route(self, row: RequestRow, now: float) -> tuple[UpstreamRow, Message] | None:
        assert isinstance(row, CallRow)
        upstream = self._node.upstreams.choose(row.pool, now)
        if upstream is None:
            return None
        row.attempt += 1
        req = row.req
        msg = Call(
            row.request_id,
            row.attempt,
            req.service,
            req.operation,
            req.arguments,
            req.workspace,
            req.rank,
            req.deadline,
            req.key,
            row.claim_id,
            row.partition,
        )
        return upstream, msg

    def _handle_claimed_failure(self, row: CallRow, reason: Reason, msg: Failed | None) -> None:
        if msg is None and reason is Reason.DEADLINE_PASSED:
            # The claim table answers the caller. A later message of the agent is still recorded,
            # because only the agent knows the outcome, or that the call was not run.
            row.overdue = True
            return
        self._node.dispatcher.finish_without_cancel(row)
        self._node.claims.handle_unknown_outcome(row.request_id, may_be_recorded=msg is None)

    def _refuse(self, row: CallRow, exc: RefusedError) -> None:
        self._node.dispatcher.finish(row)
        self._node.refuse(row.responder, exc, row.request_id)


def _parse_status(body: str) -> int | None:
    """Returns the HTTP status in the JSON text of an answer, or None if it has no valid one."""
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError):
        return None
    status = answer.get("status") if isinstance(answer, dict) else None
    return status if is_final_status(status) else None
