"""Rows of a claim table."""

from __future__ import annotations

import enum

import attrs

from fescuechute.claims._keys import Scope
from fescuechute.claims._partition import PartitionRow


class CallState(enum.Enum):
    """How far a call has come."""

    #: No claim was made.
    NEW = "new"
    #: A claim is queued, in flight or in the log.
    CLAIMED = "claimed"
    #: `Send` was returned. From here on the call may have run.
    SENDING = "sending"
    #: The daemon passed the call to an agent.
    SENT = "sent"
    #: The agent's answer can no longer come over its link.
    LOST = "lost"


#: States in which the call may have run.
MAY_HAVE_RUN = (CallState.SENDING, CallState.SENT, CallState.LOST)


@attrs.define(eq=False)
class CallRow:
    """One call."""

    call_id: str
    scope: Scope
    #: Partition of the scope.
    part: PartitionRow
    digest: str
    operation: str
    #: Unix seconds.
    deadline: float
    state: CallState = CallState.NEW
    #: Empty without a claim.
    claim_id: str = ""
    #: Offset of the claim once it is known.
    offset: int | None = None
    #: Another claim, whose call may have run, held the scope when the log last told.
    blocked: bool = False
    #: The caller was answered or went away; only the outcome is still awaited.
    closed: bool = False
