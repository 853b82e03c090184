"""Tests of the fair queue: a flood of one rank or workspace must not displace the others."""

import random

import attrs
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuechute.admission import FairQueue, QueuedItem

RANKS = (("urgent", 0.0), ("ordinary", 0.25), ("background", 0.05))


def _item(item_id, rank="ordinary", workspace="w1", cost=100.0, deadline=1e9, pool="p"):
    return QueuedItem(str(item_id), rank, workspace, cost, 0.0, deadline, None, pool)


def _serve(queue, count, now=1.0, pool=None):
    return [item for item in (queue.pop(now, pool) for _ in range(count)) if item is not None]


def _cost(items, **fields):
    return sum(i.cost for i in items if all(getattr(i, k) == v for k, v in fields.items()))


def test_urgent_rank_is_first_without_starving_the_others():
    """A flood of urgent requests must leave each other rank its protected share."""
    queue = FairQueue(RANKS, {})
    for i in range(1000):
        for rank, _ in RANKS:
            queue.push(_item(f"{rank}{i}", rank))
    served = _serve(queue, 1000)
    assert _cost(served, rank="ordinary") == pytest.approx(25_000, abs=300)
    assert _cost(served, rank="background") == pytest.approx(5_000, abs=300)
    assert served[0].rank == "urgent"


def test_unused_shares_are_available_to_any_rank():
    """Capacity that is reserved for a rank without waiting items would be wasted."""
    queue = FairQueue(RANKS, {})
    for i in range(100):
        queue.push(_item(i, "background"))
    assert len(_serve(queue, 100)) == 100


def test_rank_accumulates_no_credit_while_idle():
    """A burst of background requests after an idle time must not overtake urgent ones."""
    queue = FairQueue(RANKS, {})
    for i in range(2000):
        queue.push(_item(f"u{i}", "urgent"))
    _serve(queue, 1000)
    for i in range(100):
        queue.push(_item(f"b{i}", "background"))
    served = _serve(queue, 100)
    assert _cost(served, rank="background") <= 600


def test_spare_capacity_is_not_charged_to_a_rank():
    """A rank that used spare capacity must still get its share in the next flood."""
    queue = FairQueue(RANKS, {})
    for i in range(1500):
        queue.push(_item(f"o{i}", "ordinary"))
    _serve(queue, 500)
    for i in range(400):
        queue.push(_item(f"u{i}", "urgent"))
    assert _cost(_serve(queue, 400), rank="ordinary") >= 0.25 * 40_000 - 200


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        pytest.param({}, 0.5, id="equal"),
        pytest.param({"small": 3.0}, 0.75, id="heavier_small"),
        pytest.param({"small": 0.25}, 0.2, id="lighter_small"),
    ],
)
def test_workspaces_share_by_weight_and_cost(weights, expected):
    """A workspace with many or large requests must not reduce the share of another."""
    queue = FairQueue(RANKS, weights)
    for i in range(3000):
        queue.push(_item(f"s{i}", workspace="small", cost=50))
    for i in range(100):
        queue.push(_item(f"l{i}", workspace="large", cost=4000))
    served = _serve(queue, 1000)
    share = _cost(served, workspace="small") / _cost(served)
    assert share == pytest.approx(expected, abs=0.1)


def test_large_items_do_not_need_many_rounds():
    """An item of many quanta must not block the event loop for a round for each quantum."""
    queue = FairQueue(RANKS, {}, quantum=1.0)
    for workspace in "abc":
        for i in range(10):
            queue.push(_item(f"{workspace}{i}", workspace=workspace, cost=1e9))
    assert len(_serve(queue, 30)) == 30


def test_full_rank_refuses_the_heaviest_workspace():
    """A flood of one workspace must not displace the requests of another."""
    queue = FairQueue(RANKS, {}, max_items=10)
    for i in range(10):
        assert queue.push(_item(f"l{i}", workspace="large")) is None
    arriving = _item("l10", workspace="large")
    assert queue.would_refuse(arriving)
    assert queue.push(arriving) is arriving
    small = _item("s1", workspace="small")
    assert not queue.would_refuse(small)
    assert queue.push(small).item_id == "l9", "the newest item, which has waited least, is refused"
    assert len(queue) == 10


def test_arriving_item_is_refused_in_a_tie():
    """Refusing a queued item instead would waste the time that it has waited."""
    queue = FairQueue(RANKS, {}, max_items=3)
    for item_id, workspace in (("a1", "a"), ("b1", "b"), ("b2", "b")):
        queue.push(_item(item_id, workspace=workspace))
    arriving = _item("a2", workspace="a")
    assert queue.push(arriving) is arriving


def test_heap_entries_of_removed_items_are_purged():
    """Memory must not grow with the requests that are served long before their deadlines."""
    queue = FairQueue(RANKS, {})
    for i in range(10_000):
        queue.push(_item(i))
        queue.pop(1.0)
    assert len(queue._latest_starts) < 200


