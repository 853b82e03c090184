"""A request that crashes each engine that runs it, sent again and again through all entries."""

import asyncio
import time

import pytest

from bench._load import Load, outcomes
from tests.harness import Fleet, Layout, Pool, wait_until
from tests.integration.faulty import FaultySystem, Supervisor, check_callers

POISON = "POISON"
#: Engines that one content may cost; the stated target.
MAX_LOST = 2
#: Seconds until a quarantine is known at each entry; the stated target.
KNOWN_S = 2.0


@pytest.fixture(scope="module")
def system():
    layout = Layout(
        pools=(Pool("assistant", 4),),
        entries=3,
        slots=4,
        engine_options={"token_interval_ms": 10, "crash_on": POISON, "crash_after_s": 0.1},
    )
    with Fleet() as fleet:
        running = FaultySystem(fleet, layout, ())
        running.start()
        running.publish([running.release("assistant", "v1", 256 << 10)])
        running.wait_confirmed("v1", 4)
        yield running


def crashes_reported(system):
    counters = [system.agent_status(r)["counters"] for r in system.engines()]
    return sum(found.get("engine.crashes", 0) for found in counters)


async def resend(system, load, prompt, known, together):
    """Sends a prompt again and again until each entry has refused it as quarantined.

    The first copy goes alone until its crash is reported: copies that start at the same moment are
    all under way before anyone can know of a crash. The others do not wait for its answer.
    """
    entries = len(system.entries)
    refused_by = set()
    before = crashes_reported(system)
    number = 1
    first = asyncio.create_task(load.generate(prompt=prompt, entry=0))
    while not first.done() and await asyncio.to_thread(crashes_reported, system) == before:
        await asyncio.sleep(0.005)
    if together == 1:
        await first
    began = time.time()
    while len(refused_by) < entries and time.time() - began < 12.0:
        turn = [(number + n) % entries for n in range(together)]
        number += together
        seen = await asyncio.gather(
            *(load.generate(prompt=prompt, entry=n, stream=n % 2 == 0) for n in turn)
        )
        for row in seen:
            if row.outcome == "quarantined":
                known.setdefault(row.entry, row.ended_at)
                refused_by.add(row.entry)
        await asyncio.sleep(0.02)
    await first
    return number


@pytest.mark.parametrize(
    ("together", "seed"),
    [pytest.param(1, 41, id="one_after_another"), pytest.param(3, 42, id="through_all_at_once")],
)
def test_a_crashing_request_costs_at_most_two_engines(system, together, seed):
    """A content that crashes engines must be stopped everywhere; innocent requests must go on."""
    print(f"seed {seed}")
    poison = f"{POISON} {seed}"
    known = {}

    async def play():
        async with Load([entry.port for entry in system.entries], seed) as load:

            def make(rng):
                prompt = f"innocent {rng.getrandbits(64):x}"
                return load.generate(prompt=prompt, max_tokens=30, stream=rng.random() < 0.5)

            flow = asyncio.create_task(load.poisson(25, time.time() + 6.0, make))
            await asyncio.sleep(0.5)
            sent = await resend(system, load, poison, known, together)
            await flow
        return load.rows, sent

    with Supervisor(system) as supervisor:
        rows, sent = asyncio.run(play())
        wait_until(lambda: system.confirmed("v1") == 4, 20, "all engines serve again")
        lost = supervisor.restarts
    spread = max(known.values()) - min(known.values()) if known else float("inf")
    poisoned = [row for row in rows if row.prompt == poison]
    innocent = [row for row in rows if row.prompt != poison]
    print(f"sent {sent} times, engines lost {lost}, first to last entry {spread:.2f} s")
    print(f"the crashing prompt: {dict(outcomes(poisoned))}")
    found = check_callers(system, innocent, "innocent")
    assert lost <= MAX_LOST
    assert len(known) == len(system.entries)
    assert spread <= KNOWN_S
    assert not found["quarantined"]
    assert found["answered"] >= 0.9 * len(innocent)
    after = asyncio.run(ask_all(system, seed))
    assert outcomes(after) == {"answered": len(after)}
    assert not outcomes(poisoned)["answered"]


async def ask_all(system, seed):
    """Sends other prompts through every entry."""
    async with Load([entry.port for entry in system.entries], seed) as load:
        for number in range(12):
            load.spawn(load.generate(prompt=f"afterwards {number}", entry=number % 3))
    return load.rows
