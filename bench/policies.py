"""Compares admission and routing policies in a seeded discrete-event model.

Measures the decision code only: no sockets, no processes, no clock. The upstreams are a model, so
the figures show how the policies differ, not how fast the system is.

Run `python -m bench.policies [admission|routing|cost]`; without an argument all three run. Prints
one table for each scenario and writes JSON under `out/`.
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable

from bench import _admission_model as admission
from bench._report import Figure, Target, collect, table, write
from bench._routing_model import RoutingModel, Scenario
from fescuechute.admission import AdmissionPolicy, FairQueue, QueuedItem
from fescuechute.routing import Policy, Pool, RouteRequest, UpstreamRow, choose

SEEDS = (1, 2, 3, 4, 5)

#: Targets from section 9 of the design.
BACKGROUND_FLOOD = {
    "urgent in time": Target(0.99, True),
    "ordinary useful, of quiet": Target(0.9, True),
}
URGENT_FLOOD = {
    "ordinary, of protected share": Target(1.0, True),
    "background, of protected share": Target(1.0, True),
    "useful work, of capacity": Target(0.9, True),
}
LARGE_WORKSPACE = {"small in time": Target(0.95, True)}
#: Targets from sections 1.8 and 9 of the design.
ROUTING = {
    "first token p95 s": Target(0.44, False),
    "attempts per request": Target(1.1, False),
}


def _background(times: float) -> Callable[[str, int], dict[str, float]]:
    def run(policy: str, seed: int) -> dict[str, float]:
        quiet = admission.simulate(policy, admission.Load(tuple(admission.quiet_load())), seed)
        flooded = admission.simulate(policy, admission.flood("background", times), seed)
        return {
            "urgent in time": flooded.share_in_time("urgent"),
            "ordinary in time": flooded.share_in_time("ordinary"),
            "ordinary useful, of quiet": flooded.useful_share("ordinary")
            / quiet.useful_share("ordinary"),
            "useful work, of capacity": flooded.useful_share(),
        }

    return run


def _urgent(times: float) -> Callable[[str, int], dict[str, float]]:
    shares = dict(admission.RANKS)

    def run(policy: str, seed: int) -> dict[str, float]:
        flooded = admission.simulate(policy, admission.flood("urgent", times), seed)
        return {
            "ordinary, of protected share": flooded.useful_share("ordinary") / shares["ordinary"],
            "background, of protected share": flooded.useful_share("background")
            / shares["background"],
            "useful work, of capacity": flooded.useful_share(),
            "urgent in time": flooded.share_in_time("urgent"),
        }

    return run


def _large(policy: str, seed: int) -> dict[str, float]:
    outcome = admission.simulate(policy, admission.large_workspace(), seed)
    return {
        "small in time": outcome.share_in_time("ordinary", without="w0"),
        "useful work, of capacity": outcome.useful_share(),
    }


def run_admission() -> None:
    """Compares the admission policies."""
    scenarios = [
        ("Background flood at 5 times the capacity", _background(5.0), BACKGROUND_FLOOD),
        ("Background flood at 20 times the capacity", _background(20.0), BACKGROUND_FLOOD),
        ("Urgent flood at 5 times the capacity", _urgent(5.0), URGENT_FLOOD),
        ("Urgent flood at 20 times the capacity", _urgent(20.0), URGENT_FLOOD),
        ("One workspace at ten times the sum of the others", _large, LARGE_WORKSPACE),
    ]
    rows = []
    for title, run, targets in scenarios:
        figures = collect(list(admission.POLICIES), SEEDS, run, targets)
        rows += table(title, figures, "one_queue", SEEDS)
    write("policies-admission", rows)


def run_routing() -> None:
    """Compares the routing policies."""
    scenarios = [
        ("Cold prompts, load 0.8, reports every 0.5 s", Scenario(0.8, 0.5, False)),
        ("Shared prefixes, load 0.8, reports every 0.5 s", Scenario(0.8, 0.5, True)),
        ("Shared prefixes, load 0.8, reports every 2 s", Scenario(0.8, 2.0, True)),
        ("Shared prefixes, load 0.95, reports every 0.5 s", Scenario(0.95, 0.5, True)),
    ]
    rows = []
    for title, scenario in scenarios:

        def run(policy: str, seed: int, scenario: Scenario = scenario) -> dict[str, float]:
            return RoutingModel(Policy(policy), scenario, seed).run()

        figures = collect([str(policy) for policy in Policy], SEEDS, run, ROUTING)
        rows += table(title, figures, "random", SEEDS)
    write("policies-routing", rows)


def run_cost() -> None:
    """Measures the processor time of single decisions, in microseconds."""
    figures: list[Figure] = []
    for waiting in (100, 10_000):
        timings = [_queue_cost(waiting, seed) for seed in SEEDS]
        for name in timings[0]:
            values = tuple(timing[name] for timing in timings)
            figures.append(Figure(f"{waiting} items", f"{name} us", values))
    rows = table("Queue, 50 workspaces, 3 ranks", figures, "100 items", SEEDS)
    figures = []
    for count in (10, 100, 800):
        for policy in Policy:
            values = tuple(_choose_cost(count, policy, seed) for seed in SEEDS)
            figures.append(Figure(f"{count} upstreams", f"choose {policy} us", values))
    rows += table("Choice of upstream", figures, "10 upstreams", SEEDS)
    write("policies-cost", rows)


def _queue_cost(waiting: int, seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    queue = FairQueue(admission.RANKS, {}, max_items=waiting)
    policy = AdmissionPolicy()
    items = [
        QueuedItem(
            str(i),
            rng.choice(admission.RANKS)[0],
            f"w{rng.randrange(50)}",
            rng.uniform(100, 2000),
            0.0,
            1e9 + rng.random(),
            None,
            "p",
        )
        for i in range(waiting + 2000)
    ]
    for item in items[:waiting]:
        queue.push(item)
    timings = dict.fromkeys(("admit", "push", "pop"), 0.0)
    for item in items[waiting:]:
        times = [time.perf_counter()]
        policy.admit(item, queue, 1.0, 1e4)
        times.append(time.perf_counter())
        queue.push(item)
        times.append(time.perf_counter())
        queue.pop(1.0, "p")
        times.append(time.perf_counter())
        for name, begin, end in zip(timings, times, times[1:], strict=False):
            timings[name] += (end - begin) * 1e6 / 2000
    return timings


def _choose_cost(count: int, policy: Policy, seed: int) -> float:
    rng = random.Random(seed)
    rows = []
    for i in range(count):
        row = UpstreamRow(f"a{i}", "m", "r", "d", "live", 40, rng.randrange(40), linked=True)
        row.sent(0.0, (rng.randrange(100),))
        rows.append(row)
    pool = Pool(rows)
    rounds = 500
    begin = time.perf_counter()
    for _ in range(rounds):
        req = RouteRequest("m", "r", prefixes=(rng.randrange(100), rng.randrange(100)))
        choose(pool, req, rng, policy, 1.0)
    return (time.perf_counter() - begin) * 1e6 / rounds


def main() -> None:
    """Runs the named experiments, or all."""
    parts = {"admission": run_admission, "routing": run_routing, "cost": run_cost}
    for name in sys.argv[1:] or list(parts):
        parts[name]()


if __name__ == "__main__":
    main()
