"""Bookings run at most once while the log returns from a copy some seconds old."""

import asyncio
import random

import pytest

from tests.harness import ServiceCaller, http_json, set_faults
from tests.integration.bookings import (
    SEEDS,
    assert_no_violations,
    claim_record_count,
    run,
    settle_and_collect,
    start_booking_system,
    wait_ready,
)

SKEW_S = 0.5


@pytest.mark.parametrize("seed", SEEDS)
def test_log_returns_during_bookings(fleet, seed):
    """A booking whose claim a return loses must run once, also at an entry that starts later."""
    system = start_booking_system(
        fleet, replicas=2, work_ms=60, settings={"claims": {"skew_s": SKEW_S}}
    )
    ports = [entry.port for entry in system.entries]
    rng = random.Random(seed)
    lost_counts = []

    async def booking(caller, number):
        key = caller.new_key(f"return{number}")
        if number % 8 == 0:
            set_faults(system.log.port, lose_answers=1)
        await caller.call_until_known(rng.sample(ports, 2), key, 3)

    async def scenario():
        async with ServiceCaller() as caller:
            tasks = asyncio.create_task(
                caller.start_poisson_arrivals(160, 40, rng, lambda n: booking(caller, n))
            )
            for _ in range(3):
                await asyncio.sleep(0.5 + 0.4 * rng.random())
                before = await asyncio.to_thread(claim_record_count, system)
                age_and_away = {"age_s": 0.2 + 0.4 * rng.random(), "away_s": 0.3}
                status, _ = await asyncio.to_thread(
                    http_json, "POST", system.log.port, "/return", age_and_away
                )
                assert status == 200
                lost_counts.append(before - claim_record_count(system))
            await asyncio.gather(*await tasks)
            set_faults(system.log.port, lose_answers=0)
            fresh = await caller.call_until_known(ports, caller.new_key("fresh"))
            assert fresh.answered, fresh
            started = system.start_entry("norte")
            await asyncio.to_thread(wait_ready, system, started.port)
            return await settle_and_collect(system, caller, started.port)

    evidence = run(scenario())
    assert_no_violations(evidence, "log returns", seed)
    print("records lost at each return:", lost_counts)
    assert max(lost_counts) > 0, "no return lost a record"
    assert set(evidence.executions_by_key.values()) == {1}
