"""Experiment: time to N replicas, origin copies and copies entering each region.

It models links in discrete steps (`bench.swarm`) and runs the real decision code of the exchange.
It shows what the decisions make of given rates; it says nothing about sockets or processor time.

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
#: Model seconds after which a run counts as not finished; the slowest baseline needs 12 copies of
#: the target time.
LIMIT_S = 2000.0


def regions(vms: int) -> dict[str, int]:
    return dict.fromkeys(("norte", "centro", "sur"), vms // 3)


def fixed() -> tuple[int, ...]:
    return (CHUNK_BYTES,) * CHUNKS


def decreasing() -> tuple[int, ...]:
    """The same number of chunks and bytes, from 1.75 down to 0.25 times the fixed size."""
    sizes = [int(CHUNK_BYTES * (1.75 - 1.5 * at / (CHUNKS - 1))) for at in range(CHUNKS)]
    sizes[0] += CHUNK_BYTES * CHUNKS - sum(sizes)
    return tuple(sizes)


def faults(vms: int) -> dict[str, Any]:
    """Two VMs killed (one of them in the home region), one link stalled, 2% corrupted."""
    return {
        "kills": ((10.0, 1), (20.0, vms - 2)),
        "stalls": (Stall(15.0, 2, 3, float("inf")),),
        "corrupt": 0.02,
    }


#: Name of each case and what it changes.
CASES: dict[str, Callable[[int], dict[str, Any]]] = {
    "exchange": lambda vms: {},
    "all from the origin": lambda vms: {"policy": OriginOnly},
    "chain": lambda vms: {"policy": Chain},
    "random exchange": lambda vms: {"policy": RandomExchange},
    "rarest chunk chosen before the source": lambda vms: {"policy": ChunkFirst},
    "any region as source": lambda vms: {"policy": AnyRegion},
    "decreasing chunk sizes": lambda vms: {"sizes": decreasing()},
    "messages share the queue of chunks": lambda vms: {"shared_queue": True},
    "upload queue of 12": lambda vms: {"queue_total": 12},
    "two entering fetches for each agent": lambda vms: {
        "limits": ExchangeLimits(max_entering_fetches=2 * vms // 3)
    },
    "two killed, link stalled, 2% corrupted": faults,
    "same, three bad chunks never forgiven": lambda vms: {
        **faults(vms),
        "limits": ExchangeLimits(valid_chunks_to_forgive=1 << 30),
    },
    "one VM announces what it lacks": lambda vms: {"liars": (2,)},
}


def run(job: tuple[str, int, int]) -> tuple[str, int, SwarmResult, float]:
    """Runs one case with a number of VMs and a seed."""
    name, vms, seed = job
    config: dict[str, Any] = {"sizes": fixed(), "policy": Exchange, **CASES[name](vms)}
    started = time.perf_counter()
    result = Swarm(SwarmConfig(regions=regions(vms), seed=seed, **config)).run(LIMIT_S)
    return name, vms, result, time.perf_counter() - started


def spread(values: list[float], digits: int = 2) -> str:
    """Median, lowest and highest."""
    low, high = min(values), max(values)
    return f"{statistics.median(values):.{digits}f} ({low:.{digits}f}..{high:.{digits}f})"


def table(vms: int, rows: dict[str, list[SwarmResult]]) -> str:
    config = SwarmConfig(regions=regions(vms), sizes=fixed())
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
            f"| {spread([r.ratio for r in results])} "
            f"| {spread([r.origin_copies for r in results])} "
            f"| {spread([max(r.entered.values()) for r in results])} "
            f"| {max(r.entries_max for r in results)} "
            f"| {spread([1000 * r.message_p95_s for r in results], 0)} |"
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
    found: dict[int, dict[str, list[SwarmResult]]] = {vms: {} for vms in args.vms}
    raw = []
    with multiprocessing.Pool(args.jobs) as pool:
        for (name, vms, result, seconds), (_, _, seed) in zip(
            pool.imap(run, jobs), jobs, strict=True
        ):
            found[vms].setdefault(name, []).append(result)
            raw.append(
                {"case": name, "vms": vms, "seed": seed, "run_s": seconds, **attrs.asdict(result)}
            )
    for vms, rows in found.items():
        print(table(vms, rows), end="\n\n")
    out = pathlib.Path("out")
    out.mkdir(exist_ok=True)
    (out / "exchange.json").write_text(json.dumps(raw, indent=1))


if __name__ == "__main__":
    main()
