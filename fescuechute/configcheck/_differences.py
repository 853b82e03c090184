"""Differences between two configurations, by route, workspace, service and limit."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

from fescuechute.catalog import Configuration, Route, RouteTable, Service, Workspace
from fescuechute.checks import Address


def differences(current: Configuration, new: Configuration) -> list[str]:
    """Returns a line for each difference, with what callers will notice; empty without one.

    Keys themselves are not shown.
    """
    table = RouteTable(new)
    lines = []
    if table.needs_keys and not current.workspaces:
        lines.append("keys are required from now on")
    if current.workspaces and not table.needs_keys:
        lines.append("keys are no longer checked: requests without one are accepted")
    return [
        *lines,
        *_compare(
            "route",
            _routes(current),
            _routes(new),
            lambda before, after: _route_effect(before, after, table),
            lambda route: _route_removal_effect(route, table),
        ),
        *_compare(
            "workspace",
            _workspaces(current),
            _workspaces(new),
            lambda before, after: _workspace_effect(before, after, table),
            lambda workspace: _key_effect(workspace.keys, workspace, table),
        ),
        *_compare(
            "service", current.services, new.services, _changed_fields, _service_removal_effect
        ),
        *_compare("limits", {"": current.limits}, {"": new.limits}, _changed_fields),
    ]


def _routes(cfg: Configuration) -> dict[str, Route]:
    # Names need not be unique, and a route without one is known by what it matches.
    routes = (attrs.evolve(route, host=route.host.lower()) for route in reversed(cfg.routes))
    return {_label(route): route for route in routes}


def _label(route: Route) -> str:
    return f"{route.host.lower()}{route.prefix}"


def _workspaces(cfg: Configuration) -> dict[str, Workspace]:
    return {workspace.name: workspace for workspace in cfg.workspaces}


def _compare(
    kind: str,
    current: Mapping[str, Any],
    new: Mapping[str, Any],
    describe: Callable[[Any, Any], str],
    describe_removal: Callable[[Any], str] = lambda item: "",
) -> Iterator[str]:
    for name in sorted(current.keys() | new.keys()):
        label = f"{kind} {name}".rstrip()
        if name not in new:
            effect = describe_removal(current[name])
            yield f"{label} is removed: {effect}" if effect else f"{label} is removed"
        elif name not in current:
            yield f"{label} is added"
        elif current[name] != new[name]:
            yield f"{label}: {describe(current[name], new[name])}"


def _route_removal_effect(route: Route, table: RouteTable) -> str:
    successor = table.route(route.host, route.prefix)
    if successor is None:
        return "its requests get 404"
    return f"its requests go to route {_label(successor)}"


def _route_effect(current: Route, new: Route, table: RouteTable) -> str:
    effect = _changed_fields(current, new)
    if current.anonymous and not new.anonymous and table.needs_keys:
        effect += "; requests without a key get 401 from now on"
    if new.regions and not (current.regions and current.regions <= new.regions):
        effect += "; requests run in these regions only"
    return effect


def _workspace_effect(current: Workspace, new: Workspace, table: RouteTable) -> str:
    kept = set(new.keys)
    added = len(kept - set(current.keys))
    parts = [_key_effect(tuple(key for key in current.keys if key not in kept), current, table)]
    if added:
        parts.append(f"{added} keys added")
    parts.append(_changed_fields(current, attrs.evolve(new, keys=current.keys)))
    return "; ".join(filter(None, parts)) or "its keys are listed in another order"


def _key_effect(keys: tuple[str, ...], workspace: Workspace, table: RouteTable) -> str:
    """Returns what becomes of keys that a workspace loses, empty without a key."""
    total = len(workspace.keys)
    lost = sum(table.workspace(key) is None for key in keys)
    moved = len(keys) - lost
    parts = []
    if lost:
        refused = ", requests with them get 401" if table.needs_keys else ""
        parts.append(f"{lost} of {total} keys revoked{refused}")
    if moved:
        parts.append(f"{moved} of {total} keys moved to another workspace")
    return "; ".join(parts)


def _service_removal_effect(service: Service) -> str:
    return "" if service.origin else "its replicas get no more requests"


def _changed_fields(current: Any, new: Any) -> str:
    changes = []
    for field in attrs.fields(type(current)):
        before, after = getattr(current, field.name), getattr(new, field.name)
        if before == after:
            continue
        if _has_fields(before) and _has_fields(after):
            changes.append(f"{field.name} ({_changed_fields(before, after)})")
        else:
            changes.append(f"{field.name} {_shown(before)} -> {_shown(after)}")
    return ", ".join(changes)


def _has_fields(value: Any) -> bool:
    return attrs.has(type(value)) and not isinstance(value, Address)


def _shown(value: Any) -> str:
    if isinstance(value, frozenset):
        return ", ".join(sorted(value)) or "all"
    if isinstance(value, tuple):
        return " + ".join(f"{item.service}:{item.weight:g}" for item in value)
    if _has_fields(value):
        return "given"
    return f"{value:g}" if isinstance(value, float) else str(value)
