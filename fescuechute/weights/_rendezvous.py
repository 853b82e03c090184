"""Rendezvous hashing of chunks and revisions over agents."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def agent_seed(agent_id: str) -> int:
    """Returns the 64-bit hash seed of an agent, to be computed once for each agent."""
    return xxhash.xxh3_64_intdigest(agent_id.encode())


def score(key: bytes, seed: int) -> int:
    """Returns the rendezvous score of an agent for a key; the highest score ranks first."""
    return xxhash.xxh3_64_intdigest(key, seed)


def rendezvous_order(key: bytes, ids: Iterable[str]) -> list[str]:
    """Returns all ids in rendezvous order for a key; the smaller id wins a tie."""
    return sorted(ids, key=lambda agent_id: (-score(key, agent_seed(agent_id)), agent_id))
