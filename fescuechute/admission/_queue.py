"""The queue of waiting requests."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Iterator, Mapping, Sequence

import attrs

from fescuechute.admission._flows import RoundRobin
from fescuechute.admission._items import QueuedItem
from fescuechute.admission._shares import ShareAccount

#: Default bound on the items of one rank in one pool.
MAX_ITEMS = 4096
#: Items in flight whose charge is remembered; bounds the memory of an owner that reports no use.
MAX_CHARGES = 16384


@attrs.define(eq=False)
class _Lane:
    """Waiting items of one pool, by rank."""

    ranks: list[RoundRobin]
    account: ShareAccount


@attrs.frozen
class _Charge:
    """How an item was charged when it was served."""

    #: Whether its rank paid the cost, within its pool and over all pools.
    paid: bool
    paid_total: bool


@attrs.define
class _Total:
    """Items of one rank over all pools."""

    length: int = 0


class FairQueue:
    """Waiting requests by pool, rank and workspace.

    `pop(now, pool)` applies the protected shares within that pool, `pop(now)` over all pools
    together. An owner uses one of the two forms, since the shares hold for each form by itself.
    """

    def __init__(
        self,
        ranks: Sequence[tuple[str, float]],
        weights: Mapping[str, float],
        *,
        max_items: int = MAX_ITEMS,
        quantum: float | None = None,
    ):
        shares = [share for _, share in ranks]
        if any(share < 0 for share in shares) or sum(shares) > 1 + 1e-9:
            raise ValueError(f"The protected shares {shares} must be positive and sum to 1 or less")
        if any(weight <= 0 for weight in weights.values()):
            raise ValueError("Each workspace weight must be above 0")
        self._index = {name: index for index, (name, _) in enumerate(ranks)}
        self._shares = shares
        self._weights = weights
        self._max_items = max_items
        self._quantum = quantum
        self._lanes: dict[str, _Lane] = {}
        self._account = ShareAccount(shares)
        self._totals = [_Total() for _ in shares]
        #: For each rank the pools that have work, in turn.
        self._turns: list[dict[str, None]] = [{} for _ in shares]
        self._items: dict[str, QueuedItem] = {}
        #: How the items in flight were charged, oldest first.
        self._charges: OrderedDict[str, _Charge] = OrderedDict()
        self._order = itertools.count()
        #: Latest starts with a tie breaker; entries of items that left are skipped.
        self._latest_starts: list[tuple[float, int, QueuedItem]] = []
        self._expired: list[QueuedItem] = []

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[QueuedItem]:
        return iter(list(self._items.values()))

    def push(self, item: QueuedItem) -> QueuedItem | None:
        """Adds an item; returns the item that has to be refused for it, if any.

        When the rank is full in this pool, the newest item of the workspace with the most queued
        cost is refused, which may be the one that arrives. Other ranks and pools are not touched.

        Raises:
          ValueError: If the rank is not known or the id is already queued.
        """
        rank = self._rank(item)
        if item.item_id in self._items:
            raise ValueError(f"Item {item.item_id} is already queued")
        lane = self._lane(item.pool)
        refused = None
        if lane.ranks[rank].length >= self._max_items:
            refused = lane.ranks[rank].heaviest(item)
            if refused is item:
                return item
            self._take(refused)
        lane.ranks[rank].push(item)
        self._totals[rank].length += 1
        self._turns[rank].setdefault(item.pool)
        self._items[item.item_id] = item
        heapq.heappush(self._latest_starts, (item.start_by, next(self._order), item))
        return refused

    def pop(self, now: float, pool: str | None = None) -> QueuedItem | None:
        """Removes and returns the next item that has not expired, or None."""
        self._collect_expired(now)
        if pool is None:
            rank = self._account.next_rank(self._totals)
            if rank is None:
                return None
            pool = next(iter(self._turns[rank]))
            lane = self._lanes[pool]
        else:
            found = self._lanes.get(pool)
            rank = found.account.next_rank(found.ranks) if found else None
            if found is None or rank is None:
                return None
            lane = found
        return self._serve(lane, pool, rank)

    def remove(self, item_id: str) -> QueuedItem | None:
        """Removes an item and returns it, or None when it is not queued."""
        item = self._items.get(item_id)
        if item is not None:
            self._take(item)
        return item

    def expire(self, now: float) -> list[QueuedItem]:
        """Removes and returns the items that can no longer end in time, each exactly once."""
        self._collect_expired(now)
        expired, self._expired = self._expired, []
        return expired

    def completed(self, item: QueuedItem, used: float) -> None:
        """Takes in what an item that left by `pop` really used, in tokens, 0 if it did not run.

        Corrects what its rank was charged. Requests declare `max_tokens` and most end earlier, more
        so in some ranks than in others; without these calls the shares hold for the declared cost.
        """
        charge = self._charges.pop(item.item_id, None)
        if charge is None:
            return
        rank, lane = self._rank(item), self._lane(item.pool)
        extra = used - item.cost
        lane.account.correct(rank, extra, charge.paid, lane.ranks)
        self._account.correct(rank, extra, charge.paid_total, self._totals)

    def queued_cost(self, rank: str | None = None, pool: str | None = None) -> float:
        """Returns the queued cost in tokens, of one rank and of one pool if they are given."""
        lanes = self._lanes.values() if pool is None else filter(None, [self._lanes.get(pool)])
        ranks = range(len(self._shares)) if rank is None else (self._index[rank],)
        return sum(lane.ranks[index].cost for lane in lanes for index in ranks)

    def is_full_for(self, item: QueuedItem) -> bool:
        """Returns whether `push` would refuse this very item."""
        lane = self._lanes.get(item.pool)
        if lane is None:
            return self._max_items <= 0
        waiting = lane.ranks[self._rank(item)]
        return waiting.length >= self._max_items and waiting.heaviest(item) is item

    def cost_ahead(self, item: QueuedItem) -> float:
        """Returns the tokens of the item's rank and pool that are served before it."""
        lane = self._lanes.get(item.pool)
        return lane.ranks[self._rank(item)].cost_ahead(item) if lane else 0.0

    @property
    def ranks(self) -> tuple[tuple[str, float], ...]:
        """Names and protected shares, most urgent first."""
        return tuple(zip(self._index, self._shares, strict=True))

    def _rank(self, item: QueuedItem) -> int:
        rank = self._index.get(item.rank)
        if rank is None:
            raise ValueError(f"Rank {item.rank} is not one of {list(self._index)}")
        return rank

    def _lane(self, pool: str) -> _Lane:
        lane = self._lanes.get(pool)
        if lane is None:
            rows = [RoundRobin(self._weights, self._quantum) for _ in self._shares]
            lane = self._lanes[pool] = _Lane(rows, ShareAccount(self._shares))
        return lane

    def _serve(self, lane: _Lane, pool: str, rank: int) -> QueuedItem | None:
        before = [_Total(work.length) for work in lane.ranks]
        item = lane.ranks[rank].pop()
        if item is None:
            return None
        paid = lane.account.served(rank, item.cost, before)
        paid_total = self._account.served(rank, item.cost, self._totals)
        self._charges[item.item_id] = _Charge(paid, paid_total)
        self._charges.move_to_end(item.item_id)
        if len(self._charges) > MAX_CHARGES:
            self._charges.popitem(last=False)
        turns = self._turns[rank]
        turns.pop(pool, None)
        turns[pool] = None
        self._forget(item, lane, rank)
        return item

    def _take(self, item: QueuedItem) -> None:
        rank = self._index[item.rank]
        lane = self._lanes[item.pool]
        lane.ranks[rank].remove(item)
        self._forget(item, lane, rank)

    def _forget(self, item: QueuedItem, lane: _Lane, rank: int) -> None:
        del self._items[item.item_id]
        self._totals[rank].length -= 1
        if not lane.ranks[rank].length:
            lane.account.idle(rank)
            self._turns[rank].pop(item.pool, None)
        if not self._totals[rank].length:
            self._account.idle(rank)
        if len(self._latest_starts) > 64 + 2 * len(self._items):
            self._latest_starts = [e for e in self._latest_starts if self._is_queued(e[2])]
            heapq.heapify(self._latest_starts)

    def _is_queued(self, item: QueuedItem) -> bool:
        return self._items.get(item.item_id) is item

    def _collect_expired(self, now: float) -> None:
        while self._latest_starts and self._latest_starts[0][0] <= now:
            item = heapq.heappop(self._latest_starts)[2]
            if self._is_queued(item):
                self._take(item)
                self._expired.append(item)
