"""Bookings that end without an answer: executed ones are recorded, others are released."""

import asyncio
import json
import random

import pytest

from tests.harness import Fleet, ServiceCaller, set_faults
from tests.integration.bookings import (
    SEEDS,
    active_bookings,
    assert_no_violations,
    run,
    settle_and_collect,
    start_booking_system,
    wait_until_async,
)


def test_result_after_the_deadline_is_recorded(fleet):
    """A booking that completes after its deadline must be recorded, not stay unknown."""
    system = start_booking_system(fleet, replicas=1, work_ms=1500)
    first, second = (entry.port for entry in system.entries)

    async def scenario():
        async with ServiceCaller() as caller:
            keys = [caller.new_key(f"late{n}") for n in range(3)]
            timed_out = await asyncio.gather(*(caller.call(first, k, timeout_s=0.7) for k in keys))
            assert {row.ran for row in timed_out} == {"unknown"}, timed_out
            return await settle_and_collect(system, caller, second)

    evidence = run(scenario())
    assert_no_violations(evidence, "answer after the deadline")
    assert all(row.answered for row in evidence.final_attempts), evidence.summary()


@pytest.mark.parametrize("seed", SEEDS)
def test_deadline_passes_while_bookings_are_queued_at_the_entry(fleet, seed):
    """A booking that expires in the entry's queue is refused as not run; its key stays usable."""
    system = start_booking_system(fleet, replicas=1, work_ms=400, slots=2)
    first, second = (entry.port for entry in system.entries)
    rng = random.Random(seed)

    async def scenario():
        async with ServiceCaller() as caller:
            await asyncio.gather(
                *await caller.start_poisson_arrivals(
                    24,
                    60,
                    rng,
                    lambda n: caller.call(
                        first, caller.new_key(f"wait{n}"), timeout_s=rng.uniform(0.3, 0.6)
                    ),
                )
            )
            await wait_until_async(lambda: active_bookings(system) == 0, 10, "idle services")
            return await settle_and_collect(system, caller, second, 10)

    evidence = run(scenario())
    assert_no_violations(evidence, "deadline at the entry", seed)
    assert all(row.answered for row in evidence.final_attempts), evidence.summary()
    assert any(row.ran == "not_run" for row in evidence.rows), (
        "no booking was refused from the queue"
    )


def test_closed_caller_connection_leaves_no_open_claim(fleet):
    """When a caller closes its connection, the booking must be recorded or its claim released."""
    system = start_booking_system(fleet, replicas=1, work_ms=200)
    first, second = (entry.port for entry in system.entries)
    rng = random.Random(31)

    async def scenario():
        async with ServiceCaller() as caller:

            async def call_and_disconnect(number):
                key = caller.new_key(f"gone{number}")
                task = asyncio.create_task(caller.call(first, key, timeout_s=3))
                await asyncio.sleep(rng.uniform(0.0, 0.25))
                task.cancel()

            await asyncio.gather(
                *await caller.start_poisson_arrivals(40, 40, rng, call_and_disconnect)
            )
            return await settle_and_collect(system, caller, second)

    evidence = run(scenario())
    assert_no_violations(evidence, "caller goes away")
    assert all(row.answered for row in evidence.final_attempts), evidence.summary()


def test_lost_service_response_leaves_the_outcome_unknown(fleet):
    """A booking whose response was lost after execution stays unknown and never runs again."""
    system = start_booking_system(fleet, replicas=1, work_ms=20)
    first, second = (entry.port for entry in system.entries)
    set_faults(system.replicas[0].upstream.port, lose_answers=5)

    async def scenario():
        async with ServiceCaller() as caller:
            keys = [caller.new_key(f"lost{n}") for n in range(10)]
            seen = [await caller.call(first, key, timeout_s=3) for key in keys]
            assert [row.ran for row in seen] == ["unknown"] * 5 + [""] * 5, seen
            return await settle_and_collect(system, caller, second)

    evidence = run(scenario())
    assert_no_violations(evidence, "service answer lost")
    assert [row.ran for row in evidence.final_attempts] == ["unknown"] * 5 + [""] * 5, (
        evidence.summary()
    )


def test_call_to_unreachable_service_is_refused_as_not_run(fleet):
    """A booking that cannot reach its service must be refused as not run and succeed later."""
    system = start_booking_system(fleet, replicas=1)
    service = system.replicas[0].upstream
    port = service.port

    async def scenario():
        async with ServiceCaller() as caller:
            service.kill()
            service.wait_exit(5)
            key = caller.new_key("unreachable")
            seen = await caller.call(system.entries[0].port, key, timeout_s=1.5)
            assert seen.ran == "not_run", seen
            system.replicas[0].upstream = system.restart_service(port)
            system.wait_services()
            return await settle_and_collect(system, caller, system.entries[1].port)

    evidence = run(scenario())
    assert_no_violations(evidence, "service unreachable")
    assert all(row.answered for row in evidence.final_attempts), evidence.summary()


INVALID_KEY_TIMES = [
    pytest.param(-630_000, "key_expired", id="older_than_the_window"),
    pytest.param(60_000, "key_malformed", id="from_the_future"),
]


@pytest.fixture(scope="module")
def running_system():
    """A system shared by the tests that inject no faults."""
    with Fleet() as fleet:
        yield start_booking_system(fleet, replicas=1)


@pytest.mark.parametrize(("offset_ms", "reason"), INVALID_KEY_TIMES)
def test_key_outside_the_time_window_is_refused(running_system, offset_ms, reason):
    """A key outside the window must not run, since an earlier claim may have left the log."""
    system = running_system

    async def scenario():
        async with ServiceCaller() as caller:
            key_ms, _, label = caller.new_key("time").partition("-")
            key = f"{int(key_ms) + offset_ms}-{label}"
            seen = await caller.call(system.entries[0].port, key)
            assert (seen.reason, seen.ran) == (reason, "not_run"), seen
            return await settle_and_collect(system, caller, system.entries[1].port)

    evidence = run(scenario())
    assert_no_violations(evidence, reason)
    assert not any(row.key in evidence.executions_by_key for row in evidence.rows)


def test_key_reused_with_other_arguments_is_refused(running_system):
    """One key must not run with two different arguments, at one entry or at two concurrently."""
    system = running_system
    ports = [entry.port for entry in system.entries]

    async def scenario():
        async with ServiceCaller() as caller:
            for number in range(10):
                key = caller.new_key(f"reused{number}")
                pair = [caller.call(port, key, {"winch": port}) for port in ports]
                reasons = {row.reason for row in await asyncio.gather(*pair)}
                assert reasons == {"", "key_reused"}, reasons
                conflicting = await caller.call(ports[number % 2], key, {"winch": "other"})
                assert (conflicting.reason, conflicting.ran) == ("key_reused", "not_run")
            # The refused calls are not sent again, because their refusal is final.
            caller.rows = [row for row in caller.rows if row.answered]
            return await settle_and_collect(system, caller, ports[0])

    evidence = run(scenario())
    assert_no_violations(evidence, "key reused")
    arguments_by_key = {
        row.key: json.loads(row.result)["arguments"] for row in evidence.final_attempts
    }
    assert len(arguments_by_key) == 10 and all(
        evidence.executions_by_key[key] == 1 for key in arguments_by_key
    )
