"""Load generator that calls a running system and records the outcome of each request.

Every answer is compared with the expected output of the engine stand-in for that request.
"""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp
import attrs

from standins.answers import expected_tokens

#: Seconds after its deadline at which an unanswered request counts as lost.
GRACE_S = 5.0


@attrs.define
class RequestResult:
    """Outcome of one request as its caller observed it. Times are unix seconds."""

    kind: str
    rank: str
    workspace: str
    sent_at: float
    deadline: float
    #: Arrival of the first token of a stream; 0 for answers that are not streamed.
    first_at: float = 0.0
    ended_at: float = 0.0
    #: `answered`, a refusal reason, `lost`, or `wrong`.
    outcome: str = "lost"
    #: Execution status of a refused request: `not_run`, `partial` or `unknown`.
    ran: str = ""
    version: str = ""
    tokens: int = 0
    prompt: str = ""
    request_id: str = ""
    key: str = ""
    #: Index of the entry that received the request.
    entry: int = 0
    detail: str = ""

    @property
    def in_time(self) -> bool:
        """Whether the complete answer arrived before the deadline."""
        return self.outcome == "answered" and self.ended_at <= self.deadline


@attrs.define
class LoadGenerator:
    """Sends requests to entries and records their outcomes."""

    ports: Sequence[int]
    seed: int = 1
    model: str = "assistant"
    rows: list[RequestResult] = attrs.field(factory=list)
    _session: aiohttp.ClientSession | None = None
    _tasks: set[asyncio.Task[RequestResult]] = attrs.field(factory=set)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)

    async def __aenter__(self) -> LoadGenerator:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=None)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.wait_idle()
        assert self._session is not None
        await self._session.close()

    async def wait_idle(self) -> None:
        """Waits until no request is in flight."""
        while self._tasks:
            await asyncio.gather(*list(self._tasks), return_exceptions=True)

    def spawn(self, coroutine: Any) -> None:
        """Starts a request as a background task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send_poisson(
        self,
        rate_per_s: float,
        until: float,
        make_request: Callable[[random.Random], Any],
        stream: str = "",
    ) -> None:
        """Starts requests with Poisson arrivals until a unix time.

        Args:
          rate_per_s: Mean requests per second.
          until: Unix seconds.
          make_request: Returns the coroutine of one request.
          stream: Name of an arrival stream; equal seeds and streams produce equal arrivals.
        """
        rng = random.Random(f"{self.seed}/{stream}") if stream else self._rng
        next_at = time.time()
        while next_at < until:
            next_at += rng.expovariate(rate_per_s)
            await asyncio.sleep(max(0.0, next_at - time.time()))
            self.spawn(make_request(rng))

    async def generate(
        self,
        rank: str = "ordinary",
        workspace: str = "w1",
        prompt: str = "",
        max_tokens: int = 20,
        stream: bool = True,
        timeout_s: float = 10.0,
        entry: int | None = None,
    ) -> RequestResult:
        """Sends a generation request and verifies its answer."""
        now = time.time()
        result = RequestResult("generate", rank, workspace, now, now + timeout_s)
        self.rows.append(result)
        prompt = result.prompt = prompt or f"prompt {secrets.token_hex(8)}"
        body = {
            "workspace": workspace,
            "rank": rank,
            "model": self.model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
            "deadline_unix_ms": int(result.deadline * 1000),
        }
        try:
            async with asyncio.timeout(timeout_s + GRACE_S):
                async with self._post(result, "/v1/generate", body, entry) as res:
                    text = await self._read_answer(result, res)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            result.detail = repr(exc)
            text = None
        result.ended_at = time.time()
        if text is not None:
            expected = expected_tokens(self.model, result.version, "", "", prompt, max_tokens)
            correct = text == "".join(expected)
            result.outcome = "answered" if correct else "wrong"
            result.tokens = max_tokens
        return result

    async def call(
        self,
        service: str,
        operation: str,
        key: str = "",
        rank: str = "ordinary",
        workspace: str = "w1",
        arguments: dict[str, Any] | None = None,
        timeout_s: float = 10.0,
        entry: int | None = None,
    ) -> RequestResult:
        """Sends a service call and records its result."""
        now = time.time()
        result = RequestResult("call", rank, workspace, now, now + timeout_s, key=key)
        self.rows.append(result)
        body: dict[str, Any] = {
            "workspace": workspace,
            "rank": rank,
            "service": service,
            "operation": operation,
            "arguments": arguments or {},
            "deadline_unix_ms": int(result.deadline * 1000),
        }
        if key:
            body["idempotency_key"] = key
        try:
            async with asyncio.timeout(timeout_s + GRACE_S):
                async with self._post(result, "/v1/call", body, entry) as res:
                    answer = json.loads(await res.read())
                    if res.status == 200:
                        result.outcome = "answered"
                        result.detail = json.dumps(answer.get("result"), sort_keys=True)
                    else:
                        _record_refusal(result, answer)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            result.detail = repr(exc)
        result.ended_at = time.time()
        return result

    def _post(
        self, result: RequestResult, path: str, body: dict[str, Any], entry: int | None
    ) -> Any:
        assert self._session is not None
        result.entry = self._rng.randrange(len(self.ports)) if entry is None else entry
        port = self.ports[result.entry]
        return self._session.post(f"http://127.0.0.1:{port}{path}", json=body)

    async def _read_answer(self, result: RequestResult, res: aiohttp.ClientResponse) -> str | None:
        if res.status != 200 or res.content_type != "application/x-ndjson":
            answer = json.loads(await res.read())
            if res.status != 200:
                _record_refusal(result, answer)
                return None
            result.version, result.request_id = answer["version"], answer["request_id"]
            return str(answer["text"])
        parts: list[str] = []
        async for line in res.content:
            item = json.loads(line)
            if "error" in item:
                _record_refusal(result, item)
                return None
            if item.get("end"):
                result.version, result.request_id = item["version"], item["request_id"]
                return "".join(parts)
            result.first_at = result.first_at or time.time()
            parts.append(item["text"])
        result.detail = "stream ended without an end record"
        return None


def new_key(label: str = "key") -> str:
    """Returns a new idempotency key that starts with the current time in milliseconds."""
    return f"{int(time.time() * 1000)}-{label}_{secrets.token_hex(6)}"


def count_outcomes(rows: Sequence[RequestResult]) -> Counter[str]:
    """Counts the requests by outcome."""
    return Counter(row.outcome for row in rows)


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile by the nearest-rank method, or 0.0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _record_refusal(result: RequestResult, answer: dict[str, Any]) -> None:
    error = answer["error"]
    result.outcome, result.ran = error["reason"], error["ran"]
    result.request_id, result.detail = error["request_id"], error["message"]
