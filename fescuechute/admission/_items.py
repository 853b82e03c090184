"""The row of a waiting request."""

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
    #: Tokens: the prompt's estimate plus max_tokens.
    cost: float
    #: Unix seconds.
    enqueued_at: float
    #: Unix seconds after which the item is no longer worth running.
    deadline: float
    #: Whatever the owner needs to run the item.
    payload: Any
    #: Name of the upstream pool that can run it.
    pool: str = ""
    #: Expected seconds from leaving the queue to the end of the answer, 0 when not known.
    run_s: float = 0.0

    @property
    def start_by(self) -> float:
        """Unix seconds after which the item cannot be expected to end in time."""
        return self.deadline - self.run_s
