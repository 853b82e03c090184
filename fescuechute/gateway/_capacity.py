"""Number of requests that each replica takes well and its speed, learned from its responses.

Load pattern: replicas of one service differ in speed, some slow down before they are full, and some are
slow although their reports and health checks are good. A gateway sees only some requests of each.
"""

from __future__ import annotations

import math
from collections.abc import Container
from typing import NamedTuple

import attrs

#: Time of a response relative to the usual one of the service from which it is late.
LATE_RATIO = 2.0
#: Bound on the ratio that one response shows, so that a single one proves nothing.
MAX_RATIO = 8.0
#: Weight of the latest response in the moving average of a replica, and of a timely one at a replica
#: that is slow.
RESPONSE_WEIGHT = 0.3
RECOVERY_WEIGHT = 0.5
#: Seconds in which half of what is known of a replica is forgotten if it does not respond.
HALF_LIFE_S = 4.0
#: Seconds between the requests of all gateways that test a slow replica, and the bounds for one gateway.
PROBE_INTERVAL_S = 0.5
MIN_PROBE_INTERVAL_S = 2.0
MAX_PROBE_INTERVAL_S = 4.0
#: Consecutive late responses from which on a replica is slow and its limit is lowered, and the factor.
LATE_RESPONSES = 2
#: Seconds over which they must last. A shorter slow moment is over before requests could go elsewhere.
LASTING_S = 0.8
DECREASE = 0.85
#: Requests by which each timely response at the limit raises it.
INCREASE = 0.25
#: Requests beyond the slots from which on the limit does not apply. No rank may exceed it.
MAX_OVERCOMMIT = 3
#: Responses of a service after which the usual ratio is known, and the least step of its estimate.
MIN_RESPONSES = 16
MIN_STEP = 0.1
#: Least step of the estimate over a longer time, the step of the common rise above it in all routes,
#: and the ratio from which all replicas are slower than before, so that nothing is learned of one.
MIN_TREND_STEP = 0.02
RISE_STEP = 0.05
COMMON_RATIO = 1.4

#: Shortest seconds between two log lines about a replica.
LOG_INTERVAL_S = 1.0
#: States of a replica in the log.
USUAL = "usual"
LIMITED = "limited"
SLOW = "slow"

_LATE = math.log(LATE_RATIO)
_MAX = math.log(MAX_RATIO)
_COMMON = math.log(COMMON_RATIO)


