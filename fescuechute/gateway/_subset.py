"""Subset of the replicas of a service that a gateway prefers.

Load pattern: hundreds of gateways and thousands of engines. If each gateway used each engine, reports
and connections would grow with the product of both, and many gateways would choose the same free
engine between two reports.
"""

from __future__ import annotations

import attrs

from fescuechute.gateway._evacuations import EvacuationTable
from fescuechute.gateway._upstreams import UpstreamRow, UpstreamTable
from fescuechute.membership import rendezvous

#: Bounds on the number of near replicas of a service. Below the lower one, replicas of other regions
#: are added; a region with more replicas than the upper one is divided among its gateways.
NEAR_MIN = 12
NEAR_MAX = 48


@attrs.frozen
class Subset:
    """The eligible replicas of a service that are ready, divided into near and far ones."""

    near: tuple[UpstreamRow, ...]
    far: tuple[UpstreamRow, ...]
    near_instances: frozenset[str]


class SubsetSelector:
    """Divides the ready replicas of each service; gateways of a region get overlapping subsets.

    Replicas of evacuated data centres belong to no subset.

    Args:
      process_id: Process id of the gateway.
      region: Region of the gateway.
      upstreams: Table of the known replicas.
      evacuations: The evacuated data centres, by default none.
    """

    def __init__(
        self,
        process_id: str,
        region: str,
        upstreams: UpstreamTable,
        evacuations: EvacuationTable | None = None,
    ):
        self._process_id = process_id
        self._region = region
        self._upstreams = upstreams
        self._evacuations = EvacuationTable() if evacuations is None else evacuations
        #: Subsets by service and allowed regions, and the generations of the tables from which they
        #: were computed.
        self._cache: dict[tuple[str, frozenset[str] | None], Subset] = {}
        self._cached_generations = (-1, -1)

    def subset(self, service: str, regions: frozenset[str] | None = None) -> Subset:
        """Returns the subset of a service, of the allowed regions only; None allows all regions."""
        generations = (self._upstreams.generation, self._evacuations.generation)
        if generations != self._cached_generations:
            self._cache.clear()
            self._cached_generations = generations
        subset = self._cache.get((service, regions))
        if subset is None:
            subset = self._cache[service, regions] = self._select(service, regions)
        return subset

    def is_allowed(self, row: UpstreamRow, regions: frozenset[str] | None) -> bool:
        """Returns whether a replica may get requests that the regions allow; None allows all."""
        is_evacuated = self._evacuations.is_evacuated(row.entry.data_centre)
        return not is_evacuated and (regions is None or row.region in regions)

    def known(self, service: str, regions: frozenset[str] | None = None) -> int:
        """Returns the number of ready replicas in the regions, also in evacuated data centres."""
        rows = self._upstreams.ready_replicas(service)
        return len(rows) if regions is None else sum(row.region in regions for row in rows)

    def has_region(self, service: str, regions: frozenset[str] | None) -> bool:
        """Returns whether any ready replica is in the regions, or all regions are allowed."""
        if regions is None:
            return True
        return any(row.region in regions for row in self._upstreams.ready_replicas(service))

    def forget_regions(self) -> None:
        """Drops the subsets of sets of regions; those still in use are computed anew."""
        self._cache = {key: subset for key, subset in self._cache.items() if key[1] is None}

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

    def _select(self, service: str, regions: frozenset[str] | None) -> Subset:
        ready = self._upstreams.ready_replicas(service)
        # Replicas of other regions take the places of those that are not allowed. As far ones they
        # would get only a share of the requests.
        in_region = sum(row.region == self._region for row in ready)
        near_count = min(NEAR_MAX, max(NEAR_MIN, in_region))
        rows = {row.instance: row for row in ready if self.is_allowed(row, regions)}
        own = [id_ for id_, row in rows.items() if row.region == self._region]
        near = set(own)
        if len(own) > near_count:
            near = set(rendezvous(self._process_id, own, near_count))
        elif len(own) < near_count:
            near.update(rendezvous(self._process_id, rows.keys() - near, near_count - len(own)))
        return Subset(
            tuple(row for id_, row in rows.items() if id_ in near),
            tuple(row for id_, row in rows.items() if id_ not in near),
            frozenset(near),
        )
