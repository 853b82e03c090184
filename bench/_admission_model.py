"""Discrete-event simulation of one pool behind one queue, to compare admission policies."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Iterator
from typing import Any, Protocol

import attrs

from fescuechute.admission import AdmissionPolicy, FairQueue, QueuedItem, RateEstimator

#: Ranks with their protected shares of the capacity, in order of priority.
RANKS = (("urgent", 0.0), ("ordinary", 0.25), ("background", 0.05))
#: Time from the arrival of a request to its deadline in seconds, by rank.
TIMEOUT_S = {"urgent": 3.0, "ordinary": 6.0, "background": 20.0}
#: Offered load of each rank without a flood, as a share of the capacity.
QUIET_LOAD = {"urgent": 0.25, "ordinary": 0.4, "background": 0.1}
SLOTS = 32
#: Tokens per second that one slot processes.
SLOT_TOKENS_PER_S = 600.0
CAPACITY_TOKENS_PER_S = SLOTS * SLOT_TOKENS_PER_S
#: Maximum queue length, equal for all policies with bounded queues so that they are comparable.
MAX_QUEUED_ITEMS = 512
#: Relative traffic of each workspace; a few are large.
WORKSPACE_WEIGHTS = {f"w{i}": weight for i, weight in enumerate((6, 4, 3, 1, 1, 1, 1, 1, 1, 1))}
#: Simulated seconds at which the flood starts, the measurement starts and the run ends.
FLOOD_START_S, MEASURE_START_S, END_S = 5.0, 10.0, 50.0


@attrs.frozen
class ActualUsage:
    """Token usage of a request, which the policy cannot see before completion."""

    #: Prompt tokens plus generated tokens.
    tokens: float


@attrs.frozen
class OfferedLoad:
    """Offered load, as shares of the capacity, by rank and workspace."""

    #: (rank, workspace, share of the capacity, start in simulated seconds).
    streams: tuple[tuple[str, str, float, float], ...]


def quiet_streams() -> list[tuple[str, str, float, float]]:
    """Returns the arrival streams without a flood."""
    total_weight = sum(WORKSPACE_WEIGHTS.values())
    return [
        (rank, workspace, share * weight / total_weight, 0.0)
        for rank, share in QUIET_LOAD.items()
        for workspace, weight in WORKSPACE_WEIGHTS.items()
    ]


def flood_load(rank: str, capacity_multiple: float) -> OfferedLoad:
    """Returns the quiet load plus a flood of one rank at a multiple of the total capacity."""
    total_weight = sum(WORKSPACE_WEIGHTS.values())
    flood_streams = [
        (rank, workspace, capacity_multiple * weight / total_weight, FLOOD_START_S)
        for workspace, weight in WORKSPACE_WEIGHTS.items()
    ]
    return OfferedLoad(tuple(quiet_streams() + flood_streams))


def large_workspace_load() -> OfferedLoad:
    """Returns nine small workspaces at half the capacity in total and one at ten times that."""
    small_streams = [("ordinary", f"w{i}", 0.5 / 9, 0.0) for i in range(1, 10)]
    return OfferedLoad((*small_streams, ("ordinary", "w0", 5.0, FLOOD_START_S)))


class Policy(Protocol):
    """Interface of an admission policy and its queue."""

    def offer(self, item: QueuedItem, now: float) -> None:
        """Enqueues or refuses an arriving request."""

    def dequeue(self, now: float) -> QueuedItem | None:
        """Returns the next request for a free slot, or None if no request is queued."""

    def completed(self, item: QueuedItem, now: float, all_slots_busy: bool) -> None:
        """Records a completed request; `all_slots_busy` is the state just before its completion."""


class UnboundedFifo:
    """No admission control: one unbounded queue in arrival order, without expiry."""

    def __init__(self) -> None:
        self._items: deque[QueuedItem] = deque()

    def offer(self, item: QueuedItem, now: float) -> None:
        self._items.append(item)

    def dequeue(self, now: float) -> QueuedItem | None:
        return self._items.popleft() if self._items else None

    def completed(self, item: QueuedItem, now: float, all_slots_busy: bool) -> None:
        pass


class StrictPriority(UnboundedFifo):
    """One bounded queue per rank, served in strict priority order; drops expired requests."""

    ranks = tuple(name for name, _ in RANKS)

    def __init__(self) -> None:
        self._queues: dict[str, deque[QueuedItem]] = {name: deque() for name in self.ranks}

    def offer(self, item: QueuedItem, now: float) -> None:
        queue = self._queues[self.queue_name(item)]
        if len(queue) < MAX_QUEUED_ITEMS:
            queue.append(item)

    def dequeue(self, now: float) -> QueuedItem | None:
        for queue in self._queues.values():
            while queue:
                item = queue.popleft()
                if item.deadline > now:
                    return item
        return None

    def queue_name(self, item: QueuedItem) -> str:
        return item.rank


class SingleQueue(StrictPriority):
    """One bounded queue in arrival order; drops expired requests."""

    ranks = ("all",)

    def queue_name(self, item: QueuedItem) -> str:
        return "all"


class FairQueueOnly(UnboundedFifo):
    """Protected shares and fair queueing without early refusal."""

    def __init__(self) -> None:
        self._queue = FairQueue(RANKS, {}, max_items=MAX_QUEUED_ITEMS)

    def offer(self, item: QueuedItem, now: float) -> None:
        self._queue.push(item)

    def dequeue(self, now: float) -> QueuedItem | None:
        self._queue.expire(now)
        return self._queue.pop(now, "p")


class FairQueueWithRefusal(FairQueueOnly):
    """Protected shares, fair queueing and early refusal by estimated service rate and run time."""

    uses_run_time = True

    def __init__(self) -> None:
        super().__init__()
        self._policy = AdmissionPolicy()
        self._rate = RateEstimator()

    def offer(self, item: QueuedItem, now: float) -> None:
        if self.uses_run_time:
            item = attrs.evolve(item, estimated_run_s=item.cost / SLOT_TOKENS_PER_S)
        if self._policy.admit(item, self._queue, now, self._rate.rate(now)) is None:
            self._queue.push(item)

    def completed(self, item: QueuedItem, now: float, all_slots_busy: bool) -> None:
        self._rate.observe(now, item.cost, all_slots_busy)
        self._queue.report_usage(item, item.payload.tokens)


class RefusalWithoutRunTime(FairQueueWithRefusal):
    """Like `FairQueueWithRefusal`, but without an estimate of each request's run time."""

    uses_run_time = False


