"""A prompt that crashes every engine that runs it is quarantined at all entries."""

import asyncio
import time

import pytest

from bench._load import LoadGenerator, count_outcomes
from tests.harness import Fleet, Layout, Pool, wait_until
from tests.integration.fault_injection import EngineSupervisor, ProxiedSystem, check_answers

#: Engines crash on prompts that contain this text.
CRASH_MARKER = "POISON"
#: Target: engines that one prompt may crash.
MAX_CRASHED_ENGINES = 2
#: Target: seconds between the first and the last entry that refuses a quarantined prompt.
QUARANTINE_SPREAD_S = 2.0


@pytest.fixture(scope="module")
def system():
    layout = Layout(
        pools=(Pool("assistant", 4),),
        entries=3,
        slots=4,
        engine_options={"token_interval_ms": 10, "crash_on": CRASH_MARKER, "crash_after_s": 0.1},
    )
    with Fleet() as fleet:
        running = ProxiedSystem(fleet, layout, ())
        running.start()
        running.publish([running.release("assistant", "v1", 256 << 10)])
        running.wait_confirmed("v1", 4)
        yield running


def reported_crashes(system):
    counters = [system.agent_status(r)["counters"] for r in system.engine_replicas()]
    return sum(found.get("engine.crashes", 0) for found in counters)


async def send_until_quarantined(system, load, prompt, quarantined_at, parallel):
    """Sends copies of a prompt until each entry has refused one as quarantined.

    Only one copy is in flight until its crash is reported: copies that start at the same moment
    would all reach an engine before any crash could be reported. With `parallel` above 1, the
    others do not wait for the answer to the first copy.

    Args:
      system: The system under test.
      load: Sends the requests.
      prompt: The prompt that crashes engines.
      quarantined_at: Receives, by index of the entry, the unix time of its first refusal.
      parallel: Copies that are sent at the same time, to different entries.

    Returns:
      The number of copies sent.
    """
    entries = len(system.entries)
    refused_by = set()
    before = reported_crashes(system)
    copies = 1
    first = asyncio.create_task(load.generate(prompt=prompt, entry=0))
    while not first.done() and await asyncio.to_thread(reported_crashes, system) == before:
        await asyncio.sleep(0.005)
    if parallel == 1:
        await first
    started_at = time.time()
    while len(refused_by) < entries and time.time() - started_at < 12.0:
        targets = [(copies + n) % entries for n in range(parallel)]
        copies += parallel
        seen = await asyncio.gather(
            *(load.generate(prompt=prompt, entry=n, stream=n % 2 == 0) for n in targets)
        )
        for row in seen:
            if row.outcome == "quarantined":
                quarantined_at.setdefault(row.entry, row.ended_at)
                refused_by.add(row.entry)
        await asyncio.sleep(0.02)
    await first
    return copies


@pytest.mark.parametrize(
    ("parallel", "seed"),
    [pytest.param(1, 41, id="one_after_another"), pytest.param(3, 42, id="through_all_at_once")],
)
def test_crashing_request_is_quarantined_after_two_engines(system, parallel, seed):
    """Every entry must quarantine a crashing prompt in time and still answer other prompts."""
    print(f"seed {seed}")
    crashing_prompt = f"{CRASH_MARKER} {seed}"
    quarantined_at = {}

    async def run_scenario():
        async with LoadGenerator([entry.port for entry in system.entries], seed) as load:

            def make(rng):
                prompt = f"innocent {rng.getrandbits(64):x}"
                return load.generate(prompt=prompt, max_tokens=30, stream=rng.random() < 0.5)

            background = asyncio.create_task(load.send_poisson(25, time.time() + 6.0, make))
            await asyncio.sleep(0.5)
            sent = await send_until_quarantined(
                system, load, crashing_prompt, quarantined_at, parallel
            )
            await background
        return load.rows, sent

    with EngineSupervisor(system) as supervisor:
        rows, sent = asyncio.run(run_scenario())
        wait_until(lambda: system.confirmed("v1") == 4, 20, "all engines to serve again")
        crashed_engines = supervisor.restarts
    spread_s = (
        max(quarantined_at.values()) - min(quarantined_at.values())
        if quarantined_at
        else float("inf")
    )
    crashing_rows = [row for row in rows if row.prompt == crashing_prompt]
    innocent_rows = [row for row in rows if row.prompt != crashing_prompt]
    print(
        f"sent {sent} times, engines crashed {crashed_engines}, first to last entry {spread_s:.2f} s"
    )
    print(f"the crashing prompt: {dict(count_outcomes(crashing_rows))}")
    counts = check_answers(system, innocent_rows, "innocent")
    assert crashed_engines <= MAX_CRASHED_ENGINES
    assert len(quarantined_at) == len(system.entries)
    assert spread_s <= QUARANTINE_SPREAD_S
    assert not counts["quarantined"]
    assert counts["answered"] >= 0.9 * len(innocent_rows)
    rows_after = asyncio.run(send_through_every_entry(system, seed))
    assert count_outcomes(rows_after) == {"answered": len(rows_after)}
    assert not count_outcomes(crashing_rows)["answered"]


async def send_through_every_entry(system, seed):
    """Sends 12 prompts without the crash marker, in turn through each of the three entries."""
    async with LoadGenerator([entry.port for entry in system.entries], seed) as load:
        for number in range(12):
            load.spawn(load.generate(prompt=f"afterwards {number}", entry=number % 3))
    return load.rows
