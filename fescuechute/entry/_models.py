"""Model requests: routing by versions, whole answers, retries and resumption."""

from __future__ import annotations

from typing import TYPE_CHECKING

import blake3

from fescuechute.entry._rows import ModelRow, RequestRow
from fescuechute.entry._upstreams import served_by
from fescuechute.entry._validate import GenerateRequest
from fescuechute.errors import Ran, Reason, RefusedError
from fescuechute.routing import UpstreamRow, Verdict, backoff_at, prefix_fingerprints
from fescuechute.streams import Assembly, Served, can_restart, can_resume
from fescuechute.web import Responder
from fescuechute.wire import End, Failed, Generate, Message, Piece

if TYPE_CHECKING:
    from fescuechute.entry._daemon import EntryDaemon

#: Characters for each token in the cost estimate of a prompt.
_CHARS_PER_TOKEN = 4
#: Failures after which the same request may be tried again on another upstream.
_RETRIED = (Reason.UPSTREAM_LOST, Reason.INCOMPLETE_ANSWER, Reason.WRONG_VERSION)

#: Seconds for which a begun stream waits while no upstream holds its versions. A restarted engine
#: has them again after about a second; once a rollout has passed, none will.
RESUME_WAIT_S = 2.0


class ModelSystem:
    """Owner of model requests."""

    def __init__(self, node: EntryDaemon):
        self._node = node
        #: Seconds for a token by model, first token included, exponentially weighted.
        self._token_s: dict[str, float] = {}
        node.dispatcher.route(ModelRow, self._route)

    def submit(self, request_id: str, req: GenerateRequest, responder: Responder) -> None:
        """Takes a request in.

        Raises:
          RefusedError: If it cannot be served.
        """
        now = self._node.clock.now()
        self._check_declared(req)
        row = ModelRow(
            request_id,
            self,
            responder,
            req.workspace,
            req.rank,
            req.deadline,
            req.model,
            req.max_tokens + len(req.prompt) / _CHARS_PER_TOKEN,
            fingerprint=fingerprint(req),
            prefixes=prefix_fingerprints(req.prompt),
            req=req,
            assembly=Assembly(request_id, streamed=req.stream),
            estimated_run_s=req.max_tokens * self._token_s.get(req.model, 0.0),
        )
        if self._node.quarantine.verdict(row.fingerprint) is Verdict.QUARANTINED:
            raise RefusedError(Reason.QUARANTINED, "This content has crashed upstreams.")
        responder.on_gone = lambda: self._caller_gone(row)
        self._node.retry_budget.first_attempt()
        self._node.dispatcher.submit(row, now)

    def piece(self, row: RequestRow, msg: Piece) -> None:
        """Delivers tokens in order."""
        assert isinstance(row, ModelRow)
        try:
            tokens = row.assembly.add(msg.attempt, msg.seq, msg.tokens, msg.request_id)
        except RefusedError as exc:
            self._broken(row, exc)
            return
        if tokens and row.req.stream:
            seq = len(row.assembly.tokens) - len(tokens)
            row.responder.push({"seq": seq, "text": "".join(tokens)})

    def ended(self, row: RequestRow, msg: End) -> None:
        """Completes the answer if every token is there and the digest matches."""
        assert isinstance(row, ModelRow)
        try:
            row.assembly.finish(msg.attempt, msg.count, msg.digest, msg.request_id)
            if not row.assembly.complete:
                raise row.assembly.abandon("the end arrived before all tokens")
        except RefusedError as exc:
            self._broken(row, exc)
            return
        if row.solo:
            self._node.quarantine.completed(row.fingerprint)
        prompt_cost = len(row.req.prompt) / _CHARS_PER_TOKEN
        self._node.dispatcher.settle(row, prompt_cost + msg.count)
        self._learn_rate(row, msg.count)
        self._node.dispatcher.finish(row)
        self._node.count(f"answered.{row.rank}")
        self._answer(row, msg)

    def failed(self, row: RequestRow, reason: Reason, msg: Failed | None) -> None:
        """Tries the request again where that is safe, else tells the caller."""
        assert isinstance(row, ModelRow)
        now = self._node.clock.now()
        row.tries += 1
        row.lost_at = now
        self._node.dispatcher.settle(row, len(row.assembly.tokens))
        row.assembly.abandon("the attempt failed")
        # What has arrived is not produced again; with the whole length a resumption would be
        # refused although its deadline can be met.
        left = row.req.max_tokens - len(row.assembly.tokens)
        row.estimated_run_s = left * self._token_s.get(row.req.model, 0.0)
        row.cost = left + len(row.req.prompt) / _CHARS_PER_TOKEN
        if reason is Reason.DEADLINE_PASSED:
            self._refuse(row, RefusedError(reason, "The deadline has passed.", ran=row.ran))
            return
        if reason not in _RETRIED or not self._may_retry(row, now):
            found = msg.message if msg is not None else "The link to the upstream was lost."
            self._refuse(row, RefusedError(reason, found, ran=Ran.PARTIAL, retry_at=now + 1.0))
            return
        self._node.count(f"retried.{reason}")
        row.not_before = backoff_at(row.tries, now, self._node.rng)
        self._node.dispatcher.retry_at(row, row.not_before)

    def gave_up(self, row: RequestRow, reason: Reason, retry_at: float | None) -> None:
        """Refuses a request that no upstream took."""
        found = f"No upstream took the request in time ({reason})."
        self._refuse(row, RefusedError(reason, found, ran=row.ran, retry_at=retry_at))

    def _check_declared(self, req: GenerateRequest) -> None:
        proc = self._node.cfg.process
        state = self._node.notes.ledger.state
        declared = {
            (r.kind, r.name) for r in state.declared_for(req.model, proc.region, proc.data_centre)
        }
        wanted = [("model", req.model, Reason.UNKNOWN_MODEL)]
        if req.adapter:
            wanted.append(("adapter", req.adapter, Reason.UNKNOWN_ADAPTER))
        for kind, name, reason in wanted:
            if (kind, name) not in declared:
                found = f"No {kind} {name!r} is declared for region {proc.region}."
                raise RefusedError(reason, found)
            if not state.is_allowed(kind, name, req.workspace, proc.region, proc.data_centre):
                found = f"The note in force does not give {kind} {name!r} to {req.workspace!r}."
                raise RefusedError(Reason.UNKNOWN_WORKSPACE, found)

    def _route(self, row: RequestRow, now: float) -> tuple[UpstreamRow, Message] | None:
        assert isinstance(row, ModelRow)
        verdict = self._node.quarantine.verdict(row.fingerprint)
        if verdict is Verdict.QUARANTINED:
            found = "This content has crashed upstreams."
            self._refuse(row, RefusedError(Reason.QUARANTINED, found, ran=row.ran))
            return None
        if not self._node.quarantine.may_run(row.fingerprint, now):
            return None
        solo = verdict is Verdict.SUSPECT
        wanted = (row.req.model, row.req.adapter)
        begun = row.served if row.assembly.tokens else None
        # Once the caller has tokens, only the same versions may go on.
        exactly = None if begun is None or can_restart(1, row.req.stream) else begun
        upstream = self._choose(row, now, solo, wanted, exactly)
        served = served_by(upstream, wanted) if upstream is not None else None
        if upstream is None or served is None:
            if exactly is not None:
                self._check_resumable(row, wanted, exactly, now)
            return None
        resume = row.assembly.tokens if begun and can_resume(begun, served) else ()
        row.attempt += 1
        row.solo = solo
        row.served = served
        try:
            row.assembly.begin_attempt(row.attempt, len(resume))
        except RefusedError as exc:
            # Tokens that contradict each other have reached the caller; nothing can follow them.
            self._refuse(row, exc)
            return None
        return upstream, _message(row, served, resume)

    def _choose(
        self,
        row: ModelRow,
        now: float,
        solo: bool,
        wanted: tuple[str, str],
        exactly: Served | None,
    ) -> UpstreamRow | None:
        quarantine = self._node.quarantine
        return self._node.upstreams.choose(
            row.pool,
            now,
            prefixes=row.prefixes,
            solo=row.fingerprint if solo else "",
            crashed=quarantine.crashed_agents(row.fingerprint) if solo else frozenset(),
            wanted=wanted,
            exactly=exactly,
        )

    def _check_resumable(
        self, row: ModelRow, wanted: tuple[str, str], begun: Served, now: float
    ) -> None:
        """Refuses the rest of a begun stream that no upstream can go on with."""
        if now < row.lost_at + RESUME_WAIT_S or self._node.upstreams.holds(row.pool, wanted, begun):
            return
        found = f"No upstream holds version {begun.version}, with which the answer began."
        self._refuse(row, RefusedError(Reason.UPSTREAM_LOST, found, ran=Ran.PARTIAL))

    def _learn_rate(self, row: ModelRow, count: int) -> None:
        if row.tries or not count:
            return
        seconds = (self._node.clock.now() - row.sent_at) / count
        known = self._token_s.get(row.req.model, seconds)
        self._token_s[row.req.model] = 0.9 * known + 0.1 * seconds

    def _may_retry(self, row: ModelRow, now: float) -> bool:
        if not row.responder.is_open or row.tries >= self._node.cfg.retry.max_attempts:
            return False
        if self._node.quarantine.verdict(row.fingerprint) is Verdict.QUARANTINED:
            return False
        if self._node.retry_budget.try_spend(now):
            return True
        self._node.count(f"refused.{Reason.RETRY_BUDGET}")
        return False

    def _broken(self, row: ModelRow, exc: RefusedError) -> None:
        """The answer of this attempt contradicts itself."""
        self._node.count(f"broken.{exc.reason}")
        self._node.dispatcher.abandon_attempt(row)
        self.failed(row, Reason.INCOMPLETE_ANSWER, None)

    def _answer(self, row: ModelRow, msg: End) -> None:
        end = {"count": msg.count, "digest": msg.digest, "version": msg.version}
        if row.req.stream:
            row.responder.push({"end": True, "request_id": row.request_id, **end})
            row.responder.end()
        else:
            whole = {"request_id": row.request_id, "text": row.assembly.text}
            row.responder.send_json(200, {**whole, "model": row.req.model, **end})

    def _refuse(self, row: RequestRow, exc: RefusedError) -> None:
        self._node.dispatcher.finish(row)
        self._node.refused(row.responder, exc, row.request_id)

    def _caller_gone(self, row: ModelRow) -> None:
        self._node.count(f"refused.{Reason.CANCELLED}")
        self._node.dispatcher.finish(row)


def _message(row: ModelRow, served: Served, resume: tuple[str, ...]) -> Generate:
    req = row.req
    return Generate(
        row.request_id,
        row.attempt,
        req.model,
        served.version,
        req.adapter,
        served.adapter_version,
        req.workspace,
        req.rank,
        req.deadline,
        req.prompt,
        req.max_tokens,
        resume,
        row.fingerprint,
        row.solo,
    )


def fingerprint(req: GenerateRequest) -> str:
    """Returns the digest of what an engine would see of a request, whoever sends it."""
    content = "\0".join((req.model, req.adapter, str(req.max_tokens), req.prompt))
    return blake3.blake3(content.encode()).hexdigest(length=16)
