"""Bookings run at most once while the log is out, loses answers or has dropped old records."""

import asyncio
import random
import time

import pytest

from tests.harness import Caller, claims_in_log, gather, set_faults
from tests.integration.bookings import (
    SEEDS,
    look,
    records,
    run,
    settle,
    start_bookings,
    verify,
)

#: A refusal during an outage must come at once. The first calls of an outage learn of it only from
#: their own append, which the log refuses without delay; the rest is the load of the test machine.
AT_ONCE_S = 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_log_is_down_in_the_middle_of_bookings(fleet, seed):
    """Bookings must be refused as not run at once, lookups must go on, a resend must succeed."""
    system = start_bookings(fleet, replicas=2)
    ports = [entry.port for entry in system.entries]
    rng = random.Random(seed)

    async def booking(caller, number):
        key = caller.new_key(f"down{number}")
        seen = await caller.call(rng.choice(ports), key, timeout_s=6)
        if not seen.answered:
            assert (seen.reason, seen.ran) == ("log_unavailable", "not_run"), seen
            assert seen.took_s < AT_ONCE_S, seen
            assert seen.retry_at > seen.sent_at, seen

    async def scenario():
        async with Caller() as caller, Caller(operation="lookup") as lookups:
            tasks = asyncio.create_task(caller.paced(150, 50, rng, lambda n: booking(caller, n)))
            await asyncio.sleep(0.7)
            set_faults(system.log.port, down=True)
            for number in range(35):
                assert (await lookups.call(ports[number % 2], "")).answered
                await asyncio.sleep(0.05)
            set_faults(system.log.port, down=False)
            await asyncio.gather(*await tasks)
            return await settle(system, caller, ports[0])

    evidence = run(scenario())
    verify(evidence, "log down", seed)
    assert any(row.reason == "log_unavailable" for row in evidence.rows)
    assert all(row.answered for row in evidence.final), evidence.summary()


@pytest.mark.parametrize("seed", SEEDS)
def test_log_loses_answers_of_appends_that_took_effect(fleet, seed):
    """A claim or outcome whose append brought no answer must be read back, not made twice."""
    system = start_bookings(fleet, replicas=2)
    ports = [entry.port for entry in system.entries]
    rng = random.Random(seed)

    async def booking(caller, number):
        if number % 6 == 0:
            set_faults(system.log.port, lose_answers=3)
        key = caller.new_key(f"loses{number}")
        await caller.call_until_known(rng.sample(ports, 2), key, 4)

    async def scenario():
        async with Caller() as caller:
            await asyncio.gather(*await caller.paced(80, 40, rng, lambda n: booking(caller, n)))
            set_faults(system.log.port, lose_answers=0)
            return await settle(system, caller, ports[0])

    evidence = run(scenario())
    verify(evidence, "log loses answers", seed)
    assert all(row.answered for row in evidence.final), evidence.summary()


@pytest.mark.parametrize("seed", SEEDS)
def test_claims_that_may_be_in_a_log_that_went_down_are_settled(fleet, seed):
    """A claim whose answer was lost just before an outage must be released or resolved after it."""
    system = start_bookings(fleet, replicas=2)
    ports = [entry.port for entry in system.entries]
    rng = random.Random(seed)

    async def scenario():
        async with Caller() as caller:
            for number in range(3):
                # The entries have noticed the end of the outage before.
                for port in ports:
                    await caller.call_until_known([port], caller.new_key("up"), 8)
                await asyncio.sleep(0.2)
                before = records(system)
                # The delay lets the outage begin before a lost append is read back.
                set_faults(system.log.port, lose_answers=100, delay_s=0.15)
                calls = [
                    asyncio.create_task(
                        caller.call(
                            rng.choice(ports), caller.new_key(f"maybe{number}"), timeout_s=3
                        )
                    )
                    for _ in range(6)
                ]
                await look(lambda before=before: records(system) > before, 5, "a lost append")
                set_faults(system.log.port, down=True, lose_answers=0, delay_s=0.0)
                await asyncio.gather(*calls)
                set_faults(system.log.port, down=False)
            return await settle(system, caller, ports[0])

    evidence = run(scenario())
    verify(evidence, "lost answers, then down", seed)
    assert all(row.answered for row in evidence.final), evidence.summary()
    assert any(row.ran == "not_run" for row in evidence.rows), evidence.summary()


def test_log_refuses_appends_over_its_rate(fleet):
    """Bookings beyond the log's rate must wait or be refused truthfully, never be lost."""
    system = start_bookings(fleet, replicas=2, log_options={"appends_per_s": 25})
    ports = [entry.port for entry in system.entries]
    rng = random.Random(43)

    async def scenario():
        async with Caller() as caller:
            await asyncio.gather(
                *await caller.paced(
                    120,
                    60,
                    rng,
                    lambda n: caller.call_until_known(
                        rng.sample(ports, 2), caller.new_key(f"r{n}")
                    ),
                )
            )
            return await settle(system, caller, ports[0], 6.0)

    evidence = run(scenario())
    verify(evidence, "log over its rate")
    assert all(row.answered for row in evidence.final), evidence.summary()


def test_claims_have_left_the_log(fleet):
    """A key whose claim the log dropped must not run again at an entry that never read it."""
    claims = {"window_s": 3.0, "skew_s": 0.5}
    system = start_bookings(fleet, replicas=1, entries=3, settings={"claims": claims})
    behind = system.entries[2]
    old = [entry.port for entry in system.entries[:2]]

    async def scenario():
        async with Caller() as caller:
            behind.process.freeze()
            keys = [caller.new_key(f"short{n}") for n in range(8)]
            seen = await asyncio.gather(*(caller.call(old[n % 2], k) for n, k in enumerate(keys)))
            assert all(row.answered for row in seen)
            # The log drops the claims while their keys are still within the window.
            set_faults(system.log.port, retention_s=0.1)
            await asyncio.sleep(0.2)
            claims_in_log(system)
            set_faults(system.log.port, retention_s=0.0)
            behind.process.thaw()
            again = [await caller.call(behind.port, key, timeout_s=1) for key in keys]
            assert {row.ran for row in again} == {"not_run"}, again
            assert any(row.reason == "not_ready" for row in again), again
            await asyncio.sleep(max(0.0, seen[0].sent_at + 3.5 - time.time()))
            for port in (behind.port, *old):
                late = await asyncio.gather(*(caller.call(port, k, timeout_s=1) for k in keys))
                # An old entry answers what it read before the log dropped it; where it read only
                # the claim, the outcome is unknown to it.
                if port == behind.port:
                    assert {row.reason for row in late} == {"key_expired"}, late
            fresh = await caller.call_until_known([behind.port], caller.new_key("fresh"))
            assert fresh.answered, fresh
            return await asyncio.to_thread(gather, system, caller.rows)

    evidence = run(scenario())
    verify(evidence, "claims left the log")
    assert set(evidence.executed.values()) == {1}
