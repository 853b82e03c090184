"""Prefix cache of the engine: an LRU cache of blocks of prompt text."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from blake3 import blake3

#: Characters per block; only full blocks are cached.
BLOCK_CHARS = 64


def block_keys(weights_id: str, prompt: str) -> list[str]:
    """Returns a key per full block: a hash of the weights and the prompt up to the block's end.

    Args:
      weights_id: Identifies the weights that computed the blocks; no other weights can use them.
      prompt: The prompt.
    """
    keys = []
    state = blake3(weights_id.encode())
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        state.update(prompt[end - BLOCK_CHARS : end].encode())
        keys.append(state.hexdigest(length=16))
    return keys


class PrefixCache:
    """LRU cache of at most `capacity` blocks that records an event for each change.

    Readers see an event `lag_s` seconds late. Every `gap_every`-th event is withheld from them; 0
    withholds none.
    """

    def __init__(self, capacity: int, lag_s: float, gap_every: int):
        self._capacity = capacity
        self._lag_s = lag_s
        self._gap_every = gap_every
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[dict[str, Any]] = []

    def match_prefix(self, keys: list[str]) -> int:
        """Returns the number of blocks in the longest cached prefix and marks them as used."""
        count = 0
        for key in keys:
            if key not in self._blocks:
                break
            self._blocks.move_to_end(key)
            count += 1
        return count

    def store(self, keys: list[str], now: float) -> None:
        """Adds blocks and evicts the least recently used ones above the capacity."""
        for key in keys:
            if key not in self._blocks:
                self._add_event("stored", key, now)
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity:
            self._add_event("removed", self._blocks.popitem(last=False)[0], now)

    def clear(self, now: float) -> None:
        """Removes all blocks; called when the loaded weights change."""
        for key in self._blocks:
            self._add_event("removed", key, now)
        self._blocks.clear()

    def _add_event(self, name: str, key: str, now: float) -> None:
        self._events.append({"n": len(self._events), "time": now, "event": name, "block": key})

    def read_events(self, first_number: int, now: float) -> dict[str, Any]:
        """Returns visible events from `first_number` on, without the withheld ones.

        `next` is the number from which the reader continues.
        """
        visible = [
            event for event in self._events[first_number:] if event["time"] <= now - self._lag_s
        ]
        delivered = [
            event
            for event in visible
            if not self._gap_every or (event["n"] + 1) % self._gap_every != 0
        ]
        return {"next": first_number + len(visible), "events": delivered}
