"""Deficit round robin over the workspaces of one rank."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping

import attrs

from fescuechute.admission._items import QueuedItem

#: Items over which the mean cost is taken.
_COST_SAMPLES = 16


@attrs.define(eq=False)
class _Flow:
    """Waiting items of one workspace, oldest first."""

    workspace: str
    weight: float
    items: OrderedDict[str, QueuedItem] = attrs.field(factory=OrderedDict)
    #: Sum of the items' costs in tokens.
    cost: float = 0.0
    #: Tokens that the flow may still serve in its turn.
    deficit: float = 0.0
    #: True once the flow received its quantum for the current turn.
    in_turn: bool = False


class RoundRobin:
    """Waiting items of one rank and pool, shared out among workspaces by cost."""

    def __init__(self, weights: Mapping[str, float], quantum: float | None = None):
        """Creates an empty queue.

        Args:
          weights: Weights of workspaces, 1 for any other.
          quantum: Tokens that a workspace of weight 1 may serve in a turn; None follows the mean
            cost of the items, so that a turn is about one item. A larger quantum makes a small
            workspace wait for many items of each large one, a smaller one costs more rounds.
        """
        self._weights = weights
        self._follows_cost = quantum is None
        self._quantum = quantum or 0.0
        #: Flows with work; the first one has the turn.
        self._flows: OrderedDict[str, _Flow] = OrderedDict()
        self.cost = 0.0
        self.length = 0

    def push(self, item: QueuedItem) -> None:
        """Adds an item behind those of its workspace."""
        if self._follows_cost:
            known = self._quantum or item.cost
            self._quantum = max(1.0, known + (item.cost - known) / _COST_SAMPLES)
        flow = self._flows.get(item.workspace)
        if flow is None:
            flow = _Flow(item.workspace, self._weights.get(item.workspace, 1.0))
            self._flows[item.workspace] = flow
        flow.items[item.item_id] = item
        flow.cost += item.cost
        self.cost += item.cost
        self.length += 1

    def pop(self) -> QueuedItem | None:
        """Removes and returns the next item."""
        tried = 0
        while self._flows:
            flow = next(iter(self._flows.values()))
            head = next(iter(flow.items.values()))
            if not flow.in_turn:
                flow.deficit += self._quantum * flow.weight
                flow.in_turn = True
            if flow.deficit >= head.cost or len(self._flows) == 1:
                flow.deficit = max(0.0, flow.deficit - head.cost)
                self.remove(head)
                return head
            flow.in_turn = False
            self._flows.move_to_end(flow.workspace)
            tried += 1
            if tried == len(self._flows):
                self._skip_fruitless_rounds()
                tried = 0
        return None

    def remove(self, item: QueuedItem) -> None:
        """Removes an item, which must be present."""
        flow = self._flows[item.workspace]
        del flow.items[item.item_id]
        flow.cost -= item.cost
        self.cost -= item.cost
        self.length -= 1
        if not flow.items:
            # An idle workspace keeps no credit, so that it cannot save up for a burst.
            del self._flows[item.workspace]
        if not self._flows:
            self.cost = 0.0

    def heaviest(self, newcomer: QueuedItem) -> QueuedItem:
        """Returns the item to refuse: the newest of the workspace with the most queued cost.

        Costs are divided by the workspace's weight and include the newcomer, which loses ties.
        """
        worst, most = None, self.load_with(newcomer)
        for flow in self._flows.values():
            if flow.workspace != newcomer.workspace and flow.cost / flow.weight > most:
                worst, most = flow, flow.cost / flow.weight
        return newcomer if worst is None else next(reversed(worst.items.values()))

    def load_with(self, item: QueuedItem) -> float:
        """Returns the queued cost of the item's workspace with the item, by its weight."""
        flow = self._flows.get(item.workspace)
        queued = flow.cost if flow else 0.0
        return (queued + item.cost) / self._weights.get(item.workspace, 1.0)

    def cost_ahead(self, item: QueuedItem) -> float:
        """Returns the tokens that are served before an item that would be pushed now.

        Until the item's turn every other workspace receives at most its weight's part of what the
        item's own workspace receives.
        """
        level = self.load_with(item)
        ahead = 0.0
        for flow in self._flows.values():
            if flow.workspace == item.workspace:
                ahead += flow.cost
            else:
                ahead += min(flow.cost, level * flow.weight)
        return ahead

    def _skip_fruitless_rounds(self) -> None:
        """Grants all flows the rounds after which at least one of them can serve its head.

        Keeps the effort of a pop independent of how many quanta an item costs.
        """
        rounds = min(
            math.ceil((next(iter(f.items.values())).cost - f.deficit) / (self._quantum * f.weight))
            for f in self._flows.values()
        )
        for flow in self._flows.values():
            flow.deficit += max(0, rounds - 1) * self._quantum * flow.weight
