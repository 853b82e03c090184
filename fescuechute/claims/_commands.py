"""Commands that a `ClaimTable` returns to its daemon."""

from __future__ import annotations

from typing import Any

import attrs

from fescuechute.errors import Ran, Reason


@attrs.frozen
class Command:
    """Base of all commands."""


@attrs.frozen
class AppendBatch(Command):
    """Append these records in one body; answer with `append_done` or `append_failed`."""

    partition: int
    batch_id: str
    #: Objects of the form `{"id": str, "data": object}`, as the log service takes them.
    records: tuple[dict[str, Any], ...]


@attrs.frozen
class ReadPartition(Command):
    """Read records from an offset on; answer with `records` or `read_failed`."""

    partition: int
    from_offset: int
    #: Largest number of records to ask for.
    limit: int


@attrs.frozen
class Send(Command):
    """Send the call to an agent; answer with `sent` and one of `finished`, `not_run`, `lost`.

    It is given once for a call. The daemon may try several agents, one after the other, as long as
    each of them truthfully refused; it must stop at the first agent that may have run the call.
    """

    call_id: str
    claim_id: str


@attrs.frozen
class Answer(Command):
    """Give the caller the result of its call."""

    call_id: str
    #: HTTP status of the service's answer.
    status: int
    #: JSON text of the service's answer.
    body: str


@attrs.frozen
class Refuse(Command):
    """Refuse the call. `ran` speaks of this attempt of the caller, not of earlier ones."""

    call_id: str
    reason: Reason
    ran: Ran
    #: Unix seconds after which a retry may succeed, or None.
    retry_at: float | None = None
