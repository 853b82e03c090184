"""Order and limits of the requests that wait at a gateway for a place at an engine.

Load pattern: somewhat more arrives than the engines can start at once, while they free places all the
time. A request that is refused at once comes back late; one that is sent at once waits in the queue of
one engine, where a more urgent one cannot pass it and while a place becomes free at another.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import attrs

#: Share of the places that each group of equal urgency gets at least while it waits.
GROUP_FLOOR = 0.1
#: Time constant in seconds over which the starts of groups and workspaces are counted.
MEMORY_S = 2.0
#: Count below which a workspace or an urgency is forgotten.
NEGLIGIBLE = 1e-3
#: Limit on requests that wait for one model of a service, whatever the predictions are.
MAX_WAITING = 256
#: Places that a gateway may use at once after it has found none for a time.
MAX_BURST = 2.0
#: A request is held for this many times the wait predicted when it began to wait, or for this share
#: of its time if that is longer.
HOLD_PER_PREDICTED = 4.0
MIN_HOLD_SHARE = 1 / 8

K = TypeVar("K")


@attrs.frozen(eq=False)
class WaitingRequest(Generic[K]):
    """A request that has not been sent.

    Its urgency is the rank first and then the rank of its route, which tells apart the routes of one
    workspace whose own rank takes precedence.
    """

    #: What the caller uses to know the request again.
    key: K
    rank: int
    route_rank: int
    workspace: str
    #: Seconds of a place that the request is expected to need.
    place_s: float
    #: Unix seconds of the arrival at this gateway.
    arrived_at: float
    #: Unix seconds by which it has to start to meet the target of its route.
    on_time_until: float
    #: Unix seconds at which it is refused if it has not started.
    give_up_at: float

    #: Requests of equal urgency.
    group: tuple[int, int] = attrs.field(init=False)

    @group.default
    def _group(self) -> tuple[int, int]:
        return self.rank, self.route_rank

    def held_briefly(self, now: float, predicted_s: float) -> WaitingRequest[K]:
        """Returns the request with an earlier limit if a place is predicted well before that.

        Load pattern: the predicted places do not come, as other gateways or more urgent requests take
        them. A client that is refused early has time to come back.

        Args:
          now: Unix seconds at which it begins to wait.
          predicted_s: Seconds until a place is predicted to be free.
        """
        hold_s = max(HOLD_PER_PREDICTED * predicted_s, MIN_HOLD_SHARE * (self.give_up_at - now))
        return attrs.evolve(self, give_up_at=min(self.give_up_at, now + hold_s))


def _urgency(item: WaitingRequest[K], now: float) -> tuple[int, bool, int]:
    return item.rank, now > item.on_time_until, item.route_rank


class _DecayingCount:
    """A sum whose parts are forgotten with the time constant `MEMORY_S`."""

    __slots__ = ("_at", "_sum")

    def __init__(self) -> None:
        self._sum = self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        self._sum, self._at = self.value(now) + amount, now

    def value(self, now: float) -> float:
        return self._sum * math.exp(min(0.0, self._at - now) / MEMORY_S) if self._sum else 0.0


def _forget(counts: defaultdict[Any, _DecayingCount], now: float) -> None:
    for key in [key for key, count in counts.items() if count.value(now) < NEGLIGIBLE]:
        del counts[key]


class WaitingRequests(Generic[K]):
    """The requests that wait for one model of a service."""

    def __init__(self) -> None:
        self._waiting: list[WaitingRequest[K]] = []
        self._group_starts: defaultdict[tuple[int, int], _DecayingCount] = defaultdict(
            _DecayingCount
        )
        self._workspace_s: defaultdict[str, _DecayingCount] = defaultdict(_DecayingCount)
        self._arrivals: defaultdict[tuple[int, int], _DecayingCount] = defaultdict(_DecayingCount)
        #: Places that may be used now, and when they were last counted.
        self._credit = 1.0
        self._credited_at = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def first(self) -> WaitingRequest[K] | None:
        """Returns the request that has waited longest, None if none waits."""
        return self._waiting[0] if self._waiting else None

    def record_arrival(self, group: tuple[int, int], now: float) -> None:
        """Records that a request arrived, whether or not it has to wait."""
        self._arrivals[group].add(1.0, now)

    def predicted_s(self, item: WaitingRequest[K], now: float, places_per_s: float) -> float:
        """Returns the seconds until a place is predicted to be free, infinity for never.

        Args:
          item: A request, which may be waiting.
          now: Unix seconds.
          places_per_s: Places that become free for this gateway in a second.
        """
        own = _urgency(item, now)
        ahead = 0
        for other in self._waiting:
            urgency = _urgency(other, now)
            if urgency < own or (urgency == own and other.on_time_until <= item.on_time_until):
                ahead += other is not item
        return self._wait_s(item.group, ahead, now, places_per_s)

    def push(self, item: WaitingRequest[K], now: float, places_per_s: float) -> bool:
        """Adds a request; returns False if no place is predicted to be free in time."""
        if len(self._waiting) >= MAX_WAITING:
            return False
        if now + self.predicted_s(item, now, places_per_s) > item.give_up_at:
            return False
        self._waiting.append(item)
        return True

    def remove(self, item: WaitingRequest[K]) -> None:
        """Removes a request that ended, if it waits."""
        if item in self._waiting:
            self._waiting.remove(item)

    def precedes(self, group: tuple[int, int]) -> bool:
        """Returns whether a request waits that is as urgent as a group or more."""
        return any(item.group <= group for item in self._waiting)

    def peek(
        self,
        now: float,
        places_per_s: float,
        may_start: Callable[[WaitingRequest[K]], bool] = lambda item: True,
    ) -> WaitingRequest[K] | None:
        """Returns the request whose turn it is, None if this gateway has used its share of places.

        Args:
          now: Unix seconds.
          places_per_s: Places that become free for this gateway in a second.
          may_start: Returns whether a request may be the one, such as if an engine may take it.
        """
        if now > self._credited_at:
            earned = (now - self._credited_at) * places_per_s
            self._credit = min(MAX_BURST, self._credit + earned)
            self._credited_at = now
        if not self._waiting or self._credit < 1.0:
            return None
        able = [item for item in self._waiting if may_start(item)]
        if not able:
            return None
        floor = GROUP_FLOOR * sum(count.value(now) for count in self._group_starts.values())
        below_floor = {
            group
            for group in {item.group for item in able}
            if self._group_starts[group].value(now) < floor
        }
        preferred = [
            item for item in able if item.group in below_floor and now <= item.on_time_until
        ]
        return min(preferred or able, key=self._turn(now))

    def pop(self, item: WaitingRequest[K], now: float) -> None:
        """Removes a request that starts now."""
        self._waiting.remove(item)
        self._credit -= 1.0
        self._group_starts[item.group].add(1.0, now)
        self._workspace_s[item.workspace].add(item.place_s, now)

    def record_overtaking(self, group: tuple[int, int], now: float) -> None:
        """Records that a request that did not wait has used a place while less urgent ones wait."""
        if self._waiting:
            self._credit = max(-MAX_BURST, self._credit - 1.0)
            self._group_starts[group].add(1.0, now)

    def expire(self, now: float, places_per_s: float) -> list[WaitingRequest[K]]:
        """Removes and returns the requests that cannot start in time any more."""
        expired: list[WaitingRequest[K]] = []
        ahead = 0
        for item in sorted(self._waiting, key=self._turn(now)):
            wait_s = self._wait_s(item.group, ahead, now, places_per_s) if ahead else 0.0
            if now + wait_s > item.give_up_at or not places_per_s:
                expired.append(item)
            else:
                ahead += 1
        if expired:
            self._waiting = [item for item in self._waiting if item not in expired]
        return expired

    def forget_idle(self, now: float) -> bool:
        """Forgets what has not been seen for long; returns whether nothing is left."""
        for counts in (self._workspace_s, self._arrivals, self._group_starts):
            _forget(counts, now)
        return not (self._waiting or self._workspace_s or self._arrivals or self._group_starts)

    def _turn(self, now: float) -> Callable[[WaitingRequest[K]], tuple[object, ...]]:
        """Returns a function by which the requests are ordered; the lowest is next."""
        workspaces = {item.workspace for item in self._waiting}
        used_s = {name: self._workspace_s[name].value(now) for name in workspaces}
        return lambda item: (
            item.rank,
            now > item.on_time_until,
            item.route_rank,
            used_s[item.workspace],
            item.on_time_until,
        )

    def _wait_s(self, group: tuple[int, int], ahead: int, now: float, places_per_s: float) -> float:
        """Returns the seconds until `ahead` requests and one of a group have started."""
        more_urgent_per_s = sum(
            count.value(now) / MEMORY_S for other, count in self._arrivals.items() if other < group
        )
        left_per_s = max(places_per_s - more_urgent_per_s, GROUP_FLOOR * places_per_s)
        return (ahead + 1) / left_per_s if left_per_s > 0 else math.inf
