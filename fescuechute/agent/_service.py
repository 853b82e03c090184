"""Execution of calls on the plain service of this agent.

A call under a claim is completed even if its entry disconnects; this agent then records its outcome.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from blake3 import blake3

from fescuechute.agent._recorder import ClaimRecorder
from fescuechute.agent._work import WorkRow, WorkTable
from fescuechute.claims import OutcomeRecord, ReleaseRecord, holder_of
from fescuechute.errors import ExecutionStatus, Reason
from fescuechute.net import HttpResult
from fescuechute.wire import Accepted, Call, End, Failed

if TYPE_CHECKING:
    from fescuechute.agent._daemon import AgentDaemon

#: Seconds without data from the service after which a repeatable call fails.
SILENCE_S = 2.5
#: Seconds after its deadline for which the outcome of a call under a claim is awaited. Without this
#: time, the outcome of the key would stay unknown if the service answers shortly after the deadline.
OUTCOME_WAIT_S = 30.0


class ServiceExecutor:
    """Sends calls to the service and keeps known outcomes until they are recorded."""

    def __init__(self, node: AgentDaemon, table: WorkTable, service: tuple[str, int]):
        self._node = node
        self._table = table
        self._service = service
        self._recorder = ClaimRecorder(node)
        #: Request ids of running calls whose entry has disconnected.
        self._orphaned_ids: set[str] = set()

    def start(self, row: WorkRow) -> None:
        """Sends a call to the service."""
        msg = row.msg
        assert isinstance(msg, Call)
        body = {
            "key": msg.key,
            "arguments": json.loads(msg.arguments),
            "request_id": msg.request_id,
        }
        has_claim = bool(msg.claim_id)
        row.call = self._node.http.call(
            "POST",
            self._service,
            f"/operations/{msg.operation}",
            lambda result: self._on_end(row, result),
            body=json.dumps(body).encode(),
            idle_timeout_s=self._idle_timeout_s(msg),
            new_connection=has_claim,
        )
        self._node.hub.send(row.peer_id, Accepted(msg.request_id, msg.attempt))

    def _idle_timeout_s(self, msg: Call) -> float:
        if not msg.claim_id:
            return SILENCE_S
        return max(SILENCE_S, msg.deadline - self._node.clock.now()) + OUTCOME_WAIT_S

    def cancel(self, row: WorkRow) -> None:
        """Cancels a call, unless it is under a claim, because it may have taken effect."""
        if row.call is not None and not self._has_claim(row):
            self._node.http.cancel(row.call)

    def handle_link_down(self, row: WorkRow) -> bool:
        """Returns whether the call continues; under a claim it does, and its outcome is recorded."""
        if self._has_claim(row):
            self._orphaned_ids.add(row.msg.request_id)
            return True
        return False

    def handle_dropped(self, row: WorkRow) -> None:
        """Releases the claim of a call that was not run and whose entry cannot be told so.

        The release is safe: the entry sends the call to another agent only after a refusal by this one,
        which it has not received.
        """
        msg = row.msg
        if isinstance(msg, Call) and msg.claim_id:
            release = ReleaseRecord(msg.claim_id, holder_of(msg.claim_id))
            self._recorder.keep(row.peer_id, msg.partition, release, orphaned=True)

    def peer_down(self, peer_id: str) -> None:
        """Marks for append the records that a disconnected entry may not have appended."""
        self._recorder.peer_down(peer_id)

    def tick(self, now: float) -> None:
        """Appends records of disconnected entries and drops old ones."""
        self._recorder.tick(now)

    @property
    def unrecorded(self) -> int:
        """Number of records that this agent must still append."""
        return self._recorder.unrecorded

    def _has_claim(self, row: WorkRow) -> bool:
        return isinstance(row.msg, Call) and bool(row.msg.claim_id)

    def _on_end(self, row: WorkRow, result: HttpResult) -> None:
        msg = row.msg
        now = self._node.clock.now()
        if not result.sent and not result.status:
            if msg.request_id in self._orphaned_ids:
                self.handle_dropped(row)
            else:
                self._table.refuse(row.peer_id, msg, Reason.NO_UPSTREAM, now)
        elif result.error or result.status >= 500:
            self._fail(row, result)
        else:
            self._complete(row, result)
        self._orphaned_ids.discard(msg.request_id)
        self._table.finish(row, now)

    def _complete(self, row: WorkRow, result: HttpResult) -> None:
        msg = row.msg
        assert isinstance(msg, Call)
        payload = result.json()
        content = payload if isinstance(payload, dict) else {"error": "the answer is not JSON"}
        body = json.dumps({**content, "status": result.status}, sort_keys=True)
        if self._has_claim(row):
            record = OutcomeRecord(msg.claim_id, result.status, body)
            orphaned = msg.request_id in self._orphaned_ids
            self._recorder.keep(row.peer_id, msg.partition, record, orphaned)
        digest = blake3(body.encode()).hexdigest()
        self._node.hub.send(row.peer_id, End(msg.request_id, msg.attempt, 0, digest, "", body))

    def _fail(self, row: WorkRow, result: HttpResult) -> None:
        msg = row.msg
        reason = Reason.OUTCOME_UNKNOWN if self._has_claim(row) else Reason.UPSTREAM_LOST
        self._node.count(f"failed.{reason}")
        text = f"The service did not answer: {result.error or result.status}."
        ran = str(ExecutionStatus.UNKNOWN)
        failed = Failed(msg.request_id, msg.attempt, str(reason), ran, False, text)
        self._node.hub.send(row.peer_id, failed)
