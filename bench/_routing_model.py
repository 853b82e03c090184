"""Discrete-event model of entries and uneven upstreams, for comparing routing policies."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

from bench._report import percentile
from fescuechute.routing import (
    Policy,
    Pool,
    RetryBudget,
    RouteRequest,
    UpstreamRow,
    backoff_at,
    choose,
)

ENTRIES = 8
#: Speeds of the upstreams; the slowest take two and a half times as long as the fastest.
SPEEDS = (1.0,) * 12 + (0.7,) * 8 + (0.4,) * 4
#: Slots alternate between these, so that equal counts do not mean equal load.
SLOTS = (8, 16)
#: Seconds of prompt processing at speed 1, without and with a warm prefix, and of each answer.
COLD_S, WARM_S, ANSWER_S = 0.12, 0.02, 1.0
#: Seconds after which a refusing agent may be asked again.
RETRY_S = 0.1
#: Popular prefixes, and how many of them an upstream's cache holds.
PREFIXES, CACHE = 200, 24
#: One-way delay between entry and agent in seconds.
HOP_S = 0.001
MAX_ATTEMPTS = 4
MEASURE_AT, END_AT = 5.0, 35.0


@attrs.frozen
class Scenario:
    """What differs between the runs."""

    #: Offered load as a share of the capacity with cold caches.
    load: float
    #: Seconds between reports, which also lag by half of that.
    report_every_s: float
    #: Whether prompts share prefixes.
    shared_prefixes: bool


@attrs.define(eq=False)
class _Request:
    entry: int
    prefix: int
    answer_s: float
    arrived_at: float
    attempts: int = 0
    excluded: frozenset[str] = frozenset()


@attrs.define(eq=False)
class _Upstream:
    name: str
    speed: float
    slots: int
    running: int = 0
    queue: deque[_Request] = attrs.field(factory=deque)
    cache: OrderedDict[int, None] = attrs.field(factory=OrderedDict)

    def prompt_s(self, prefix: int) -> float:
        """Returns the seconds of prompt processing and updates the cache."""
        warm = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHE:
            self.cache.popitem(last=False)
        return (WARM_S if warm else COLD_S) / self.speed


class RoutingModel:
    """One run of one policy."""

    def __init__(self, policy: Policy, scenario: Scenario, seed: int):
        self._policy, self._scenario = policy, scenario
        self._rng = random.Random(seed)
        self._choices = random.Random(seed + 1)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._number = itertools.count()
        self._upstreams = [
            _Upstream(f"a{i}", speed, SLOTS[i % 2]) for i, speed in enumerate(SPEEDS)
        ]
        self._rows = [Pool(map(self._row, self._upstreams)) for _ in range(ENTRIES)]
        self._waiting: list[deque[_Request]] = [deque() for _ in range(ENTRIES)]
        self._budgets = [RetryBudget() for _ in range(ENTRIES)]
        self._weights = [1.0 / (rank + 1) for rank in range(PREFIXES)]
        self._first_token_s: list[float] = []
        self._counts = dict.fromkeys(("requests", "attempts", "warm", "started", "failed"), 0)

    def run(self) -> dict[str, float]:
        """Returns the figures."""
        capacity = sum(up.slots * up.speed for up in self._upstreams) / (COLD_S + ANSWER_S)
        self._arrive_at(0.0, self._scenario.load * capacity)
        for up in self._upstreams:
            self._at(self._rng.uniform(0, self._scenario.report_every_s), self._report, up)
        now = 0.0
        while self._events and now < END_AT:
            now, _, act, arguments = heapq.heappop(self._events)
            act(now, *arguments)
        counts = self._counts
        return {
            "first token p50 s": percentile(self._first_token_s, 0.50),
            "first token p95 s": percentile(self._first_token_s, 0.95),
            "first token p99 s": percentile(self._first_token_s, 0.99),
            "attempts per request": counts["attempts"] / counts["requests"],
            "failed share": counts["failed"] / counts["requests"],
            "warm share": counts["warm"] / max(1, counts["started"]),
        }

    def _row(self, up: _Upstream) -> UpstreamRow:
        return UpstreamRow(up.name, "m", "r", "d", "live", up.slots, linked=True)

    def _at(self, when: float, act: Callable[..., None], *arguments) -> None:
        heapq.heappush(self._events, (when, next(self._number), act, arguments))

    def _arrive_at(self, now: float, rate: float) -> None:
        self._at(now + self._rng.expovariate(rate), self._arrive, rate)

    def _arrive(self, now: float, rate: float) -> None:
        self._arrive_at(now, rate)
        shared = self._scenario.shared_prefixes
        prefix = (
            self._rng.choices(range(PREFIXES), self._weights)[0] if shared else next(self._number)
        )
        answer_s = self._rng.expovariate(1 / ANSWER_S)
        req = _Request(self._rng.randrange(ENTRIES), prefix, answer_s, now)
        self._count("requests", req)
        self._budgets[req.entry].first_attempt()
        self._route(now, req)

    def _route(self, now: float, req: _Request) -> None:
        route = RouteRequest("m", "r", excluded=req.excluded, prefixes=(req.prefix,))
        row = choose(self._rows[req.entry], route, self._choices, self._policy, now)
        if row is None:
            self._waiting[req.entry].append(req)
            return
        self._rows[req.entry].sent(row, now, (req.prefix,))
        req.attempts += 1
        self._count("attempts", req)
        self._at(now + HOP_S, self._reach, req, self._upstreams[int(row.agent_id[1:])], row)

    def _reach(self, now: float, req: _Request, up: _Upstream, row: UpstreamRow) -> None:
        if up.running < up.slots:
            self._start(now, req, up, row)
        elif len(up.queue) < max(1, up.slots // 4):
            up.queue.append((req, row))
        else:
            self._at(now + HOP_S, self._refused, req, row)

    def _start(self, now: float, req: _Request, up: _Upstream, row: UpstreamRow) -> None:
        up.running += 1
        before = req.prefix in up.cache
        prompt_s = up.prompt_s(req.prefix)
        self._count("started", req)
        if before:
            self._count("warm", req)
        if req.arrived_at >= MEASURE_AT:
            self._first_token_s.append(now + prompt_s + HOP_S - req.arrived_at)
        self._at(now + prompt_s + req.answer_s / up.speed, self._end, req, up, row)

    def _end(self, now: float, req: _Request, up: _Upstream, row: UpstreamRow) -> None:
        up.running -= 1
        if up.queue:
            self._start(now, *_swap(up.queue.popleft(), up))
        self._at(now + HOP_S, self._ended, req.entry, row)

    def _ended(self, now: float, entry: int, row: UpstreamRow) -> None:
        row.ended()
        if self._waiting[entry]:
            self._route(now, self._waiting[entry].popleft())

    def _refused(self, now: float, req: _Request, row: UpstreamRow) -> None:
        row.refused(now, now + RETRY_S)
        req.excluded |= {row.agent_id}
        if req.attempts >= MAX_ATTEMPTS or not self._budgets[req.entry].try_spend(now):
            self._count("failed", req)
            return
        self._at(backoff_at(req.attempts, now, self._choices), self._route, req)

    def _report(self, now: float, up: _Upstream) -> None:
        every = self._scenario.report_every_s
        self._at(now + every, self._report, up)
        self._at(now + every / 2, self._reported, up, up.running, len(up.queue))

    def _reported(self, now: float, up: _Upstream, running: int, queued: int) -> None:
        for entry in range(ENTRIES):
            row = self._rows[entry].get(up.name)
            row.report("live", running, queued, up.slots, now)
            while self._waiting[entry]:
                before = len(self._waiting[entry])
                self._route(now, self._waiting[entry].popleft())
                if len(self._waiting[entry]) == before:
                    break

    def _count(self, name: str, req: _Request) -> None:
        if req.arrived_at >= MEASURE_AT:
            self._counts[name] += 1


def _swap(waiting, up: _Upstream):
    req, row = waiting
    return req, up, row
