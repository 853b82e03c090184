"""Exchange: which blob to ask from whom."""

from __future__ import annotations

import random
from collections.abc import Container, Iterable, Mapping

from fescuechute.weights._commands import ORIGIN, CancelFetch, Command
from fescuechute.weights._designation import Designation
from fescuechute.weights._peers import MAX_DIGESTS_PER_PEER, ExchangeLimits, SourceRow, WantedRow
from fescuechute.weights._table import BlobTable


class Exchange:
    """Decides the fetches of one agent.

    Inputs change rows; `plan(now)` returns the commands to carry out. The daemon verifies and
    stores a blob before it calls `arrived`, and calls `bad` for one that fails verification.

    Args:
      self_id: Process id of this agent.
      region: Its region.
      home: Region of the store.
      held: The blobs already held, usually the BlobStore.
      rng: Seeded random numbers.
      limits: Numbers that govern the exchange.
    """

    def __init__(
        self,
        self_id: str,
        region: str,
        home: str,
        held: Container[bytes],
        rng: random.Random,
        limits: ExchangeLimits | None = None,
    ):
        self._self_id = self_id
        self._region = region
        self._held = held
        self._rng = rng
        self._limits = limits or ExchangeLimits()
        self._designation = Designation(self_id, region, home, self._limits)
        self._table = BlobTable(region, self._designation, self._limits)
        self._digests: frozenset[bytes] = frozenset()
        self._cancels: list[Command] = []
        #: Time of the last plan, and of the first one after the wanted set changed.
        self._now = 0.0
        self._wanted_at: float | None = None
        #: Time at which a missing blob last became known in another region.
        self._foreign_at = 0.0

    # Inputs.

    def want(self, digests: Iterable[bytes]) -> None:
        """Replaces the wanted set. Fetches of blobs no longer wanted are cancelled."""
        wanted = frozenset(digests)
        rows = self._table.rows
        missing = [digest for digest in wanted if digest not in self._held]
        if wanted == self._digests and len(missing) == len(rows):
            return
        self._digests = wanted
        self._wanted_at = None
        for digest in [digest for digest in rows if digest not in wanted]:
            self._cancels += self._table.drop(digest)
        for digest in missing:
            if digest not in rows:
                self._table.add(digest, self._now)

    def set_agents(self, agents: Mapping[str, Iterable[str]]) -> None:
        """Replaces the agents that want the same model, by region."""
        self._table.set_agents(agents)

    def peer_up(self, peer_id: str, region: str) -> None:
        """A link to a peer is up; it announces its blobs afterwards."""
        self.peer_down(peer_id)
        old = self._table.peers.get(peer_id)
        peer = SourceRow(peer_id, region, linked=True, entry_at=self._now)
        if old is not None:
            # A faulty peer must not clear its record by reconnecting.
            peer.bad, peer.blocked_until = old.bad, old.blocked_until
        self._table.peers[peer_id] = peer

    def peer_down(self, peer_id: str) -> None:
        """The link to a peer is gone, and with it everything it announced."""
        peer = self._table.peers.get(peer_id)
        if peer is None or not peer.linked:
            return
        peer.linked = False
        peer.down_at = self._now
        for row in [row for row in self._table.active.values() if peer_id in row.fetches]:
            self._table.release(row, peer_id)
        for digest in peer.has:
            self._table.remove_holder(digest, peer_id)
        peer.has.clear()

    def peer_has(self, peer_id: str, digests: Iterable[bytes]) -> None:
        """A peer announces blobs."""
        peer = self._table.peers.get(peer_id)
        if peer is None or not peer.linked:
            return
        for digest in digests:
            if len(peer.has) >= MAX_DIGESTS_PER_PEER:
                return
            if self._table.add_holder(peer, digest, self._now):
                self._foreign_at = self._now

    def arrived(self, digest: bytes, source: str, now: float) -> None:
        """A blob was verified and stored."""
        sender = self._table.source(source)
        row = self._table.rows.get(digest)
        if sender is not None:
            sender.failures = 0
        if row is None:
            return
        fetch = row.fetches.get(source)
        if fetch is not None and sender is not None:
            self._table.duration(sender).add(now - fetch.started_at)
        self._table.release(row, source)
        self._cancels += self._table.drop(digest)

    def bad(self, digest: bytes, source: str, now: float) -> None:
        """A blob failed verification."""
        sender = self._table.source(source)
        if sender is None:
            return
        self._table.failed(digest, source, now)
        if source == ORIGIN:
            # There is no second origin, so it is asked again after a pause and never blocked.
            sender.back_off(now, self._limits, self._rng)
        else:
            sender.found_bad(now, self._limits)

    def refused(self, digest: bytes, source: str, reason: str, now: float) -> None:
        """A source cannot give a blob now: `missing`, `busy`, or the origin's failure."""
        sender = self._table.source(source)
        if sender is None:
            return
        self._table.failed(digest, source, now)
        sender.back_off(now, self._limits, self._rng)
        if reason == "missing" and digest in sender.has:
            sender.has.discard(digest)
            row = self._table.rows.get(digest)
            if row is not None:
                row.denied.add(source)
                self._table.disputed.add(digest)
            self._table.remove_holder(digest, source)

    # Views.

    @property
    def missing(self) -> int:
        """Number of wanted blobs that are not held."""
        return len(self._table.rows)

    @property
    def in_flight(self) -> int:
        """Number of fetches in flight."""
        return self._table.in_flight

    def is_first_copy(self, peer_id: str, digest: bytes) -> bool:
        """Returns whether an upload is the first copy in a region or of a chunk held once."""
        peers = self._table.peers
        peer = peers.get(peer_id)
        if peer is not None and peer.region != self._region:
            return True
        return not any(
            digest in other.has for other in peers.values() if other.region == self._region
        )

    # Decisions.

    def plan(self, now: float, may_start: int | None = None) -> list[Command]:
        """Returns the commands that are due.

        Args:
          now: Unix seconds.
          may_start: Upper bound of new fetches, for a download rate limit; None for no bound.
        """
        self._now = now
        if self._wanted_at is None:
            self._wanted_at = self._foreign_at = now
        commands = self._cancels + self._expire(now)
        self._cancels = []
        slots = self._limits.parallel - self._table.in_flight
        if may_start is not None:
            slots = min(slots, may_start)
        if slots <= 0 or not self._table.rows:
            return commands
        starts = self._plan_entries(now, min(slots, self._limits.entering - self._table.entering))
        starts += self._plan_local(now, slots - len(starts))
        if len(starts) < slots:
            starts += self._plan_entries(now, slots - len(starts))
        if len(starts) < slots:
            starts += self._plan_takeovers(now, slots - len(starts))
        if len(starts) < slots and len(self._table.rows) <= self._limits.endgame:
            starts += self._plan_endgame(now, slots - len(starts))
        return commands + starts

    def _expire(self, now: float) -> list[Command]:
        commands: list[Command] = []
        for row in list(self._table.active.values()):
            for fetch in [fetch for fetch in row.fetches.values() if fetch.deadline <= now]:
                source = self._table.source(fetch.source)
                self._table.failed(row.digest, fetch.source, now)
                commands.append(CancelFetch(fetch.source, row.digest))
                if source is not None:
                    self._table.duration(source).missed()
                    source.back_off(now, self._limits, self._rng)
        return commands

    def _plan_entries(self, now: float, slots: int) -> list[Command]:
        """Fetches into the region what this agent is designated for."""
        commands: list[Command] = []
        while slots > len(commands):
            command = self._next_entry(now)
            if command is None:
                break
            commands.append(command)
        return commands

    def _next_entry(self, now: float) -> Command | None:
        least = 0 if self._origin_allowed(now) else 1
        second: tuple[WantedRow, SourceRow] | None = None
        for digest in self._table.mine.rarest(self._rng, least):
            row = self._table.rows[digest]
            source = self._entry_source(row, now)
            if source is None:
                continue
            if source.id == ORIGIN or source.region == self._designation.preferred_region(digest):
                return self._table.start(row, source, now)
            if second is None:
                second = (row, source)
        return None if second is None else self._table.start(*second, now)

    def _entry_source(self, row: WantedRow, now: float) -> SourceRow | None:
        usable = self._table.usable(row.foreign, row, now)
        origin = self._table.origin
        if self._designation.enters_from_origin:
            if origin.usable(now, self._limits.per_source):
                return origin
            # A backed-off origin is no reason to wait while another region holds the chunk.
            return self._table.pick(usable, self._rng) if usable and origin.failures else None
        if usable:
            preferred = self._designation.preferred_region(row.digest)
            near = [peer for peer in usable if peer.region == preferred]
            return self._table.pick(near or usable, self._rng)
        if not row.foreign and self._origin_allowed(now):
            return origin if origin.usable(now, self._limits.per_source) else None
        return None

    def _origin_allowed(self, now: float) -> bool:
        if self._designation.enters_from_origin:
            return True
        return now >= max(self._wanted_at or now, self._foreign_at) + self._limits.origin_after_s

    def _plan_takeovers(self, now: float, slots: int) -> list[Command]:
        """Fetches into the region what agents ranked before this one fail to deliver."""
        wanted_at = self._wanted_at or now
        peers = self._table.peers
        if not self._table.disputed and not any(
            agent_id != self._self_id
            and self._designation.is_late(peers.get(agent_id), 0, wanted_at, now)
            for agent_id in self._designation.ids
        ):
            return []
        commands: list[Command] = []
        for row in self._table.rows.values():
            if len(commands) >= slots:
                break
            if row.local or row.fetches or self._designation.is_mine(row):
                continue
            available_at = self._available_at(row, now)
            if available_at is None or not self._designation.takeover(
                row, available_at, now, peers.get
            ):
                continue
            source = self._entry_source(row, now)
            if source is not None:
                commands.append(self._table.start(row, source, now))
        return commands

    def _available_at(self, row: WantedRow, now: float) -> float | None:
        """Returns the time since which an agent of this region could fetch the chunk."""
        wanted_at = self._wanted_at or now
        if self._designation.enters_from_origin:
            return wanted_at
        if row.foreign:
            return max(wanted_at, row.foreign_at)
        if self._origin_allowed(now):
            return max(wanted_at, self._foreign_at) + self._limits.origin_after_s
        return None

    def _plan_local(self, now: float, slots: int) -> list[Command]:
        """Fetches from holders in the own region, rarest first."""
        commands: list[Command] = []
        while slots > len(commands):
            command = self._next_local(now)
            if command is None:
                break
            commands.append(command)
        return commands

    def _next_local(self, now: float) -> Command | None:
        per_source = self._limits.per_source
        if not any(
            peer.region == self._region and peer.usable(now, per_source)
            for peer in self._table.peers.values()
        ):
            return None
        for digest in self._table.local.rarest(self._rng):
            row = self._table.rows[digest]
            usable = self._table.usable(row.local, row, now)
            if usable:
                return self._table.start(row, self._table.pick(usable, self._rng), now)
        return None

    def _plan_endgame(self, now: float, slots: int) -> list[Command]:
        """Asks a second local holder for the last chunks."""
        commands: list[Command] = []
        for row in list(self._table.active.values()):
            if len(commands) >= slots:
                break
            if len(row.fetches) != 1:
                continue
            usable = self._table.usable(row.local - set(row.fetches), row, now)
            if usable:
                source = self._table.pick(usable, self._rng)
                commands.append(self._table.start(row, source, now))
        return commands
