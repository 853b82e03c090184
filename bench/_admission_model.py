"""Discrete-event model of one pool behind one queue, for comparing admission policies."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Iterator
from typing import Any, Protocol

import attrs

from fescuechute.admission import AdmissionPolicy, FairQueue, QueuedItem, RateEstimator

RANKS = (("urgent", 0.0), ("ordinary", 0.25), ("background", 0.05))
#: Seconds that a caller waits for the whole answer.
TIMEOUT_S = {"urgent": 3.0, "ordinary": 6.0, "background": 20.0}
#: Share of the capacity that each rank asks for in quiet times.
QUIET = {"urgent": 0.25, "ordinary": 0.4, "background": 0.1}
SLOTS = 32
#: Tokens a second of one slot.
SLOT_RATE = 600.0
CAPACITY = SLOTS * SLOT_RATE
#: Bound on the items of a queue, the same for every policy that has one.
MAX_ITEMS = 512
#: Workspaces and their parts of the traffic; a few are large.
WORKSPACES = {f"w{i}": part for i, part in enumerate((6, 4, 3, 1, 1, 1, 1, 1, 1, 1))}
#: Seconds: the flood begins, measuring begins, the run ends.
FLOOD_AT, MEASURE_AT, END_AT = 5.0, 10.0, 50.0


@attrs.frozen
class Job:
    """What the model knows of a request and the policy does not."""

    #: Tokens really used.
    tokens: float


@attrs.frozen
class Load:
    """Offered work, as shares of the capacity, by rank and workspace."""

    #: (rank, workspace, share of capacity, begins at)
    streams: tuple[tuple[str, str, float, float], ...]


def quiet_load() -> list[tuple[str, str, float, float]]:
    """Returns the streams of quiet times."""
    total = sum(WORKSPACES.values())
    return [
        (rank, workspace, share * part / total, 0.0)
        for rank, share in QUIET.items()
        for workspace, part in WORKSPACES.items()
    ]


def flood(rank: str, times: float) -> Load:
    """Returns quiet load plus a flood of one rank at a multiple of the whole capacity."""
    total = sum(WORKSPACES.values())
    extra = [
        (rank, workspace, times * part / total, FLOOD_AT) for workspace, part in WORKSPACES.items()
    ]
    return Load(tuple(quiet_load() + extra))


def large_workspace() -> Load:
    """Returns nine small workspaces at half the capacity and one at ten times their sum."""
    small = [("ordinary", f"w{i}", 0.5 / 9, 0.0) for i in range(1, 10)]
    return Load((*small, ("ordinary", "w0", 5.0, FLOOD_AT)))


class Policy(Protocol):
    """An admission policy with its queue."""

    def offer(self, item: QueuedItem, now: float) -> None:
        """A request arrives."""

    def next(self, now: float) -> QueuedItem | None:
        """A slot is free."""

    def done(self, item: QueuedItem, now: float, busy: bool) -> None:
        """A request ended; `busy` tells whether all slots were taken until now."""


class Unlimited:
    """No admission: everything waits in arrival order, for however long."""

    def __init__(self) -> None:
        self._items: deque[QueuedItem] = deque()

    def offer(self, item: QueuedItem, now: float) -> None:
        self._items.append(item)

    def next(self, now: float) -> QueuedItem | None:
        return self._items.popleft() if self._items else None

    def done(self, item: QueuedItem, now: float, busy: bool) -> None:
        pass


class StrictPriority(Unlimited):
    """A bounded queue for each rank, most urgent first; expired requests are dropped."""

    ranks = tuple(name for name, _ in RANKS)

    def __init__(self) -> None:
        self._queues: dict[str, deque[QueuedItem]] = {name: deque() for name in self.ranks}

    def offer(self, item: QueuedItem, now: float) -> None:
        queue = self._queues[self.queue_of(item)]
        if len(queue) < MAX_ITEMS:
            queue.append(item)

    def next(self, now: float) -> QueuedItem | None:
        for queue in self._queues.values():
            while queue:
                item = queue.popleft()
                if item.deadline > now:
                    return item
        return None

    def queue_of(self, item: QueuedItem) -> str:
        return item.rank


class OneQueue(StrictPriority):
    """One bounded queue in arrival order; expired requests are dropped."""

    ranks = ("all",)

    def queue_of(self, item: QueuedItem) -> str:
        return "all"


class FairOnly(Unlimited):
    """Protected shares and fair turns without early refusal."""

    def __init__(self) -> None:
        self._queue = FairQueue(RANKS, {}, max_items=MAX_ITEMS)

    def offer(self, item: QueuedItem, now: float) -> None:
        self._queue.push(item)

    def next(self, now: float) -> QueuedItem | None:
        self._queue.expire(now)
        return self._queue.pop(now, "p")


class Ours(FairOnly):
    """Protected shares, fair turns and early refusal by the measured rate and the run time."""

    knows_run_time = True

    def __init__(self) -> None:
        super().__init__()
        self._policy = AdmissionPolicy()
        self._rate = RateEstimator()

    def offer(self, item: QueuedItem, now: float) -> None:
        if self.knows_run_time:
            item = attrs.evolve(item, estimated_run_s=item.cost / SLOT_RATE)
        if self._policy.admit(item, self._queue, now, self._rate.rate(now)) is None:
            self._queue.push(item)

    def done(self, item: QueuedItem, now: float, busy: bool) -> None:
        self._rate.observe(now, item.cost, busy)
        self._queue.report_usage(item, item.payload.tokens)


class OursWithoutRunTime(Ours):
    """As `Ours`, with an owner that gives no expected run time."""

    knows_run_time = False


POLICIES = {
    "none": Unlimited,
    "one_queue": OneQueue,
    "strict_priority": StrictPriority,
    "fair_queue_only": FairOnly,
    "ours_without_run_time": OursWithoutRunTime,
    "ours": Ours,
}


def arrivals(load: Load, rng: random.Random) -> Iterator[tuple[float, QueuedItem]]:
    """Yields all arrivals in order of time."""
    streams = [
        _stream(index, *stream, random.Random(rng.random()))
        for index, stream in enumerate(load.streams)
    ]
    return heapq.merge(*streams, key=lambda arrival: arrival[0])


def _stream(
    index: int, rank: str, workspace: str, share: float, begin: float, rng: random.Random
) -> Iterator[tuple[float, QueuedItem]]:
    mean_tokens = 250 + 0.6 * 450
    rate = share * CAPACITY / mean_tokens
    now = begin
    for number in itertools.count():
        now += rng.expovariate(rate)
        if now > END_AT:
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
                Job(tokens),
                "p",
            ),
        )


@attrs.define
class Outcome:
    """What became of the measured requests."""

    offered: dict[tuple[str, str], int] = attrs.field(factory=dict)
    in_time: dict[tuple[str, str], int] = attrs.field(factory=dict)
    #: Tokens of answers in time, by rank, ended while measured.
    useful: dict[str, float] = attrs.field(factory=lambda: dict.fromkeys(QUIET, 0.0))

    def share_in_time(self, rank: str, without: str = "") -> float:
        """Returns the share of a rank's requests that were answered in time."""
        offered = sum(n for (r, w), n in self.offered.items() if r == rank and w != without)
        good = sum(n for (r, w), n in self.in_time.items() if r == rank and w != without)
        return good / offered if offered else float("nan")

    def useful_share(self, rank: str = "") -> float:
        """Returns the useful tokens of a rank, or of all, as a share of the capacity."""
        tokens = self.useful[rank] if rank else sum(self.useful.values())
        return tokens / (CAPACITY * (END_AT - MEASURE_AT))


