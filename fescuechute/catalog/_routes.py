"""Selection of a route, a workspace and a service for a request."""

from __future__ import annotations

import xxhash

from fescuechute.catalog._types import Configuration, Route, Service, Workspace


class RouteTable:
    """Indexes of one configuration.

    Example:
      >>> from fescuechute.catalog import Configuration
      >>> RouteTable(Configuration(1, (), {})).route("a.example", "/") is None
      True
    """

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            # The longest prefix wins, so the first match is the right one.
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_key = {
            key: workspace for workspace in configuration.workspaces for key in workspace.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not anonymous need a key."""
        return bool(self.configuration.workspaces)

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path, or None."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace(self, key: str) -> Workspace | None:
        """Returns the workspace that holds a key, or None."""
        return self._by_key.get(key)

    def service(self, name: str) -> Service | None:
        """Returns a service by name, or None."""
        return self.configuration.services.get(name)


def split_service(route: Route, request_id: str) -> str:
    """Returns the service for a request; the same id always gives the same one."""
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(item.weight for item in route.services)
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64 * total
    for item in route.services:
        point -= item.weight
        if point < 0:
            return item.service
    return route.services[-1].service
