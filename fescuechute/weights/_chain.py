"""Distribution along a chain: each agent takes chunks from the agent before it as they arrive there.

Every machine receives and sends at the full rate of its link at the same time, so a burst to N
machines takes the time of one copy plus N - 1 chunks. The origin sends one copy, and each boundary
between regions is crossed once. See docs/platform.md for the comparison with `Exchange`.
"""

from __future__ import annotations

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


@attrs.frozen
class ChainLimits:
    """Numbers that govern the chain. Times are in seconds."""

    #: Fetches in flight from one source, and from all sources. Enough to fill a link while a request
    #: for the next chunk crosses a region boundary.
    window: int = 3
    parallel: int = 4
    #: Age of an announcement by each agent further up the chain before it is asked instead of a
    #: nearer one that lacks the chunk. A healthy neighbour has it within the time of a few chunks.
    patience_s: float = 0.4
    #: Age of a fetch from which on its source counts as slow.
    slow_s: float = 0.7
    #: Time after which a fetch is given up, and for which its source is avoided then.
    fetch_s: float = 1.5
    avoid_s: float = 1.0
    #: Time without any new chunk after which an agent asks the origin itself; grows with its place
    #: in the chain, so that the first one of a region cut off does it alone.
    takeover_s: float = 0.8
    takeover_step_s: float = 0.1
    #: Time after the wanted chunks changed in which links may come up before the origin is asked.
    links_s: float = 0.3
    #: Pause after a failure of the origin.
    origin_pause_s: float = 0.2


@attrs.define
class _Peer:
    id: str
    #: Time at which each chunk was announced.
    has: dict[bytes, float] = attrs.field(factory=dict)
    avoid_until: float = 0.0


@attrs.define
class _Fetch:
    source: str
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
        #: Missing chunks in the order in which they are fetched.
        self._missing: dict[bytes, None] = {}
        self._peers: dict[str, _Peer] = {}
        self._fetches: dict[bytes, _Fetch] = {}
        self._cancels: list[Command] = []
        self._origin_at = 0.0
        self._progress_at = 0.0
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
        """Takes over the order of all agents; returns those to which links are needed."""
        order = list(agents)
        if self._self_id not in order:
            order.append(self._self_id)
        self._place = order.index(self._self_id)
        ring = order[self._place + 1 :] + order[: self._place]
        # The nearest first; the first agent of the chain looks to its end.
        self._before = tuple(reversed(ring))[:PREDECESSORS]
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
            peer.has.setdefault(digest, now)
            if digest in self._missing:
                self._progress_at = now

    def arrived(self, digest: bytes, now: float) -> None:
        """A chunk was verified and stored."""
        self._missing.pop(digest, None)
        self._fetches.pop(digest, None)
        self._progress_at = now

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

    # Views.

    @property
    def missing(self) -> int:
        """Number of wanted chunks that are not held."""
        return len(self._missing)

    # Decisions.

    def plan(self, now: float) -> list[Command]:
        """Returns the commands that are due."""
        if self._wanted_at is None:
            self._wanted_at = self._progress_at = now
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
        return commands

    def _expire(self, now: float) -> list[Command]:
        late = [
            (digest, fetch)
            for digest, fetch in self._fetches.items()
            if now - fetch.started_at >= self._limits.fetch_s
        ]
        for digest, fetch in late:
            del self._fetches[digest]
            if fetch.source == ORIGIN:
                self._origin_at = now + self._limits.origin_pause_s
            elif fetch.source in self._peers:
                self._peers[fetch.source].avoid_until = now + self._limits.avoid_s
        return [CancelFetch(fetch.source, digest) for digest, fetch in late]

    def _source(self, digest: bytes, now: float) -> str | None:
        held_by_peer = False
        near_is_slow = True
        passed = 0
        for peer in self._linked():
            in_flight = [fetch for fetch in self._fetches.values() if fetch.source == peer.id]
            slow = any(now - fetch.started_at >= self._limits.slow_s for fetch in in_flight)
            usable = now >= peer.avoid_until
            announced_at = peer.has.get(digest)
            if announced_at is not None and usable:
                held_by_peer = True
                waited = now - announced_at >= passed * self._limits.patience_s
                may_ask = (
                    passed == 0 or near_is_slow or (waited and not self._near_has(digest, peer))
                )
                if may_ask and len(in_flight) < self._limits.window:
                    return peer.id
            if usable:
                near_is_slow = near_is_slow and slow
                passed += 1
        if not held_by_peer and self._may_ask_origin(now):
            return ORIGIN
        return None

    def _linked(self) -> list[_Peer]:
        return [self._peers[peer_id] for peer_id in self._before if peer_id in self._peers]

    def _near_has(self, digest: bytes, peer: _Peer) -> bool:
        for other in self._linked():
            if other is peer:
                return False
            if digest in other.has:
                return True
        return False

    def _may_ask_origin(self, now: float) -> bool:
        if now < self._origin_at:
            return False
        in_flight = sum(fetch.source == ORIGIN for fetch in self._fetches.values())
        if in_flight >= self._limits.window:
            return False
        if self._place == 0:
            linked = all(peer_id in self._peers for peer_id in self._before)
            return linked or now - (self._wanted_at or 0.0) >= self._limits.links_s
        patience_s = self._limits.takeover_s + self._place * self._limits.takeover_step_s
        return now - self._progress_at >= patience_s or in_flight > 0


def _fetch(source: str, digest: bytes, deadline: float) -> Command:
    if source == ORIGIN:
        return FetchFromOrigin(digest, deadline)
    return FetchFromPeer(source, digest, deadline)
