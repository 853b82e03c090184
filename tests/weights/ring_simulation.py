"""Simulates agents in a ring over rate-limited links, with slow and killed agents and an origin."""

from __future__ import annotations

import heapq
import itertools

from fescuechute.weights import ORIGIN, CancelFetch, FetchFromOrigin, Ring

#: Transmission time of a chunk on the link of a VM in seconds.
CHUNK_S = 0.05
#: Delay of a message between agents in seconds.
HOP_S = 0.004
#: Interval between the ticks of an agent in seconds.
TICK_S = 0.05


class SimulatedAgent:
    """One agent: its ring, the chunks that it holds, and when its links are free."""

    def __init__(self, name: str, held: set[bytes]):
        self.name = name
        self.held = held
        self.ring = Ring(name, held)
        self.uplink_free_at = 0.0
        self.downlink_free_at = 0.0
        self.alive = True
        #: Factor of the transmission time on its links.
        self.slowdown = 1.0
        self.announced: set[bytes] = set()
        self.waiting_requests: list[tuple[str, bytes]] = []
        self.completed_at: float | None = None


class RingSimulation:
    """Discrete-event simulation that runs until all living agents hold all chunks."""

    def __init__(
        self,
        count: int,
        chunks: int,
        holders: int = 0,
        connections: int = 48,
        origin_speed: float = 2.0,
        shares_origin: bool = False,
    ):
        self.connections = connections
        #: Speed of the link of the origin relative to that of a VM.
        self.origin_speed = origin_speed
        #: Whether the origin sends all chunks that are asked for at the same time, or one after the other.
        self.shares_origin = shares_origin
        self.digests = [b"%d" % n for n in range(chunks)]
        names = [f"a{n:02}" for n in range(count)]
        self.agents = {
            name: SimulatedAgent(name, set(self.digests) if n < holders else set())
            for n, name in enumerate(names)
        }
        self.names = names
        self.now = 0.0
        self.origin_sent = 0
        #: Seconds of the whole link that each download still needs, by agent and chunk.
        self._downloads = {}
        self._origin_advanced_at = 0.0
        self._origin_epoch = 0
        self.origin_free_at = 0.0
        self.origin_down = False
        self._events: list = []
        self._sequence = itertools.count()

    def at(self, time: float, function) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), function))

    def run(self, limit_s: float = 60.0) -> float:
        """Runs the simulation; returns the seconds until every living agent holds all chunks."""
        # Chunks that are sent one after the other arrive early however many are asked for.
        chunks_per_s = self.origin_speed / CHUNK_S if self.shares_origin else float("inf")
        for name in self.names:
            ring = self.agents[name].ring
            for predecessor in ring.set_order(self.names, self.connections, chunks_per_s):
                self._link(self.agents[name], self.agents[predecessor])
        for n, agent in enumerate(self.agents.values()):
            agent.ring.want(self.digests)
            self.at(n * 0.001, lambda agent=agent: self._tick(agent))
        while self._events and not self._complete():
            self.now, _, function = heapq.heappop(self._events)
            assert self.now < limit_s, {a.name: len(a.held) for a in self.agents.values()}
            function()
        return self.now

    def kill(self, name: str) -> None:
        agent = self.agents[name]
        agent.alive = False
        for other in self.agents.values():
            other.ring.peer_down(name)

    def _complete(self) -> bool:
        return all(
            len(agent.held) == len(self.digests) for agent in self.agents.values() if agent.alive
        )

    def _link(self, agent: SimulatedAgent, other: SimulatedAgent) -> None:
        if agent is not other and agent.alive and other.alive:
            agent.ring.peer_up(other.name)
            other.ring.peer_up(agent.name)

    def _tick(self, agent: SimulatedAgent) -> None:
        if not agent.alive:
            return
        self._plan(agent)
        new_digests = [digest for digest in self.digests if digest in agent.held - agent.announced]
        agent.announced |= agent.held
        for other in self.agents.values():
            if new_digests and other.alive and agent.ring.is_successor(other.name):
                self.at(
                    self.now + HOP_S,
                    lambda other=other: other.ring.record_announcement(
                        agent.name, new_digests, self.now
                    ),
                )
        self.at(self.now + TICK_S, lambda: self._tick(agent))

    def _plan(self, agent: SimulatedAgent) -> None:
        for command in agent.ring.plan(self.now):
            if isinstance(command, CancelFetch) and command.source == ORIGIN:
                self._advance_origin()
                self._downloads.pop((agent.name, command.digest), None)
                self._schedule_origin()
            elif isinstance(command, CancelFetch):
                source = self.agents.get(command.source)
                if source is not None and (agent.name, command.digest) in source.waiting_requests:
                    source.waiting_requests.remove((agent.name, command.digest))
            elif isinstance(command, FetchFromOrigin):
                self._fetch_from_origin(agent, command.digest)
            else:
                source = self.agents[command.peer_id]
                digest = command.digest
                self.at(
                    self.now + HOP_S,
                    lambda source=source, digest=digest: self._receive_request(
                        source, agent, digest
                    ),
                )

    def _fetch_from_origin(self, agent: SimulatedAgent, digest: bytes) -> None:
        if self.origin_down:
            agent.ring.record_failure(digest, ORIGIN, self.now)
            return
        self.origin_sent += 1
        if not self.shares_origin:
            self.origin_free_at = max(self.now, self.origin_free_at) + CHUNK_S / self.origin_speed
            self._deliver(agent, digest, self.origin_free_at, ORIGIN)
            return
        self._advance_origin()
        self._downloads[agent.name, digest] = CHUNK_S / self.origin_speed
        self._schedule_origin()

    def _advance_origin(self) -> None:
        """Lets the downloads share the link of the origin equally up to now."""
        share = (self.now - self._origin_advanced_at) / max(1, len(self._downloads))
        self._origin_advanced_at = self.now
        for key in self._downloads:
            self._downloads[key] -= share

    def _schedule_origin(self) -> None:
        self._origin_epoch += 1
        if not self._downloads:
            return
        epoch = self._origin_epoch
        remaining_s = min(self._downloads.values()) * len(self._downloads)
        self.at(self.now + max(0.0, remaining_s), lambda: self._origin_event(epoch))

    def _origin_event(self, epoch: int) -> None:
        if epoch != self._origin_epoch:
            return
        self._advance_origin()
        done = [key for key, remaining in self._downloads.items() if remaining <= 1e-9]
        for key in done:
            del self._downloads[key]
            name, digest = key
            self._deliver(self.agents[name], digest, self.now, ORIGIN)
        self._schedule_origin()

    def _receive_request(
        self, source: SimulatedAgent, agent: SimulatedAgent, digest: bytes
    ) -> None:
        if not source.alive:
            return
        if digest not in source.held:
            source.waiting_requests.append((agent.name, digest))
            return
        source.uplink_free_at = max(self.now, source.uplink_free_at) + CHUNK_S * source.slowdown
        self._deliver(agent, digest, source.uplink_free_at, source.name)

    def _deliver(self, agent: SimulatedAgent, digest: bytes, sent_at: float, source: str) -> None:
        """Occupies the downlink once the chunk has left its source."""

        def occupy_downlink() -> None:
            started_at = max(self.now - CHUNK_S * agent.slowdown, agent.downlink_free_at)
            agent.downlink_free_at = started_at + CHUNK_S * agent.slowdown
            arrives_at = max(self.now, agent.downlink_free_at) + HOP_S
            self.at(arrives_at, lambda: self._arrive(agent, digest, source))

        self.at(sent_at, occupy_downlink)

    def _arrive(self, agent: SimulatedAgent, digest: bytes, source: str) -> None:
        if not agent.alive or (source != ORIGIN and not self.agents[source].alive):
            return
        agent.held.add(digest)
        agent.ring.record_arrival(digest, self.now)
        if len(agent.held) == len(self.digests):
            agent.completed_at = self.now
        for name, wanted in list(agent.waiting_requests):
            if wanted == digest:
                agent.waiting_requests.remove((name, wanted))
                self._receive_request(agent, self.agents[name], digest)
        self._plan(agent)
