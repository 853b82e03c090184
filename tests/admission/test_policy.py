"""Tests of early refusal and of the rate estimation on which it depends.

They guard against admitting requests that miss their deadline and refusing ones that would meet it.
"""

import attrs
import pytest

from fescuechute.admission import AdmissionPolicy, FairQueue, QueuedItem, RateEstimator
from fescuechute.errors import Reason

RANKS = (("urgent", 0.0), ("ordinary", 0.25), ("background", 0.05))


def _item(item_id, rank="ordinary", workspace="w1", cost=100.0, deadline=10.0, pool="p"):
    return QueuedItem(str(item_id), rank, workspace, cost, 0.0, deadline, None, pool)


def _queue(*waiting, **options):
    """Returns a queue with (count, rank, workspace) groups of items with cost 100."""
    queue = FairQueue(RANKS, {}, **options)
    for group, (count, rank, workspace) in enumerate(waiting):
        for i in range(count):
            queue.push(_item(f"{group}/{i}", rank, workspace))
    return queue


@pytest.mark.parametrize(
    ("waiting", "rank", "expected"),
    [
        pytest.param([], "urgent", 0.0, id="empty"),
        pytest.param([(10, "background", "w1")], "urgent", 0.0, id="urgent_passes_background"),
        pytest.param([(10, "urgent", "w1")], "urgent", 10.0, id="own_rank"),
        pytest.param([(10, "urgent", "w2")], "urgent", 1.0, id="fair_turns_with_another"),
        pytest.param([(10, "urgent", "w2")], "ordinary", 0.0, id="lives_on_its_share"),
        pytest.param(
            [(2, "urgent", "w2"), (8, "ordinary", "w1")], "ordinary", 10.0, id="waits_for_urgent"
        ),
        pytest.param(
            [(90, "urgent", "w2"), (1, "ordinary", "w1")], "ordinary", 4.0, id="share_is_sooner"
        ),
    ],
)
def test_estimated_wait_follows_the_order_of_service(waiting, rank, expected):
    """An estimate that ignores ranks, shares and turns refuses the wrong requests."""
    wait = AdmissionPolicy().estimated_wait(_item("x", rank), _queue(*waiting), 100.0)
    assert wait == pytest.approx(expected)


def test_unreachable_deadline_is_refused_with_a_retry_time():
    """A request that cannot end in time must be refused on arrival, not after its deadline."""
    queue = _queue((20, "ordinary", "w1"))
    refusal = AdmissionPolicy().admit(_item("x"), queue, 0.0, 100.0)
    assert refusal.reason is Reason.DEADLINE_UNREACHABLE
    assert refusal.retry_at == pytest.approx(10.0)
    assert AdmissionPolicy().admit(_item("x", deadline=21.0), queue, 0.0, 100.0) is None
    slow_item = attrs.evolve(_item("x", deadline=21.0), estimated_run_s=2.0)
    assert AdmissionPolicy().admit(slow_item, queue, 0.0, 100.0)


def test_unknown_rate_refuses_nothing():
    """A process that has just started must not refuse all requests."""
    assert AdmissionPolicy().admit(_item("x"), _queue((50, "ordinary", "w1")), 0.0, 0.0) is None


def test_full_queue_is_refused_as_overloaded():
    """The caller must learn that the queue is full, and when to retry."""
    queue = _queue((5, "ordinary", "w1"), max_items=5)
    refusal = AdmissionPolicy().admit(_item("x", deadline=1e6), queue, 0.0, 100.0)
    assert refusal.reason is Reason.OVERLOADED
    assert refusal.retry_at > 0.0
    assert AdmissionPolicy().admit(_item("x", workspace="w2"), queue, 0.0, 100.0) is None


def test_rate_counts_only_time_with_a_backlog():
    """Time without a backlog would lower the rate and refuse requests that fit the capacity."""
    estimator = RateEstimator(half_life_s=5.0)
    for tenth in range(200):
        estimator.observe(tenth / 10, 100.0, True)
    assert estimator.rate(20.0) == pytest.approx(1000.0, rel=0.02)
    estimator.observe(20.0, 0.0, False)
    estimator.observe(500.0, 10.0, False)
    assert estimator.rate(500.0) == pytest.approx(1000.0, rel=0.02)


def test_rate_falls_while_a_backlog_is_not_served():
    """Requests must not be admitted at the old rate when all upstreams have stopped."""
    estimator = RateEstimator(half_life_s=5.0)
    for tenth in range(200):
        estimator.observe(tenth / 10, 100.0, True)
    assert estimator.rate(60.0) < 200.0


def test_rate_is_the_initial_rate_until_enough_is_observed():
    """A single fast request must not determine the rate."""
    estimator = RateEstimator(half_life_s=10.0, initial_rate=50.0)
    estimator.observe(0.0, 0.0, True)
    estimator.observe(0.01, 500.0, True)
    assert estimator.rate(0.01) == 50.0