def test_full_rank_does_not_affect_other_ranks_and_pools():
    """A flood of one rank or model must not displace the items of another."""
    queue = FairQueue(RANKS, {}, max_items=5)
    queue.push(_item("u", "urgent"))
    queue.push(_item("other", "background", pool="q"))
    for i in range(100):
        queue.push(_item(f"b{i}", "background"))
    assert queue.push(_item("u2", "urgent")) is None
    assert len(queue) == 8
    assert queue.pop(1.0, "q").item_id == "other"


def test_pop_by_pool_serves_that_pool_only():
    """An upstream must not receive a request that it cannot run."""
    queue = FairQueue(RANKS, {})
    queue.push(_item("a", "urgent", pool="p"))
    queue.push(_item("b", "background", pool="q"))
    assert queue.pop(1.0, "q").item_id == "b"
    assert queue.pop(1.0, "q") is None
    assert queue.pop(1.0, "none") is None
    assert queue.pop(1.0).item_id == "a"


def test_expired_items_are_returned_once_and_never_served():
    """An engine must not spend time on an answer whose caller no longer waits."""
    queue = FairQueue(RANKS, {})
    queue.push(_item("late", deadline=5.0))
    queue.push(_item("good", deadline=50.0))
    assert queue.pop(5.0).item_id == "good"
    assert [item.item_id for item in queue.expire(5.0)] == ["late"]
    assert queue.expire(6.0) == []
    assert queue.queued_cost() == 0


def test_item_past_its_latest_start_is_not_served():
    """A slot must not be spent on an answer that would be late while others could be in time."""
    queue = FairQueue(RANKS, {})
    queue.push(attrs.evolve(_item("slow", deadline=5.0), estimated_run_s=3.0))
    assert queue.expire(1.9) == []
    assert queue.pop(2.0) is None
    assert [item.item_id for item in queue.expire(2.0)] == ["slow"]


def test_rank_whose_last_item_is_removed_loses_its_credit():
    """A cancelled item must not leave credit with which a later one overtakes urgent items."""
    queue = FairQueue(RANKS, {})
    for i in range(3):
        queue.push(_item(f"u{i}", "urgent"))
    queue.push(_item("b1", "background"))
    assert queue.pop(1.0).rank == "urgent"
    queue.remove("b1")
    queue.push(_item("b2", "background"))
    assert queue.pop(1.0).rank == "urgent"


def test_shares_follow_the_reported_usage():
    """Shares must hold for the tokens used, also if ranks use different parts of their cost."""
    queue = FairQueue(RANKS, {})
    rng = random.Random(7)
    for i in range(4000):
        for rank in ("urgent", "ordinary"):
            queue.push(_item(f"{rank}{i}", rank))
    used = dict.fromkeys(("urgent", "ordinary"), 0.0)
    for _ in range(4000):
        item = queue.pop(1.0)
        tokens = rng.uniform(60, 100) if item.rank == "urgent" else rng.uniform(5, 60)
        queue.report_usage(item, tokens)
        used[item.rank] += tokens
        assert used["ordinary"] == pytest.approx(0.25 * sum(used.values()), abs=200)


def test_item_that_did_not_run_is_not_charged():
    """Refusals by busy upstreams must not use up the protected share of a rank."""
    queue = FairQueue(RANKS, {})
    for i in range(100):
        queue.push(_item(f"u{i}", "urgent"))
    for i in range(5):
        queue.push(_item(f"o{i}"))
    ran = []
    for _ in range(40):
        item = queue.pop(1.0)
        if item.rank == "ordinary":
            queue.report_usage(item, 0.0)
            queue.push(item)
        else:
            queue.report_usage(item, item.cost)
            ran.append(item)
    assert len(ran) <= 5, "an ordinary item that did not run is served again soon"


def test_number_of_kept_charges_is_limited(monkeypatch):
    """Memory must not grow without limit if the owner does not report completed items."""
    monkeypatch.setattr("fescuechute.admission._queue.MAX_CHARGES", 10)
    queue = FairQueue(RANKS, {})
    for i in range(100):
        queue.push(_item(i))
    _serve(queue, 100)
    assert len(queue._charges) == 10


def test_removed_item_is_not_served():
    """A request that its caller has cancelled must not run."""
    queue = FairQueue(RANKS, {})
    queue.push(_item("a"))
    assert queue.remove("a").item_id == "a"
    assert queue.remove("a") is None
    assert queue.pop(1.0) is None


@pytest.mark.parametrize(
    ("ranks", "weights"),
    [
        pytest.param((("a", 0.8), ("b", 0.3)), {}, id="shares_above_one"),
        pytest.param((("a", -0.1),), {}, id="negative_share"),
        pytest.param((("a", 0.1),), {"w": 0.0}, id="zero_weight"),
    ],
)
def test_invalid_shares_and_weights_are_rejected(ranks, weights):
    """Shares that cannot all be guaranteed would silently be violated."""
    with pytest.raises(ValueError):
        FairQueue(ranks, weights)


