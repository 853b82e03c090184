"""Choice of a replica for an attempt, with admission by rank."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from fescuechute.catalog import Service
from fescuechute.gateway._latency_model import FirstEventModel
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


@attrs.frozen
class _Candidate:
    """An eligible replica with its cost in seconds."""

    row: UpstreamRow
    cost_s: float


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
        shortage, candidates = self._candidates(requirements, now)
        if not candidates:
            return None
        best = min(candidates, key=lambda candidate: (candidate.cost_s, self._rng.random()))
        version = best.row.versions.get(requirements.model) if shortage.version else None
        return Choice(best.row, best.cost_s, version, len(candidates))

    def shortage(self, requirements: Requirements, now: float) -> Shortage:
        """Returns the number of replicas left by each condition, for the log line of a refusal."""
        return self._candidates(requirements, now)[0]

    def _candidates(
        self, requirements: Requirements, now: float
    ) -> tuple[Shortage, list[_Candidate]]:
        """Returns the number of replicas left by each condition, and those left by all of them."""
        model, service = requirements.model, requirements.service
        known = self._upstreams.ready_replicas(service.name)
        up = [
            row
            for row in known
            if now >= row.backoff_until and row.instance not in requirements.excluded
        ]
        required = self._versions.required_version(model, now) if model else 0
        max_requests = self._max_requests(requirements)
        estimate_s = self._make_estimate(requirements)
        able = 0
        candidates = []
        for row in up:
            is_free = row.estimated_in_flight < max_requests
            if service.engine is not None:
                if row.loading or row.versions.get(model, -1) < max(required, 1):
                    continue
                # Whether the version is still allowed depends on the time of the start.
                cost_s = self._cost(row, estimate_s, now)
                if row.versions[model] < self._versions.required_version(model, now + cost_s):
                    continue
            elif is_free:
                cost_s = self._cost(row, estimate_s, now)
            able += 1
            if is_free:
                candidates.append(_Candidate(row, cost_s))
        shortage = Shortage(len(known), len(up), able, len(candidates), required)
        return shortage, candidates

    def cancel_unstarted_at(self, row: UpstreamRow, model: str) -> float:
        """Returns the unix seconds at which attempts not yet started at a replica are cancelled."""
        return (
            self._versions.cancel_unstarted_at(model, row.versions.get(model, 0))
            if model
            else float("inf")
        )

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

    @staticmethod
    def _make_estimate(requirements: Requirements) -> Callable[[UpstreamRow], float]:
        """Returns a function that estimates the seconds until a replica starts to respond."""
        engine = requirements.service.engine
        if engine is not None:
            return FirstEventModel(engine, requirements.prompt_tokens).seconds
        return lambda row: row.estimated_in_flight / max(1, row.entry.slots) * FULL_LOAD_COST_S

    def _cost(
        self, row: UpstreamRow, estimate_s: Callable[[UpstreamRow], float], now: float
    ) -> float:
        # The wait observed at the replica overrides a lower estimate: behind a slow link, the
        # reported load and step time are out of date.
        cost_s = max(estimate_s(row), row.oldest_wait_s(now))
        if row.region != self._region:
            cost_s += OTHER_REGION_S
        elif row.entry.data_centre != self._data_centre:
            cost_s += OTHER_DATA_CENTRE_S
        return cost_s + row.failed_share * FAILURE_COST_S
