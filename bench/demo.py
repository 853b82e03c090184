"""End-to-end demo: rolls out a release to every VM of one deployment while requests are served.

Starts the platform stand-ins, upstreams, agents and entries of Grúas, an example deployment (three
regions, 6 assistant, 3 booking and 1 portal replica, 10 workspaces), publishes two release notes,
and sends model requests of three ranks and bookings (a third of them sent twice, to two entries at
once). Prints a summary at the end and exits with code 0 only if every check passes.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from collections import Counter
from typing import Any

from bench._load import LoadGenerator, RequestResult, new_key, percentile
from bench._tables import format_table, write_json
from tests.harness import Fleet, Layout, Pool, System, http_json

#: Seconds in which the origin's link must transfer four copies of the weights and each VM's link
#: two. Link rates are scaled down with the size of the weights.
TARGET_S = 12.0
WEIGHT_BYTES = 6 << 20
RANKS = ("urgent", "ordinary", "background")


def layout() -> Layout:
    """Returns the deployment of Grúas, with link rates scaled to the demo's weights."""
    link_bytes_per_s = 2 * WEIGHT_BYTES / TARGET_S
    return Layout(
        regions=("norte", "centro", "sur"),
        store_region="norte",
        pools=(
            Pool("assistant", 6),
            Pool("booking", 3, "service"),
            Pool("portal", 1, "service"),
        ),
        entries=3,
        workspaces=tuple(f"workspace-{n}" for n in range(10)),
        slots=8,
        engine_options={"token_interval_ms": 10.0, "prefill_us_per_char": 50.0},
        origin_options={"bytes_per_s": 4 * WEIGHT_BYTES / TARGET_S},
        log_options={"appends_per_s": 300},
        settings={
            "exchange": {"upload_bytes_s": link_bytes_per_s, "download_bytes_s": link_bytes_per_s}
        },
    )


def log_progress(started_at: float, text: str) -> None:
    """Prints a progress message with the seconds since `started_at`."""
    print(f"[{time.monotonic() - started_at:6.1f} s] {text}", flush=True)


class Demo:
    """One run of the demo."""

    def __init__(self, system: System, seed: int):
        self._system = system
        self._rng = random.Random(seed)
        self._started_at = time.monotonic()
        self.rollout_s = 0.0
        self.origin_copies = 0.0

    def make_request(self, load: LoadGenerator, rng: random.Random) -> Any:
        """Returns the coroutine of one random request."""
        workspace = f"workspace-{min(9, int(rng.expovariate(0.4)))}"
        draw = rng.random()
        if draw < 0.15:
            return self._booking(load, rng, workspace)
        if draw < 0.25:
            return load.call("portal", "lookup", workspace=workspace)
        rank = rng.choices(RANKS, (2, 5, 3))[0]
        prompt = f"{rank} question {rng.random()}"
        return load.generate(rank, workspace, prompt, rng.randint(10, 60), rng.random() < 0.7)

    async def _booking(self, load: LoadGenerator, rng: random.Random, workspace: str) -> None:
        key = new_key("booking")
        arguments = {"winch": rng.randint(1, 99)}
        calls = [
            load.call("booking", "book", key, "urgent", workspace, arguments, entry=entry)
            for entry in rng.sample(range(3), 2 if rng.random() < 0.33 else 1)
        ]
        await asyncio.gather(*calls)

    async def run(self, seconds: float, rate: float) -> list[RequestResult]:
        """Publishes both versions, sends requests and returns their outcomes."""
        system = self._system
        log_progress(self._started_at, "publishing assistant v1")
        await asyncio.to_thread(self._roll_out, "v1")
        log_progress(
            self._started_at, f"v1 on all replicas after {self.rollout_s:.1f} s; callers start"
        )
        origin_bytes_before = origin_bytes(system)
        ports = [entry.port for entry in system.entries]
        async with LoadGenerator(ports, seed=self._rng.randrange(1 << 30)) as load:
            until = time.time() + seconds
            traffic = asyncio.create_task(
                load.send_poisson(rate, until, lambda rng: self.make_request(load, rng))
            )
            await asyncio.sleep(1.0)
            log_progress(self._started_at, "publishing assistant v2 while requests flow")
            await asyncio.to_thread(self._roll_out, "v2")
            self.origin_copies = (origin_bytes(system) - origin_bytes_before) / WEIGHT_BYTES
            log_progress(self._started_at, f"v2 on all replicas after {self.rollout_s:.1f} s")
            await traffic
            log_progress(self._started_at, "callers stop; waiting for the last answers")
        return load.rows

    def _roll_out(self, version: str) -> None:
        release = self._system.release("assistant", version, WEIGHT_BYTES)
        published_at = time.monotonic()
        self._system.publish([release])
        self._system.wait_confirmed(version, 6, 120.0)
        self.rollout_s = time.monotonic() - published_at


