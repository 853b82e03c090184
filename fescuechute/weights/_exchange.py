"""Exchange of blobs between agents: which blob to fetch from which source."""

from __future__ import annotations

import random
from collections.abc import Callable, Container, Iterable, Mapping

from fescuechute.weights._commands import ORIGIN, CancelFetch, Command
from fescuechute.weights._designation import Designation
from fescuechute.weights._exchange_rows import (
    MAX_DIGESTS_PER_PEER,
    ExchangeLimits,
    SourceRow,
    WantedRow,
)
from fescuechute.weights._table import BlobTable

#: Consecutive failures after which the origin counts as down rather than rate-limited.
ORIGIN_OUTAGE_FAILURES = 3


class Exchange:
    """Plans the fetches of one agent.

    Callers report events; `plan(now)` returns the commands to carry out. The daemon verifies and
    stores a blob before it calls `record_arrival`, and calls `record_corrupt` for a blob that fails
    verification.

    Args:
      self_id: Process id of this agent.
      region: Region of this agent.
      home: Region of the weight store.
      held: The blobs already held, usually the BlobStore.
      rng: Seeded random number generator.
      limits: Limits and timeouts.
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
        self._wanted: dict[bytes, None] = {}
        self._pending_cancels: list[Command] = []
        self._last_plan_at = 0.0
        #: Time of the first plan after the wanted set changed; None before it.
        self._wanted_since: float | None = None
        #: Time at which a missing blob last got its first holder in another region.
        self._last_foreign_at = 0.0
        self._next_handover_check_at = 0.0
        #: Time of the last failure at which the origin counted as down.
        self._origin_down_at = 0.0

    # Events.

    def want(self, digests: Iterable[bytes]) -> None:
        """Replaces the wanted blobs and cancels fetches of blobs that are no longer wanted."""
        wanted = dict.fromkeys(digests)
        rows = self._table.rows
        missing = [digest for digest in wanted if digest not in self._held]
        if wanted == self._wanted and len(missing) == len(rows):
            return
        self._wanted = wanted
        self._wanted_since = None
        for digest in [digest for digest in rows if digest not in wanted]:
            self._pending_cancels += self._table.drop(digest)
        for digest in missing:
            if digest not in rows:
                self._table.add(digest, self._last_plan_at)

    def set_agents(self, agents: Mapping[str, Iterable[str]]) -> None:
        """Replaces the agents, by region, that want the same model."""
        self._table.set_agents(agents)

    def peer_up(self, peer_id: str, region: str) -> None:
        """Records that the link to a peer is up; the peer announces its blobs afterwards."""
        self.peer_down(peer_id)
        previous = self._table.peers.get(peer_id)
        peer = SourceRow(peer_id, region, linked=True, last_entry_at=self._last_plan_at)
        if previous is not None:
            # A faulty peer must not clear its failure record by reconnecting.
            peer.corrupt_chunks, peer.corruption_blocks, peer.false_announcements = (
                previous.corrupt_chunks,
                previous.corruption_blocks,
                previous.false_announcements,
            )
            peer.blocked_until, peer.suspended = previous.blocked_until, previous.suspended
        self._table.peers[peer_id] = peer

    def peer_down(self, peer_id: str) -> None:
        """Records the loss of the link to a peer and drops everything that the peer announced."""
        peer = self._table.peers.get(peer_id)
        if peer is None or not peer.linked:
            return
        peer.linked = False
        peer.link_lost_at = self._last_plan_at
        for row in [row for row in self._table.active.values() if peer_id in row.fetches]:
            self._table.end_fetch(row, peer_id)
        for digest in peer.announced:
            self._table.remove_holder(digest, peer_id, self._last_plan_at)
        peer.announced.clear()

    def record_announcement(self, peer_id: str, digests: Iterable[bytes]) -> None:
        """Records the blobs that a peer announces."""
        peer = self._table.peers.get(peer_id)
        if peer is None or not peer.linked:
            return
        for digest in digests:
            if len(peer.announced) >= MAX_DIGESTS_PER_PEER:
                return
            if self._table.add_holder(peer, digest, self._last_plan_at):
                self._last_foreign_at = self._last_plan_at

    def record_arrival(self, digest: bytes, source: str, now: float) -> None:
        """Records that a blob was verified and stored."""
        source_row = self._table.source(source)
        row = self._table.rows.get(digest)
        if source_row is not None:
            source_row.record_valid_chunk(self._limits)
        if row is None:
            return
        fetch = row.fetches.get(source)
        if fetch is not None and source_row is not None:
            self._table.estimator(source_row).record_duration(now - fetch.started_at)
        self._table.end_fetch(row, source)
        self._pending_cancels += self._table.drop(digest)

    def record_corrupt(self, digest: bytes, source: str, now: float) -> None:
        """Records that a blob from a source failed verification."""
        source_row = self._table.source(source)
        if source_row is None:
            return
        self._table.fail_fetch(digest, source, now)
        if source == ORIGIN:
            # There is no second origin, so it is retried after a backoff and never blocked.
            self._origin_failed(source_row, now)
        else:
            seconds = source_row.record_corrupt_chunk(self._limits)
            if source_row.corruption_blocks > 1:
                self._block(source_row, seconds, now)
            elif seconds:
                source_row.blocked_until = max(source_row.blocked_until, now + seconds)

    def record_failure(self, digest: bytes, source: str, reason: str, now: float) -> None:
        """Records that a source did not deliver a blob.

        Args:
          digest: The blob.
          source: Peer id, or ORIGIN.
          reason: `missing` or `busy` from a peer, or the failure of the origin.
          now: Unix seconds.
        """
        source_row = self._table.source(source)
        if source_row is None:
            return
        self._table.fail_fetch(digest, source, now)
        if source == ORIGIN:
            self._origin_failed(source_row, now)
            return
        source_row.back_off(now, self._limits, self._rng)
        if reason == "missing" and digest in source_row.announced:
            del source_row.announced[digest]
            row = self._table.rows.get(digest)
            if row is not None:
                row.false_announcers.add(source)
                self._table.falsely_announced.add(digest)
            self._table.remove_holder(digest, source, now)
            self._block(source_row, source_row.record_false_announcement(self._limits), now)

    def _block(self, peer: SourceRow, seconds: float, now: float) -> None:
        if seconds:
            self._table.suspend(peer, now + seconds, now)

    def _origin_failed(self, origin: SourceRow, now: float) -> None:
        origin.back_off(now, self._limits, self._rng)
        if origin.failures >= ORIGIN_OUTAGE_FAILURES:
            self._origin_down_at = now

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
        """Returns whether an upload to a peer is a first copy.

        That is a copy for another region, or of a chunk that no other peer in this region holds.
        """
        peers = self._table.peers
        peer = peers.get(peer_id)
        if peer is not None and peer.region != self._region:
            return True
        return not any(
            digest in other.announced for other in peers.values() if other.region == self._region
        )

    # Planning.

    def plan(self, now: float, max_new_fetches: int | None = None) -> list[Command]:
        """Returns the commands that are due.

        Args:
          now: Unix seconds.
          max_new_fetches: Maximum number of fetches to start, for a download rate limit; None for
            no limit.
        """
        self._last_plan_at = now
        if self._wanted_since is None:
            self._wanted_since = self._last_foreign_at = now
        self._table.resume_expired(now)
        if now >= self._next_handover_check_at:
            self._check_handovers(now)
        commands = self._pending_cancels + self._expire(now)
        self._pending_cancels = []
        slots = self._limits.parallel - self._table.in_flight
        if max_new_fetches is not None:
            slots = min(slots, max_new_fetches)
        if slots <= 0 or not self._table.rows:
            return commands
        new_fetches = self._plan_entering(now, min(slots, self._entering_slots()))
        new_fetches += self._plan_local(now, slots - len(new_fetches))
        if len(new_fetches) < slots and len(self._table.rows) <= self._limits.endgame_chunks:
            new_fetches += self._plan_endgame(now, slots - len(new_fetches))
        return commands + new_fetches

    def _expire(self, now: float) -> list[Command]:
        """Cancels the fetches whose deadline has passed."""
        commands: list[Command] = []
        for row in list(self._table.active.values()):
            for fetch in [fetch for fetch in row.fetches.values() if fetch.deadline <= now]:
                source = self._table.source(fetch.source)
                self._table.fail_fetch(row.digest, fetch.source, now)
                commands.append(CancelFetch(fetch.source, row.digest))
                if source is None:
                    continue
                self._table.estimator(source).record_timeout()
                if source.id == ORIGIN:
                    self._origin_failed(source, now)
                else:
                    source.back_off(now, self._limits, self._rng)
        return commands

    def _plan_entering(self, now: float, slots: int) -> list[Command]:
        """Starts entering fetches of the chunks that this agent is responsible for."""
        return _fill_slots(slots, lambda: self._next_entering(now))

    def _next_entering(self, now: float) -> Command | None:
        min_holders = 0 if self._origin_allowed(now) else 1
        fallback: tuple[WantedRow, SourceRow] | None = None
        for digest in self._table.designated.rarest(self._rng, min_holders):
            row = self._table.rows[digest]
            source = self._entering_source(row, now)
            if source is None:
                continue
            preferred = self._designation.preferred_region(digest)
            if source.region in ("", preferred):
                return self._table.start(row, source, now)
            if fallback is None:
                fallback = (row, source)
        return None if fallback is None else self._table.start(*fallback, now)

    def _entering_source(self, row: WantedRow, now: float) -> SourceRow | None:
        usable = self._table.usable(row.foreign, row, now)
        origin = self._table.origin
        if self._designation.fetches_from_origin:
            if usable and (row.handed_over or origin.failures):
                # The designated agent may have fetched the chunk from the origin already, or the
                # origin may be down. Fetching from another region avoids a further origin copy or
                # the wait.
                return self._table.pick(usable, self._rng)
            return origin if origin.is_available(now, self._limits.per_source) else None
        if usable:
            preferred = self._designation.preferred_region(row.digest)
            preferred_peers = [peer for peer in usable if peer.region == preferred]
            return self._table.pick(preferred_peers or usable, self._rng)
        if not row.foreign and self._origin_allowed(now, row.foreign_changed_at):
            return origin if origin.is_available(now, self._limits.per_source) else None
        return None

    def _origin_allowed(self, now: float, foreign_changed_at: float = 0.0) -> bool:
        """Returns whether this region may fetch a chunk without foreign holders from the origin."""
        if self._designation.fetches_from_origin:
            return True
        since = max(self._wanted_since or now, self._last_foreign_at, foreign_changed_at)
        return now >= since + self._limits.origin_fallback_s

    def _check_handovers(self, now: float) -> None:
        """Updates which chunks have been handed over to this agent."""
        self._next_handover_check_at = now + self._limits.handover_check_interval_s
        wanted_since = self._wanted_since or now
        timeout_s = self._designee_timeout_s()
        peers = self._table.peers
        late_agents = {
            agent_id
            for agent_id in self._designation.agent_ids
            if agent_id != self._self_id
            and now
            >= self._designation.designee_deadline(peers.get(agent_id), wanted_since, timeout_s)
        }
        handovers, falsely_announced = self._table.handovers, self._table.falsely_announced
        if not (late_agents or handovers or falsely_announced):
            return
        for row in self._table.rows.values():
            if row.local or row.fetches or self._designation.is_designated(row):
                continue
            if not (
                row.handed_over or row.designee in late_agents or row.digest in falsely_announced
            ):
                continue
            fetchable_since = self._fetchable_since(row, now)
            row.handed_over = fetchable_since is not None and self._designation.handover_due(
                row, fetchable_since, now, timeout_s, peers.get
            )
            (handovers.add if row.handed_over else handovers.discard)(row.digest)
            self._table.reindex(row)

    def _entering_slots(self) -> int:
        """Returns how many more entering fetches this agent may start.

        The agents of a region share its links to the origin and to other regions. A few fetches
        saturate these links; more would only take slots from local fetches.
        """
        per_agent = self._limits.max_entering_fetches // len(self._designation.agent_ids)
        return max(1, min(self._limits.parallel, per_agent)) - self._table.entering

    def _designee_timeout_s(self) -> float:
        """Returns the seconds without a new chunk after which a designated agent counts as late.

        The timeout grows with the measured duration of entering fetches, so that a slow link
        between regions does not make every agent look late.
        """
        kind = ORIGIN if self._designation.fetches_from_origin else "foreign"
        return max(self._limits.designee_timeout_s, self._table.estimators[kind].next_timeout_s())

    def _fetchable_since(self, row: WantedRow, now: float) -> float | None:
        """Returns the time from which an agent of this region could fetch the chunk, if any."""
        wanted_since = self._wanted_since or now
        if self._designation.fetches_from_origin:
            # Designated agents are not at fault while the origin is down.
            return max(wanted_since, self._origin_down_at)
        if row.foreign:
            return max(wanted_since, row.foreign_changed_at)
        if self._origin_allowed(now, row.foreign_changed_at):
            since = max(wanted_since, self._last_foreign_at, row.foreign_changed_at)
            return since + self._limits.origin_fallback_s
        return None

    def _plan_local(self, now: float, slots: int) -> list[Command]:
        """Starts fetches from holders in this region."""
        return _fill_slots(slots, lambda: self._next_local(now))

    def _next_local(self, now: float) -> Command | None:
        """Starts one fetch of the rarest chunk from the least used source, or returns None.

        The source is chosen first, with random ties, and the chunk second. Choosing the chunk first
        would send every agent to the few holders of the rarest chunks and leave the other uplinks
        idle; see docs/decisions/exchange.md.
        """
        usable = [
            peer
            for peer in self._table.peers.values()
            if peer.region == self._region and peer.is_available(now, self._limits.per_source)
        ]
        self._rng.shuffle(usable)
        usable.sort(key=lambda peer: peer.in_flight)
        for peer in usable:
            for digest in self._table.local.rarest(self._rng):
                row = self._table.rows[digest]
                if digest in peer.announced and row.avoid_until.get(peer.id, 0.0) <= now:
                    return self._table.start(row, peer, now)
        return None

    def _plan_endgame(self, now: float, slots: int) -> list[Command]:
        """Fetches the last chunks from a second local holder in parallel."""
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


def _fill_slots(slots: int, start_next: Callable[[], Command | None]) -> list[Command]:
    """Starts fetches until all slots are used or no further fetch is possible."""
    commands: list[Command] = []
    while len(commands) < slots and (command := start_next()) is not None:
        commands.append(command)
    return commands