POLICIES = {
    "none": UnboundedFifo,
    "one_queue": SingleQueue,
    "strict_priority": StrictPriority,
    "fair_queue_only": FairQueueOnly,
    "ours_without_run_time": RefusalWithoutRunTime,
    "ours": FairQueueWithRefusal,
}


def arrivals(load: OfferedLoad, rng: random.Random) -> Iterator[tuple[float, QueuedItem]]:
    """Returns an iterator over all arrivals as (time, request), ordered by time."""
    streams = [
        _stream_arrivals(index, *stream, random.Random(rng.random()))
        for index, stream in enumerate(load.streams)
    ]
    return heapq.merge(*streams, key=lambda arrival: arrival[0])


def _stream_arrivals(
    index: int, rank: str, workspace: str, share: float, start_s: float, rng: random.Random
) -> Iterator[tuple[float, QueuedItem]]:
    # Mean prompt, plus the mean token limit times the mean fraction of it that is used.
    mean_tokens = 250 + 0.6 * 450
    rate = share * CAPACITY_TOKENS_PER_S / mean_tokens
    now = start_s
    for number in itertools.count():
        now += rng.expovariate(rate)
        if now > END_S:
            return
        prompt, max_tokens = rng.uniform(100, 400), rng.uniform(100, 800)
        tokens = prompt + max_tokens * rng.uniform(0.2, 1.0)
        yield (
            now,
            QueuedItem(
                f"{index}/{number}",
                rank,
                workspace,
                prompt + max_tokens,
                now,
                now + TIMEOUT_S[rank],
                ActualUsage(tokens),
                "p",
            ),
        )


@attrs.define
class SimulationResult:
    """Counts of the requests in the measurement window."""

    offered: dict[tuple[str, str], int] = attrs.field(factory=dict)
    in_time: dict[tuple[str, str], int] = attrs.field(factory=dict)
    #: Tokens of the answers that completed in time within the measurement window, by rank.
    goodput_tokens: dict[str, float] = attrs.field(factory=lambda: dict.fromkeys(QUIET_LOAD, 0.0))

    def share_in_time(self, rank: str, excluded_workspace: str = "") -> float:
        """Returns the share of a rank's requests that completed before their deadline."""
        offered = sum(
            n for (r, w), n in self.offered.items() if r == rank and w != excluded_workspace
        )
        answered_in_time = sum(
            n for (r, w), n in self.in_time.items() if r == rank and w != excluded_workspace
        )
        return answered_in_time / offered if offered else float("nan")

    def goodput_share(self, rank: str = "") -> float:
        """Returns the goodput of a rank, or of all ranks, as a share of the capacity."""
        tokens = self.goodput_tokens[rank] if rank else sum(self.goodput_tokens.values())
        return tokens / (CAPACITY_TOKENS_PER_S * (END_S - MEASURE_START_S))


def simulate(policy_name: str, load: OfferedLoad, seed: int) -> SimulationResult:
    """Simulates one policy under a load."""
    policy: Policy = POLICIES[policy_name]()
    result = SimulationResult()
    completions: list[tuple[float, int, QueuedItem]] = []
    sequence = itertools.count()
    arrival_iterator: Any = arrivals(load, random.Random(seed))
    next_arrival = next(arrival_iterator, None)
    while next_arrival or completions:
        if next_arrival and (not completions or next_arrival[0] <= completions[0][0]):
            now, item = next_arrival
            if MEASURE_START_S <= now < END_S - TIMEOUT_S[item.rank]:
                key = (item.rank, item.workspace)
                result.offered[key] = result.offered.get(key, 0) + 1
            policy.offer(item, now)
            next_arrival = next(arrival_iterator, None)
        else:
            now, _, item = heapq.heappop(completions)
            policy.completed(item, now, len(completions) == SLOTS - 1)
            _record_completion(result, item, now)
            if now > END_S:
                return result
        while len(completions) < SLOTS and (dequeued := policy.dequeue(now)) is not None:
            run_s = dequeued.payload.tokens / SLOT_TOKENS_PER_S
            heapq.heappush(completions, (now + run_s, next(sequence), dequeued))
    return result


def _record_completion(result: SimulationResult, item: QueuedItem, now: float) -> None:
    if now > item.deadline:
        return
    if MEASURE_START_S <= now < END_S:
        result.goodput_tokens[item.rank] += item.payload.tokens
    if MEASURE_START_S <= item.enqueued_at < END_S - TIMEOUT_S[item.rank]:
        key = (item.rank, item.workspace)
        result.in_time[key] = result.in_time.get(key, 0) + 1
