"""Runs calls on the plain service beside this agent.

A call that must not be repeated is completed even when its entry is gone, and its outcome is then
recorded by this agent.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from blake3 import blake3

from fescuechute.agent._recorder import ClaimRecorder
from fescuechute.agent._work import WorkRow, WorkTable
from fescuechute.claims import OutcomeRecord, ReleaseRecord, holder_of
from fescuechute.errors import Ran, Reason
from fescuechute.net import HttpResult
from fescuechute.wire import Accepted, Call, End, Failed

if TYPE_CHECKING:
    from fescuechute.agent._daemon import AgentDaemon

#: Seconds without an answer after which a call that may be repeated counts as lost.
SILENCE_S = 2.5
#: Seconds beyond its deadline for which the outcome of a call under a claim is awaited. Giving up
#: at the deadline would leave the key unknown although the service answers a little later.
OUTCOME_WAIT_S = 30.0


class ServiceExecutor:
    """Passes calls to the service and keeps known outcomes until they are recorded."""

    def __init__(self, node: AgentDaemon, table: WorkTable, service: tuple[str, int]):
        self._node = node
        self._table = table
        self._service = service
        self._recorder = ClaimRecorder(node)
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
            silence_s=self._silence_s(msg),
            fresh=keyed,
        )
        self._node.hub.send(row.peer_id, Accepted(msg.request_id, msg.attempt))

    def _silence_s(self, msg: Call) -> float:
        if not msg.claim_id:
            return SILENCE_S
        return max(SILENCE_S, msg.deadline - self._node.clock.now()) + OUTCOME_WAIT_S

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

    def dropped(self, row: WorkRow) -> None:
        """Releases the claim of a call that its gone entry cannot be told was not run.

        The entry sends a call elsewhere only after this agent refused it, so the claim is settled.
        """
        msg = row.msg
        if isinstance(msg, Call) and msg.claim_id:
            release = ReleaseRecord(msg.claim_id, holder_of(msg.claim_id))
            self._recorder.keep(row.peer_id, msg.partition, release, orphaned=True)

    def peer_gone(self, peer_id: str) -> None:
        """Records the outcomes that an entry may not have recorded before it went away."""
        self._recorder.peer_gone(peer_id)

    def tick(self, now: float) -> None:
        """Appends outcomes of entries that are gone and forgets old ones."""
        self._recorder.tick(now)

    @property
    def unrecorded(self) -> int:
        """Records that this agent still has to append."""
        return self._recorder.unrecorded

    def _keyed(self, row: WorkRow) -> bool:
        return isinstance(row.msg, Call) and bool(row.msg.claim_id)

    def _ended(self, row: WorkRow, result: HttpResult) -> None:
        msg = row.msg
        now = self._node.clock.now()
        if not result.sent and not result.status:
            if msg.request_id in self._orphans:
                self.dropped(row)
            else:
                self._table.refuse(row.peer_id, msg, Reason.NO_UPSTREAM, now)
        elif result.error or result.status >= 500:
            self._failed(row, result)
        else:
            self._complete(row, result)
        self._orphans.discard(msg.request_id)
        self._table.finished(row, now)

    def _complete(self, row: WorkRow, result: HttpResult) -> None:
        msg = row.msg
        assert isinstance(msg, Call)
        payload = result.json()
        shown = payload if isinstance(payload, dict) else {"error": "the answer is not JSON"}
        body = json.dumps({"status": result.status, **shown}, sort_keys=True)
        if self._keyed(row):
            record = OutcomeRecord(msg.claim_id, result.status, body)
            orphaned = msg.request_id in self._orphans
            self._recorder.keep(row.peer_id, msg.partition, record, orphaned)
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
