"""The gateway: clients' HTTP in, routed straight to replicas. The daemon only composes."""

from fescuechute.gateway._access import AccessControl, Allowed, Denied
from fescuechute.gateway._choice import Choice, Chooser, Shortage, Wanted
from fescuechute.gateway._daemon import GatewayDaemon
from fescuechute.gateway._dispatch import Dispatcher
from fescuechute.gateway._forecast import first_event_s, reading_s, service_s, step_s
from fescuechute.gateway._transfer import Transfer
from fescuechute.gateway._upstreams import UpstreamRow, UpstreamTable
from fescuechute.gateway._versions import VersionTable

__all__ = [
    "AccessControl",
    "Allowed",
    "Choice",
    "Chooser",
    "Denied",
    "Dispatcher",
    "GatewayDaemon",
    "Shortage",
    "Transfer",
    "UpstreamRow",
    "UpstreamTable",
    "VersionTable",
    "Wanted",
    "first_event_s",
    "reading_s",
    "service_s",
    "step_s",
]
