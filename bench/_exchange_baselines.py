"""Baseline strategies for distributing chunks, with the interface of `Exchange`."""

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

#: Fetch timeout of the baselines in seconds. Effectively infinite, because baselines run only in
#: simulations without faults.
FETCH_TIMEOUT_S = 1e9


class Baseline:
    """Common state of the baselines: the chunks that each peer holds and the fetches in flight."""

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
        self.agent_ids: list[str] = []
        #: Chunks announced by each connected peer.
        self.peer_chunks: dict[str, dict[bytes, None]] = {}
        self.missing: dict[bytes, None] = {}
        #: Source of each fetch in flight, by chunk.
        self.fetches: dict[bytes, str] = {}
        #: Unix seconds before which a source that refused is not used again.
        self.retry_at: dict[str, float] = {}

    def set_agents(self, agents: Mapping[str, Iterable[str]]) -> None:
        self.agent_ids = [agent_id for region_ids in agents.values() for agent_id in region_ids]

    def want(self, digests: Iterable[bytes]) -> None:
        self.missing = dict.fromkeys(d for d in digests if d not in self.held)

    def peer_up(self, peer_id: str, region: str) -> None:
        self.peer_chunks[peer_id] = {}

    def peer_down(self, peer_id: str) -> None:
        self.peer_chunks.pop(peer_id, None)
        self.fetches = {d: source for d, source in self.fetches.items() if source != peer_id}

    def record_announcement(self, peer_id: str, digests: Iterable[bytes]) -> None:
        if peer_id in self.peer_chunks:
            self.peer_chunks[peer_id].update(dict.fromkeys(digests))

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
                commands.append(FetchFromOrigin(digest, now + FETCH_TIMEOUT_S))
            else:
                commands.append(FetchFromPeer(source, digest, now + FETCH_TIMEOUT_S))
        return commands

    def choose(self, now: float) -> tuple[bytes, str] | None:
        """Returns the next chunk to fetch and its source, or None."""
        raise NotImplementedError

    def unrequested(self) -> list[bytes]:
        """Returns the missing chunks without a fetch in flight."""
        return [digest for digest in self.missing if digest not in self.fetches]

    def usable(self, peer_id: str, now: float) -> bool:
        """Returns whether a peer has a free fetch slot and is not backing off."""
        in_flight = sum(source == peer_id for source in self.fetches.values())
        return in_flight < self.limits.per_source and self.retry_at.get(peer_id, 0.0) <= now


class OriginOnly(Baseline):
    """Every VM fetches every chunk from the origin."""

    def choose(self, now: float) -> tuple[bytes, str] | None:
        unrequested = self.unrequested()
        return (unrequested[0], ORIGIN) if unrequested else None


class Chain(Baseline):
    """Every VM fetches all chunks in order from its predecessor; the first VM, from the origin."""

    def choose(self, now: float) -> tuple[bytes, str] | None:
        position = self.agent_ids.index(self.self_id)
        if position == 0:
            unrequested = self.unrequested()
            return (unrequested[0], ORIGIN) if unrequested else None
        source = self.agent_ids[position - 1]
        if self.retry_at.get(source, 0.0) > now:
            return None
        held = self.peer_chunks.get(source, {})
        digest = next((digest for digest in self.unrequested() if digest in held), None)
        return None if digest is None else (digest, source)


class RandomExchange(Baseline):
    """Fetches a random missing chunk from a random holder in any region, else from the origin."""

    def choose(self, now: float) -> tuple[bytes, str] | None:
        unrequested = self.unrequested()
        self.rng.shuffle(unrequested)
        usable = [peer_id for peer_id in self.peer_chunks if self.usable(peer_id, now)]
        for digest in unrequested:
            held_anywhere = any(digest in held for held in self.peer_chunks.values())
            holders = [peer_id for peer_id in usable if digest in self.peer_chunks[peer_id]]
            if holders:
                return digest, self.rng.choice(holders)
            if not held_anywhere:
                return digest, ORIGIN
        return None


class ChunkFirst(Exchange):
    """`Exchange` that chooses the rarest chunk first and then one of its holders."""

    def _next_local(self, now: float) -> Command | None:
        for digest in self._table.local.rarest(self._rng):
            row = self._table.rows[digest]
            usable = self._table.usable(row.local, row, now)
            if usable:
                return self._table.start(row, self._table.pick(usable, self._rng), now)
        return None


class AnyRegion(Exchange):
    """`Exchange` without preferred regions: fetches a chunk from any region that holds it."""

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
