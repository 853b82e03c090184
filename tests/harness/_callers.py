"""Caller of service operations that records the result of each attempt."""

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

#: Seconds that a caller waits for a response beyond the deadline of the call.
RESPONSE_GRACE_S = 4.0


@attrs.define
class CallAttempt:
    """One attempt of a caller and its result. Times are unix seconds."""

    key: str
    arguments: str
    port: int
    sent_at: float
    #: Seconds from sending until the deadline in the call.
    timeout_s: float
    #: Whether the attempt was made after the scenario, in a quiet system.
    final: bool = False
    ended_at: float = 0.0
    #: HTTP status, 0 if no complete response arrived.
    status: int = 0
    request_id: str = ""
    #: The result as JSON text if the call was answered, else empty.
    result: str = ""
    #: Reason of a refusal, and whether the call was executed according to it: `not_run`,
    #: `unknown` or `partial`.
    reason: str = ""
    ran: str = ""
    #: Time given by a refusal after which to retry, 0 if none was given.
    retry_at: float = 0.0

    @property
    def answered(self) -> bool:
        """Whether the result arrived."""
        return self.status == 200

    @property
    def lost(self) -> bool:
        """Whether no complete response arrived."""
        return self.status == 0

    @property
    def duration_s(self) -> float:
        """Seconds from sending to the end of the attempt."""
        return self.ended_at - self.sent_at


@attrs.define
class ServiceCaller:
    """Sends calls of one operation and records every attempt in `rows`."""

    workspace: str = "w1"
    service: str = "booking"
    operation: str = "book"
    rows: list[CallAttempt] = attrs.field(factory=list)
    _session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> ServiceCaller:
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
    ) -> CallAttempt:
        """Sends one call and returns its result; a failed call does not raise."""
        arguments = {"key": key} if arguments is None else arguments
        text = json.dumps(arguments, sort_keys=True)
        seen = CallAttempt(key, text, port, time.time(), timeout_s, final)
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
            async with asyncio.timeout(timeout_s + RESPONSE_GRACE_S):
                url = f"http://127.0.0.1:{port}/v1/call"
                async with self._session.post(url, json=body) as res:
                    answer = json.loads(await res.read())
                    _record_response(seen, res.status, answer)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            seen.reason = f"lost: {exc!r}"
        seen.ended_at = time.time()
        return seen

    async def call_until_known(
        self, ports: Sequence[int], key: str, attempts: int = 4, timeout_s: float = 4.0
    ) -> CallAttempt:
        """Calls the ports in turn with one key until it is answered; returns the last attempt."""
        for number in range(attempts):
            seen = await self.call(ports[number % len(ports)], key, timeout_s=timeout_s)
            if seen.answered:
                break
            await asyncio.sleep(min(1.0, max(0.05, seen.retry_at - time.time())))
        return seen

    async def start_poisson_arrivals(
        self, count: int, per_s: float, rng: random.Random, make: Any
    ) -> list[asyncio.Task[Any]]:
        """Starts `make(number)` for each number, with Poisson arrivals; returns the tasks."""
        tasks = []
        for number in range(count):
            tasks.append(asyncio.create_task(make(number)))
            await asyncio.sleep(rng.expovariate(per_s))
        return tasks

    async def resend_all(self, port: int, timeout_s: float = 3.0) -> list[CallAttempt]:
        """Sends every key used so far once more, with the arguments of its first attempt."""
        first_arguments: dict[str, str] = {}
        for row in self.rows:
            first_arguments.setdefault(row.key, row.arguments)
        calls = [
            self.call(port, key, json.loads(arguments), timeout_s, final=True)
            for key, arguments in first_arguments.items()
        ]
        return list(await asyncio.gather(*calls))

    @staticmethod
    def new_key(label: str = "key") -> str:
        """Returns an idempotency key with the current time."""
        return f"{int(time.time() * 1000)}-{label}_{secrets.token_hex(6)}"


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile by nearest rank, 0.0 for no values; `share` is from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _record_response(seen: CallAttempt, status: int, answer: dict[str, Any]) -> None:
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
