"""Weight burst with real processes: time to all replicas against the lower bound.

Rates are scaled so that the origin's link carries four copies in the target time and each VM's link
two. Live requests flow throughout; their latency is compared with that before the burst.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import time
from typing import Any

from bench._load import Load, Seen, percentile
from bench._tables import table, write_json
from tests.harness import Fleet, Layout, Pool, System, http_json

SIZE = 6 << 20
TARGET_S = 12.0
ORIGIN = 4 * SIZE / TARGET_S
LINK = 2 * SIZE / TARGET_S


def bound_s(vms: int) -> float:
    """Returns the lower bound of section 8 of the design, in seconds."""
    return max(SIZE / ORIGIN, SIZE / LINK, vms * SIZE / (ORIGIN + vms * LINK))


def layout(vms: int) -> Layout:
    """Returns engines in three regions behind one entry in each."""
    return Layout(
        regions=("norte", "centro", "sur"),
        pools=(Pool("assistant", vms),),
        entries=3,
        slots=8,
        engine_options={"token_interval_ms": 10.0},
        origin_options={"bytes_per_s": ORIGIN},
        settings={"exchange": {"upload_bytes_s": LINK, "download_bytes_s": LINK}},
    )


async def _requests(system: System, load: Load, rate: float, stop: asyncio.Event) -> None:
    while not stop.is_set():
        await load.poisson(
            rate, time.time() + 0.5, lambda _rng: load.generate("urgent", "w1", "", 20, True, 10.0)
        )


def _publish(system: System, version: str, vms: int) -> tuple[float, float, float]:
    """Returns seconds until every VM holds all chunks, until all serve them, and origin copies."""
    before = http_json("GET", system.origin.port, "/stats")[1]["bytes"]
    release = system.release("assistant", version, SIZE)
    begin = time.monotonic()
    system.publish([release])
    held = 0.0
    while system.confirmed(version) < vms:
        if not held and _all_have(system, version):
            held = time.monotonic() - begin
        time.sleep(0.05)
    done = time.monotonic() - begin
    drawn = http_json("GET", system.origin.port, "/stats")[1]["bytes"] - before
    return held or done, done, drawn / SIZE


def _all_have(system: System, version: str) -> bool:
    wanted = [["model", "assistant", version]]
    for replica in system.replicas:
        weights = http_json("GET", replica.agent.http_port, "/v1/status")[1]["weights"]
        if weights["missing"] or weights["declared"] != wanted:
            return False
    return True


async def _run(system: System, vms: int, rate: float, seed: int) -> dict[str, Any]:
    ports = [entry.port for entry in system.entries]
    async with Load(ports, seed=seed) as load:
        stop = asyncio.Event()
        traffic = asyncio.create_task(_requests(system, load, rate, stop))
        await asyncio.sleep(6.0)
        burst_at = time.time()
        held, done, copies = await asyncio.to_thread(_publish, system, "v2", vms)
        burst_end = time.time()
        stop.set()
        await traffic
    quiet = _p95(row for row in load.rows if row.sent_at < burst_at)
    during = _p95(row for row in load.rows if burst_at <= row.sent_at <= burst_end)
    lost = sum(row.outcome in ("lost", "wrong") for row in load.rows)
    return {
        "all chunks held s": held,
        "all serving s": done,
        "bound s": bound_s(vms),
        "ratio to bound": held / bound_s(vms),
        "origin copies": copies,
        "urgent p95 ratio": during / quiet if quiet else 0.0,
        "lost": lost,
    }


def _p95(rows: Any) -> float:
    took = [row.ended_at - row.sent_at for row in rows if isinstance(row, Seen) and row.in_time]
    return percentile(took, 0.95)


def main() -> int:
    """Runs the burst for each size and seed, prints tables, writes `out/burst.json`."""
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
                system.publish([system.release("assistant", "v1", SIZE)])
                system.wait_confirmed("v1", vms, 120.0)
                runs.append(asyncio.run(_run(system, vms, args.rate, seed)))
        wanted = {"ratio to bound": 1.3, "origin copies": 1.1, "urgent p95 ratio": 1.1, "lost": 0}
        rows = []
        for name in runs[0]:
            values = [float(run[name]) for run in runs]
            target = wanted.get(name)
            verdict = "-" if target is None else ("met" if max(values) <= target else "missed")
            spread = f"{min(values):.2f} to {max(values):.2f}"
            shown = "-" if target is None else f"<= {target}"
            rows.append((name, statistics.mean(values), spread, shown, verdict))
        head = ("figure", "mean", "spread", "target", "verdict")
        print(table(f"{vms} VMs, {args.seeds} seeds", head, rows), "\n")
        result[str(vms)] = runs
    write_json("burst", result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
