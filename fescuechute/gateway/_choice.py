"""Choice of a replica for an attempt, with admission by rank."""

from __future__ import annotations

from random import Random

import attrs

from fescuechute.catalog import EngineProfile, Service
from fescuechute.gateway._latency_model import time_to_first_event_s
from fescuechute.gateway._upstreams import UpstreamRow, UpstreamTable
from fescuechute.gateway._versions import VersionTable

#: Cost in seconds of a replica in another data centre of the region, and in another region.
OTHER_DATA_CENTRE_S = 0.002
OTHER_REGION_S = 0.004
#: Requests that an engine may hold beyond its slots, by rank; ranks beyond the table use the last
#: value. Each request delays the first events of all others, so less urgent ones leave slots free.
SLOT_OVERCOMMIT_BY_RANK = (3, 0, -2)
#: Cost in seconds of a replica that fails every request; scaled by the share of failed requests.
FAILURE_COST_S = 2.0
#: Cost in seconds of a replica without an engine profile when all of its slots are busy.
FULL_LOAD_COST_S = 0.05


@attrs.frozen
class Requirements:
    """Requirements of an attempt on its replica."""

    service: Service
    model: str
    prompt_tokens: int
    rank: int
    #: Instances that must not be chosen, such as those of earlier attempts.
    excluded: frozenset[str]


@attrs.frozen
class Choice:
    """The replica chosen for an attempt and the inputs of the decision."""

    row: UpstreamRow
    #: Estimated seconds to the first event (without an engine profile: relative load, scaled to
    #: seconds) plus the costs of distance and failures.
    cost_s: float
    #: Version that the replica must have loaded, or None for any.
    version: int | None
    #: Number of eligible replicas.
    candidates: int


@attrs.frozen
class Shortage:
    """Number of replicas of a service that remain after each condition, in the order applied."""

    known: int
    #: Not in backoff and not excluded for this request.
    up: int
    #: Not loading weights, and with an allowed version loaded.
    able: int
    #: With capacity for the rank of the request.
    free: int
    #: Oldest allowed version, 0 for any.
    version: int


class Chooser:
    """Chooses among the registered replicas."""

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

    def choose(self, requirements: Requirements, now: float) -> Choice | None:
        """Returns the eligible replica with the lowest cost, or None if there is none."""
        shortage, rows, required = self._candidates(requirements, now)
        if not shortage.free:
            return None
        costs = {row.instance: self._cost(row, requirements, now) for row in rows}
        best = min(rows, key=lambda row: (costs[row.instance], self._rng.random()))
        version = best.versions.get(requirements.model) if required else None
        return Choice(best, costs[best.instance], version, len(rows))

    def shortage(self, requirements: Requirements, now: float) -> Shortage:
        """Returns the number of replicas left by each condition, for the log line of a refusal."""
        return self._candidates(requirements, now)[0]

    def _candidates(
        self, requirements: Requirements, now: float
    ) -> tuple[Shortage, list[UpstreamRow], int]:
        """Returns the counts, the eligible replicas, and the oldest allowed version."""
        required = (
            self._versions.required_version(requirements.model, now) if requirements.model else 0
        )
        known = self._upstreams.ready_replicas(requirements.service.name)
        up = [row for row in known if self._is_available(row, requirements, now)]
        able = up
        if requirements.service.engine is not None:
            able = [
                row
                for row in up
                if not row.loading and self._version_allowed_at_start(row, requirements, now)
            ]
        free = [row for row in able if row.estimated_in_flight < self._max_requests(requirements)]
        return Shortage(len(known), len(up), len(able), len(free), required), free, required

    def cancel_unstarted_at(self, row: UpstreamRow, model: str) -> float:
        """Returns the unix seconds at which attempts not yet started at a replica are cancelled."""
        return (
            self._versions.cancel_unstarted_at(model, row.versions.get(model, 0))
            if model
            else float("inf")
        )

    def _version_allowed_at_start(
        self, row: UpstreamRow, requirements: Requirements, now: float
    ) -> bool:
        """Returns whether an engine's version is still allowed when the request is due to start."""
        starts_at = now + self._cost(row, requirements, now)
        required = self._versions.required_version(requirements.model, starts_at)
        return row.versions.get(requirements.model, -1) >= max(required, 1)

    @staticmethod
    def _is_available(row: UpstreamRow, requirements: Requirements, now: float) -> bool:
        return now >= row.backoff_until and row.instance not in requirements.excluded

    @staticmethod
    def _max_requests(requirements: Requirements) -> int:
        """Returns the number of requests at which a replica is full for this rank."""
        engine = requirements.service.engine
        if engine is None:
            return requirements.service.max_connections
        return (
            engine.slots
            + SLOT_OVERCOMMIT_BY_RANK[min(requirements.rank, len(SLOT_OVERCOMMIT_BY_RANK) - 1)]
        )

    def _cost(self, row: UpstreamRow, requirements: Requirements, now: float) -> float:
        engine: EngineProfile | None = requirements.service.engine
        if engine is not None:
            cost = time_to_first_event_s(engine, row, requirements.prompt_tokens)
        else:
            cost = row.estimated_in_flight / max(1, row.entry.slots) * FULL_LOAD_COST_S
        # The wait observed at the replica overrides a lower estimate: behind a slow link, the
        # reported load and step time are out of date.
        cost = max(cost, row.oldest_wait_s(now))
        if row.region != self._region:
            cost += OTHER_REGION_S
        elif row.entry.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_S
        return cost + row.failed_share * FAILURE_COST_S
