"""Handling of model requests: routing by version, assembly of answers, retries and resumption."""

from __future__ import annotations

from typing import TYPE_CHECKING

import blake3

from fescuechute.entry._dispatch import RETRY_AFTER_S
from fescuechute.entry._rows import ModelRow, RequestRow
from fescuechute.entry._upstreams import served_versions
from fescuechute.entry._validate import GenerateRequest
from fescuechute.errors import ExecutionStatus, Reason, RefusedError
from fescuechute.routing import UpstreamRow, Verdict, next_attempt_at, prefix_fingerprints
from fescuechute.streams import Assembly, ModelIdentity, can_restart, can_resume
from fescuechute.web import Responder
from fescuechute.wire import End, Failed, Generate, Message, Piece

if TYPE_CHECKING:
    from fescuechute.entry._daemon import EntryDaemon

#: Characters per token in the cost estimate of a prompt.
_CHARS_PER_TOKEN = 4
#: Failures after which a request may be retried at another upstream.
_RETRYABLE = (Reason.UPSTREAM_LOST, Reason.INCOMPLETE_ANSWER, Reason.WRONG_VERSION)

#: Seconds for which a partly delivered stream waits while no upstream holds its versions. A restarted
#: engine has loaded them again after about a second; after a rollout they do not return.
RESUME_WAIT_S = 2.0


