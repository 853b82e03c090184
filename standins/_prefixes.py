"""Prefix cache of the engine: blocks of prompt text in least-recently-used order."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from blake3 import blake3

#: Characters in one block; only whole blocks are cached.
BLOCK_CHARS = 64


def block_keys(scope: str, prompt: str) -> list[str]:
    """Returns one key for each whole block; each key covers the prompt up to the block's end.

    Args:
      scope: The weights that computed the blocks; other weights cannot use them.
      prompt: The prompt.
    """
    keys = []
    state = blake3(scope.encode())
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        state.update(prompt[end - BLOCK_CHARS : end].encode())
        keys.append(state.hexdigest(length=16))
    return keys


class PrefixCache:
    """At most `capacity` blocks. Every change is an event that readers see late and with gaps."""

    def __init__(self, capacity: int, lag_s: float, gap_every: int):
        self._capacity = capacity
        self._lag_s = lag_s
        self._gap_every = gap_every
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[dict[str, Any]] = []

    def cached_blocks(self, keys: list[str]) -> int:
        """Returns the length of the longest cached prefix, in blocks, and marks it as used."""
        count = 0
        for key in keys:
            if key not in self._blocks:
                break
            self._blocks.move_to_end(key)
            count += 1
        return count

    def store(self, keys: list[str], now: float) -> None:
        """Adds blocks and removes the least recently used ones beyond the capacity."""
        for key in keys:
            if key not in self._blocks:
                self._add_event("stored", key, now)
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity:
            self._add_event("removed", self._blocks.popitem(last=False)[0], now)

    def clear(self, now: float) -> None:
        """Removes all blocks, as a change of weights does."""
        for key in self._blocks:
            self._add_event("removed", key, now)
        self._blocks.clear()

    def _add_event(self, name: str, key: str, now: float) -> None:
        self._events.append({"n": len(self._events), "time": now, "event": name, "block": key})

    def events(self, first: int, now: float) -> dict[str, Any]:
        """Returns events from a number on that are older than the lag, without the lost ones."""
        visible = [event for event in self._events[first:] if event["time"] <= now - self._lag_s]
        kept = [
            event
            for event in visible
            if not self._gap_every or (event["n"] + 1) % self._gap_every != 0
        ]
        return {"next": first + len(visible), "events": kept}
