"""Decisions of one entry process about calls that must run at most once."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from fescuechute.claims._calls import MAY_HAVE_RUN, Call, CallState
from fescuechute.claims._commands import Answer, Command, Refuse, Send
from fescuechute.claims._keys import Scope, check_age, partition_of
from fescuechute.claims._partition import PartitionLog
from fescuechute.claims._records import ClaimRecord, OutcomeRecord
from fescuechute.claims._settings import ClaimSettings
from fescuechute.claims._unread import UnreadRecords
from fescuechute.claims._view import ClaimsView, ScopeState, ScopeStatus
from fescuechute.errors import ExecutionStatus, Reason, RefusedError


class ClaimTable:
    """Decides which calls of this entry may be sent.

    The daemon reports each event with one of the input methods. It calls `run` on each tick and
    after each input, and executes the commands that `run` returns. Each call costs about one log
    append, and the log accepts only several hundred appends per second from all entries, so there
    are few enough calls for `run` to iterate over all of them.

    Attributes:
      unexpected_inputs: Number of inputs that did not match the state of their call and were
        ignored.
    """

    def __init__(self, cfg: ClaimSettings, holder: str):
        """Creates an empty table.

        Args:
          cfg: Settings.
          holder: Name of this process, different for each start of it. It prefixes the claim ids.
        """
        self._cfg = cfg
        self._holder = holder
        self._calls: dict[str, Call] = {}
        self._claim_count = 0
        self._pending_commands: list[Command] = []
        self._now = 0.0
        self._log_up = True
        #: Newest era of the log that was seen.
        self._era = 0
        self._partition_logs = [PartitionLog(n, cfg, holder) for n in range(cfg.partitions)]
        self._unread = UnreadRecords(holder, self._partition_log)
        self.unexpected_inputs = 0

    # Inputs from callers.

    def submit(
        self,
        call_id: str,
        scope: Scope,
        digest: str,
        operation: str,
        now: float,
        deadline: float,
    ) -> None:
        """Adds a new call.

        Args:
          call_id: Unique id of this attempt of the caller.
          scope: Workspace, service and key.
          digest: Digest of the content; a key may be reused only with the same content.
          operation: Name of the service's operation.
          now: Unix seconds.
          deadline: Unix seconds.

        Raises:
          ValueError: The call id is in use.
        """
        if call_id in self._calls:
            raise ValueError(f"The call id {call_id} is in use.")
        self._now = now
        self._calls[call_id] = Call(
            call_id, scope, self._partition_log(scope), digest, operation, deadline
        )

    def caller_disconnected(self, call_id: str) -> None:
        """Handles a caller's disconnect. The outcome of a call that was sent is still recorded."""
        call = self._calls.get(call_id)
        if call is None:
            return
        if call.state in MAY_HAVE_RUN:
            call.caller_done = True
        else:
            self._remove_and_release(call)

    # Inputs from the log.

    def append_done(self, number: int, batch_id: str, first_offset: int, era: int = 0) -> None:
        """Handles a successful append.

        Args:
          number: Partition.
          batch_id: Id of the batch.
          first_offset: Offset of the first record.
          era: Era of the log in its answer.
        """
        self._observe_era(era)
        if era < self._era:
            self.append_failed(number, batch_id, certain_not_applied=False, era=era)
            return
        self._log_up = True
        partition_log = self._partition_logs[number]
        completed = partition_log.queue.complete(batch_id)
        for index, pending in enumerate(completed):
            if isinstance(pending.record, ClaimRecord):
                self._set_claim_offset(pending.record.claim_id, first_offset + index)
        partition_log.appended(first_offset + len(completed))
        if partition_log.queue.reading_back:
            partition_log.request_read_back()

    def append_failed(
        self, number: int, batch_id: str, certain_not_applied: bool, era: int = 0
    ) -> None:
        """Handles a failed append.

        Args:
          number: Partition.
          batch_id: Id of the batch.
          certain_not_applied: Whether the append certainly had no effect, for example because the
            log refused it. If False, the partition is read back before the batch is appended again.
          era: Era of the log in its answer, 0 without an answer.
        """
        self._observe_era(era)
        partition_log = self._partition_logs[number]
        partition_log.queue.fail(batch_id, certain_not_applied, self._now)
        if partition_log.queue.reading_back:
            partition_log.request_read_back()

    def read_done(
        self,
        number: int,
        records: Sequence[Mapping[str, Any]],
        first_retained: int,
        now: float,
        era: int = 0,
        position_era: int = 0,
    ) -> None:
        """Handles the answer of the log to a `ReadPartition`.

        Args:
          number: Partition.
          records: Records in the form that the log returns, starting at the requested offset or at
            `first_retained`, whichever is later.
          first_retained: Oldest offset that the log retains.
          now: The log's clock in its answer, unix seconds.
          era: Era of the log in its answer.
          position_era: Era of the requested offset. Records are dropped unless both are the newest
            era: they belong to a lost stretch, or the offset does.
        """
        self._observe_era(era)
        if era < self._era or position_era < self._era:
            self.read_failed(number, self._now, position_era=position_era)
            return
        self._log_up = True
        partition_log = self._partition_logs[number]
        matched = partition_log.queue.match_records(records)
        offsets = {record.get("id"): record.get("offset") for record in records}
        for pending in matched:
            if isinstance(pending.record, ClaimRecord):
                self._set_claim_offset(
                    pending.record.claim_id, offsets.get(pending.record.record_id)
                )
        partition_log.fold(records, first_retained, now)
        self._unread.drop_settled()

    def read_failed(
        self, number: int, now: float, era: int = 0, position_era: int | None = None
    ) -> None:
        """Handles a failed read.

        Args:
          number: Partition.
          now: Unix seconds.
          era: Era of the log in its answer, 0 without an answer.
          position_era: Era of the requested offset, None for the current one.
        """
        self._now = now
        self._observe_era(era)
        if position_era is None or position_era == self._era:
            self._partition_logs[number].read_failed(now)

    def log_down(self, now: float) -> None:
        """Marks the log as unavailable until its next answer.

        Reads in flight are treated as failed. The daemon must still report `append_done` or
        `append_failed` for each append in flight.
        """
        self._now = now
        self._log_up = False
        for partition_log in self._partition_logs:
            partition_log.read_failed(now)

    def _observe_era(self, era: int) -> None:
        """Starts a new era of all partitions if the log has returned from a copy."""
        if era <= self._era:
            return
        self._era = era
        for partition_log in self._partition_logs:
            partition_log.start_era(era)
        for call in self._calls.values():
            call.claim_offset = None

    # Inputs from agents.

    def sent(self, call_id: str) -> None:
        """Records that the call was passed to an agent."""
        call = self._calls.get(call_id)
        if call is not None and call.state is CallState.SENDING:
            call.state = CallState.SENT
        else:
            self.unexpected_inputs += 1

    def finished(self, call_id: str, status: int, body: str) -> None:
        """Handles the result of a call: answers the caller and queues the outcome record.

        The answer does not wait for the append, which would delay answers while the log is
        unavailable. A resend is not executed in any case, because the claim still holds the scope.
        """
        call = self._calls.get(call_id)
        if call is None or call.state not in MAY_HAVE_RUN:
            self.unexpected_inputs += 1
            return
        outcome = OutcomeRecord(call.claim_id, status, body)
        if not call.partition_log.has_outcome(call.scope):
            self._unread.add_outcome(call.scope, outcome)
            call.partition_log.queue.add(outcome, self._now)
        self._reply(call, Answer(call_id, status, body))
        del self._calls[call_id]

    def not_run(
        self,
        call_id: str,
        reason: Reason = Reason.NO_UPSTREAM,
        retry_at: float | None = None,
    ) -> None:
        """Handles a refusal by every agent that was tried, none of which ran the call."""
        call = self._calls.get(call_id)
        if call is None or call.state not in (CallState.SENDING, CallState.SENT):
            self.unexpected_inputs += 1
            return
        self._reply(call, Refuse(call_id, reason, ExecutionStatus.NOT_RUN, retry_at))
        self._remove_and_release(call)

    def outcome_unknown(self, call_id: str) -> None:
        """Handles a call that an agent may have run and whose outcome did not arrive.

        The agent appends the outcome, or a release if it never started the call. The call waits for
        either record for at most `lost_wait_s`.
        """
        call = self._calls.get(call_id)
        if call is None or call.state not in (CallState.SENDING, CallState.SENT):
            self.unexpected_inputs += 1
            return
        call.state = CallState.LOST
        call.deadline = min(call.deadline, self._now + self._cfg.lost_wait_s)

    # Queries.

    def __len__(self) -> int:
        """Returns the number of calls, including those kept only until their outcome is known."""
        return len(self._calls)

    @property
    def pending_records(self) -> int:
        """Number of records that, as far as this process knows, are not in the log yet."""
        return sum(len(partition_log.queue) for partition_log in self._partition_logs)

    def view(self, scope: Scope) -> ClaimsView:
        """Returns the view of the partition of a scope."""
        return self._partition_log(scope).view

    def lookup(self, scope: Scope, digest: str) -> ScopeStatus:
        """Returns the state of a scope, from the log and from outcomes not yet read back."""
        return self._lookup(self._partition_log(scope), scope, digest)

    def _lookup(self, partition_log: PartitionLog, scope: Scope, digest: str) -> ScopeStatus:
        status = partition_log.status(scope, digest)
        outcome = self._unread.outcome(status.claim_id)
        if status.state is ScopeState.HELD and outcome is not None:
            return ScopeStatus(ScopeState.DONE, status.claim_id, outcome.status, outcome.body)
        return status

    def status_of(self, scope: Scope) -> ScopeStatus:
        """Returns the state of a scope for a caller that queries the outcome of a key.

        A scope without a claim is HELD if its claim may be missing from the view.
        """
        partition_log = self._partition_log(scope)
        claim = partition_log.holding_claim(scope)
        if claim is not None:
            return self.lookup(scope, claim.digest)
        complete = partition_log.view.complete_for(scope.key)
        return ScopeStatus(ScopeState.FREE if complete else ScopeState.HELD)

    @property
    def era(self) -> int:
        """Newest era of the log that was seen."""
        return self._era

    # Decisions.

    def run(self, now: float) -> list[Command]:
        """Takes all decisions that are due and returns the commands to execute."""
        self._now = now
        for call in list(self._calls.values()):
            if call.state in MAY_HAVE_RUN:
                self._advance_sent(call)
            else:
                self._advance_unsent(call)
        waiting = self._waiting_partitions()
        for partition_log in self._partition_logs:
            partition_log.restore(self._unread.of_partition(partition_log.number), now)
            batch = partition_log.queue.next_batch(now) if self._log_up else None
            if batch is not None:
                self._pending_commands.append(batch)
            read = partition_log.next_read(now, partition_log.number in waiting)
            if read is not None:
                self._pending_commands.append(read)
        commands, self._pending_commands = self._pending_commands, []
        return commands

    def _advance_sent(self, call: Call) -> None:
        if call.state is CallState.LOST and call.partition_log.is_released(
            call.claim_id, call.scope
        ):
            # The agent dropped the call before starting it and released the claim.
            retry_at = self._now + self._cfg.refusal_retry_s
            self._reply(
                call, Refuse(call.call_id, Reason.UPSTREAM_LOST, ExecutionStatus.NOT_RUN, retry_at)
            )
            del self._calls[call.call_id]
            return
        if call.caller_done:
            if self._now > call.scope.key.created_at + self._cfg.window_s + self._cfg.margin_s:
                del self._calls[call.call_id]
            return
        status = self._lookup(call.partition_log, call.scope, call.digest)
        if status.state is ScopeState.DONE and status.claim_id == call.claim_id:
            self._reply(call, Answer(call.call_id, status.status, status.body))
        elif self._now >= call.deadline:
            self._reply(call, Refuse(call.call_id, Reason.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN))

    def _advance_unsent(self, call: Call) -> None:
        status = self._lookup(call.partition_log, call.scope, call.digest)
        if not call.partition_log.has_aged_out(call.scope):
            call.held_by_other = self._is_held_by_other(status, call)
        if status.state is ScopeState.DONE:
            self._reply(call, Answer(call.call_id, status.status, status.body))
            self._remove_and_cancel(call)
        elif status.state is ScopeState.REUSED and not self._unread.is_released(status.claim_id):
            self._refuse(call, Reason.KEY_REUSED)
        elif self._now >= call.deadline:
            self._refuse_expired(call, Reason.DEADLINE_PASSED)
        elif self._may_send(call):
            call.state = CallState.SENDING
            self._pending_commands.append(Send(call.call_id, call.claim_id))
        elif call.partition_log.has_aged_out(call.scope):
            self._refuse_expired(call, Reason.KEY_EXPIRED)
        elif call.held_by_other:
            return
        elif call.state is CallState.NEW:
            self._add_claim(call)
        elif not self._log_up:
            self._refuse(call, Reason.LOG_UNAVAILABLE, retryable=True)
        else:
            self._check_claim(call)

    def _may_send(self, call: Call) -> bool:
        view = call.partition_log.view
        return call.state is CallState.CLAIMED and view.may_send(call.claim_id, call.scope)

    def _add_claim(self, call: Call) -> None:
        try:
            check_age(call.scope.key, self._now, self._cfg.window_s, self._cfg.skew_s)
        except RefusedError as exc:
            self._refuse(call, exc.reason)
            return
        if not self._log_up or not call.partition_log.view.complete_for(call.scope.key):
            reason = Reason.NOT_READY if self._log_up else Reason.LOG_UNAVAILABLE
            self._refuse(call, reason, retryable=True)
            return
        self._claim_count += 1
        call.claim_id = f"{self._holder}/{self._claim_count}"
        call.state = CallState.CLAIMED
        record = ClaimRecord(call.claim_id, call.scope, call.operation, self._holder, call.digest)
        call.partition_log.queue.add(record, self._now)

    def _check_claim(self, call: Call) -> None:
        """Refuses a call whose claim was read back but cannot hold the scope."""
        view = call.partition_log.view
        if view.era and call.partition_log.read_to_end and not view.complete_for(call.scope.key):
            self._refuse(call, Reason.NOT_READY, retryable=True)
        elif view.has_claim(call.claim_id):
            if not view.complete_for(call.scope.key):
                self._refuse(call, Reason.NOT_READY, retryable=True)
        elif call.claim_offset is not None and call.claim_offset < view.next_offset:
            key_created_at = call.scope.key.created_at
            if view.last_time > key_created_at + self._cfg.window_s:
                self._refuse(call, Reason.KEY_EXPIRED)
            elif not view.complete_for(call.scope.key):
                self._refuse(call, Reason.NOT_READY, retryable=True)
            else:
                self._refuse(call, Reason.KEY_MALFORMED)

    def _is_held_by_other(self, status: ScopeStatus, call: Call) -> bool:
        """Whether another claim, whose call may have run or may still run, holds the scope."""
        return (
            status.state is ScopeState.HELD
            and status.claim_id != call.claim_id
            and not self._unread.is_released(status.claim_id)
        )

    # Completion of calls.

    def _refuse(
        self,
        call: Call,
        reason: Reason,
        ran: ExecutionStatus = ExecutionStatus.NOT_RUN,
        retryable: bool = False,
    ) -> None:
        retry_at = self._now + self._cfg.refusal_retry_s if retryable else None
        self._reply(call, Refuse(call.call_id, reason, ran, retry_at))
        self._remove_and_release(call)

    def _refuse_expired(self, call: Call, reason: Reason) -> None:
        """Refuses a call whose deadline or key expired; unknown if another call may have run."""
        if call.held_by_other:
            self._refuse(call, Reason.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
        else:
            self._refuse(call, reason)

    def _reply(self, call: Call, command: Command) -> None:
        """Returns the reply to the caller, unless it was answered or disconnected."""
        if not call.caller_done:
            call.caller_done = True
            self._pending_commands.append(command)

    def _remove_and_release(self, call: Call) -> None:
        """Removes a call that did not run and releases its claim if it may be in the log."""
        if self._remove_and_cancel(call):
            release = self._unread.add_release(call.scope, call.claim_id)
            call.partition_log.queue.add(release, self._now)

    def _remove_and_cancel(self, call: Call) -> bool:
        """Removes a call and cancels the append of its claim.

        Returns:
          Whether the claim may be in the log.
        """
        del self._calls[call.call_id]
        return bool(call.claim_id) and call.partition_log.queue.cancel_claim(call.claim_id)

    # Access to the partitions.

    def _partition_log(self, scope: Scope) -> PartitionLog:
        return self._partition_logs[partition_of(scope, self._cfg.partitions)]

    def _set_claim_offset(self, claim_id: str, offset: int | None) -> None:
        for call in self._calls.values():
            if call.claim_id == claim_id:
                call.claim_offset = offset

    def _waiting_partitions(self) -> set[int]:
        """Returns the partitions in which a call waits for a record."""
        return {
            call.partition_log.number
            for call in self._calls.values()
            if not call.caller_done and call.state not in (CallState.SENDING, CallState.SENT)
        }
