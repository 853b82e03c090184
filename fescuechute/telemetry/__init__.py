"""Structured lines on standard output and metrics for a scrape.

Operators explain a failure from these two alone; docs/OPERATIONS.md shows how.
"""

from fescuechute.telemetry._lines import LineWriter
from fescuechute.telemetry._telemetry import LATENCY_BUCKETS_S, Telemetry

__all__ = ["LATENCY_BUCKETS_S", "LineWriter", "Telemetry"]