class ModelRequestHandler:
    """Handles model requests: submits them, builds their attempts and answers the callers."""

    def __init__(self, node: EntryDaemon):
        self._node = node
        #: Exponentially weighted seconds per token by model, including the time to the first token.
        self._token_time_s: dict[str, float] = {}
        node.dispatcher.register_route(ModelRow, self._route)

    def submit(self, request_id: str, req: GenerateRequest, responder: Responder) -> None:
        """Accepts a request.

        Raises:
          RefusedError: If the request cannot be served.
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
            estimated_run_s=req.max_tokens * self._token_time_s.get(req.model, 0.0),
        )
        if self._node.quarantine.verdict(row.fingerprint) is Verdict.QUARANTINED:
            raise RefusedError(Reason.QUARANTINED, "This content has crashed upstreams.")
        responder.on_disconnect = lambda: self._on_caller_disconnect(row)
        self._node.retry_budget.record_first_attempt()
        self._node.dispatcher.submit(row, now)

    def handle_piece(self, row: RequestRow, msg: Piece) -> None:
        """Adds tokens to the answer; passes them on in order if the caller streams."""
        assert isinstance(row, ModelRow)
        try:
            tokens = row.assembly.add(msg.attempt, msg.seq, msg.tokens, msg.request_id)
        except RefusedError as exc:
            self._handle_inconsistent_answer(row, exc)
            return
        if tokens and row.req.stream:
            seq = len(row.assembly.tokens) - len(tokens)
            row.responder.push({"seq": seq, "text": "".join(tokens)})

    def handle_end(self, row: RequestRow, msg: End) -> None:
        """Completes the answer if all tokens have arrived and the digest matches."""
        assert isinstance(row, ModelRow)
        try:
            row.assembly.finish(msg.attempt, msg.count, msg.digest, msg.request_id)
            if not row.assembly.complete:
                raise row.assembly.abandon("the end arrived before all tokens")
        except RefusedError as exc:
            self._handle_inconsistent_answer(row, exc)
            return
        if row.solo:
            self._node.quarantine.clear(row.fingerprint)
        prompt_cost = len(row.req.prompt) / _CHARS_PER_TOKEN
        self._node.dispatcher.report_usage(row, prompt_cost + msg.count)
        self._update_token_time(row, msg.count)
        self._node.dispatcher.finish(row)
        self._node.count(f"answered.{row.rank}")
        self._send_answer(row, msg)

    def handle_failure(self, row: RequestRow, reason: Reason, msg: Failed | None) -> None:
        """Retries the request if that is allowed, or refuses it."""
        assert isinstance(row, ModelRow)
        now = self._node.clock.now()
        row.failed_attempts += 1
        row.failed_at = now
        self._node.dispatcher.report_usage(row, len(row.assembly.tokens))
        row.assembly.abandon("the attempt failed")
        # The tokens received so far are not generated again. With the whole length, the queue would
        # refuse a resumption that can still meet its deadline.
        tokens_left = row.req.max_tokens - len(row.assembly.tokens)
        row.estimated_run_s = tokens_left * self._token_time_s.get(row.req.model, 0.0)
        row.cost = tokens_left + len(row.req.prompt) / _CHARS_PER_TOKEN
        if reason is Reason.DEADLINE_PASSED:
            self._refuse(row, RefusedError(reason, "The deadline has passed.", ran=row.ran))
            return
        if reason not in _RETRYABLE or not self._may_retry(row, now):
            found = msg.message if msg is not None else "The link to the upstream was lost."
            self._refuse(
                row,
                RefusedError(
                    reason, found, ran=ExecutionStatus.PARTIAL, retry_at=now + RETRY_AFTER_S
                ),
            )
            return
        self._node.count(f"retried.{reason}")
        row.not_before = next_attempt_at(row.failed_attempts, now, self._node.rng)
        self._node.dispatcher.requeue_at(row, row.not_before)

    def handle_give_up(self, row: RequestRow, reason: Reason, retry_at: float | None) -> None:
        """Refuses a request that no upstream accepted."""
        found = f"No upstream took the request in time ({reason})."
        self._refuse(row, RefusedError(reason, found, ran=row.ran, retry_at=retry_at))

    def _check_declared(self, req: GenerateRequest) -> None:
        proc = self._node.cfg.process
        state = self._node.notes.ledger.state
        declared = {
            (r.kind, r.name) for r in state.declared_for(req.model, proc.region, proc.data_centre)
        }
        required = [("model", req.model, Reason.UNKNOWN_MODEL)]
        if req.adapter:
            required.append(("adapter", req.adapter, Reason.UNKNOWN_ADAPTER))
        for kind, name, reason in required:
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
        model_and_adapter = (row.req.model, row.req.adapter)
        partial_versions = row.served if row.assembly.tokens else None
        # Once the caller has received tokens, only the same versions may continue the answer.
        required_versions = (
            None if partial_versions is None or can_restart(1, row.req.stream) else partial_versions
        )
        upstream = self._choose(row, now, solo, model_and_adapter, required_versions)
        served = served_versions(upstream, model_and_adapter) if upstream is not None else None
        if upstream is None or served is None:
            if required_versions is not None:
                self._check_resumable(row, model_and_adapter, required_versions, now)
            return None
        resume = (
            row.assembly.tokens if partial_versions and can_resume(partial_versions, served) else ()
        )
        row.attempt += 1
        row.solo = solo
        row.served = served
        try:
            row.assembly.start_attempt(row.attempt, len(resume))
        except RefusedError as exc:
            # The caller has received inconsistent tokens, so the answer cannot be continued.
            self._refuse(row, exc)
            return None
        return upstream, _build_message(row, served, resume)

    def _choose(
        self,
        row: ModelRow,
        now: float,
        solo: bool,
        model_and_adapter: tuple[str, str],
        required_versions: ModelIdentity | None,
    ) -> UpstreamRow | None:
        quarantine = self._node.quarantine
        return self._node.upstreams.choose(
            row.pool,
            now,
            prefixes=row.prefixes,
            solo=row.fingerprint if solo else "",
            crashed=quarantine.crashed_agents(row.fingerprint) if solo else frozenset(),
            model_and_adapter=model_and_adapter,
            required_versions=required_versions,
        )

    def _check_resumable(
        self,
        row: ModelRow,
        model_and_adapter: tuple[str, str],
        partial_versions: ModelIdentity,
        now: float,
    ) -> None:
        """Refuses the rest of a partly delivered stream if no upstream can continue it."""
        if now < row.failed_at + RESUME_WAIT_S or self._node.upstreams.has_versions(
            row.pool, model_and_adapter, partial_versions
        ):
            return
        found = (
            f"No upstream holds version {partial_versions.version}, with which the answer began."
        )
        self._refuse(row, RefusedError(Reason.UPSTREAM_LOST, found, ran=ExecutionStatus.PARTIAL))

    def _update_token_time(self, row: ModelRow, count: int) -> None:
        if row.failed_attempts or not count:
            return
        seconds = (self._node.clock.now() - row.sent_at) / count
        known = self._token_time_s.get(row.req.model, seconds)
        self._token_time_s[row.req.model] = 0.9 * known + 0.1 * seconds

    def _may_retry(self, row: ModelRow, now: float) -> bool:
        if not row.responder.is_open or row.failed_attempts >= self._node.cfg.retry.max_attempts:
            return False
        if self._node.quarantine.verdict(row.fingerprint) is Verdict.QUARANTINED:
            return False
        if self._node.retry_budget.try_spend(now):
            return True
        self._node.count(f"refused.{Reason.RETRY_BUDGET}")
        return False

    def _handle_inconsistent_answer(self, row: ModelRow, exc: RefusedError) -> None:
        """Cancels an attempt whose messages are inconsistent, and handles it as failed."""
        self._node.count(f"broken.{exc.reason}")
        self._node.dispatcher.cancel_attempt(row)
        self.handle_failure(row, Reason.INCOMPLETE_ANSWER, None)

    def _send_answer(self, row: ModelRow, msg: End) -> None:
        end = {"count": msg.count, "digest": msg.digest, "version": msg.version}
        if row.req.stream:
            row.responder.push({"end": True, "request_id": row.request_id, **end})
            row.responder.end()
        else:
            whole = {"request_id": row.request_id, "text": row.assembly.text}
            row.responder.send_json(200, {**whole, "model": row.req.model, **end})

    def _refuse(self, row: RequestRow, exc: RefusedError) -> None:
        self._node.dispatcher.finish(row)
        self._node.refuse(row.responder, exc, row.request_id)

    def _on_caller_disconnect(self, row: ModelRow) -> None:
        self._node.count(f"refused.{Reason.CANCELLED}")
        self._node.dispatcher.finish(row)


def _build_message(row: ModelRow, served: ModelIdentity, resume: tuple[str, ...]) -> Generate:
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
    """Returns a digest of the parts of a request that reach the engine, independent of its sender."""
    content = "\0".join((req.model, req.adapter, str(req.max_tokens), req.prompt))
    return blake3.blake3(content.encode()).hexdigest(length=16)
