"""Rows of the exchange: peers and wanted blobs."""

from __future__ import annotations

import random

import attrs

#: Digests remembered for one peer. Several versions of a 10 GiB model in 256 KiB chunks fit; a
#: faulty peer cannot fill our memory.
MAX_DIGESTS_PER_PEER = 200_000


@attrs.frozen
class ExchangeLimits:
    """Numbers that govern the exchange. Times are in seconds."""

    #: Fetches in flight overall.
    parallel: int = 4
    #: Fetches in flight for each source.
    per_source: int = 2
    #: Fetches into a region in flight for all its agents together, at least one for each.
    entering: int = 8
    #: First deadline of a fetch, until durations have been measured.
    fetch_s: float = 10.0
    #: Bounds of measured deadlines.
    fetch_min_s: float = 5.0
    fetch_max_s: float = 60.0
    #: Lower bound for fetches into the region. All agents share the links between regions, so single
    #: fetches take several times the mean, and giving one up too early brings a chunk in twice.
    entering_min_s: float = 10.0
    #: Time without a new chunk from a designated agent after which the next rank may fetch.
    entry_s: float = 6.0
    #: Time after a lost link from which on chunks of that agent at others show that it is at work;
    #: before, they may have been copied earlier.
    unlinked_s: float = 3.0
    #: Factor of deadlines of an agent at work without a link, because its chunks become known only
    #: when others have copied them.
    unlinked_factor: float = 3.0
    #: Time without a new chunk in any other region after which a region asks the origin.
    origin_after_s: float = 20.0
    #: Bad chunks after which a peer is blocked, and for how long.
    bad_limit: int = 3
    block_s: float = 60.0
    #: Good chunks in a row that make up for one bad chunk. Links that corrupt 2% of the chunks would
    #: otherwise block most innocent peers during one distribution.
    forgive: int = 8
    #: First block of a peer that announces chunks and then does not have them. It doubles each time
    #: up to `block_s`; a peer that dropped a version for a newer note does so for a moment only.
    untrue_s: float = 5.0
    #: Interval at which deadlines of other agents are checked; a check visits every missing chunk.
    takeover_every_s: float = 0.5
    #: Missing chunks at or below which the same chunk may be asked from two sources.
    endgame: int = 4
    #: Bounds of the backoff after a refusal.
    backoff_min_s: float = 0.05
    backoff_max_s: float = 10.0


@attrs.define
class SourceRow:
    """A peer or the origin, as a source of blobs."""

    id: str
    #: Empty for the origin.
    region: str
    linked: bool = False
    #: Unix seconds at which the link was lost.
    down_at: float = 0.0
    #: Brought chunks into the region after the link was lost, as others show.
    at_work: bool = False
    #: Digests that the peer announced on the present link, as an ordered set.
    has: dict[bytes, None] = attrs.field(factory=dict)
    #: Bad chunks, and good ones since the last bad one.
    bad: int = 0
    good: int = 0
    #: Blocks for bad chunks since one was last forgiven.
    blocks: int = 0
    #: Requests for announced chunks refused as missing since the last good chunk.
    untrue: int = 0
    #: Blocked for untrue announcements, or again for bad chunks: it counts neither as a holder nor
    #: in rendezvous order until `blocked_until`. A first block for bad chunks leaves its chunks to
    #: the region: the path between two VMs may be at fault, and fetching them anew costs origin
    #: copies.
    suspended: bool = False
    #: Not asked before this time (unix seconds).
    blocked_until: float = 0.0
    in_flight: int = 0
    #: Refusals and timeouts in a row.
    failures: int = 0
    #: Unix seconds at which it last announced a chunk that was new to its region.
    entry_at: float = 0.0

    def usable(self, now: float, per_source: int) -> bool:
        """Returns whether one more fetch may be asked from it."""
        return self.linked and now >= self.blocked_until and self.in_flight < per_source

    def back_off(self, now: float, limits: ExchangeLimits, rng: random.Random) -> None:
        """Delays the next attempt: doubles with each failure in a row, with jitter."""
        ceiling = min(limits.backoff_max_s, limits.backoff_min_s * 2 ** min(self.failures, 16))
        self.failures += 1
        self.blocked_until = max(self.blocked_until, now + ceiling * rng.uniform(0.5, 1.0))

    def found_good(self, limits: ExchangeLimits) -> None:
        """Counts a good chunk."""
        self.failures = self.untrue = 0
        self.good += 1
        if self.good >= limits.forgive:
            self.good = 0
            self.bad = max(0, self.bad - 1)
            self.blocks = 0

    def found_bad(self, limits: ExchangeLimits) -> float:
        """Counts a bad chunk; returns the seconds to block the peer for, or 0.0."""
        self.bad += 1
        self.good = 0
        if self.bad < limits.bad_limit:
            return 0.0
        self.bad = 0
        self.blocks += 1
        return limits.block_s

    def found_untrue(self, limits: ExchangeLimits) -> float:
        """Counts an untrue announcement; returns the seconds to block the peer for, or 0.0."""
        self.untrue += 1
        times, rest = divmod(self.untrue, limits.bad_limit)
        return 0.0 if rest else min(limits.block_s, limits.untrue_s * 2 ** min(times - 1, 8))


@attrs.define
class Fetch:
    """One attempt in flight."""

    source: str
    started_at: float
    deadline: float


@attrs.define
class WantedRow:
    """A blob that is wanted and not held."""

    digest: bytes
    #: Attempts in flight by source.
    fetches: dict[str, Fetch] = attrs.field(factory=dict)
    #: Linked holders in the own region and elsewhere. Ordered sets, so that equal seeds give equal
    #: decisions whatever the hash seed of the process.
    local: dict[str, None] = attrs.field(factory=dict)
    foreign: dict[str, None] = attrs.field(factory=dict)
    #: Unix seconds at which the first holder elsewhere was seen, or the last one lost.
    foreign_at: float = 0.0
    #: Agents that announced the blob and did not have it; passed over in rendezvous order.
    denied: set[str] = attrs.field(factory=set)
    #: Sources that failed to deliver, with the time until which others are preferred.
    avoid: dict[str, float] = attrs.field(factory=dict)
    #: Designated agent of the own region, and all of them in rendezvous order; computed when first
    #: needed.
    designee: str | None = None
    order: list[str] | None = None
    #: All agents ranked before this one have failed to deliver the blob into the region.
    taken_over: bool = False


@attrs.define
class Durations:
    """Deadlines of fetches from measured durations, as TCP does for its retransmission timer."""

    limits: ExchangeLimits
    #: Lower bound of the deadlines in seconds.
    least_s: float
    _mean: float = 0.0
    _deviation: float = 0.0
    _scale: float = 1.0

    def add(self, seconds: float) -> None:
        """Counts a finished fetch."""
        if self._mean == 0.0:
            self._mean, self._deviation = seconds, seconds / 2
        else:
            self._deviation += (abs(seconds - self._mean) - self._deviation) / 4
            self._mean += (seconds - self._mean) / 8
        self._scale = 1.0

    def missed(self) -> None:
        """Counts a deadline that passed. Doubles the next ones, in case the path became slow."""
        self._scale = min(16.0, self._scale * 2)

    def allowance(self) -> float:
        """Returns the seconds to allow for the next fetch."""
        base = self._mean + 4 * self._deviation if self._mean else self.limits.fetch_s
        return min(self.limits.fetch_max_s, max(self.least_s, base) * self._scale)

    @property
    def mean(self) -> float:
        """Mean duration in seconds, 0.0 before the first."""
        return self._mean
