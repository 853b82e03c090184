"""Decision lines, counters and histograms of one process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from fescuechute.telemetry._lines import LineWriter

#: Upper bounds of latency buckets in seconds; they bracket the objectives of the brief.
LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.44, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 4.5, 6.0, 10.0,
)  # fmt: skip


class Telemetry:
    """What a process says about its decisions.

    Args:
      part: Fixed prefix of the events of the process.
      node: Name of the VM.
      now: Returns unix seconds.
      writer: Receives the lines.
    """

    def __init__(self, part: str, node: str, now: Callable[[], float], writer: LineWriter):
        self._part = part
        self._node = node
        self._now = now
        self._writer = writer
        self._registry = CollectorRegistry()
        self._events = Counter(
            "fescuechute_events_total",
            "Decisions and faults by name and reason.",
            ["name", "reason"],
            registry=self._registry,
        )
        self._latency = Histogram(
            "fescuechute_latency_seconds",
            "Time from the head of a request to its first event and to its end.",
            ["name", "rank"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._gauges = Gauge(
            "fescuechute_state",
            "State of the process.",
            ["name"],
            registry=self._registry,
        )

    def event(self, name: str, **fields: Any) -> None:
        """Writes one line and counts it by its `reason`, if it has one."""
        self.count(name, str(fields.get("reason", "")))
        line = {"part": self._part, "node": self._node, "event": name, **fields}
        self._writer.write(self._now(), line)

    def count(self, name: str, reason: str = "", n: int = 1) -> None:
        """Adds to a counter without a line."""
        self._events.labels(name, reason).inc(n)

    def observe(self, name: str, rank: int, seconds: float) -> None:
        """Adds a latency to a histogram."""
        self._latency.labels(name, str(rank)).observe(seconds)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges.labels(name).set(value)

    def page(self) -> bytes:
        """Returns the metrics as text."""
        self.gauge("log.dropped_lines", self._writer.dropped)
        return generate_latest(self._registry)

    def flush(self) -> None:
        """Writes the lines that wait, as far as standard output takes them."""
        self._writer.flush()
