"""The main job at the size of one user: a release travels to every VM while requests flow.

Starts the platform stand-ins, upstreams, agents and entries of Grúas (three regions, 6 assistant,
3 booking and 1 portal replica, 10 workspaces), publishes two release notes, sends model requests
of three ranks and bookings (a third of them sent twice, to two entries at once), and ends with a
summary. Exit code 0 only if every check held.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from collections import Counter
from typing import Any

from bench._load import Load, Seen, new_key, percentile
from bench._tables import table, write_json
from tests.harness import Fleet, Layout, Pool, System, http_json

#: The origin carries four copies in this time and each VM's link two, as the brief states; rates
#: are scaled down with the size of the weights.
TARGET_S = 12.0
WEIGHT_BYTES = 6 << 20
RANKS = ("urgent", "ordinary", "background")


def layout() -> Layout:
    """Returns the system of Grúas, with rates scaled to the demo's weights."""
    link = 2 * WEIGHT_BYTES / TARGET_S
    return Layout(
        regions=("norte", "centro", "sur"),
        home="norte",
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
        settings={"exchange": {"upload_bytes_s": link, "download_bytes_s": link}},
    )


def say(started: float, text: str) -> None:
    """Prints what happens as it happens."""
    print(f"[{time.monotonic() - started:6.1f} s] {text}", flush=True)


class Demo:
    """One run."""

    def __init__(self, system: System, seed: int):
        self._system = system
        self._rng = random.Random(seed)
        self._started = time.monotonic()
        self.rollout_s = 0.0
        self.copies = 0.0

    def make(self, load: Load, rng: random.Random) -> Any:
        """Returns one request of the mix."""
        workspace = f"workspace-{min(9, int(rng.expovariate(0.4)))}"
        draw = rng.random()
        if draw < 0.15:
            return self._booking(load, rng, workspace)
        if draw < 0.25:
            return load.call("portal", "lookup", workspace=workspace)
        rank = rng.choices(RANKS, (2, 5, 3))[0]
        prompt = f"{rank} question {rng.random()}"
        return load.generate(rank, workspace, prompt, rng.randint(10, 60), rng.random() < 0.7)

    async def _booking(self, load: Load, rng: random.Random, workspace: str) -> None:
        key = new_key("booking")
        arguments = {"winch": rng.randint(1, 99)}
        sends = [
            load.call("booking", "book", key, "urgent", workspace, arguments, entry=entry)
            for entry in rng.sample(range(3), 2 if rng.random() < 0.33 else 1)
        ]
        await asyncio.gather(*sends)

    async def run(self, seconds: float, rate: float) -> list[Seen]:
        """Publishes, loads, and returns what callers saw."""
        system = self._system
        say(self._started, "publishing assistant v1")
        await asyncio.to_thread(self._publish, "v1")
        say(self._started, f"v1 on all replicas after {self.rollout_s:.1f} s; callers start")
        before = origin_bytes(system)
        ports = [entry.port for entry in system.entries]
        async with Load(ports, seed=self._rng.randrange(1 << 30)) as load:
            until = time.time() + seconds
            traffic = asyncio.create_task(
                load.poisson(rate, until, lambda rng: self.make(load, rng))
            )
            await asyncio.sleep(1.0)
            say(self._started, "publishing assistant v2 while requests flow")
            await asyncio.to_thread(self._publish, "v2")
            self.copies = (origin_bytes(system) - before) / WEIGHT_BYTES
            say(self._started, f"v2 on all replicas after {self.rollout_s:.1f} s")
            await traffic
            say(self._started, "callers stop; waiting for the last answers")
        return load.rows

    def _publish(self, version: str) -> None:
        release = self._system.release("assistant", version, WEIGHT_BYTES)
        published = time.monotonic()
        self._system.publish([release])
        self._system.wait_confirmed(version, 6, 120.0)
        self.rollout_s = time.monotonic() - published


def origin_bytes(system: System) -> int:
    """Returns the bytes that the origin has served."""
    return int(http_json("GET", system.origin.port, "/stats")[1]["bytes"])


def executions(system: System) -> Counter[str]:
    """Returns how often each booking key was executed, over all replicas."""
    counts: Counter[str] = Counter()
    for replica in system.replicas:
        if replica.pool.upstream == "booking":
            counts.update(http_json("GET", replica.upstream.port, "/executions")[1])
    return counts


def summarise(demo: Demo, rows: list[Seen], executed: Counter[str]) -> list[str]:
    """Prints the summary and returns the checks that failed."""
    shown = []
    for kind, rank in [("generate", rank) for rank in RANKS] + [("call", "all")]:
        mine = [r for r in rows if r.kind == kind and rank in (r.rank, "all")]
        answered = [r for r in mine if r.outcome == "answered"]
        refused = Counter(r.outcome for r in mine if r.outcome not in ("answered", "lost", "wrong"))
        first = [r.first_at - r.sent_at for r in answered if r.first_at]
        reasons = ", ".join(f"{name} {n}" for name, n in refused.most_common()) or "-"
        lost = sum(r.outcome in ("lost", "wrong") for r in mine)
        p95 = f"{percentile(first, 0.95) * 1000:.0f} ms" if first else "-"
        shown.append((f"{kind} {rank}", len(mine), len(answered), reasons, lost, p95))
    head = ("requests", "sent", "answered", "refused by reason", "lost", "first token p95")
    print("\n" + table("Requests", head, shown))
    keys = {r.key for r in rows if r.key}
    answered_keys = {r.key for r in rows if r.key and r.outcome == "answered"}
    twice = [key for key, n in executed.items() if n > 1]
    untrue = [r for r in rows if r.key and r.ran == "not_run" and _ran_alone(r, rows, executed)]
    facts = [
        ("time to all 6 replicas of v2", f"{demo.rollout_s:.1f} s"),
        ("copies drawn from the origin for v2", f"{demo.copies:.2f}"),
        ("bookings: keys sent", len(keys)),
        ("bookings: keys answered", len(answered_keys)),
        ("bookings: keys executed once", sum(n == 1 for n in executed.values())),
        ("bookings: keys executed twice", len(twice)),
    ]
    print("\n" + table("Outcome", ("figure", "value"), facts))
    checks = {
        "no booking was executed twice": not twice,
        "every answered booking was executed": answered_keys <= set(executed),
        "no refusal 'not run' of an executed booking": not untrue,
        "no request was lost or wrong": not any(r.outcome in ("lost", "wrong") for r in rows),
        "requests were answered": sum(r.outcome == "answered" for r in rows) > len(rows) * 0.9,
    }
    for name, held in checks.items():
        print(f"{'held  ' if held else 'BROKEN'}  {name}")
    write_json("demo", {"facts": dict(facts), "checks": checks, "requests": shown})
    return [name for name, held in checks.items() if not held]


def _ran_alone(row: Seen, rows: list[Seen], executed: Counter[str]) -> bool:
    """Whether the only sender of a key was told "not run" although the key was executed."""
    senders = [r for r in rows if r.key == row.key]
    return len(senders) == 1 and executed[row.key] > 0


def main() -> int:
    """Runs the demo and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=25.0, help="duration of the load")
    parser.add_argument("--rate", type=float, default=25.0, help="requests a second")
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
