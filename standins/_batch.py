"""Continuous batching: each step generates one token for every running request."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any

from standins._loader import Loader
from standins._prefix_cache import BLOCK_CHARS, PrefixCache, block_keys
from standins._server import Faults
from standins.answers import text_digest, token_at, token_seed

#: Queue rank of each priority; lower ranks start first.
PRIORITY_RANKS = {"urgent": 0, "ordinary": 1, "background": 2}


class Job:
    """A generation request and its state from arrival to completion."""

    def __init__(self, body: dict[str, Any], is_connected: Callable[[], bool]):
        self.request_id: str = body["request_id"]
        self.prompt: str = body["prompt"]
        self.max_tokens: int = body["max_tokens"]
        self.model: str = body["model"]
        self.adapter: str = body.get("adapter") or ""
        self.rank = PRIORITY_RANKS[body.get("priority", "ordinary")]
        self.tokens: list[str] = list(body.get("resume") or [])
        self.is_connected = is_connected
        #: Resolves to (HTTP status, error) when the job starts or fails to; empty error if started.
        self.start_result: asyncio.Future[tuple[int, str]] = (
            asyncio.get_running_loop().create_future()
        )
        #: Lines of the response; None ends it.
        self.lines: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        self.outcome: str | None = None
        self.history_record: dict[str, Any] | None = None
        #: Monotonic time at which the first token may be generated.
        self.prefill_ends_at = 0.0
        self.seed = b""
        #: Versions of the model and of the adapter that generate the tokens.
        self.versions = ("", "")


class Batch:
    """Priority queue of waiting jobs, and the jobs that run in the slots."""

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
        self._arrival_numbers = itertools.count()
        self._queue: list[tuple[int, int, Job]] = []
        self._work_available = asyncio.Event()
        self.slots = slots
        self.running: list[Job] = []
        self.history: list[dict[str, Any]] = []
        #: Called with each job when it starts to run.
        self.on_start: Callable[[Job], None] = lambda job: None
        loader.on_weights_change = self._on_weights_change

    @property
    def queue_length(self) -> int:
        """Number of jobs that wait for a slot."""
        return len(self._queue)

    def submit(self, job: Job) -> None:
        """Queues a job and starts queued jobs while slots are free."""
        heapq.heappush(self._queue, (job.rank, next(self._arrival_numbers), job))
        self._fill_slots()
        self._work_available.set()

    def cancel(self, request_id: str) -> bool:
        """Cancels a running or queued request; returns whether it was found."""
        found = False
        for job in [*self.running, *(job for _, _, job in self._queue)]:
            if job.request_id == request_id:
                self._finish(job, "cancelled")
                found = True
        self._fill_slots()
        return found

    async def run(self) -> None:
        """Generates tokens for the running jobs until cancelled."""
        next_step = time.monotonic()
        while True:
            if not self.running and not self._queue:
                self._work_available.clear()
                await self._work_available.wait()
                next_step = time.monotonic()
            # After a pause of the process, missed steps are skipped rather than made up.
            next_step = max(time.monotonic(), next_step + self._faults["token_interval_ms"] / 1000)
            await asyncio.sleep(next_step - time.monotonic())
            self._step()

    def _step(self) -> None:
        for job in [*self.running, *(job for _, _, job in self._queue)]:
            if not job.is_connected():
                self._finish(job, "disconnected")
        if not self._loader.loading and not self._faults["stall"]:
            now = time.monotonic()
            for job in [job for job in self.running if job.prefill_ends_at <= now]:
                self._generate_token(job)
        self._fill_slots()

    def _generate_token(self, job: Job) -> None:
        index = len(job.tokens)
        if index < job.max_tokens:
            token = token_at(job.seed, index)
            job.tokens.append(token)
            if job.history_record is not None:
                job.history_record["tokens"] = index + 1
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
            self._finish(job, "complete")

    def _fill_slots(self) -> None:
        while self._queue and len(self.running) < self.slots and not self._loader.loading:
            job = heapq.heappop(self._queue)[2]
            if not job.is_connected():
                self._finish(job, "disconnected")
            elif not self.bind_versions(job):
                job.start_result.set_result((404, "not loaded"))
            else:
                self._start(job)

    def bind_versions(self, job: Job) -> bool:
        """Binds a job to the loaded versions; returns False if one is not loaded."""
        version = self._loader.loaded_version("model", job.model)
        adapter_version = self._loader.loaded_version("adapter", job.adapter) if job.adapter else ""
        if version is None or adapter_version is None:
            return False
        job.versions = (version, adapter_version)
        job.seed = token_seed(job.model, version, job.adapter, adapter_version, job.prompt)
        return True

    def _start(self, job: Job) -> None:
        now = time.time()
        keys = self.cache_keys(job)
        uncached_chars = len(job.prompt) - self._cache.match_prefix(keys) * BLOCK_CHARS
        self._cache.store(keys, now)
        job.prefill_ends_at = time.monotonic() + uncached_chars * self._prefill_us_per_char / 1e6
        job.history_record = {
            "request_id": job.request_id,
            "model": job.model,
            "adapter": job.adapter,
            "start": now,
            "end": None,
            "outcome": None,
            "tokens": len(job.tokens),
            "prefilled_chars": uncached_chars,
            "weights_start": self._loader.loaded_items(),
            "weights_end": None,
        }
        self.history.append(job.history_record)
        self._on_record(job.history_record)
        self.running.append(job)
        job.start_result.set_result((200, ""))
        self.on_start(job)

    def cache_keys(self, job: Job) -> list[str]:
        """Returns the prefix cache keys of a job that is bound to versions."""
        return block_keys(f"{job.model}/{job.versions}/{job.adapter}", job.prompt)

    def _finish(self, job: Job, outcome: str) -> None:
        job.outcome = outcome
        if job in self.running:
            self.running.remove(job)
            assert job.history_record is not None
            job.history_record |= {
                "end": time.time(),
                "outcome": outcome,
                "tokens": len(job.tokens),
                "weights_end": self._loader.loaded_items(),
            }
            self._on_record(job.history_record)
            if outcome != "complete":
                job.lines.put_nowait({"error": outcome})
            job.lines.put_nowait(None)
            return
        self._queue = [entry for entry in self._queue if entry[2] is not job]
        heapq.heapify(self._queue)
        job.start_result.set_result((409, outcome))

    def _on_weights_change(self) -> None:
        """Rejects queued jobs when a load starts and rebinds running jobs when it completes.

        The engine deliberately does not protect running requests from a change of weights: the
        agent has to drain it first. Test checkers detect a missing drain in the history.
        """
        self._cache.clear(time.time())
        if self._loader.loading:
            for _, _, job in self._queue:
                job.start_result.set_result((503, "loading"))
            self._queue.clear()
            return
        for job in list(self.running):
            if not self.bind_versions(job):
                self._finish(job, "unloaded")
