"""Uploads: token buckets and the queue of requests for blobs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import attrs

#: Requests that may wait for each peer. It equals what a peer has in flight towards us.
QUEUE_PER_PEER = 2
#: Requests that may wait in all. A peer that is told `busy` asks another holder at once; a longer
#: queue holds its slots while other uplinks are idle.
QUEUE_TOTAL = 2
#: First copies in a row before an ordinary request is served, so that the own region is not starved
#: while other regions fetch.
FIRST_COPY_RUN = 3


class TokenBucket:
    """Limits bytes a second, with a share that is cut while live requests flow."""

    def __init__(self, rate: float, burst: float):
        if rate <= 0 or burst <= 0:
            raise ValueError(f"rate {rate} and burst {burst} must be above 0")
        self._rate = rate
        self._burst = burst
        self._share = 1.0
        self._tokens = burst
        self._at: float | None = None

    def set_share(self, share: float, now: float) -> None:
        """Cuts the rate to a share of the full one from now on; 1.0 restores it."""
        if not 0 < share <= 1:
            raise ValueError(f"share is {share}, expected above 0 and at most 1")
        self._refill(now)
        self._share = share

    def try_take(self, n: float, now: float) -> bool:
        """Takes n tokens if they are there.

        An amount above the burst is granted when the bucket is full and leaves a debt, so that a
        chunk larger than the burst still passes at the configured rate.
        """
        self._refill(now)
        if self._tokens + 1e-6 < min(n, self._burst):
            return False
        self._tokens -= n
        return True

    def spend(self, n: float, now: float) -> None:
        """Takes n tokens, whether they are there or not; what is missing becomes a debt."""
        self._refill(now)
        self._tokens -= n

    def ready_at(self, n: float, now: float) -> float:
        """Returns the time from which on `try_take(n)` succeeds."""
        self._refill(now)
        short = min(n, self._burst) - self._tokens
        return now if short <= 0 else now + short / (self._rate * self._share)

    def _refill(self, now: float) -> None:
        if self._at is not None and now > self._at:
            gained = (now - self._at) * self._rate * self._share
            self._tokens = min(self._burst, self._tokens + gained)
        # A clock that steps back must not freeze the bucket until it catches up.
        self._at = now


@attrs.frozen
class Upload:
    """One blob to send."""

    peer_id: str
    digest: bytes


class UploadQueue:
    """Requests of peers that wait for upload, served fairly between peers.

    First copies (a request from another region, or for a chunk with a single holder) go first,
    because every other copy in that region waits for them.

    Args:
      per_peer: Requests of one peer that may wait.
      total: Requests that may wait in all.
      first_run: First copies in a row before an ordinary request, or None for no bound.
    """

    def __init__(
        self,
        per_peer: int = QUEUE_PER_PEER,
        total: int = QUEUE_TOTAL,
        first_run: int | None = FIRST_COPY_RUN,
    ):
        self._first_run = first_run
        self._per_peer = per_peer
        self._total = total
        #: Waiting digests by peer, in the order in which peers are served.
        self._first: OrderedDict[str, list[bytes]] = OrderedDict()
        self._rest: OrderedDict[str, list[bytes]] = OrderedDict()
        self._count = 0
        self._run = 0

    def __len__(self) -> int:
        return self._count

    def offer(self, peer_id: str, digest: bytes, first_copy: bool) -> bool:
        """Queues a request; False when the answer must be `busy`.

        A first copy may exceed the total by its own per-peer bound, because no other holder can
        serve it sooner.
        """
        waiting = self._first.get(peer_id, []) + self._rest.get(peer_id, [])
        if digest in waiting:
            return True
        if len(waiting) >= self._per_peer or (self._count >= self._total and not first_copy):
            return False
        lane = self._first if first_copy else self._rest
        lane.setdefault(peer_id, []).append(digest)
        self._count += 1
        return True

    def take(self, ready: Callable[[str], bool] = lambda peer_id: True) -> Upload | None:
        """Removes and returns the next request of a peer that is ready for data."""
        lanes = (self._first, self._rest)
        if self._first_run is not None and self._run >= self._first_run and self._rest:
            lanes = (self._rest, self._first)
        for lane in lanes:
            peer_id = next((peer_id for peer_id in lane if ready(peer_id)), None)
            if peer_id is None:
                continue
            digest = lane[peer_id].pop(0)
            lane.move_to_end(peer_id)
            if not lane[peer_id]:
                del lane[peer_id]
            self._count -= 1
            self._run = self._run + 1 if lane is self._first else 0
            return Upload(peer_id, digest)
        return None

    def cancel(self, peer_id: str, digest: bytes) -> bool:
        """Drops a request that the peer no longer wants."""
        for lane in (self._first, self._rest):
            if digest in lane.get(peer_id, ()):
                lane[peer_id].remove(digest)
                if not lane[peer_id]:
                    del lane[peer_id]
                self._count -= 1
                return True
        return False

    def peer_down(self, peer_id: str) -> None:
        """Drops all requests of a peer."""
        for lane in (self._first, self._rest):
            self._count -= len(lane.pop(peer_id, ()))
