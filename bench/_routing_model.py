"""Discrete-event simulation of entries and heterogeneous upstreams, to compare routing policies."""

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
    choose,
    next_attempt_at,
)

ENTRIES = 8
#: Relative speed of each upstream; the slowest take 2.5 times as long as the fastest.
SPEEDS = (1.0,) * 12 + (0.7,) * 8 + (0.4,) * 4
#: Slots of even and odd upstreams. They differ so that equal request counts are not equal load.
SLOTS = (8, 16)
#: Seconds at speed 1 of prompt processing without and with a cached prefix, and of the mean answer.
COLD_PROMPT_S, WARM_PROMPT_S, MEAN_ANSWER_S = 0.12, 0.02, 1.0
#: Seconds that an entry waits before it sends to an agent again after a refusal.
RETRY_AFTER_S = 0.1
#: Number of shared prefixes, and how many of them the cache of an upstream holds.
PREFIX_COUNT, CACHED_PREFIXES = 200, 24
#: One-way network delay between entry and agent in seconds.
ONE_WAY_DELAY_S = 0.001
MAX_ATTEMPTS = 4
#: Simulated seconds at which the measurement starts and the run ends.
MEASURE_START_S, END_S = 5.0, 35.0


@attrs.frozen
class RoutingScenario:
    """Parameters of one simulated scenario."""

    #: Offered load as a share of the capacity with empty caches.
    load: float
    #: Seconds between the load reports of an upstream. They arrive half an interval late.
    report_interval_s: float
    #: Whether prompts use a fixed set of prefixes; otherwise every prompt has its own.
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
        """Returns the seconds of prompt processing and adds the prefix to the LRU cache."""
        warm = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return (WARM_PROMPT_S if warm else COLD_PROMPT_S) / self.speed


