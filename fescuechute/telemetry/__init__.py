"""Structured log lines on standard output and Prometheus metrics.

Operators diagnose failures from these two alone; docs/OPERATIONS.md shows how.
"""

from fescuechute.telemetry._lines import LineWriter
from fescuechute.telemetry._telemetry import LATENCY_BUCKETS_S, Telemetry

__all__ = ["LATENCY_BUCKETS_S", "LineWriter", "Telemetry"]
