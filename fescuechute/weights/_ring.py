"""Distribution along a ring: each agent fetches chunks from its predecessor as they arrive there.

Each agent downloads a share of the chunks from the origin and fetches the others from its
predecessor. Every VM thus receives and sends at the full rate of its link from the start. The origin
sends one copy in total as fast as its link allows, so an outage of the origin soon has no effect.
See docs/platform.md for a comparison with other topologies.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Container, Iterable, Sequence

import attrs

from fescuechute.weights._commands import (
    ORIGIN,
    CancelFetch,
    Command,
    FetchFromOrigin,
    FetchFromPeer,
)
from fescuechute.weights._ring_limits import MAX_PLAIN_RING, PREDECESSORS, SKIP_FACTOR, RingLimits


@attrs.define
class _Peer:
    id: str
    #: Announced digests, as an ordered set.
    announced: dict[bytes, None] = attrs.field(factory=dict)
    #: Time at which it last announced a chunk that this agent misses.
    last_progress_at: float = 0.0
    avoid_until: float = 0.0
    #: Number of its chunks that failed verification.
    corrupt_count: int = 0
    #: Time of the first plan after its link came up; None before it.
    link_up_at: float | None = None


@attrs.define
class _Fetch:
    source: str
    #: Time from which the source could serve the chunk; infinity until it announces the chunk.
    available_at: float


class Ring:
    """Plans the fetches of one agent.

    Callers report events; `plan(now)` returns the commands to carry out. The daemon verifies and
    stores a chunk before it calls `record_arrival`, and calls `record_corrupt` for a chunk that fails
    verification.

    The wanted chunks are divided into shares of consecutive chunks. For each share, one agent is
    responsible for downloading it from the origin.

    Args:
      self_id: Id of this agent.
      held: The chunks already held, usually the BlobStore.
      limits: Limits and timeouts.
    """

    def __init__(self, self_id: str, held: Container[bytes], limits: RingLimits | None = None):
        self._self_id = self_id
        self._held = held
        self._limits = limits or RingLimits()
        #: Position of this agent in the ring, length of the ring, and number of agents that download
        #: a share from the origin.
        self._position = 0
        self._length = 1
        self._downloader_count = 1
        #: Neighbours in the ring, nearest first.
        self._predecessors: tuple[str, ...] = ()
        self._successors: tuple[str, ...] = ()
        #: Positions to the agents far behind and ahead, 0 in a short ring, and these agents.
        self._skip_length = 0
        self._skip_predecessor: str | None = None
        self._skip_successor: str | None = None
        self._wanted: tuple[bytes, ...] = ()
        #: Missing chunks in the order in which they are fetched, each with its distance: how many
        #: positions the agent responsible for its share precedes this one.
        self._missing: dict[bytes, int] = {}
        self._peers: dict[str, _Peer] = {}
        self._fetches: dict[bytes, _Fetch] = {}
        self._pending_cancels: list[Command] = []
        #: Time at which each source last delivered a chunk. A slow link delivers chunks one by one, so
        #: the age of a single fetch does not show whether its source still delivers.
        self._last_delivery_at: dict[str, float] = {}
        #: Times of the latest arrivals since the wanted chunks changed.
        self._arrival_times: deque[float] = deque(maxlen=self._limits.rate_sample_chunks)
        self._origin_retry_at = 0.0
        #: Time at which any peer last announced a missing chunk, or the origin last failed.
        self._last_progress_at = 0.0
        #: Time of the first plan after the wanted chunks changed; None before it.
        self._wanted_since: float | None = None
        #: Time since which only few chunks are missing, or None.
        self._endgame_since: float | None = None

    # Events.

    def want(self, digests: Iterable[bytes]) -> None:
        """Replaces the wanted chunks."""
        self._wanted = tuple(digests)
        self._rebuild_missing()

    def set_order(
        self, agents: Sequence[str], connections: int, origin_chunks_per_s: float = float("inf")
    ) -> tuple[str, ...]:
        """Applies the order of the ring; returns the agents to which links are needed.

        Args:
          agents: Ids of all agents in ring order; the first one follows the last.
          connections: Number of connections that the origin accepts.
          origin_chunks_per_s: Chunks per second that the link of the origin carries.
        """
        order = list(agents)
        position = order.index(self._self_id)
        following = order[position + 1 :] + order[:position]
        self._predecessors = tuple(reversed(following))[:PREDECESSORS]
        self._successors = tuple(following[:PREDECESSORS])
        self._skip_length = _skip_length(len(order))
        self._skip_predecessor = self._skip_successor = None
        if self._skip_length:
            self._skip_predecessor = following[-self._skip_length]
            self._skip_successor = following[self._skip_length - 1]
        limits = self._limits
        downloads = min(
            connections * limits.origin_connection_share,
            origin_chunks_per_s * limits.max_download_s,
        )
        self._downloader_count = max(1, min(len(order), int(downloads / limits.origin_window)))
        self._position, self._length = position, len(order)
        self._rebuild_missing()
        skip = () if self._skip_predecessor is None else (self._skip_predecessor,)
        return (*self._predecessors, *skip)

    def _rebuild_missing(self) -> None:
        """Recomputes the missing chunks in the order in which they reach this agent.

        All shares are downloaded at the same rate, and chunks that take fewer hops arrive first.
        """
        total, shares = len(self._wanted), self._downloader_count
        order: list[tuple[int, int, int, bytes]] = []
        for index in range(shares):
            share = self._wanted[total * index // shares : total * (index + 1) // shares]
            # The agents that download shares are spread evenly over the ring.
            distance = (self._position + -index * self._length // shares) % self._length
            hops = self._hops(distance)
            order += [(rank, hops, distance, digest) for rank, digest in enumerate(share)]
        missing = {
            digest: distance for _, _, distance, digest in sorted(order) if digest not in self._held
        }
        if missing.keys() - self._missing.keys():
            self._wanted_since = None
        self._missing = missing
        for digest in [digest for digest in self._fetches if digest not in missing]:
            self._pending_cancels.append(CancelFetch(self._fetches.pop(digest).source, digest))

    def _hops(self, distance: int) -> int:
        """Returns the agents that a chunk passes from one at a distance: far links first."""
        if not self._skip_length:
            return distance
        return distance // self._skip_length + distance % self._skip_length

    def _skip_source(self, distance: int, now: float) -> _Peer | None:
        """Returns the far predecessor if chunks from an agent at a distance come by it."""
        if not self._skip_length or distance < self._skip_length or distance % self._skip_length:
            return None
        peer = self._peers.get(self._skip_predecessor or "")
        if peer is None or now < peer.avoid_until or self._is_slow(peer, now):
            return None
        return peer

    def peer_up(self, peer_id: str) -> None:
        """Records that the link to an agent is up; the agent announces its chunks afterwards."""
        self.peer_down(peer_id)
        self._peers[peer_id] = _Peer(peer_id)

    def peer_down(self, peer_id: str) -> None:
        """Records the loss of the link to an agent and drops what the agent announced."""
        self._peers.pop(peer_id, None)
        for digest in [d for d, fetch in self._fetches.items() if fetch.source == peer_id]:
            del self._fetches[digest]
            self._pending_cancels.append(CancelFetch(peer_id, digest))

    def record_announcement(self, peer_id: str, digests: Iterable[bytes], now: float) -> None:
        """Records the chunks that an agent announces."""
        peer = self._peers.get(peer_id)
        if peer is None:
            return
        for digest in digests:
            peer.announced[digest] = None
            if digest in self._missing:
                peer.last_progress_at = self._last_progress_at = now
            fetch = self._fetches.get(digest)
            if fetch is not None and fetch.source == peer_id:
                fetch.available_at = min(fetch.available_at, now)

    def record_arrival(self, digest: bytes, now: float) -> None:
        """Records that a chunk was verified and stored."""
        self._missing.pop(digest, None)
        fetch = self._fetches.pop(digest, None)
        if fetch is not None:
            self._last_delivery_at[fetch.source] = now
            self._arrival_times.append(now)

    def record_corrupt(self, digest: bytes, source: str, now: float) -> None:
        """Records that a chunk from a source failed verification; its source is avoided for a while."""
        self.record_failure(digest, source, now)
        peer = self._peers.get(source)
        if peer is not None:
            peer.corrupt_count += 1
            pause_s = self._limits.corrupt_avoid_s * 2 ** min(peer.corrupt_count - 1, 4)
            peer.avoid_until = max(peer.avoid_until, now + pause_s)

    def record_failure(self, digest: bytes, source: str, now: float) -> None:
        """Records that a source did not deliver a chunk."""
        fetch = self._fetches.get(digest)
        if fetch is not None and fetch.source == source:
            del self._fetches[digest]
        if source == ORIGIN:
            self._origin_failed(now)
            return
        peer = self._peers.get(source)
        if peer is not None:
            peer.announced.pop(digest, None)
            peer.avoid_until = max(peer.avoid_until, now + self._limits.refusal_avoid_s)

    def _origin_failed(self, now: float) -> None:
        self._origin_retry_at = now + self._limits.origin_pause_s
        # While the origin is down no share is downloaded; that must not look like a lost agent.
        self._last_progress_at = now

    # Views.

    def is_missing(self, digest: bytes) -> bool:
        """Returns whether a chunk is wanted and not held."""
        return digest in self._missing

    def is_direct_successor(self, peer_id: str) -> bool:
        """Returns whether an agent fetches from this one first: the next one, or the one far ahead."""
        return self._successors[:1] == (peer_id,) or peer_id == self._skip_successor

    def is_successor(self, peer_id: str) -> bool:
        """Returns whether a linked agent fetches chunks from this one.

        This includes agents that are not in the known ring order: such an agent has connected
        because of its own, newer view of the ring.
        """
        if peer_id in self._successors or peer_id == self._skip_successor:
            return True
        return peer_id not in self._predecessors and peer_id != self._skip_predecessor

    @property
    def origin_wait_s(self) -> float:
        """Seconds for which this agent waits for peers to send what it needs before it asks the origin.

        Zero for an agent that downloads a share; its successors follow one after the other.
        """
        shares = self._downloader_count
        distance = min(
            (self._position - index * self._length // shares) % self._length
            for index in range(shares)
        )
        if not distance:
            return 0.0
        return self._limits.handover_timeout_s + distance * self._limits.handover_step_s

    @property
    def missing(self) -> int:
        """Number of wanted chunks that are not held."""
        return len(self._missing)

    def available_by_predecessor(self) -> dict[str, int]:
        """Returns the number of missing chunks that each linked predecessor has announced."""
        return {peer.id: self._available_count(peer) for peer in self._linked_predecessors()}

    def in_flight_by_source(self) -> dict[str, int]:
        """Returns the number of fetches in flight by source."""
        return dict(Counter(fetch.source for fetch in self._fetches.values()))

    # Planning.

    def plan(self, now: float) -> list[Command]:
        """Returns the commands that are due."""
        if self._wanted_since is None:
            self._reset_progress(now)
        self._update_times(now)
        commands, self._pending_cancels = self._pending_cancels, []
        commands += self._expire(now)
        commands += self._plan_fetches(now)
        return commands + self._plan_fetches_ahead(now)

    def _plan_fetches(self, now: float) -> list[Command]:
        """Starts fetches of announced chunks and of chunks to download from the origin."""
        limits = self._limits
        commands: list[Command] = []
        usable = [peer for peer in self._linked_predecessors() if now >= peer.avoid_until]
        eligible, origin_eligible = self._eligible_predecessors(usable, now)
        window = self._window(now)
        if all(self._has_all_missing(peer) for peer in eligible):
            # Several complete sources share the window, because the downlink of this VM limits it.
            window = -(-window // max(1, len(eligible)))
        in_flight = Counter(
            f.source for f in self._fetches.values() if f.available_at < float("inf")
        )
        sources_by_distance: dict[int, tuple[bool, list[_Peer]]] = {}
        for digest, distance in self._missing.items():
            fetch = self._fetches.get(digest)
            if fetch is not None and fetch.available_at < float("inf"):
                continue
            if distance not in sources_by_distance:
                responsible = self._is_responsible(distance, now)
                peers = usable if responsible else eligible
                skip_source = self._skip_source(distance, now)
                if skip_source is not None:
                    peers = [skip_source, *peers]
                sources_by_distance[distance] = responsible, peers
            responsible, peers = sources_by_distance[distance]
            holders = [peer.id for peer in peers if digest in peer.announced]
            free = [peer_id for peer_id in holders if in_flight[peer_id] < window]
            source = min(free, key=lambda peer_id: in_flight[peer_id], default=None)
            if (
                not holders
                and (responsible or origin_eligible)
                and in_flight[ORIGIN] < limits.origin_window
            ):
                source = ORIGIN if self._may_fetch_from_origin(responsible, distance, now) else None
            if source is not None:
                if fetch is not None:
                    # Replace the fetch ahead, which has not delivered yet.
                    commands.append(CancelFetch(fetch.source, digest))
                in_flight[source] += 1
                self._fetches[digest] = _Fetch(source, now)
                commands.append(_fetch_command(source, digest, now + limits.fetch_timeout_s))
        return commands

    def _update_times(self, now: float) -> None:
        """Records when links came up and when the endgame started."""
        for peer in self._peers.values():
            if peer.link_up_at is None:
                peer.link_up_at = now
        in_endgame = len(self._missing) <= self._limits.endgame_share * len(self._wanted)
        if not in_endgame:
            self._endgame_since = None
        elif self._endgame_since is None:
            self._endgame_since = now

    def _eligible_predecessors(
        self, usable: Sequence[_Peer], now: float
    ) -> tuple[list[_Peer], bool]:
        """Returns the predecessors to ask, nearest first, and whether to ask the origin after them."""
        eligible: list[_Peer] = []
        for peer in usable:
            eligible.append(peer)
            if not self._may_bypass(peer, now):
                # Farther predecessors serve their own successors.
                return eligible, False
        return eligible, True

    def _plan_fetches_ahead(self, now: float) -> list[Command]:
        """Requests chunks before they are announced: from the nearest predecessor or the far one.

        The predecessor forwards them as they arrive, which saves the delay of an announcement and a
        request for each chunk.
        """
        commands: list[Command] = []
        nearest = next(
            (peer for peer in self._linked_predecessors() if now >= peer.avoid_until), None
        )
        if nearest is None or self._is_stalled(nearest, now):
            return commands
        window = self._window(now)
        in_flight = Counter(
            fetch.source for fetch in self._fetches.values() if fetch.available_at == float("inf")
        )
        source_by_distance: dict[int, _Peer] = {}
        for digest, distance in self._missing.items():
            source = source_by_distance.get(distance)
            if source is None:
                source = source_by_distance[distance] = self._skip_source(distance, now) or nearest
            if in_flight[source.id] >= window:
                if source is nearest:
                    break
                continue
            if digest in self._fetches or digest in source.announced or distance == 0:
                continue
            self._fetches[digest] = _Fetch(source.id, float("inf"))
            commands.append(FetchFromPeer(source.id, digest, float("inf")))
            in_flight[source.id] += 1
        return commands

    def _expire(self, now: float) -> list[Command]:
        """Cancels the fetches that have timed out or wait for a stalled predecessor."""
        expired = [
            (digest, fetch)
            for digest, fetch in self._fetches.items()
            if self._waiting_s(fetch, now) >= self._limits.fetch_timeout_s
            or self._awaits_stalled_peer(fetch, now)
        ]
        for digest, fetch in expired:
            del self._fetches[digest]
            if fetch.source == ORIGIN:
                self._origin_failed(now)
            elif fetch.source in self._peers and fetch.available_at < now:
                self._peers[fetch.source].avoid_until = now + self._limits.timeout_avoid_s
        return [CancelFetch(fetch.source, digest) for digest, fetch in expired]

    def _waiting_s(self, fetch: _Fetch, now: float) -> float:
        """Returns the seconds since the source could serve a fetch or last delivered any chunk."""
        return now - max(fetch.available_at, self._last_delivery_at.get(fetch.source, 0.0))

    def _awaits_stalled_peer(self, fetch: _Fetch, now: float) -> bool:
        """Returns whether a fetch ahead waits for a peer that has stalled."""
        peer = self._peers.get(fetch.source)
        return fetch.available_at > now and peer is not None and self._is_stalled(peer, now)

    def _is_stalled(self, peer: _Peer, now: float) -> bool:
        """Returns whether a peer has no missing chunk to offer and has announced none lately."""
        return (
            not self._available_count(peer)
            and now - peer.last_progress_at >= self._limits.stall_timeout_s
        )

    def _is_slow(self, peer: _Peer, now: float) -> bool:
        """Returns whether a peer has stalled, or leaves a fetch waiting."""
        return self._is_stalled(peer, now) or any(
            self._waiting_s(fetch, now) >= self._limits.slow_after_s
            for fetch in self._fetches.values()
            if fetch.source == peer.id
        )

    def _reset_progress(self, now: float) -> None:
        """Restarts the timers after the wanted chunks changed."""
        self._wanted_since = self._last_progress_at = now
        self._arrival_times.clear()
        for peer in self._peers.values():
            peer.last_progress_at = now

    def _may_bypass(self, peer: _Peer, now: float) -> bool:
        """Returns whether the predecessor of this peer may be asked as well."""
        limits = self._limits
        if any(
            self._waiting_s(fetch, now) >= limits.slow_after_s
            for fetch in self._fetches.values()
            if fetch.source == peer.id
        ):
            return True
        if self._is_stalled(peer, now) or self._has_all_missing(peer):
            return True
        linked = self._linked_predecessors()
        farther = linked[linked.index(peer) + 1 :]
        available = self._available_count(peer)
        if any(self._available_count(other) for other in farther):
            # The peer is compared with its direct predecessor only, because the lag adds up along a
            # healthy ring.
            return self._available_count(farther[0]) - available >= limits.max_lag_chunks
        # No farther predecessor has anything to offer, so this decides about asking the origin.
        return not available

    def _window(self, now: float) -> int:
        """Returns the maximum number of fetches in flight from one source."""
        limits = self._limits
        if len(self._arrival_times) < limits.rate_sample_chunks:
            return limits.window
        rate = limits.rate_sample_chunks / max(now - self._arrival_times[0], 1e-3)
        return max(limits.min_window, min(limits.window, round(rate * limits.queue_delay_s)))

    def _has_all_missing(self, peer: _Peer) -> bool:
        """Returns whether a peer holds all missing chunks.

        Such a peer downloads nothing itself, so its link and those of its predecessors are free.
        """
        return self._available_count(peer) == len(self._missing)

    def _available_count(self, peer: _Peer) -> int:
        """Returns the number of missing chunks that a peer has announced."""
        return len(peer.announced.keys() & self._missing.keys())

    def _linked_predecessors(self) -> list[_Peer]:
        """Returns the linked agents that precede this one, nearest first and the far one last."""
        order = self._predecessors
        if self._skip_predecessor is not None:
            order = (*order, self._skip_predecessor)
        return [self._peers[peer_id] for peer_id in order if peer_id in self._peers]

    def _is_responsible(self, distance: int, now: float) -> bool:
        """Returns whether this agent downloads a share from the origin.

        It downloads its own share, and those of its predecessors up to the nearest linked one.

        Args:
          distance: Positions by which the agent responsible for the share precedes this one.
          now: Unix seconds.
        """
        links_settled = (
            self._wanted_since is not None and now - self._wanted_since >= self._limits.link_setup_s
        )
        if distance == 0:
            linked = self._linked_predecessors()
            since = now - self._limits.announcement_wait_s
            announcements_due = all(
                peer.link_up_at is not None and peer.link_up_at <= since for peer in linked
            )
            wanted = len(self._predecessors) + bool(self._skip_length)
            return links_settled or (announcements_due and len(linked) == wanted)
        predecessors_lost = not any(peer in self._peers for peer in self._predecessors[:distance])
        return links_settled and distance <= len(self._predecessors) and predecessors_lost

    def _may_fetch_from_origin(self, responsible: bool, distance: int, now: float) -> bool:
        if now < self._origin_retry_at:
            return False
        timeout_s = self._limits.handover_timeout_s + distance * self._limits.handover_step_s
        since = self._last_progress_at if self._endgame_since is None else self._endgame_since
        return responsible or now - since >= timeout_s


def _skip_length(agents: int) -> int:
    """Returns the positions that a far link skips, 0 without one; hops grow with their square root."""
    return 0 if agents <= MAX_PLAIN_RING else round(SKIP_FACTOR * math.sqrt(agents))


def _fetch_command(source: str, digest: bytes, deadline: float) -> Command:
    if source == ORIGIN:
        return FetchFromOrigin(digest, deadline)
    return FetchFromPeer(source, digest, deadline)
