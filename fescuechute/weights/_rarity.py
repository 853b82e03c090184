"""Index of missing chunks by the number of their holders."""

from __future__ import annotations

import random
from collections.abc import Iterator


class RarityIndex:
    """Idle missing chunks in buckets by holder count, with updates in constant time."""

    def __init__(self) -> None:
        self._buckets: dict[int, list[bytes]] = {}
        #: (holder count, position in its bucket) of each chunk.
        self._positions: dict[bytes, tuple[int, int]] = {}

    def __contains__(self, digest: object) -> bool:
        return digest in self._positions

    def __len__(self) -> int:
        return len(self._positions)

    def set(self, digest: bytes, count: int) -> None:
        """Adds a chunk or moves it to the bucket of another holder count."""
        entry = self._positions.get(digest)
        if entry is not None:
            if entry[0] == count:
                return
            self.remove(digest)
        bucket = self._buckets.setdefault(count, [])
        self._positions[digest] = (count, len(bucket))
        bucket.append(digest)

    def remove(self, digest: bytes) -> None:
        """Removes a chunk; an unknown one is ignored."""
        entry = self._positions.pop(digest, None)
        if entry is None:
            return
        count, position = entry
        bucket = self._buckets[count]
        last = bucket.pop()
        if last != digest:
            bucket[position] = last
            self._positions[last] = (count, position)
        if not bucket:
            del self._buckets[count]

    def rarest(self, rng: random.Random, min_holders: int = 1) -> Iterator[bytes]:
        """Yields the chunks with at least `min_holders` holders, rarest first.

        Each bucket is traversed from a random start. The index must not change while the iterator
        is in use.
        """
        for count in sorted(self._buckets):
            if count < min_holders:
                continue
            bucket = self._buckets[count]
            start = rng.randrange(len(bucket))
            yield from bucket[start:]
            yield from bucket[:start]
