"""In-memory model of the log, the service and the entries around each `ClaimTable`."""

from __future__ import annotations

from typing import Any

import attrs

from fescuechute.claims import (
    Answer,
    AppendBatch,
    ClaimSettings,
    ClaimTable,
    ReadPartition,
    Refuse,
    Scope,
    ScopeState,
    Send,
)
from fescuechute.errors import ExecutionStatus, Reason

CFG = ClaimSettings(
    partitions=1,
    window_s=60.0,
    skew_s=5.0,
    margin_s=10.0,
    read_limit=20,
    restore_interval_s=0.2,
)
START = 1_000_000.0


class ModelLog:
    """One stream with offsets, log times, retention, outages and returns from a copy."""

    def __init__(self) -> None:
        self.history: list[dict[str, Any]] = []
        self.first_retained = 0
        self.up = True
        self.era = 0
        #: Records of earlier eras, with those that each return lost.
        self.earlier_histories: list[list[dict[str, Any]]] = []
        #: Ids that may occur twice: the model duplicated or delayed them, or removed them early.
        self.allowed_duplicates: set[str] = set()

    def append(self, records: tuple[dict[str, Any], ...], now: float) -> int:
        first = len(self.history)
        # A read-back cannot find records that retention has removed.
        removed = {entry["id"] for entry in self.history[: self.first_retained]}
        retained = {entry["id"] for entry in self.history[self.first_retained :]}
        self.allowed_duplicates |= {record["id"] for record in records} & (removed - retained)
        for record in records:
            offset = len(self.history)
            self.history.append(
                {"offset": offset, "time": now, "id": record["id"], "data": record["data"]}
            )
        return first

    def return_from_copy(self, lost: int) -> set[str]:
        """Starts an era without the latest records; returns the ids of the lost ones."""
        self.earlier_histories.append(self.history)
        kept = max(0, len(self.history) - lost)
        lost_ids = {entry["id"] for entry in self.history[kept:]}
        self.history = self.history[:kept]
        self.first_retained = min(self.first_retained, kept)
        self.era += 1
        return lost_ids

    def history_of(self, era: int) -> list[dict[str, Any]]:
        return (*self.earlier_histories, self.history)[era]

    def read(self, from_offset: int, limit: int, now: float) -> tuple[list, int, float]:
        start = max(from_offset, self.first_retained)
        return self.history[start : start + limit], self.first_retained, now

    def unexpected_duplicates(self) -> list[str]:
        ids = [entry["id"] for entry in self.history]
        return [i for i in set(ids) if ids.count(i) > 1 and i not in self.allowed_duplicates]


def reference_state(history: list[dict[str, Any]], scope: Scope) -> tuple[str | None, dict | None]:
    """Returns the data of the holding claim and of the outcome, computed from the whole log."""
    claims: dict[str, dict] = {}
    released: set[tuple[str, str]] = set()
    for entry in history:
        data, key_time = entry["data"], scope.key.created_at
        kind = data.get("type")
        if kind == "claim" and data.get("key") == scope.key.text:
            if key_time - CFG.skew_s <= entry["time"] <= key_time + CFG.window_s:
                claims.setdefault(data["claim_id"], data)
        elif kind == "release":
            released.add((data.get("claim_id"), data.get("holder")))
        holding = [c for c in claims.values() if (c["claim_id"], c["holder"]) not in released]
        if kind == "outcome" and holding and holding[0]["claim_id"] == data["claim_id"]:
            return holding[0], data
    return (holding[0], None) if history and holding else (None, None)


@attrs.define(eq=False)
class Attempt:
    """One call of a caller at one entry, and whether it was executed."""

    call_id: str
    scope: Scope
    digest: str
    entry: Entry
    deadline: float
    claim_id: str = ""
    executed: bool = False
    refused_by_agent: bool = False
    #: Progress: "" (not sent), "sending" (held by the entry's daemon), "agent", or "over".
    stage: str = ""
    agent_linked: bool = True
    reply: Answer | Refuse | None = None
    caller_disconnected: bool = False


