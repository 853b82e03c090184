"""Runs calls on the plain service beside this agent.

A call that must not be repeated is completed even when its entry is gone, and its outcome is then
recorded by this agent.
"""

from __future__ import annotations

import json
import secrets
from typing import TYPE_CHECKING

import attrs
from blake3 import blake3

from fescuechute.agent._work import WorkRow, WorkTable
from fescuechute.claims import OutcomeRecord
from fescuechute.errors import Ran, Reason
from fescuechute.net import HttpResult
from fescuechute.wire import Accepted, Call, End, Failed

if TYPE_CHECKING:
    from fescuechute.agent._daemon import AgentDaemon

#: Seconds for which a known outcome is kept, in case its entry dies before recording it.
KEEP_OUTCOMES_S = 60.0
#: Seconds between attempts to append an outcome.
APPEND_RETRY_S = 0.5
#: Seconds without an answer after which a call that may be repeated counts as lost.
SILENCE_S = 2.5


@attrs.define(eq=False)
class _Outcome:
    """A known outcome of a call under a claim."""

    peer_id: str
    partition: int
    record: OutcomeRecord
    keep_until: float
    #: Whether this agent has to append it.
    orphaned: bool = False
    record_id: str = attrs.field(factory=lambda: secrets.token_hex(8))
    next_append_at: float = 0.0


class ServiceExecutor:
    """Passes calls to the service and keeps known outcomes until they are recorded."""

    def __init__(self, node: AgentDaemon, table: WorkTable, service: tuple[str, int]):
        self._node = node
        self._table = table
        self._service = service
        self._outcomes: dict[str, _Outcome] = {}
        self._orphans: set[str] = set()

    def start(self, row: WorkRow) -> None:
        """Sends a call to the service."""
        msg = row.msg
        assert isinstance(msg, Call)
        body = {
            "key": msg.key,
            "arguments": json.loads(msg.arguments),
            "request_id": msg.request_id,
        }
        keyed = bool(msg.claim_id)
        row.call = self._node.http.call(
            "POST",
            self._service,
            f"/operations/{msg.operation}",
            lambda result: self._ended(row, result),
            body=json.dumps(body).encode(),
            silence_s=max(SILENCE_S, msg.deadline - self._node.clock.now()) if keyed else SILENCE_S,
            fresh=keyed,
        )
        self._node.hub.send(row.peer_id, Accepted(msg.request_id, msg.attempt))

    def cancel(self, row: WorkRow) -> None:
        """Gives up a call. One under a claim goes on, because it may have taken effect."""
        if row.call is not None and not self._keyed(row):
            self._node.http.cancel(row.call)

    def link_down(self, row: WorkRow) -> bool:
        """Calls under a claim are completed and recorded."""
        if self._keyed(row):
            self._orphans.add(row.msg.request_id)
            return True
        return False

    def peer_gone(self, peer_id: str) -> None:
        """Records the outcomes that an entry may not have recorded before it went away."""
        for outcome in self._outcomes.values():
            if outcome.peer_id == peer_id:
                outcome.orphaned = True

    def tick(self, now: float) -> None:
        """Appends outcomes of entries that are gone and forgets old ones."""
        for claim_id, outcome in list(self._outcomes.items()):
            if outcome.orphaned and now >= outcome.next_append_at:
                self._append(outcome, now)
            elif not outcome.orphaned and now >= outcome.keep_until:
                del self._outcomes[claim_id]

    @property
    def unrecorded(self) -> int:
        """Outcomes that this agent still has to append."""
        return sum(outcome.orphaned for outcome in self._outcomes.values())

    def _keyed(self, row: WorkRow) -> bool:
        return isinstance(row.msg, Call) and bool(row.msg.claim_id)

    def _ended(self, row: WorkRow, result: HttpResult) -> None:
        msg = row.msg
        now = self._node.clock.now()
        if not result.sent and not result.status:
            self._table.refuse(row.peer_id, msg, Reason.NO_UPSTREAM, now)
        elif result.error or result.status >= 500:
            self._failed(row, result)
        else:
            self._complete(row, result, now)
        self._orphans.discard(msg.request_id)
        self._table.finished(row, now)

    def _complete(self, row: WorkRow, result: HttpResult, now: float) -> None:
        msg = row.msg
        assert isinstance(msg, Call)
        payload = result.json()
        shown = payload if isinstance(payload, dict) else {"error": "the answer is not JSON"}
        body = json.dumps({"status": result.status, **shown}, sort_keys=True)
        if self._keyed(row):
            record = OutcomeRecord(msg.claim_id, result.status, body)
            outcome = _Outcome(row.peer_id, msg.partition, record, now + KEEP_OUTCOMES_S)
            outcome.orphaned = msg.request_id in self._orphans
            self._outcomes[msg.claim_id] = outcome
        digest = blake3(body.encode()).hexdigest()
        self._node.hub.send(row.peer_id, End(msg.request_id, msg.attempt, 0, digest, "", body))

    def _failed(self, row: WorkRow, result: HttpResult) -> None:
        msg = row.msg
        reason = Reason.OUTCOME_UNKNOWN if self._keyed(row) else Reason.UPSTREAM_LOST
        self._node.count(f"failed.{reason}")
        text = f"The service did not answer: {result.error or result.status}."
        ran = str(Ran.UNKNOWN)
        failed = Failed(msg.request_id, msg.attempt, str(reason), ran, False, text)
        self._node.hub.send(row.peer_id, failed)

    def _append(self, outcome: _Outcome, now: float) -> None:
        outcome.next_append_at = now + APPEND_RETRY_S * 4
        body = {"records": [{"id": outcome.record_id, "data": outcome.record.to_data()}]}
        claim_id = outcome.record.claim_id

        def appended(result: HttpResult) -> None:
            if result.ok:
                self._node.count("outcomes.recorded_for_entry")
                self._outcomes.pop(claim_id, None)
            else:
                # The append may have taken effect; a second record with this id is folded once.
                outcome.next_append_at = self._node.clock.now() + APPEND_RETRY_S

        path = f"/streams/claims-{outcome.partition}/records"
        data = json.dumps(body).encode()
        self._node.http.call("POST", self._node.log_server, path, appended, body=data)
