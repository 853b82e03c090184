"""Compares admission and routing policies in seeded discrete-event simulations.

Runs only the decision code: no sockets, no processes, no clock. The upstreams are simulated, so the
figures compare the policies but do not predict the speed of the system.

Run `python -m bench.policies [admission|routing|cost]`; without an argument all three run. Prints
one table for each scenario and writes JSON files to `out/`.
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable

from bench import _admission_model as admission
from bench._report import Figure, Target, collect, print_table, write_rows
from bench._routing_model import RoutingModel, RoutingScenario
from fescuechute.admission import AdmissionPolicy, FairQueue, QueuedItem
from fescuechute.routing import Policy, Pool, RouteRequest, UpstreamRow, choose

SEEDS = (1, 2, 3, 4, 5)

#: Targets from section 9 of the design.
BACKGROUND_FLOOD_TARGETS = {
    "urgent in time": Target(0.99, True),
    "ordinary useful, of quiet": Target(0.9, True),
}
URGENT_FLOOD_TARGETS = {
    "ordinary, of protected share": Target(1.0, True),
    "background, of protected share": Target(1.0, True),
    "useful work, of capacity": Target(0.9, True),
}
LARGE_WORKSPACE_TARGETS = {"small in time": Target(0.95, True)}
#: Targets from sections 1.8 and 9 of the design.
ROUTING_TARGETS = {
    "first token p95 s": Target(0.44, False),
    "attempts per request": Target(1.1, False),
}


def _background_flood(capacity_multiple: float) -> Callable[[str, int], dict[str, float]]:
    def run(policy: str, seed: int) -> dict[str, float]:
        quiet = admission.simulate(
            policy, admission.OfferedLoad(tuple(admission.quiet_streams())), seed
        )
        flooded = admission.simulate(
            policy, admission.flood_load("background", capacity_multiple), seed
        )
        return {
            "urgent in time": flooded.share_in_time("urgent"),
            "ordinary in time": flooded.share_in_time("ordinary"),
            "ordinary useful, of quiet": flooded.goodput_share("ordinary")
            / quiet.goodput_share("ordinary"),
            "useful work, of capacity": flooded.goodput_share(),
        }

    return run


def _urgent_flood(capacity_multiple: float) -> Callable[[str, int], dict[str, float]]:
    protected_shares = dict(admission.RANKS)

    def run(policy: str, seed: int) -> dict[str, float]:
        flooded = admission.simulate(
            policy, admission.flood_load("urgent", capacity_multiple), seed
        )
        return {
            "ordinary, of protected share": flooded.goodput_share("ordinary")
            / protected_shares["ordinary"],
            "background, of protected share": flooded.goodput_share("background")
            / protected_shares["background"],
            "useful work, of capacity": flooded.goodput_share(),
            "urgent in time": flooded.share_in_time("urgent"),
        }

    return run


def _large_workspace(policy: str, seed: int) -> dict[str, float]:
    result = admission.simulate(policy, admission.large_workspace_load(), seed)
    return {
        "small in time": result.share_in_time("ordinary", excluded_workspace="w0"),
        "useful work, of capacity": result.goodput_share(),
    }


def run_admission() -> None:
    """Compares the admission policies."""
    scenarios = [
        (
            "Background flood at 5 times the capacity",
            _background_flood(5.0),
            BACKGROUND_FLOOD_TARGETS,
        ),
        (
            "Background flood at 20 times the capacity",
            _background_flood(20.0),
            BACKGROUND_FLOOD_TARGETS,
        ),
        ("Urgent flood at 5 times the capacity", _urgent_flood(5.0), URGENT_FLOOD_TARGETS),
        ("Urgent flood at 20 times the capacity", _urgent_flood(20.0), URGENT_FLOOD_TARGETS),
        (
            "One workspace at ten times the sum of the others",
            _large_workspace,
            LARGE_WORKSPACE_TARGETS,
        ),
    ]
    rows = []
    for title, run, targets in scenarios:
        figures = collect(list(admission.POLICIES), SEEDS, run, targets)
        rows += print_table(title, figures, "one_queue", SEEDS)
    write_rows("policies-admission", rows)


def run_routing() -> None:
    """Compares the routing policies."""
    scenarios = [
        ("Cold prompts, load 0.8, reports every 0.5 s", RoutingScenario(0.8, 0.5, False)),
        ("Shared prefixes, load 0.8, reports every 0.5 s", RoutingScenario(0.8, 0.5, True)),
        ("Shared prefixes, load 0.8, reports every 2 s", RoutingScenario(0.8, 2.0, True)),
        ("Shared prefixes, load 0.95, reports every 0.5 s", RoutingScenario(0.95, 0.5, True)),
    ]
    rows = []
    for title, scenario in scenarios:

        def run(policy: str, seed: int, scenario: RoutingScenario = scenario) -> dict[str, float]:
            return RoutingModel(Policy(policy), scenario, seed).run()

        figures = collect([str(policy) for policy in Policy], SEEDS, run, ROUTING_TARGETS)
        rows += print_table(title, figures, "random", SEEDS)
    write_rows("policies-routing", rows)


def run_cost() -> None:
    """Measures the wall time of single decisions in microseconds."""
    figures: list[Figure] = []
    for queued in (100, 10_000):
        timings = [_queue_timings_us(queued, seed) for seed in SEEDS]
        for name in timings[0]:
            values = tuple(timing[name] for timing in timings)
            figures.append(Figure(f"{queued} items", f"{name} us", values))
    rows = print_table("Queue, 50 workspaces, 3 ranks", figures, "100 items", SEEDS)
    figures = []
    for count in (10, 100, 800):
        for policy in Policy:
            values = tuple(_choose_us(count, policy, seed) for seed in SEEDS)
            figures.append(Figure(f"{count} upstreams", f"choose {policy} us", values))
    rows += print_table("Choice of upstream", figures, "10 upstreams", SEEDS)
    write_rows("policies-cost", rows)


def _queue_timings_us(queued: int, seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    queue = FairQueue(admission.RANKS, {}, max_items=queued)
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
        for i in range(queued + 2000)
    ]
    for item in items[:queued]:
        queue.push(item)
    timings = dict.fromkeys(("admit", "push", "pop"), 0.0)
    for item in items[queued:]:
        timestamps = [time.perf_counter()]
        policy.admit(item, queue, 1.0, 1e4)
        timestamps.append(time.perf_counter())
        queue.push(item)
        timestamps.append(time.perf_counter())
        queue.pop(1.0, "p")
        timestamps.append(time.perf_counter())
        for name, start, end in zip(timings, timestamps, timestamps[1:], strict=False):
            timings[name] += (end - start) * 1e6 / 2000
    return timings


def _choose_us(count: int, policy: Policy, seed: int) -> float:
    rng = random.Random(seed)
    rows = []
    for i in range(count):
        row = UpstreamRow(f"a{i}", "m", "r", "d", "live", 40, rng.randrange(40), linked=True)
        row.record_sent(0.0, (rng.randrange(100),))
        rows.append(row)
    pool = Pool(rows)
    iterations = 500
    start = time.perf_counter()
    for _ in range(iterations):
        req = RouteRequest("m", "r", prefixes=(rng.randrange(100), rng.randrange(100)))
        choose(pool, req, rng, policy, 1.0)
    return (time.perf_counter() - start) * 1e6 / iterations


def main() -> None:
    """Runs the experiments named on the command line, or all of them."""
    parts = {"admission": run_admission, "routing": run_routing, "cost": run_cost}
    for name in sys.argv[1:] or list(parts):
        parts[name]()


if __name__ == "__main__":
    main()
