"""Distribution along a ring: each agent takes chunks from the agent before it as they arrive there.

Every machine receives and sends at the full rate of its link at the same time. Each agent draws a
share of the chunks from the origin and gets the others along the ring, so that all of them receive
from the beginning, the origin sends one copy as fast as its link allows, and an outage of the origin
soon leaves nothing to wait for. See docs/platform.md for the comparison with other ways.
"""

from __future__ import annotations

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
from fescuechute.weights._ring_limits import PREDECESSORS, RingLimits


@attrs.define
class _Peer:
    id: str
    #: Announced chunks, as an ordered set.
    has: dict[bytes, None] = attrs.field(factory=dict)
    #: Time at which it last announced a chunk that was missing here.
    news_at: float = 0.0
    avoid_until: float = 0.0
    #: Time at which its link was first seen to be up.
    up_at: float | None = None


@attrs.define
class _Fetch:
    source: str
    #: Time from which on the source had the chunk, or infinity while it has not announced it.
    started_at: float


class Ring:
    """Decides the fetches of one agent.

    Inputs change rows; `plan(now)` returns the commands to carry out. The daemon verifies and
    stores a chunk before it calls `arrived`, and calls `bad` for one that fails verification.

    Args:
      self_id: Id of this agent.
      held: The chunks already held, usually the BlobStore.
      limits: Numbers that govern the ring.
    """

    def __init__(self, self_id: str, held: Container[bytes], limits: RingLimits | None = None):
        self._self_id = self_id
        self._held = held
        self._limits = limits or RingLimits()
        #: Own place in the ring, its length, and the number of agents that draw from the origin.
        self._place = 0
        self._length = 1
        self._drawing = 1
        self._before: tuple[str, ...] = ()
        self._behind: tuple[str, ...] = ()
        self._wanted: tuple[bytes, ...] = ()
        #: Missing chunks in the order in which they are fetched, with the number of agents by which
        #: the one that draws the chunk lies before this one.
        self._missing: dict[bytes, int] = {}
        self._peers: dict[str, _Peer] = {}
        self._fetches: dict[bytes, _Fetch] = {}
        self._cancels: list[Command] = []
        #: Time at which each source last gave a chunk. A slow link serves its fetches one by one, so
        #: the age of a fetch alone says little.
        self._served_at: dict[str, float] = {}
        #: Times of the last arrivals since the wanted chunks changed.
        self._arrivals: deque[float] = deque(maxlen=self._limits.rate_chunks)
        self._origin_at = 0.0
        self._news_at = 0.0
        self._wanted_at: float | None = None
        #: Time at which few chunks were left, or None.
        self._endgame_at: float | None = None

    # Inputs.

    def want(self, digests: Iterable[bytes]) -> None:
        """Replaces the wanted chunks."""
        self._wanted = tuple(digests)
        self._arrange()

    def set_order(self, agents: Sequence[str], connections: int) -> tuple[str, ...]:
        """Takes over the ring; returns the agents to which links are needed.

        Args:
          agents: Ids in order; the first follows the last.
          connections: Connections that the origin accepts.
        """
        order = list(agents)
        at = order.index(self._self_id)
        ring = order[at + 1 :] + order[:at]
        # The nearest first.
        self._before = tuple(reversed(ring))[:PREDECESSORS]
        self._behind = tuple(ring[:PREDECESSORS])
        room = int(connections * self._limits.origin_share / self._limits.origin_window)
        self._drawing = max(1, min(len(order), room))
        self._place, self._length = at, len(order)
        self._arrange()
        return self._before

    def _arrange(self) -> None:
        """Puts the wanted chunks in the order in which they reach this agent.

        All shares are drawn at the same pace, and the nearer ones come first.
        """
        total, drawing = len(self._wanted), self._drawing
        order: list[tuple[int, int, bytes]] = []
        for n in range(drawing):
            share = self._wanted[total * n // drawing : total * (n + 1) // drawing]
            # The agents that draw are spread evenly over the ring.
            distance = (self._place + -n * self._length // drawing) % self._length
            order += [(rank, distance, digest) for rank, digest in enumerate(share)]
        missing = {
            digest: distance for _, distance, digest in sorted(order) if digest not in self._held
        }
        if missing.keys() - self._missing.keys():
            self._wanted_at = None
        self._missing = missing
        for digest in [digest for digest in self._fetches if digest not in missing]:
            self._cancels.append(CancelFetch(self._fetches.pop(digest).source, digest))

    def peer_up(self, peer_id: str) -> None:
        """A link to an agent is up; it announces its chunks afterwards."""
        self.peer_down(peer_id)
        self._peers[peer_id] = _Peer(peer_id)

    def peer_down(self, peer_id: str) -> None:
        """The link to an agent is gone, and with it what it announced."""
        self._peers.pop(peer_id, None)
        for digest in [d for d, fetch in self._fetches.items() if fetch.source == peer_id]:
            del self._fetches[digest]
            self._cancels.append(CancelFetch(peer_id, digest))

    def peer_has(self, peer_id: str, digests: Iterable[bytes], now: float) -> None:
        """An agent announces chunks."""
        peer = self._peers.get(peer_id)
        if peer is None:
            return
        for digest in digests:
            peer.has[digest] = None
            if digest in self._missing:
                peer.news_at = self._news_at = now
            fetch = self._fetches.get(digest)
            if fetch is not None and fetch.source == peer_id:
                fetch.started_at = min(fetch.started_at, now)

    def arrived(self, digest: bytes, now: float) -> None:
        """A chunk was verified and stored."""
        self._missing.pop(digest, None)
        fetch = self._fetches.pop(digest, None)
        if fetch is not None:
            self._served_at[fetch.source] = now
            self._arrivals.append(now)

    def bad(self, digest: bytes, source: str, now: float) -> None:
        """A chunk failed verification."""
        self.refused(digest, source, now)

    def refused(self, digest: bytes, source: str, now: float) -> None:
        """A source did not give a chunk."""
        fetch = self._fetches.get(digest)
        if fetch is not None and fetch.source == source:
            del self._fetches[digest]
        if source == ORIGIN:
            self._origin_failed(now)
            return
        peer = self._peers.get(source)
        if peer is not None:
            peer.has.pop(digest, None)
            peer.avoid_until = max(peer.avoid_until, now + self._limits.refused_s)

    def _origin_failed(self, now: float) -> None:
        self._origin_at = now + self._limits.origin_pause_s
        # Nobody gets a share while the origin is away; that says nothing of those that draw it.
        self._news_at = now

    # Views.

    def is_missing(self, digest: bytes) -> bool:
        """Returns whether a chunk is wanted and not held."""
        return digest in self._missing

    def is_next(self, peer_id: str) -> bool:
        """Returns whether an agent is the one right behind this one in the ring."""
        return self._behind[:1] == (peer_id,)

    def is_behind(self, peer_id: str) -> bool:
        """Returns whether a linked agent looks to this one for chunks.

        One that is not known here yet has linked itself because of its own, newer view of the ring.
        """
        return peer_id in self._behind or peer_id not in self._before

    @property
    def missing(self) -> int:
        """Number of wanted chunks that are not held."""
        return len(self._missing)

    def sources(self) -> dict[str, int]:
        """Returns the number of wanted chunks that each linked agent announced."""
        return {peer.id: self._available(peer) for peer in self._linked()}

    def fetching(self) -> dict[str, int]:
        """Returns the number of fetches in flight by source."""
        return dict(Counter(fetch.source for fetch in self._fetches.values()))

    # Decisions.

    def plan(self, now: float) -> list[Command]:
        """Returns the commands that are due."""
        if self._wanted_at is None:
            self._begin(now)
        self._note_times(now)
        commands, self._cancels = self._cancels, []
        commands += self._expire(now)
        commands += self._fetch_due(now)
        return commands + self._ask_ahead(now)

    def _fetch_due(self, now: float) -> list[Command]:
        """Fetches what agents whose turn it is hold, and what is drawn from the origin here."""
        limits = self._limits
        commands: list[Command] = []
        usable = [peer for peer in self._linked() if now >= peer.avoid_until]
        turn, origin_next = self._turn(usable, now)
        window = self._window(now)
        if all(self._has_all(peer) for peer in turn):
            # Several sources share the window, which is what the own link bears.
            window = -(-window // max(1, len(turn)))
        busy = Counter(f.source for f in self._fetches.values() if f.started_at < float("inf"))
        for digest, distance in self._missing.items():
            fetch = self._fetches.get(digest)
            if fetch is not None and fetch.started_at < float("inf"):
                continue
            draws = self._draws(distance, now)
            peers = usable if draws else turn
            holders = [peer.id for peer in peers if digest in peer.has]
            free = [peer_id for peer_id in holders if busy[peer_id] < window]
            source = min(free, key=lambda peer_id: busy[peer_id], default=None)
            if not holders and (draws or origin_next) and busy[ORIGIN] < limits.origin_window:
                source = ORIGIN if self._may_ask_origin(draws, distance, now) else None
            if source is not None:
                if fetch is not None:
                    # It was asked for ahead, in vain so far.
                    commands.append(CancelFetch(fetch.source, digest))
                busy[source] += 1
                self._fetches[digest] = _Fetch(source, now)
                commands.append(_fetch(source, digest, now + limits.fetch_s))
        return commands

    def _note_times(self, now: float) -> None:
        for peer in self._peers.values():
            if peer.up_at is None:
                peer.up_at = now
        few = len(self._missing) <= self._limits.endgame_share * len(self._wanted)
        if not few:
            self._endgame_at = None
        elif self._endgame_at is None:
            self._endgame_at = now

    def _turn(self, usable: Sequence[_Peer], now: float) -> tuple[list[_Peer], bool]:
        """Returns the agents whose turn it is, nearest first, and whether the origin follows them."""
        turn: list[_Peer] = []
        for peer in usable:
            turn.append(peer)
            if not self._passes_over(peer, now):
                # Farther agents are left to those next to them.
                return turn, False
        return turn, True

    def _ask_ahead(self, now: float) -> list[Command]:
        """Asks the agent before this one for chunks that it will have next.

        It gives them on as they arrive, which spares an announcement and a request for each.
        """
        commands: list[Command] = []
        near = next((peer for peer in self._linked() if now >= peer.avoid_until), None)
        if near is None or self._stalls(near, now):
            return commands
        room = self._window(now) - sum(
            fetch.source == near.id and fetch.started_at == float("inf")
            for fetch in self._fetches.values()
        )
        for digest, distance in self._missing.items():
            if room <= 0:
                break
            if digest in self._fetches or digest in near.has or distance == 0:
                continue
            self._fetches[digest] = _Fetch(near.id, float("inf"))
            commands.append(FetchFromPeer(near.id, digest, float("inf")))
            room -= 1
        return commands

    def _expire(self, now: float) -> list[Command]:
        late = [
            (digest, fetch)
            for digest, fetch in self._fetches.items()
            if self._age(fetch, now) >= self._limits.fetch_s or self._in_vain(fetch, now)
        ]
        for digest, fetch in late:
            del self._fetches[digest]
            if fetch.source == ORIGIN:
                self._origin_failed(now)
            elif fetch.source in self._peers and fetch.started_at < now:
                self._peers[fetch.source].avoid_until = now + self._limits.avoid_s
        return [CancelFetch(fetch.source, digest) for digest, fetch in late]

    def _age(self, fetch: _Fetch, now: float) -> float:
        """Returns the time since the source of a fetch could have served it, or served another."""
        return now - max(fetch.started_at, self._served_at.get(fetch.source, 0.0))

    def _in_vain(self, fetch: _Fetch, now: float) -> bool:
        peer = self._peers.get(fetch.source)
        return fetch.started_at > now and peer is not None and self._stalls(peer, now)

    def _stalls(self, peer: _Peer, now: float) -> bool:
        return not self._available(peer) and now - peer.news_at >= self._limits.stall_s

    def _begin(self, now: float) -> None:
        self._wanted_at = self._news_at = now
        self._arrivals.clear()
        for peer in self._peers.values():
            peer.news_at = now

    def _passes_over(self, peer: _Peer, now: float) -> bool:
        """Returns whether the agent before this peer may be asked as well."""
        limits = self._limits
        if any(
            self._age(fetch, now) >= limits.slow_s
            for fetch in self._fetches.values()
            if fetch.source == peer.id
        ):
            return True
        if self._stalls(peer, now) or self._has_all(peer):
            return True
        linked = self._linked()
        farther = linked[linked.index(peer) + 1 :]
        available = self._available(peer)
        if any(self._available(other) for other in farther):
            # Each agent is compared with the next one only: the distance along a healthy ring
            # adds up.
            return self._available(farther[0]) - available >= limits.lag_chunks
        # Nobody farther has anything either, so the origin is the question.
        return not available

    def _window(self, now: float) -> int:
        """Returns the fetches that one source may have in flight."""
        limits = self._limits
        if len(self._arrivals) < limits.rate_chunks:
            return limits.window
        rate = limits.rate_chunks / max(now - self._arrivals[0], 1e-3)
        return max(limits.least_window, min(limits.window, round(rate * limits.queue_s)))

    def _has_all(self, peer: _Peer) -> bool:
        """Returns whether an agent needs nothing itself, so that its link and others are free."""
        return self._available(peer) == len(self._missing)

    def _available(self, peer: _Peer) -> int:
        return len(peer.has.keys() & self._missing.keys())

    def _linked(self) -> list[_Peer]:
        return [self._peers[peer_id] for peer_id in self._before if peer_id in self._peers]

    def _draws(self, distance: int, now: float) -> bool:
        """Returns whether a share is drawn here: the own one, or that of lost agents right before.

        Args:
          distance: Agents by which the one of the share lies before this one.
          now: Unix seconds.
        """
        settled = self._wanted_at is not None and now - self._wanted_at >= self._limits.links_s
        if distance == 0:
            linked = self._linked()
            since = now - self._limits.announce_s
            told = all(peer.up_at is not None and peer.up_at <= since for peer in linked)
            return settled or (told and len(linked) == len(self._before))
        lost = not any(peer in self._peers for peer in self._before[:distance])
        return settled and distance <= len(self._before) and lost

    def _may_ask_origin(self, draws: bool, distance: int, now: float) -> bool:
        if now < self._origin_at:
            return False
        patience_s = self._limits.takeover_s + distance * self._limits.takeover_step_s
        since = self._news_at if self._endgame_at is None else self._endgame_at
        return draws or now - since >= patience_s


def _fetch(source: str, digest: bytes, deadline: float) -> Command:
    if source == ORIGIN:
        return FetchFromOrigin(digest, deadline)
    return FetchFromPeer(source, digest, deadline)