@attrs.define
class LearnedCapacity:
    """What a gateway has learned of one replica.

    Args:
      slots: Requests that the replica processes concurrently.
    """

    slots: int
    #: Whether the replica may be slow or limited; False for most replicas most of the time.
    is_restricted: bool = False
    #: Limit when it was last changed, and the unix seconds of that.
    _limit: float = math.inf
    _limited_at: float = 0.0
    #: Moving average of the logarithm of its times relative to the usual ones, at `_updated_at`.
    _excess: float = 0.0
    _updated_at: float = 0.0
    _late_responses: int = 0
    #: Unix seconds of the first of them, and of the last late time.
    _late_since: float = 0.0
    _late_at: float = -math.inf
    #: Unix seconds at which the limit was last lowered.
    _lowered_at: float = -math.inf
    #: Unix seconds at which a request was last sent.
    _sent_at: float = -math.inf
    #: State in the last line of the log, and its unix seconds.
    _logged_state: str = USUAL
    _logged_at: float = -math.inf

    def limit(self, now: float) -> float:
        """Returns the requests of all gateways in flight up to which the replica is preferred.

        It rises with time, because a replica that gets no requests shows nothing.
        """
        if math.isinf(self._limit):
            return math.inf
        slots_per_s = self.slots / 2 / HALF_LIFE_S
        limit = self._limit + slots_per_s * max(0.0, now - self._limited_at)
        return limit if limit < self.slots + MAX_OVERCOMMIT else math.inf

    def slowness(self, now: float) -> float:
        """Returns the time of a response relative to that of a usual replica, 1 unless it is slow."""
        if self._excess <= _LATE:
            return 1.0
        excess = self._excess_at(now)
        return math.exp(excess) if excess > _LATE else 1.0

    def is_probe_due(self, now: float, gateways: int) -> bool:
        """Returns whether a request may test whether the replica is still slow.

        Args:
          now: Unix seconds.
          gateways: Number of gateways that use the replica.
        """
        interval_s = max(MIN_PROBE_INTERVAL_S, PROBE_INTERVAL_S * gateways)
        interval_s = min(MAX_PROBE_INTERVAL_S, interval_s)
        return now >= self._sent_at + interval_s

    def state_to_log(self, now: float) -> str | None:
        """Returns `slow`, `limited` or `usual` if that has changed and is to be logged."""
        if self.slowness(now) > 1.0:
            state = SLOW
        else:
            state = USUAL if math.isinf(self.limit(now)) else LIMITED
        if state == self._logged_state or now < self._logged_at + LOG_INTERVAL_S:
            return None
        self._logged_state, self._logged_at = state, now
        return state

    def record_send(self, now: float) -> None:
        """Records that a request was sent."""
        self._sent_at = now

    def record_speed(self, excess: float, sent_at: float, now: float) -> None:
        """Records a time of the replica.

        Args:
          excess: Logarithm of the time relative to the usual one of the service.
          sent_at: Unix seconds at which the request was sent.
          now: Unix seconds.
        """
        known = self._excess_at(now)
        recovers = known > _LATE and excess < _LATE / 2
        weight = RECOVERY_WEIGHT if recovers else RESPONSE_WEIGHT
        moved = max(0.0, known + weight * (max(-_LATE, min(_MAX, excess)) - known))
        self._count_late(excess, sent_at, now)
        if known <= _LATE and not self._is_lasting(now):
            moved = min(moved, _LATE)
        self._excess = moved
        self.is_restricted = moved > _LATE or not math.isinf(self.limit(now))
        self._updated_at = now

    def record_start(self, excess: float, in_flight: float, sent_at: float, now: float) -> None:
        """Records the time to the start of a response.

        Args:
          excess: Logarithm of the time relative to the usual one of the service.
          in_flight: Requests of all gateways at the replica when it was sent.
          sent_at: Unix seconds at which it was sent.
          now: Unix seconds.
        """
        self.record_speed(excess, sent_at, now)
        if excess > _LATE:
            # Requests that were sent before the limit was lowered say nothing about the new one.
            if self._is_lasting(now) and sent_at >= self._lowered_at:
                self._lower(in_flight * DECREASE, in_flight, now)
            return
        limit = self.limit(now)
        if in_flight >= limit - 1:
            self._limit, self._limited_at = limit + INCREASE, now

    def record_common_delay(self) -> None:
        """Records that all replicas become slower, which may be why this one was late before."""
        self._late_responses = 0

    def record_refusal(self, in_flight: float, now: float) -> None:
        """Records that the replica refused a request for lack of capacity."""
        self._lower(in_flight - 1, in_flight, now)

    def _count_late(self, excess: float, sent_at: float, now: float) -> None:
        if excess <= _LATE or now > self._late_at + HALF_LIFE_S:
            self._late_responses = 0
        if excess <= _LATE:
            return
        self._late_at = now
        # Times of one request, and of requests that were on their way together, count once.
        if not self._late_responses:
            self._late_responses, self._late_since = 1, now
        elif sent_at > self._late_since:
            self._late_responses += 1

    def _is_lasting(self, now: float) -> bool:
        return self._late_responses >= LATE_RESPONSES and now >= self._late_since + LASTING_S

    def _lower(self, limit: float, in_flight: float, now: float) -> None:
        least = max(1.0, self.slots / math.exp(max(_LATE, self._excess_at(now))))
        if in_flight < least:
            return
        self._limit = max(least, min(self.limit(now), limit))
        self._limited_at = self._lowered_at = now
        self.is_restricted = True

    def _excess_at(self, now: float) -> float:
        if not self._excess:
            return 0.0
        return float(self._excess * 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_S))


