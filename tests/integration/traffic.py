"""Callers in the background, with a stand-in for the platform's load balancer."""

from __future__ import annotations

import asyncio
import random
import threading
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs

from bench._load import Load, Seen, new_key
from tests.harness import HttpFailedError, http_json

#: Seconds between two looks of the load balancer at an entry.
_HEALTH_EVERY_S = 0.2
#: Wait of a caller before it sends again what was refused as not run.
_RESEND_S = 0.1


@attrs.define
class Story:
    """One piece of work of a caller, over all times that it was sent."""

    kind: str
    sends: list[Seen] = attrs.field(factory=list)

    @property
    def last(self) -> Seen:
        """What the caller saw last."""
        return self.sends[-1]

    @property
    def done(self) -> bool:
        """Whether the caller got its answer in the end."""
        return bool(self.sends) and self.last.outcome == "answered"


class Traffic:
    """Context manager that sends requests from a thread of its own.

    Args:
      entry_ports: Returns the callers' ports of all entries that the platform knows now.
      seed: Seed of the arrivals.
      rate_per_s: Requests a second.
      make: Returns the work of one caller; the default sends short streams.
    """

    def __init__(
        self,
        entry_ports: Callable[[], Sequence[int]],
        seed: int,
        rate_per_s: float,
        make: Callable[[Traffic, random.Random], Coroutine[Any, Any, None]] | None = None,
    ):
        print(f"seed {seed}")
        self.stories: list[Story] = []
        self._entry_ports = entry_ports
        self._rate = rate_per_s
        self._make = make or (lambda traffic, rng: traffic.generate(max_tokens=rng.randint(5, 30)))
        self._stopping = threading.Event()
        self._resend_until = float("inf")
        self._ports: list[int] = list(entry_ports())
        self._load = Load(self._ports, seed=seed)
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True)
        self._health = threading.Thread(target=self._watch_health, daemon=True)
        self.fault: BaseException | None = None

    def __enter__(self) -> Traffic:
        self._thread.start()
        self._health.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self, resend_s: float = 10.0) -> list[Story]:
        """Ends the arrivals, waits for the callers and returns their stories."""
        if self._thread.is_alive():
            self._resend_until = time.time() + resend_s
            self._stopping.set()
            self._thread.join(60.0)
            assert not self._thread.is_alive(), "the callers did not end"
            self._health.join(5.0)
        if self.fault is not None:
            raise self.fault
        return self.stories

    async def generate(self, **fields: Any) -> None:
        """A model request, sent again while it is refused as not run."""
        await self._resend(Story("generate"), lambda: self._load.generate(**fields), ("not_run",))

    async def book(self, service: str, operation: str, key: str = "") -> None:
        """A call that must not be repeated, sent again with the same key until it is answered.

        The key makes every repetition safe, also that of a call with an unknown outcome.
        """
        key = key or new_key("book")
        ran = ("not_run", "unknown", "partial", "")
        await self._resend(Story("book"), lambda: self._load.call(service, operation, key=key), ran)

    async def look_up(self, service: str) -> None:
        """A repeatable call, sent again while it is refused as not run."""
        await self._resend(
            Story("lookup"), lambda: self._load.call(service, "lookup"), ("not_run",)
        )

    async def _resend(self, story: Story, send: Callable[[], Any], again: Sequence[str]) -> None:
        self.stories.append(story)
        while True:
            seen = await send()
            story.sends.append(seen)
            if seen.outcome == "answered" or seen.outcome == "wrong" or seen.ran not in again:
                return
            if time.time() >= self._resend_until:
                return
            await asyncio.sleep(_RESEND_S)

    async def _run(self) -> None:
        try:
            async with self._load as load:
                while not self._stopping.is_set():
                    until = time.time() + 0.2
                    await load.poisson(self._rate, until, lambda rng: self._make(self, rng))
        except BaseException as exc:
            self.fault = exc

    def _watch_health(self) -> None:
        while self._thread.is_alive():
            healthy = [port for port in self._entry_ports() if _is_healthy(port)]
            if healthy:
                self._ports[:] = healthy
            self._stopping.wait(0.0)
            time.sleep(_HEALTH_EVERY_S)


def _is_healthy(port: int) -> bool:
    try:
        return http_json("GET", port, "/healthz", timeout_s=1.0)[0] == 200
    except HttpFailedError:
        return False


def summary(stories: Sequence[Story]) -> str:
    """Returns the figures of a run: work, sends, and what the refused sends were told."""
    refused: dict[str, int] = {}
    for story in stories:
        for seen in story.sends[:-1]:
            name = f"{seen.outcome}/{seen.ran or '-'}"
            refused[name] = refused.get(name, 0) + 1
    sends = sum(len(story.sends) for story in stories)
    failed = [
        f"{s.kind}: {s.last.outcome}/{s.last.ran} {s.last.detail}" for s in stories if not s.done
    ]
    return (
        f"{len(stories)} requests, {sends} sends, sent again after {refused}, failed {failed[:8]}"
    )