def origin_bytes(system: System) -> int:
    """Returns the number of bytes that the origin has served."""
    return int(http_json("GET", system.origin.port, "/stats")[1]["bytes"])


def executions(system: System) -> Counter[str]:
    """Returns the number of executions of each booking key over all replicas."""
    counts: Counter[str] = Counter()
    for replica in system.replicas:
        if replica.pool.upstream == "booking":
            counts.update(http_json("GET", replica.upstream.port, "/executions")[1])
    return counts


def summarise(demo: Demo, rows: list[RequestResult], executed: Counter[str]) -> list[str]:
    """Prints and writes the summary; returns the names of the failed checks."""
    request_rows = []
    for kind, rank in [("generate", rank) for rank in RANKS] + [("call", "all")]:
        matching = [r for r in rows if r.kind == kind and rank in (r.rank, "all")]
        answered = [r for r in matching if r.outcome == "answered"]
        refused = Counter(
            r.outcome for r in matching if r.outcome not in ("answered", "lost", "wrong")
        )
        first_token_s = [r.first_at - r.sent_at for r in answered if r.first_at]
        reasons = ", ".join(f"{name} {n}" for name, n in refused.most_common()) or "-"
        lost = sum(r.outcome in ("lost", "wrong") for r in matching)
        p95 = f"{percentile(first_token_s, 0.95) * 1000:.0f} ms" if first_token_s else "-"
        request_rows.append((f"{kind} {rank}", len(matching), len(answered), reasons, lost, p95))
    header = ("requests", "sent", "answered", "refused by reason", "lost", "first token p95")
    print("\n" + format_table("Requests", header, request_rows))
    keys = {r.key for r in rows if r.key}
    answered_keys = {r.key for r in rows if r.key and r.outcome == "answered"}
    executed_twice = [key for key, n in executed.items() if n > 1]
    false_not_run = [
        r
        for r in rows
        if r.key and r.ran == "not_run" and _sent_once_and_executed(r, rows, executed)
    ]
    facts = [
        ("time to all 6 replicas of v2", f"{demo.rollout_s:.1f} s"),
        ("copies drawn from the origin for v2", f"{demo.origin_copies:.2f}"),
        ("bookings: keys sent", len(keys)),
        ("bookings: keys answered", len(answered_keys)),
        ("bookings: keys executed once", sum(n == 1 for n in executed.values())),
        ("bookings: keys executed twice", len(executed_twice)),
    ]
    print("\n" + format_table("Outcome", ("figure", "value"), facts))
    checks = {
        "no booking was executed twice": not executed_twice,
        "every answered booking was executed": answered_keys <= set(executed),
        "no refusal 'not run' of an executed booking": not false_not_run,
        "no request was lost or wrong": not any(r.outcome in ("lost", "wrong") for r in rows),
        "requests were answered": sum(r.outcome == "answered" for r in rows) > len(rows) * 0.9,
    }
    for name, passed in checks.items():
        print(f"{'held  ' if passed else 'BROKEN'}  {name}")
    write_json("demo", {"facts": dict(facts), "checks": checks, "requests": request_rows})
    return [name for name, passed in checks.items() if not passed]


def _sent_once_and_executed(
    row: RequestResult, rows: list[RequestResult], executed: Counter[str]
) -> bool:
    """Returns whether the booking key of a request was sent only once and was executed."""
    same_key = [r for r in rows if r.key == row.key]
    return len(same_key) == 1 and executed[row.key] > 0


def main() -> int:
    """Runs the demo and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=25.0, help="duration of the load")
    parser.add_argument("--rate", type=float, default=25.0, help="requests per second")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(f"seed {args.seed}; starting 27 processes on loopback addresses", flush=True)
    with Fleet() as fleet:
        system = System(fleet, layout()).start()
        system.wait_services()
        demo = Demo(system, args.seed)
        rows = asyncio.run(demo.run(args.seconds, args.rate))
        failed = summarise(demo, rows, executions(system))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
