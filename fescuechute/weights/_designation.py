"""Choice of the agent that fetches a chunk into a region."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from fescuechute.weights._exchange_rows import ExchangeLimits, SourceRow, WantedRow
from fescuechute.weights._rendezvous import agent_seed, score


class Designation:
    """Designates one agent of a region for each chunk by rendezvous hashing.

    Only the designated agent fetches the chunk from the origin or another region. If it fails to
    deliver before a deadline, the duty is handed over to the next agent in rendezvous order.
    """

    def __init__(self, self_id: str, region: str, home: str, limits: ExchangeLimits):
        self._self_id = self_id
        self._region = region
        self._home = home
        self._limits = limits
        self._agent_ids: tuple[str, ...] = (self_id,)
        self._seeds: tuple[tuple[int, str], ...] = ((agent_seed(self_id), self_id),)
        self._agents: dict[str, tuple[str, ...]] = {region: (self_id,)}

    def set_agents(self, agents: Mapping[str, Iterable[str]]) -> bool:
        """Replaces the agents of all regions; returns False if nothing changed."""
        by_region = {
            region: tuple(sorted(agent_ids)) for region, agent_ids in agents.items() if agent_ids
        }
        own_agents = tuple(sorted({*by_region.get(self._region, ()), self._self_id}))
        by_region[self._region] = own_agents
        if by_region == self._agents:
            return False
        self._agents = by_region
        self._agent_ids = own_agents
        self._seeds = tuple((agent_seed(agent_id), agent_id) for agent_id in own_agents)
        return True

    @property
    def agent_ids(self) -> Sequence[str]:
        """Agents of this region that want the same model."""
        return self._agent_ids

    @property
    def fetches_from_origin(self) -> bool:
        """Whether this region is the one that fetches from the origin.

        That is the home region of the store. If no agent there wants the model, it is the first
        other region by name, so that the origin still serves only one region.
        """
        if self._home in self._agents:
            return self._region == self._home
        return self._region == min(self._agents)

    def is_designated(self, row: WantedRow) -> bool:
        """Returns whether this agent is the designated agent of its region for a chunk."""
        if row.designee is None:
            digest = row.digest
            row.designee = max([(score(digest, seed), agent_id) for seed, agent_id in self._seeds])[
                1
            ]
        return row.designee == self._self_id

    def ranking(self, row: WantedRow) -> list[str]:
        """Returns the agents of this region in rendezvous order for a chunk."""
        if row.ranking is None:
            scored = [(score(row.digest, seed), agent_id) for seed, agent_id in self._seeds]
            row.ranking = [agent_id for _, agent_id in sorted(scored, reverse=True)]
        return row.ranking

    def implies_designee_active(self, row: WantedRow, holder_id: str) -> bool:
        """Returns whether the first local holder of a chunk implies that the designee is active.

        A holder ranked third or lower cannot have fetched the chunk into the region itself, because
        the agent ranked second comes first in a handover. It must have copied the chunk from the
        designated agent.
        """
        return self.ranking(row).index(holder_id) > 1 if holder_id in self.ranking(row) else False

    def region_order(self, digest: bytes) -> list[str]:
        """Returns the regions in the preferred order of distribution of a chunk.

        The region that fetches from the origin comes first, the others follow by rendezvous hash.
        Fetching each chunk from the preceding region spreads the load over all pairs of regions.
        """
        home = self._home if self._home in self._agents else min(self._agents)
        rest = [region for region in self._agents if region != home]
        rest.sort(key=lambda region: (score(digest, agent_seed(region)), region))
        return [home, *rest]

    def preferred_region(self, digest: bytes) -> str:
        """Returns the region from which this region prefers to fetch a chunk."""
        regions = self.region_order(digest)
        return regions[max(0, regions.index(self._region) - 1)]

    def handover_due(
        self,
        row: WantedRow,
        fetchable_since: float,
        now: float,
        timeout_s: float,
        find_peer: Callable[[str], SourceRow | None],
    ) -> bool:
        """Returns whether the duty to fetch a chunk has passed to this agent.

        This is the case once the deadlines of all agents ranked before it have passed. The turn of
        each agent starts at the deadline of the preceding one, so that agents fetch one after
        another even if none of them has delivered anything for a long time.

        Args:
          row: The missing chunk.
          fetchable_since: Unix seconds from which the first agent could fetch the chunk.
          now: Unix seconds.
          timeout_s: Time allowed to each agent.
          find_peer: Returns the row of a peer, or None if it is unknown.
        """
        turn_started_at = fetchable_since
        for agent_id in self.ranking(row):
            if agent_id == self._self_id:
                break
            if agent_id not in row.false_announcers:
                turn_started_at = self.designee_deadline(
                    find_peer(agent_id), turn_started_at, timeout_s
                )
        return now >= turn_started_at

    def designee_deadline(
        self, peer: SourceRow | None, turn_started_at: float, timeout_s: float
    ) -> float:
        """Returns the unix seconds at which an agent counts as late.

        The timeout restarts with each chunk that the agent brings into the region, because it
        fetches its share during the whole distribution. A lost link alone does not make it late,
        since it may be active and linked to all other agents. A suspended agent gets no time.
        """
        if peer is None:
            return turn_started_at + timeout_s
        if peer.suspended:
            return turn_started_at
        if peer.inferred_active and not peer.linked:
            timeout_s *= self._limits.unlinked_timeout_factor
        return max(turn_started_at, peer.last_entry_at) + timeout_s
