"""State of the requests at an entry."""

from __future__ import annotations

from typing import Protocol

import attrs

from fescuechute.admission import QueuedItem
from fescuechute.entry._validate import CallRequest, GenerateRequest
from fescuechute.errors import ExecutionStatus, Reason
from fescuechute.streams import Assembly, ModelIdentity
from fescuechute.web import Responder
from fescuechute.wire import End, Failed, Piece


class RequestHandler(Protocol):
    """Handler of one kind of request; the dispatcher calls it with the outcome of attempts."""

    def handle_piece(self, row: RequestRow, msg: Piece) -> None:
        """Handles part of an answer."""

    def handle_end(self, row: RequestRow, msg: End) -> None:
        """Handles the explicit end of an answer."""

    def handle_failure(self, row: RequestRow, reason: Reason, msg: Failed | None) -> None:
        """Handles an attempt that failed and may have run.

        Args:
          row: The request.
          reason: Reason of the failure.
          msg: Message of the agent; None if it sent none, for example because the link was lost.
        """

    def handle_give_up(self, row: RequestRow, reason: Reason, retry_at: float | None) -> None:
        """Handles a request that is given up because no upstream accepted it."""


@attrs.define(eq=False)
class RequestRow:
    """State common to all kinds of requests."""

    request_id: str
    handler: RequestHandler
    responder: Responder
    workspace: str
    rank: str
    #: Unix seconds.
    deadline: float
    #: Pool of upstreams that can run the request.
    pool: str
    #: Cost in tokens.
    cost: float
    #: Number of the current attempt, 0 before the first.
    attempt: int = 0
    #: Agent of the current attempt; empty while none is in flight.
    agent_id: str = ""
    #: Whether the agent passed the current attempt to its upstream.
    accepted: bool = False
    #: Whether an upstream may have started the request.
    may_have_run: bool = False
    #: Whether the deadline has passed and the outcome of the attempt in flight is still awaited.
    overdue: bool = False
    #: Number of attempts that were refused without execution.
    refusals: int = 0
    #: Unix seconds before which no attempt starts.
    not_before: float = 0.0
    #: Content fingerprint; empty for calls.
    fingerprint: str = ""
    #: Fingerprints of the prefixes of the prompt; empty for calls.
    prefixes: tuple[int, ...] = ()
    #: Estimated seconds from leaving the queue to the end of the answer, 0 if unknown.
    estimated_run_s: float = 0.0
    #: Queue item of the current attempt, until its charge is corrected to the actual usage.
    charged_item: QueuedItem | None = None
    #: Unix seconds at which the current attempt was sent.
    sent_at: float = 0.0

    @property
    def ran(self) -> ExecutionStatus:
        """Whether the request was executed, as reported to the caller if it is refused now."""
        return ExecutionStatus.PARTIAL if self.may_have_run else ExecutionStatus.NOT_RUN


@attrs.define(eq=False, kw_only=True)
class ModelRow(RequestRow):
    """State of a model request."""

    req: GenerateRequest
    assembly: Assembly
    #: Versions that the current or last attempt was sent to.
    served: ModelIdentity | None = None
    #: Number of failed attempts that may have run.
    failed_attempts: int = 0
    #: Unix seconds at which the last attempt failed.
    failed_at: float = 0.0
    #: Whether the current attempt runs alone on its upstream.
    solo: bool = False


@attrs.define(eq=False, kw_only=True)
class CallRow(RequestRow):
    """State of a service call."""

    req: CallRequest
    #: Id of the claim that permits this call; empty without a claim.
    claim_id: str = ""
    #: Partition of the log stream that holds the claim, -1 without a claim.
    partition: int = -1
    #: Number of failed attempts that may have run.
    failed_attempts: int = 0