class FairQueueMachine(RuleBasedStateMachine):
    """Checks that in any sequence of calls no item is lost, duplicated or served when expired.

    In every interval in which a rank always has waiting items, it must receive its share of the
    tokens used, less four items of the largest size: one for each rank and one for earlier debt.
    """

    MAX_COST = 50.0
    #: Items use up to 1.1 times their cost.
    MAX_USED = 1.1 * MAX_COST

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(RANKS, {"w2": 3.0}, max_items=12, quantum=20.0)
        self.now = 0.0
        self.waiting: dict[str, QueuedItem] = {}
        self.next_id = 0
        #: For each rank (share * total tokens used - tokens used by the rank), since it was last
        #: without waiting items, and the lowest value of that.
        self.lag = {name: 0.0 for name, _ in RANKS}
        self.lowest_lag = {name: 0.0 for name, _ in RANKS}

    @rule(
        rank=st.sampled_from([name for name, _ in RANKS]),
        workspace=st.sampled_from(["w1", "w2", "w3"]),
        costs=st.lists(st.floats(1.0, MAX_COST), min_size=1, max_size=8),
        timeout_s=st.sampled_from([0.5, 3.0, 1000.0]),
        pool=st.sampled_from(["p", "q"]),
    )
    def push(self, rank, workspace, costs, timeout_s, pool):
        for cost in costs:
            self.next_id += 1
            item = _item(self.next_id, rank, workspace, cost, self.now + timeout_s, pool)
            would_refuse = self.queue.would_refuse(item)
            refused = self.queue.push(item)
            assert would_refuse == (refused is item)
            self.waiting[item.item_id] = item
            if refused is not None:
                assert refused.rank == rank
                assert refused.pool == pool
                del self.waiting[refused.item_id]

    @rule(count=st.integers(1, 20), used_share=st.sampled_from([0.0, 0.1, 0.7, 1.0]))
    def pop(self, count, used_share):
        for _ in range(count):
            ranks_with_items = {i.rank for i in self.waiting.values() if i.deadline > self.now}
            self._reset_idle_ranks(ranks_with_items)
            item = self.queue.pop(self.now)
            if item is None:
                assert not ranks_with_items, "an item that has not expired is not served"
                return
            assert self.waiting.pop(item.item_id) is item
            assert item.deadline > self.now
            # Ranks differ in the part of the declared cost that they use.
            used = item.cost * (used_share if item.rank == "urgent" else 1.1 - used_share)
            self.queue.report_usage(item, used)
            for name, share in RANKS:
                if name in ranks_with_items:
                    self.lag[name] += share * used - (used if name == item.rank else 0)
                    self.lowest_lag[name] = min(self.lowest_lag[name], self.lag[name])
            self._reset_idle_ranks({i.rank for i in self.waiting.values() if i.deadline > self.now})

    @rule(seconds=st.floats(0.0, 2.0))
    def advance(self, seconds):
        self.now += seconds

    @rule()
    def expire(self):
        for item in self.queue.expire(self.now):
            assert item.deadline <= self.now
            assert self.waiting.pop(item.item_id) is item
        assert all(item.deadline > self.now for item in self.waiting.values())
        self._reset_idle_ranks({i.rank for i in self.waiting.values()})

    @rule(data=st.data())
    def remove(self, data):
        if self.waiting:
            item_id = data.draw(st.sampled_from(sorted(self.waiting)))
            item = self.queue.remove(item_id)
            assert item is self.waiting[item_id] or item is None
            if item is not None:
                del self.waiting[item_id]
                self._reset_idle_ranks({i.rank for i in self.waiting.values()})

    def _reset_idle_ranks(self, ranks_with_items):
        for name, _ in RANKS:
            if name not in ranks_with_items:
                self.lag[name] = self.lowest_lag[name] = 0.0

    @invariant()
    def shares_hold_over_every_interval(self):
        for name, share in RANKS:
            if share:
                # The increase since the lowest lag is that of the worst interval that ends now.
                assert self.lag[name] - self.lowest_lag[name] <= 4 * self.MAX_USED + 1e-6

    @invariant()
    def queued_cost_covers_live_items(self):
        live = [item for item in self.waiting.values() if item.deadline > self.now]
        assert len(self.queue) >= len(live)
        for rank, _ in RANKS:
            for pool in ("p", "q"):
                cost = sum(i.cost for i in live if (i.rank, i.pool) == (rank, pool))
                assert self.queue.queued_cost(rank, pool) >= cost - 1e-6


TestFairQueueMachine = FairQueueMachine.TestCase


@pytest.mark.parametrize("cost", [2.0, 26.0, 5000.0])
def test_small_workspace_waits_for_about_one_item_of_a_large_one(cost):
    """With turns of many items, a small workspace waited for seconds behind a large one."""
    queue = FairQueue(RANKS, {})
    for number in range(500):
        queue.push(_item(f"large{number}", workspace="large", cost=cost))
    for _ in range(3):
        queue.pop(0.0)
    queue.push(_item("small", workspace="small", cost=cost))
    served = [item.item_id for item in _serve(queue, 3)]
    assert "small" in served
