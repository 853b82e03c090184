"""Fair queue: each case guards against a flood that takes what belongs to others."""

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


def _cost(items, **wanted):
    return sum(i.cost for i in items if all(getattr(i, k) == v for k, v in wanted.items()))


def test_urgent_goes_first_without_starving_the_others():
    """A flood of urgent work must leave each other rank its protected share."""
    queue = FairQueue(RANKS, {})
    for i in range(1000):
        for rank, _ in RANKS:
            queue.push(_item(f"{rank}{i}", rank))
    served = _serve(queue, 1000)
    assert _cost(served, rank="ordinary") == pytest.approx(25_000, abs=300)
    assert _cost(served, rank="background") == pytest.approx(5_000, abs=300)
    assert served[0].rank == "urgent"


def test_unused_share_flows_to_whoever_has_work():
    """A share that is kept free for nobody would waste capacity."""
    queue = FairQueue(RANKS, {})
    for i in range(100):
        queue.push(_item(i, "background"))
    assert len(_serve(queue, 100)) == 100


def test_idle_rank_saves_no_credit_for_a_burst():
    """A background burst after a quiet hour must not overtake urgent work."""
    queue = FairQueue(RANKS, {})
    for i in range(2000):
        queue.push(_item(f"u{i}", "urgent"))
    _serve(queue, 1000)
    for i in range(100):
        queue.push(_item(f"b{i}", "background"))
    served = _serve(queue, 100)
    assert _cost(served, rank="background") <= 600


def test_service_from_spare_capacity_is_not_held_against_a_rank():
    """Background work done in a quiet hour must not cost it its share in the next flood."""
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
    """A workspace with many or large requests must not take the turns of another."""
    queue = FairQueue(RANKS, weights)
    for i in range(3000):
        queue.push(_item(f"s{i}", workspace="small", cost=50))
    for i in range(100):
        queue.push(_item(f"l{i}", workspace="large", cost=4000))
    served = _serve(queue, 1000)
    share = _cost(served, workspace="small") / _cost(served)
    assert share == pytest.approx(expected, abs=0.1)


def test_large_items_do_not_need_many_rounds():
    """An item of many quanta must not cost the event loop a round for each quantum."""
    queue = FairQueue(RANKS, {}, quantum=1.0)
    for workspace in "abc":
        for i in range(10):
            queue.push(_item(f"{workspace}{i}", workspace=workspace, cost=1e9))
    assert len(_serve(queue, 30)) == 30


def test_full_rank_refuses_the_heaviest_workspace():
    """A flood of one workspace must not push out the requests of another."""
    queue = FairQueue(RANKS, {}, max_items=10)
    for i in range(10):
        assert queue.push(_item(f"l{i}", workspace="large")) is None
    newcomer = _item("l10", workspace="large")
    assert queue.is_full_for(newcomer)
    assert queue.push(newcomer) is newcomer
    small = _item("s1", workspace="small")
    assert not queue.is_full_for(small)
    assert queue.push(small).item_id == "l9", "the newest has waited least"
    assert len(queue) == 10


def test_arriving_request_loses_a_tie():
    """Replacing a queued request by an equal one would only move the refusal to who waited."""
    queue = FairQueue(RANKS, {}, max_items=3)
    for item_id, workspace in (("a1", "a"), ("b1", "b"), ("b2", "b")):
        queue.push(_item(item_id, workspace=workspace))
    newcomer = _item("a2", workspace="a")
    assert queue.push(newcomer) is newcomer


def test_items_that_left_early_do_not_fill_the_memory():
    """The deadlines of answered requests must not pile up until they pass."""
    queue = FairQueue(RANKS, {})
    for i in range(10_000):
        queue.push(_item(i))
        queue.pop(1.0)
    assert len(queue._latest_starts) < 200


