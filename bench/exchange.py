"""Simulates chunk distribution: time to N replicas, origin copies and copies entering each region.

Runs the real decision code of the exchange over a simulated network with discrete time steps
(`bench.swarm`). The results compare strategies at given link rates; they do not cover sockets or
processor time.

    python -m bench.exchange [--seeds 3] [--jobs 4]

Prints tables and writes `out/exchange.json`.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import pathlib
import statistics
import time
from collections.abc import Callable
from typing import Any

import attrs

from bench._exchange_baselines import AnyRegion, Chain, ChunkFirst, OriginOnly, RandomExchange
from bench.swarm import Swarm
from bench.swarm_config import Stall, SwarmConfig, SwarmResult
from fescuechute.weights import Exchange, ExchangeLimits

CHUNKS = 300
CHUNK_BYTES = 256 << 10
#: Simulated seconds after which a run counts as not finished. The slowest baseline takes 12 times
#: the target time.
RUN_LIMIT_S = 2000.0


def vms_by_region(vms: int) -> dict[str, int]:
    return dict.fromkeys(("norte", "centro", "sur"), vms // 3)


def fixed_sizes() -> tuple[int, ...]:
    return (CHUNK_BYTES,) * CHUNKS


def decreasing_sizes() -> tuple[int, ...]:
    """Returns as many chunks and bytes in total, from 1.75 down to 0.25 times the fixed size."""
    sizes = [int(CHUNK_BYTES * (1.75 - 1.5 * index / (CHUNKS - 1))) for index in range(CHUNKS)]
    sizes[0] += CHUNK_BYTES * CHUNKS - sum(sizes)
    return tuple(sizes)


def fault_options(vms: int) -> dict[str, Any]:
    """Kills two VMs (one in the home region), stalls one link and corrupts 2% of the chunks."""
    return {
        "kills": ((10.0, 1), (20.0, vms - 2)),
        "stalls": (Stall(15.0, 2, 3, float("inf")),),
        "corruption_probability": 0.02,
    }


#: Changed fields of `SwarmConfig` for a number of VMs, by case name.
CASES: dict[str, Callable[[int], dict[str, Any]]] = {
    "exchange": lambda vms: {},
    "all from the origin": lambda vms: {"policy": OriginOnly},
    "chain": lambda vms: {"policy": Chain},
    "random exchange": lambda vms: {"policy": RandomExchange},
    "rarest chunk chosen before the source": lambda vms: {"policy": ChunkFirst},
    "any region as source": lambda vms: {"policy": AnyRegion},
    "decreasing chunk sizes": lambda vms: {"sizes": decreasing_sizes()},
    "messages share the queue of chunks": lambda vms: {"shared_queue": True},
    "upload queue of 12": lambda vms: {"queue_total": 12},
    "two entering fetches for each agent": lambda vms: {
        "limits": ExchangeLimits(max_entering_fetches=2 * vms // 3)
    },
    "two killed, link stalled, 2% corrupted": fault_options,
    "same, three bad chunks never forgiven": lambda vms: {
        **fault_options(vms),
        "limits": ExchangeLimits(valid_chunks_to_forgive=1 << 30),
    },
    "one VM announces what it lacks": lambda vms: {"false_announcers": (2,)},
}


def run_case(job: tuple[str, int, int]) -> tuple[str, int, SwarmResult, float]:
    """Runs one case for a number of VMs and a seed; returns its result and wall time."""
    name, vms, seed = job
    config: dict[str, Any] = {"sizes": fixed_sizes(), "policy": Exchange, **CASES[name](vms)}
    started_at = time.perf_counter()
    result = Swarm(SwarmConfig(regions=vms_by_region(vms), seed=seed, **config)).run(RUN_LIMIT_S)
    return name, vms, result, time.perf_counter() - started_at


def format_spread(values: list[float], digits: int = 2) -> str:
    """Formats the median, the minimum and the maximum."""
    low, high = min(values), max(values)
    return f"{statistics.median(values):.{digits}f} ({low:.{digits}f}..{high:.{digits}f})"


def results_table(vms: int, rows: dict[str, list[SwarmResult]]) -> str:
    config = SwarmConfig(regions=vms_by_region(vms), sizes=fixed_sizes())
    lines = [
        f"{vms} VMs, lower bound {config.lower_bound_s:.1f} s; median (lowest..highest)",
        "",
        "| case | finished | time / bound | origin copies | copies into a region, most "
        "| entries of a chunk, most | message delay p95, ms |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name, results in rows.items():
        lines.append(
            f"| {name} | {sum(r.finished for r in results)}/{len(results)} "
            f"| {format_spread([r.ratio for r in results])} "
            f"| {format_spread([r.origin_copies for r in results])} "
            f"| {format_spread([max(r.entered.values()) for r in results])} "
            f"| {max(r.entries_max for r in results)} "
            f"| {format_spread([1000 * r.message_p95_s for r in results], 0)} |"
        )
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--vms", type=int, nargs="*", default=[12, 48])
    args = parser.parse_args()
    jobs = [
        (name, vms, seed) for vms in args.vms for name in CASES for seed in range(1, args.seeds + 1)
    ]
    results_by_vms: dict[int, dict[str, list[SwarmResult]]] = {vms: {} for vms in args.vms}
    records = []
    with multiprocessing.Pool(args.jobs) as pool:
        for (name, vms, result, seconds), (_, _, seed) in zip(
            pool.imap(run_case, jobs), jobs, strict=True
        ):
            results_by_vms[vms].setdefault(name, []).append(result)
            records.append(
                {"case": name, "vms": vms, "seed": seed, "run_s": seconds, **attrs.asdict(result)}
            )
    for vms, rows in results_by_vms.items():
        print(results_table(vms, rows), end="\n\n")
    output_dir = pathlib.Path("out")
    output_dir.mkdir(exist_ok=True)
    (output_dir / "exchange.json").write_text(json.dumps(records, indent=1))


if __name__ == "__main__":
    main()
