"""A swarm of agents in a ring over links with a rate, with peers that stall, die or send rubbish."""

from __future__ import annotations

import heapq
import itertools

from fescuechute.weights import ORIGIN, CancelFetch, FetchFromOrigin, Ring

#: Seconds that a chunk takes on a link, and that a message takes to another agent.
CHUNK_S = 0.05
HOP_S = 0.004
#: Seconds between two ticks of an agent.
TICK_S = 0.05


class Agent:
    """One agent: its ring, what it holds, and when its uplink is free."""

    def __init__(self, name: str, held: set[bytes]):
        self.name = name
        self.held = held
        self.ring = Ring(name, held)
        self.up_free_at = 0.0
        self.down_free_at = 0.0
        self.alive = True
        #: Factor of the time that a chunk takes on its links.
        self.slow = 1.0
        self.told: set[bytes] = set()
        self.parked: list[tuple[str, bytes]] = []
        self.done_at: float | None = None


class Swarm:
    """Runs the agents until all that are alive hold everything."""

    def __init__(self, count: int, chunks: int, holders: int = 0, connections: int = 48):
        self.connections = connections
        self.digests = [b"%d" % n for n in range(chunks)]
        names = [f"a{n:02}" for n in range(count)]
        self.agents = {
            name: Agent(name, set(self.digests) if n < holders else set())
            for n, name in enumerate(names)
        }
        self.names = names
        self.now = 0.0
        self.origin_sent = 0
        self.origin_free_at = 0.0
        self.origin_down = False
        self._events: list = []
        self._order = itertools.count()

    def at(self, time: float, function) -> None:
        heapq.heappush(self._events, (time, next(self._order), function))

    def run(self, limit_s: float = 60.0) -> float:
        """Returns the seconds until every living agent holds everything."""
        for name in self.names:
            for before in self.agents[name].ring.set_order(self.names, self.connections):
                self._link(self.agents[name], self.agents[before])
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

    def _link(self, one: Agent, other: Agent) -> None:
        if one is not other and one.alive and other.alive:
            one.ring.peer_up(other.name)
            other.ring.peer_up(one.name)

    def _tick(self, agent: Agent) -> None:
        if not agent.alive:
            return
        self._plan(agent)
        news = [digest for digest in self.digests if digest in agent.held - agent.told]
        agent.told |= agent.held
        for other in self.agents.values():
            if news and other.alive and agent.ring.is_behind(other.name):
                self.at(
                    self.now + HOP_S,
                    lambda other=other: other.ring.peer_has(agent.name, news, self.now),
                )
        self.at(self.now + TICK_S, lambda: self._tick(agent))

    def _plan(self, agent: Agent) -> None:
        for command in agent.ring.plan(self.now):
            if isinstance(command, CancelFetch):
                source = self.agents.get(command.source)
                if source is not None and (agent.name, command.digest) in source.parked:
                    source.parked.remove((agent.name, command.digest))
            elif isinstance(command, FetchFromOrigin):
                self._from_origin(agent, command.digest)
            else:
                source = self.agents[command.peer_id]
                digest = command.digest
                self.at(
                    self.now + HOP_S,
                    lambda source=source, digest=digest: self._asked(source, agent, digest),
                )

    def _from_origin(self, agent: Agent, digest: bytes) -> None:
        if self.origin_down:
            agent.ring.refused(digest, ORIGIN, self.now)
            return
        self.origin_sent += 1
        self.origin_free_at = max(self.now, self.origin_free_at) + CHUNK_S / 2
        self._deliver(agent, digest, self.origin_free_at, ORIGIN)

    def _asked(self, source: Agent, agent: Agent, digest: bytes) -> None:
        if not source.alive:
            return
        if digest not in source.held:
            source.parked.append((agent.name, digest))
            return
        source.up_free_at = max(self.now, source.up_free_at) + CHUNK_S * source.slow
        self._deliver(agent, digest, source.up_free_at, source.name)

    def _deliver(self, agent: Agent, digest: bytes, sent_at: float, source: str) -> None:
        """Takes the downlink once the chunk has left its source."""

        def sent() -> None:
            begin_at = max(self.now - CHUNK_S * agent.slow, agent.down_free_at)
            agent.down_free_at = begin_at + CHUNK_S * agent.slow
            at = max(self.now, agent.down_free_at) + HOP_S
            self.at(at, lambda: self._arrive(agent, digest, source))

        self.at(sent_at, sent)

    def _arrive(self, agent: Agent, digest: bytes, source: str) -> None:
        if not agent.alive or (source != ORIGIN and not self.agents[source].alive):
            return
        agent.held.add(digest)
        agent.ring.arrived(digest, self.now)
        if len(agent.held) == len(self.digests):
            agent.done_at = self.now
        for name, wanted in list(agent.parked):
            if wanted == digest:
                agent.parked.remove((name, wanted))
                self._asked(agent, self.agents[name], digest)
        self._plan(agent)
