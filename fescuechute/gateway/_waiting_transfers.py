"""The transfers of a gateway that wait for a place at an engine."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from fescuechute.gateway._choice import Chooser
from fescuechute.gateway._latency_model import loaded_first_event_s, mean_service_time_s
from fescuechute.gateway._transfer import MIN_TIME_LEFT_S, Transfer
from fescuechute.gateway._waiting import WaitingRequest, WaitingRequests
from fescuechute.telemetry import Telemetry

#: Seconds for which the number of places that become free is used again.
RATE_TTL_S = 0.1
#: Seconds between two looks for models and workspaces that may be forgotten.
FORGET_INTERVAL_S = 2.0


@attrs.define
class _Queue:
    """What waits for one model of a service."""

    waiting: WaitingRequests[Transfer] = attrs.field(factory=WaitingRequests)
    places_per_s: float = 0.0
    rate_expires_at: float = 0.0


class WaitingTransfers:
    """Holds transfers back until an engine has a place, or until none is predicted in time.

    Args:
      chooser: Chooses the replicas.
      telemetry: Counts what waits.
      now: Returns the current time in unix seconds.
    """

    def __init__(self, chooser: Chooser, telemetry: Telemetry, now: Callable[[], float]):
        self._chooser = chooser
        self._telemetry = telemetry
        self._now = now
        self._queues: dict[tuple[str, str], _Queue] = {}
        self._forget_at = 0.0
        self._items: dict[Transfer, WaitingRequest[Transfer]] = {}

    @property
    def models(self) -> int:
        """Number of models for which requests wait or have waited lately."""
        return len(self._queues)

    def record_arrival(self, transfer: Transfer) -> None:
        """Records that a request arrived, for the predictions."""
        queue = self._queues.get(_key(transfer))
        if queue is not None:
            queue.waiting.record_arrival(_group(transfer), self._now())

    def is_preceded(self, transfer: Transfer) -> bool:
        """Returns whether requests as urgent or more wait for the same model."""
        queue = self._queues.get(_key(transfer))
        return queue is not None and queue.waiting.precedes(_group(transfer))

    def record_overtaking(self, transfer: Transfer) -> None:
        """Records that a request starts at once, maybe while less urgent ones wait."""
        queue = self._queues.get(_key(transfer))
        if queue is not None:
            queue.waiting.record_overtaking(_group(transfer), self._now())

    def add(self, transfer: Transfer) -> bool:
        """Lets a transfer wait; returns False if no place is predicted to be free in time."""
        now = self._now()
        queue = self._queues.get(_key(transfer)) or _Queue()
        places_per_s = self._places_per_s(queue, transfer, now)
        if places_per_s <= 0:
            # Clients choose the names of models, so nothing is kept for one that no engine runs.
            self._telemetry.count("wait", "refused")
            return False
        self._queues[_key(transfer)] = queue
        item = _waiting_request(transfer)
        predicted_s = queue.waiting.predicted_s(item, now, places_per_s)
        item = item.held_briefly(now, predicted_s)
        if not queue.waiting.push(item, now, places_per_s):
            self._telemetry.count("wait", "refused")
            return False
        transfer.record_wait(now, predicted_s, len(queue.waiting))
        self._items[transfer] = item
        return True

    def remove(self, transfer: Transfer) -> None:
        """Forgets a transfer that has ended."""
        item = self._items.pop(transfer, None)
        if item is not None:
            self._queues[_key(transfer)].waiting.remove(item)

    def tick(self, now: float) -> None:
        """Starts the transfers for which there is a place, and refuses those that are out of time."""
        self._forget_idle(now)
        for queue in list(self._queues.values()):
            first = queue.waiting.first()
            if first is None:
                continue
            self._places_per_s(queue, first.key, now)
            self._start(queue, now)
            for item in queue.waiting.expire(now, queue.places_per_s):
                self._telemetry.count("wait", "expired")
                self._items.pop(item.key, None)
                item.key.refuse_waiting()

    def _forget_idle(self, now: float) -> None:
        """Forgets models that are asked for no more; clients choose their names."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL_S
        for key in [key for key, queue in self._queues.items() if queue.waiting.forget_idle(now)]:
            del self._queues[key]

    def _start(self, queue: _Queue, now: float) -> None:
        full: set[object] = set()

        def may_start(item: WaitingRequest[Transfer]) -> bool:
            return not full or _condition(item) not in full

        while (item := queue.waiting.peek(now, queue.places_per_s, may_start)) is not None:
            transfer = item.key
            requirements = transfer.requirements()
            choice = self._chooser.choose(requirements, now)
            if choice is None:
                # Others may be sent where this one may not, as more urgent ones may fill an engine more.
                full.add(_condition(item))
                continue
            queue.waiting.pop(item, now)
            self._items.pop(transfer, None)
            self._telemetry.count("wait", "started")
            transfer.start_waiting(choice)

    def _places_per_s(self, queue: _Queue, transfer: Transfer, now: float) -> float:
        requirements = transfer.requirements()
        if now >= queue.rate_expires_at:
            every = attrs.evolve(requirements, excluded=frozenset(), regions=None)
            queue.places_per_s = self._chooser.places_per_s(every, now)
            queue.rate_expires_at = now + RATE_TTL_S
        if requirements.excluded or requirements.regions is not None:
            return self._chooser.places_per_s(requirements, now)
        return queue.places_per_s


def _condition(item: WaitingRequest[Transfer]) -> tuple[object, ...]:
    """Returns what decides, besides the loads, whether a request may be sent now."""
    requirements = item.key.requirements()
    return item.group, requirements.excluded, requirements.regions


def _key(transfer: Transfer) -> tuple[str, str]:
    return transfer.service.name, transfer.meta.model


def _group(transfer: Transfer) -> tuple[int, int]:
    return transfer.allowed.rank, transfer.allowed.route_rank


def _waiting_request(transfer: Transfer) -> WaitingRequest[Transfer]:
    allowed, profile = transfer.allowed, transfer.service.engine
    assert profile is not None
    arrived_at = transfer.request.received_at
    first_s = loaded_first_event_s(profile, transfer.meta.prompt_tokens)
    give_up_at = arrived_at + allowed.route.target_latency_s - first_s
    # A client that came back after a refusal has less time left than its route gives.
    client_s = transfer.meta.client_timeout_s
    spent_s = 0.0 if client_s is None else max(0.0, allowed.route.timeout_s - client_s)
    return WaitingRequest(
        transfer,
        *_group(transfer),
        allowed.workspace or "",
        mean_service_time_s(profile),
        arrived_at,
        give_up_at - spent_s,
        min(give_up_at, transfer.deadline - MIN_TIME_LEFT_S),
    )
