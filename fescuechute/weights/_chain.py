"""Distribution along a chain: each agent takes chunks from the agent before it as they arrive there.

Every machine receives and sends at the full rate of its link at the same time, so a burst to N
machines takes the time of one copy plus N - 1 chunks. The origin sends one copy, and each boundary
between regions is crossed once. See docs/platform.md for the comparison with `Exchange`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable, Sequence

import attrs

from fescuechute.weights._commands import (
    ORIGIN,
    CancelFetch,
    Command,
    FetchFromOrigin,
    FetchFromPeer,
)

#: Agents before this one in the chain to which links are kept.
PREDECESSORS = 3


#: Agents by which a chain may be longer to spare one copy between regions.
CROSSING_AGENTS = 3


@attrs.frozen
class ChainLimits:
    """Numbers that govern the chain. Times are in seconds."""

    #: Fetches in flight from one source, and from all sources. Each is a connection with a small
    #: window, and the way back of a busy link is slow, so that few of them do not fill it.
    window: int = 12
    parallel: int = 14
    #: The same for the origin, which has a link for itself; more would queue in front of requests.
    origin_window: int = 4
    #: Time without an announcement after which a nearer agent counts as stalled, and the chunks by
    #: which it may be behind the next one; then that one is asked too. Both are several times what a
    #: healthy neighbour shows. Asking it sooner would split its link and slow the whole chain.
    stall_s: float = 0.8
    lag_chunks: int = 10
    #: Time without a chunk from the source of a fetch from which on it counts as slow.
    slow_s: float = 0.7
    #: Time without a chunk from its source after which a fetch of an announced chunk is given up, and
    #: for which the source is avoided then. One that was asked for ahead is given up when its source stalls.
    fetch_s: float = 1.5
    avoid_s: float = 1.0
    #: Time for which a source is avoided after it refused a chunk.
    refused_s: float = 0.1
    #: Time without a new chunk at the agents before it after which an agent asks the origin itself;
    #: grows with its place in the chain, so that the first one of a region cut off does it alone.
    takeover_s: float = 0.8
    takeover_step_s: float = 0.1
    #: Time after the wanted chunks changed in which links may come up before the origin is asked.
    links_s: float = 0.3
    #: Pause after a failure of the origin.
    origin_pause_s: float = 0.2


@attrs.define
class _Peer:
    id: str
    #: Announced chunks, as an ordered set.
    has: dict[bytes, None] = attrs.field(factory=dict)
    #: Time at which it last announced a chunk that was missing here.
    news_at: float = 0.0
    avoid_until: float = 0.0


@attrs.define
class _Fetch:
    source: str
    #: Time from which on the source had the chunk, or infinity while it has not announced it.
    started_at: float


class Chain:
    """Decides the fetches of one agent.

    Inputs change rows; `plan(now)` returns the commands to carry out. The daemon verifies and
    stores a chunk before it calls `arrived`, and calls `bad` for one that fails verification.

    Args:
      self_id: Id of this agent.
      held: The chunks already held, usually the BlobStore.
      limits: Numbers that govern the chain.
    """

    def __init__(self, self_id: str, held: Container[bytes], limits: ChainLimits | None = None):
        self._self_id = self_id
        self._held = held
        self._limits = limits or ChainLimits()
        self._place = 0
        self._before: tuple[str, ...] = ()
        self._behind: tuple[str, ...] = ()
        #: Missing chunks in the order in which they are fetched.
        self._missing: dict[bytes, None] = {}
        self._peers: dict[str, _Peer] = {}
        self._fetches: dict[bytes, _Fetch] = {}
        self._cancels: list[Command] = []
        #: Time at which each source last gave a chunk. A slow link serves its fetches one by one, so
        #: the age of a fetch alone says little.
        self._served_at: dict[str, float] = {}
        self._origin_at = 0.0
        self._news_at = 0.0
        self._wanted_at: float | None = None

    # Inputs.

    def want(self, digests: Iterable[bytes]) -> None:
        """Replaces the wanted chunks; they are fetched in this order."""
        missing = {digest: None for digest in digests if digest not in self._held}
        if list(missing) == list(self._missing):
            return
        if missing.keys() - self._missing.keys():
            self._wanted_at = None
        self._missing = missing
        for digest in [digest for digest in self._fetches if digest not in missing]:
            self._cancels.append(CancelFetch(self._fetches.pop(digest).source, digest))

    def set_order(self, agents: Sequence[str]) -> tuple[str, ...]:
        """Takes over the order of the chain; returns the agents to which links are needed."""
        order = list(agents)
        self._place = order.index(self._self_id)
        ring = order[self._place + 1 :] + order[: self._place]
        # The nearest first; the first agent of the chain looks to its end.
        self._before = tuple(reversed(ring))[:PREDECESSORS]
        self._behind = tuple(ring[:PREDECESSORS])
        return self._before

    def peer_up(self, peer_id: str) -> None:
        """A link to an agent is up; it announces its chunks afterwards."""
        self.peer_down(peer_id)
        self._peers[peer_id] = _Peer(peer_id)

    def peer_down(self, peer_id: str) -> None:
        """The link to an agent is gone, and with it what it announced."""
        self._peers.pop(peer_id, None)
        for digest in [d for d, fetch in self._fetches.items() if fetch.source == peer_id]:
            del self._fetches[digest]

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

    def bad(self, digest: bytes, source: str, now: float) -> None:
        """A chunk failed verification."""
        self.refused(digest, source, now)

    def refused(self, digest: bytes, source: str, now: float) -> None:
        """A source did not give a chunk."""
        fetch = self._fetches.get(digest)
        if fetch is not None and fetch.source == source:
            del self._fetches[digest]
        if source == ORIGIN:
            self._origin_at = now + self._limits.origin_pause_s
            return
        peer = self._peers.get(source)
        if peer is not None:
            peer.has.pop(digest, None)
            peer.avoid_until = max(peer.avoid_until, now + self._limits.refused_s)

    # Views.

    def is_missing(self, digest: bytes) -> bool:
        """Returns whether a chunk is wanted and not held."""
        return digest in self._missing

    def is_next(self, peer_id: str) -> bool:
        """Returns whether an agent is the one right behind this one in the chain."""
        return self._behind[:1] == (peer_id,)

    def is_behind(self, peer_id: str) -> bool:
        """Returns whether an agent looks to this one for chunks."""
        return peer_id in self._behind

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
        commands, self._cancels = self._cancels, []
        commands += self._expire(now)
        for digest in list(self._missing):
            if len(self._fetches) >= self._limits.parallel:
                break
            if digest in self._fetches:
                continue
            source = self._source(digest, now)
            if source is not None:
                self._fetches[digest] = _Fetch(source, now)
                commands.append(_fetch(source, digest, now + self._limits.fetch_s))
        return commands + self._ask_ahead(now)

    def _ask_ahead(self, now: float) -> list[Command]:
        """Asks the agent before this one for chunks that it will have next.

        It gives them on as they arrive, which spares an announcement and a request for each.
        """
        commands: list[Command] = []
        near = next((peer for peer in self._linked() if now >= peer.avoid_until), None)
        if near is None or self._place == 0 or self._stalls(near, now):
            return commands
        for digest in self._missing:
            if self._in_flight(near.id) >= self._limits.window:
                break
            if digest not in self._fetches and digest not in near.has:
                self._fetches[digest] = _Fetch(near.id, float("inf"))
                commands.append(FetchFromPeer(near.id, digest, float("inf")))
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
                self._origin_at = now + self._limits.origin_pause_s
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
        for peer in self._peers.values():
            peer.news_at = now

    def _source(self, digest: bytes, now: float) -> str | None:
        is_held = False
        for peer in self._linked():
            if now < peer.avoid_until:
                continue
            if digest in peer.has:
                is_held = True
                if self._in_flight(peer.id) < self._limits.window:
                    return peer.id
            if not self._passes_over(peer, now):
                # Its turn: farther agents are left to those next to them.
                return None
        return ORIGIN if not is_held and self._may_ask_origin(now) else None

    def _passes_over(self, peer: _Peer, now: float) -> bool:
        """Returns whether the agent before this peer may be asked as well."""
        limits = self._limits
        if any(
            self._age(fetch, now) >= limits.slow_s
            for fetch in self._fetches.values()
            if fetch.source == peer.id
        ):
            return True
        if self._available(peer):
            return False
        if self._stalls(peer, now):
            return True
        linked = self._linked()
        farther = linked[linked.index(peer) + 1 :]
        if any(self._available(other) for other in farther):
            # Each agent is compared with the next one only: the distance along a healthy chain
            # adds up.
            return self._available(farther[0]) >= limits.lag_chunks
        # Nobody farther has anything either, so the origin is the question.
        return True

    def _available(self, peer: _Peer) -> int:
        return len(peer.has.keys() & self._missing.keys())

    def _in_flight(self, source: str) -> int:
        return sum(fetch.source == source for fetch in self._fetches.values())

    def _linked(self) -> list[_Peer]:
        return [self._peers[peer_id] for peer_id in self._before if peer_id in self._peers]

    def _may_ask_origin(self, now: float) -> bool:
        if now < self._origin_at or self._in_flight(ORIGIN) >= self._limits.origin_window:
            return False
        if self._place == 0:
            linked = all(peer_id in self._peers for peer_id in self._before)
            return linked or now - (self._wanted_at or 0.0) >= self._limits.links_s
        patience_s = self._limits.takeover_s + self._place * self._limits.takeover_step_s
        return now - self._news_at >= patience_s


def split_chains(regions: Sequence[Sequence[str]], count: int) -> list[list[str]]:
    """Splits agents into chains, each of which draws a copy from the origin.

    A chain that begins with a region costs nothing more between regions than one that goes on into
    it, so such cuts are preferred.

    Args:
      regions: Agents of each region in their order, the region of the origin first.
      count: Chains that the link of the origin can feed.
    """
    chains = [[(agent, region) for region, agents in enumerate(regions) for agent in agents]]
    for _ in range(count - 1):
        longest = max(chains, key=len)
        if len(longest) < 2:
            break
        at = min(range(1, len(longest)), key=lambda at: _cut_cost(longest, at))
        index = chains.index(longest)
        chains[index : index + 1] = [longest[:at], longest[at:]]
    return [[agent for agent, _ in chain] for chain in chains if chain]


def _cut_cost(chain: list[tuple[str, int]], at: int) -> int:
    """Returns the length of the longer part, in agents, and what an additional crossing costs."""
    region = chain[at][1]
    crosses = region > 0 and chain[at - 1][1] == region
    return max(at, len(chain) - at) + (CROSSING_AGENTS if crosses else 0)


def _fetch(source: str, digest: bytes, deadline: float) -> Command:
    if source == ORIGIN:
        return FetchFromOrigin(digest, deadline)
    return FetchFromPeer(source, digest, deadline)
