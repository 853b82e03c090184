"""The queue of waiting requests."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Iterator, Mapping, Sequence

import attrs

from fescuechute.admission._items import QueuedItem
from fescuechute.admission._round_robin import DeficitRoundRobin
from fescuechute.admission._shares import ShareAccount

#: Default limit on the items of one rank in one pool.
MAX_ITEMS = 4096
#: Charges that are kept for `report_usage`; limits the memory if the owner does not call it.
MAX_CHARGES = 16384
#: Length of the heap of latest starts, as a fixed number plus a number for each queued item, above
#: which the entries of items that have left the queue are purged.
EXTRA_HEAP_ENTRIES = 64
HEAP_ENTRIES_PER_ITEM = 2


@attrs.define(eq=False)
class _Pool:
    """Waiting items of one pool, by rank."""

    ranks: list[DeficitRoundRobin]
    account: ShareAccount


@attrs.frozen
class _Charge:
    """Whether the rank of a served item was charged the full cost."""

    #: In the account of its pool.
    charged: bool
    #: In the account over all pools.
    charged_total: bool


@attrs.define
class _RankLength:
    """Number of items of one rank."""

    length: int = 0


class FairQueue:
    """Waiting requests by pool, rank and workspace.

    `pop(now, pool)` applies the protected shares within that pool, `pop(now)` over all pools
    together. Each form guarantees the shares only among its own calls, so an owner must use only
    one of them.

    Args:
      ranks: Names and protected shares of the ranks, most urgent first.
      weights: Weights of workspaces, 1 for any other.
      max_items: Limit on the items of one rank in one pool.
      quantum: Quantum of the deficit round robin in tokens; None adapts it to the item costs.

    Raises:
      ValueError: If a share is negative, the shares sum to more than 1, or a weight is not above 0.
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
            raise ValueError(
                f"Protected shares are {shares}, expected values of 0 or more that sum to at most 1"
            )
        if any(weight <= 0 for weight in weights.values()):
            raise ValueError("Each workspace weight must be above 0")
        self._rank_indexes = {name: index for index, (name, _) in enumerate(ranks)}
        self._shares = shares
        self._weights = weights
        self._max_items = max_items
        self._quantum = quantum
        self._pools: dict[str, _Pool] = {}
        #: Account and queue lengths of the ranks over all pools.
        self._account = ShareAccount(shares)
        self._lengths = [_RankLength() for _ in shares]
        #: For each rank the pools with waiting items, in the order of their turns.
        self._pool_rotation: list[dict[str, None]] = [{} for _ in shares]
        self._items: dict[str, QueuedItem] = {}
        #: Charges of served items that were not reported as completed, by item id, oldest first.
        self._charges: OrderedDict[str, _Charge] = OrderedDict()
        self._sequence = itertools.count()
        #: Heap of (latest start, sequence number, item). Entries of items that have left the queue
        #: are skipped.
        self._latest_starts: list[tuple[float, int, QueuedItem]] = []
        #: Items that have expired and were not returned by `expire` yet.
        self._expired: list[QueuedItem] = []

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[QueuedItem]:
        return iter(list(self._items.values()))

    def push(self, item: QueuedItem) -> QueuedItem | None:
        """Adds an item; returns the item that is refused in exchange, if any.

        If the rank is full in this pool, the newest item of the workspace with the highest weighted
        queued cost is refused, which may be the arriving item. Other ranks and pools are not
        affected.

        Raises:
          ValueError: If the rank is unknown or the id is already queued.
        """
        rank = self._rank_index(item)
        if item.item_id in self._items:
            raise ValueError(f"Item {item.item_id} is already queued")
        pool = self._pool(item.pool)
        refused = None
        if pool.ranks[rank].length >= self._max_items:
            refused = pool.ranks[rank].item_to_refuse(item)
            if refused is item:
                return item
            self._remove(refused)
        pool.ranks[rank].push(item)
        self._lengths[rank].length += 1
        self._pool_rotation[rank].setdefault(item.pool)
        self._items[item.item_id] = item
        heapq.heappush(self._latest_starts, (item.latest_start, next(self._sequence), item))
        return refused

    def pop(self, now: float, pool: str | None = None) -> QueuedItem | None:
        """Removes and returns the next item that has not expired, or None.

        Args:
          now: Unix seconds.
          pool: Pool of the item, or None for any.
        """
        self._collect_expired(now)
        if pool is None:
            rank = self._account.next_rank(self._lengths)
            if rank is None:
                return None
            pool = next(iter(self._pool_rotation[rank]))
            chosen = self._pools[pool]
        else:
            named = self._pools.get(pool)
            rank = named.account.next_rank(named.ranks) if named else None
            if named is None or rank is None:
                return None
            chosen = named
        return self._serve(chosen, pool, rank)

    def remove(self, item_id: str) -> QueuedItem | None:
        """Removes and returns an item, or returns None if it is not queued."""
        item = self._items.get(item_id)
        if item is not None:
            self._remove(item)
        return item

    def expire(self, now: float) -> list[QueuedItem]:
        """Removes and returns the items whose latest start has passed, each exactly once."""
        self._collect_expired(now)
        expired, self._expired = self._expired, []
        return expired

    def report_usage(self, item: QueuedItem, used: float) -> None:
        """Corrects the charge of an item that was returned by `pop` to its actual usage.

        Without these calls the shares hold for the declared cost. Most requests end before
        `max_tokens`, in some ranks more than in others.

        Args:
          item: The item.
          used: Tokens that it used, 0 if it did not run.
        """
        charge = self._charges.pop(item.item_id, None)
        if charge is None:
            return
        rank, pool = self._rank_index(item), self._pool(item.pool)
        excess = used - item.cost
        pool.account.correct(rank, excess, charge.charged, pool.ranks)
        self._account.correct(rank, excess, charge.charged_total, self._lengths)

    def queued_cost(self, rank: str | None = None, pool: str | None = None) -> float:
        """Returns the queued cost in tokens, optionally of one rank and of one pool only."""
        pools = self._pools.values() if pool is None else filter(None, [self._pools.get(pool)])
        ranks = range(len(self._shares)) if rank is None else (self._rank_indexes[rank],)
        return sum(each.ranks[index].cost for each in pools for index in ranks)

    def would_refuse(self, item: QueuedItem) -> bool:
        """Returns whether `push` would refuse this item rather than accept it."""
        pool = self._pools.get(item.pool)
        if pool is None:
            return self._max_items <= 0
        waiting = pool.ranks[self._rank_index(item)]
        return waiting.length >= self._max_items and waiting.item_to_refuse(item) is item

    def cost_ahead(self, item: QueuedItem) -> float:
        """Returns the tokens of the item's rank and pool that are served before the item."""
        pool = self._pools.get(item.pool)
        return pool.ranks[self._rank_index(item)].cost_ahead(item) if pool else 0.0

    @property
    def ranks(self) -> tuple[tuple[str, float], ...]:
        """Names and protected shares of the ranks, most urgent first."""
        return tuple(zip(self._rank_indexes, self._shares, strict=True))

    def _rank_index(self, item: QueuedItem) -> int:
        rank = self._rank_indexes.get(item.rank)
        if rank is None:
            raise ValueError(f"Rank {item.rank} is not one of {list(self._rank_indexes)}")
        return rank

    def _pool(self, name: str) -> _Pool:
        pool = self._pools.get(name)
        if pool is None:
            ranks = [DeficitRoundRobin(self._weights, self._quantum) for _ in self._shares]
            pool = self._pools[name] = _Pool(ranks, ShareAccount(self._shares))
        return pool

    def _serve(self, pool: _Pool, pool_name: str, rank: int) -> QueuedItem | None:
        lengths_before = [_RankLength(items.length) for items in pool.ranks]
        item = pool.ranks[rank].pop()
        if item is None:
            return None
        charged = pool.account.charge(rank, item.cost, lengths_before)
        charged_total = self._account.charge(rank, item.cost, self._lengths)
        self._charges[item.item_id] = _Charge(charged, charged_total)
        self._charges.move_to_end(item.item_id)
        if len(self._charges) > MAX_CHARGES:
            self._charges.popitem(last=False)
        rotation = self._pool_rotation[rank]
        rotation.pop(pool_name, None)
        rotation[pool_name] = None
        self._untrack(item, pool, rank)
        return item

    def _remove(self, item: QueuedItem) -> None:
        rank = self._rank_indexes[item.rank]
        pool = self._pools[item.pool]
        pool.ranks[rank].remove(item)
        self._untrack(item, pool, rank)

    def _untrack(self, item: QueuedItem, pool: _Pool, rank: int) -> None:
        """Updates indexes, lengths and credits after an item was removed from its round robin."""
        del self._items[item.item_id]
        self._lengths[rank].length -= 1
        if not pool.ranks[rank].length:
            pool.account.drop_credit(rank)
            self._pool_rotation[rank].pop(item.pool, None)
        if not self._lengths[rank].length:
            self._account.drop_credit(rank)
        if len(self._latest_starts) > EXTRA_HEAP_ENTRIES + HEAP_ENTRIES_PER_ITEM * len(self._items):
            self._latest_starts = [e for e in self._latest_starts if self._is_queued(e[2])]
            heapq.heapify(self._latest_starts)

    def _is_queued(self, item: QueuedItem) -> bool:
        return self._items.get(item.item_id) is item

    def _collect_expired(self, now: float) -> None:
        while self._latest_starts and self._latest_starts[0][0] <= now:
            item = heapq.heappop(self._latest_starts)[2]
            if self._is_queued(item):
                self._remove(item)
                self._expired.append(item)
