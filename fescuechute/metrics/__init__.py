"""Counters, gauges and timings that are sent to statsd and totalled in memory.

Example:
  >>> from fescuechute.metrics import Metrics
  >>> metrics = Metrics(None, "fescuechute")
  >>> metrics.count("refused.busy")
  >>> metrics.totals
  {'refused.busy': 1}
"""

from fescuechute.metrics._metrics import Metrics

__all__ = ["Metrics"]
