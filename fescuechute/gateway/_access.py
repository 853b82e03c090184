"""Access control of requests by the configuration in force and its age."""

from __future__ import annotations

import attrs

from fescuechute.catalog import (
    Configuration,
    RequestMeta,
    Route,
    RouteTable,
    Workspace,
    split_service,
)
from fescuechute.errors import Reason


@attrs.frozen
class Allowed:
    """The request may be sent to a replica."""

    route: Route
    service: str
    #: Workspace that owns the key, or None if the route needs no key.
    workspace: str | None
    #: Rank of the request; 0 is the most urgent.
    rank: int
    #: Version of the configuration that allowed the request.
    configuration_version: int
    #: Regions in which it may be served, None for all.
    regions: frozenset[str] | None = None
    #: Rank of the route above that of the most urgent route of the service, if the rank of the workspace
    #: takes precedence; it tells apart the routes of one workspace. 0 otherwise.
    route_rank: int = 0


@attrs.frozen
class Denied:
    """The request is refused."""

    reason: Reason
    detail: str
    #: Route of the request, or None if it has none.
    route: Route | None = None


class AccessControl:
    """Authorizes requests by the newest configuration.

    Args:
      max_configuration_age_s: Age of the configuration, in seconds since it was last confirmed as
        the newest, from which keys are rejected because they may have been revoked since; None if
        revocation is not enforced.
    """

    def __init__(self, max_configuration_age_s: float | None):
        self.max_configuration_age_s = max_configuration_age_s
        self._table: RouteTable | None = None
        self._home_regions: frozenset[str] = frozenset()

    @property
    def table(self) -> RouteTable | None:
        """Route table of the configuration in force, or None before the first configuration."""
        return self._table

    def apply(self, configuration: Configuration) -> bool:
        """Applies a configuration; returns False if it is not newer than the one in force."""
        if self._table is not None and configuration.version <= self._table.configuration.version:
            return False
        self._table = RouteTable(configuration)
        self._home_regions = frozenset().union(
            *(route.regions for route in configuration.routes),
            *(workspace.regions for workspace in configuration.workspaces),
        )
        return True

    def authorize(
        self, host: str, path: str, meta: RequestMeta, confirmed_at: float | None, now: float
    ) -> Allowed | Denied:
        """Decides whether a request is allowed.

        Args:
          host: Host of the request, without a port.
          path: Path without the query.
          meta: Metadata that the client sent.
          confirmed_at: Unix seconds up to which the configuration is known to be the newest, None if
            never.
          now: Unix seconds.
        """
        table = self._table
        if table is None:
            return Denied(Reason.NOT_READY, "no configuration yet")
        route = table.route(host, path)
        if route is None:
            return Denied(Reason.NOT_FOUND, "no route")
        rank = route.rank
        workspace = owner = None
        if table.needs_keys and not route.anonymous:
            owner = table.workspace(meta.key) if meta.key else None
            if owner is None:
                return Denied(Reason.UNKNOWN_KEY, "unknown key", route)
            if not self.accepts_keys(confirmed_at, now):
                return Denied(Reason.STALE_CONFIGURATION, "the key may have been revoked", route)
            workspace = owner.name
            rank = rank if owner.rank is None else owner.rank
        regions = _regions(route, owner)
        if regions is not None and not regions:
            detail = "no region is allowed by both the route and the workspace"
            return Denied(Reason.NO_REGION, detail, route)
        service = split_service(route, meta.request_id)
        takes_precedence = workspace is not None and owner is not None and owner.rank is not None
        route_rank = route.rank - table.most_urgent_rank(service) if takes_precedence else 0
        return Allowed(
            route,
            service,
            workspace,
            rank,
            table.configuration.version,
            regions,
            route_rank,
        )

    def regions(self, allowed: Allowed) -> frozenset[str] | None:
        """Returns the regions that the configuration in force allows to a request, None for all.

        If its route or its workspace is gone, those at its arrival hold.
        """
        table = self._table
        if table is None or table.configuration.version == allowed.configuration_version:
            return allowed.regions
        route = table.same_route(allowed.route)
        owner = None if allowed.workspace is None else table.workspace_named(allowed.workspace)
        if route is None or (owner is None and allowed.workspace is not None):
            return allowed.regions
        return _regions(route, owner)

    @property
    def home_regions(self) -> frozenset[str]:
        """Regions to which routes or workspaces are bound."""
        return self._home_regions

    def accepts_keys(self, confirmed_at: float | None, now: float) -> bool:
        """Returns whether the configuration is recent enough to accept keys."""
        if self.max_configuration_age_s is None:
            return True
        return confirmed_at is not None and now - confirmed_at < self.max_configuration_age_s


def _regions(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
    """Returns the regions that both allow, None for all."""
    named = [holder.regions for holder in (route, workspace) if holder and holder.regions]
    return frozenset.intersection(*named) if named else None
