"""Types for the configuration and state of a deployment, and the selection of routes and services.

Covers routes, services, workspaces, replicas and versions of weights. This package does no I/O: the
platform adapter decodes into these types, and the gateway and the stager use them for decisions.
"""

from fescuechute.catalog._removed import RemovedReplicas
from fescuechute.catalog._requests import ForwardedMeta, RequestMeta, ResponseMeta
from fescuechute.catalog._routes import RouteTable, split_service
from fescuechute.catalog._types import (
    ClientLimits,
    Configuration,
    EngineProfile,
    EngineReport,
    Evacuation,
    LoadedModel,
    LoadState,
    Registration,
    RetryPolicy,
    Route,
    Service,
    UpstreamState,
    VersionDeclaration,
    WeightedService,
    Workspace,
)

__all__ = [
    "ClientLimits",
    "Configuration",
    "EngineProfile",
    "EngineReport",
    "Evacuation",
    "ForwardedMeta",
    "LoadState",
    "LoadedModel",
    "Registration",
    "RemovedReplicas",
    "RequestMeta",
    "ResponseMeta",
    "RetryPolicy",
    "Route",
    "RouteTable",
    "Service",
    "UpstreamState",
    "VersionDeclaration",
    "WeightedService",
    "Workspace",
    "split_service",
]
