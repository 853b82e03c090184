"""Runs model requests on the engine beside this agent."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from fescuechute.agent._work import WorkRow, WorkTable
from fescuechute.errors import Ran, Reason
from fescuechute.net import HttpResult
from fescuechute.wire import Accepted, Crash, End, Failed, Generate, Piece

if TYPE_CHECKING:
    from fescuechute.agent._daemon import AgentDaemon

#: Seconds without a byte from the engine after which a running request counts as lost. Below the
#: 3 s in which a connection that went silent for good must be noticed.
SILENCE_S = 2.5
#: Seconds for the question whether the engine crashed, after a connection went silent. Together
#: with SILENCE_S it stays within those 3 s.
_CAUSE_AFTER_SILENCE_S = 0.4
#: The same after a connection ended, which is noticed at once.
_CAUSE_AFTER_END_S = 2.0
#: Times that the question is asked, and seconds between two of them. A process that is going down
#: may close a connection while its listener still accepts the next one.
_CAUSE_TRIES = 10
_CAUSE_AGAIN_S = 0.05


class EngineExecutor:
    """Streams answers from the engine and reports its crashes."""

    def __init__(self, node: AgentDaemon, table: WorkTable, engine: tuple[str, int]):
        self._node = node
        self._table = table
        self._engine = engine
        #: Requests whose connection ended early, while the cause is looked up.
        self._lost: dict[int, WorkRow] = {}
        self._tokens = 0
        self._rate_since = node.clock.now()
        #: Tokens a second over the last period.
        self.token_rate = 0.0

    def start(self, row: WorkRow) -> None:
        """Sends a request to the engine."""
        msg = row.msg
        assert isinstance(msg, Generate)
        row.count = len(msg.resume)
        row.boot_id = self._node.engine_boot_id
        body = {
            "request_id": f"{msg.request_id}/{msg.attempt}",
            "prompt": msg.prompt,
            "max_tokens": msg.max_tokens,
            "model": msg.model,
            "adapter": msg.adapter,
            "priority": msg.rank,
            "resume": list(msg.resume),
        }
        row.call = self._node.http.call(
            "POST",
            self._engine,
            "/generate",
            lambda result: self._ended(row, result),
            body=json.dumps(body).encode(),
            on_data=lambda data: self._received(row, data),
            silence_s=SILENCE_S,
        )
        self._node.hub.send(row.peer_id, Accepted(msg.request_id, msg.attempt))

    def cancel(self, row: WorkRow) -> None:
        """Cancels a request at the engine."""
        if row.call is not None:
            self._node.http.cancel(row.call)
        self._cancel_at_engine(row)

    def _cancel_at_engine(self, row: WorkRow) -> None:
        # A pooled connection may have gone silent together with that of the request.
        body = json.dumps({"request_id": f"{row.msg.request_id}/{row.msg.attempt}"}).encode()
        self._node.http.call(
            "POST", self._engine, "/cancel", lambda _result: None, body=body, fresh=True
        )

    def link_down(self, row: WorkRow) -> bool:
        """Model requests end with their entry: it retries them elsewhere."""
        return False

    def dropped(self, row: WorkRow) -> None:
        """Nothing was recorded of a model request."""

    def tick(self, now: float) -> None:
        """Updates the token rate."""
        elapsed = now - self._rate_since
        if elapsed >= 1.0:
            self.token_rate = 0.5 * self.token_rate + 0.5 * self._tokens / elapsed
            self._tokens, self._rate_since = 0, now

    def _received(self, row: WorkRow, data: bytes) -> None:
        lines = (row.partial + data).split(b"\n")
        row.partial = lines.pop()
        first = row.count
        tokens: list[str] = []
        for line in lines:
            item = _parse(line)
            if item.get("end"):
                row.end = item
            elif item.get("i") == first + len(tokens) and isinstance(item.get("t"), str):
                tokens.append(item["t"])
            elif line:
                self._node.count("engine.unexpected_line")
        if tokens:
            row.count += len(tokens)
            self._tokens += len(tokens)
            msg = row.msg
            piece = Piece(msg.request_id, msg.attempt, first, tuple(tokens))
            self._node.hub.send(row.peer_id, piece)

    def _ended(self, row: WorkRow, result: HttpResult) -> None:
        if result.ok and row.end is not None:
            self._complete(row, row.end)
        elif not result.sent and not result.status:
            self._refused(row, Reason.NO_UPSTREAM)
        elif not result.error and result.status in (404, 503):
            # The engine answered in full that it did not take the request.
            reason = Reason.SWITCHING if result.status == 503 else Reason.WRONG_VERSION
            self._refused(row, reason)
        elif not result.error:
            self._node.count("engine.refused")
            text = f"The engine answered {result.status}: {result.body[:200]!r}."
            self._failed(row, Reason.UPSTREAM_ERROR, crashed=False, text=text)
        else:
            self._look_up_cause(row, result)

    def _complete(self, row: WorkRow, end: dict[str, Any]) -> None:
        msg = row.msg
        assert isinstance(msg, Generate)
        versions = (end.get("version"), end.get("adapter_version") or "")
        if versions != (msg.version, msg.adapter_version):
            self._node.count("engine.version_mixed")
            text = f"The engine answered with version {versions[0]}, expected {msg.version}."
            self._failed(row, Reason.WRONG_VERSION, crashed=False, text=text)
            return
        count, digest = int(end.get("count", -1)), str(end.get("digest", ""))
        if count != row.count:
            text = f"The engine announced {count} tokens and sent {row.count}."
            self._failed(row, Reason.INCOMPLETE_ANSWER, crashed=False, text=text)
            return
        done = End(msg.request_id, msg.attempt, count, digest, msg.version, "")
        self._node.hub.send(row.peer_id, done)
        self._node.completed(msg)
        self._table.finished(row, self._node.clock.now())

    def _refused(self, row: WorkRow, reason: Reason) -> None:
        now = self._node.clock.now()
        self._table.refuse(row.peer_id, row.msg, reason, now)
        self._table.finished(row, now)

    def _failed(self, row: WorkRow, reason: Reason, *, crashed: bool, text: str) -> None:
        msg = row.msg
        self._node.count(f"failed.{reason}")
        ran = str(Ran.PARTIAL)
        failed = Failed(msg.request_id, msg.attempt, str(reason), ran, crashed, text)
        self._node.hub.send(row.peer_id, failed)
        self._table.finished(row, self._node.clock.now())

    def _look_up_cause(self, row: WorkRow, result: HttpResult) -> None:
        """Asks the engine whether it crashed before anyone is blamed or told."""
        self._lost[id(row)] = row
        if len(self._lost) == 1:
            silent = result.error == "silent"
            self._ask_cause(_CAUSE_AFTER_SILENCE_S if silent else _CAUSE_AFTER_END_S, 1)

    def _ask_cause(self, silence_s: float, tries: int) -> None:
        def answered(result: HttpResult) -> None:
            ended = bool(result.error) and result.sent and result.error != "silent"
            if ended and tries < _CAUSE_TRIES:
                again_at = self._node.clock.now() + _CAUSE_AGAIN_S
                self._node.loop.call_at(again_at, lambda: self._ask_cause(silence_s, tries + 1))
            else:
                self._cause_known(result)

        self._node.http.call(
            "GET", self._engine, "/state", answered, silence_s=silence_s, fresh=True
        )

    def _cause_known(self, result: HttpResult) -> None:
        body = result.json() if result.ok else None
        boot_id = body.get("boot_id") if isinstance(body, dict) else None
        # An engine that refuses connections is dead; one that is only slow answers late.
        answered = result.ok or not result.sent
        lost, self._lost = list(self._lost.values()), {}
        # The engine may have been read back since it restarted, so each request is compared with
        # the engine that it was sent to.
        dead = {row.boot_id for row in lost if answered and row.boot_id != boot_id}
        others = [r for r in self._table.running.values() if r.boot_id in dead and r not in lost]
        for row in others:
            if row.call is not None:
                self._node.http.cancel(row.call)
        for old in dead:
            self._report_crash(old, [row for row in lost + others if row.boot_id == old])
        for row in lost + others:
            crashed = row.boot_id in dead
            if not crashed:
                # The engine may not notice that the connection is gone, and would go on.
                self._cancel_at_engine(row)
            text = "The engine crashed." if crashed else "The engine's answer broke off."
            self._failed(row, Reason.UPSTREAM_LOST, crashed=crashed, text=text)

    def _report_crash(self, boot_id: str, rows: list[WorkRow]) -> None:
        prints = {row.msg.fingerprint for row in rows if isinstance(row.msg, Generate)}
        crash_id = f"{self._node.cfg.process.id}/{boot_id}"
        crash = Crash(crash_id, tuple(sorted(prints)), self._node.clock.now())
        if boot_id == self._node.engine_boot_id:
            self._node.engine_crashed()
        self._node.report_crash(crash)


def _parse(line: bytes) -> dict[str, Any]:
    try:
        item = json.loads(line) if line else {}
    except ValueError:
        return {}
    return item if isinstance(item, dict) else {}