@attrs.define(eq=False)
class Entry:
    """The daemon that runs one table."""

    holder: str
    #: Seconds by which the clock of this process is ahead of the log's.
    clock_offset_s: float
    table: ClaimTable
    frozen: bool = False
    appends_in_flight: list[AppendBatch] = attrs.field(factory=list)
    reads_in_flight: list[ReadPartition] = attrs.field(factory=list)
    #: Offset at which the log applied the append in flight, -1 if it did not, and its era.
    applied_offset: int = -1
    applied_era: int = 0
    #: The answer of the log to the read in flight, with its era; no records above the end.
    read_answer: tuple[list | None, int, float, int] | None = None
    pending_sends: list[Send] = attrs.field(factory=list)


class World:
    """The environment of the tables, with checks of their commands."""

    def __init__(self) -> None:
        self.now = START
        self.log = ModelLog()
        self.entries: list[Entry] = []
        self.dead_holders: set[str] = set()
        self.attempts: dict[str, Attempt] = {}
        #: Results and content digests by key text. More than one means a duplicate execution.
        self.executions: dict[str, list[tuple[str, str]]] = {}
        self.delayed_batches: list[AppendBatch] = []
        self.pending_agent_records: list[dict[str, Any]] = []
        #: Ids of records that agents appended and a return lost.
        self.lost_agent_records: set[str] = set()

    def start_entry(self, clock_offset_s: float) -> Entry:
        holder = f"e{len(self.entries) + len(self.dead_holders)}"
        entry = Entry(holder, clock_offset_s, ClaimTable(CFG, holder))
        self.entries.append(entry)
        return entry

    def kill(self, entry: Entry) -> None:
        self.entries.remove(entry)
        self.dead_holders.add(entry.holder)
        for attempt in self.attempts_of(entry):
            attempt.agent_linked = False
            if attempt.stage == "sending":
                attempt.stage = "over"

    def attempts_of(self, entry: Entry) -> list[Attempt]:
        return [attempt for attempt in self.attempts.values() if attempt.entry is entry]

    def submit(self, entry: Entry, scope: Scope, digest: str, timeout_s: float) -> Attempt:
        call_id = f"c{len(self.attempts)}"
        now = self.now + entry.clock_offset_s
        attempt = Attempt(call_id, scope, digest, entry, now + timeout_s)
        self.attempts[call_id] = attempt
        # The operation is the call id, so that claims in the log can be traced to calls.
        entry.table.submit(call_id, scope, digest, call_id, now, attempt.deadline)
        return attempt

    def run(self, entry: Entry) -> None:
        for command in entry.table.run(self.now + entry.clock_offset_s):
            if isinstance(command, AppendBatch):
                assert not entry.appends_in_flight, "two appends in flight for one partition"
                assert len(command.records) <= CFG.batch_records
                entry.appends_in_flight.append(command)
            elif isinstance(command, ReadPartition):
                entry.reads_in_flight.append(command)
            elif isinstance(command, Send):
                self._check_send(self.attempts[command.call_id], command)
                entry.pending_sends.append(command)
            else:
                assert isinstance(command, Answer | Refuse)
                self._check_reply(self.attempts[command.call_id], command)

    def finish_append(self, entry: Entry, result: str) -> None:
        """Ends the append in flight, unless the result starts with `hang`.

        An answer carries the era of the append, or with `ok_late_era` that of the answer.
        """
        batch = entry.appends_in_flight[0]
        if not self.log.up and result in ("ok", "ok_late_era", "refused"):
            result = "down"
        if (
            result in ("ok", "ok_late_era", "lost_applied", "hang_applied")
            and self.log.up
            and entry.applied_offset < 0
        ):
            entry.applied_offset = self.log.append(batch.records, self.now)
            entry.applied_era = self.log.era
        if result.startswith("hang"):
            return
        entry.appends_in_flight.clear()
        if result == "lost_delayed" and entry.applied_offset < 0:
            self.log.allowed_duplicates.update(record["id"] for record in batch.records)
            self.delayed_batches.append(batch)
        if result.startswith("ok"):
            era = entry.applied_era if result == "ok" else self.log.era
            entry.table.append_done(0, batch.batch_id, entry.applied_offset, era)
        else:
            certain = result in ("refused", "down") and entry.applied_offset < 0
            era = self.log.era if result == "refused" else 0
            entry.table.append_failed(0, batch.batch_id, certain_not_applied=certain, era=era)
        entry.applied_offset = -1
        if result == "down":
            entry.table.log_down(self.now + entry.clock_offset_s)

    def finish_read(self, entry: Entry, result: str) -> None:
        """Ends the read in flight; after `hang` it stays in flight and later gets an old answer."""
        read = entry.reads_in_flight[0]
        if self.log.up and entry.read_answer is None:
            records, first, now = self.log.read(read.from_offset, read.limit, self.now)
            is_above_end = read.from_offset > len(self.log.history)
            entry.read_answer = (None if is_above_end else records, first, now, self.log.era)
        if result == "hang":
            return
        del entry.reads_in_flight[0]
        local_now = self.now + entry.clock_offset_s
        if result == "ok" and entry.read_answer is not None:
            answer, first, now, era = entry.read_answer
            if answer is None:
                entry.table.read_failed(0, local_now, era, read.era)
            else:
                entry.table.read_done(0, answer, first, now, era, read.era)
        elif self.log.up:
            entry.table.read_failed(0, local_now, position_era=read.era)
        else:
            entry.table.log_down(self.now + entry.clock_offset_s)
        entry.read_answer = None

    def deliver_sends(self, entry: Entry) -> None:
        """Passes the calls that the daemon holds to an agent."""
        for send in entry.pending_sends:
            self.attempts[send.call_id].stage = "agent"
            entry.table.sent(send.call_id)
        entry.pending_sends.clear()

    def execute(self, attempt: Attempt, late_answer: bool = False) -> None:
        """Executes a call at the service; without a link the agent records the outcome itself."""
        attempt.executed = True
        attempt.stage = "over"
        executions = self.executions.setdefault(attempt.scope.key.text, [])
        body = f'{{"result":"{attempt.call_id}"}}'
        executions.append((body, attempt.digest))
        alive = attempt.entry in self.entries
        if attempt.agent_linked or (late_answer and alive):
            attempt.entry.table.finished(attempt.call_id, 200, body)
        if not attempt.agent_linked:
            data = {"type": "outcome", "claim_id": attempt.claim_id, "status": 200, "body": body}
            record = {"id": f"{attempt.claim_id}/outcome", "data": data}
            self.log.allowed_duplicates.add(record["id"])
            self.pending_agent_records.append(record)

    def return_from_copy(self, lost: int) -> None:
        lost_ids = self.log.return_from_copy(lost)
        agent_ids = {f"{a.claim_id}/outcome" for a in self.attempts.values() if not a.agent_linked}
        self.lost_agent_records |= lost_ids & agent_ids

    def apply_delayed_appends(self) -> None:
        """Appends the pending records of agents and the batches whose append was delayed."""
        if self.log.up:
            for record in self.pending_agent_records:
                self.log.append((record,), self.now)
            for batch in self.delayed_batches:
                self.log.append(batch.records, self.now)
            self.pending_agent_records.clear()
            self.delayed_batches.clear()

    def append_irregular_record(self, kind: str, index: int) -> None:
        """Appends a duplicate, a release by another holder or after the outcome, or garbage."""
        required_type = {"foreign_release": "claim", "release_after_outcome": "outcome"}.get(kind)
        candidates = [e for e in self.log.history if required_type in (None, e["data"]["type"])]
        if not candidates:
            return
        entry = candidates[-1 - index % min(3, len(candidates))]
        if kind == "record_twice":
            self.log.allowed_duplicates.add(entry["id"])
            self.log.append((entry,), self.now)
            return
        claim_id = entry["data"].get("claim_id") or "none"
        data = {"type": "release", "claim_id": claim_id}
        if kind == "foreign_release":
            data["holder"] = "stranger"
        elif kind == "release_after_outcome":
            data["holder"] = claim_id.partition("/")[0]
        self.log.append(({"id": f"odd-{len(self.log.history)}", "data": data},), self.now)

    def refuse(self, attempt: Attempt) -> None:
        attempt.refused_by_agent = True
        attempt.stage = "over"
        if attempt.agent_linked:
            attempt.entry.table.not_run(attempt.call_id, Reason.BUSY)

    def lose_link(self, attempt: Attempt) -> None:
        if attempt.agent_linked:
            attempt.agent_linked = False
            attempt.entry.table.outcome_unknown(attempt.call_id)

    def _check_send(self, attempt: Attempt, send: Send) -> None:
        assert attempt.stage == "", "a call was sent twice"
        assert attempt.reply is None and not attempt.caller_disconnected
        attempt.stage = "sending"
        attempt.claim_id = send.claim_id
        possible_senders = [
            other
            for other in self.attempts.values()
            if other.scope == attempt.scope and other.claim_id and not other.refused_by_agent
        ]
        assert len(possible_senders) == 1, "two claims on one key may send"

    def _check_reply(self, attempt: Attempt, reply: Answer | Refuse) -> None:
        assert attempt.reply is None, "a caller was answered twice"
        attempt.reply = reply
        if isinstance(reply, Answer):
            assert (reply.body, attempt.digest) in self.executions[attempt.scope.key.text]
        elif reply.ran is ExecutionStatus.NOT_RUN:
            status = attempt.entry.table.lookup(attempt.scope, attempt.digest)
            assert status.state is not ScopeState.DONE, "a known result was not returned"
            if reply.reason is not Reason.KEY_REUSED:
                holding_claim_id = attempt.entry.table.status_of(attempt.scope).claim_id
                executed = [
                    o
                    for o in self.attempts.values()
                    if o.executed and o.claim_id == holding_claim_id
                ]
                assert not executed, "the view showed that the call may have run"
        else:
            holding_claim_id = attempt.entry.table.status_of(attempt.scope).claim_id
            may_be_held = holding_claim_id or self.has_aged_out(attempt)
            assert attempt.claim_id or may_be_held, "a call that did not run is reported as unknown"
            assert not attempt.refused_by_agent or not attempt.agent_linked

    def has_aged_out(self, attempt: Attempt) -> bool:
        last_time = attempt.entry.table.view(attempt.scope).last_time
        return last_time > attempt.scope.key.created_at + CFG.window_s + CFG.margin_s

    def check(self) -> None:
        """Checks the conditions that must hold after each step."""
        for key, executions in self.executions.items():
            assert len(executions) <= 1, f"the call of key {key} ran {len(executions)} times"
        for attempt in self.attempts.values():
            if isinstance(attempt.reply, Refuse) and attempt.reply.ran is ExecutionStatus.NOT_RUN:
                assert not attempt.executed, "a call was refused as not run but ran"
                assert attempt.stage in ("", "over"), "a refused call can still run"
        assert not self.log.unexpected_duplicates(), (
            "a record was appended again without a read-back"
        )
        for entry in self.entries:
            self._check_view(entry)

    def _check_view(self, entry: Entry) -> None:
        scopes = {attempt.scope for attempt in self.attempts.values()}
        view = entry.table.view(next(iter(scopes))) if scopes else None
        if view is None:
            return
        retained = {
            s for s in scopes if s.key.created_at >= view.last_time - CFG.window_s - CFG.margin_s
        }
        assert len(view) <= len(retained), "scopes past their window stay in memory"
        for scope in retained:
            if view.complete_for(scope.key):
                history = self.log.history_of(view.era)
                claim, outcome = reference_state(history[: view.next_offset], scope)
                assert view.holding_claim_id(scope) == (claim["claim_id"] if claim else None)
                assert (view.outcome(scope) is None) == (outcome is None)