def test_full_rank_leaves_other_ranks_and_pools_alone():
    """A background flood must not push out urgent items, nor one model's flood another's."""
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
    """An engine must not spend time on an answer that nobody waits for."""
    queue = FairQueue(RANKS, {})
    queue.push(_item("late", deadline=5.0))
    queue.push(_item("good", deadline=50.0))
    assert queue.pop(5.0).item_id == "good"
    assert [item.item_id for item in queue.expire(5.0)] == ["late"]
    assert queue.expire(6.0) == []
    assert queue.queued_cost() == 0


def test_item_that_cannot_end_in_time_is_not_served():
    """Slots spent on answers that come too late are lost to those that could come in time."""
    queue = FairQueue(RANKS, {})
    queue.push(attrs.evolve(_item("slow", deadline=5.0), run_s=3.0))
    assert queue.expire(1.9) == []
    assert queue.pop(2.0) is None
    assert [item.item_id for item in queue.expire(2.0)] == ["slow"]


def test_rank_that_ran_empty_saves_no_credit():
    """Work that is withdrawn must not leave credit with which later work overtakes urgent work."""
    queue = FairQueue(RANKS, {})
    for i in range(3):
        queue.push(_item(f"u{i}", "urgent"))
    queue.push(_item("b1", "background"))
    assert queue.pop(1.0).rank == "urgent"
    queue.remove("b1")
    queue.push(_item("b2", "background"))
    assert queue.pop(1.0).rank == "urgent"


def test_shares_follow_the_tokens_used():
    """A rank that uses all it declares must not get more than its part of the work, nor less."""
    queue = FairQueue(RANKS, {})
    rng = random.Random(7)
    for i in range(4000):
        for rank in ("urgent", "ordinary"):
            queue.push(_item(f"{rank}{i}", rank))
    used = dict.fromkeys(("urgent", "ordinary"), 0.0)
    for _ in range(4000):
        item = queue.pop(1.0)
        tokens = rng.uniform(60, 100) if item.rank == "urgent" else rng.uniform(5, 60)
        queue.completed(item, tokens)
        used[item.rank] += tokens
        assert used["ordinary"] == pytest.approx(0.25 * sum(used.values()), abs=200)


def test_item_that_did_not_run_costs_its_rank_nothing():
    """Refusals by busy upstreams must not use up the share of an ordinary request."""
    queue = FairQueue(RANKS, {})
    for i in range(100):
        queue.push(_item(f"u{i}", "urgent"))
    for i in range(5):
        queue.push(_item(f"o{i}"))
    ran = []
    for _ in range(40):
        item = queue.pop(1.0)
        if item.rank == "ordinary":
            queue.completed(item, 0.0)
            queue.push(item)
        else:
            queue.completed(item, item.cost)
            ran.append(item)
    assert len(ran) <= 5, "an ordinary item that did not run is offered again"


def test_charges_of_items_never_reported_are_bounded(monkeypatch):
    """An owner that reports no use must not fill the memory."""
    monkeypatch.setattr("fescuechute.admission._queue.MAX_CHARGES", 10)
    queue = FairQueue(RANKS, {})
    for i in range(100):
        queue.push(_item(i))
    _serve(queue, 100)
    assert len(queue._charges) == 10


def test_removed_item_is_gone():
    """A request that its caller gave up on must not run."""
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
def test_impossible_shares_and_weights_are_rejected(ranks, weights):
    """Shares that cannot all be kept would break one silently."""
    with pytest.raises(ValueError):
        FairQueue(ranks, weights)


