"""Baselines of the blob exchange, with the interface of `Exchange`."""

from __future__ import annotations

import random
from collections.abc import Container, Iterable, Mapping
from typing import Any

from fescuechute.weights import (
    ORIGIN,
    Command,
    Exchange,
    ExchangeLimits,
    FetchFromOrigin,
    FetchFromPeer,
)

#: Deadline of a baseline's fetch in seconds; they are compared without faults only.
FETCH_S = 1e9


class Baseline:
    """What all baselines share: rows of holders and of fetches in flight."""

    def __init__(
        self,
        self_id: str,
        region: str,
        home: str,
        held: Container[bytes],
        rng: random.Random,
        limits: ExchangeLimits | None = None,
    ):
        self.self_id = self_id
        self.held = held
        self.rng = rng
        self.limits = limits or ExchangeLimits()
        self.ids: list[str] = []
        self.has: dict[str, dict[bytes, None]] = {}
        self.missing: dict[bytes, None] = {}
        self.fetches: dict[bytes, str] = {}
        self.retry_at: dict[str, float] = {}

    def set_agents(self, agents: Mapping[str, Iterable[str]]) -> None:
        self.ids = [agent_id for ids in agents.values() for agent_id in ids]

    def want(self, digests: Iterable[bytes]) -> None:
        self.missing = dict.fromkeys(d for d in digests if d not in self.held)

    def peer_up(self, peer_id: str, region: str) -> None:
        self.has[peer_id] = {}

    def peer_down(self, peer_id: str) -> None:
        self.has.pop(peer_id, None)
        self.fetches = {d: source for d, source in self.fetches.items() if source != peer_id}

    def record_announcement(self, peer_id: str, digests: Iterable[bytes]) -> None:
        if peer_id in self.has:
            self.has[peer_id].update(dict.fromkeys(digests))

    def record_arrival(self, digest: bytes, source: str, now: float) -> None:
        self.missing.pop(digest, None)
        self.fetches.pop(digest, None)

    def record_corrupt(self, digest: bytes, source: str, now: float) -> None:
        self.fetches.pop(digest, None)

    def record_failure(self, digest: bytes, source: str, reason: str, now: float) -> None:
        self.fetches.pop(digest, None)
        self.retry_at[source] = now + self.rng.uniform(0.025, 0.05)

    def plan(self, now: float) -> list[Command]:
        commands: list[Command] = []
        while len(self.fetches) < self.limits.parallel:
            choice = self.choose(now)
            if choice is None:
                break
            digest, source = choice
            self.fetches[digest] = source
            if source == ORIGIN:
                commands.append(FetchFromOrigin(digest, now + FETCH_S))
            else:
                commands.append(FetchFromPeer(source, digest, now + FETCH_S))
        return commands

    def choose(self, now: float) -> tuple[bytes, str] | None:
        """Returns the next chunk and its source."""
        raise NotImplementedError

    def idle(self) -> list[bytes]:
        return [digest for digest in self.missing if digest not in self.fetches]

    def usable(self, peer_id: str, now: float) -> bool:
        busy = sum(source == peer_id for source in self.fetches.values())
        return busy < self.limits.per_source and self.retry_at.get(peer_id, 0.0) <= now


class OriginOnly(Baseline):
    """Every VM takes every chunk from the origin."""

    def choose(self, now: float) -> tuple[bytes, str] | None:
        idle = self.idle()
        return (idle[0], ORIGIN) if idle else None


class Chain(Baseline):
    """Each VM takes every chunk, in order, from the VM before it; the first from the origin."""

    def choose(self, now: float) -> tuple[bytes, str] | None:
        place = self.ids.index(self.self_id)
        if place == 0:
            idle = self.idle()
            return (idle[0], ORIGIN) if idle else None
        source = self.ids[place - 1]
        if self.retry_at.get(source, 0.0) > now:
            return None
        held = self.has.get(source, {})
        digest = next((digest for digest in self.idle() if digest in held), None)
        return None if digest is None else (digest, source)


class RandomExchange(Baseline):
    """A random missing chunk from a random holder anywhere; from the origin when none has it."""

    def choose(self, now: float) -> tuple[bytes, str] | None:
        idle = self.idle()
        self.rng.shuffle(idle)
        usable = [peer_id for peer_id in self.has if self.usable(peer_id, now)]
        for digest in idle:
            anyone = any(digest in held for held in self.has.values())
            holders = [peer_id for peer_id in usable if digest in self.has[peer_id]]
            if holders:
                return digest, self.rng.choice(holders)
            if not anyone:
                return digest, ORIGIN
        return None


class ChunkFirst(Exchange):
    """The exchange, but choosing the rarest chunk first and then one of its holders."""

    def _next_local(self, now: float) -> Command | None:
        for digest in self._table.local.rarest(self._rng):
            row = self._table.rows[digest]
            usable = self._table.usable(row.local, row, now)
            if usable:
                return self._table.start(row, self._table.pick(usable, self._rng), now)
        return None


class AnyRegion(Exchange):
    """The exchange without the preferred region: takes a chunk from any region that holds it."""

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self._designation.preferred_region = lambda digest: ""  # type: ignore[method-assign]


__all__ = [
    "AnyRegion",
    "Baseline",
    "Chain",
    "ChunkFirst",
    "OriginOnly",
    "RandomExchange",
]
