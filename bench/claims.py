"""Measures what a claim adds to a call: bookings against lookups at the same service.

`python -m bench.claims --rate 40 --seconds 15 --seed 1`
"""

from __future__ import annotations

import argparse
import asyncio
import random

from tests.harness import Caller, CallSeen, Fleet, System, http_json, percentile
from tests.integration.bookings import start_bookings


async def measure(
    system: System, rate_per_s: float, seconds: float, seed: int
) -> tuple[list[CallSeen], list[CallSeen]]:
    """Sends bookings and lookups in turn to all entries; returns what callers saw of each."""
    rng = random.Random(seed)
    ports = [entry.port for entry in system.entries]
    async with Caller() as bookings, Caller(operation="lookup") as lookups:

        async def both(number: int) -> None:
            port = ports[number % len(ports)]
            await lookups.call(port, "")
            await bookings.call(port, bookings.new_key(f"b{number}"))

        tasks = await bookings.paced(int(rate_per_s * seconds), rate_per_s, rng, both)
        await asyncio.gather(*tasks)
        return bookings.rows, lookups.rows


def main() -> None:
    """Prints the latency of both kinds and the log's appends and reads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=40.0, help="bookings a second")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with Fleet() as fleet:
        system = start_bookings(fleet, replicas=2, work_ms=5, slots=64)
        before = http_json("GET", system.log.port, "/stats")[1]
        bookings, lookups = asyncio.run(measure(system, args.rate, args.seconds, args.seed))
        after = http_json("GET", system.log.port, "/stats")[1]
    for name, rows in (("booking", bookings), ("lookup", lookups)):
        took = [row.took_s * 1000 for row in rows if row.answered]
        shown = ", ".join(f"p{int(p * 100)} {percentile(took, p):.1f} ms" for p in (0.5, 0.95))
        print(f"{name}: {len(took)} of {len(rows)} answered, {shown}")
    print(
        f"appends {after['appends'] - before['appends']}, reads {after['reads'] - before['reads']}"
    )


if __name__ == "__main__":
    main()
