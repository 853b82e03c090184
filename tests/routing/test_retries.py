"""Retry budget and backoff, which keep retries from amplifying an overload."""

import random

from fescuechute.routing import RetryBudget, next_attempt_at


def test_retries_stay_within_the_share_of_first_attempts():
    """Guards against retries that double the traffic while every request fails."""
    budget = RetryBudget(retry_share=0.1, min_retries_per_s=0.1, capacity=20)
    retries = 0
    for request in range(10_000):
        budget.record_first_attempt()
        retries += budget.try_spend(request / 1000)
    # 1,000 from the share, 1 at the start and 1 from the refill over 10 s.
    assert 990 <= retries <= 1002


def test_budget_refills_over_time_to_one_retry():
    """Guards against never retrying while there is little traffic."""
    budget = RetryBudget(retry_share=0.1, min_retries_per_s=0.1)
    assert budget.try_spend(0.0)
    assert not budget.try_spend(1.0)
    assert budget.try_spend(11.0)
    assert budget.try_spend(500.0)
    assert not budget.try_spend(500.0), "idle time must not accumulate more than one retry"


def test_first_attempts_do_not_fill_the_budget_beyond_its_capacity():
    """Guards against a burst of retries after a long time without failures."""
    budget = RetryBudget(retry_share=0.1, capacity=5)
    for _ in range(10_000):
        budget.record_first_attempt()
    assert sum(budget.try_spend(0.0) for _ in range(100)) == 5


def test_backoff_grows_with_jitter_up_to_its_cap():
    """Guards against failed requests that are all retried at the same moment."""
    rng = random.Random(1)
    for attempt in range(1, 60):
        delays = [next_attempt_at(attempt, 100.0, rng) - 100.0 for _ in range(50)]
        max_delay_s = min(2.0, 0.05 * 2 ** (attempt - 1))
        assert all(0.5 * max_delay_s - 1e-9 <= delay <= max_delay_s + 1e-9 for delay in delays)
        assert len(set(delays)) > 40


def test_reducing_the_capacity_discards_excess_tokens():
    """Guards against exceeding a shared budget when more processes come to share it."""
    budget = RetryBudget(retry_share=1.0, min_retries_per_s=0.0, capacity=10.0)
    for _ in range(10):
        budget.record_first_attempt()
    budget.set_capacity(2.0)
    assert [budget.try_spend(0.0) for _ in range(3)] == [True, True, False]
