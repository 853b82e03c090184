"""Evaluation of replicas for one request: which are eligible, and what each costs."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

import attrs

from fescuechute.catalog import Service
from fescuechute.gateway._cold import ColdStart
from fescuechute.gateway._latency_model import FirstEventModel
from fescuechute.gateway._upstreams import UpstreamRow
from fescuechute.gateway._versions import VersionTable

#: Cost in seconds of a replica in another data centre of the region, and in another region. All
#: traffic between two regions shares one link, so a replica of the own region is preferred although
#: it starts somewhat later.
OTHER_DATA_CENTRE_S = 0.002
OTHER_REGION_S = 0.03
#: Cost in seconds of the best near replica from which on far ones are considered as well.
SPILL_COST_S = 0.2
#: Requests that an engine may hold beyond its slots, by rank; ranks beyond the table use the last
#: value. Each request delays the first events of all others, so less urgent ones leave slots free.
SLOT_OVERCOMMIT_BY_RANK = (3, 0, -2)
#: Ranks of routes from which on those of one workspace leave as many slots free as the next rank.
ROUTE_RANK_STEPS = 2
#: Cost in seconds of a replica that fails every request; scaled by the share of failed requests.
FAILURE_COST_S = 2.0
#: Cost in seconds of a replica without an engine profile when all of its slots are busy.
FULL_LOAD_COST_S = 0.05
#: Slowness and limit of a replica that takes as much as any other.
UNRESTRICTED = (1.0, float("inf"))
#: Share of the slots of a replica that requests which may go anywhere leave to those that are bound to
#: its region, and the cost in seconds of taking them. At that cost, far replicas are considered.
HOME_SHARE = 0.125
HOME_COST_S = SPILL_COST_S


@attrs.frozen
class Requirements:
    """Requirements of an attempt on its replica."""

    service: Service
    model: str
    prompt_tokens: int
    rank: int
    #: Instances that must not be chosen, such as those of earlier attempts.
    excluded: frozenset[str]
    #: Regions in which it may run, None for all.
    regions: frozenset[str] | None = None
    #: Rank of the route within that rank; 0 for the most urgent ones.
    route_rank: int = 0


class Candidate(NamedTuple):
    """An eligible replica with its costs in seconds."""

    row: UpstreamRow
    cost_s: float
    #: Cost from which on far replicas are considered: `cost_s` plus that of a place left to bound requests.
    spill_cost_s: float
    #: Cost by which candidates are ordered: higher than that if the replica was found to be slow.
    order_cost_s: float
    expected_s: float
    in_flight: float
    #: Whether the replica has at least as many requests as it was found to take well.
    is_over_limit: bool


class Evaluation:
    """Evaluation of replicas for one request.

    Args:
      requirements: Requirements of the request.
      versions: Declared versions of the weights.
      data_centre: Data centre of the gateway.
      region: Region of the gateway.
      max_own: Requests that this gateway may have in flight at a replica.
      sends_per_s: Mean rate at which this gateway sends requests to the service.
      near_count: Number of near replicas.
      gateways: Number of gateways presumed running.
      now: Unix seconds.
      homes: Regions in which the last places are left to other requests.
      cold_start: Limits the requests to cold replicas; None for no limit.
    """

    def __init__(
        self,
        requirements: Requirements,
        versions: VersionTable,
        data_centre: str,
        region: str,
        max_own: int,
        sends_per_s: float,
        near_count: int,
        gateways: int,
        now: float,
        homes: frozenset[str],
        cold_start: ColdStart | None,
    ):
        self._requirements = requirements
        self._versions = versions
        self._data_centre = data_centre
        self._region = region
        self._max_own = max_own
        self._all_sends_per_s = sends_per_s
        self._sends_per_s = sends_per_s / max(1, near_count)
        self._gateways = gateways
        self._now = now
        self._homes = homes
        model, engine = requirements.model, requirements.service.engine
        #: Oldest version that may be sent to now, 0 for any.
        self.required = versions.required_version(model, now) if model else 0
        #: Replicas that were not excluded, and those of them that may run the request.
        self.up = self.able = 0
        #: Those of them that are free, but kept from more requests because they are cold.
        self.held_back = 0
        self._cold_start = cold_start
        self._estimate = (
            None if engine is None else FirstEventModel(engine, requirements.prompt_tokens)
        )
        #: Requests that a replica may hold for one of this rank to be sent to it.
        self.max_requests = float("inf")
        if engine is not None:
            self.max_requests = engine.slots + _overcommit(requirements)

    def candidates(self, rows: Sequence[UpstreamRow]) -> list[Candidate]:
        """Returns the eligible replicas among the given ones, and counts those of each condition."""
        now, model = self._now, self._requirements.model
        is_engine = self._estimate is not None
        candidates = []
        for row in rows:
            if not self._is_usable(row):
                continue
            self.up += 1
            if is_engine and not self._may_run(row):
                continue
            in_flight = row.estimated_in_flight(now, self._sends_per_s)
            expected_s = self._expected_s(row, in_flight)
            cost_s = self._cost_s(row, in_flight, expected_s)
            # Whether the version is still allowed depends on the time of the start.
            if is_engine and row.versions[model] < self._versions.required_version(
                model, now + cost_s
            ):
                continue
            self.able += 1
            is_free = in_flight < self.max_requests and now >= row.full_until
            if not is_free or row.in_flight >= self._max_own:
                continue
            if self._is_held_back(row):
                self.held_back += 1
                continue
            candidates.append(self._candidate(row, in_flight, expected_s, cost_s))
        return candidates

    def _candidate(
        self, row: UpstreamRow, in_flight: float, expected_s: float, cost_s: float
    ) -> Candidate:
        home_cost_s = self._home_cost_s(row, in_flight) if self._homes else 0.0
        order_s, limit = cost_s, math.inf
        if row.capacity.is_restricted:
            slowness, limit = self._learned(row)
            order_s = self._cost_s(row, in_flight, expected_s, slowness)
        return Candidate(
            row,
            cost_s,
            cost_s + home_cost_s,
            order_s + home_cost_s,
            expected_s,
            in_flight,
            in_flight >= limit,
        )

    def _is_held_back(self, row: UpstreamRow) -> bool:
        if self._cold_start is None:
            return False
        return not self._cold_start.allows(row, self._requirements.service, self._now)

    def without_crowded(self, candidates: list[Candidate]) -> list[Candidate]:
        """Returns the near candidates that still have a place if all gateways send only to these.

        Load pattern: most engines are full. The other gateways see the same few with free places, and
        the one that looks the freest has often the oldest report. An engine of which less than half is
        used by the mean rate is kept: the other gateways may not send to the same few at all.
        """
        engine = self._requirements.service.engine
        if engine is None or not candidates:
            return candidates
        idle_below = engine.slots / 2
        sends_per_s = self._all_sends_per_s / len(candidates)
        return [
            candidate
            for candidate in candidates
            if candidate.row.estimated_in_flight(self._now, self._sends_per_s) < idle_below
            or candidate.row.estimated_in_flight(self._now, sends_per_s) < self.max_requests
        ]

    def is_able(self, row: UpstreamRow) -> bool:
        """Returns whether an engine may run the request once it has a place."""
        return self._now >= row.full_until and self._is_usable(row) and self._may_run(row)

    def _is_usable(self, row: UpstreamRow) -> bool:
        """Returns whether a replica may be sent the request, whatever it has loaded and holds.

        What is predicted for requests that wait follows from it as well.
        """
        return self._now >= row.usable_at() and row.instance not in self._requirements.excluded

    def _may_run(self, row: UpstreamRow) -> bool:
        """Returns whether an engine has loaded a version that may be sent to now."""
        loaded = row.versions.get(self._requirements.model, -1)
        return not row.loading and loaded >= max(self.required, 1)

    def _home_cost_s(self, row: UpstreamRow, in_flight: float) -> float:
        if row.region not in self._homes:
            return 0.0
        engine = self._requirements.service.engine
        slots = max(1, row.entry.slots if engine is None else engine.slots)
        return HOME_COST_S if in_flight >= slots * (1 - HOME_SHARE) else 0.0

    def _expected_s(self, row: UpstreamRow, in_flight: float) -> float:
        """Returns the seconds to the first event unless the replica is slow, see `Choice`."""
        if self._estimate is not None:
            return self._estimate.seconds(row, in_flight)
        return max(1.0, in_flight / max(1, row.entry.slots))

    def _learned(self, row: UpstreamRow) -> tuple[float, float]:
        """Returns the slowness of a replica and its limit; some requests test whether they hold."""
        capacity = row.capacity
        slowness = capacity.slowness(self._now)
        if slowness > 1.0:
            gateways = row.other_gateway_count + 1 if row.reported_at else self._gateways
            if capacity.is_probe_due(self._now, gateways):
                return UNRESTRICTED
        return slowness, capacity.limit(self._now)

    def _cost_s(
        self, row: UpstreamRow, in_flight: float, expected_s: float, slowness: float = 1.0
    ) -> float:
        if self._estimate is not None:
            estimate_s = expected_s * slowness
        else:
            # A slow replica costs as if it had further requests, also without any.
            load = slowness * in_flight / max(1, row.entry.slots) + slowness - 1
            estimate_s = load * FULL_LOAD_COST_S
        # The wait observed at the replica overrides a lower estimate: behind a slow link, the
        # reported load and step time are out of date.
        cost_s = max(estimate_s, row.oldest_wait_s(self._now))
        if row.region != self._region:
            cost_s += OTHER_REGION_S
        elif row.entry.data_centre != self._data_centre:
            cost_s += OTHER_DATA_CENTRE_S
        return cost_s + row.failed_share * FAILURE_COST_S


def _overcommit(requirements: Requirements) -> float:
    """Returns the requests that an engine may hold beyond its slots, between those of two ranks."""
    last = len(SLOT_OVERCOMMIT_BY_RANK) - 1
    own = SLOT_OVERCOMMIT_BY_RANK[min(requirements.rank, last)]
    less_urgent = SLOT_OVERCOMMIT_BY_RANK[min(requirements.rank + 1, last)]
    return own + (less_urgent - own) * min(1.0, requirements.route_rank / ROUTE_RANK_STEPS)
