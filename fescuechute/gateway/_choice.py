"""Choice of a replica for one attempt, and whether to take a request at all."""

from __future__ import annotations

from random import Random

import attrs

from fescuechute.catalog import EngineProfile, Service
from fescuechute.gateway._forecast import first_event_s
from fescuechute.gateway._upstreams import UpstreamRow, UpstreamTable
from fescuechute.gateway._versions import VersionTable

#: Seconds that a hop to another data centre, and to another region, is taken to cost.
OTHER_DATA_CENTRE_S = 0.002
OTHER_REGION_S = 0.004
#: Requests at an engine beyond its slots up to which it gets more, by rank; ranks beyond have the last
#: figure. Each request slows the first events of all others, so the less urgent leave slots free.
BEYOND_SLOTS_BY_RANK = (3, 0, -2)
#: Cost in seconds of a replica that fails every request; those that fail some cost their share.
FAILURE_COST_S = 2.0


@attrs.frozen
class Wanted:
    """What an attempt needs."""

    service: Service
    model: str
    prompt_tokens: int
    rank: int
    #: Replicas that must not be asked, such as those of earlier attempts.
    excluded: frozenset[str]


@attrs.frozen
class Choice:
    """The replica for an attempt and the inputs that decided."""

    row: UpstreamRow
    #: Expected seconds to the first event, or a relative load for plain services.
    expected_s: float
    #: Version that the replica must have, or None for any.
    version: int | None
    #: Replicas that could have taken it.
    candidates: int


@attrs.frozen
class Shortage:
    """Replicas of a service that each condition leaves over, in the order of the conditions."""

    known: int
    #: Reachable, and not asked before for the same request.
    up: int
    #: Hold a version that may be used, and do not load.
    able: int
    #: Have room for the rank.
    free: int
    #: Oldest version that may be used, 0 for any.
    version: int


class Chooser:
    """Chooses among the known replicas."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        versions: VersionTable,
        data_centre: str,
        region: str,
        rng: Random,
    ):
        self._upstreams = upstreams
        self._versions = versions
        self._data_centre = data_centre
        self._region = region
        self._rng = rng

    def choose(self, wanted: Wanted, now: float) -> Choice | None:
        """Returns the replica with the least expected time, or None when none can take it now."""
        shortage, rows, required = self._candidates(wanted, now)
        if not shortage.free:
            return None
        costs = {row.instance: self._cost(row, wanted, now) for row in rows}
        best = min(rows, key=lambda row: (costs[row.instance], self._rng.random()))
        version = best.versions.get(wanted.model) if required else None
        return Choice(best, costs[best.instance], version, len(rows))

    def shortage(self, wanted: Wanted, now: float) -> Shortage:
        """Returns how many replicas each condition leaves over, for the line about a refusal."""
        return self._candidates(wanted, now)[0]

    def _candidates(self, wanted: Wanted, now: float) -> tuple[Shortage, list[UpstreamRow], int]:
        """Returns the counts, the replicas that can take an attempt, and the version that binds."""
        required = self._versions.required(wanted.model, now) if wanted.model else 0
        known = self._upstreams.of(wanted.service.name)
        up = [row for row in known if self._up(row, wanted, now)]
        able = up
        if wanted.service.engine is not None:
            able = [row for row in up if not row.loading and self._may_begin(row, wanted, now)]
        free = [row for row in able if row.total < self._most(wanted)]
        return Shortage(len(known), len(up), len(able), len(free), required), free, required

    def take_back_at(self, row: UpstreamRow, model: str) -> float:
        """Returns the unix seconds at which what has not begun at a replica is taken back from it."""
        return (
            self._versions.take_back_at(model, row.versions.get(model, 0))
            if model
            else float("inf")
        )

    def _may_begin(self, row: UpstreamRow, wanted: Wanted, now: float) -> bool:
        """Returns whether the version of an engine will still do when a request begins there."""
        begins_at = now + self._cost(row, wanted, now)
        required = self._versions.required(wanted.model, begins_at)
        return row.versions.get(wanted.model, -1) >= max(required, 1)

    @staticmethod
    def _up(row: UpstreamRow, wanted: Wanted, now: float) -> bool:
        return now >= row.not_before and row.instance not in wanted.excluded

    @staticmethod
    def _most(wanted: Wanted) -> int:
        """Returns the requests from which on a replica takes no more of this rank."""
        engine = wanted.service.engine
        if engine is None:
            return wanted.service.max_connections
        return engine.slots + BEYOND_SLOTS_BY_RANK[min(wanted.rank, len(BEYOND_SLOTS_BY_RANK) - 1)]

    def _cost(self, row: UpstreamRow, wanted: Wanted, now: float) -> float:
        engine: EngineProfile | None = wanted.service.engine
        if engine is not None:
            cost = first_event_s(engine, row, wanted.prompt_tokens)
        else:
            cost = row.total / max(1, row.entry.slots) * 0.05
        # What requests experience there now counts before what loads and speeds let expect: behind a
        # slow link both are out of date.
        cost = max(cost, row.unanswered_s(now))
        if row.region != self._region:
            cost += OTHER_REGION_S
        elif row.entry.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_S
        return cost + row.failed_share * FAILURE_COST_S
