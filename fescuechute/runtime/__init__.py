"""Base class of the gateway and the stager: event loop, settings reload, telemetry, feeds."""

from fescuechute.runtime._process import METRICS_PORT, Process

__all__ = ["METRICS_PORT", "Process"]
