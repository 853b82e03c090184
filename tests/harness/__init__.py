"""Starts stand-ins and daemons as real processes, and ends them even if a test fails."""

from tests.harness._callers import CallAttempt, ServiceCaller, percentile
from tests.harness._fleet import ROOT, Fleet, Process, ProcessError
from tests.harness._history import Evidence, claims_in_log, collect_evidence, find_violations
from tests.harness._http import HttpFailedError, http_bytes, http_json
from tests.harness._settings import to_toml, write_settings
from tests.harness._standins import (
    add_target,
    set_faults,
    start_agent,
    start_engine,
    start_entry,
    start_log,
    start_proxy,
    start_service,
    start_vms,
    start_weights,
)
from tests.harness._system import Entry, Layout, Pool, Replica, System, read_lines
from tests.harness._wait import poll, wait_until

__all__ = [
    "ROOT",
    "CallAttempt",
    "Entry",
    "Evidence",
    "Fleet",
    "HttpFailedError",
    "Layout",
    "Pool",
    "Process",
    "ProcessError",
    "Replica",
    "ServiceCaller",
    "System",
    "add_target",
    "claims_in_log",
    "collect_evidence",
    "find_violations",
    "http_bytes",
    "http_json",
    "percentile",
    "poll",
    "read_lines",
    "set_faults",
    "start_agent",
    "start_engine",
    "start_entry",
    "start_log",
    "start_proxy",
    "start_service",
    "start_vms",
    "start_weights",
    "to_toml",
    "wait_until",
    "write_settings",
]
