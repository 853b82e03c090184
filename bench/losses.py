"""Accounts for the requests that were not served in time, second by second, from the logs of gateways.

Each `request` line counts once, under its outcome. A client that returns after a refusal sends a new
request with an id of its own, so the counts are of attempts of clients. The classes are told apart by
the latency target of their route:

    python -m bench.losses replay.log --class 600=summary --class 500=answer --plot losses.png

Lines may start with other words, such as the time at which a collector received them.
"""

from __future__ import annotations

import argparse
import gzip
import json
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs

from bench._tables import format_table, write_json

ON_TIME = "on time"
LATE = "late"
#: Outcomes that are not a loss: the client left, or the request was not allowed.
NOT_OWED = "not owed"
OTHER_CLASS = "other"


@attrs.frozen
class Outcome:
    """Outcome of one request at a gateway."""

    #: Seconds since the start of the account at which the request arrived.
    at: float
    #: Class of the request.
    request_class: str
    #: Zone of the gateway.
    zone: str
    #: How it ended, and why.
    cause: str


@attrs.define
class Account:
    """Outcomes, and the log lines that gateways dropped."""

    outcomes: list[Outcome] = attrs.field(factory=list)
    dropped_lines: int = 0


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yields the structured lines of a log, which may be compressed with gzip."""
    with gzip.open(path, "rt", errors="replace") if path.suffix == ".gz" else path.open() as file:
        for line in file:
            start = line.find('{"at"')
            if start < 0:
                continue
            try:
                yield json.loads(line[start:])
            except ValueError:
                continue


def account(
    lines: Iterable[dict[str, Any]], names_by_target: dict[int, str], origin_s: float | None = None
) -> Account:
    """Returns the outcome of each request.

    Args:
      lines: Structured log lines.
      names_by_target: Name of each class by the latency target of its routes in milliseconds.
      origin_s: Unix seconds from which times count; the arrival of the first request if None.
    """
    result = Account()
    arrivals: list[tuple[float, Outcome]] = []
    for line in lines:
        if line["event"] == "log.dropped":
            result.dropped_lines += line["lines"]
        elif line["event"] == "request" and line.get("route"):
            name = names_by_target.get(line.get("target_ms", 0), OTHER_CLASS)
            zone = line["node"].removeprefix("front-").rpartition("-")[0]
            arrived_at = line["at"] - line.get("ms", 0) / 1000
            arrivals.append((arrived_at, Outcome(0.0, name, zone, cause(line))))
    if origin_s is None:
        origin_s = min((arrived_at for arrived_at, _ in arrivals), default=0.0)
    result.outcomes = [
        attrs.evolve(outcome, at=arrived_at - origin_s) for arrived_at, outcome in arrivals
    ]
    return result


def cause(line: dict[str, Any]) -> str:
    """Returns how a request ended: on time, late, not owed, or the cause of the loss."""
    status, reason = line["status"], line.get("reason") or ""
    if status == 499 or reason in ("unknown_key", "not_found"):
        return NOT_OWED
    if status == 200:
        return ON_TIME if _is_on_time(line) else LATE
    if reason == "no_upstream":
        return f"refused: {_shortage(line.get('shortage') or {})}"
    kind = "refused" if status in (408, 429, 503) else "failed"
    return f"{kind}: {reason or f'status {status}'}"


def _is_on_time(line: dict[str, Any]) -> bool:
    first_ms = line["ms"] if line.get("first_ms") is None else line["first_ms"]
    max_gap_ms = line.get("max_gap_ms", 0)
    in_gaps = not max_gap_ms or line.get("gap_ms", 0) <= max_gap_ms
    return first_ms <= line.get("target_ms", float("inf")) and in_gaps


def _shortage(shortage: dict[str, int]) -> str:
    """Returns which condition left no replica."""
    if not shortage.get("up"):
        return "no replica reachable"
    if not shortage.get("able"):
        return "no replica holds the version" if shortage.get("version") else "all replicas load"
    if shortage["able"] < shortage["up"] / 2:
        return "full, most replicas load or lack the version"
    return "replicas full"


def losses(outcomes: Iterable[Outcome]) -> Counter[tuple[str, str]]:
    """Returns the number of requests by class and cause, without those served in time or not owed."""
    return Counter(
        (outcome.request_class, outcome.cause)
        for outcome in outcomes
        if outcome.cause not in (ON_TIME, NOT_OWED)
    )


def _print(found: Account, step_s: int) -> None:
    outcomes = found.outcomes
    owed = [outcome for outcome in outcomes if outcome.cause != NOT_OWED]
    if found.dropped_lines:
        print(f"{found.dropped_lines} log lines were dropped; their requests are not counted.\n")
    for title, key in (("class", "request_class"), ("zone", "zone")):
        owed_by = Counter(getattr(outcome, key) for outcome in owed)
        lost_by = Counter(
            (getattr(outcome, key), outcome.cause) for outcome in owed if outcome.cause != ON_TIME
        )
        rows = [
            (name, reason, count, count / owed_by[name])
            for (name, reason), count in lost_by.most_common()
        ]
        print(
            format_table(f"By {title}", (title, "cause", "requests", "share of owed"), rows), "\n"
        )
    by_second = Counter((int(outcome.at // step_s) * step_s, outcome.cause) for outcome in outcomes)
    causes = [name for name, _ in Counter(outcome.cause for outcome in outcomes).most_common()]
    seconds = sorted({second for second, _ in by_second})
    rows = [
        (str(second), *(by_second[second, name] or "" for name in causes)) for second in seconds
    ]
    print(format_table("By time of arrival", ("from second", *causes), rows))


def _plot(found: Account, path: Path, step_s: int) -> None:
    # Imported here because the tables need no plots.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    classes = sorted({outcome.request_class for outcome in found.outcomes})
    owed = [outcome for outcome in found.outcomes if outcome.cause != NOT_OWED]
    causes = [name for name, _ in Counter(outcome.cause for outcome in owed).most_common()]
    if ON_TIME in causes:
        causes.insert(0, causes.pop(causes.index(ON_TIME)))
    bins = sorted({int(outcome.at // step_s) * step_s for outcome in owed})
    figure, axes = pyplot.subplots(
        len(classes), 1, sharex=True, figsize=(10, 2.5 * len(classes)), squeeze=False
    )
    for axis, name in zip(axes[:, 0], classes, strict=True):
        counts = Counter(
            (int(outcome.at // step_s) * step_s, outcome.cause)
            for outcome in owed
            if outcome.request_class == name
        )
        series = [[counts[second, reason] / step_s for second in bins] for reason in causes]
        axis.stackplot(bins, series, labels=causes)
        axis.set_ylabel(f"{name}\nrequests/s")
    axes[-1, 0].set_xlabel("seconds since the first request")
    axes[0, 0].legend(fontsize=6, loc="upper left")
    figure.savefig(path, dpi=110)
    print(f"\nwritten: {path}")


def _class_name(text: str) -> tuple[int, str]:
    target_ms, separator, name = text.partition("=")
    if not separator or not target_ms.isdigit() or not name:
        raise argparse.ArgumentTypeError(f"found {text!r}, expected MILLISECONDS=NAME")
    return int(target_ms), name


def main() -> int:
    """Prints the account of a log, writes `out/losses.json`, and plots it on demand."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log", type=Path)
    parser.add_argument(
        "--class",
        dest="classes",
        type=_class_name,
        action="append",
        default=[],
        metavar="MILLISECONDS=NAME",
        help="name of the class whose routes have this latency target",
    )
    parser.add_argument("--origin", type=float, help="unix seconds from which times count")
    parser.add_argument("--step", type=int, default=1, help="seconds of one row")
    parser.add_argument("--plot", type=Path, help="file of the plot, such as losses.png")
    args = parser.parse_args()
    if not args.log.is_file():
        print(f"{args.log} is no file; give the log of the gateways.", file=sys.stderr)
        return 2
    found = account(read_lines(args.log), dict(args.classes), args.origin)
    _print(found, max(1, args.step))
    rows = [
        {"class": name, "cause": reason, "requests": count}
        for (name, reason), count in losses(found.outcomes).most_common()
    ]
    write_json("losses", rows)
    if args.plot is not None:
        _plot(found, args.plot, max(1, args.step))
    return 0


if __name__ == "__main__":
    sys.exit(main())
