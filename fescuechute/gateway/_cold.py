"""Limit on the requests to replicas that are cold; see docs/design/cold-replicas.md.

Load pattern: a third of the replicas returns empty and cold into a burst. All gateways see the same
empty replicas at the same time, and each alone would fill them.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from functools import lru_cache

import attrs

from fescuechute.catalog import Service
from fescuechute.gateway._upstreams import UpstreamRow
from fescuechute.membership import score
from fescuechute.settings import ServiceLevels

#: Seconds in which the requests to a cold replica are limited, and by which requests may be delayed
#: on their way, so that those of more than one second arrive in one.
LIMIT_S = 1.0
ARRIVAL_SPREAD_S = 0.1
WINDOW_S = LIMIT_S + ARRIVAL_SPREAD_S
#: Gateways that may be running for each one that is counted: in a partition each side counts itself.
GATEWAYS_PER_COUNTED = 2
#: Seconds for which the highest count holds. In a partition the count falls while all of them run.
COUNT_MEMORY_S = 60.0
#: Seconds after the first count until which it is not complete: gateways and stagers that start
#: together count each other up within one interval of greetings.
COUNT_SETTLE_S = 1.5
#: Gateways presumed while a count is to come, and seconds for which it is waited for; those presumed
#: afterwards, if there are no stagers that count them.
GATEWAYS_BEFORE_COUNT = 560
COUNT_WAIT_S = 3.0
GATEWAYS_WITHOUT_COUNT = 64
#: Share of the limit for the gateways in the region of the replica; the others have the rest.
REGION_SHARE = 0.85
#: Highest probability that the requests drawn by lot exceed the limit of a replica.
EXCESS_PROBABILITY = 1e-6
#: After the cold time the limit doubles in each of these steps, which take the cold time together.
SLOW_START_STEPS = 3
#: Cold time in seconds for the steps of a service whose replicas are cold only when they say so.
SLOW_START_MIN_S = 1.0
#: Seconds between two removals of accounts of replicas without requests.
SWEEP_INTERVAL_S = 10.0


@attrs.frozen
class Share:
    """Requests that a gateway may send to a replica in each window."""

    #: Requests of each gateway.
    whole: int
    #: Probability that a gateway may send one more.
    extra: float


@lru_cache(maxsize=256)
def share(limit: int, gateways: int) -> Share:
    """Returns the share of each gateway so that up to `gateways` stay within a limit together.

    The extra requests stay within what the whole ones leave, except with `EXCESS_PROBABILITY`.
    """
    whole, rest = divmod(limit, gateways)
    # Chernoff bound on the number of gateways that draw an extra request.
    bound = math.log(1 / EXCESS_PROBABILITY) / gateways
    excess = (rest + 1) / gateways
    low, high = 0.0, excess
    for _ in range(40):
        middle = (low + high) / 2
        low, high = (middle, high) if _divergence(excess, middle) >= bound else (low, middle)
    return Share(whole, low)


def _divergence(share_: float, probability: float) -> float:
    """Returns the relative entropy of two probabilities in nats."""
    if probability <= 0.0:
        return math.inf
    divergence = share_ * math.log(share_ / probability)
    if share_ < 1.0:
        divergence += (1 - share_) * math.log((1 - share_) / (1 - probability))
    return divergence


class GatewayCounts:
    """Number of gateways presumed running, which falls late.

    Args:
      started_at: Unix seconds at which this gateway started.
    """

    def __init__(self, started_at: float):
        self._started_at = started_at
        self._first_at: float | None = None
        #: Highest counts of the current and of the previous period, and the start of the current one.
        self._highest = self._previous = 0
        self._period_at = started_at

    def observe(self, count: int, now: float) -> None:
        """Records the present count, 0 if there is none."""
        if count <= 0:
            return
        if self._first_at is None:
            self._first_at = self._period_at = now
        if now >= self._period_at + COUNT_MEMORY_S:
            self._previous, self._highest, self._period_at = self._highest, 0, now
        self._highest = max(self._highest, count)

    def presumed(self, now: float) -> int:
        """Returns the number of gateways that may be running."""
        presumed = GATEWAYS_PER_COUNTED * max(self._highest, self._previous)
        if self._first_at is None:
            is_awaited = now < self._started_at + COUNT_WAIT_S
            return GATEWAYS_BEFORE_COUNT if is_awaited else GATEWAYS_WITHOUT_COUNT
        if now < self._first_at + COUNT_SETTLE_S:
            return max(presumed, GATEWAYS_BEFORE_COUNT)
        return presumed


@attrs.define
class _Account:
    """Requests that this gateway has sent to one replica."""

    #: Unix seconds of those in the window, oldest first.
    sent_at: deque[float] = attrs.field(factory=deque)
    #: Unix seconds until which the replica is cold as far as reported.
    reported_until: float = float("-inf")
    #: Source of that.
    source: str = ""

    def in_window(self, now: float) -> int:
        """Returns the requests sent in the window that ends now."""
        while self.sent_at and self.sent_at[0] <= now - WINDOW_S:
            self.sent_at.popleft()
        return len(self.sent_at)


class ColdStart:
    """Decides whether a gateway may send another request to a replica that may be cold.

    Each gateway keeps to a share of its own, so that the sum over all gateways stays within the limit
    in each window without a message between them. Shares below one request are given by lot, drawn by
    a hash of the gateway and the replica, which holds for as long as the replica is cold.

    Args:
      process_id: Process id of the gateway.
      region: Region of the gateway.
      service_levels: Limit on the requests to a cold replica.
      gateway_count: Returns the number of gateways as counted by stagers, 0 without a count.
      region_gateway_count: Returns the number of gateways of the region, including this one.
      evacuation_ended_at: Returns the unix seconds at which the last evacuation of a data centre
        ended, minus infinity before the first.
      started_at: Unix seconds at which this gateway started.
      on_cold: Called with a replica, the source and unix seconds when it is first known to be cold
        until then, or another source prolongs the time.
      on_held_back: Called when a request is kept from at least one cold replica.
    """

    def __init__(
        self,
        process_id: str,
        region: str,
        service_levels: ServiceLevels,
        gateway_count: Callable[[], int],
        region_gateway_count: Callable[[], int],
        evacuation_ended_at: Callable[[str], float] = lambda _data_centre: float("-inf"),
        started_at: float = float("-inf"),
        on_cold: Callable[[UpstreamRow, str, float], None] = lambda _row, _source, _until: None,
        on_held_back: Callable[[], None] = lambda: None,
    ):
        self._process_id = process_id
        self._region = region
        self._service_levels = service_levels
        self._gateway_count = gateway_count
        self._region_gateway_count = region_gateway_count
        self._evacuation_ended_at = evacuation_ended_at
        self._counts = GatewayCounts(started_at)
        self._region_counts = GatewayCounts(started_at)
        self._on_cold = on_cold
        self.on_held_back = on_held_back
        self._accounts: dict[str, _Account] = {}
        self._swept_at = float("-inf")

    def tick(self, now: float) -> None:
        """Reads the numbers of gateways."""
        count = self._gateway_count()
        self._counts.observe(count, now)
        # Without stagers, the gateways of the region do not know each other either.
        self._region_counts.observe(self._region_gateway_count() if count else 0, now)

    def cold_until(self, row: UpstreamRow, service: Service) -> tuple[float, str]:
        """Returns the unix seconds until which a replica counts as cold, and the source of that."""
        # Evaluated for each candidate of each request, so without a table of the sources.
        cold_s, entry = service.cold_s, row.entry
        since, source = row.restarted_at, "restart"
        if row.unreachable_at > since and not row.is_known_to_run_on:
            since, source = row.unreachable_at, "unreachable"
        ended_at = self._evacuation_ended_at(entry.data_centre)
        if ended_at > since:
            since, source = ended_at, "evacuation"
        if row.first_seen_at > since and (
            not entry.born_ms or row.first_seen_at < entry.born_ms / 1000 + cold_s
        ):
            since, source = row.first_seen_at, "new"
        until = since + cold_s
        return (row.cold_until, "entry") if row.cold_until >= until else (until, source)

    def allows(self, row: UpstreamRow, service: Service, now: float) -> bool:
        """Returns whether another request may be sent to a replica now."""
        if service.cold_requests_per_s <= 0.0:
            return True
        until, source = self.cold_until(row, service)
        step_s = max(service.cold_s, SLOW_START_MIN_S) / SLOW_START_STEPS
        step = 0 if now < until else 1 + int(min((now - until) / step_s, SLOW_START_STEPS))
        if step > SLOW_START_STEPS:
            return True
        account = self._accounts.setdefault(row.instance, _Account())
        if step == 0:
            if account.reported_until <= now or source != account.source:
                self._on_cold(row, source, until)
            account.reported_until, account.source = until, source
        levels = self._service_levels
        limit = service.cold_requests_per_s * levels.cold_rate_factor + levels.cold_burst
        return account.in_window(now) < self._own_share(row, limit * 2**step, now)

    def record_send(self, row: UpstreamRow, service: Service, now: float) -> None:
        """Records a request sent to a replica, cold or not: it may become cold at any moment."""
        if service.cold_requests_per_s <= 0.0:
            return
        account = self._accounts.setdefault(row.instance, _Account())
        account.in_window(now)
        account.sent_at.append(now)
        if now >= self._swept_at + SWEEP_INTERVAL_S:
            self._swept_at = now
            for instance, known in list(self._accounts.items()):
                if not known.in_window(now) and known.reported_until <= now:
                    del self._accounts[instance]

    def _own_share(self, row: UpstreamRow, limit: float, now: float) -> int:
        """Returns the requests that this gateway may send to a replica in a window."""
        if row.region == self._region:
            part = share(int(limit * REGION_SHARE), self._region_counts.presumed(now))
        else:
            part = share(int(limit * (1 - REGION_SHARE)), self._counts.presumed(now))
        draw = score(self._process_id, row.instance) / 2**64
        return part.whole + (draw >= 1 - part.extra)
