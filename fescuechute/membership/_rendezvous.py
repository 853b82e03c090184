"""Rendezvous hashing."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Returns the weight of a member for a key, which is the same in every process and release."""
    return xxhash.xxh3_64_intdigest(f"{len(key)}/{key}/{member}".encode())


def rendezvous(key: str, ids: Iterable[str], n: int = 1) -> list[str]:
    """Returns the n members with the highest weights for a key, highest first.

    The order of `ids` does not matter. When a member leaves, only the keys assigned to it move.
    """
    return heapq.nlargest(n, set(ids), key=lambda member: (score(key, member), member))


def duty_holders(duty: str, ids: Iterable[str], n: int) -> list[str]:
    """Returns the ids of the n processes assigned to a duty, such as writing snapshots."""
    return rendezvous(f"duty/{duty}", ids, n)
