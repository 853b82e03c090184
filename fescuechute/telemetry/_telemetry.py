"""Log lines, counters, gauges and histograms of one process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from fescuechute.telemetry._lines import LineWriter

#: Upper bounds of the latency buckets in seconds; they bracket the latency objectives.
LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.44, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 4.5, 6.0, 10.0,
)  # fmt: skip


class Telemetry:
    """Records the decisions and faults of a process as log lines and metrics.

    Args:
      part: Daemon that writes the lines, such as `gateway`; the field `part` of each line.
      node: Name of the VM.
      now: Returns the current time in Unix seconds.
      writer: Writes the lines.
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
        """Writes a log line and increments the counter of its name and `reason`, if it has one."""
        self.count(name, str(fields.get("reason", "")))
        line = {"part": self._part, "node": self._node, "event": name, **fields}
        self._writer.write(self._now(), line)

    def count(self, name: str, reason: str = "", n: int = 1) -> None:
        """Increments a counter by `n` without writing a line."""
        self._events.labels(name, reason).inc(n)

    def observe(self, name: str, rank: int, seconds: float) -> None:
        """Records a latency in a histogram."""
        self._latency.labels(name, str(rank)).observe(seconds)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges.labels(name).set(value)

    def render_metrics(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        self.gauge("log.dropped_lines", self._writer.dropped)
        return generate_latest(self._registry)

    def flush(self) -> None:
        """Writes as many queued lines as standard output accepts without blocking."""
        self._writer.flush()
