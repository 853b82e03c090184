"""Tables and JSON of the experiments."""

from __future__ import annotations

import json
import pathlib
import statistics
from collections.abc import Callable, Sequence
from typing import Any

import attrs

OUT = pathlib.Path("out")


@attrs.frozen
class Target:
    """Bound on a figure, taken from the design and never from a measurement."""

    value: float
    #: True when the figure must be at least the value, False when at most.
    at_least: bool

    def met(self, figures: Sequence[float]) -> bool:
        """Returns whether every seed keeps the bound."""
        worst = min(figures) if self.at_least else max(figures)
        return worst >= self.value if self.at_least else worst <= self.value

    def __str__(self) -> str:
        return f"{'>=' if self.at_least else '<='} {self.value:g}"


@attrs.frozen
class Figure:
    """One figure of one policy over all seeds."""

    policy: str
    name: str
    values: tuple[float, ...]
    target: Target | None = None


def table(
    scenario: str, figures: Sequence[Figure], baseline_policy: str, seeds: Sequence[int]
) -> list[dict[str, Any]]:
    """Prints one table as Markdown and returns its rows."""
    baselines = {f.name: statistics.mean(f.values) for f in figures if f.policy == baseline_policy}
    print(f"\n### {scenario}\n")
    print(f"Seeds {', '.join(map(str, seeds))}; mean (lowest to highest seed).")
    print(f"Baseline: {baseline_policy}.\n")
    print("| figure | policy | measured | target | baseline | ratio |")
    print("| --- | --- | --- | --- | --- | --- |")
    rows = []
    for figure in sorted(figures, key=lambda f: _order(f, figures)):
        mean, baseline = statistics.mean(figure.values), baselines[figure.name]
        ratio = f"{mean / baseline:.2f}" if baseline else "-"
        verdict = ""
        if figure.target:
            verdict = f"{figure.target} {'met' if figure.target.met(figure.values) else 'missed'}"
        spread = f"{mean:.3f} ({min(figure.values):.3f} to {max(figure.values):.3f})"
        print(
            f"| {figure.name} | {figure.policy} | {spread} | {verdict or '-'} "
            f"| {baseline:.3f} | {ratio} |"
        )
        rows.append(
            {
                "scenario": scenario,
                "figure": figure.name,
                "policy": figure.policy,
                "by_seed": dict(zip(map(str, seeds), figure.values, strict=True)),
                "target": str(figure.target) if figure.target else None,
                "met": figure.target.met(figure.values) if figure.target else None,
                "baseline": baseline,
            }
        )
    return rows


def collect(
    policies: Sequence[str],
    seeds: Sequence[int],
    run: Callable[[str, int], dict[str, float]],
    targets: dict[str, Target],
) -> list[Figure]:
    """Runs every policy with every seed and gathers the figures."""
    figures = []
    for policy in policies:
        runs = [run(policy, seed) for seed in seeds]
        figures += [
            Figure(policy, name, tuple(one[name] for one in runs), targets.get(name))
            for name in runs[0]
        ]
    return figures


def write(name: str, rows: Sequence[dict[str, Any]]) -> None:
    """Writes the rows of an experiment to `out/<name>.json`."""
    OUT.mkdir(exist_ok=True)
    path = OUT / f"{name}.json"
    path.write_text(json.dumps(list(rows), indent=1) + "\n")
    print(f"\nwritten: {path}")


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def _order(figure: Figure, figures: Sequence[Figure]) -> tuple[int, int]:
    names = [f.name for f in figures]
    policies = [f.policy for f in figures]
    return names.index(figure.name), policies.index(figure.policy)
