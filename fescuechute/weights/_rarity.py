"""Index of missing chunks by the number of holders."""

from __future__ import annotations

import random
from collections.abc import Iterator


class RarityIndex:
    """Idle missing chunks in buckets by holder count, with constant-time updates."""

    def __init__(self) -> None:
        self._buckets: dict[int, list[bytes]] = {}
        #: (count, position in the bucket) of each chunk.
        self._where: dict[bytes, tuple[int, int]] = {}

    def __contains__(self, digest: object) -> bool:
        return digest in self._where

    def __len__(self) -> int:
        return len(self._where)

    def set(self, digest: bytes, count: int) -> None:
        """Adds a chunk or moves it to another count."""
        where = self._where.get(digest)
        if where is not None:
            if where[0] == count:
                return
            self.remove(digest)
        bucket = self._buckets.setdefault(count, [])
        self._where[digest] = (count, len(bucket))
        bucket.append(digest)

    def remove(self, digest: bytes) -> None:
        """Removes a chunk; an unknown one is ignored."""
        where = self._where.pop(digest, None)
        if where is None:
            return
        count, at = where
        bucket = self._buckets[count]
        last = bucket.pop()
        if last != digest:
            bucket[at] = last
            self._where[last] = (count, at)
        if not bucket:
            del self._buckets[count]

    def rarest(self, rng: random.Random, least: int = 1) -> Iterator[bytes]:
        """Yields chunks with at least `least` holders, rarest first, from a random start each.

        The index must not change while the iterator is in use.
        """
        for count in sorted(self._buckets):
            if count < least:
                continue
            bucket = self._buckets[count]
            start = rng.randrange(len(bucket))
            yield from bucket[start:]
            yield from bucket[:start]
