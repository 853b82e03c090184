"""What is declared and who is there: routes, services, workspaces, replicas, versions.

Types and pure selection only. The platform adapter decodes into these types; the gateway and the
stager decide with them.
"""

from fescuechute.catalog._requests import AnswerMeta, Onward, RequestMeta
from fescuechute.catalog._routes import RouteTable, split_service
from fescuechute.catalog._types import (
    ClientLimits,
    Configuration,
    EngineProfile,
    EngineReport,
    LoadedModel,
    Registration,
    Repeat,
    Route,
    Service,
    UpstreamState,
    VersionDeclaration,
    WeightedService,
    Workspace,
)

__all__ = [
    "AnswerMeta",
    "ClientLimits",
    "Configuration",
    "EngineProfile",
    "EngineReport",
    "LoadedModel",
    "Onward",
    "Registration",
    "Repeat",
    "RequestMeta",
    "Route",
    "RouteTable",
    "Service",
    "UpstreamState",
    "VersionDeclaration",
    "WeightedService",
    "Workspace",
    "split_service",
]
