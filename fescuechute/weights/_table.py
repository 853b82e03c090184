"""Table of sources and missing blobs, with the indexes that keep planning cheap."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from fescuechute.weights._commands import (
    ORIGIN,
    CancelFetch,
    Command,
    FetchFromOrigin,
    FetchFromPeer,
)
from fescuechute.weights._designation import Designation
from fescuechute.weights._exchange_rows import (
    DurationEstimator,
    ExchangeLimits,
    Fetch,
    SourceRow,
    WantedRow,
)
from fescuechute.weights._rarity import RarityIndex


class BlobTable:
    """Sources and missing blobs of one exchange.

    Every change also updates the counts and indexes.
    """

    def __init__(self, region: str, designation: Designation, limits: ExchangeLimits):
        self._region = region
        self._designation = designation
        self._limits = limits
        self.origin = SourceRow(ORIGIN, "", linked=True)
        self.peers: dict[str, SourceRow] = {}
        self.rows: dict[bytes, WantedRow] = {}
        #: Rows with a fetch in flight.
        self.active: dict[bytes, WantedRow] = {}
        #: Idle blobs that have a holder in this region, by the number of these holders.
        self.local = RarityIndex()
        #: Idle blobs without a local holder that this agent must fetch into the region, by the number
        #: of foreign holders.
        self.designated = RarityIndex()
        #: Blobs whose fetch has been handed over to this agent.
        self.handovers: set[bytes] = set()
        #: Blobs that an agent announced without having them.
        self.falsely_announced: set[bytes] = set()
        #: Number of fetches in flight, and how many of them are entering ones.
        self.in_flight = 0
        self.entering = 0
        self.estimators = {
            "local": DurationEstimator(limits, limits.min_timeout_s),
            "foreign": DurationEstimator(limits, limits.entering_min_timeout_s),
            ORIGIN: DurationEstimator(limits, limits.entering_min_timeout_s),
        }

    def source(self, source: str) -> SourceRow | None:
        """Returns the row of a peer or of the origin, or None for an unknown peer."""
        return self.origin if source == ORIGIN else self.peers.get(source)

    def estimator(self, source: SourceRow) -> DurationEstimator:
        """Returns the duration estimator for sources of this kind (local, foreign or origin)."""
        if source.id == ORIGIN:
            return self.estimators[ORIGIN]
        return self.estimators["local" if source.region == self._region else "foreign"]

    def add(self, digest: bytes, now: float) -> None:
        """Adds a missing blob."""
        row = WantedRow(digest)
        for peer in self.peers.values():
            if digest in peer.announced and not peer.suspended:
                (row.local if peer.region == self._region else row.foreign)[peer.id] = None
        if row.foreign:
            row.foreign_changed_at = now
        self.rows[digest] = row
        self.reindex(row)

    def drop(self, digest: bytes) -> list[Command]:
        """Removes a blob and returns the commands that cancel its fetches."""
        row = self.rows[digest]
        cancels: list[Command] = [CancelFetch(source, digest) for source in row.fetches]
        for source in list(row.fetches):
            self.end_fetch(row, source)
        del self.rows[digest]
        self.local.remove(digest)
        self.designated.remove(digest)
        self.handovers.discard(digest)
        self.falsely_announced.discard(digest)
        return cancels

    def add_holder(self, peer: SourceRow, digest: bytes, now: float) -> bool:
        """Records a holder; returns True for the first foreign holder of a missing blob."""
        peer.announced[digest] = None
        row = self.rows.get(digest)
        if row is None or peer.suspended:
            return False
        is_new = False
        if peer.region == self._region:
            if not row.local:
                peer.last_entry_at = now
                self._infer_designee_active(row, peer, now)
            row.local[peer.id] = None
        else:
            is_new = not row.foreign
            if is_new:
                row.foreign_changed_at = now
            row.foreign[peer.id] = None
        self.reindex(row)
        return is_new

    def _infer_designee_active(self, row: WantedRow, holder: SourceRow, now: float) -> None:
        """Records progress of an unlinked designated agent if a new local holder implies it."""
        designee = self.peers.get(row.designee or "")
        if (
            designee is not None
            and not designee.linked
            and self._designation.implies_designee_active(row, holder.id)
        ):
            designee.last_entry_at = now
            designee.inferred_active = now >= designee.link_lost_at + self._limits.unlinked_grace_s

    def remove_holder(self, digest: bytes, peer_id: str, now: float) -> None:
        """Removes a peer from the holders of a blob."""
        row = self.rows.get(digest)
        if row is not None:
            row.local.pop(peer_id, None)
            if peer_id in row.foreign:
                del row.foreign[peer_id]
                if not row.foreign:
                    row.foreign_changed_at = now
            self.reindex(row)

    def suspend(self, peer: SourceRow, until: float, now: float) -> None:
        """Blocks a peer and removes it from all holders until the given time."""
        peer.blocked_until = max(peer.blocked_until, until)
        peer.suspended = True
        for digest in peer.announced:
            self.remove_holder(digest, peer.id, now)

    def resume_expired(self, now: float) -> None:
        """Ends the suspensions that have expired and restores the peers as holders."""
        for peer in self.peers.values():
            if peer.suspended and now >= peer.blocked_until:
                peer.suspended = False
                for digest in peer.announced:
                    self.add_holder(peer, digest, now)

    def start(self, row: WantedRow, source: SourceRow, now: float) -> Command:
        """Starts a fetch and returns its command."""
        deadline = now + self.estimator(source).next_timeout_s()
        row.fetches[source.id] = Fetch(source.id, now, deadline)
        self.active[row.digest] = row
        source.in_flight += 1
        self.in_flight += 1
        self.entering += source.region != self._region
        self.reindex(row)
        if source.id == ORIGIN:
            return FetchFromOrigin(row.digest, deadline)
        return FetchFromPeer(source.id, row.digest, deadline)

    def end_fetch(self, row: WantedRow, source_id: str) -> None:
        """Removes a fetch from those in flight; an unknown one is ignored."""
        source = self.source(source_id)
        if source is None or row.fetches.pop(source_id, None) is None:
            return
        if not row.fetches:
            del self.active[row.digest]
        source.in_flight -= 1
        self.in_flight -= 1
        self.entering -= source.region != self._region
        self.reindex(row)

    def fail_fetch(self, digest: bytes, source_id: str, now: float) -> None:
        """Ends a failed fetch and avoids its source for this blob for a while."""
        row = self.rows.get(digest)
        if row is None:
            return
        self.end_fetch(row, source_id)
        if source_id != ORIGIN:
            row.avoid_until[source_id] = now + self._limits.min_timeout_s

    def usable(self, agent_ids: Iterable[str], row: WantedRow, now: float) -> list[SourceRow]:
        """Returns those of the holders of a blob from which it may be fetched now."""
        per_source = self._limits.per_source
        peers = [self.peers[peer_id] for peer_id in agent_ids]
        usable = [peer for peer in peers if peer.is_available(now, per_source)]
        if row.avoid_until:
            return [peer for peer in usable if row.avoid_until.get(peer.id, 0.0) <= now]
        return usable

    def pick(self, usable: list[SourceRow], rng: random.Random) -> SourceRow:
        """Returns a random source among those with the fewest fetches in flight."""
        min_in_flight = min(peer.in_flight for peer in usable)
        return rng.choice([peer for peer in usable if peer.in_flight == min_in_flight])

    def set_agents(self, agents: Mapping[str, Iterable[str]]) -> None:
        """Replaces the agents of all regions and recomputes the designated agents."""
        if not self._designation.set_agents(agents):
            return
        for row in self.rows.values():
            row.ranking = row.designee = None
            row.handed_over = False
            self.reindex(row)

    def reindex(self, row: WantedRow) -> None:
        """Updates the indexes after a change of a row; only idle blobs are indexed."""
        if row.fetches:
            self.local.remove(row.digest)
            self.designated.remove(row.digest)
        elif row.local:
            self.designated.remove(row.digest)
            self.local.set(row.digest, len(row.local))
        else:
            self.local.remove(row.digest)
            self.designated.remove(row.digest)
            if row.handed_over or self._designation.is_designated(row):
                self.designated.set(row.digest, len(row.foreign))
