"""A system that runs only a booking service, and the final check of each scenario on it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Coroutine
from typing import Any, TypeVar

from tests.harness import (
    Evidence,
    Fleet,
    Layout,
    Pool,
    ServiceCaller,
    System,
    collect_evidence,
    find_violations,
    http_json,
    wait_until,
)

T = TypeVar("T")

#: Seeds of the scenarios under load; `BOOKING_SEEDS=1,2,3` in the environment sets others.
SEEDS = tuple(map(int, os.environ.get("BOOKING_SEEDS", "11").split(",")))

#: Timeout of the final call for each key, in seconds. Every known outcome is in the log by then;
#: a claim that is still open is answered as unknown at this deadline.
FINAL_TIMEOUT_S = 2.5


def start_booking_system(
    fleet: Fleet, *, replicas: int = 2, entries: int = 2, work_ms: float = 20, **layout: Any
) -> System:
    """Starts replicas of a booking service, agents and entries; waits until all are connected."""
    options = {"work_ms": work_ms, "slots": 64}
    system = System(
        fleet,
        Layout(
            pools=(Pool("booking", replicas, "service"),),
            entries=entries,
            service_options=options,
            **layout,
        ),
    ).start()
    # An entry is ready once it has applied a note. No engine runs here to load these weights.
    release = {"kind": "model", "name": "assistant", "version": "v1", "manifest": "0" * 64}
    system.publish([{**release, "size": 1, "places": ["*"], "workspaces": ["*"]}])
    for entry in system.entries:
        wait_ready(system, entry.port)
    system.wait_services()
    return system


def wait_ready(system: System, port: int) -> None:
    """Waits until the health check of an entry passes."""
    wait_until(lambda: http_json("GET", port, "/healthz")[0] == 200, 20, "entry to become ready")


def execution_count(system: System) -> int:
    """Returns the number of bookings that the services executed."""
    return sum(
        sum(http_json("GET", replica.upstream.port, "/executions")[1].values())
        for replica in system.replicas
    )


def active_bookings(system: System) -> int:
    """Returns the number of bookings that run or wait at the services."""
    states = [http_json("GET", r.upstream.port, "/state")[1] for r in system.replicas]
    return sum(state["running"] + state["queued"] for state in states)


def claim_record_count(system: System) -> int:
    """Returns the number of records in all claim streams."""
    streams = http_json("GET", system.log.port, "/stats")[1]["streams"]
    return sum(s["next"] for name, s in streams.items() if name.startswith("claims-"))


async def wait_until_async(condition: Any, deadline_s: float, name: str) -> Any:
    """Waits for a condition without blocking the event loop."""
    return await asyncio.to_thread(wait_until, condition, deadline_s, name)


async def settle_and_collect(
    system: System, caller: ServiceCaller, port: int, final_timeout_s: float = FINAL_TIMEOUT_S
) -> Evidence:
    """Waits until the system is quiet, resends every key and collects the evidence.

    The system is quiet once no booking is active and 12 polls in a row, about 0.1 s apart, found no
    new claim record. The wait ends after 200 polls in any case.
    """
    # Record count at the last poll, and the number of polls since it changed.
    last = [-1, 0]

    def is_quiet() -> bool:
        now = [claim_record_count(system), last[1] + 1]
        last[:] = now if now[0] == last[0] and not active_bookings(system) else [now[0], 0]
        # Entries and agents retry a failed append within a second.
        return last[1] >= 12

    for _ in range(200):
        if await asyncio.to_thread(is_quiet):
            break
        await asyncio.sleep(0.1)
    await caller.resend_all(port, final_timeout_s)
    return await asyncio.to_thread(collect_evidence, system, caller.rows)


def assert_no_violations(evidence: Evidence, name: str, seed: int | None = None) -> None:
    """Prints the counts of a run and asserts that the evidence shows no violation."""
    seed_label = "" if seed is None else f" seed {seed}"
    print(f"{name}{seed_label}: {evidence.summary()}")
    violations = find_violations(evidence)
    assert not violations, "\n".join(violations)


def run(scenario: Coroutine[Any, Any, T]) -> T:
    """Runs a scenario in a new event loop and returns its result."""
    return asyncio.run(scenario)
