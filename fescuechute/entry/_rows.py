"""Rows of requests at an entry."""

from __future__ import annotations

from typing import Protocol

import attrs

from fescuechute.admission import QueuedItem
from fescuechute.entry._validate import CallRequest, GenerateRequest
from fescuechute.errors import Ran, Reason
from fescuechute.streams import Assembly, Served
from fescuechute.web import Responder
from fescuechute.wire import End, Failed, Piece


class Owner(Protocol):
    """System that a row belongs to; the dispatcher reports what became of an attempt."""

    def piece(self, row: RequestRow, msg: Piece) -> None:
        """Part of an answer arrived."""

    def ended(self, row: RequestRow, msg: End) -> None:
        """The explicit end arrived."""

    def failed(self, row: RequestRow, reason: Reason, msg: Failed | None) -> None:
        """The attempt may have run and brought no end; `msg` is None when the link was lost."""

    def gave_up(self, row: RequestRow, reason: Reason, retry_at: float | None) -> None:
        """No upstream took the request, and none will."""


@attrs.define(eq=False)
class RequestRow:
    """What every request has."""

    request_id: str
    owner: Owner
    responder: Responder
    workspace: str
    rank: str
    #: Unix seconds.
    deadline: float
    #: Pool of upstreams that can run it.
    pool: str
    #: Cost in tokens.
    cost: float
    #: Number of the current attempt, 0 before the first.
    attempt: int = 0
    #: Agent of the current attempt; empty while the request waits.
    agent_id: str = ""
    #: Whether the agent passed the current attempt to its upstream.
    accepted: bool = False
    #: Whether an upstream may have begun to run it.
    may_have_run: bool = False
    #: The deadline has passed, but the attempt in flight is awaited because it may have run.
    overdue: bool = False
    #: Attempts that were refused as not run.
    refusals: int = 0
    #: Unix seconds before which no attempt starts.
    not_before: float = 0.0
    #: Content fingerprint; empty for calls.
    fingerprint: str = ""
    prefixes: tuple[int, ...] = ()
    #: Estimated seconds from leaving the queue to the end of the answer, 0 when not known.
    estimated_run_s: float = 0.0
    #: The item under which the request last left the queue, until its cost is settled.
    item: QueuedItem | None = None
    #: Unix seconds at which the current attempt was sent.
    sent_at: float = 0.0

    @property
    def ran(self) -> Ran:
        """What may be said of the request when it is refused now."""
        return Ran.PARTIAL if self.may_have_run else Ran.NOT_RUN


@attrs.define(eq=False, kw_only=True)
class ModelRow(RequestRow):
    """A model request."""

    req: GenerateRequest
    assembly: Assembly
    #: What produced the tokens that arrived so far.
    served: Served | None = None
    #: Attempts that may have run.
    tries: int = 0
    #: Unix seconds at which the last attempt failed.
    lost_at: float = 0.0
    #: Whether the current attempt runs alone on its upstream.
    solo: bool = False


@attrs.define(eq=False, kw_only=True)
class CallRow(RequestRow):
    """A service call."""

    req: CallRequest
    #: Empty without a claim.
    claim_id: str = ""
    partition: int = -1
    tries: int = 0
