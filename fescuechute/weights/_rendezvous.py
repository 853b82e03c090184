"""Rendezvous hashing of chunks and revisions over agents."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def seed_of(agent_id: str) -> int:
    """Returns the 64-bit hash seed of an agent; computed once for each agent."""
    return xxhash.xxh3_64_intdigest(agent_id.encode())


def score(key: bytes, seed: int) -> int:
    """Returns the weight of an agent for a key; the highest comes first."""
    return xxhash.xxh3_64_intdigest(key, seed)


def ranked(key: bytes, ids: Iterable[str]) -> list[str]:
    """Returns all ids in rendezvous order for a key. Ties fall to the smaller id."""
    return sorted(ids, key=lambda agent_id: (-score(key, seed_of(agent_id)), agent_id))
