"""The frame of the processes of a deployment: loop, settings, telemetry, feeds."""

from fescuechute.runtime._process import METRICS_PORT, Process

__all__ = ["METRICS_PORT", "Process"]
