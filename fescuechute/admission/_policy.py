"""Early refusal."""

from __future__ import annotations

import attrs

from fescuechute.admission._items import QueuedItem
from fescuechute.admission._queue import FairQueue
from fescuechute.errors import Reason

#: Smallest retry delay in seconds; a shorter one turns refused callers into a busy loop.
MIN_RETRY_S = 0.25
#: Largest retry delay in seconds; estimates further ahead are not worth more.
MAX_RETRY_S = 30.0


@attrs.frozen
class Refuse:
    """Why an item is refused, and when a retry may succeed."""

    reason: Reason
    #: Unix seconds.
    retry_at: float


class AdmissionPolicy:
    """Refuses an item when its estimated finish lies beyond its deadline."""

    def __init__(self, margin: float = 1.0):
        #: Factor on the estimated wait. Above 1 refuses earlier, below 1 later.
        self._margin = margin

    def admit(
        self,
        item: QueuedItem,
        queue: FairQueue,
        now: float,
        service_rate: float,
    ) -> Refuse | None:
        """Decides whether an item may be queued.

        Args:
          item: The arriving item.
          queue: The queue that it would wait in.
          now: Unix seconds.
          service_rate: Measured tokens per second of the item's pool; 0 when not known yet, in
            which case only the queue's bound applies.
        """
        slack = item.start_by - now
        if slack <= 0:
            return Refuse(Reason.DEADLINE_UNREACHABLE, now + MIN_RETRY_S)
        wait = self.estimated_wait(item, queue, service_rate)
        if wait > slack:
            return Refuse(Reason.DEADLINE_UNREACHABLE, _retry_at(now, wait - slack))
        if queue.is_full_for(item):
            return Refuse(Reason.OVERLOADED, _retry_at(now, wait / 2))
        return None

    def estimated_wait(self, item: QueuedItem, queue: FairQueue, service_rate: float) -> float:
        """Returns the expected seconds in the queue, 0 while the rate is not known.

        The rank either waits for the more urgent ranks and then has the rate that the protected
        shares below leave, or lives on its own protected share; whichever is sooner.
        """
        if service_rate <= 0:
            return 0.0
        own = queue.cost_ahead(item)
        urgent, share, left, above = 0.0, 0.0, 1.0, True
        for name, protected in queue.ranks:
            if name == item.rank:
                share, above = protected, False
            elif above:
                urgent += queue.queued_cost(name, item.pool)
            elif queue.queued_cost(name, item.pool) > 0:
                left -= protected
        by_priority = (urgent + own) / (service_rate * max(left, share, 1e-9))
        if share <= 0:
            return self._margin * by_priority
        return self._margin * min(by_priority, own / (service_rate * share))


def _retry_at(now: float, delay_s: float) -> float:
    return now + min(MAX_RETRY_S, max(MIN_RETRY_S, delay_s))
