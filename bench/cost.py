"""Benchmarks the CPU time, memory and traffic of entries and agents.

Runs real processes and stand-ins on loopback. Processor time is read from /proc, so that other load
on the machine affects the results little. Slopes come from a least-squares fit to the rows of each
table.
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

from bench._load import LoadGenerator, new_key, percentile
from bench._tables import format_table, write_json
from tests.harness import Fleet, Layout, Pool, Process, System, http_json

#: Design limits on the cost of the control plane for each process.
MAX_CORE_SHARE = 0.027
MAX_RSS_MB = 256
MAX_BYTES_PER_S = 23_000


@attrs.frozen
class Usage:
    """Resources that one process used between two readings."""

    cpu_s: float
    bytes_transferred: int
    wall_s: float
    rss_mb: float


class Meter:
    """Measures processor time, memory and bytes transferred of daemons."""

    def __init__(self, processes: Sequence[Process]):
        self._processes = processes
        self._start_readings = [self._read(process) for process in processes]

    @staticmethod
    def _read(process: Process) -> tuple[float, int, float]:
        transferred = http_json("GET", process.http_port, "/v1/status")[1]["bytes"]
        return process.cpu_s(), sum(transferred.values()), time.monotonic()

    def usage(self) -> list[Usage]:
        """Returns the usage of each process since the meter was created."""
        usages = []
        for process, (cpu_s, transferred, read_at) in zip(
            self._processes, self._start_readings, strict=True
        ):
            cpu_now_s, transferred_now, now = self._read(process)
            rss_mb = process.rss_bytes() / 1e6
            usages.append(
                Usage(cpu_now_s - cpu_s, transferred_now - transferred, now - read_at, rss_mb)
            )
        return usages


def linear_fit(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Returns (slope, intercept) of the least-squares line through the points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
        if sum_squares_x
        else 0.0
    )
    return slope, mean_y - slope * mean_x


def measure_idle(link_counts: Sequence[int], seconds: float) -> dict[str, Any]:
    """Measures an idle entry and agent for several numbers of links."""
    rows = []
    for count in link_counts:
        pools = (Pool("portal", count, "service"),)
        with Fleet() as fleet:
            system = System(fleet, Layout(pools=pools, entries=1, non_repeatable={})).start()
            system.publish([_release(0)])
            system.wait_services(60.0)
            time.sleep(2.0)
            daemons = [system.entries[0].process, system.replicas[0].agent]
            meter = Meter(daemons)
            time.sleep(seconds)
            for role, usage in zip(("entry", "agent"), meter.usage(), strict=True):
                core_share = usage.cpu_s / usage.wall_s
                rows.append(
                    (role, count, core_share, usage.rss_mb, usage.bytes_transferred / usage.wall_s)
                )
    header = ("role", "agents linked", "core share", "RSS MB", "bytes/s")
    print(format_table("Idle", header, rows), "\n")
    slopes = []
    for role in ("entry", "agent"):
        role_rows = [row for row in rows if row[0] == role]
        for name, column in (("core share", 2), ("RSS MB", 3), ("bytes/s", 4)):
            slope, intercept = linear_fit([(row[1], row[column]) for row in role_rows])
            slopes.append((role, name, slope, intercept))
    print(format_table("Idle slopes", ("role", "figure", "per link", "base"), slopes), "\n")
    return {"rows": rows, "slopes": slopes}


def measure_tokens(counts: Sequence[int], seconds: float, rate: float, seed: int) -> dict[str, Any]:
    """Measures the processor time of entry and agents per request and per token."""
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
            load = asyncio.run(_run_steady_load(system, count, seconds, rate, seed))
            usages = meter.usage()
            answered = sum(row.outcome == "answered" for row in load.rows)
            first_token_s = [row.first_at - row.sent_at for row in load.rows if row.first_at]
            agent_cpu_s = sum(usage.cpu_s for usage in usages[1:]) / answered
            entry_cpu_s = usages[0].cpu_s / answered
            entry_bytes = usages[0].bytes_transferred / answered
            p95_ms = percentile(first_token_s, 0.95) * 1000
            rows.append(
                (count, answered, entry_cpu_s * 1e3, agent_cpu_s * 1e3, entry_bytes, p95_ms)
            )
    header = ("tokens", "answered", "entry ms", "agent ms", "entry bytes", "first token p95 ms")
    print(format_table("Processor time for a request", header, rows), "\n")
    entry_fit = linear_fit([(row[0], row[2]) for row in rows])
    agent_fit = linear_fit([(row[0], row[3]) for row in rows])
    fit_rows = [("entry", *entry_fit), ("agent", *agent_fit)]
    print(format_table("Slopes", ("role", "ms for a token", "ms for a request"), fit_rows), "\n")
    return {"rows": rows, "entry": entry_fit, "agent": agent_fit}


async def _run_steady_load(
    system: System, count: int, seconds: float, rate: float, seed: int
) -> LoadGenerator:
    async with LoadGenerator([system.entries[0].port], seed=seed) as load:
        until = time.time() + seconds
        await load.send_poisson(
            rate, until, lambda _rng: load.generate("urgent", "w1", "", count, True, 30.0)
        )
    return load


def measure_bookings(rates: Sequence[float], seconds: float, seed: int) -> dict[str, Any]:
    """Measures log appends, log reads and processor time per booking, with and without batching."""
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
                rows.append(_measure_bookings_at(system, gather_ms, rate, seconds, seed))
    header = (
        "gather ms",
        "bookings/s",
        "answered",
        "appends for a booking",
        "reads for a booking",
        "entry ms",
        "p50 ms",
        "p95 ms",
    )
    print(format_table("Bookings", header, rows), "\n")
    return {"rows": rows}


def _measure_bookings_at(
    system: System, gather_ms: float, rate: float, seconds: float, seed: int
) -> tuple[Any, ...]:
    entry = system.entries[0]
    counters_before = system.status()["counters"]
    meter = Meter([entry.process])

    async def run() -> LoadGenerator:
        async with LoadGenerator([entry.port], seed=seed) as load:
            await load.send_poisson(
                rate,
                time.time() + seconds,
                lambda _rng: load.call("booking", "book", new_key(), "urgent"),
            )
        return load

    load = asyncio.run(run())
    usage = meter.usage()[0]
    counters_after = system.status()["counters"]
    answered = [row for row in load.rows if row.outcome == "answered"]
    latencies_s = [row.ended_at - row.sent_at for row in answered]

    def per_booking(name: str) -> float:
        return float(counters_after.get(name, 0) - counters_before.get(name, 0)) / len(answered)

    return (
        gather_ms,
        rate,
        f"{len(answered)}/{len(load.rows)}",
        per_booking("log.appends"),
        per_booking("log.reads"),
        usage.cpu_s / len(answered) * 1e3,
        percentile(latencies_s, 0.5) * 1e3,
        percentile(latencies_s, 0.95) * 1e3,
    )


def measure_notes(counts: Sequence[int]) -> dict[str, Any]:
    """Measures the processor time per release note and the time until all processes have it."""
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
            started_at = time.monotonic()
            for _ in range(count):
                system.publish([_release(revision)])
                revision += 1
            published_at = time.monotonic()
            _wait_revision(daemons, revision)
            propagation_s = time.monotonic() - published_at
            time.sleep(max(0.0, 3.0 - (time.monotonic() - started_at)))
            usages = meter.usage()
            cpu_s = sum(usage.cpu_s for usage in usages) / len(usages)
            rows.append(
                (
                    count,
                    cpu_s,
                    propagation_s,
                    sum(usage.bytes_transferred for usage in usages) / len(usages),
                )
            )
    header = ("notes", "cpu s for a process in 3 s", "s until all have the last", "bytes")
    print(format_table("Notes", header, rows), "\n")
    slope, intercept = linear_fit([(row[0], row[1]) for row in rows])
    print(f"{slope * 1e3:.3g} ms for a note and process, base {intercept:.3g} s in 3 s\n")
    return {"rows": rows, "cpu_s_per_note": slope}


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
    """Runs the selected parts and writes `out/cost-<parts>.json`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("parts", nargs="*", default=["idle", "tokens", "bookings", "notes"])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    result: dict[str, Any] = {"seed": args.seed, "seconds": args.seconds}
    if "idle" in args.parts:
        result["idle"] = measure_idle((2, 8, 16, 32), args.seconds)
    if "tokens" in args.parts:
        result["tokens"] = measure_tokens((1, 20, 60, 120), args.seconds, 20.0, args.seed)
    if "bookings" in args.parts:
        result["bookings"] = measure_bookings((10.0, 40.0), args.seconds, args.seed)
    if "notes" in args.parts:
        result["notes"] = measure_notes((0, 20, 60))
    write_json("cost-" + "-".join(args.parts), result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
