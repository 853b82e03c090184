"""A waiting request."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen(eq=False)
class QueuedItem:
    """A request that waits for an upstream."""

    #: Unique among the items of one queue.
    item_id: str
    rank: str
    workspace: str
    #: Tokens: the estimated length of the prompt plus max_tokens.
    cost: float
    #: Unix seconds.
    enqueued_at: float
    #: Unix seconds by which the answer must be complete.
    deadline: float
    #: Data of the queue's owner, not used by the queue.
    payload: Any
    #: Name of the upstream pool that can run it.
    pool: str = ""
    #: Estimated seconds from leaving the queue to the end of the answer, 0 if unknown.
    estimated_run_s: float = 0.0

    @property
    def latest_start(self) -> float:
        """Unix seconds after which the item, by its estimated run time, ends after its deadline."""
        return self.deadline - self.estimated_run_s
