"""Deficit round robin over the workspaces of one rank."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping

import attrs

from fescuechute.admission._items import QueuedItem

#: Items over which the moving average of the cost is taken.
_COST_AVERAGE_ITEMS = 16


@attrs.define(eq=False)
class _Flow:
    """Waiting items of one workspace, oldest first."""

    workspace: str
    weight: float
    items: OrderedDict[str, QueuedItem] = attrs.field(factory=OrderedDict)
    #: Sum of the items' costs in tokens.
    cost: float = 0.0
    #: Deficit counter: tokens that the flow may still serve in its turn.
    deficit: float = 0.0
    #: Whether the flow received its quantum for the current turn.
    quantum_granted: bool = False


class DeficitRoundRobin:
    """Waiting items of one rank and pool, shared among workspaces by weight and cost."""

    def __init__(self, weights: Mapping[str, float], quantum: float | None = None):
        """Creates an empty queue.

        Args:
          weights: Weights of workspaces, 1 for any other.
          quantum: Tokens that a workspace of weight 1 may serve in a turn; None uses the moving
            average of the item costs, so that a turn is about one item. A larger quantum makes a
            small workspace wait for many items of each large one, a smaller one costs more rounds.
        """
        self._weights = weights
        self._adapts_quantum = quantum is None
        self._quantum = quantum or 0.0
        #: Flows with waiting items by workspace; it is the turn of the first one.
        self._flows: OrderedDict[str, _Flow] = OrderedDict()
        #: Sum of the costs of all items, in tokens.
        self.cost = 0.0
        #: Number of items.
        self.length = 0

    def push(self, item: QueuedItem) -> None:
        """Adds an item after those of its workspace."""
        if self._adapts_quantum:
            average = self._quantum or item.cost
            self._quantum = max(1.0, average + (item.cost - average) / _COST_AVERAGE_ITEMS)
        flow = self._flows.get(item.workspace)
        if flow is None:
            flow = _Flow(item.workspace, self._weights.get(item.workspace, 1.0))
            self._flows[item.workspace] = flow
        flow.items[item.item_id] = item
        flow.cost += item.cost
        self.cost += item.cost
        self.length += 1

    def pop(self) -> QueuedItem | None:
        """Removes and returns the next item, or None if the queue is empty."""
        flows_skipped = 0
        while self._flows:
            flow = next(iter(self._flows.values()))
            head = next(iter(flow.items.values()))
            if not flow.quantum_granted:
                flow.deficit += self._quantum * flow.weight
                flow.quantum_granted = True
            if flow.deficit >= head.cost or len(self._flows) == 1:
                flow.deficit = max(0.0, flow.deficit - head.cost)
                self.remove(head)
                return head
            flow.quantum_granted = False
            self._flows.move_to_end(flow.workspace)
            flows_skipped += 1
            if flows_skipped == len(self._flows):
                self._skip_unproductive_rounds()
                flows_skipped = 0
        return None

    def remove(self, item: QueuedItem) -> None:
        """Removes an item, which must be queued."""
        flow = self._flows[item.workspace]
        del flow.items[item.item_id]
        flow.cost -= item.cost
        self.cost -= item.cost
        self.length -= 1
        if not flow.items:
            # An idle workspace loses its deficit counter, so that it cannot save up for a burst.
            del self._flows[item.workspace]
        if not self._flows:
            self.cost = 0.0

    def item_to_refuse(self, arriving: QueuedItem) -> QueuedItem:
        """Returns the newest item of the workspace with the highest weighted queued cost.

        The arriving item counts as the newest one of its workspace. In a tie it is returned itself.
        """
        heaviest, highest_cost = None, self.weighted_cost_with(arriving)
        for flow in self._flows.values():
            if flow.workspace != arriving.workspace and flow.cost / flow.weight > highest_cost:
                heaviest, highest_cost = flow, flow.cost / flow.weight
        return arriving if heaviest is None else next(reversed(heaviest.items.values()))

    def weighted_cost_with(self, item: QueuedItem) -> float:
        """Returns the queued cost of the item's workspace including the item, over its weight."""
        flow = self._flows.get(item.workspace)
        queued = flow.cost if flow else 0.0
        return (queued + item.cost) / self._weights.get(item.workspace, 1.0)

    def cost_ahead(self, item: QueuedItem) -> float:
        """Returns the tokens that are served before an item if it is pushed now.

        Until then, every other workspace is served at most as many tokens per unit of weight as the
        workspace of the item.
        """
        weighted_cost = self.weighted_cost_with(item)
        ahead = 0.0
        for flow in self._flows.values():
            if flow.workspace == item.workspace:
                ahead += flow.cost
            else:
                ahead += min(flow.cost, weighted_cost * flow.weight)
        return ahead

    def _skip_unproductive_rounds(self) -> None:
        """Grants all flows the quanta of the rounds in which none of them could serve its head.

        The run time of a pop thus does not depend on how many quanta an item costs.
        """
        rounds = min(
            math.ceil((next(iter(f.items.values())).cost - f.deficit) / (self._quantum * f.weight))
            for f in self._flows.values()
        )
        for flow in self._flows.values():
            flow.deficit += max(0, rounds - 1) * self._quantum * flow.weight
