"""Floods and fairness with real processes: what each rank and workspace keeps.

Two engines stand for the fleet. Capacity is their slots over the seconds that a request takes. First
the quiet rate of each rank is measured, then one kind of work arrives at a multiple of capacity.
Every answer is compared with what the engine must have produced.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any

import attrs

from bench._load import Load, Seen, percentile
from bench._tables import table, write_json
from tests.harness import Fleet, Layout, Pool, System

SLOTS = 4
ENGINES = 2
TOKENS = 20
TOKEN_MS = 20.0
#: Requests a second that the engines can take: a request holds a slot for TOKENS steps.
CAPACITY = ENGINES * SLOTS / (TOKENS * TOKEN_MS / 1000)
#: Offered load of each rank when nothing floods, as a share of capacity.
QUIET = {"urgent": 0.2, "ordinary": 0.3, "background": 0.1}
#: Deadline of each rank in seconds.
DEADLINE_S = {"urgent": 2.0, "ordinary": 5.0, "background": 10.0}
#: Default protected share of ordinary work.
ORDINARY_SHARE = 0.25


@attrs.frozen
class Flood:
    """One scenario."""

    name: str
    rank: str = ""
    #: Multiple of capacity.
    times: float = 0.0
    #: All of the flood comes from this workspace; empty for all workspaces.
    workspace: str = ""


SCENARIOS = (
    Flood("quiet"),
    Flood("background x5", "background", 5.0),
    Flood("background x20", "background", 20.0),
    Flood("urgent x5", "urgent", 5.0),
    Flood("urgent x20", "urgent", 20.0),
    Flood("one workspace x10", "ordinary", 0.0, "w0"),
)


def layout() -> Layout:
    """Returns two engines behind two entries that do not see one another's work."""
    return Layout(
        pools=(Pool("assistant", ENGINES),),
        entries=2,
        slots=SLOTS,
        workspaces=tuple(f"w{n}" for n in range(10)),
        engine_options={"token_interval_ms": TOKEN_MS},
    )


async def drive(system: System, flood: Flood, seconds: float, seed: int) -> list[Seen]:
    """Runs one scenario and returns what callers saw."""
    ports = [entry.port for entry in system.entries]
    async with Load(ports, seed=seed) as load:
        until = time.time() + seconds
        streams = []
        for rank, share in QUIET.items():
            make = maker(load, rank, "")
            streams.append(load.poisson(CAPACITY * share, until, make, rank))
        if flood.times:
            rate = CAPACITY * flood.times
            streams.append(load.poisson(rate, until, maker(load, flood.rank, flood.workspace)))
        elif flood.workspace:
            # Ten times the sum of all others of its rank.
            rate = 10 * CAPACITY * QUIET[flood.rank]
            streams.append(load.poisson(rate, until, maker(load, flood.rank, flood.workspace)))
        await asyncio.gather(*streams)
    return load.rows


def maker(load: Load, rank: str, workspace: str) -> Callable[[random.Random], Any]:
    """Returns a function that makes requests of one kind."""

    def make(rng: random.Random) -> Any:
        name = workspace or f"w{rng.randrange(1, 10)}"
        return load.generate(rank, name, "", TOKENS, True, DEADLINE_S[rank])

    return make


def figures(rows: list[Seen], flood: Flood, seconds: float) -> dict[str, float]:
    """Returns the figures of one run."""
    out: dict[str, float] = {}
    # Rates are those of the steady state: they count what ended after a third of the time, while
    # requests were still arriving. Before, queues fill; afterwards, they are worked off.
    begin = min(row.sent_at for row in rows) + seconds / 3
    until = begin + seconds * 2 / 3
    span = until - begin
    for rank in QUIET:
        mine = [row for row in rows if row.rank == rank]
        if flood.workspace and rank == flood.rank:
            mine = [row for row in mine if row.workspace != flood.workspace]
        good = sum(row.in_time for row in mine)
        out[f"{rank} in time"] = good / max(1, len(mine))
        done = sum(row.in_time and begin <= row.ended_at <= until for row in mine)
        out[f"{rank} of capacity"] = done / span / CAPACITY
        first = [row.first_at - row.sent_at for row in mine if row.in_time and row.first_at]
        out[f"{rank} first token p95 s"] = percentile(first, 0.95)
    done = sum(row.in_time and begin <= row.ended_at <= until for row in rows)
    out["useful work of capacity"] = done / span / CAPACITY
    out["lost or wrong"] = float(sum(row.outcome in ("lost", "wrong") for row in rows))
    return out


def targets(flood: Flood, quiet: dict[str, float]) -> dict[str, tuple[float, str]]:
    """Returns the targets of a scenario: figure to (bound, how it is compared)."""
    if flood.workspace:
        return {"ordinary in time": (0.95, ">=")}
    if flood.rank == "background":
        kept = 0.9 * quiet["ordinary of capacity"]
        return {"urgent in time": (0.99, ">="), "ordinary of capacity": (kept, ">=")}
    if flood.rank == "urgent":
        return {
            "ordinary of capacity": (ORDINARY_SHARE, ">="),
            "useful work of capacity": (0.9, ">="),
        }
    return {}


def main() -> int:
    """Runs all scenarios over the seeds, prints one table for each, writes `out/floods.json`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--only", default="", help="part of a scenario's name")
    args = parser.parse_args()
    runs: dict[str, list[dict[str, float]]] = {}
    for seed in range(1, args.seeds + 1):
        with Fleet() as fleet:
            system = System(fleet, layout()).start()
            system.publish([system.release("assistant", "v1")])
            system.wait_confirmed("v1", ENGINES)
            # The service rate is learnt from work, so the first seconds are not counted.
            asyncio.run(drive(system, SCENARIOS[0], 3.0, seed))
            for flood in SCENARIOS:
                if args.only in flood.name or flood.name == "quiet":
                    rows = asyncio.run(drive(system, flood, args.seconds, seed))
                    runs.setdefault(flood.name, []).append(figures(rows, flood, args.seconds))
    show(runs, args.seconds)
    return 0


def show(runs: dict[str, list[dict[str, float]]], seconds: float) -> None:
    """Prints and writes the tables."""
    quiet = {name: statistics.mean(run[name] for run in runs["quiet"]) for name in runs["quiet"][0]}
    print(f"capacity {CAPACITY:.1f} requests/s, {seconds:.0f} s each\n")
    for flood in SCENARIOS:
        if flood.name not in runs:
            continue
        wanted = targets(flood, quiet)
        rows = []
        for name in runs[flood.name][0]:
            values = [run[name] for run in runs[flood.name]]
            mean = statistics.mean(values)
            spread = f"{min(values):.3f} to {max(values):.3f}"
            bound, sign = wanted.get(name, (None, ""))
            verdict = "-" if bound is None else ("met" if min(values) >= bound else "missed")
            target = "-" if bound is None else f"{sign} {bound:.3f}"
            ratio = mean / quiet[name] if quiet[name] else float("nan")
            rows.append((name, mean, spread, target, verdict, ratio))
        head = ("figure", "mean", "spread", "target", "verdict", "ratio to quiet")
        print(table(flood.name, head, rows), "\n")
    write_json("floods", {"capacity": CAPACITY, "seconds": seconds, "runs": runs})


if __name__ == "__main__":
    sys.exit(main())
