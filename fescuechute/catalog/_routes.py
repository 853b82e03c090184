"""Selection of the route, workspace and service of a request."""

from __future__ import annotations

import xxhash

from fescuechute.catalog._types import Configuration, Route, Service, Workspace


class RouteTable:
    """Lookup tables for a configuration.

    Example:
      >>> from fescuechute.catalog import Configuration
      >>> RouteTable(Configuration(1, (), {})).route("a.example", "/") is None
      True
    """

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            # Longest prefix first, so that the first match is the most specific one.
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._most_urgent_ranks: dict[str, int] = {}
        for route in configuration.routes:
            for destination in route.services:
                rank = self._most_urgent_ranks.get(destination.service, route.rank)
                self._most_urgent_ranks[destination.service] = min(rank, route.rank)
        # Of several routes with one host and prefix, the first is in force.
        self._routes = {
            (route.host.lower(), route.prefix): route for route in reversed(configuration.routes)
        }
        self._workspaces = {workspace.name: workspace for workspace in configuration.workspaces}
        self._workspaces_by_key = {
            key: workspace for workspace in configuration.workspaces for key in workspace.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether routes that are not anonymous require a key."""
        return bool(self.configuration.workspaces)

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix of the path, or None."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def same_route(self, route: Route) -> Route | None:
        """Returns the route that has the host and prefix of one of another version, or None."""
        return self._routes.get((route.host.lower(), route.prefix))

    def workspace_named(self, name: str) -> Workspace | None:
        """Returns the workspace with a name, or None."""
        return self._workspaces.get(name)

    def workspace(self, key: str) -> Workspace | None:
        """Returns the workspace that owns a key, or None."""
        return self._workspaces_by_key.get(key)

    def most_urgent_rank(self, service: str) -> int:
        """Returns the rank of the most urgent route of a service, 0 if it has none."""
        return self._most_urgent_ranks.get(service, 0)

    def service(self, name: str) -> Service | None:
        """Returns the service with a name, or None."""
        return self.configuration.services.get(name)


def split_service(route: Route, request_id: str) -> str:
    """Selects a service of a route by weight; a given request id always yields the same one."""
    if len(route.services) == 1:
        return route.services[0].service
    total_weight = sum(destination.weight for destination in route.services)
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64 * total_weight
    for destination in route.services:
        point -= destination.weight
        if point < 0:
            return destination.service
    return route.services[-1].service
