"""Choice of a replica for an attempt, with admission by rank."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from random import Random

import attrs

from fescuechute.catalog import Service
from fescuechute.gateway._cold import ColdStart
from fescuechute.gateway._evaluation import SPILL_COST_S, Candidate, Evaluation, Requirements
from fescuechute.gateway._latency_model import mean_service_time_s
from fescuechute.gateway._send_rate import SendRate
from fescuechute.gateway._spill import SpillQuota
from fescuechute.gateway._subset import Subset, SubsetSelector
from fescuechute.gateway._upstreams import UpstreamRow
from fescuechute.gateway._versions import VersionTable

#: Share of the eligible replicas among which the best one is chosen, and their minimum number.
SAMPLE_SHARE = 1 / 3
MIN_SAMPLE = 3
#: Share of the connections that a replica accepts which all gateways together use. A replica accepts
#: fewer while its queue is long.
CONNECTION_SHARE = 0.8
#: Far replicas that are considered where homes cost and a near replica is free. Otherwise one home
#: would make most requests at high load evaluate all replicas.
MAX_FAR_SAMPLE = 48


@attrs.frozen
class Choice:
    """The replica chosen for an attempt and the inputs of the decision."""

    row: UpstreamRow
    #: Estimated seconds to the first event (without an engine profile: relative load, scaled to
    #: seconds) plus the costs of distance and failures, without that of the places of homes.
    cost_s: float
    #: Version that the replica must have loaded, None for a request without a model.
    version: int | None
    #: Number of eligible replicas.
    candidates: int
    #: Predicted seconds to the first event at a replica that is not slow; 1 without an engine profile,
    #: times the relative load if that exceeds 1.
    expected_s: float = 1.0
    #: Estimated requests of all gateways in flight at the replica.
    in_flight: float = 0.0


@attrs.frozen
class Shortage:
    """Number of replicas of a service that remain after each condition, in the order applied."""

    known: int
    #: In an allowed region, and in no evacuated data centre.
    allowed: int
    #: Not leaving, not in backoff, not waiting for a `Retry-After` and not excluded for this request.
    up: int
    #: Not loading weights, and with an allowed version loaded.
    able: int
    #: With capacity for the rank of the request, and no refusal lately.
    free: int
    #: Oldest allowed version, 0 for any.
    version: int
    #: Free otherwise, but kept from more requests because they are cold.
    held_back: int = 0


class Chooser:
    """Chooses among the registered replicas, near ones before far ones.

    Args:
      subsets: Decides which replicas are near.
      versions: Declared versions of the weights.
      data_centre: Data centre of the gateway.
      region: Region of the gateway.
      gateway_count: Returns the number of gateways presumed running, including this one.
      rng: Seeded random number generator.
      cold_start: Limits the requests to cold replicas; None for no limit.
    """

    def __init__(
        self,
        subsets: SubsetSelector,
        versions: VersionTable,
        data_centre: str,
        region: str,
        gateway_count: Callable[[], int],
        rng: Random,
        cold_start: ColdStart | None = None,
    ):
        self._subsets = subsets
        self._versions = versions
        self._data_centre = data_centre
        self._region = region
        self._gateway_count = gateway_count
        self._rng = rng
        self._cold_start = cold_start
        self._send_rates: dict[str, SendRate] = defaultdict(SendRate)
        self._spill_quota = SpillQuota(rng)
        #: Regions to which some requests are bound; the others leave them their last places.
        self.home_regions: frozenset[str] = frozenset()

    def choose(self, requirements: Requirements, now: float) -> Choice | None:
        """Returns the best eligible replica, or None if there is none.

        Far replicas are considered if no near one can start the request soon.
        """
        evaluation = self._evaluation(requirements, now)
        subset = self._subset(requirements)
        candidates = evaluation.without_crowded(evaluation.candidates(subset.near))
        best = self._cheapest(candidates)
        if subset.far and (best is None or best.spill_cost_s > SPILL_COST_S):
            gateways = self._gateway_count()
            considered: Sequence[UpstreamRow] = subset.far
            if self.home_regions and best is not None and len(considered) > MAX_FAR_SAMPLE:
                considered = self._rng.sample(considered, MAX_FAR_SAMPLE)
            far = [
                row
                for row in considered
                if self._spill_quota.allows(row, evaluation.max_requests, gateways, now)
            ]
            candidates = candidates + evaluation.candidates(far)
            best = self._cheapest(candidates)
        if self._cold_start is not None and evaluation.held_back:
            self._cold_start.on_held_back()
        if best is None:
            return None
        # The engine may load other weights before the request starts.
        version = best.row.versions.get(requirements.model) if requirements.model else None
        return Choice(
            best.row, best.cost_s, version, len(candidates), best.expected_s, best.in_flight
        )

    def places_per_s(self, requirements: Requirements, now: float) -> float:
        """Returns the places of full engines that become free for this gateway in a second.

        The places of a near engine are divided among the gateways that use it before others.
        """
        engine = requirements.service.engine
        if engine is None:
            return 0.0
        evaluation = self._evaluation(requirements, now)
        service_time_s = mean_service_time_s(engine)
        shares = sum(
            1 / (row.relative_step_time * (1 + row.other_gateway_count))
            for row in self._subset(requirements).near
            if evaluation.is_able(row)
        )
        # A profile without mean token counts predicts nothing.
        share_per_s = shares * engine.slots / service_time_s if service_time_s > 0 else 0.0
        sends_per_s = self._send_rates[requirements.service.name].per_s(now) if shares else 0.0
        return max(share_per_s, sends_per_s)

    def record_send(self, row: UpstreamRow, service: Service, now: float) -> None:
        """Records that a request for a service was sent to a replica."""
        row.sent_since_report += 1
        row.capacity.record_send(now)
        if self._cold_start is not None:
            self._cold_start.record_send(row, service, now)
        self._send_rates[row.entry.service].record(now)

    def shortage(self, requirements: Requirements, now: float) -> Shortage:
        """Returns the number of replicas left by each condition, for the log line of a refusal."""
        evaluation = self._evaluation(requirements, now)
        subset = self._subset(requirements)
        rows = (*subset.near, *subset.far)
        free = len(evaluation.candidates(rows))
        return Shortage(
            self._subsets.known(requirements.service.name),
            len(rows),
            evaluation.up,
            evaluation.able,
            free,
            evaluation.required,
            evaluation.held_back,
        )

    def is_allowed(self, row: UpstreamRow, requirements: Requirements) -> bool:
        """Returns whether a replica is in an allowed region and in no evacuated data centre."""
        return self._subsets.is_allowed(row, requirements.regions)

    def has_region(self, requirements: Requirements) -> bool:
        """Returns whether any replica is in the allowed regions, or all regions are allowed."""
        return self._subsets.has_region(requirements.service.name, requirements.regions)

    def accepted_again_at(self, requirements: Requirements, now: float) -> float:
        """Returns the unix seconds at which the first replica accepts requests of this gateway.

        That is `now` unless all replicas that are not leaving asked this gateway to wait.
        """
        subset = self._subset(requirements)
        rows = (*subset.near, *subset.far)
        times = [row.refuses_until for row in rows if not row.leaving]
        return max(now, min(times, default=now))

    def connections_per_replica(self, service: Service) -> int:
        """Returns the connections to a replica that are this gateway's share of its limit."""
        share = CONNECTION_SHARE * service.max_connections / max(1, self._gateway_count())
        return max(1, int(share))

    def _cheapest(self, candidates: list[Candidate]) -> Candidate | None:
        """Returns the first candidate in the order of costs among a random sample.

        Other gateways have the same reports and would all choose the same replica otherwise.
        Replicas over their learned limits are left out unless they are the majority: then all of them
        are busy, and the load must not be concentrated on a few.
        """
        if any(candidate.is_over_limit for candidate in candidates):
            within = [candidate for candidate in candidates if not candidate.is_over_limit]
            with_free_slots = sum(
                candidate.in_flight < candidate.row.entry.slots for candidate in within
            )
            if 2 * with_free_slots > len(candidates):
                candidates = within
        size = max(MIN_SAMPLE, math.ceil(len(candidates) * SAMPLE_SHARE))
        if size < len(candidates):
            candidates = self._rng.sample(candidates, size)
        return min(
            candidates,
            key=lambda candidate: (candidate.order_cost_s, self._rng.random()),
            default=None,
        )

    def _subset(self, requirements: Requirements) -> Subset:
        """Returns the allowed replicas."""
        return self._subsets.subset(requirements.service.name, requirements.regions)

    def _evaluation(self, requirements: Requirements, now: float) -> Evaluation:
        service = requirements.service
        near_count = len(self._subsets.subset(service.name).near)
        return Evaluation(
            requirements,
            self._versions,
            self._data_centre,
            self._region,
            self.connections_per_replica(service),
            self._send_rates[service.name].per_s(now),
            near_count,
            self._gateway_count(),
            now,
            self.home_regions if requirements.regions is None else frozenset(),
            self._cold_start,
        )

    def cancel_unstarted_at(self, row: UpstreamRow, model: str) -> float:
        """Returns the unix seconds at which attempts not yet started at a replica are cancelled."""
        return (
            self._versions.cancel_unstarted_at(model, row.versions.get(model, 0))
            if model
            else float("inf")
        )
