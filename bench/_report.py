"""Prints Markdown tables and writes JSON results of the policy simulations."""

from __future__ import annotations

import json
import pathlib
import statistics
from collections.abc import Callable, Sequence
from typing import Any

import attrs

OUTPUT_DIR = pathlib.Path("out")


@attrs.frozen
class Target:
    """Required bound on a figure, from the design rather than from an earlier measurement."""

    value: float
    #: Whether the value is a lower bound; otherwise an upper bound.
    at_least: bool

    def is_met(self, values: Sequence[float]) -> bool:
        """Returns whether the values of all seeds satisfy the bound."""
        worst = min(values) if self.at_least else max(values)
        return worst >= self.value if self.at_least else worst <= self.value

    def __str__(self) -> str:
        return f"{'>=' if self.at_least else '<='} {self.value:g}"


@attrs.frozen
class Figure:
    """Values of one figure of one policy, one for each seed."""

    policy: str
    name: str
    values: tuple[float, ...]
    target: Target | None = None


def print_table(
    scenario: str, figures: Sequence[Figure], baseline_policy: str, seeds: Sequence[int]
) -> list[dict[str, Any]]:
    """Prints a Markdown table with one row per figure and returns its rows for JSON."""
    policies = sorted({f.policy for f in figures}, key=[f.policy for f in figures].index)
    policies.sort(key=lambda policy: policy != baseline_policy)
    print(f"\n### {scenario}\n")
    print(f"Seeds {', '.join(map(str, seeds))}. Cells: mean (lowest to highest seed), ratio to the")
    print("baseline, and whether every seed keeps the target.\n")
    headers = [f"{p} (baseline)" if p == baseline_policy else p for p in policies]
    print(f"| figure | target | {' | '.join(headers)} |")
    print("| --- " * (len(headers) + 2) + "|")
    rows = []
    for name in dict.fromkeys(f.name for f in figures):
        cells = {f.policy: f for f in figures if f.name == name}
        baseline = statistics.mean(cells[baseline_policy].values)
        target = cells[baseline_policy].target
        cell_texts = [_cell(cells[policy], baseline, baseline_policy) for policy in policies]
        print(f"| {name} | {target or '-'} | {' | '.join(cell_texts)} |")
        rows += [_row(scenario, cells[policy], baseline, seeds) for policy in policies]
    return rows


def _cell(figure: Figure, baseline: float, baseline_policy: str) -> str:
    mean = statistics.mean(figure.values)
    text = f"{mean:.3f} ({min(figure.values):.3f} to {max(figure.values):.3f})"
    # The ratio to a baseline close to zero is not meaningful.
    if figure.policy != baseline_policy and baseline >= 0.01:
        text += f", {mean / baseline:.2f}x"
    if figure.target:
        text += ", met" if figure.target.is_met(figure.values) else ", missed"
    return text


def _row(scenario: str, figure: Figure, baseline: float, seeds: Sequence[int]) -> dict[str, Any]:
    return {
        "scenario": scenario,
        "figure": figure.name,
        "policy": figure.policy,
        "by_seed": dict(zip(map(str, seeds), figure.values, strict=True)),
        "target": str(figure.target) if figure.target else None,
        "met": figure.target.is_met(figure.values) if figure.target else None,
        "baseline": baseline,
    }


def collect(
    policies: Sequence[str],
    seeds: Sequence[int],
    run: Callable[[str, int], dict[str, float]],
    targets: dict[str, Target],
) -> list[Figure]:
    """Runs every policy with every seed and returns the figures."""
    figures = []
    for policy in policies:
        runs = [run(policy, seed) for seed in seeds]
        figures += [
            Figure(
                policy,
                name,
                tuple(run_figures[name] for run_figures in runs),
                targets.get(name),
            )
            for name in runs[0]
        ]
    return figures


def write_rows(name: str, rows: Sequence[dict[str, Any]]) -> None:
    """Writes the rows of an experiment to `out/<name>.json`."""
    OUTPUT_DIR.mkdir(exist_ok=True)
    path = OUTPUT_DIR / f"{name}.json"
    path.write_text(json.dumps(list(rows), indent=1) + "\n")
    print(f"\nwritten: {path}")


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile by the nearest-rank method, or NaN if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")
