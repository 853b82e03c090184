"""Which agent of a region may fetch a chunk into it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from fescuechute.weights._peers import ExchangeLimits, SourceRow, WantedRow
from fescuechute.weights._rendezvous import score, seed_of


class Designation:
    """Rendezvous order of the agents of one region, with takeover by deadline."""

    def __init__(self, self_id: str, region: str, home: str, limits: ExchangeLimits):
        self._self_id = self_id
        self._region = region
        self._home = home
        self._limits = limits
        self._ids: tuple[str, ...] = (self_id,)
        self._seeds: tuple[tuple[int, str], ...] = ((seed_of(self_id), self_id),)
        self._agents: dict[str, tuple[str, ...]] = {region: (self_id,)}

    def set_agents(self, agents: Mapping[str, Iterable[str]]) -> bool:
        """Replaces the agents by region; False when nothing changed."""
        known = {region: tuple(sorted(ids)) for region, ids in agents.items() if ids}
        mine = tuple(sorted({*known.get(self._region, ()), self._self_id}))
        known[self._region] = mine
        if known == self._agents:
            return False
        self._agents = known
        self._ids = mine
        self._seeds = tuple((seed_of(agent_id), agent_id) for agent_id in mine)
        return True

    @property
    def ids(self) -> Sequence[str]:
        """Agents of the own region that want the same model."""
        return self._ids

    @property
    def enters_from_origin(self) -> bool:
        """Whether the own region is the one that fetches from the origin.

        It is the home region of the store. When no agent there wants the model, it is the first of
        the other regions by name, so that still a single region draws on the origin.
        """
        if self._home in self._agents:
            return self._region == self._home
        return self._region == min(self._agents)

    def is_mine(self, row: WantedRow) -> bool:
        """Returns whether this agent is the designated one of its region for a chunk."""
        if row.designee is None:
            digest = row.digest
            row.designee = max([(score(digest, seed), agent_id) for seed, agent_id in self._seeds])[
                1
            ]
        return row.designee == self._self_id

    def order(self, row: WantedRow) -> list[str]:
        """Returns the agents of the own region in rendezvous order for a chunk."""
        if row.order is None:
            scored = [(score(row.digest, seed), agent_id) for seed, agent_id in self._seeds]
            row.order = [agent_id for _, agent_id in sorted(scored, reverse=True)]
        return row.order

    def region_order(self, digest: bytes) -> list[str]:
        """Returns the regions in the order in which the chunk preferably spreads.

        The region that fetches from the origin comes first, the rest by rendezvous hash. Taking a
        chunk from the region before spreads the load over all pairs of regions.
        """
        home = self._home if self._home in self._agents else min(self._agents)
        rest = [region for region in self._agents if region != home]
        rest.sort(key=lambda region: (score(digest, seed_of(region)), region))
        return [home, *rest]

    def preferred_region(self, digest: bytes) -> str:
        """Returns the region from which the own one preferably takes the chunk."""
        regions = self.region_order(digest)
        return regions[max(0, regions.index(self._region) - 1)]

    def takeover(
        self,
        row: WantedRow,
        available_at: float,
        now: float,
        peer: Callable[[str], SourceRow | None],
    ) -> bool:
        """Returns whether all agents ranked before this one have failed to deliver the chunk."""
        for rank, agent_id in enumerate(self.order(row)):
            if agent_id == self._self_id:
                return True
            if agent_id in row.denied:
                continue
            if not self.is_late(peer(agent_id), rank, available_at, now):
                return False
        return True

    def is_late(self, peer: SourceRow | None, rank: int, available_at: float, now: float) -> bool:
        """Returns whether an agent is gone, or has brought nothing into the region for too long.

        The deadline runs from the last chunk that it brought in rather than from the time at which
        the chunk became available: an agent works through its share for the whole distribution.
        """
        progress_at = available_at
        if peer is not None:
            if peer.down_at is not None and now >= peer.down_at + self._limits.absent_s:
                return True
            progress_at = max(available_at, peer.entry_at)
        return now >= progress_at + self._limits.entry_s * (rank + 1)
