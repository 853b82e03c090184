"""State of one call in a `ClaimTable`."""

from __future__ import annotations

import enum

import attrs

from fescuechute.claims._keys import Scope
from fescuechute.claims._partition import PartitionLog


class CallState(enum.Enum):
    """Progress of a call."""

    #: No claim was made.
    NEW = "new"
    #: A claim is queued, in flight or in the log.
    CLAIMED = "claimed"
    #: `Send` was returned. From here on the call may have run.
    SENDING = "sending"
    #: The daemon passed the call to an agent.
    SENT = "sent"
    #: The link to the agent was lost, so the agent can no longer answer over it.
    LOST = "lost"


#: States in which the call may have run.
MAY_HAVE_RUN = (CallState.SENDING, CallState.SENT, CallState.LOST)


@attrs.define(eq=False)
class Call:
    """One call."""

    call_id: str
    scope: Scope
    #: Partition of the scope.
    partition_log: PartitionLog
    digest: str
    operation: str
    #: Unix seconds.
    deadline: float
    state: CallState = CallState.NEW
    #: Empty without a claim.
    claim_id: str = ""
    #: Offset of the claim in the log, None while unknown.
    claim_offset: int | None = None
    #: Whether, by the latest view of the log, the scope was held by another claim whose call may
    #: have run.
    held_by_other: bool = False
    #: The caller was answered or disconnected; the call is kept only until its outcome is known.
    caller_done: bool = False
