"""Checks of a configuration against the settings of a gateway of the deployment."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from fescuechute.catalog import Configuration, Route, Workspace
from fescuechute.configcheck._finding import Finding, error, listed, warning
from fescuechute.settings import NodeSettings

_BITS_PER_BYTE = 8
#: Share of the memory of a gateway that one request body may take, with the copies of it that exist while it is
#: forwarded.
_BODY_MEMORY_SHARE = 0.25
_BODY_COPIES = 3


def _check_regions(cfg: Configuration, node: NodeSettings) -> Iterator[Finding]:
    """Finds allowed regions that the deployment does not have."""
    known = frozenset(node.region_by_data_centre.values())
    items: tuple[Route | Workspace, ...] = (*cfg.routes, *cfg.workspaces)
    for item in items:
        unknown = item.regions - known
        if not unknown:
            continue
        make = warning if item.regions & known else error
        found = f"The deployment has no region {listed(unknown)}."
        yield make(item, found, f"Use some of {listed(known)}.")


def _check_memory(cfg: Configuration, node: NodeSettings) -> Iterator[Finding]:
    allowed = int(node.max_memory_bytes * _BODY_MEMORY_SHARE / _BODY_COPIES)
    if node.max_memory_bytes and cfg.limits.body_bytes > allowed:
        found = (
            f"A body of {cfg.limits.body_bytes} bytes does not fit a gateway with {node.max_memory_bytes} "
            "bytes of memory."
        )
        yield warning("limits.body_bytes", found, f"Allow at most {allowed} bytes.")


def _check_retries(cfg: Configuration, node: NodeSettings) -> Iterator[Finding]:
    """Finds routes with several replicas for a request in a deployment that leaves none to retries.

    Requests that are never sent twice are sent on after a refusal, which is a retry too.
    """
    levels = node.service_levels
    if levels.retry_ratio > 0.0 or levels.retry_burst > 0.0:
        return
    for route in cfg.routes:
        if route.max_upstreams > 1:
            found = f"It allows {route.max_upstreams} replicas, but the deployment allows hardly any retries."
            yield warning(route, found, "Write 1, or allow retries in the settings.")


def _check_versions(cfg: Configuration, node: NodeSettings) -> Iterator[Finding]:
    """Finds weights that the origin cannot deliver once within the time for a new version."""
    bound_s = node.service_levels.version_switch_s
    origins = [service for service in cfg.services.values() if service.origin is not None]
    for service in cfg.services.values():
        engine = service.engine
        if engine is None or not engine.chunks:
            continue
        bits = engine.chunks * engine.chunk_bytes * _BITS_PER_BYTE
        for origin in origins:
            if origin.link_bits_s > 0.0 and bits / origin.link_bits_s > bound_s:
                found = (
                    f"One copy of its weights takes {bits / origin.link_bits_s:.1f} s at the link of {origin.name}, "
                    f"but a new version must be in use after {bound_s:g} s."
                )
                yield warning(service, found, "Use a faster origin, or allow more time.")


NODE_CHECKS: tuple[Callable[[Configuration, NodeSettings], Iterator[Finding]], ...] = (
    _check_regions,
    _check_memory,
    _check_retries,
    _check_versions,
)
