"""Retry budget and backoff: the cases guard against retries that multiply an overload."""

import random

from fescuechute.routing import RetryBudget, backoff_at


def test_retries_stay_within_the_share_of_first_attempts():
    """A failing fleet must not receive twice the traffic."""
    budget = RetryBudget(share=0.1, floor_per_s=0.1, capacity=20)
    spent = 0
    for i in range(10_000):
        budget.first_attempt()
        spent += budget.try_spend(i / 1000)
    # 1,000 from the share, 1 at the start and 1 from the floor over 10 s.
    assert 990 <= spent <= 1002


def test_quiet_system_can_retry():
    """Without a floor a single request of a quiet hour could never be retried."""
    budget = RetryBudget(share=0.1, floor_per_s=0.1)
    assert budget.try_spend(0.0)
    assert not budget.try_spend(1.0)
    assert budget.try_spend(11.0)
    assert budget.try_spend(500.0)
    assert not budget.try_spend(500.0), "quiet time must not save up for a storm"


def test_calm_traffic_does_not_save_up_beyond_the_capacity():
    """An unbounded bucket would allow a storm after a calm day."""
    budget = RetryBudget(share=0.1, capacity=5)
    for _ in range(10_000):
        budget.first_attempt()
    assert sum(budget.try_spend(0.0) for _ in range(100)) == 5


def test_backoff_grows_with_jitter_up_to_its_cap():
    """Equal delays would bring all failed requests back at the same moment."""
    rng = random.Random(1)
    for attempt in range(1, 60):
        delays = [backoff_at(attempt, 100.0, rng) - 100.0 for _ in range(50)]
        longest = min(2.0, 0.05 * 2 ** (attempt - 1))
        assert all(0.5 * longest - 1e-9 <= delay <= longest + 1e-9 for delay in delays)
        assert len(set(delays)) > 40


def test_a_smaller_capacity_takes_away_what_was_saved():
    """Guards against a shared budget that is exceeded once more processes share it."""
    budget = RetryBudget(share=1.0, floor_per_s=0.0, capacity=10.0)
    for _ in range(10):
        budget.first_attempt()
    budget.set_capacity(2.0)
    assert [budget.try_spend(0.0) for _ in range(3)] == [True, True, False]
