"""Non-repeatable calls: execution of the log appends, reads, sends and answers of the claim table."""

from __future__ import annotations

import json
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from blake3 import blake3

from fescuechute.claims import (
    Answer,
    AppendBatch,
    ClaimSettings,
    ClaimTable,
    Command,
    Key,
    ReadPartition,
    Refuse,
    Scope,
    ScopeState,
    Send,
    partition_of,
)
from fescuechute.entry._rows import CallRow
from fescuechute.errors import ExecutionStatus, Reason, RefusedError
from fescuechute.net import HttpResult
from fescuechute.node import socket_address

if TYPE_CHECKING:
    from fescuechute.entry._daemon import EntryDaemon

#: Seconds without data from the log service after which an append or read fails.
_LOG_SILENCE_S = 1.5
#: Minimum seconds until a scheduled run of the table.
_MIN_RUN_DELAY_S = 0.002


class ClaimCoordinator:
    """Runs non-repeatable calls: reports events to the claim table and executes its commands."""

    def __init__(self, node: EntryDaemon):
        cfg = node.cfg.claims
        self._node = node
        self._log_server = socket_address(node.cfg.platform.log)
        settings = ClaimSettings(
            partitions=cfg.partitions,
            window_s=cfg.window_s,
            skew_s=cfg.skew_s,
            gather_s=cfg.gather_ms / 1000,
        )
        self._gather_s = settings.gather_s
        self._partitions = cfg.partitions
        self._table = ClaimTable(settings, f"{node.cfg.process.id}/{node.boot_id}")
        #: Calls whose callers have not been answered, by request id.
        self._rows: dict[str, CallRow] = {}
        self._next_run_at = 0.0
        #: Era of the log that was last reported.
        self._known_era = 0

    @property
    def pending_count(self) -> int:
        """Number of calls and records that a planned stop must wait for."""
        return len(self._rows) + self._table.pending_records

    def submit(self, row: CallRow) -> None:
        """Accepts a call.

        Raises:
          RefusedError: If its key is malformed.
        """
        now = self._node.clock.now()
        scope = Scope(row.workspace, row.req.service, Key.parse(row.req.key))
        row.partition = partition_of(scope, self._partitions)
        self._rows[row.request_id] = row
        row.responder.on_disconnect = lambda: self._on_caller_disconnect(row)
        digest = content_digest(row.req.operation, row.req.arguments)
        self._table.submit(row.request_id, scope, digest, row.req.operation, now, row.deadline)
        self.run(now)

    def finished(self, request_id: str, status: int, body: str) -> None:
        """Passes the result of a call to the table."""
        self._table.finished(request_id, status, body)
        self.run(self._node.clock.now())

    def not_run(self, request_id: str, reason: Reason, retry_at: float | None) -> None:
        """Reports to the table that no agent ran the call."""
        self._table.not_run(request_id, reason, retry_at)
        self.run(self._node.clock.now())

    def handle_unknown_outcome(self, request_id: str, may_be_recorded: bool) -> None:
        """Handles a call that may have run and whose outcome did not arrive over the link.

        Args:
          request_id: Request id of the call.
          may_be_recorded: Whether the agent may still record the outcome. If not, because the agent
            does not know it either, waiting is useless and the caller is refused at once.
        """
        self._table.outcome_unknown(request_id)
        row = self._rows.pop(request_id, None) if not may_be_recorded else None
        if row is not None:
            self._table.caller_disconnected(request_id)
            found = _REFUSAL_MESSAGES[Reason.OUTCOME_UNKNOWN]
            exc = RefusedError(Reason.OUTCOME_UNKNOWN, found, ran=ExecutionStatus.UNKNOWN)
            self._node.refuse(row.responder, exc, request_id)
        self.run(self._node.clock.now())

    def lookup(self, workspace: str, service: str, key_text: str) -> dict[str, Any]:
        """Returns the state of an idempotency key, as JSON for the caller.

        Raises:
          RefusedError: If the key is malformed.
        """
        scope = Scope(workspace, service, Key.parse(key_text))
        scope_status = self._table.status_of(scope)
        if scope_status.state is ScopeState.FREE:
            return {"state": "unused"}
        if scope_status.state is ScopeState.DONE:
            return {
                "state": "done",
                "status": scope_status.status,
                "answer": json.loads(scope_status.body),
            }
        return {"state": "unknown"}

    def run(self, now: float) -> None:
        """Runs the table and executes its commands."""
        for command in self._table.run(now):
            self._execute(command)
        if now >= self._next_run_at and self._table.pending_records:
            # Records are batched for less than a tick, so the append must not wait for the next tick.
            self._next_run_at = now + max(self._gather_s, _MIN_RUN_DELAY_S)
            self._node.loop.call_at(self._next_run_at, lambda: self.run(self._node.clock.now()))

    @singledispatchmethod
    def _execute(self, command: Command) -> None:
        raise TypeError(f"Unknown command {command!r}")

    @_execute.register
    def _(self, command: AppendBatch) -> None:
        body = json.dumps({"records": list(command.records)}).encode()
        self._node.count("log.appends")
        self._node.http.call(
            "POST",
            self._log_server,
            f"/streams/claims-{command.partition}/records",
            lambda result: self._on_appended(command, result),
            body=body,
            idle_timeout_s=_LOG_SILENCE_S,
        )

    @_execute.register
    def _(self, command: ReadPartition) -> None:
        path = f"/streams/claims-{command.partition}/records"
        query = f"?from={command.from_offset}&limit={command.limit}"
        self._node.count("log.reads")
        self._node.http.call(
            "GET",
            self._log_server,
            path + query,
            lambda result: self._on_read(command, result),
            idle_timeout_s=_LOG_SILENCE_S,
        )

    @_execute.register
    def _(self, command: Send) -> None:
        row = self._rows.get(command.call_id)
        now = self._node.clock.now()
        if row is None:
            self._table.not_run(command.call_id, Reason.CANCELLED)
            return
        row.claim_id = command.claim_id
        self._table.sent(command.call_id)
        try:
            self._node.dispatcher.submit(row, now)
        except RefusedError as exc:
            self._table.not_run(command.call_id, exc.reason, exc.retry_at)
            self._node.loop.call_at(now, lambda: self.run(now))

    @_execute.register
    def _(self, command: Answer) -> None:
        row = self._rows.pop(command.call_id, None)
        if row is not None:
            self._node.calls.send_answer(row, command.status, command.body)

    @_execute.register
    def _(self, command: Refuse) -> None:
        row = self._rows.pop(command.call_id, None)
        if row is None:
            return
        reason, ran = command.reason, command.ran
        still_queued = row.request_id in self._node.dispatcher.rows and not row.agent_id
        if ran is ExecutionStatus.UNKNOWN and still_queued:
            # The table was told `sent` when the call was queued, but the call never left the queue.
            self._node.dispatcher.finish(row)
            self._table.not_run(row.request_id, Reason.DEADLINE_PASSED)
            reason, ran = Reason.DEADLINE_PASSED, ExecutionStatus.NOT_RUN
        exc = RefusedError(
            reason,
            _REFUSAL_MESSAGES.get(reason, f"The call was refused ({reason})."),
            ran=ran,
            retry_at=command.retry_at,
        )
        self._node.refuse(row.responder, exc, row.request_id)

    def _on_appended(self, command: AppendBatch, result: HttpResult) -> None:
        now = self._node.clock.now()
        body = result.json() if result.ok else None
        era = log_era(result)
        if isinstance(body, dict) and isinstance(body.get("first"), int):
            self._table.append_done(command.partition, command.batch_id, body["first"], era)
        else:
            # An append has no effect if it was completely refused or never left this process.
            certain_not_applied = (
                not result.error and result.status in (429, 503)
            ) or not result.sent
            self._node.count("log.append_refused" if certain_not_applied else "log.append_unknown")
            self._table.append_failed(command.partition, command.batch_id, certain_not_applied, era)
            # A lost answer alone does not mean that the log is unavailable; the read that follows at
            # once shows whether it is.
            lost_answer = result.sent and not result.status and not result.silent
            if result.status != 429 and not lost_answer:
                self._table.log_down(now)
        self._report_era()
        self.run(now)

    def _on_read(self, command: ReadPartition, result: HttpResult) -> None:
        now = self._node.clock.now()
        body = result.json() if result.ok else None
        number, era = command.partition, log_era(result)
        if isinstance(body, dict) and isinstance(body.get("records"), list):
            records, first = body["records"], body["first"]
            self._table.read_done(number, records, first, body["now"], era, command.era)
        else:
            self._node.count("log.read_failed")
            self._table.read_failed(number, now, era, command.era)
            if result.status not in (410, 429):
                self._table.log_down(now)
        self._report_era()
        self.run(now)

    def _report_era(self) -> None:
        if self._table.era > self._known_era:
            self._known_era = self._table.era
            self._node.count("log.era_seen")
            self._node.log.warn(
                "The log returned from a copy in era {}; claims are read anew.", self._known_era
            )

    def _on_caller_disconnect(self, row: CallRow) -> None:
        self._rows.pop(row.request_id, None)
        if row.request_id in self._node.dispatcher.rows and not row.agent_id:
            self._node.dispatcher.finish(row)
            if row.claim_id:
                self._table.not_run(row.request_id, Reason.CANCELLED)
        self._table.caller_disconnected(row.request_id)


_REFUSAL_MESSAGES = {
    Reason.LOG_UNAVAILABLE: "The log cannot record the claim now, so the call was not sent.",
    Reason.OUTCOME_UNKNOWN: "The call may have run and its outcome is not known yet.",
    Reason.KEY_REUSED: "The key was used for a request with other content.",
    Reason.KEY_EXPIRED: "The key is older than the window in which repeats are recognised.",
    Reason.NOT_READY: "This entry has not read the claims that it needs yet.",
    Reason.DEADLINE_PASSED: "The deadline passed before the call was sent.",
}


def log_era(result: HttpResult) -> int:
    """Returns the era of the log in an answer; 0 if it states none or did not arrive."""
    body = result.json() if result.status else None
    era = body.get("era") if isinstance(body, dict) else None
    return era if type(era) is int and era > 0 else 0


def content_digest(operation: str, arguments: str) -> str:
    """Returns the digest that detects the reuse of a key for a different content."""
    return blake3(f"{operation}\0{arguments}".encode()).hexdigest(length=16)
