"""The gateway accepts HTTP requests from clients and forwards them to replicas.

`GatewayDaemon` connects the components; the decisions are made in the other modules.
"""

from fescuechute.gateway._access import AccessControl, Allowed, Denied
from fescuechute.gateway._capacity import CapacityLearner, Kind, LearnedCapacity
from fescuechute.gateway._choice import Choice, Chooser, Shortage
from fescuechute.gateway._cold import ColdStart, GatewayCounts
from fescuechute.gateway._crash_monitor import CrashMonitor
from fescuechute.gateway._daemon import GatewayDaemon
from fescuechute.gateway._dispatch import Dispatcher
from fescuechute.gateway._evacuations import EvacuatedDataCentre, EvacuationTable
from fescuechute.gateway._evaluation import Requirements
from fescuechute.gateway._latency_model import (
    FirstEventModel,
    decode_step_s,
    loaded_first_event_s,
    mean_service_time_s,
    prefill_s,
)
from fescuechute.gateway._loads import LoadListener
from fescuechute.gateway._spill import SpillQuota
from fescuechute.gateway._subset import Subset, SubsetSelector
from fescuechute.gateway._transfer import Transfer
from fescuechute.gateway._upstreams import UpstreamRow, UpstreamTable
from fescuechute.gateway._versions import VersionTable
from fescuechute.gateway._waiting import WaitingRequest, WaitingRequests

__all__ = [
    "AccessControl",
    "Allowed",
    "CapacityLearner",
    "Choice",
    "Chooser",
    "ColdStart",
    "CrashMonitor",
    "Denied",
    "Dispatcher",
    "EvacuatedDataCentre",
    "EvacuationTable",
    "FirstEventModel",
    "GatewayCounts",
    "GatewayDaemon",
    "Kind",
    "LearnedCapacity",
    "LoadListener",
    "Requirements",
    "Shortage",
    "SpillQuota",
    "Subset",
    "SubsetSelector",
    "Transfer",
    "UpstreamRow",
    "UpstreamTable",
    "VersionTable",
    "WaitingRequest",
    "WaitingRequests",
    "decode_step_s",
    "loaded_first_event_s",
    "mean_service_time_s",
    "prefill_s",
]
