"""Base class of the gateway and the stager: event loop, settings reload, telemetry, feeds."""

from fescuechute.runtime._main import run_daemon
from fescuechute.runtime._process import METRICS_PORT, REGISTRY_INTERVAL_S, Process

__all__ = ["METRICS_PORT", "REGISTRY_INTERVAL_S", "Process", "run_daemon"]
