"""Requests under way: takes them, sends their attempts and accounts for the outcomes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from fescuechute.errors import Ran, Reason
from fescuechute.forwarding import OutboundRequest, UpstreamCall, UpstreamClient
from fescuechute.gateway._attempt import Attempt
from fescuechute.gateway._choice import Choice, Chooser, Wanted
from fescuechute.gateway._transfer import CONNECT_S, Transfer
from fescuechute.routing import RetryBudget
from fescuechute.settings import Promises
from fescuechute.telemetry import Telemetry

#: Time to come back that a refused client is given, as a share of the time that it has left. Clients
#: honour up to a third; they come back once, so it should be late rather than early.
RETRY_AFTER_MIN_SHARE = 0.2
RETRY_AFTER_MAX_SHARE = 0.32
#: Part of the shared retry budget that is used, so that gateways with different views of their
#: number stay within it together.
BUDGET_SHARE = 0.7
#: Least number of gateways among which the burst of the retry budget is divided; more are counted as
#: they become known.
LEAST_GATEWAYS = 10
#: Repeats a second that a gateway may make without any traffic.
BUDGET_FLOOR_PER_S = 0.02


class Dispatcher:
    """Carries out transfers."""

    def __init__(
        self,
        client: UpstreamClient,
        chooser: Chooser,
        promises: Promises,
        telemetry: Telemetry,
        gateways: Callable[[], int],
        now: Callable[[], float],
        rng: Random,
    ):
        self._client = client
        self._chooser = chooser
        self._promises = promises
        self._telemetry = telemetry
        self._gateways = gateways
        self.now = now
        self._rng = rng
        self._transfers: set[Transfer] = set()
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def under_way(self) -> int:
        """Requests without a final answer."""
        return len(self._transfers)

    def start(self, transfer: Transfer) -> None:
        """Takes a request."""
        self._transfers.add(transfer)
        self._budget(transfer.service.name).first_attempt()
        transfer.start()

    def tick(self, now: float) -> None:
        """Runs the deadlines of all requests."""
        for transfer in list(self._transfers):
            transfer.tick(now)

    # Ports of a transfer.

    def choose(self, wanted: Wanted) -> Choice | None:
        """Chooses a replica, or None when none can take the request."""
        return self._chooser.choose(wanted, self.now())

    def send(
        self, transfer: Transfer, attempt: Attempt, request: OutboundRequest, max_idle_s: float
    ) -> UpstreamCall:
        """Sends an attempt."""
        row = attempt.choice.row
        row.in_flight += 1
        row.sent_since += 1
        now = self.now()
        row.unanswered[attempt] = now
        if transfer.streaming:
            attempt.unread_tokens = transfer.meta.prompt_tokens
            row.unread_tokens += attempt.unread_tokens
        self._telemetry.event(
            "attempt",
            id=transfer.meta.request_id,
            n=transfer.attempts,
            upstream=row.instance,
            expected_ms=round(attempt.choice.expected_s * 1000),
            own=row.in_flight,
            others=row.total - row.in_flight,
            report_age_ms=round((now - row.reported_at) * 1000) if row.reported_at else None,
            candidates=attempt.choice.candidates,
            version=attempt.choice.version,
            cfg=transfer.allowed.configuration,
            left_ms=round((transfer.deadline - now) * 1000),
        )
        return self._client.call(
            row.instance,
            row.entry.address,
            request,
            attempt,
            transfer.is_answer,
            connect_s=CONNECT_S,
            max_idle_s=max_idle_s,
        )

    def cancel(self, call: UpstreamCall) -> None:
        """Ends a call."""
        self._client.cancel(call)

    def may_repeat(self, transfer: Transfer) -> bool:
        """Takes one repeat from the budget of the service."""
        allowed = self._budget(transfer.service.name).try_spend(self.now())
        if not allowed:
            self._telemetry.count("retry.refused", "budget")
        return allowed

    def retry_after_s(self, transfer: Transfer) -> float:
        """Returns when a client should come back; spread out, so that they do not meet again."""
        share = self._rng.uniform(RETRY_AFTER_MIN_SHARE, RETRY_AFTER_MAX_SHARE)
        return share * max(0.0, transfer.deadline - self.now())

    def take_back_at(self, transfer: Transfer, attempt: Attempt) -> float:
        """Returns the unix seconds at which an attempt that has not begun is taken back."""
        return self._chooser.take_back_at(attempt.choice.row, transfer.meta.model)

    def attempt_slow(self, transfer: Transfer, attempt: Attempt) -> None:
        """Holds it against a replica that an answer has not begun in time."""
        row = attempt.choice.row
        row.failed()
        self._telemetry.event(
            "attempt.slow",
            id=transfer.meta.request_id,
            upstream=row.instance,
            failed_share=round(row.failed_share, 2),
            others=row.total - row.in_flight,
        )

    def attempt_ended(self, transfer: Transfer, attempt: Attempt, outcome: str) -> None:
        """Accounts for an attempt that has ended."""
        row = attempt.choice.row
        now = self.now()
        row.in_flight -= 1
        if not outcome:
            row.began(attempt, transfer.allowed.rank, now)
        row.unanswered.pop(attempt, None)
        row.unread_tokens -= attempt.unread_tokens
        attempt.unread_tokens = 0
        if not outcome:
            row.succeeded()
            return
        kind = outcome.partition(":")[0]
        if kind in ("not_connected", "misdirected"):
            row.unreachable(now)
            self._client.drop(row.instance)
        elif kind not in ("client gone", "timeout", "refused", "version"):
            row.failed()
        self._telemetry.event(
            "attempt.failed",
            id=transfer.meta.request_id,
            upstream=row.instance,
            reason=kind,
            detail=outcome,
            ms=round((now - attempt.started_at) * 1000),
        )

    def ended(self, transfer: Transfer, status: int, reason: str, ran: Ran | None) -> None:
        """The request has its final answer."""
        self._transfers.discard(transfer)
        now = self.now()
        received_at = transfer.request.received_at
        rank = transfer.allowed.rank
        first_at = transfer.first_event_at
        if first_at is not None:
            self._telemetry.observe("first_event", rank, first_at - received_at)
        self._telemetry.observe("end", rank, now - received_at)
        shortage = (
            attrs.asdict(self._chooser.shortage(transfer.wanted(), now))
            if reason == Reason.NO_UPSTREAM
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
            first_ms=None if first_at is None else round((first_at - received_at) * 1000),
            ms=round((now - received_at) * 1000),
            shortage=shortage,
        )

    def _budget(self, service: str) -> RetryBudget:
        promises = self._promises
        gateways = max(LEAST_GATEWAYS, self._gateways())
        burst = max(1.0, promises.retry_burst * BUDGET_SHARE / gateways)
        budget = self._budgets.get(service)
        if budget is None:
            share = promises.retry_ratio * BUDGET_SHARE
            budget = RetryBudget(share, BUDGET_FLOOR_PER_S, burst)
            self._budgets[service] = budget
        budget.set_capacity(burst)
        return budget