def simulate(name: str, load: Load, seed: int) -> Outcome:
    """Runs one policy under a load."""
    policy: Policy = POLICIES[name]()
    outcome = Outcome()
    ends: list[tuple[float, int, QueuedItem]] = []
    number = itertools.count()
    source: Any = arrivals(load, random.Random(seed))
    upcoming = next(source, None)
    while upcoming or ends:
        if upcoming and (not ends or upcoming[0] <= ends[0][0]):
            now, item = upcoming
            if MEASURE_AT <= now < END_AT - TIMEOUT_S[item.rank]:
                key = (item.rank, item.workspace)
                outcome.offered[key] = outcome.offered.get(key, 0) + 1
            policy.offer(item, now)
            upcoming = next(source, None)
        else:
            now, _, item = heapq.heappop(ends)
            policy.done(item, now, len(ends) == SLOTS - 1)
            _account(outcome, item, now)
            if now > END_AT:
                return outcome
        while len(ends) < SLOTS and (started := policy.next(now)) is not None:
            run_s = started.payload.tokens / SLOT_RATE
            heapq.heappush(ends, (now + run_s, next(number), started))
    return outcome


def _account(outcome: Outcome, item: QueuedItem, now: float) -> None:
    if now > item.deadline:
        return
    if MEASURE_AT <= now < END_AT:
        outcome.useful[item.rank] += item.payload.tokens
    if MEASURE_AT <= item.enqueued_at < END_AT - TIMEOUT_S[item.rank]:
        key = (item.rank, item.workspace)
        outcome.in_time[key] = outcome.in_time.get(key, 0) + 1
