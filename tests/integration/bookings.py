"""A system with a booking service only, and the end of a run that proves it was correct."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Coroutine
from typing import Any, TypeVar

from tests.harness import (
    Caller,
    Evidence,
    Fleet,
    Layout,
    Pool,
    System,
    find_violations,
    gather,
    http_json,
    wait_until,
)

T = TypeVar("T")

#: Seeds of the scenarios under load; `BOOKING_SEEDS=1,2,3` in the environment sets others.
SEEDS = tuple(map(int, os.environ.get("BOOKING_SEEDS", "11").split(",")))

#: Seconds that a caller waits for a key after the system has settled. Every known outcome is in
#: the log by then, and an open claim is answered at this deadline.
FINAL_TIMEOUT_S = 2.5


def start_bookings(
    fleet: Fleet, *, replicas: int = 2, entries: int = 2, work_ms: float = 20, **layout: Any
) -> System:
    """Starts replicas of a booking service, their agents, and entries that see all of them."""
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
    # An entry is ready once a note is in force. No engine is here to load these weights.
    release = {"kind": "model", "name": "assistant", "version": "v1", "manifest": "0" * 64}
    system.publish([{**release, "size": 1, "places": ["*"], "workspaces": ["*"]}])
    for entry in system.entries:
        wait_ready(system, entry.port)
    system.wait_services()
    return system


def wait_ready(system: System, port: int) -> None:
    """Waits until an entry says that it is ready."""
    wait_until(lambda: http_json("GET", port, "/healthz")[0] == 200, 20, "a ready entry")


def executions(system: System) -> int:
    """Returns how many bookings were executed."""
    return sum(
        sum(http_json("GET", replica.upstream.port, "/executions")[1].values())
        for replica in system.replicas
    )


def running(system: System) -> int:
    """Returns how many bookings the services hold now."""
    states = [http_json("GET", r.upstream.port, "/state")[1] for r in system.replicas]
    return sum(state["running"] + state["queued"] for state in states)


def records(system: System) -> int:
    """Returns the number of records in all claim streams."""
    streams = http_json("GET", system.log.port, "/stats")[1]["streams"]
    return sum(s["next"] for name, s in streams.items() if name.startswith("claims-"))


async def look(what: Any, deadline_s: float, name: str) -> Any:
    """Waits for a condition while callers go on."""
    return await asyncio.to_thread(wait_until, what, deadline_s, name)


async def settle(
    system: System, caller: Caller, port: int, final_timeout_s: float = FINAL_TIMEOUT_S
) -> Evidence:
    """Waits until nothing changes any more, sends every key once more, collects the evidence."""
    last = [-1, 0]

    def quiet() -> bool:
        now = [records(system), last[1] + 1]
        last[:] = now if now[0] == last[0] and not running(system) else [now[0], 0]
        # Entries and agents try a failed append again within a second.
        return last[1] >= 12

    for _ in range(200):
        if await asyncio.to_thread(quiet):
            break
        await asyncio.sleep(0.1)
    await caller.resend_all(port, final_timeout_s)
    return await asyncio.to_thread(gather, system, caller.rows)


def verify(evidence: Evidence, name: str, seed: int | None = None) -> None:
    """Prints the counts of a run and fails on any violation."""
    shown = "" if seed is None else f" seed {seed}"
    print(f"{name}{shown}: {evidence.summary()}")
    violations = find_violations(evidence)
    assert not violations, "\n".join(violations)


def run(scenario: Coroutine[Any, Any, T]) -> T:
    """Runs a scenario to its end."""
    return asyncio.run(scenario)
