"""Checks of one configuration: entries without effect, and limits that contradict each other."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from fescuechute.catalog import Configuration, RetryPolicy, Route, RouteTable
from fescuechute.configcheck._finding import Finding, Severity, error, listed, warning
from fescuechute.configcheck._node_checks import NODE_CHECKS
from fescuechute.settings import NodeSettings


def check_configuration(
    cfg: Configuration, node: NodeSettings | None = None, in_force: Configuration | None = None
) -> list[Finding]:
    """Returns the findings of a configuration, errors first.

    Args:
      cfg: Configuration to check.
      node: Settings of a gateway of the deployment; without them, checks against its regions, memory
        and service levels are left out.
      in_force: Configuration in force, or None if it is not known.
    """
    findings = [finding for check in _CHECKS for finding in check(cfg)]
    if in_force is not None:
        findings += _check_version(cfg, in_force)
    if node is not None:
        findings += [finding for check in NODE_CHECKS for finding in check(cfg, node)]
    return sorted(findings, key=lambda finding: finding.severity is not Severity.ERROR)


def _check_version(cfg: Configuration, in_force: Configuration) -> Iterator[Finding]:
    if cfg.version <= in_force.version:
        found = f"Version {cfg.version} is not above {in_force.version}, the one in force, so gateways ignore it."
        yield error("version", found, f"Use version {in_force.version + 1} or higher.")


def _check_matches(cfg: Configuration) -> Iterator[Finding]:
    """Finds routes that no request can select."""
    table = RouteTable(cfg)
    for route in cfg.routes:
        if not route.host or ":" in route.host:
            found = f"Hosts are compared without a port, so no request has the host `{route.host}`."
            yield error(route, found, "Write the name of the host alone.")
        if "?" in route.prefix:
            found = f"Paths are compared without a query, so none begins with {route.prefix}."
            yield error(route, found, "Write the path alone.")
        elif not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            found = f"The prefix {route.prefix} does not begin and end with a slash."
            yield error(route, found, "Write it as `/path/`.")
        elif (other := table.route(route.host, route.prefix)) is not route and other is not None:
            found = f"Route {other.name or other.prefix} has the same host and prefix, so this route never matches."
            yield warning(route, found, "Remove one of them, or change its prefix.")


def _check_weights(cfg: Configuration) -> Iterator[Finding]:
    """Finds weights with which requests are not split as written."""
    for route in cfg.routes:
        total = sum(max(0.0, destination.weight) for destination in route.services)
        for destination in route.services:
            found = (
                f"Service {destination.service} has the weight {destination.weight:g} and gets no "
                "requests."
            )
            if destination.weight < 0.0:
                found = f"Service {destination.service} has the weight {destination.weight:g}."
                yield error(route, found, "Give it a positive weight, or remove it.")
            elif destination.weight <= 0.0 < total:
                yield warning(route, found, "Remove it, or give it a positive weight.")
        if total <= 0.0:
            found = "No service has a positive weight, so the last one gets all requests."
            yield warning(route, found, "Give a positive weight to each service to be used.")


def _check_destinations(cfg: Configuration) -> Iterator[Finding]:
    """Finds routes to services that cannot serve, and services without a route."""
    used: set[str] = set()
    for route in cfg.routes:
        used.update(destination.service for destination in route.services)
        receivers = _receivers(route)
        services = {name: cfg.services.get(name) for name in receivers}
        missing = [name for name, service in services.items() if service is None]
        origins = [name for name, service in services.items() if service and service.origin]
        for name in missing:
            found = f"Service {name} does not exist, so requests are refused."
            yield error(route, found, "Add the service, or name another one.")
        for name in origins:
            make = error if len(origins) == len(services) else warning
            found = f"Service {name} is an origin of weights, without replicas for its requests."
            yield make(route, found, "Name a service with replicas.")
    for name, service in cfg.services.items():
        if name not in used and service.origin is None:
            yield warning(service, "No route names it, so it gets no requests.", "Add a route.")


def _receivers(route: Route) -> list[str]:
    """Returns the services that get requests of a route, without repetition."""
    positive = [destination for destination in route.services if destination.weight > 0.0]
    # Without a positive weight, all requests go to the last one.
    used = positive or route.services[-1:]
    return list(dict.fromkeys(destination.service for destination in used))


def _check_keys(cfg: Configuration) -> Iterator[Finding]:
    """Finds workspaces that cannot be told apart or have no usable key. Keys are not shown."""
    owners: dict[str, str] = {}
    names: set[str] = set()
    for workspace in cfg.workspaces:
        if workspace.name in names:
            found = "Another workspace has this name, and gateways tell workspaces apart by name."
            yield warning(workspace, found, "Join the two, or rename one of them.")
        names.add(workspace.name)
        if not workspace.keys:
            found = "It has no key, so none of its requests are accepted."
            yield warning(workspace, found, "Add a key, or remove the workspace.")
        if any(not key or key != key.strip() for key in workspace.keys):
            found = "A key is empty or has spaces around it, so requests with it are refused."
            yield error(workspace, found, "Write a key without spaces, or remove it.")
        for key in workspace.keys:
            if key in owners and owners[key] != workspace.name:
                found = f"It has a key of workspace {owners[key]}, which loses it."
                yield error(workspace, found, "Use a key of one workspace only.")
            owners[key] = workspace.name
    if cfg.workspaces and cfg.routes and all(route.anonymous for route in cfg.routes):
        found = "All routes are anonymous, so no key is ever checked."
        yield warning("workspaces", found, "Make routes require keys, or remove the workspaces.")
    elif cfg.workspaces and cfg.routes and not owners:
        found = "No workspace has a key, so requests on routes that need one are refused."
        yield error("workspaces", found, "Add a key, or make the routes anonymous.")


def _check_regions(cfg: Configuration) -> Iterator[Finding]:
    """Finds workspaces that have no allowed region in common with a route."""
    keyed = [workspace for workspace in cfg.workspaces if workspace.keys]
    for route in cfg.routes:
        if route.anonymous or not route.regions:
            continue
        barred = [w.name for w in keyed if w.regions and not w.regions & route.regions]
        if not barred:
            continue
        make = error if len(barred) == len(keyed) else warning
        found = (
            f"It allows {listed(route.regions)}, and workspaces {', '.join(barred)} allow none of "
            "them: their requests are refused as `no_region`."
        )
        yield make(route, found, "Allow a region in common, if they use this route.")


def _check_times(cfg: Configuration) -> Iterator[Finding]:
    """Finds times and attempts of routes that contradict each other."""
    for route in cfg.routes:
        if route.timeout_s <= 0.0:
            found = f"The timeout is {route.timeout_s:g} s, so every request times out."
            yield error(route, found, "Write a positive time.")
        elif route.target_latency_s > route.timeout_s:
            found = (
                f"The target latency of {route.target_latency_s:g} s is above the timeout of "
                f"{route.timeout_s:g} s."
            )
            yield warning(route, found, "Raise the timeout, or lower the target.")
        if route.max_event_gap_s > route.timeout_s > 0.0:
            found = (
                f"A pause of {route.max_event_gap_s:g} s between events is allowed, but the timeout is "
                f"{route.timeout_s:g} s."
            )
            yield warning(route, found, "Raise the timeout, or lower the pause.")
        if route.resumable and route.retry_policy is not RetryPolicy.STREAM:
            found = "It may be resumed, but its responses are no streams."
            yield warning(route, found, "Remove the permission, or make it a stream.")


def _check_limits(cfg: Configuration) -> Iterator[Finding]:
    """Finds limits under which nothing is served."""
    limits = cfg.limits
    for name, value in (
        ("header_bytes", limits.header_bytes),
        ("header_s", limits.header_s),
        ("idle_s", limits.idle_s),
    ):
        if value <= 0:
            found = f"The limit {name} is {value:g}, so no request is accepted."
            yield error(f"limits.{name}", found, "Write a positive value.")
    if limits.body_bytes < 0:
        found = f"The limit body_bytes is {limits.body_bytes}, so no request is accepted."
        yield error("limits.body_bytes", found, "Write 0 or more.")
    for service in cfg.services.values():
        if service.max_connections < 1 and service.origin is None:
            found = f"Its replicas accept {service.max_connections} connections."
            yield error(service, found, "Write 1 or more.")
        if service.cold_s > 0.0 and 0.0 < service.cold_requests_per_s < 1.0:
            found = (
                f"A cold replica tolerates {service.cold_requests_per_s:g} requests a second, so it may get "
                "none while it is cold."
            )
            yield warning(service, found, "Write 1 or more, or 0 for no limit.")
        if service.cold_requests_per_s > 0.0 and service.cold_s <= 0.0:
            found = "It has a rate for cold replicas, but no time is given."
            yield warning(service, found, "Write how long they are cold, or remove the rate.")


_CHECKS: tuple[Callable[[Configuration], Iterator[Finding]], ...] = (
    _check_matches,
    _check_weights,
    _check_destinations,
    _check_keys,
    _check_regions,
    _check_times,
    _check_limits,
)
