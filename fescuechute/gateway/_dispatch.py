"""Dispatch of requests: sends their attempts and records the outcomes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from fescuechute.errors import ExecutionStatus, Reason
from fescuechute.forwarding import (
    OutboundRequest,
    ResponseBuffers,
    UpstreamCall,
    UpstreamClient,
)
from fescuechute.gateway._access import Allowed
from fescuechute.gateway._attempt import Attempt
from fescuechute.gateway._capacity import CapacityLearner, Kind
from fescuechute.gateway._choice import Choice, Chooser
from fescuechute.gateway._crash_monitor import CrashMonitor
from fescuechute.gateway._evaluation import Requirements
from fescuechute.gateway._transfer import CONNECT_TIMEOUT_S, Transfer
from fescuechute.gateway._upstreams import UpstreamRow, UpstreamTable
from fescuechute.gateway._waiting_transfers import WaitingTransfers
from fescuechute.routing import RetryBudget
from fescuechute.settings import ServiceLevels
from fescuechute.telemetry import Telemetry

#: Bounds of the `Retry-After` of a refusal, as a share of the time left until the deadline. Clients
#: honour up to a third of it and retry only once, so a late retry is better than an early one.
RETRY_AFTER_MIN_SHARE = 0.2
RETRY_AFTER_MAX_SHARE = 0.32
#: Share of the common retry budget that the gateways use, so that together they stay within it even
#: if they disagree on their number.
RETRY_BUDGET_SHARE = 0.7
#: Minimum number of gateways that the burst of the retry budget is divided by; the number of known
#: gateways is used once it is higher.
MIN_GATEWAYS = 10
#: Events after the first one over which the pauses of a stream are averaged.
PACE_EVENTS = 4
#: Retries per second that a gateway may make without any traffic.
RETRY_FLOOR_PER_S = 0.02


class Dispatcher:
    """Runs the transfers of a gateway.

    Chooses replicas, sends attempts, enforces the retry budget and records outcomes.
    """

    def __init__(
        self,
        upstream_client: UpstreamClient,
        upstreams: UpstreamTable,
        chooser: Chooser,
        service_levels: ServiceLevels,
        telemetry: Telemetry,
        gateway_count: Callable[[], int],
        now: Callable[[], float],
        rng: Random,
        response_buffers: ResponseBuffers,
        crashes: CrashMonitor,
        allowed_regions: Callable[[Allowed], frozenset[str] | None] = lambda allowed: (
            allowed.regions
        ),
    ):
        self._upstream_client = upstream_client
        self._upstreams = upstreams
        self._chooser = chooser
        self._service_levels = service_levels
        self._telemetry = telemetry
        self._gateway_count = gateway_count
        self.now = now
        self.response_buffers = response_buffers
        self._rng = rng
        self._crashes = crashes
        self._learner = CapacityLearner()
        #: Generation of the replicas, and their services, for which the learner keeps usual times.
        self._learned_generation = 0
        self._learned_services: frozenset[str] = frozenset()
        self._allowed_regions = allowed_regions
        self._transfers: set[Transfer] = set()
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._waiting = WaitingTransfers(chooser, telemetry, now)

    @property
    def active_transfers(self) -> int:
        """Number of requests without a final response."""
        return len(self._transfers)

    @property
    def waiting_models(self) -> int:
        """Number of models for which requests have waited lately."""
        return self._waiting.models

    def start(self, transfer: Transfer) -> None:
        """Starts a transfer."""
        self._transfers.add(transfer)
        self._retry_budget(transfer.service.name).record_first_attempt()
        self._waiting.record_arrival(transfer)
        transfer.start()

    def tick(self, now: float) -> None:
        """Checks the deadlines of all active transfers."""
        for transfer in list(self._transfers):
            transfer.tick(now)
        self._waiting.tick(now)
        self._crashes.tick(now)
        if self._learned_generation != self._upstreams.generation:
            self._learned_generation = self._upstreams.generation
            services = frozenset(self._upstreams.services())
            if self._learned_services - services:
                self._learner.keep(services)
            self._learned_services = services

    def place_unsent(self) -> None:
        """Places anew what is not connected and may no longer run at its replica."""
        for transfer in list(self._transfers):
            transfer.place_unsent()

    def stop(self) -> None:
        """Ends all active transfers because the process stops."""
        for transfer in list(self._transfers):
            transfer.stop()

    # The interface `Dispatch` of a transfer.

    def may_send(self, transfer: Transfer) -> bool:
        """Returns whether an attempt may be sent, given the contents that crash replicas."""
        return not self._crashes.any_restricted or self._crashes.may_send(transfer.contents)

    def is_quarantined(self, transfer: Transfer) -> bool:
        """Returns whether the request has a content in quarantine."""
        return self._crashes.any_restricted and bool(self._crashes.quarantined(transfer.contents))

    def choose(self, requirements: Requirements) -> Choice | None:
        """Returns the best replica, or None if none is eligible."""
        return self._chooser.choose(requirements, self.now())

    def is_preceded(self, transfer: Transfer) -> bool:
        """Returns whether other requests wait for a place at the same engines."""
        return self._waiting.is_preceded(transfer)

    def record_overtaking(self, transfer: Transfer) -> None:
        """Records that a request starts without waiting, which uses a place of those that wait."""
        self._waiting.record_overtaking(transfer)

    def wait(self, transfer: Transfer) -> bool:
        """Lets a request wait for a place; returns False if none is predicted in time."""
        return self._waiting.add(transfer)

    def regions(self, transfer: Transfer) -> frozenset[str] | None:
        """Returns the regions in which a request may run by the newest configuration, None for all."""
        return self._allowed_regions(transfer.allowed)

    def may_serve(self, transfer: Transfer, attempt: Attempt) -> bool:
        """Returns whether the replica of an attempt is in an allowed region and not evacuated."""
        return self._chooser.is_allowed(attempt.choice.row, transfer.requirements())

    def has_region(self, transfer: Transfer) -> bool:
        """Returns whether a replica is in the regions in which a request may run."""
        return self._chooser.has_region(transfer.requirements())

    def send(
        self, transfer: Transfer, attempt: Attempt, request: OutboundRequest, max_idle_s: float
    ) -> UpstreamCall:
        """Sends an attempt to its replica."""
        row = attempt.choice.row
        row.in_flight += 1
        now = self.now()
        self._chooser.record_send(row, transfer.service, now)
        row.unstarted[attempt] = now
        if transfer.streaming:
            attempt.pending_prompt_tokens = transfer.meta.prompt_tokens
            row.pending_prompt_tokens += attempt.pending_prompt_tokens
        self._telemetry.event(
            "attempt",
            id=transfer.meta.request_id,
            n=transfer.attempts,
            upstream=row.instance,
            expected_ms=round(attempt.choice.cost_s * 1000),
            own=row.in_flight,
            others=row.other_in_flight,
            report_age_ms=round((now - row.reported_at) * 1000) if row.reported_at else None,
            candidates=attempt.choice.candidates,
            version=attempt.choice.version,
            cfg=transfer.allowed.configuration_version,
            left_ms=round((transfer.deadline - now) * 1000),
            waited_ms=round(transfer.waited_s * 1000),
        )
        return self._upstream_client.call(
            row.instance,
            row.entry.address,
            request,
            attempt,
            transfer.is_own_response,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_idle_s=max_idle_s,
            max_connections=self._chooser.connections_per_replica(transfer.service),
        )

    def cancel(self, call: UpstreamCall) -> None:
        """Cancels a call to a replica."""
        self._upstream_client.cancel(call)

    def try_spend_retry(self, transfer: Transfer) -> bool:
        """Spends one retry of the service's budget; returns False if none is left."""
        allowed = self._retry_budget(transfer.service.name).try_spend(self.now())
        if not allowed:
            self._telemetry.count("retry.refused", "budget")
        return allowed

    def retry_after_s(self, transfer: Transfer) -> float:
        """Returns the `Retry-After` of a refusal, with jitter so that clients do not retry at once.

        It is not earlier than the time at which a replica accepts requests of this gateway again.
        """
        now = self.now()
        share = self._rng.uniform(RETRY_AFTER_MIN_SHARE, RETRY_AFTER_MAX_SHARE)
        wait_s = self._chooser.accepted_again_at(transfer.requirements(), now) - now
        return wait_s + share * max(0.0, transfer.deadline - now)

    def cancel_unstarted_at(self, transfer: Transfer, attempt: Attempt) -> float:
        """Returns the unix seconds at which the attempt is cancelled if it has not started."""
        return self._chooser.cancel_unstarted_at(attempt.choice.row, transfer.meta.model)

    def attempt_slow(self, transfer: Transfer, attempt: Attempt) -> None:
        """Records a failure of the replica because the response has not started in time."""
        row = attempt.choice.row
        row.record_failure()
        if attempt.first_event_at is None:
            self._learn_start(transfer, attempt)
        self._telemetry.event(
            "attempt.slow",
            id=transfer.meta.request_id,
            upstream=row.instance,
            failed_share=round(row.failed_share, 2),
            others=row.other_in_flight,
        )

    def attempt_progress(self, transfer: Transfer, attempt: Attempt) -> None:
        """Records the time to the first event, and the mean of the first pauses."""
        row = attempt.choice.row
        if attempt in row.unstarted:
            attempt.first_events = attempt.event_count
            self._learn_start(transfer, attempt)
            return
        events = attempt.event_count - attempt.first_events
        if attempt.pace_recorded or events < PACE_EVENTS or attempt.first_event_at is None:
            return
        attempt.pace_recorded = True
        now = self.now()
        pause_s = (now - attempt.first_event_at) / events / max(0.1, row.relative_step_time)
        self._learner.record_pace(
            row.capacity, _kind(transfer, row), pause_s, attempt.started_at, now
        )
        self._log_capacity(attempt)

    def attempt_head(self, attempt: Attempt) -> None:
        """Records whether the replica is leaving, and until when it wants no requests."""
        row, meta = attempt.choice.row, attempt.meta
        assert meta is not None
        if meta.retry_after_s is not None:
            row.refuses_until = max(row.refuses_until, self.now() + meta.retry_after_s)
        if meta.leaving and self._upstreams.record_leaving(row):
            self._upstream_client.close_idle(row.instance)
            self._telemetry.event("upstream.leaving", upstream=row.instance)

    def attempt_ended(self, transfer: Transfer, attempt: Attempt, outcome: str) -> None:
        """Records the end of an attempt; `outcome` is empty after a success."""
        row = attempt.choice.row
        now = self.now()
        row.in_flight -= 1
        if not outcome:
            if not transfer.streaming and attempt.status < 300:
                self._learn_start(transfer, attempt)
            row.record_start(attempt, transfer.allowed.rank, now)
        row.unstarted.pop(attempt, None)
        row.pending_prompt_tokens -= attempt.pending_prompt_tokens
        attempt.pending_prompt_tokens = 0
        if not outcome:
            row.record_success()
            if attempt.is_whole_answer(now):
                self._crashes.record_answer(transfer.contents)
            elif attempt.ends_with_connection:
                # The end of the answer may have been a crash.
                self._crashes.record_loss(row, transfer.contents)
            return
        kind = outcome.partition(":")[0]
        if kind in ("broken", "incomplete event") and attempt.began_recently(now):
            self._crashes.record_loss(row, transfer.contents)
        if kind in ("not_connected", "misdirected"):
            if kind == "misdirected":
                row.record_misdirected(now)
            else:
                row.record_unreachable(now)
            self._upstream_client.close_idle(row.instance)
        elif kind == "refused":
            # A request that no engine can hold says nothing about the load of this one.
            if not self._exceeds_engine(transfer):
                row.record_refusal(now)
                row.capacity.record_refusal(attempt.choice.in_flight, now)
                self._log_capacity(attempt)
        elif kind not in (
            "client gone",
            "timeout",
            "silent",
            "superseded",
            "version",
            "stopping",
            "quarantined",
            "moved",
        ):
            row.record_failure()
        self._telemetry.event(
            "attempt.failed",
            id=transfer.meta.request_id,
            upstream=row.instance,
            reason=kind,
            detail=outcome,
            events=attempt.event_count,
            parts=transfer.meta.shared_parts,
            ms=round((now - attempt.started_at) * 1000),
        )

    def transfer_ended(
        self, transfer: Transfer, status: int, reason: str, ran: ExecutionStatus | None
    ) -> None:
        """Records the final outcome of a request."""
        self._transfers.discard(transfer)
        self._waiting.remove(transfer)
        now = self.now()
        received_at = transfer.request.received_at
        rank = transfer.allowed.rank
        first_event_at = transfer.first_event_at
        if first_event_at is not None:
            self._telemetry.observe("first_event", rank, first_event_at - received_at)
        self._telemetry.observe("end", rank, now - received_at)
        shortage = (
            attrs.asdict(self._chooser.shortage(transfer.requirements(), now))
            if reason in (Reason.NO_UPSTREAM, Reason.NO_REGION)
            else None
        )
        self._telemetry.event(
            "request",
            id=transfer.meta.request_id,
            route=transfer.allowed.route.name,
            workspace=transfer.allowed.workspace,
            rank=rank,
            status=status,
            reason=reason,
            ran=ran,
            attempts=transfer.attempts,
            waited_ms=round(transfer.waited_s * 1000),
            predicted_ms=None
            if transfer.predicted_wait_s is None
            else round(transfer.predicted_wait_s * 1000),
            place=transfer.waiting_place,
            route_rank=transfer.allowed.route_rank,
            first_ms=None
            if first_event_at is None
            else round((first_event_at - received_at) * 1000),
            ms=round((now - received_at) * 1000),
            target_ms=round(transfer.allowed.route.target_latency_s * 1000),
            gap_ms=round(transfer.longest_gap_s * 1000),
            max_gap_ms=round(transfer.allowed.route.max_event_gap_s * 1000),
            shortage=shortage,
            quarantined=[content.hex() for content in self._crashes.restricted(transfer.contents)]
            if reason == Reason.QUARANTINED
            else None,
        )

    def _learn_start(self, transfer: Transfer, attempt: Attempt) -> None:
        choice, now = attempt.choice, self.now()
        self._learner.record_start(
            choice.row.capacity,
            _kind(transfer, choice.row),
            choice.expected_s,
            choice.in_flight,
            attempt.started_at,
            now,
        )
        self._log_capacity(attempt)

    def _log_capacity(self, attempt: Attempt) -> None:
        row, now = attempt.choice.row, self.now()
        state = row.capacity.state_to_log(now)
        if state is not None:
            limit = row.capacity.limit(now)
            self._telemetry.event(
                "capacity",
                upstream=row.instance,
                reason=state,
                slowness=round(row.capacity.slowness(now), 2),
                limit=round(limit, 1) if limit < float("inf") else None,
                in_flight=round(attempt.choice.in_flight, 1),
                pace=round(row.relative_step_time, 2),
            )

    def _exceeds_engine(self, transfer: Transfer) -> bool:
        engine = transfer.service.engine
        tokens = transfer.meta.prompt_tokens + transfer.meta.max_tokens
        return engine is not None and tokens > engine.kv_capacity_tokens

    def _retry_budget(self, service: str) -> RetryBudget:
        service_levels = self._service_levels
        gateways = max(MIN_GATEWAYS, self._gateway_count())
        burst = max(1.0, service_levels.retry_burst * RETRY_BUDGET_SHARE / gateways)
        budget = self._retry_budgets.get(service)
        if budget is None:
            share = service_levels.retry_ratio * RETRY_BUDGET_SHARE
            budget = RetryBudget(share, RETRY_FLOOR_PER_S, burst)
            self._retry_budgets[service] = budget
        budget.set_capacity(burst)
        return budget


def _kind(transfer: Transfer, row: UpstreamRow) -> Kind:
    """Returns the requests with which one is compared.

    The time of an engine is predicted from its size. That of a plain replica depends on the route,
    and that of one in another region on the path as well.
    """
    service = transfer.service
    if service.engine is not None:
        return Kind(service.name)
    return Kind(service.name, row.region, transfer.allowed.route.name)
