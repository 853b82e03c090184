"""Execution of model requests on the engine of this agent."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from fescuechute.agent._work import WorkRow, WorkTable
from fescuechute.errors import ExecutionStatus, Reason
from fescuechute.net import HttpResult
from fescuechute.wire import Accepted, Crash, End, Failed, Generate, Piece

if TYPE_CHECKING:
    from fescuechute.agent._daemon import AgentDaemon

#: Seconds without data from the engine after which a running request fails. Below the 3 s in which a
#: dead connection must be detected.
SILENCE_S = 2.5
#: Timeout in seconds of the state query that detects a crash, after a connection has become silent.
#: The sum with SILENCE_S stays below these 3 s.
_STATE_TIMEOUT_AFTER_SILENCE_S = 0.4
#: The same after a connection was closed, which is detected at once.
_STATE_TIMEOUT_AFTER_CLOSE_S = 2.0
#: Maximum number of state queries after an interrupted request, and seconds between two of them. A
#: terminating process may close a connection while its listener still accepts the next one.
_MAX_STATE_QUERIES = 10
_STATE_QUERY_DELAY_S = 0.05
#: Limit on an incomplete line of the engine's answer, in bytes; a line holds one token.
_MAX_LINE_BYTES = 1 << 20
#: Minimum seconds between two updates of the token rate.
_RATE_PERIOD_S = 1.0


class EngineExecutor:
    """Streams answers from the engine to entries and reports crashes of the engine."""

    def __init__(self, node: AgentDaemon, table: WorkTable, engine: tuple[str, int]):
        self._node = node
        self._table = table
        self._engine = engine
        #: Requests whose connection failed, by object id, until it is known whether the engine crashed.
        self._interrupted: dict[int, WorkRow] = {}
        self._tokens_in_period = 0
        self._period_start = node.clock.now()
        #: Exponentially weighted tokens per second.
        self.token_rate = 0.0

    def start(self, row: WorkRow) -> None:
        """Sends a request to the engine."""
        msg = row.msg
        assert isinstance(msg, Generate)
        row.token_count = len(msg.resume)
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
            lambda result: self._on_end(row, result),
            body=json.dumps(body).encode(),
            on_data=lambda data: self._on_data(row, data),
            idle_timeout_s=SILENCE_S,
        )
        self._node.hub.send(row.peer_id, Accepted(msg.request_id, msg.attempt))

    def cancel(self, row: WorkRow) -> None:
        """Cancels a request at the engine."""
        if row.call is not None:
            self._node.http.cancel(row.call)
        self._cancel_at_engine(row)

    def _cancel_at_engine(self, row: WorkRow) -> None:
        # A pooled connection may be dead for the same reason as that of the request.
        body = json.dumps({"request_id": f"{row.msg.request_id}/{row.msg.attempt}"}).encode()
        self._node.http.call(
            "POST", self._engine, "/cancel", lambda _result: None, body=body, new_connection=True
        )

    def handle_link_down(self, row: WorkRow) -> bool:
        """Returns False, so that the request is cancelled: the entry retries it at another upstream."""
        return False

    def handle_dropped(self, row: WorkRow) -> None:
        """Does nothing, because there is no claim to release."""

    def tick(self, now: float) -> None:
        """Updates the token rate once per period."""
        elapsed = now - self._period_start
        if elapsed >= _RATE_PERIOD_S:
            self.token_rate = 0.5 * self.token_rate + 0.5 * self._tokens_in_period / elapsed
            self._tokens_in_period, self._period_start = 0, now

    def _on_data(self, row: WorkRow, data: bytes) -> None:
        lines = (row.partial_line + data).split(b"\n")
        row.partial_line = lines.pop()
        if len(row.partial_line) > _MAX_LINE_BYTES:
            self._fail_endless(row, f"a line of more than {_MAX_LINE_BYTES} bytes")
            return
        first = row.token_count
        tokens: list[str] = []
        for line in lines:
            item = _parse(line)
            if item.get("end"):
                row.end_line = item
            elif item.get("i") == first + len(tokens) and isinstance(item.get("t"), str):
                tokens.append(item["t"])
            elif line:
                self._node.count("engine.unexpected_line")
        assert isinstance(row.msg, Generate)
        if row.token_count + len(tokens) > row.msg.max_tokens:
            self._fail_endless(row, f"more than {row.msg.max_tokens} tokens")
            return
        if tokens:
            row.token_count += len(tokens)
            self._tokens_in_period += len(tokens)
            msg = row.msg
            piece = Piece(msg.request_id, msg.attempt, first, tuple(tokens))
            self._node.hub.send(row.peer_id, piece)

    def _fail_endless(self, row: WorkRow, found: str) -> None:
        self._node.count("engine.endless_line")
        row.partial_line = b""
        self.cancel(row)
        text = f"The engine's answer has {found}."
        self._fail(row, Reason.UPSTREAM_ERROR, crashed=False, text=text)

    def _on_end(self, row: WorkRow, result: HttpResult) -> None:
        if result.ok and row.end_line is not None:
            self._complete(row, row.end_line)
        elif not result.sent and not result.status:
            self._refuse(row, Reason.NO_UPSTREAM)
        elif not result.error and result.status in (404, 503):
            # The engine refused the request with a complete response, so it did not run it.
            reason = Reason.SWITCHING if result.status == 503 else Reason.WRONG_VERSION
            self._refuse(row, reason)
        elif not result.error:
            self._node.count("engine.refused")
            text = f"The engine answered {result.status}: {result.body[:200]!r}."
            self._fail(row, Reason.UPSTREAM_ERROR, crashed=False, text=text)
        else:
            self._check_for_crash(row, result)

    def _complete(self, row: WorkRow, end: dict[str, Any]) -> None:
        msg = row.msg
        assert isinstance(msg, Generate)
        versions = (end.get("version"), end.get("adapter_version") or "")
        if versions != (msg.version, msg.adapter_version):
            self._node.count("engine.version_mixed")
            text = f"The engine answered with version {versions[0]}, expected {msg.version}."
            self._fail(row, Reason.WRONG_VERSION, crashed=False, text=text)
            return
        count, digest = int(end.get("count", -1)), str(end.get("digest", ""))
        if count != row.token_count:
            text = f"The engine announced {count} tokens and sent {row.token_count}."
            self._fail(row, Reason.INCOMPLETE_ANSWER, crashed=False, text=text)
            return
        done = End(msg.request_id, msg.attempt, count, digest, msg.version, "")
        self._node.hub.send(row.peer_id, done)
        self._node.on_completed(msg)
        self._table.finish(row, self._node.clock.now())

    def _refuse(self, row: WorkRow, reason: Reason) -> None:
        now = self._node.clock.now()
        self._table.refuse(row.peer_id, row.msg, reason, now)
        self._table.finish(row, now)

    def _fail(self, row: WorkRow, reason: Reason, *, crashed: bool, text: str) -> None:
        msg = row.msg
        self._node.count(f"failed.{reason}")
        ran = str(ExecutionStatus.PARTIAL)
        failed = Failed(msg.request_id, msg.attempt, str(reason), ran, crashed, text)
        self._node.hub.send(row.peer_id, failed)
        self._table.finish(row, self._node.clock.now())

    def _check_for_crash(self, row: WorkRow, result: HttpResult) -> None:
        """Queries the engine's state, which decides whether the request failed because of a crash."""
        self._interrupted[id(row)] = row
        if len(self._interrupted) == 1:
            silent = result.error == "silent"
            self._query_state(
                _STATE_TIMEOUT_AFTER_SILENCE_S if silent else _STATE_TIMEOUT_AFTER_CLOSE_S, 1
            )

    def _query_state(self, idle_timeout_s: float, query_count: int) -> None:
        def on_result(result: HttpResult) -> None:
            closed_early = bool(result.error) and result.sent and result.error != "silent"
            if closed_early and query_count < _MAX_STATE_QUERIES:
                next_query_at = self._node.clock.now() + _STATE_QUERY_DELAY_S
                self._node.loop.call_at(
                    next_query_at, lambda: self._query_state(idle_timeout_s, query_count + 1)
                )
            else:
                self._on_state(result)

        self._node.http.call(
            "GET",
            self._engine,
            "/state",
            on_result,
            idle_timeout_s=idle_timeout_s,
            new_connection=True,
        )

    def _on_state(self, result: HttpResult) -> None:
        body = result.json() if result.ok else None
        boot_id = body.get("boot_id") if isinstance(body, dict) else None
        # A query without an answer does not show whether the engine crashed. A refused connection shows
        # that the engine is down; a slow engine would accept the connection.
        conclusive = result.ok or not result.sent
        interrupted, self._interrupted = list(self._interrupted.values()), {}
        # The agent may already have read the boot id of the restarted engine, so the boot id is compared
        # with the one at the start of each request.
        crashed_boot_ids = {
            row.boot_id for row in interrupted if conclusive and row.boot_id != boot_id
        }
        affected = [
            r
            for r in self._table.running.values()
            if r.boot_id in crashed_boot_ids and r not in interrupted
        ]
        for row in affected:
            if row.call is not None:
                self._node.http.cancel(row.call)
        for crashed_boot_id in crashed_boot_ids:
            self._report_crash(
                crashed_boot_id,
                [row for row in interrupted + affected if row.boot_id == crashed_boot_id],
            )
        for row in interrupted + affected:
            crashed = row.boot_id in crashed_boot_ids
            if not crashed:
                # The engine may not detect that the connection failed, and would keep generating.
                self._cancel_at_engine(row)
            text = "The engine crashed." if crashed else "The engine's answer broke off."
            self._fail(row, Reason.UPSTREAM_LOST, crashed=crashed, text=text)

    def _report_crash(self, boot_id: str, rows: list[WorkRow]) -> None:
        fingerprints = {row.msg.fingerprint for row in rows if isinstance(row.msg, Generate)}
        crash_id = f"{self._node.cfg.process.id}/{boot_id}"
        crash = Crash(crash_id, tuple(sorted(fingerprints)), self._node.clock.now())
        if boot_id == self._node.engine_boot_id:
            self._node.on_engine_crashed()
        self._node.report_crash(crash)


def _parse(line: bytes) -> dict[str, Any]:
    try:
        item = json.loads(line) if line else {}
    except ValueError:
        return {}
    return item if isinstance(item, dict) else {}
