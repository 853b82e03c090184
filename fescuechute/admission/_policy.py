"""Early refusal of requests that would miss their deadline."""

from __future__ import annotations

import attrs

from fescuechute.admission._items import QueuedItem
from fescuechute.admission._queue import FairQueue
from fescuechute.errors import Reason

#: Minimum retry delay in seconds; with a shorter one refused callers retry in a busy loop.
MIN_RETRY_DELAY_S = 0.25
#: Maximum retry delay in seconds; estimates further ahead are too inaccurate to be useful.
MAX_RETRY_DELAY_S = 30.0


@attrs.frozen
class Refusal:
    """Why an item is refused, and when a retry may succeed."""

    reason: Reason
    #: Unix seconds.
    retry_at: float


class AdmissionPolicy:
    """Refuses an item if its estimated end lies after its deadline.

    Args:
      wait_factor: Factor on the estimated wait. Above 1 refuses earlier, below 1 later.
    """

    def __init__(self, wait_factor: float = 1.0):
        self._wait_factor = wait_factor

    def admit(
        self,
        item: QueuedItem,
        queue: FairQueue,
        now: float,
        service_rate: float,
    ) -> Refusal | None:
        """Decides whether an item may be queued.

        Args:
          item: The arriving item.
          queue: The queue in which it would wait.
          now: Unix seconds.
          service_rate: Measured tokens per second of the item's pool, 0 if unknown. With an unknown
            rate the wait counts as 0.

        Returns:
          None if the item is admitted.
        """
        slack_s = item.latest_start - now
        if slack_s <= 0:
            return Refusal(Reason.DEADLINE_UNREACHABLE, now + MIN_RETRY_DELAY_S)
        wait_s = self.estimated_wait(item, queue, service_rate)
        if wait_s > slack_s:
            return Refusal(Reason.DEADLINE_UNREACHABLE, _retry_at(now, wait_s - slack_s))
        if queue.would_refuse(item):
            return Refusal(Reason.OVERLOADED, _retry_at(now, wait_s / 2))
        return None

    def estimated_wait(self, item: QueuedItem, queue: FairQueue, service_rate: float) -> float:
        """Returns the estimated seconds in the queue, 0 if the rate is unknown.

        The item's rank either waits for the more urgent ranks and is then served at the rate that
        the protected shares of less urgent ranks leave, or is served at the rate of its own
        protected share. The estimate is the shorter of the two waits.
        """
        if service_rate <= 0:
            return 0.0
        own_cost = queue.cost_ahead(item)
        more_urgent_cost, own_share, unreserved_share, is_more_urgent = 0.0, 0.0, 1.0, True
        for name, protected_share in queue.ranks:
            if name == item.rank:
                own_share, is_more_urgent = protected_share, False
            elif is_more_urgent:
                more_urgent_cost += queue.queued_cost(name, item.pool)
            elif queue.queued_cost(name, item.pool) > 0:
                unreserved_share -= protected_share
        wait_by_priority_s = (more_urgent_cost + own_cost) / (
            service_rate * max(unreserved_share, own_share, 1e-9)
        )
        if own_share <= 0:
            return self._wait_factor * wait_by_priority_s
        return self._wait_factor * min(wait_by_priority_s, own_cost / (service_rate * own_share))


def _retry_at(now: float, delay_s: float) -> float:
    return now + min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, delay_s))
