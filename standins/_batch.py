"""Continuous batching: running requests advance together, one token each step."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any

from standins._loader import Loader
from standins._prefixes import BLOCK_CHARS, PrefixCache, block_keys
from standins._server import Faults
from standins.answers import text_digest, token_at, token_seed

#: Order of service of the priorities.
RANKS = {"urgent": 0, "ordinary": 1, "background": 2}


class Job:
    """One request from its arrival to its end."""

    def __init__(self, body: dict[str, Any], connected: Callable[[], bool]):
        self.request_id: str = body["request_id"]
        self.prompt: str = body["prompt"]
        self.max_tokens: int = body["max_tokens"]
        self.model: str = body["model"]
        self.adapter: str = body.get("adapter") or ""
        self.rank = RANKS[body.get("priority", "ordinary")]
        self.tokens: list[str] = list(body.get("resume") or [])
        self.connected = connected
        #: Resolves to (status, error); the error is empty when the request starts to run.
        self.started: asyncio.Future[tuple[int, str]] = asyncio.get_running_loop().create_future()
        #: Lines for the caller; None ends the stream.
        self.lines: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        self.outcome: str | None = None
        self.record: dict[str, Any] | None = None
        self.prefilled_at = 0.0
        self.seed = b""
        self.versions = ("", "")


class Batch:
    """Queue by priority and the running requests."""

    def __init__(
        self,
        loader: Loader,
        cache: PrefixCache,
        faults: Faults,
        *,
        slots: int,
        prefill_us_per_char: float,
        on_record: Callable[[dict[str, Any]], None],
    ):
        self._loader = loader
        self._cache = cache
        self._faults = faults
        self._prefill_us_per_char = prefill_us_per_char
        self._on_record = on_record
        self._order = itertools.count()
        self._queue: list[tuple[int, int, Job]] = []
        self._work = asyncio.Event()
        self.slots = slots
        self.running: list[Job] = []
        self.history: list[dict[str, Any]] = []
        #: Called with each job that starts to run.
        self.on_start: Callable[[Job], None] = lambda job: None
        loader.on_change = self._weights_changed

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    def submit(self, job: Job) -> None:
        """Queues a request and starts it when a slot is free."""
        heapq.heappush(self._queue, (job.rank, next(self._order), job))
        self._fill()
        self._work.set()

    def cancel(self, request_id: str) -> bool:
        """Ends a request; returns whether it was there."""
        found = False
        for job in [*self.running, *(job for _, _, job in self._queue)]:
            if job.request_id == request_id:
                self._end(job, "cancelled")
                found = True
        self._fill()
        return found

    async def run(self) -> None:
        """Advances the running requests for as long as the engine lives."""
        next_step = time.monotonic()
        while True:
            if not self.running and not self._queue:
                self._work.clear()
                await self._work.wait()
                next_step = time.monotonic()
            # After a pause of the process the engine goes on from now and does not catch up.
            next_step = max(time.monotonic(), next_step + self._faults["token_interval_ms"] / 1000)
            await asyncio.sleep(next_step - time.monotonic())
            self._step()

    def _step(self) -> None:
        for job in [*self.running, *(job for _, _, job in self._queue)]:
            if not job.connected():
                self._end(job, "disconnected")
        if not self._loader.loading and not self._faults["stall"]:
            now = time.monotonic()
            for job in [job for job in self.running if job.prefilled_at <= now]:
                self._advance(job)
        self._fill()

    def _advance(self, job: Job) -> None:
        index = len(job.tokens)
        if index < job.max_tokens:
            token = token_at(job.seed, index)
            job.tokens.append(token)
            if job.record is not None:
                job.record["tokens"] = index + 1
            job.lines.put_nowait({"i": index, "t": token})
        if len(job.tokens) >= job.max_tokens:
            version, adapter_version = job.versions
            job.lines.put_nowait(
                {
                    "end": True,
                    "count": len(job.tokens),
                    "digest": text_digest(job.tokens),
                    "model": job.model,
                    "version": version,
                    "adapter": job.adapter,
                    "adapter_version": adapter_version,
                }
            )
            self._end(job, "complete")

    def _fill(self) -> None:
        while self._queue and len(self.running) < self.slots and not self._loader.loading:
            job = heapq.heappop(self._queue)[2]
            if not job.connected():
                self._end(job, "disconnected")
            elif not self.bind(job):
                job.started.set_result((404, "not loaded"))
            else:
                self._start(job)

    def bind(self, job: Job) -> bool:
        """Ties a job to the loaded versions; returns False when one is not loaded."""
        version = self._loader.version("model", job.model)
        adapter_version = self._loader.version("adapter", job.adapter) if job.adapter else ""
        if version is None or adapter_version is None:
            return False
        job.versions = (version, adapter_version)
        job.seed = token_seed(job.model, version, job.adapter, adapter_version, job.prompt)
        return True

    def _start(self, job: Job) -> None:
        now = time.time()
        keys = self.block_keys(job)
        uncached = len(job.prompt) - self._cache.cached_blocks(keys) * BLOCK_CHARS
        self._cache.store(keys, now)
        job.prefilled_at = time.monotonic() + uncached * self._prefill_us_per_char / 1e6
        job.record = {
            "request_id": job.request_id,
            "model": job.model,
            "adapter": job.adapter,
            "start": now,
            "end": None,
            "outcome": None,
            "tokens": len(job.tokens),
            "prefilled_chars": uncached,
            "weights_start": self._loader.held(),
            "weights_end": None,
        }
        self.history.append(job.record)
        self._on_record(job.record)
        self.running.append(job)
        job.started.set_result((200, ""))
        self.on_start(job)

    def block_keys(self, job: Job) -> list[str]:
        """Returns the prefix cache keys of a bound job."""
        return block_keys(f"{job.model}/{job.versions}/{job.adapter}", job.prompt)

    def _end(self, job: Job, outcome: str) -> None:
        job.outcome = outcome
        if job in self.running:
            self.running.remove(job)
            assert job.record is not None
            job.record |= {
                "end": time.time(),
                "outcome": outcome,
                "tokens": len(job.tokens),
                "weights_end": self._loader.held(),
            }
            self._on_record(job.record)
            if outcome != "complete":
                job.lines.put_nowait({"error": outcome})
            job.lines.put_nowait(None)
            return
        self._queue = [entry for entry in self._queue if entry[2] is not job]
        heapq.heapify(self._queue)
        job.started.set_result((409, outcome))

    def _weights_changed(self) -> None:
        """Queued requests fail; running ones go on with whatever is loaded next.

        The engine does not protect its callers from a change in mid-flight. The agent has to drain
        it first, and a checker sees where it did not.
        """
        self._cache.clear(time.time())
        if self._loader.loading:
            for _, _, job in self._queue:
                job.started.set_result((503, "loading"))
            self._queue.clear()
            return
        for job in list(self.running):
            if not self.bind(job):
                self._end(job, "unloaded")
