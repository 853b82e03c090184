"""Callers of non-repeatable calls, and what each of them saw."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs

#: Seconds that a caller waits beyond its deadline before it gives up.
GRACE_S = 4.0


@attrs.define
class CallSeen:
    """One attempt of a caller. Times are unix seconds."""

    key: str
    arguments: str
    port: int
    sent_at: float
    #: Seconds that the entry was given.
    timeout_s: float
    #: Whether the attempt was made after the system had settled.
    final: bool = False
    ended_at: float = 0.0
    #: HTTP status, 0 when no complete answer arrived.
    status: int = 0
    request_id: str = ""
    #: The result as JSON text, for an answer.
    result: str = ""
    #: Refusal reason and what it says of the call.
    reason: str = ""
    ran: str = ""
    #: Retry time in unix seconds, 0 when none was given.
    retry_at: float = 0.0

    @property
    def answered(self) -> bool:
        """Whether the result arrived."""
        return self.status == 200

    @property
    def lost(self) -> bool:
        """Whether the connection ended without a complete answer."""
        return self.status == 0

    @property
    def took_s(self) -> float:
        """Seconds until the answer."""
        return self.ended_at - self.sent_at


@attrs.define
class Caller:
    """Sends calls of one operation and keeps what it saw of each."""

    workspace: str = "w1"
    service: str = "booking"
    operation: str = "book"
    rows: list[CallSeen] = attrs.field(factory=list)
    _session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Caller:
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._session is not None
        await self._session.close()

    async def call(
        self,
        port: int,
        key: str,
        arguments: dict[str, Any] | None = None,
        timeout_s: float = 5.0,
        final: bool = False,
        rank: str = "ordinary",
    ) -> CallSeen:
        """Sends one call and returns what came of it."""
        arguments = {"key": key} if arguments is None else arguments
        text = json.dumps(arguments, sort_keys=True)
        seen = CallSeen(key, text, port, time.time(), timeout_s, final)
        self.rows.append(seen)
        body: dict[str, Any] = {
            "workspace": self.workspace,
            "rank": rank,
            "service": self.service,
            "operation": self.operation,
            "arguments": arguments,
            "deadline_unix_ms": int((seen.sent_at + timeout_s) * 1000),
        }
        if key:
            body["idempotency_key"] = key
        assert self._session is not None
        try:
            async with asyncio.timeout(timeout_s + GRACE_S):
                url = f"http://127.0.0.1:{port}/v1/call"
                async with self._session.post(url, json=body) as res:
                    answer = json.loads(await res.read())
                    _note(seen, res.status, answer)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            seen.reason = f"lost: {exc!r}"
        seen.ended_at = time.time()
        return seen

    async def call_until_known(
        self, ports: Sequence[int], key: str, tries: int = 4, timeout_s: float = 4.0
    ) -> CallSeen:
        """Sends one key to one port after the other until its result arrives."""
        for number in range(tries):
            seen = await self.call(ports[number % len(ports)], key, timeout_s=timeout_s)
            if seen.answered:
                break
            await asyncio.sleep(min(1.0, max(0.05, seen.retry_at - time.time())))
        return seen

    async def paced(
        self, count: int, per_s: float, rng: random.Random, make: Any
    ) -> list[asyncio.Task[Any]]:
        """Starts `make(number)` for each number with exponential gaps; returns the tasks."""
        tasks = []
        for number in range(count):
            tasks.append(asyncio.create_task(make(number)))
            await asyncio.sleep(rng.expovariate(per_s))
        return tasks

    async def resend_all(self, port: int, timeout_s: float = 3.0) -> list[CallSeen]:
        """Sends every key seen so far once more, with its first content."""
        first: dict[str, str] = {}
        for row in self.rows:
            first.setdefault(row.key, row.arguments)
        calls = [
            self.call(port, key, json.loads(arguments), timeout_s, final=True)
            for key, arguments in first.items()
        ]
        return list(await asyncio.gather(*calls))

    @staticmethod
    def new_key(label: str = "key") -> str:
        """Returns an idempotency key of the present time."""
        return f"{int(time.time() * 1000)}-{label}_{secrets.token_hex(6)}"


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile by the nearest rank, 0.0 for no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _note(seen: CallSeen, status: int, answer: dict[str, Any]) -> None:
    seen.status = status
    if status == 200:
        seen.request_id = answer["request_id"]
        seen.result = json.dumps(answer["result"], sort_keys=True)
        return
    error = answer["error"]
    if isinstance(error, dict):
        seen.reason, seen.ran = error["reason"], error["ran"]
        seen.request_id = error.get("request_id", "")
        seen.retry_at = error.get("retry_at_unix_ms", 0) / 1000
    else:
        seen.request_id, seen.reason = answer["request_id"], f"service: {error}"
