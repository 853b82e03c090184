"""Calls that must not be repeated, as rows of one entry process."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from fescuechute.claims._calls import MAY_HAVE_RUN, CallRow, CallState
from fescuechute.claims._commands import Answer, Command, Refuse, Send
from fescuechute.claims._keys import Scope, check_age, partition
from fescuechute.claims._partition import PartitionRow
from fescuechute.claims._records import ClaimRecord, OutcomeRecord, ReleaseRecord
from fescuechute.claims._settings import ClaimSettings
from fescuechute.claims._view import ClaimsView, ScopeState, ScopeStatus
from fescuechute.errors import Ran, Reason, RefusedError


class ClaimTable:
    """Decides which calls of this entry may be sent.

    Inputs are methods that note what happened. `run` is called on each tick and after each input;
    it returns the commands to carry out. A row costs about one log append, and the log takes only
    several hundred appends a second for all entries, so `run` looks at all rows.

    Attributes:
      unexpected: Number of inputs that did not fit the state of their call and were ignored.
    """

    def __init__(self, cfg: ClaimSettings, holder: str):
        """Creates an empty table.

        Args:
          cfg: Settings.
          holder: Name of this process, different for each start of it. Claim ids are made of it.
        """
        self._cfg = cfg
        self._holder = holder
        self._rows: dict[str, CallRow] = {}
        self._claims = 0
        self._out: list[Command] = []
        self._now = 0.0
        self._log_up = True
        self._partitions = [PartitionRow(n, cfg, holder) for n in range(cfg.partitions)]
        #: Outcomes known here that were not read back yet, by claim id.
        self._outcomes: dict[str, tuple[Scope, OutcomeRecord]] = {}
        #: Own claims that will never send and whose release was not read back yet.
        self._releasing: dict[str, Scope] = {}
        self.unexpected = 0

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
        """Notes a new call.

        Args:
          call_id: Unique id of this attempt of the caller.
          scope: Workspace, service and key.
          digest: Digest of the content; a key may be used again only with the same content.
          operation: Name of the service's operation.
          now: Unix seconds.
          deadline: Unix seconds.
        """
        if call_id in self._rows:
            raise ValueError(f"The call id {call_id} is in use.")
        self._now = now
        self._rows[call_id] = CallRow(
            call_id, scope, self._partition(scope), digest, operation, deadline
        )

    def caller_gone(self, call_id: str) -> None:
        """Notes that nobody waits for the answer. A call that was sent is still recorded."""
        row = self._rows.get(call_id)
        if row is None:
            return
        if row.state in MAY_HAVE_RUN:
            row.closed = True
        else:
            self._remove(row)

    # Inputs from the log.

    def append_done(self, number: int, batch_id: str, first_offset: int) -> None:
        """Notes that a batch is in the log from an offset on."""
        self._log_up = True
        row = self._partitions[number]
        for index, pending in enumerate(row.queue.done(batch_id)):
            if isinstance(pending.record, ClaimRecord):
                self._claim_in_log(pending.record.claim_id, first_offset + index)
        row.read_soon()

    def append_failed(self, number: int, batch_id: str, certain_not_applied: bool) -> None:
        """Notes a failed append.

        Args:
          number: Partition.
          batch_id: Id of the batch.
          certain_not_applied: The log refused the append. False when the answer was lost: the
            batch is then read back before it is appended again.
        """
        row = self._partitions[number]
        row.queue.failed(batch_id, certain_not_applied, self._now)
        if row.queue.reading_back:
            row.read_back()

    def records(
        self, number: int, records: Sequence[Mapping[str, Any]], first: int, now: float
    ) -> None:
        """Notes the answer of the log to a `ReadPartition`.

        Args:
          number: Partition.
          records: Records as the log gives them, from the asked offset or from `first` on.
          first: Oldest offset that the log retains.
          now: The log's clock in its answer, unix seconds.
        """
        self._log_up = True
        row = self._partitions[number]
        found = row.queue.found(records)
        offsets = {entry.get("id"): entry.get("offset") for entry in records}
        for pending in found:
            if isinstance(pending.record, ClaimRecord):
                self._claim_in_log(pending.record.claim_id, offsets.get(pending.record.record_id))
        row.fold(records, first, now)
        self._forget_settled()

    def read_failed(self, number: int, now: float) -> None:
        """Notes that a read brought no answer."""
        self._now = now
        self._partitions[number].read_failed(now)

    def log_down(self, now: float) -> None:
        """Notes that the log answers nothing. It counts as up again after its next answer.

        A read in flight counts as failed. An append in flight still has to be ended with
        `append_done` or `append_failed`.
        """
        self._now = now
        self._log_up = False
        for row in self._partitions:
            row.read_failed(now)

    # Inputs from agents.

    def sent(self, call_id: str) -> None:
        """Notes that the call was passed to an agent."""
        row = self._rows.get(call_id)
        if row is not None and row.state is CallState.SENDING:
            row.state = CallState.SENT
        else:
            self.unexpected += 1

    def finished(self, call_id: str, status: int, body: str) -> None:
        """Notes the result. The caller is answered at once; the record follows right after.

        Waiting for the log would hold back answers during an outage. A resend is never executed
        again in any case, because the claim stays held.
        """
        row = self._rows.get(call_id)
        if row is None or row.state not in MAY_HAVE_RUN:
            self.unexpected += 1
            return
        outcome = OutcomeRecord(row.claim_id, status, body)
        if row.part.view.outcome(row.scope) is None:
            self._outcomes[row.claim_id] = (row.scope, outcome)
            row.part.queue.add(outcome, self._now)
        self._close(row, Answer(call_id, status, body))
        del self._rows[call_id]

    def not_run(
        self,
        call_id: str,
        reason: Reason = Reason.NO_UPSTREAM,
        retry_at: float | None = None,
    ) -> None:
        """Notes that every agent asked truthfully refused the call."""
        row = self._rows.get(call_id)
        if row is None or row.state not in (CallState.SENDING, CallState.SENT):
            self.unexpected += 1
            return
        self._close(row, Refuse(call_id, reason, Ran.NOT_RUN, retry_at))
        self._remove(row)

    def lost(self, call_id: str) -> None:
        """Notes that an agent may have run the call and its link is gone.

        The agent appends the outcome, or a release if it never started the call, so the call waits
        a little for either.
        """
        row = self._rows.get(call_id)
        if row is None or row.state not in (CallState.SENDING, CallState.SENT):
            self.unexpected += 1
            return
        row.state = CallState.LOST
        row.deadline = min(row.deadline, self._now + self._cfg.lost_wait_s)

    # Queries.

    def __len__(self) -> int:
        """Returns the number of calls, closed ones whose outcome is awaited included."""
        return len(self._rows)

    @property
    def unsettled(self) -> int:
        """Number of records that are not yet in the log as far as this process knows."""
        return sum(len(row.queue) for row in self._partitions)

    def view(self, scope: Scope) -> ClaimsView:
        """Returns the fold of the partition of a scope."""
        return self._partition(scope).view

    def lookup(self, scope: Scope, digest: str) -> ScopeStatus:
        """Returns the state of a scope, from the log and from results known here."""
        return self._lookup(self.view(scope), scope, digest)

    def _lookup(self, view: ClaimsView, scope: Scope, digest: str) -> ScopeStatus:
        status = view.status(scope, digest)
        known = self._outcomes.get(status.claim_id)
        if status.state is ScopeState.HELD and known is not None:
            outcome = known[1]
            return ScopeStatus(ScopeState.DONE, status.claim_id, outcome.status, outcome.body)
        return status

    def known(self, scope: Scope) -> ScopeStatus:
        """Returns the state of a scope for a caller that asks for the outcome of its key."""
        view = self._partition(scope).view
        held = view.claim(scope)
        return self.lookup(scope, held.digest) if held is not None else ScopeStatus(ScopeState.FREE)

    # The system.

    def run(self, now: float) -> list[Command]:
        """Takes all decisions that are due and returns the commands to carry out."""
        self._now = now
        for row in list(self._rows.values()):
            if row.state in MAY_HAVE_RUN:
                self._step_sent(row)
            else:
                self._step_unsent(row)
        waiting = self._waiting_partitions()
        for part in self._partitions:
            batch = part.queue.cut(now) if self._log_up else None
            if batch is not None:
                self._out.append(batch)
            read = part.next_read(now, part.number in waiting)
            if read is not None:
                self._out.append(read)
        commands, self._out = self._out, []
        return commands

    def _step_sent(self, row: CallRow) -> None:
        if row.state is CallState.LOST and self.view(row.scope).is_released(row.claim_id):
            # The agent dropped the call before it started, and released the claim.
            retry_at = self._now + self._cfg.refusal_retry_s
            self._close(row, Refuse(row.call_id, Reason.UPSTREAM_LOST, Ran.NOT_RUN, retry_at))
            del self._rows[row.call_id]
            return
        if row.closed:
            if self._now > row.scope.key.at + self._cfg.window_s + self._cfg.margin_s:
                del self._rows[row.call_id]
            return
        status = self._lookup(row.part.view, row.scope, row.digest)
        if status.state is ScopeState.DONE and status.claim_id == row.claim_id:
            self._close(row, Answer(row.call_id, status.status, status.body))
        elif self._now >= row.deadline:
            self._close(row, Refuse(row.call_id, Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN))

    def _step_unsent(self, row: CallRow) -> None:
        status = self._lookup(row.part.view, row.scope, row.digest)
        if not self._is_old(row.part.view, row.scope):
            row.blocked = self._blocks(status, row)
        if status.state is ScopeState.DONE:
            self._close(row, Answer(row.call_id, status.status, status.body))
            self._withdraw(row)
        elif status.state is ScopeState.REUSED and status.claim_id not in self._releasing:
            self._refuse(row, Reason.KEY_REUSED)
        elif self._now >= row.deadline:
            self._refuse_late(row, Reason.DEADLINE_PASSED)
        elif self._may_send(row):
            row.state = CallState.SENDING
            self._out.append(Send(row.call_id, row.claim_id))
        elif self._is_old(row.part.view, row.scope):
            self._refuse_late(row, Reason.KEY_EXPIRED)
        elif row.blocked:
            return
        elif row.state is CallState.NEW:
            self._claim(row)
        elif not self._log_up:
            self._refuse(row, Reason.LOG_UNAVAILABLE, retry=True)
        else:
            self._check_claim(row)

    def _may_send(self, row: CallRow) -> bool:
        view = row.part.view
        return row.state is CallState.CLAIMED and view.may_send(row.claim_id, row.scope)

    def _claim(self, row: CallRow) -> None:
        try:
            check_age(row.scope.key, self._now, self._cfg.window_s, self._cfg.skew_s)
        except RefusedError as exc:
            self._refuse(row, exc.reason)
            return
        if not self._log_up or not row.part.view.complete_for(row.scope.key):
            reason = Reason.NOT_READY if self._log_up else Reason.LOG_UNAVAILABLE
            self._refuse(row, reason, retry=True)
            return
        self._claims += 1
        row.claim_id = f"{self._holder}/{self._claims}"
        row.state = CallState.CLAIMED
        record = ClaimRecord(row.claim_id, row.scope, row.operation, self._holder, row.digest)
        row.part.queue.add(record, self._now)

    def _check_claim(self, row: CallRow) -> None:
        """Refuses a call whose claim was read back and cannot hold the scope."""
        view = row.part.view
        if view.is_counted(row.claim_id):
            if not view.complete_for(row.scope.key):
                self._refuse(row, Reason.NOT_READY, retry=True)
        elif row.offset is not None and row.offset < view.next_offset:
            key_at = row.scope.key.at
            if view.last_time > key_at + self._cfg.window_s:
                self._refuse(row, Reason.KEY_EXPIRED)
            elif not view.complete_for(row.scope.key):
                self._refuse(row, Reason.NOT_READY, retry=True)
            else:
                self._refuse(row, Reason.KEY_MALFORMED)

    def _blocks(self, status: ScopeStatus, row: CallRow) -> bool:
        """Whether another claim holds the scope and its call may have run or may yet run."""
        return (
            status.state is ScopeState.HELD
            and status.claim_id != row.claim_id
            and status.claim_id not in self._releasing
        )

    # Ends of calls.

    def _refuse(
        self, row: CallRow, reason: Reason, ran: Ran = Ran.NOT_RUN, retry: bool = False
    ) -> None:
        retry_at = self._now + self._cfg.refusal_retry_s if retry else None
        self._close(row, Refuse(row.call_id, reason, ran, retry_at))
        self._remove(row)

    def _refuse_late(self, row: CallRow, reason: Reason) -> None:
        if row.blocked:
            self._refuse(row, Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        else:
            self._refuse(row, reason)

    def _close(self, row: CallRow, command: Command) -> None:
        if not row.closed:
            row.closed = True
            self._out.append(command)

    def _remove(self, row: CallRow) -> None:
        """Ends a call that did not run, and releases its claim if that may be in the log."""
        if self._withdraw(row):
            release = ReleaseRecord(row.claim_id, self._holder)
            self._releasing[row.claim_id] = row.scope
            row.part.queue.add(release, self._now)

    def _withdraw(self, row: CallRow) -> bool:
        """Ends a call without a release; returns whether its claim may be in the log."""
        del self._rows[row.call_id]
        return bool(row.claim_id) and row.part.queue.withdraw(row.claim_id)

    # State of the log.

    def _partition(self, scope: Scope) -> PartitionRow:
        return self._partitions[partition(scope, self._cfg.partitions)]

    def _claim_in_log(self, claim_id: str, offset: int | None) -> None:
        for row in self._rows.values():
            if row.claim_id == claim_id:
                row.offset = offset

    def _waiting_partitions(self) -> set[int]:
        """Partitions in which a call waits for a record that is or will be in the log."""
        return {
            row.part.number
            for row in self._rows.values()
            if not row.closed and row.state not in (CallState.SENDING, CallState.SENT)
        }

    def _forget_settled(self) -> None:
        """Drops results and releases that were read back, or whose key is too old to matter."""
        for claim_id, (scope, _) in list(self._outcomes.items()):
            view = self.view(scope)
            if view.outcome(scope) is not None or self._is_old(view, scope):
                del self._outcomes[claim_id]
        for claim_id, scope in list(self._releasing.items()):
            view = self.view(scope)
            if view.is_released(claim_id) or self._is_old(view, scope):
                del self._releasing[claim_id]

    def _is_old(self, view: ClaimsView, scope: Scope) -> bool:
        horizon = scope.key.at + self._cfg.window_s + self._cfg.margin_s
        return view.last_time > horizon
