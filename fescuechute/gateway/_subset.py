"""Subset of the replicas of a service that a gateway prefers.

Load pattern: hundreds of gateways and thousands of engines. If each gateway used each engine, reports
and connections would grow with the product of both, and many gateways would choose the same free
engine between two reports.
"""

from __future__ import annotations

import attrs

from fescuechute.gateway._upstreams import UpstreamRow, UpstreamTable
from fescuechute.membership import rendezvous

#: Bounds on the number of near replicas of a service. Below the lower one, replicas of other regions
#: are added; a region with more replicas than the upper one is divided among its gateways.
NEAR_MIN = 12
NEAR_MAX = 48


@attrs.frozen
class Subset:
    """The replicas of a service that are ready, divided into near and far ones."""

    near: tuple[UpstreamRow, ...]
    far: tuple[UpstreamRow, ...]
    near_instances: frozenset[str]


class SubsetSelector:
    """Divides the ready replicas of each service; gateways of a region get overlapping subsets.

    Args:
      process_id: Process id of the gateway.
      region: Region of the gateway.
      upstreams: Table of the known replicas.
    """

    def __init__(self, process_id: str, region: str, upstreams: UpstreamTable):
        self._process_id = process_id
        self._region = region
        self._upstreams = upstreams
        #: Subset and generation of the table from which it was computed, by service.
        self._cache: dict[str, tuple[int, Subset]] = {}

    def subset(self, service: str) -> Subset:
        """Returns the subset of a service."""
        generation = self._upstreams.generation
        cached = self._cache.get(service)
        if cached is None or cached[0] != generation:
            cached = (generation, self._select(service))
            self._cache[service] = cached
        return cached[1]

    def is_near(self, row: UpstreamRow) -> bool:
        """Returns whether a replica is near."""
        return row.instance in self.subset(row.entry.service).near_instances

    def near_engine_ips(self) -> set[str]:
        """Returns the addresses of the VMs with near engines of any service."""
        return {
            row.entry.address.ip
            for service in self._upstreams.services()
            for row in self.subset(service).near
            if row.entry.models
        }

    def _select(self, service: str) -> Subset:
        rows = {row.instance: row for row in self._upstreams.ready_replicas(service)}
        own = [id_ for id_, row in rows.items() if row.region == self._region]
        near = set(own)
        if len(own) > NEAR_MAX:
            near = set(rendezvous(self._process_id, own, NEAR_MAX))
        elif len(own) < NEAR_MIN:
            near.update(rendezvous(self._process_id, rows.keys() - near, NEAR_MIN - len(own)))
        return Subset(
            tuple(row for id_, row in rows.items() if id_ in near),
            tuple(row for id_, row in rows.items() if id_ not in near),
            frozenset(near),
        )