class Kind(NamedTuple):
    """Requests whose times are compared with each other."""

    service: str
    #: Region of the replica and route of a request whose time is not predicted; empty otherwise.
    region: str = ""
    route: str = ""


@attrs.define
class _UsualRatio:
    """Medians of the logarithms of the ratios of all replicas, by stochastic approximation."""

    median: float = 0.0
    #: Median over a longer time.
    trend: float = 0.0
    count: int = 0

    def record(self, logarithm: float) -> tuple[float, float]:
        """Records a ratio; returns by how much it exceeded the median and the trend."""
        self.count += 1
        if self.count == 1:
            self.median = self.trend = logarithm
        excess, rise = logarithm - self.median, logarithm - self.trend
        self.median = _moved(self.median, logarithm, max(MIN_STEP, 1.0 / self.count))
        self.trend = _moved(self.trend, logarithm, max(MIN_TREND_STEP, 1.0 / self.count))
        return excess, rise


def _moved(median: float, logarithm: float, step: float) -> float:
    distance = logarithm - median
    return median + math.copysign(min(abs(distance), step), distance)


class CapacityLearner:
    """Compares the times of each replica with the usual ones of the same kind at this gateway.

    What delays all replicas alike, such as load, is usual and lowers no limit.
    """

    def __init__(self) -> None:
        #: Usual ratios by kind of request and kind of time.
        self._usual: dict[tuple[Kind, str], _UsualRatio] = {}
        #: Median of the excess over the trend in all routes, by service, region and kind of time.
        self._rises: dict[tuple[str, str, str], float] = {}

    def keep(self, services: Container[str]) -> None:
        """Forgets the usual times of all services but the given ones."""
        self._usual = {
            key: usual for key, usual in self._usual.items() if key[0].service in services
        }
        self._rises = {key: rise for key, rise in self._rises.items() if key[0] in services}

    def record_start(
        self,
        capacity: LearnedCapacity,
        kind: Kind,
        expected_s: float,
        in_flight: float,
        sent_at: float,
        now: float,
    ) -> None:
        """Records the start of a response, or that it has not started until now.

        Args:
          capacity: What is known of the replica.
          kind: Requests with which this one is compared.
          expected_s: Predicted seconds; any constant if none are predicted.
          in_flight: Requests of all gateways at the replica when it was sent.
          sent_at: Unix seconds at which it was sent.
          now: Unix seconds.
        """
        excess = self._excess(capacity, kind, "start", (now - sent_at) / expected_s)
        if excess is not None:
            capacity.record_start(excess, in_flight, sent_at, now)

    def record_pace(
        self,
        capacity: LearnedCapacity,
        kind: Kind,
        pause_s: float,
        sent_at: float,
        now: float,
    ) -> None:
        """Records the mean pause in seconds between events, divided by the reported pace.

        Args:
          capacity: What is known of the replica.
          kind: Requests with which this one is compared.
          pause_s: The pause.
          sent_at: Unix seconds at which the request was sent.
          now: Unix seconds.
        """
        excess = self._excess(capacity, kind, "pace", pause_s)
        if excess is not None:
            capacity.record_speed(excess, sent_at, now)

    def _excess(
        self, capacity: LearnedCapacity, kind: Kind, measure: str, ratio: float
    ) -> float | None:
        """Returns by how much the logarithm of a ratio exceeds the usual one, and learns it.

        Returns None before enough ratios are known, and while all replicas become slower.
        """
        logarithm = math.log(max(1e-6, ratio))
        usual = self._usual.setdefault((kind, measure), _UsualRatio())
        excess, rise = usual.record(logarithm)
        key = kind.service, kind.region, measure
        common = self._rises[key] = _moved(self._rises.get(key, 0.0), rise, RISE_STEP)
        if common > _COMMON:
            capacity.record_common_delay()
            return None
        return excess if usual.count > MIN_RESPONSES else None
