"""Exchange: which blob to ask from whom."""

from __future__ import annotations

import random
from collections.abc import Callable, Container, Iterable, Mapping

from fescuechute.weights._commands import ORIGIN, CancelFetch, Command
from fescuechute.weights._designation import Designation
from fescuechute.weights._peers import MAX_DIGESTS_PER_PEER, ExchangeLimits, SourceRow, WantedRow
from fescuechute.weights._table import BlobTable

#: Failures of the origin in a row after which it counts as out rather than as rate-limited.
ORIGIN_OUT_FAILURES = 3


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
        self._digests: dict[bytes, None] = {}
        self._cancels: list[Command] = []
        #: Time of the last plan, and of the first one after the wanted set changed.
        self._now = 0.0
        self._wanted_at: float | None = None
        #: Time at which a missing blob last became known in another region.
        self._foreign_at = 0.0
        self._takeover_at = 0.0
        #: Time at which the origin last appeared to be out.
        self._origin_out_at = 0.0

    # Inputs.

    def want(self, digests: Iterable[bytes]) -> None:
        """Replaces the wanted set. Fetches of blobs no longer wanted are cancelled."""
        wanted = dict.fromkeys(digests)
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
            peer.bad, peer.blocks, peer.untrue = old.bad, old.blocks, old.untrue
            peer.blocked_until, peer.suspended = old.blocked_until, old.suspended
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
            self._table.remove_holder(digest, peer_id, self._now)
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
            sender.found_good(self._limits)
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
            self._origin_failed(sender, now)
        else:
            seconds = sender.found_bad(self._limits)
            if sender.blocks > 1:
                self._block(sender, seconds, now)
            elif seconds:
                sender.blocked_until = max(sender.blocked_until, now + seconds)

    def refused(self, digest: bytes, source: str, reason: str, now: float) -> None:
        """A source cannot give a blob now: `missing`, `busy`, or the origin's failure."""
        sender = self._table.source(source)
        if sender is None:
            return
        self._table.failed(digest, source, now)
        if source == ORIGIN:
            self._origin_failed(sender, now)
            return
        sender.back_off(now, self._limits, self._rng)
        if reason == "missing" and digest in sender.has:
            del sender.has[digest]
            row = self._table.rows.get(digest)
            if row is not None:
                row.denied.add(source)
                self._table.disputed.add(digest)
            self._table.remove_holder(digest, source, now)
            self._block(sender, sender.found_untrue(self._limits), now)

    def _block(self, peer: SourceRow, seconds: float, now: float) -> None:
        if seconds:
            self._table.suspend(peer, now + seconds, now)

    def _origin_failed(self, origin: SourceRow, now: float) -> None:
        origin.back_off(now, self._limits, self._rng)
        if origin.failures >= ORIGIN_OUT_FAILURES:
            self._origin_out_at = now

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
        self._table.resume(now)
        if now >= self._takeover_at:
            self._take_over(now)
        commands = self._cancels + self._expire(now)
        self._cancels = []
        slots = self._limits.parallel - self._table.in_flight
        if may_start is not None:
            slots = min(slots, may_start)
        if slots <= 0 or not self._table.rows:
            return commands
        starts = self._plan_entries(now, min(slots, self._entry_slots()))
        starts += self._plan_local(now, slots - len(starts))
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
                if source is None:
                    continue
                self._table.duration(source).missed()
                if source.id == ORIGIN:
                    self._origin_failed(source, now)
                else:
                    source.back_off(now, self._limits, self._rng)
        return commands

    def _plan_entries(self, now: float, slots: int) -> list[Command]:
        """Fetches into the region what this agent is designated for."""
        return _up_to(slots, lambda: self._next_entry(now))

    def _next_entry(self, now: float) -> Command | None:
        least = 0 if self._origin_allowed(now) else 1
        second: tuple[WantedRow, SourceRow] | None = None
        for digest in self._table.mine.rarest(self._rng, least):
            row = self._table.rows[digest]
            source = self._entry_source(row, now)
            if source is None:
                continue
            preferred = self._designation.preferred_region(digest)
            if source.region in ("", preferred):
                return self._table.start(row, source, now)
            if second is None:
                second = (row, source)
        return None if second is None else self._table.start(*second, now)

    def _entry_source(self, row: WantedRow, now: float) -> SourceRow | None:
        usable = self._table.usable(row.foreign, row, now)
        origin = self._table.origin
        if self._designation.enters_from_origin:
            if usable and (row.taken_over or origin.failures):
                # The designated agent may have drawn the chunk already, or the origin is out;
                # another region that holds it spares a further origin copy or the wait.
                return self._table.pick(usable, self._rng)
            return origin if origin.usable(now, self._limits.per_source) else None
        if usable:
            preferred = self._designation.preferred_region(row.digest)
            near = [peer for peer in usable if peer.region == preferred]
            return self._table.pick(near or usable, self._rng)
        if not row.foreign and self._origin_allowed(now, row.foreign_at):
            return origin if origin.usable(now, self._limits.per_source) else None
        return None

    def _origin_allowed(self, now: float, foreign_at: float = 0.0) -> bool:
        """Returns whether this region may ask the origin for a chunk without a holder elsewhere."""
        if self._designation.enters_from_origin:
            return True
        since = max(self._wanted_at or now, self._foreign_at, foreign_at)
        return now >= since + self._limits.origin_after_s

    def _take_over(self, now: float) -> None:
        """Marks the chunks that agents ranked before this one fail to bring into the region."""
        self._takeover_at = now + self._limits.takeover_every_s
        wanted_at = self._wanted_at or now
        patience_s = self._patience_s()
        peers = self._table.peers
        late = {
            agent_id
            for agent_id in self._designation.ids
            if agent_id != self._self_id
            and now >= self._designation.deadline(peers.get(agent_id), wanted_at, patience_s)
        }
        taken, disputed = self._table.taken, self._table.disputed
        if not (late or taken or disputed):
            return
        for row in self._table.rows.values():
            if row.local or row.fetches or self._designation.is_mine(row):
                continue
            if not (row.taken_over or row.designee in late or row.digest in disputed):
                continue
            available_at = self._available_at(row, now)
            row.taken_over = available_at is not None and self._designation.takeover(
                row, available_at, now, patience_s, peers.get
            )
            (taken.add if row.taken_over else taken.discard)(row.digest)
            self._table.index(row)

    def _entry_slots(self) -> int:
        """Returns how many more fetches into the region this agent may start.

        The agents of a region share its links to the origin and to other regions. A few fetches
        keep these links busy; more would only take slots from local fetches.
        """
        each = self._limits.entering // len(self._designation.ids)
        return max(1, min(self._limits.parallel, each)) - self._table.entering

    def _patience_s(self) -> float:
        """Returns the seconds without a new chunk after which a designated agent counts as late.

        It grows with the measured duration of fetches into the region, so that a slow link between
        regions does not make every agent look late.
        """
        kind = ORIGIN if self._designation.enters_from_origin else "foreign"
        return max(self._limits.entry_s, self._table.durations[kind].allowance())

    def _available_at(self, row: WantedRow, now: float) -> float | None:
        """Returns the time since which an agent of this region could fetch the chunk."""
        wanted_at = self._wanted_at or now
        if self._designation.enters_from_origin:
            # While the origin is out, the designated agents are not at fault.
            return max(wanted_at, self._origin_out_at)
        if row.foreign:
            return max(wanted_at, row.foreign_at)
        if self._origin_allowed(now, row.foreign_at):
            since = max(wanted_at, self._foreign_at, row.foreign_at)
            return since + self._limits.origin_after_s
        return None

    def _plan_local(self, now: float, slots: int) -> list[Command]:
        """Fetches from holders in the own region."""
        return _up_to(slots, lambda: self._next_local(now))

    def _next_local(self, now: float) -> Command | None:
        """Starts one fetch: a random source of those least used, then the rarest chunk it holds.

        Choosing the chunk first would send every agent to the few holders of the rarest chunks and
        leave the other uplinks idle; see docs/decisions/exchange.md.
        """
        usable = [
            peer
            for peer in self._table.peers.values()
            if peer.region == self._region and peer.usable(now, self._limits.per_source)
        ]
        self._rng.shuffle(usable)
        usable.sort(key=lambda peer: peer.in_flight)
        for peer in usable:
            for digest in self._table.local.rarest(self._rng):
                row = self._table.rows[digest]
                if digest in peer.has and row.avoid.get(peer.id, 0.0) <= now:
                    return self._table.start(row, peer, now)
        return None

    def _plan_endgame(self, now: float, slots: int) -> list[Command]:
        """Asks a second local holder for the last chunks."""
        commands: list[Command] = []
        for row in list(self._table.active.values()):
            if len(commands) >= slots:
                break
            if len(row.fetches) != 1:
                continue
            usable = self._table.usable(
                [peer_id for peer_id in row.local if peer_id not in row.fetches], row, now
            )
            if usable:
                source = self._table.pick(usable, self._rng)
                commands.append(self._table.start(row, source, now))
        return commands


def _up_to(slots: int, start: Callable[[], Command | None]) -> list[Command]:
    """Starts fetches until the slots are used up or none is possible."""
    commands: list[Command] = []
    while len(commands) < slots and (command := start()) is not None:
        commands.append(command)
    return commands
