"""Table of sources and wanted blobs, with the indexes that keep plans cheap."""

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
from fescuechute.weights._peers import Durations, ExchangeLimits, Fetch, SourceRow, WantedRow
from fescuechute.weights._rarity import RarityIndex


class BlobTable:
    """Rows of one exchange. Every change keeps counts and indexes in step."""

    def __init__(self, region: str, designation: Designation, limits: ExchangeLimits):
        self._region = region
        self._designation = designation
        self._limits = limits
        self.origin = SourceRow(ORIGIN, "", linked=True)
        self.peers: dict[str, SourceRow] = {}
        self.rows: dict[bytes, WantedRow] = {}
        #: Rows with a fetch in flight.
        self.active: dict[bytes, WantedRow] = {}
        #: Idle blobs with a holder in the own region, by number of these holders.
        self.local = RarityIndex()
        #: Idle blobs without one that this agent is designated for, by number of holders elsewhere.
        self.mine = RarityIndex()
        #: Blobs that this agent took over from agents ranked before it.
        self.taken: set[bytes] = set()
        #: Blobs that an agent announced without having them.
        self.disputed: set[bytes] = set()
        #: Fetches in flight, and those of them into the region.
        self.in_flight = 0
        self.entering = 0
        self.durations = {
            "local": Durations(limits, limits.fetch_min_s),
            "foreign": Durations(limits, limits.entering_min_s),
            ORIGIN: Durations(limits, limits.entering_min_s),
        }

    def source(self, source: str) -> SourceRow | None:
        """Returns the row of a peer or of the origin."""
        return self.origin if source == ORIGIN else self.peers.get(source)

    def duration(self, source: SourceRow) -> Durations:
        """Returns the measured durations of fetches from sources of this kind."""
        if source.id == ORIGIN:
            return self.durations[ORIGIN]
        return self.durations["local" if source.region == self._region else "foreign"]

    def add(self, digest: bytes, now: float) -> None:
        """Adds a missing blob."""
        row = WantedRow(digest)
        for peer in self.peers.values():
            if digest in peer.has and not peer.suspended:
                (row.local if peer.region == self._region else row.foreign)[peer.id] = None
        if row.foreign:
            row.foreign_at = now
        self.rows[digest] = row
        self.index(row)

    def drop(self, digest: bytes) -> list[Command]:
        """Removes a blob and returns the cancels of its fetches."""
        row = self.rows[digest]
        cancels: list[Command] = [CancelFetch(source, digest) for source in row.fetches]
        for source in list(row.fetches):
            self.release(row, source)
        del self.rows[digest]
        self.local.remove(digest)
        self.mine.remove(digest)
        self.taken.discard(digest)
        self.disputed.discard(digest)
        return cancels

    def add_holder(self, peer: SourceRow, digest: bytes, now: float) -> bool:
        """Notes a holder; True when the blob is wanted and new in the regions elsewhere."""
        peer.has[digest] = None
        row = self.rows.get(digest)
        if row is None or peer.suspended:
            return False
        is_new = False
        if peer.region == self._region:
            if not row.local:
                peer.entry_at = now
                self._note_at_work(row, peer, now)
            row.local[peer.id] = None
        else:
            is_new = not row.foreign
            if is_new:
                row.foreign_at = now
            row.foreign[peer.id] = None
        self.index(row)
        return is_new

    def _note_at_work(self, row: WantedRow, holder: SourceRow, now: float) -> None:
        """Notes progress of a designated agent whose link to this one is lost."""
        designee = self.peers.get(row.designee or "")
        if (
            designee is not None
            and not designee.linked
            and self._designation.shows_at_work(row, holder.id)
        ):
            designee.entry_at = now
            designee.at_work = now >= designee.down_at + self._limits.unlinked_s

    def remove_holder(self, digest: bytes, peer_id: str, now: float) -> None:
        """Forgets that a peer holds a blob."""
        row = self.rows.get(digest)
        if row is not None:
            row.local.pop(peer_id, None)
            if peer_id in row.foreign:
                del row.foreign[peer_id]
                if not row.foreign:
                    row.foreign_at = now
            self.index(row)

    def suspend(self, peer: SourceRow, until: float, now: float) -> None:
        """Blocks a peer: until then it counts as holder of nothing."""
        peer.blocked_until = max(peer.blocked_until, until)
        peer.suspended = True
        for digest in peer.has:
            self.remove_holder(digest, peer.id, now)

    def resume(self, now: float) -> None:
        """Lifts the blocks that have ended."""
        for peer in self.peers.values():
            if peer.suspended and now >= peer.blocked_until:
                peer.suspended = False
                for digest in peer.has:
                    self.add_holder(peer, digest, now)

    def start(self, row: WantedRow, source: SourceRow, now: float) -> Command:
        """Starts a fetch and returns its command."""
        deadline = now + self.duration(source).allowance()
        row.fetches[source.id] = Fetch(source.id, now, deadline)
        self.active[row.digest] = row
        source.in_flight += 1
        self.in_flight += 1
        self.entering += source.region != self._region
        self.index(row)
        if source.id == ORIGIN:
            return FetchFromOrigin(row.digest, deadline)
        return FetchFromPeer(source.id, row.digest, deadline)

    def release(self, row: WantedRow, source_id: str) -> None:
        """Ends a fetch; one that is not in flight is ignored."""
        source = self.source(source_id)
        if source is None or row.fetches.pop(source_id, None) is None:
            return
        if not row.fetches:
            del self.active[row.digest]
        source.in_flight -= 1
        self.in_flight -= 1
        self.entering -= source.region != self._region
        self.index(row)

    def failed(self, digest: bytes, source_id: str, now: float) -> None:
        """Ends a fetch without success and prefers other sources of this blob for a while."""
        row = self.rows.get(digest)
        if row is None:
            return
        self.release(row, source_id)
        if source_id != ORIGIN:
            row.avoid[source_id] = now + self._limits.fetch_min_s

    def usable(self, ids: Iterable[str], row: WantedRow, now: float) -> list[SourceRow]:
        """Returns those holders of a blob that may be asked for it now."""
        per_source = self._limits.per_source
        peers = [self.peers[peer_id] for peer_id in ids]
        usable = [peer for peer in peers if peer.usable(now, per_source)]
        if row.avoid:
            return [peer for peer in usable if row.avoid.get(peer.id, 0.0) <= now]
        return usable

    def pick(self, usable: list[SourceRow], rng: random.Random) -> SourceRow:
        """Returns a random one of the sources with the fewest fetches in flight."""
        least = min(peer.in_flight for peer in usable)
        return rng.choice([peer for peer in usable if peer.in_flight == least])

    def set_agents(self, agents: Mapping[str, Iterable[str]]) -> None:
        """Replaces the agents by region and designates anew."""
        if not self._designation.set_agents(agents):
            return
        for row in self.rows.values():
            row.order = row.designee = None
            row.taken_over = False
            self.index(row)

    def index(self, row: WantedRow) -> None:
        """Keeps the indexes in step with a row: they list idle blobs only."""
        if row.fetches:
            self.local.remove(row.digest)
            self.mine.remove(row.digest)
        elif row.local:
            self.mine.remove(row.digest)
            self.local.set(row.digest, len(row.local))
        else:
            self.local.remove(row.digest)
            self.mine.remove(row.digest)
            if row.taken_over or self._designation.is_mine(row):
                self.mine.set(row.digest, len(row.foreign))
