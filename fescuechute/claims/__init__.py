"""At-most-once execution of calls: idempotency keys, claims in a log, and send decisions.

Before an entry sends a call, it appends a claim to the partition of the log that belongs to the
call's scope (workspace, service and idempotency key). Only the call whose claim is the first in log
order is sent.

The package does no I/O and reads no clock. A daemon reports events to a `ClaimTable` and executes
the commands that `ClaimTable.run` returns:

>>> table = ClaimTable(ClaimSettings(partitions=1), holder="entry-1/boot-1")
>>> scope = Scope("acme", "bookings", Key.parse("1000000-booking_1"))
>>> table.submit("call-1", scope, "digest", "book", now=1000.0, deadline=1010.0)
>>> [type(command).__name__ for command in table.run(1000.0)]
['ReadPartition']
>>> [type(command).__name__ for command in table.run(1000.1)]
['AppendBatch']
"""

from fescuechute.claims._calls import CallState
from fescuechute.claims._commands import (
    Answer,
    AppendBatch,
    Command,
    ReadPartition,
    Refuse,
    Send,
)
from fescuechute.claims._keys import Key, Scope, check_age, partition_of
from fescuechute.claims._records import (
    ClaimRecord,
    EraRecord,
    LogRecord,
    OutcomeRecord,
    ReleaseRecord,
    holder_of,
    parse_record,
)
from fescuechute.claims._settings import ClaimSettings
from fescuechute.claims._table import ClaimTable
from fescuechute.claims._view import ClaimsView, ScopeState, ScopeStatus

__all__ = [
    "Answer",
    "AppendBatch",
    "CallState",
    "ClaimRecord",
    "ClaimSettings",
    "ClaimTable",
    "ClaimsView",
    "Command",
    "EraRecord",
    "Key",
    "LogRecord",
    "OutcomeRecord",
    "ReadPartition",
    "Refuse",
    "ReleaseRecord",
    "Scope",
    "ScopeState",
    "ScopeStatus",
    "Send",
    "check_age",
    "holder_of",
    "parse_record",
    "partition_of",
]
