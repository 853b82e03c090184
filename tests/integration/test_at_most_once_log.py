"""Bookings run at most once while the log is down, loses responses or has expired records."""

import asyncio
import random
import time

import pytest

from tests.harness import ServiceCaller, claims_in_log, collect_evidence, set_faults
from tests.integration.bookings import (
    SEEDS,
    assert_no_violations,
    claim_record_count,
    run,
    settle_and_collect,
    start_booking_system,
    wait_until_async,
)

#: Seconds within which a call must be refused during a log outage. The first calls detect the
#: outage only by their own append, which the log refuses at once; the rest is margin for load.
REFUSAL_S = 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_log_outage_during_bookings(fleet, seed):
    """In an outage, bookings must be refused as not run at once and lookups must succeed.

    After it, each booking must succeed when it is sent again.
    """
    system = start_booking_system(fleet, replicas=2)
    ports = [entry.port for entry in system.entries]
    rng = random.Random(seed)

    async def booking(caller, number):
        key = caller.new_key(f"down{number}")
        seen = await caller.call(rng.choice(ports), key, timeout_s=6)
        if not seen.answered:
            assert (seen.reason, seen.ran) == ("log_unavailable", "not_run"), seen
            assert seen.duration_s < REFUSAL_S, seen
            assert seen.retry_at > seen.sent_at, seen

    async def scenario():
        async with ServiceCaller() as caller, ServiceCaller(operation="lookup") as lookups:
            tasks = asyncio.create_task(
                caller.start_poisson_arrivals(150, 50, rng, lambda n: booking(caller, n))
            )
            await asyncio.sleep(0.7)
            set_faults(system.log.port, down=True)
            for number in range(35):
                assert (await lookups.call(ports[number % 2], "")).answered
                await asyncio.sleep(0.05)
            set_faults(system.log.port, down=False)
            await asyncio.gather(*await tasks)
            return await settle_and_collect(system, caller, ports[0])

    evidence = run(scenario())
    assert_no_violations(evidence, "log down", seed)
    assert any(row.reason == "log_unavailable" for row in evidence.rows)
    assert all(row.answered for row in evidence.final_attempts), evidence.summary()


@pytest.mark.parametrize("seed", SEEDS)
def test_log_loses_responses_of_successful_appends(fleet, seed):
    """An append without a response must be looked up in the log, not made again."""
    system = start_booking_system(fleet, replicas=2)
    ports = [entry.port for entry in system.entries]
    rng = random.Random(seed)

    async def booking(caller, number):
        if number % 6 == 0:
            set_faults(system.log.port, lose_answers=3)
        key = caller.new_key(f"loses{number}")
        await caller.call_until_known(rng.sample(ports, 2), key, 4)

    async def scenario():
        async with ServiceCaller() as caller:
            await asyncio.gather(
                *await caller.start_poisson_arrivals(80, 40, rng, lambda n: booking(caller, n))
            )
            set_faults(system.log.port, lose_answers=0)
            return await settle_and_collect(system, caller, ports[0])

    evidence = run(scenario())
    assert_no_violations(evidence, "log loses answers", seed)
    assert all(row.answered for row in evidence.final_attempts), evidence.summary()


@pytest.mark.parametrize("seed", SEEDS)
def test_unconfirmed_claims_are_resolved_after_a_log_outage(fleet, seed):
    """After an outage, a claim whose append got no response must be released or resolved."""
    system = start_booking_system(fleet, replicas=2)
    ports = [entry.port for entry in system.entries]
    rng = random.Random(seed)

    async def scenario():
        async with ServiceCaller() as caller:
            for number in range(3):
                # Waits until the entries have detected the end of the previous outage.
                for port in ports:
                    await caller.call_until_known([port], caller.new_key("up"), 8)
                await asyncio.sleep(0.2)
                count_before = claim_record_count(system)
                # The delay makes the outage start before an entry can read the append back.
                set_faults(system.log.port, lose_answers=100, delay_s=0.15)
                calls = [
                    asyncio.create_task(
                        caller.call(
                            rng.choice(ports), caller.new_key(f"maybe{number}"), timeout_s=3
                        )
                    )
                    for _ in range(6)
                ]
                await wait_until_async(
                    lambda count_before=count_before: claim_record_count(system) > count_before,
                    5,
                    "an append whose response is lost",
                )
                set_faults(system.log.port, down=True, lose_answers=0, delay_s=0.0)
                await asyncio.gather(*calls)
                set_faults(system.log.port, down=False)
            return await settle_and_collect(system, caller, ports[0])

    evidence = run(scenario())
    assert_no_violations(evidence, "lost answers, then down", seed)
    assert all(row.answered for row in evidence.final_attempts), evidence.summary()
    assert any(row.ran == "not_run" for row in evidence.rows), evidence.summary()


def test_log_limits_the_append_rate(fleet):
    """Bookings beyond the log's append rate must wait or be truly refused, never be lost."""
    system = start_booking_system(fleet, replicas=2, log_options={"appends_per_s": 25})
    ports = [entry.port for entry in system.entries]
    rng = random.Random(43)

    async def scenario():
        async with ServiceCaller() as caller:
            await asyncio.gather(
                *await caller.start_poisson_arrivals(
                    120,
                    60,
                    rng,
                    lambda n: caller.call_until_known(
                        rng.sample(ports, 2), caller.new_key(f"r{n}")
                    ),
                )
            )
            return await settle_and_collect(system, caller, ports[0], 6.0)

    evidence = run(scenario())
    assert_no_violations(evidence, "log over its rate")
    assert all(row.answered for row in evidence.final_attempts), evidence.summary()


def test_expired_claims_are_not_executed_again(fleet):
    """A key whose claim has expired must not run again at an entry that never read the claim."""
    claims = {"window_s": 3.0, "skew_s": 0.5}
    system = start_booking_system(fleet, replicas=1, entries=3, settings={"claims": claims})
    lagging = system.entries[2]
    other_ports = [entry.port for entry in system.entries[:2]]

    async def scenario():
        async with ServiceCaller() as caller:
            lagging.process.pause()
            keys = [caller.new_key(f"short{n}") for n in range(8)]
            seen = await asyncio.gather(
                *(caller.call(other_ports[n % 2], k) for n, k in enumerate(keys))
            )
            assert all(row.answered for row in seen)
            # The log expires the claims while their keys are still within the window.
            set_faults(system.log.port, retention_s=0.1)
            await asyncio.sleep(0.2)
            claims_in_log(system)
            set_faults(system.log.port, retention_s=0.0)
            lagging.process.resume()
            retried = [await caller.call(lagging.port, key, timeout_s=1) for key in keys]
            assert {row.ran for row in retried} == {"not_run"}, retried
            assert any(row.reason == "not_ready" for row in retried), retried
            await asyncio.sleep(max(0.0, seen[0].sent_at + 3.5 - time.time()))
            for port in (lagging.port, *other_ports):
                after_window = await asyncio.gather(
                    *(caller.call(port, k, timeout_s=1) for k in keys)
                )
                # The other entries answer from what they read before it expired; if they read
                # only the claim, they answer that the outcome is unknown.
                if port == lagging.port:
                    assert {row.reason for row in after_window} == {"key_expired"}, after_window
            fresh = await caller.call_until_known([lagging.port], caller.new_key("fresh"))
            assert fresh.answered, fresh
            return await asyncio.to_thread(collect_evidence, system, caller.rows)

    evidence = run(scenario())
    assert_no_violations(evidence, "claims left the log")
    assert set(evidence.executions_by_key.values()) == {1}
