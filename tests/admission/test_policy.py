"""Early refusal: each case guards against work accepted in vain or refused without need."""

import attrs
import pytest

from fescuechute.admission import AdmissionPolicy, FairQueue, QueuedItem, RateEstimator
from fescuechute.errors import Reason

RANKS = (("urgent", 0.0), ("ordinary", 0.25), ("background", 0.05))


def _item(item_id, rank="ordinary", workspace="w1", cost=100.0, deadline=10.0, pool="p"):
    return QueuedItem(str(item_id), rank, workspace, cost, 0.0, deadline, None, pool)


def _queue(*waiting, **options):
    """Builds a queue from (count, rank, workspace) groups of items with cost 100."""
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
def test_estimated_wait_follows_ranks_shares_and_turns(waiting, rank, expected):
    """An estimate that ignores the order of service refuses the wrong requests."""
    wait = AdmissionPolicy().estimated_wait(_item("x", rank), _queue(*waiting), 100.0)
    assert wait == pytest.approx(expected)


def test_unreachable_deadline_is_refused_with_a_retry_time():
    """A request that cannot finish in time must be refused at once, not after its deadline."""
    queue = _queue((20, "ordinary", "w1"))
    refuse = AdmissionPolicy().admit(_item("x"), queue, 0.0, 100.0)
    assert refuse.reason is Reason.DEADLINE_UNREACHABLE
    assert refuse.retry_at == pytest.approx(10.0)
    assert AdmissionPolicy().admit(_item("x", deadline=21.0), queue, 0.0, 100.0) is None
    slow = attrs.evolve(_item("x", deadline=21.0), run_s=2.0)
    assert AdmissionPolicy().admit(slow, queue, 0.0, 100.0)


def test_unknown_rate_refuses_nothing():
    """A process that has just started must not refuse everything."""
    assert AdmissionPolicy().admit(_item("x"), _queue((50, "ordinary", "w1")), 0.0, 0.0) is None


def test_full_queue_is_refused_as_overloaded():
    """The caller must learn that the queue is full, with a time to come back."""
    queue = _queue((5, "ordinary", "w1"), max_items=5)
    refuse = AdmissionPolicy().admit(_item("x", deadline=1e6), queue, 0.0, 100.0)
    assert refuse.reason is Reason.OVERLOADED
    assert refuse.retry_at > 0.0
    assert AdmissionPolicy().admit(_item("x", workspace="w2"), queue, 0.0, 100.0) is None


def test_rate_counts_time_with_a_backlog_only():
    """Quiet time would make the capacity look low and refuse work that fits."""
    rate = RateEstimator(half_life_s=5.0)
    for tenth in range(200):
        rate.observe(tenth / 10, 100.0, True)
    assert rate.rate(20.0) == pytest.approx(1000.0, rel=0.02)
    rate.observe(20.0, 0.0, False)
    rate.observe(500.0, 10.0, False)
    assert rate.rate(500.0) == pytest.approx(1000.0, rel=0.02)


def test_rate_falls_while_a_backlog_gets_no_service():
    """A fleet that stopped must not go on accepting work at its old rate."""
    rate = RateEstimator(half_life_s=5.0)
    for tenth in range(200):
        rate.observe(tenth / 10, 100.0, True)
    assert rate.rate(60.0) < 200.0


def test_rate_returns_the_initial_value_until_enough_is_measured():
    """One fast request must not set the rate."""
    rate = RateEstimator(half_life_s=10.0, initial=50.0)
    rate.observe(0.0, 0.0, True)
    rate.observe(0.01, 500.0, True)
    assert rate.rate(0.01) == 50.0
