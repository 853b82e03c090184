"""Background load on the entries, with a stand-in for the platform's load balancer."""

from __future__ import annotations

import asyncio
import random
import threading
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs

from bench._load import LoadGenerator, RequestResult, new_key
from tests.harness import HttpFailedError, http_json

#: Seconds between two health checks of each entry by the load balancer.
_HEALTH_INTERVAL_S = 0.2
#: Seconds that a caller waits before it retries a refused request.
_RETRY_DELAY_S = 0.1


@attrs.define
class LogicalRequest:
    """One request or call of a caller, with all its attempts."""

    kind: str
    attempts: list[RequestResult] = attrs.field(factory=list)

    @property
    def last_attempt(self) -> RequestResult:
        """The result of the last attempt."""
        return self.attempts[-1]

    @property
    def answered(self) -> bool:
        """Whether the last attempt was answered."""
        return bool(self.attempts) and self.last_attempt.outcome == "answered"


class Traffic:
    """Context manager that sends requests from a background thread.

    Args:
      entry_ports: Returns the HTTP ports of the entries that the platform knows now.
      seed: Seed of the arrival times and kinds.
      rate_per_s: Requests per second.
      make_request: Returns the coroutine of one caller; the default requests short streams.
    """

    def __init__(
        self,
        entry_ports: Callable[[], Sequence[int]],
        seed: int,
        rate_per_s: float,
        make_request: Callable[[Traffic, random.Random], Coroutine[Any, Any, None]] | None = None,
    ):
        print(f"seed {seed}")
        self.requests: list[LogicalRequest] = []
        self._entry_ports = entry_ports
        self._rate_per_s = rate_per_s
        self._make_request = make_request or (
            lambda traffic, rng: traffic.generate(max_tokens=rng.randint(5, 30))
        )
        self._stopping = threading.Event()
        self._retry_until = float("inf")
        self._ports: list[int] = list(entry_ports())
        self._load = LoadGenerator(self._ports, seed=seed)
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True)
        self._health_thread = threading.Thread(target=self._poll_health, daemon=True)
        self.error: BaseException | None = None

    def __enter__(self) -> Traffic:
        self._thread.start()
        self._health_thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self, retry_for_s: float = 10.0) -> list[LogicalRequest]:
        """Stops new arrivals, waits until all callers have ended and returns their requests."""
        if self._thread.is_alive():
            self._retry_until = time.time() + retry_for_s
            self._stopping.set()
            self._thread.join(60.0)
            assert not self._thread.is_alive(), "the callers did not end within 60 s"
            self._health_thread.join(5.0)
        if self.error is not None:
            raise self.error
        return self.requests

    async def generate(self, **fields: Any) -> None:
        """Sends a model request and retries it while it is refused as not run."""
        await self._send_with_retries(
            LogicalRequest("generate"), lambda: self._load.generate(**fields), ("not_run",)
        )

    async def book(self, service: str, operation: str, key: str = "") -> None:
        """Sends a non-repeatable call and retries it with the same key until it is answered.

        The idempotency key makes every retry safe, also that of a call with an unknown outcome.
        """
        key = key or new_key("book")
        retry_on = ("not_run", "unknown", "partial", "")
        await self._send_with_retries(
            LogicalRequest("book"), lambda: self._load.call(service, operation, key=key), retry_on
        )

    async def lookup(self, service: str) -> None:
        """Sends a repeatable call and retries it while it is refused as not run."""
        await self._send_with_retries(
            LogicalRequest("lookup"), lambda: self._load.call(service, "lookup"), ("not_run",)
        )

    async def _send_with_retries(
        self, request: LogicalRequest, send: Callable[[], Any], retry_on: Sequence[str]
    ) -> None:
        self.requests.append(request)
        while True:
            seen = await send()
            request.attempts.append(seen)
            if seen.outcome == "answered" or seen.outcome == "wrong" or seen.ran not in retry_on:
                return
            if time.time() >= self._retry_until:
                return
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _run(self) -> None:
        try:
            async with self._load as load:
                while not self._stopping.is_set():
                    until = time.time() + 0.2
                    await load.send_poisson(
                        self._rate_per_s, until, lambda rng: self._make_request(self, rng)
                    )
        except BaseException as exc:
            self.error = exc

    def _poll_health(self) -> None:
        while self._thread.is_alive():
            healthy = [port for port in self._entry_ports() if _is_healthy(port)]
            if healthy:
                self._ports[:] = healthy
            self._stopping.wait(0.0)
            time.sleep(_HEALTH_INTERVAL_S)


def _is_healthy(port: int) -> bool:
    try:
        return http_json("GET", port, "/healthz", timeout_s=1.0)[0] == 200
    except HttpFailedError:
        return False


def summary(requests: Sequence[LogicalRequest]) -> str:
    """Returns the counts of a run: requests, attempts, retry reasons and failures."""
    refused: dict[str, int] = {}
    for request in requests:
        for seen in request.attempts[:-1]:
            name = f"{seen.outcome}/{seen.ran or '-'}"
            refused[name] = refused.get(name, 0) + 1
    attempts = sum(len(request.attempts) for request in requests)
    failed = [
        f"{r.kind}: {r.last_attempt.outcome}/{r.last_attempt.ran} {r.last_attempt.detail}"
        for r in requests
        if not r.answered
    ]
    return f"{len(requests)} requests, {attempts} attempts, retried after {refused}, failed {failed[:8]}"
