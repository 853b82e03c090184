"""Cost of entry and agent: for a request, for a token, idle, and its slopes.

Real processes and stand-ins on loopback. Processor time is read from /proc, so that the wall clock
of a busy machine matters little. Slopes are least-squares lines through the rows of each table.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from collections.abc import Sequence
from typing import Any

import attrs

from bench._load import Load, new_key, percentile
from bench._tables import table, write_json
from tests.harness import Fleet, Layout, Pool, Process, System, http_json

#: Limits on control, from the size to design for.
CORE_SHARE = 0.027
RSS_MB = 256
BYTES_S = 23_000


@attrs.frozen
class Usage:
    """What one process used between two readings."""

    cpu_s: float
    bytes_moved: int
    wall_s: float
    rss_mb: float


class Meter:
    """Reads processor time, memory and bytes of daemons."""

    def __init__(self, processes: Sequence[Process]):
        self._processes = processes
        self._begin = [self._read(process) for process in processes]

    @staticmethod
    def _read(process: Process) -> tuple[float, int, float]:
        moved = http_json("GET", process.http_port, "/v1/status")[1]["bytes"]
        return process.cpu_s(), sum(moved.values()), time.monotonic()

    def usage(self) -> list[Usage]:
        """Returns the usage since the meter was made."""
        out = []
        for process, (cpu, moved, at) in zip(self._processes, self._begin, strict=True):
            cpu_now, moved_now, now = self._read(process)
            rss = process.rss_bytes() / 1e6
            out.append(Usage(cpu_now - cpu, moved_now - moved, now - at, rss))
        return out


def slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Returns (slope, intercept) of the least-squares line."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    var = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / var if var else 0.0
    return gradient, mean_y - gradient * mean_x


def idle(links: Sequence[int], seconds: float) -> dict[str, Any]:
    """Cost of an idle entry and agent against the number of linked processes."""
    rows = []
    for count in links:
        pools = (Pool("portal", count, "service"),)
        with Fleet() as fleet:
            system = System(fleet, Layout(pools=pools, entries=1, non_repeatable={})).start()
            system.publish([_release(0)])
            system.wait_services(60.0)
            time.sleep(2.0)
            daemons = [system.entries[0].process, system.replicas[0].agent]
            meter = Meter(daemons)
            time.sleep(seconds)
            for role, used in zip(("entry", "agent"), meter.usage(), strict=True):
                share = used.cpu_s / used.wall_s
                rows.append((role, count, share, used.rss_mb, used.bytes_moved / used.wall_s))
    head = ("role", "agents linked", "core share", "RSS MB", "bytes/s")
    print(table("Idle", head, rows), "\n")
    slopes = []
    for role in ("entry", "agent"):
        mine = [row for row in rows if row[0] == role]
        for name, column in (("core share", 2), ("RSS MB", 3), ("bytes/s", 4)):
            gradient, base = slope([(row[1], row[column]) for row in mine])
            slopes.append((role, name, gradient, base))
    print(table("Idle slopes", ("role", "figure", "per link", "base"), slopes), "\n")
    return {"rows": rows, "slopes": slopes}


def tokens(counts: Sequence[int], seconds: float, rate: float, seed: int) -> dict[str, Any]:
    """Processor time for a request and for a token, beside a direct call to the engine."""
    rows = []
    layout = Layout(
        pools=(Pool("assistant", 2),), slots=32, engine_options={"token_interval_ms": 5.0}
    )
    with Fleet() as fleet:
        system = System(fleet, layout).start()
        system.publish([system.release("assistant", "v1")])
        system.wait_confirmed("v1", 2)
        daemons = [system.entries[0].process, *[replica.agent for replica in system.replicas]]
        for count in counts:
            meter = Meter(daemons)
            load = asyncio.run(_steady(system, count, seconds, rate, seed))
            used = meter.usage()
            answered = sum(row.outcome == "answered" for row in load.rows)
            first = [row.first_at - row.sent_at for row in load.rows if row.first_at]
            agent = sum(use.cpu_s for use in used[1:]) / answered
            entry = used[0].cpu_s / answered
            moved = used[0].bytes_moved / answered
            p95 = percentile(first, 0.95) * 1000
            rows.append((count, answered, entry * 1e3, agent * 1e3, moved, p95))
    head = ("tokens", "answered", "entry ms", "agent ms", "entry bytes", "first token p95 ms")
    print(table("Processor time for a request", head, rows), "\n")
    entry_slope = slope([(row[0], row[2]) for row in rows])
    agent_slope = slope([(row[0], row[3]) for row in rows])
    shown = [("entry", *entry_slope), ("agent", *agent_slope)]
    print(table("Slopes", ("role", "ms for a token", "ms for a request"), shown), "\n")
    return {"rows": rows, "entry": entry_slope, "agent": agent_slope}


async def _steady(system: System, count: int, seconds: float, rate: float, seed: int) -> Load:
    async with Load([system.entries[0].port], seed=seed) as load:
        until = time.time() + seconds
        await load.poisson(
            rate, until, lambda _rng: load.generate("urgent", "w1", "", count, True, 30.0)
        )
    return load


def bookings(rates: Sequence[float], seconds: float, seed: int) -> dict[str, Any]:
    """Appends and processor time for a booking, with and without gathering."""
    rows = []
    for gather_ms in (0.0, 5.0, 25.0):
        layout = Layout(
            pools=(Pool("booking", 2, "service"),),
            slots=64,
            service_options={"slots": 64},
            settings={"claims": {"gather_ms": gather_ms}},
        )
        with Fleet() as fleet:
            system = System(fleet, layout).start()
            system.publish([_release(0)])
            system.wait_services()
            for rate in rates:
                rows.append(_book(system, gather_ms, rate, seconds, seed))
    head = (
        "gather ms",
        "bookings/s",
        "answered",
        "appends for a booking",
        "reads for a booking",
        "entry ms",
        "p50 ms",
        "p95 ms",
    )
    print(table("Bookings", head, rows), "\n")
    return {"rows": rows}


def _book(
    system: System, gather_ms: float, rate: float, seconds: float, seed: int
) -> tuple[Any, ...]:
    entry = system.entries[0]
    before = system.status()["counters"]
    meter = Meter([entry.process])

    async def run() -> Load:
        async with Load([entry.port], seed=seed) as load:
            await load.poisson(
                rate,
                time.time() + seconds,
                lambda _rng: load.call("booking", "book", new_key(), "urgent"),
            )
        return load

    load = asyncio.run(run())
    used = meter.usage()[0]
    after = system.status()["counters"]
    answered = [row for row in load.rows if row.outcome == "answered"]
    took = [row.ended_at - row.sent_at for row in answered]

    def each(name: str) -> float:
        return float(after.get(name, 0) - before.get(name, 0)) / len(answered)

    return (
        gather_ms,
        rate,
        f"{len(answered)}/{len(load.rows)}",
        each("log.appends"),
        each("log.reads"),
        used.cpu_s / len(answered) * 1e3,
        percentile(took, 0.5) * 1e3,
        percentile(took, 0.95) * 1e3,
    )


def notes(counts: Sequence[int]) -> dict[str, Any]:
    """Processor time for a note, and the time until all processes have it."""
    pools = (Pool("portal", 8, "service"),)
    rows = []
    with Fleet() as fleet:
        system = System(fleet, Layout(pools=pools, entries=2, non_repeatable={})).start()
        system.publish([_release(0)])
        system.wait_services()
        daemons = [entry.process for entry in system.entries]
        daemons += [replica.agent for replica in system.replicas]
        revision = 1
        for count in counts:
            meter = Meter(daemons)
            begin = time.monotonic()
            for _ in range(count):
                system.publish([_release(revision)])
                revision += 1
            published = time.monotonic()
            _wait_revision(daemons, revision)
            spread = time.monotonic() - published
            time.sleep(max(0.0, 3.0 - (time.monotonic() - begin)))
            used = meter.usage()
            cpu = sum(use.cpu_s for use in used) / len(used)
            rows.append((count, cpu, spread, sum(use.bytes_moved for use in used) / len(used)))
    head = ("notes", "cpu s for a process in 3 s", "s until all have the last", "bytes")
    print(table("Notes", head, rows), "\n")
    gradient, base = slope([(row[0], row[1]) for row in rows])
    print(f"{gradient * 1e3:.3g} ms for a note and process, base {base:.3g} s in 3 s\n")
    return {"rows": rows, "cpu_s_per_note": gradient}


def _release(revision: int) -> dict[str, Any]:
    digest = random.Random(revision).randbytes(32).hex()
    return {
        "kind": "model",
        "name": f"model-{revision % 20}",
        "version": f"v{revision}",
        "manifest": digest,
        "size": 1,
        "places": ["nowhere"],
        "workspaces": ["*"],
    }


def _wait_revision(daemons: Sequence[Process], revision: int) -> None:
    for process in daemons:
        deadline = time.monotonic() + 30.0
        while http_json("GET", process.http_port, "/v1/status")[1]["revision"] < revision:
            if time.monotonic() > deadline:
                raise TimeoutError(f"{process.name} did not reach revision {revision}")
            time.sleep(0.01)


def main() -> int:
    """Runs the chosen parts and writes `out/cost.json`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("parts", nargs="*", default=["idle", "tokens", "bookings", "notes"])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    result: dict[str, Any] = {"seed": args.seed, "seconds": args.seconds}
    if "idle" in args.parts:
        result["idle"] = idle((2, 8, 16, 32), args.seconds)
    if "tokens" in args.parts:
        result["tokens"] = tokens((1, 20, 60, 120), args.seconds, 20.0, args.seed)
    if "bookings" in args.parts:
        result["bookings"] = bookings((10.0, 40.0), args.seconds, args.seed)
    if "notes" in args.parts:
        result["notes"] = notes((0, 20, 60))
    write_json("cost-" + "-".join(args.parts), result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
