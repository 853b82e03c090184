"""Commands that a `ClaimTable` returns to its daemon."""

from __future__ import annotations

from typing import Any

import attrs

from fescuechute.errors import ExecutionStatus, Reason


@attrs.frozen
class Command:
    """Base of all commands."""


@attrs.frozen
class AppendBatch(Command):
    """Append these records in one request; report `append_done` or `append_failed`."""

    partition: int
    batch_id: str
    #: Objects of the form `{"id": str, "data": object}`, as the log service expects them.
    records: tuple[dict[str, Any], ...]


@attrs.frozen
class ReadPartition(Command):
    """Read records, starting at an offset; report `read_done` or `read_failed`."""

    partition: int
    from_offset: int
    #: Maximum number of records to request.
    limit: int
    #: Era of the log to which the offset belongs.
    era: int = 0


@attrs.frozen
class Send(Command):
    """Send the call to an agent.

    The daemon reports `sent` and then one of `finished`, `not_run` and `outcome_unknown`.

    Returned at most once per call. The daemon may try several agents in turn, as long as each of
    them refused with the guarantee that it did not run the call. It must stop at the first agent
    that may have run the call.
    """

    call_id: str
    claim_id: str


@attrs.frozen
class Answer(Command):
    """Return the result of its call to the caller."""

    call_id: str
    #: HTTP status of the service's answer.
    status: int
    #: JSON text of the service's answer.
    body: str


@attrs.frozen
class Refuse(Command):
    """Refuse the call. `ran` refers to this attempt of the caller, not to earlier ones."""

    call_id: str
    reason: Reason
    ran: ExecutionStatus
    #: Unix seconds after which a retry may succeed, or None.
    retry_at: float | None = None
