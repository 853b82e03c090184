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

    def shows_at_work(self, row: WantedRow, holder_id: str) -> bool:
        """Returns whether a first holder other than the designated agent shows that one at work.

        The holder copied the chunk from the designated agent unless its own turn had come, which it
        cannot have when another agent, or this one, ranks before it as the next.
        """
        return self.order(row).index(holder_id) > 1 if holder_id in self.order(row) else False

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
        patience_s: float,
        peer: Callable[[str], SourceRow | None],
    ) -> bool:
        """Returns whether all agents ranked before this one have failed to deliver the chunk.

        The turn of an agent begins when the deadline of the one before it has passed, so that the
        ranks follow each other even when none of them has brought in anything for long.
        """
        turn_at = available_at
        for agent_id in self.order(row):
            if agent_id == self._self_id:
                break
            if agent_id not in row.denied:
                turn_at = self.deadline(peer(agent_id), turn_at, patience_s)
        return now >= turn_at

    def deadline(self, peer: SourceRow | None, turn_at: float, patience_s: float) -> float:
        """Returns when an agent whose turn began at `turn_at` counts as late.

        The deadline runs from the last chunk that it brought into the region: an agent works
        through its share for the whole distribution. A lost link alone says little, since the agent
        may be at work and linked to all others. A blocked agent has no turn.
        """
        if peer is None:
            return turn_at + patience_s
        if peer.suspended:
            return turn_at
        if peer.at_work and not peer.linked:
            patience_s *= self._limits.unlinked_factor
        return max(turn_at, peer.entry_at) + patience_s
