"""Benchmarks a rollout with real processes: time to all replicas relative to the lower bound.

Link rates are scaled so that in the target time the origin's link transfers four copies of the
weights and each VM's link two. Requests are sent throughout; their latency during the rollout is
compared with the latency before it.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import time
from typing import Any

from bench._load import LoadGenerator, RequestResult, percentile
from bench._tables import format_table, write_json
from tests.harness import Fleet, Layout, Pool, System, http_json

WEIGHT_BYTES = 6 << 20
TARGET_S = 12.0
ORIGIN_BYTES_PER_S = 4 * WEIGHT_BYTES / TARGET_S
VM_LINK_BYTES_PER_S = 2 * WEIGHT_BYTES / TARGET_S


def lower_bound_s(vms: int) -> float:
    """Returns the lower bound on the distribution time in seconds, see section 8 of the design."""
    return max(
        WEIGHT_BYTES / ORIGIN_BYTES_PER_S,
        WEIGHT_BYTES / VM_LINK_BYTES_PER_S,
        vms * WEIGHT_BYTES / (ORIGIN_BYTES_PER_S + vms * VM_LINK_BYTES_PER_S),
    )


def layout(vms: int) -> Layout:
    """Returns a system with engines and one entry in each of three regions."""
    return Layout(
        regions=("norte", "centro", "sur"),
        pools=(Pool("assistant", vms),),
        entries=3,
        slots=8,
        engine_options={"token_interval_ms": 10.0},
        origin_options={"bytes_per_s": ORIGIN_BYTES_PER_S},
        settings={
            "exchange": {
                "upload_bytes_s": VM_LINK_BYTES_PER_S,
                "download_bytes_s": VM_LINK_BYTES_PER_S,
            }
        },
    )


async def _send_requests(
    system: System, load: LoadGenerator, rate: float, stop: asyncio.Event
) -> None:
    while not stop.is_set():
        await load.send_poisson(
            rate, time.time() + 0.5, lambda _rng: load.generate("urgent", "w1", "", 20, True, 10.0)
        )


def _measure_rollout(system: System, version: str, vms: int) -> tuple[float, float, float]:
    """Publishes a version and measures its rollout.

    Returns:
      Seconds until every VM holds all chunks, seconds until every VM serves the version, and copies
      of the weights sent by the origin.
    """
    served_before = http_json("GET", system.origin.port, "/stats")[1]["bytes"]
    release = system.release("assistant", version, WEIGHT_BYTES)
    started_at = time.monotonic()
    system.publish([release])
    all_held_s = 0.0
    while system.confirmed(version) < vms:
        if not all_held_s and _all_chunks_held(system, version):
            all_held_s = time.monotonic() - started_at
        time.sleep(0.05)
    all_serving_s = time.monotonic() - started_at
    served_bytes = http_json("GET", system.origin.port, "/stats")[1]["bytes"] - served_before
    return all_held_s or all_serving_s, all_serving_s, served_bytes / WEIGHT_BYTES


def _all_chunks_held(system: System, version: str) -> bool:
    expected = [["model", "assistant", version]]
    for replica in system.replicas:
        weights = http_json("GET", replica.agent.http_port, "/v1/status")[1]["weights"]
        if weights["missing"] or weights["declared"] != expected:
            return False
    return True


async def _run(system: System, vms: int, rate: float, seed: int) -> dict[str, Any]:
    ports = [entry.port for entry in system.entries]
    async with LoadGenerator(ports, seed=seed) as load:
        stop = asyncio.Event()
        traffic = asyncio.create_task(_send_requests(system, load, rate, stop))
        await asyncio.sleep(6.0)
        burst_started_at = time.time()
        all_held_s, all_serving_s, origin_copies = await asyncio.to_thread(
            _measure_rollout, system, "v2", vms
        )
        burst_ended_at = time.time()
        stop.set()
        await traffic
    p95_before = _p95(row for row in load.rows if row.sent_at < burst_started_at)
    p95_during = _p95(row for row in load.rows if burst_started_at <= row.sent_at <= burst_ended_at)
    lost = sum(row.outcome in ("lost", "wrong") for row in load.rows)
    return {
        "all chunks held s": all_held_s,
        "all serving s": all_serving_s,
        "bound s": lower_bound_s(vms),
        "ratio to bound": all_held_s / lower_bound_s(vms),
        "origin copies": origin_copies,
        "urgent p95 ratio": p95_during / p95_before if p95_before else 0.0,
        "lost": lost,
    }


def _p95(rows: Any) -> float:
    latencies_s = [
        row.ended_at - row.sent_at for row in rows if isinstance(row, RequestResult) and row.in_time
    ]
    return percentile(latencies_s, 0.95)


def main() -> int:
    """Runs the benchmark for each fleet size and seed; prints tables, writes `out/burst.json`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--vms", type=int, nargs="*", default=[12])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--rate", type=float, default=10.0)
    args = parser.parse_args()
    result: dict[str, Any] = {}
    for vms in args.vms:
        runs = []
        for seed in range(1, args.seeds + 1):
            with Fleet() as fleet:
                system = System(fleet, layout(vms)).start()
                system.publish([system.release("assistant", "v1", WEIGHT_BYTES)])
                system.wait_confirmed("v1", vms, 120.0)
                runs.append(asyncio.run(_run(system, vms, args.rate, seed)))
        targets = {"ratio to bound": 1.3, "origin copies": 1.1, "urgent p95 ratio": 1.1, "lost": 0}
        rows = []
        for name in runs[0]:
            values = [float(run[name]) for run in runs]
            target = targets.get(name)
            verdict = "-" if target is None else ("met" if max(values) <= target else "missed")
            spread = f"{min(values):.2f} to {max(values):.2f}"
            shown_target = "-" if target is None else f"<= {target}"
            rows.append((name, statistics.mean(values), spread, shown_target, verdict))
        header = ("figure", "mean", "spread", "target", "verdict")
        print(format_table(f"{vms} VMs, {args.seeds} seeds", header, rows), "\n")
        result[str(vms)] = runs
    write_json("burst", result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
