"""Compares ways of placing requests while more arrives than can be served.

    python -m bench.overload                       # a drawn load, three seeds
    python -m bench.overload --shifted 0.3         # 0.3 of it moves to the gateways of one region
    python -m bench.overload --log replay.log      # the arrivals of a replay

Only arrivals come from a log; sizes of requests are drawn. The simulation is described in
`bench._overload_model`.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from pathlib import Path
from random import Random

import attrs

from bench._overload_model import Arrival, Layout, OverloadModel, Way
from bench._tables import format_table, write_json
from bench.losses import read_lines

#: Latency target in ms, share of the arrivals, and mean tokens of the prompt, by class.
CLASSES = {
    "plan": (1500, 0.44, 1290),
    "summary": (600, 0.32, 787),
    "answer": (500, 0.24, 607),
}
MEAN_OUTPUT_TOKENS = 73
#: Arrivals per second of all classes from each second on, and of the class `plan` beside them.
RATES = {0: (215, 0), 3: (215, 130), 6: (275, 160), 8: (330, 200), 9: (390, 0), 15: (390, 0)}
END_S = 18
LAYOUT = Layout(
    regions=5,
    gateways_per_region=7,
    engines_per_region=12,
    added_per_region=8,
    added_loaded_at=(11.0, 15.5),
    refusing_share=1 / 12,
    refusing_from=7.5,
    refusing_until=10.5,
)
OUTCOMES = ("on time", "late", "overloaded", "full")
WAYS = (
    Way("neither", False, False),
    Way("refusals", True, False),
    Way("refusals and shares", True, True),
)


def drawn_load(seed: int) -> list[Arrival]:
    """Returns arrivals at the rates of `RATES`."""
    rng = Random(seed)
    arrivals = []
    for second in range(END_S):
        base, burst = RATES[max(start for start in RATES if start <= second)]
        names = rng.choices(list(CLASSES), [share for _, share, _ in CLASSES.values()], k=base)
        arrivals += [
            _arrival(second + rng.random(), rng.randrange(LAYOUT.regions), name, rng)
            for name in names + ["plan"] * burst
        ]
    return sorted(arrivals, key=lambda arrival: arrival.at)


def recorded_load(path: Path, seed: int) -> list[Arrival]:
    """Returns the arrivals at gateways of a log, by the latency targets of their routes."""
    rng = Random(seed)
    lines = [
        (line["at"] - line.get("ms", 0) / 1000, line["node"].rpartition("-")[0], line["target_ms"])
        for line in read_lines(path)
        if line["event"] == "request" and line.get("target_ms")
    ]
    start = min((at for at, _, _ in lines), default=0.0)
    zones = {name: number for number, name in enumerate(sorted({zone for _, zone, _ in lines}))}
    arrivals = []
    for at, zone, target_ms in lines:
        name = min(CLASSES, key=lambda name: abs(CLASSES[name][0] - target_ms))
        if abs(CLASSES[name][0] - target_ms) <= 10 and at - start < END_S:
            arrivals.append(_arrival(at - start, zones[zone] % LAYOUT.regions, name, rng))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _arrival(at: float, region: int, name: str, rng: Random) -> Arrival:
    target_ms, _, prompt_tokens = CLASSES[name]
    return Arrival(
        at,
        region,
        rng.choices((0, 1), (0.2, 0.8))[0],
        min(4 * prompt_tokens, int(rng.expovariate(1 / prompt_tokens)) + 1),
        int(rng.expovariate(1 / MEAN_OUTPUT_TOKENS)) + 1,
        target_ms / 1000,
        name,
    )


def _print(title: str, model: OverloadModel, seconds: bool) -> dict[str, float]:
    by_class = Counter(model.outcomes)
    rows = []
    for name in CLASSES:
        counts = [
            sum(n for (_, cls, end), n in by_class.items() if (cls, end) == (name, outcome))
            for outcome in OUTCOMES
        ]
        total = max(1, sum(counts))
        rows.append((name, total, *(count / total for count in counts)))
    print(format_table(title, ("class", "requests", *OUTCOMES), rows))
    print(f"attempts {model.attempts}, refused {model.refused_attempts}\n")
    if seconds:
        times = sorted({second for second, _, _ in by_class})
        rows_by_second = [
            (
                second,
                *(
                    sum(n for (at, _, end), n in by_class.items() if (at, end) == (second, outcome))
                    for outcome in OUTCOMES
                ),
            )
            for second in times
        ]
        print(format_table("By second", ("second", *OUTCOMES), rows_by_second), "\n")
    return {"attempts": model.attempts, "refused attempts": model.refused_attempts} | {
        f"{row[0]} {outcome}": share
        for row in rows
        for outcome, share in zip(OUTCOMES, row[2:], strict=True)
    }


def _shift(load: list[Arrival], share: float, seed: int) -> list[Arrival]:
    rng = Random(seed)
    return [
        attrs.evolve(arrival, region=0) if rng.random() < share else arrival for arrival in load
    ]


def _plot(models: dict[str, OverloadModel], path: Path) -> None:
    # Imported here because the tables need no plots.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        len(models), 1, sharex=True, figsize=(9, 2.4 * len(models)), squeeze=False
    )
    for axis, (title, model) in zip(axes[:, 0], models.items(), strict=True):
        counts: Counter[tuple[int, str]] = Counter()
        for (second, _, outcome), count in model.outcomes.items():
            counts[second, outcome] += count
        seconds = sorted({second for second, _ in counts})
        series = [[counts[second, outcome] for second in seconds] for outcome in OUTCOMES]
        axis.stackplot(seconds, series, labels=OUTCOMES)
        axis.set_title(title, fontsize=8)
        axis.set_ylabel("requests/s")
    axes[0, 0].legend(fontsize=7, loc="upper left")
    axes[-1, 0].set_xlabel("second of arrival")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    print(f"written: {path}")


def main() -> int:
    """Prints the outcomes of each way and writes `out/overload.json`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--log", type=Path, help="log of gateways whose arrivals are replayed")
    parser.add_argument("--shifted", type=float, default=0.0, help="share moved to one region")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", action="store_true", help="print the outcomes by second")
    parser.add_argument("--plot", type=Path, help="file of a plot of the first seed")
    args = parser.parse_args()
    result = {}
    for seed in range(1, args.seeds + 1):
        load = recorded_load(args.log, seed) if args.log else drawn_load(seed)
        load = _shift(load, args.shifted, seed)
        models = {}
        for way in WAYS:
            model = models[way.name] = OverloadModel(LAYOUT, load, way, seed)
            model.run()
            name = f"{way.name}, seed {seed}"
            result[name] = _print(name, model, args.seconds)
        if args.plot is not None and seed == 1:
            _plot(models, args.plot)
    write_json("overload", result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
