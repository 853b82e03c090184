"""Upload scheduling: token buckets and the queue of blob requests."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import attrs

#: Maximum number of waiting requests of one peer; equals `ExchangeLimits.per_source`, the fetches
#: that a peer has in flight from one source.
QUEUE_PER_PEER = 2
#: Maximum number of waiting requests of all peers. A peer that is refused as `busy` asks another
#: holder at once; a longer queue would occupy its fetch slots while other uplinks are idle.
QUEUE_TOTAL = 2
#: Maximum number of consecutive first copies before a regular request is served, so that fetches by
#: other regions do not starve peers in this region.
MAX_FIRST_COPY_RUN = 3


class TokenBucket:
    """Rate limiter in bytes per second; the rate is reduced to a share under live traffic.

    Args:
      rate: Full rate in bytes per second.
      burst: Capacity in bytes.
    """

    def __init__(self, rate: float, burst: float):
        if rate <= 0 or burst <= 0:
            raise ValueError(f"rate {rate} and burst {burst} must be above 0")
        self._rate = rate
        self._burst = burst
        self._share = 1.0
        self._tokens = burst
        self._refilled_at: float | None = None

    def set_share(self, share: float, now: float) -> None:
        """Sets the share of the full rate that applies from now on; 1.0 is the full rate."""
        if not 0 < share <= 1:
            raise ValueError(f"share is {share}, expected above 0 and at most 1")
        self._refill(now)
        self._share = share

    def try_take(self, n: float, now: float) -> bool:
        """Takes n tokens if they are available and returns whether it did.

        An amount above the burst is granted when the bucket is full and leaves a negative balance,
        so that a chunk larger than the burst still passes at the configured rate.
        """
        self._refill(now)
        if self._tokens + 1e-6 < min(n, self._burst):
            return False
        self._tokens -= n
        return True

    def spend(self, n: float, now: float) -> None:
        """Takes n tokens unconditionally; the balance may become negative."""
        self._refill(now)
        self._tokens -= n

    def ready_at(self, n: float, now: float) -> float:
        """Returns the earliest time at which `try_take(n)` succeeds."""
        self._refill(now)
        shortfall = min(n, self._burst) - self._tokens
        return now if shortfall <= 0 else now + shortfall / (self._rate * self._share)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None and now > self._refilled_at:
            refill = (now - self._refilled_at) * self._rate * self._share
            self._tokens = min(self._burst, self._tokens + refill)
        # After a clock step backwards, refilling resumes at once instead of when the clock catches up.
        self._refilled_at = now


@attrs.frozen
class Upload:
    """A blob to send to a peer."""

    peer_id: str
    digest: bytes


class UploadQueue:
    """Waiting blob requests, served round-robin between peers.

    First copies (requests from another region, or for a chunk with a single holder) have priority,
    because all other copies in that region depend on them.

    Args:
      per_peer: Maximum number of waiting requests of one peer.
      total: Maximum number of waiting requests of all peers.
      max_first_copy_run: Maximum number of consecutive first copies before a regular request, or
        None for no limit.
    """

    def __init__(
        self,
        per_peer: int = QUEUE_PER_PEER,
        total: int = QUEUE_TOTAL,
        max_first_copy_run: int | None = MAX_FIRST_COPY_RUN,
    ):
        self._max_first_copy_run = max_first_copy_run
        self._per_peer = per_peer
        self._total = total
        #: Waiting digests by peer, in the order in which the peers are served.
        self._first_copies: OrderedDict[str, list[bytes]] = OrderedDict()
        self._regular: OrderedDict[str, list[bytes]] = OrderedDict()
        self._waiting_count = 0
        self._first_copy_run = 0

    def __len__(self) -> int:
        return self._waiting_count

    def offer(self, peer_id: str, digest: bytes, first_copy: bool) -> bool:
        """Queues a request; returns False if it must be refused as `busy`.

        First copies are exempt from the total limit, but not from the limit per peer, because no
        other holder could serve them sooner.
        """
        waiting = self._first_copies.get(peer_id, []) + self._regular.get(peer_id, [])
        if digest in waiting:
            return True
        if len(waiting) >= self._per_peer or (
            self._waiting_count >= self._total and not first_copy
        ):
            return False
        queue = self._first_copies if first_copy else self._regular
        queue.setdefault(peer_id, []).append(digest)
        self._waiting_count += 1
        return True

    def take(self, is_ready: Callable[[str], bool] = lambda peer_id: True) -> Upload | None:
        """Removes and returns the next request of a peer that can receive data, or None."""
        queues = (self._first_copies, self._regular)
        if (
            self._max_first_copy_run is not None
            and self._first_copy_run >= self._max_first_copy_run
            and self._regular
        ):
            queues = (self._regular, self._first_copies)
        for queue in queues:
            peer_id = next((peer_id for peer_id in queue if is_ready(peer_id)), None)
            if peer_id is None:
                continue
            digest = queue[peer_id].pop(0)
            queue.move_to_end(peer_id)
            if not queue[peer_id]:
                del queue[peer_id]
            self._waiting_count -= 1
            self._first_copy_run = self._first_copy_run + 1 if queue is self._first_copies else 0
            return Upload(peer_id, digest)
        return None

    def cancel(self, peer_id: str, digest: bytes) -> bool:
        """Removes a request that the peer cancelled; returns False if it was not waiting."""
        for queue in (self._first_copies, self._regular):
            if digest in queue.get(peer_id, ()):
                queue[peer_id].remove(digest)
                if not queue[peer_id]:
                    del queue[peer_id]
                self._waiting_count -= 1
                return True
        return False

    def peer_down(self, peer_id: str) -> None:
        """Removes all requests of a peer."""
        for queue in (self._first_copies, self._regular):
            self._waiting_count -= len(queue.pop(peer_id, ()))
