"""Measures the latency that a claim adds to a call, by comparing bookings with lookups.

`python -m bench.claims --rate 40 --seconds 15 --seed 1`
"""

from __future__ import annotations

import argparse
import asyncio
import random

from tests.harness import CallAttempt, Fleet, ServiceCaller, System, http_json, percentile
from tests.integration.bookings import start_booking_system


async def measure(
    system: System, rate_per_s: float, seconds: float, seed: int
) -> tuple[list[CallAttempt], list[CallAttempt]]:
    """Sends bookings and lookups to all entries in turn; returns the outcomes of each kind."""
    rng = random.Random(seed)
    ports = [entry.port for entry in system.entries]
    async with ServiceCaller() as bookings, ServiceCaller(operation="lookup") as lookups:

        async def call_both(number: int) -> None:
            port = ports[number % len(ports)]
            await lookups.call(port, "")
            await bookings.call(port, bookings.new_key(f"b{number}"))

        tasks = await bookings.start_poisson_arrivals(
            int(rate_per_s * seconds), rate_per_s, rng, call_both
        )
        await asyncio.gather(*tasks)
        return bookings.rows, lookups.rows


def main() -> None:
    """Prints the latency of both kinds of call, and the appends and reads at the log."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=40.0, help="bookings per second")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with Fleet() as fleet:
        system = start_booking_system(fleet, replicas=2, work_ms=5, slots=64)
        before = http_json("GET", system.log.port, "/stats")[1]
        bookings, lookups = asyncio.run(measure(system, args.rate, args.seconds, args.seed))
        after = http_json("GET", system.log.port, "/stats")[1]
    for name, rows in (("booking", bookings), ("lookup", lookups)):
        latencies_ms = [row.duration_s * 1000 for row in rows if row.answered]
        percentiles = ", ".join(
            f"p{int(p * 100)} {percentile(latencies_ms, p):.1f} ms" for p in (0.5, 0.95)
        )
        print(f"{name}: {len(latencies_ms)} of {len(rows)} answered, {percentiles}")
    print(
        f"appends {after['appends'] - before['appends']}, reads {after['reads'] - before['reads']}"
    )


if __name__ == "__main__":
    main()