class FairQueueMachine(RuleBasedStateMachine):
    """Any arrivals, removals and times: nothing is lost, doubled or served after its deadline.

    For every interval in which a rank has work without a break, it receives its share of the tokens
    used, less four items of the largest size: one for each rank and one for debt from before.
    """

    MAX_COST = 50.0
    #: Items use up to 1.1 of their cost.
    MAX_USED = 1.1 * MAX_COST

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(RANKS, {"w2": 3.0}, max_items=12, quantum=20.0)
        self.now = 0.0
        self.waiting: dict[str, QueuedItem] = {}
        self.next_id = 0
        #: For each rank the lowest (served - share * total) since it last became idle.
        self.lag = {name: 0.0 for name, _ in RANKS}
        self.highest = {name: 0.0 for name, _ in RANKS}

    @rule(
        rank=st.sampled_from([name for name, _ in RANKS]),
        workspace=st.sampled_from(["w1", "w2", "w3"]),
        costs=st.lists(st.floats(1.0, MAX_COST), min_size=1, max_size=8),
        wait=st.sampled_from([0.5, 3.0, 1000.0]),
        pool=st.sampled_from(["p", "q"]),
    )
    def push(self, rank, workspace, costs, wait, pool):
        for cost in costs:
            self.next_id += 1
            item = _item(self.next_id, rank, workspace, cost, self.now + wait, pool)
            full = self.queue.is_full_for(item)
            refused = self.queue.push(item)
            assert full == (refused is item)
            self.waiting[item.item_id] = item
            if refused is not None:
                assert refused.rank == rank
                assert refused.pool == pool
                del self.waiting[refused.item_id]

    @rule(count=st.integers(1, 20), usage=st.sampled_from([0.0, 0.1, 0.7, 1.0]))
    def pop(self, count, usage):
        for _ in range(count):
            busy = {i.rank for i in self.waiting.values() if i.deadline > self.now}
            self._drop_idle(busy)
            item = self.queue.pop(self.now)
            if item is None:
                assert not busy, "an item waits although the queue gives none"
                return
            assert self.waiting.pop(item.item_id) is item
            assert item.deadline > self.now
            # Ranks differ in how much of the declared cost they use.
            used = item.cost * (usage if item.rank == "urgent" else 1.1 - usage)
            self.queue.completed(item, used)
            for name, share in RANKS:
                if name in busy:
                    self.lag[name] += share * used - (used if name == item.rank else 0)
                    self.highest[name] = min(self.highest[name], self.lag[name])
            self._drop_idle({i.rank for i in self.waiting.values() if i.deadline > self.now})

    @rule(seconds=st.floats(0.0, 2.0))
    def advance(self, seconds):
        self.now += seconds

    @rule()
    def expire(self):
        for item in self.queue.expire(self.now):
            assert item.deadline <= self.now
            assert self.waiting.pop(item.item_id) is item
        assert all(item.deadline > self.now for item in self.waiting.values())
        self._drop_idle({i.rank for i in self.waiting.values()})

    @rule(data=st.data())
    def remove(self, data):
        if self.waiting:
            item_id = data.draw(st.sampled_from(sorted(self.waiting)))
            item = self.queue.remove(item_id)
            assert item is self.waiting[item_id] or item is None
            if item is not None:
                del self.waiting[item_id]
                self._drop_idle({i.rank for i in self.waiting.values()})

    def _drop_idle(self, busy):
        for name, _ in RANKS:
            if name not in busy:
                self.lag[name] = self.highest[name] = 0.0

    @invariant()
    def shares_hold_over_every_interval(self):
        for name, share in RANKS:
            if share:
                # Lag since the best moment of the busy period: the worst interval up to now.
                assert self.lag[name] - self.highest[name] <= 4 * self.MAX_USED + 1e-6

    @invariant()
    def totals_agree(self):
        live = [item for item in self.waiting.values() if item.deadline > self.now]
        assert len(self.queue) >= len(live)
        for rank, _ in RANKS:
            for pool in ("p", "q"):
                cost = sum(i.cost for i in live if (i.rank, i.pool) == (rank, pool))
                assert self.queue.queued_cost(rank, pool) >= cost - 1e-6


TestFairQueueMachine = FairQueueMachine.TestCase


@pytest.mark.parametrize("cost", [2.0, 26.0, 5000.0])
def test_small_workspace_waits_for_about_one_item_of_a_large_one(cost):
    """A turn worth many items made a small workspace wait for seconds behind a large one."""
    queue = FairQueue(RANKS, {})
    for number in range(500):
        queue.push(_item(f"large{number}", workspace="large", cost=cost))
    for _ in range(3):
        queue.pop(0.0)
    queue.push(_item("small", workspace="small", cost=cost))
    served = [row.item_id for row in _serve(queue, 3)]
    assert "small" in served
