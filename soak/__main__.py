"""Plays seeds one after the other and prints a table and all findings."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import attrs

from soak._options import Options
from soak._player import Played, play

_MAX_FINDINGS = 20
_HEADER = "seed  findings  requests  served  runs  disturbances  recovered_s  logs"


def main() -> int:
    """Returns 1 if any seed had findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="the first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--gateways", type=int)
    parser.add_argument("--replicas", type=int)
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--keep", type=Path, help="directory for the logs of plays with findings")
    args = parser.parse_args()
    make = Options.large if args.large else Options
    options = attrs.evolve(make(args.seed, args.seconds), keep=args.keep)
    counts = {"gateways": args.gateways, "replicas": args.replicas}
    options = attrs.evolve(options, **{name: n for name, n in counts.items() if n})
    rows, failed = [_HEADER], False
    for seed in range(args.seed, args.seed + args.runs):
        played = play(attrs.evolve(options, seed=seed))
        failed = failed or bool(played.findings)
        print_findings(seed, played)
        rows.append(_row(seed, played))
        print(f"{_HEADER}\n{rows[-1]}", flush=True)
    print("\n".join(rows))
    return int(failed)


def print_findings(seed: int, played: Played) -> None:
    """Prints the findings with what was done at the time."""
    for finding in played.findings[:_MAX_FINDINGS]:
        print(f"seed {seed} at {finding.at:.3f}: {finding.rule}: {finding.text}")
    if played.findings:
        print("\n".join(played.timeline), flush=True)


def _row(seed: int, played: Played) -> str:
    recovered = "-" if played.recovered_in_s is None else f"{played.recovered_in_s:.1f}"
    return (
        f"{seed:4}  {len(played.findings):8}  {played.requests:8}  {played.served:6}  {played.runs:4}"
        f"  {played.disturbances:12}  {recovered:>11}  {played.logs or '-'}"
    )


if __name__ == "__main__":
    sys.exit(main())