class RoutingModel:
    """Simulates one routing policy in one scenario."""

    def __init__(self, policy: Policy, scenario: RoutingScenario, seed: int):
        self._policy, self._scenario = policy, scenario
        self._rng = random.Random(seed)
        self._policy_rng = random.Random(seed + 1)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = itertools.count()
        self._upstreams = [
            _Upstream(f"a{i}", speed, SLOTS[i % 2]) for i, speed in enumerate(SPEEDS)
        ]
        self._pools = [Pool(map(self._upstream_row, self._upstreams)) for _ in range(ENTRIES)]
        self._waiting: list[deque[_Request]] = [deque() for _ in range(ENTRIES)]
        self._retry_budgets = [RetryBudget() for _ in range(ENTRIES)]
        self._prefix_weights = [1.0 / (rank + 1) for rank in range(PREFIX_COUNT)]
        self._first_token_s: list[float] = []
        self._counts = dict.fromkeys(("requests", "attempts", "warm", "started", "failed"), 0)

    def run(self) -> dict[str, float]:
        """Runs the simulation and returns its figures."""
        capacity = sum(upstream.slots * upstream.speed for upstream in self._upstreams) / (
            COLD_PROMPT_S + MEAN_ANSWER_S
        )
        self._schedule_arrival(0.0, self._scenario.load * capacity)
        for upstream in self._upstreams:
            self._schedule(
                self._rng.uniform(0, self._scenario.report_interval_s), self._send_report, upstream
            )
        now = 0.0
        while self._events and now < END_S:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        counts = self._counts
        return {
            "first token p50 s": percentile(self._first_token_s, 0.50),
            "first token p95 s": percentile(self._first_token_s, 0.95),
            "first token p99 s": percentile(self._first_token_s, 0.99),
            "attempts per request": counts["attempts"] / counts["requests"],
            "failed share": counts["failed"] / counts["requests"],
            "warm share": counts["warm"] / max(1, counts["started"]),
        }

    def _upstream_row(self, upstream: _Upstream) -> UpstreamRow:
        return UpstreamRow(upstream.name, "m", "r", "d", "live", upstream.slots, linked=True)

    def _schedule(self, at_s: float, action: Callable[..., None], *arguments) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action, arguments))

    def _schedule_arrival(self, now: float, rate: float) -> None:
        self._schedule(now + self._rng.expovariate(rate), self._on_arrival, rate)

    def _on_arrival(self, now: float, rate: float) -> None:
        self._schedule_arrival(now, rate)
        shared_prefixes = self._scenario.shared_prefixes
        prefix = (
            self._rng.choices(range(PREFIX_COUNT), self._prefix_weights)[0]
            if shared_prefixes
            else next(self._sequence)
        )
        answer_s = self._rng.expovariate(1 / MEAN_ANSWER_S)
        req = _Request(self._rng.randrange(ENTRIES), prefix, answer_s, now)
        self._count("requests", req)
        self._retry_budgets[req.entry].record_first_attempt()
        self._route(now, req)

    def _route(self, now: float, req: _Request) -> None:
        route = RouteRequest("m", "r", excluded=req.excluded, prefixes=(req.prefix,))
        row = choose(self._pools[req.entry], route, self._policy_rng, self._policy, now)
        if row is None:
            self._waiting[req.entry].append(req)
            return
        self._pools[req.entry].record_sent(row, now, (req.prefix,))
        req.attempts += 1
        self._count("attempts", req)
        self._schedule(
            now + ONE_WAY_DELAY_S,
            self._on_request_at_agent,
            req,
            self._upstreams[int(row.agent_id[1:])],
            row,
        )

    def _on_request_at_agent(
        self, now: float, req: _Request, upstream: _Upstream, row: UpstreamRow
    ) -> None:
        if upstream.running < upstream.slots:
            self._start(now, req, upstream, row)
        elif len(upstream.queue) < max(1, upstream.slots // 4):
            upstream.queue.append((req, row))
        else:
            self._schedule(now + ONE_WAY_DELAY_S, self._on_refusal_at_entry, req, row)

    def _start(self, now: float, req: _Request, upstream: _Upstream, row: UpstreamRow) -> None:
        upstream.running += 1
        warm = req.prefix in upstream.cache
        prompt_s = upstream.prompt_s(req.prefix)
        self._count("started", req)
        if warm:
            self._count("warm", req)
        if req.arrived_at >= MEASURE_START_S:
            self._first_token_s.append(now + prompt_s + ONE_WAY_DELAY_S - req.arrived_at)
        self._schedule(
            now + prompt_s + req.answer_s / upstream.speed, self._finish, req, upstream, row
        )

    def _finish(self, now: float, req: _Request, upstream: _Upstream, row: UpstreamRow) -> None:
        upstream.running -= 1
        if upstream.queue:
            self._start(now, *_with_upstream(upstream.queue.popleft(), upstream))
        self._schedule(now + ONE_WAY_DELAY_S, self._on_completion_at_entry, req.entry, row)

    def _on_completion_at_entry(self, now: float, entry: int, row: UpstreamRow) -> None:
        row.record_end()
        if self._waiting[entry]:
            self._route(now, self._waiting[entry].popleft())

    def _on_refusal_at_entry(self, now: float, req: _Request, row: UpstreamRow) -> None:
        row.record_refusal(now, now + RETRY_AFTER_S)
        req.excluded |= {row.agent_id}
        if req.attempts >= MAX_ATTEMPTS or not self._retry_budgets[req.entry].try_spend(now):
            self._count("failed", req)
            return
        self._schedule(next_attempt_at(req.attempts, now, self._policy_rng), self._route, req)

    def _send_report(self, now: float, upstream: _Upstream) -> None:
        interval_s = self._scenario.report_interval_s
        self._schedule(now + interval_s, self._send_report, upstream)
        self._schedule(
            now + interval_s / 2,
            self._on_report_at_entries,
            upstream,
            upstream.running,
            len(upstream.queue),
        )

    def _on_report_at_entries(
        self, now: float, upstream: _Upstream, running: int, queued: int
    ) -> None:
        for entry in range(ENTRIES):
            row = self._pools[entry].get(upstream.name)
            row.apply_report("live", running, queued, upstream.slots, now)
            while self._waiting[entry]:
                waiting_before = len(self._waiting[entry])
                self._route(now, self._waiting[entry].popleft())
                if len(self._waiting[entry]) == waiting_before:
                    break

    def _count(self, name: str, req: _Request) -> None:
        if req.arrived_at >= MEASURE_START_S:
            self._counts[name] += 1


def _with_upstream(queued_request, upstream: _Upstream):
    req, row = queued_request
    return req, upstream, row
