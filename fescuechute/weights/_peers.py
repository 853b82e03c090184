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
    #: Fetches into the region in flight, so that slow links to other regions leave room for local
    #: ones.
    entering: int = 2
    #: First deadline of a fetch, until durations have been measured.
    fetch_s: float = 10.0
    #: Bounds of measured deadlines.
    fetch_min_s: float = 5.0
    fetch_max_s: float = 60.0
    #: Time without a new chunk from a designated agent after which the next rank may fetch.
    entry_s: float = 6.0
    #: Time after a link is lost until the peer counts as gone for rendezvous.
    absent_s: float = 3.0
    #: Time without a new chunk in any other region after which a region asks the origin.
    origin_after_s: float = 20.0
    #: Bad chunks after which a peer is blocked, and for how long.
    bad_limit: int = 3
    block_s: float = 60.0
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
    #: Unix seconds at which the link was found lost; None while linked or never linked.
    down_at: float | None = None
    #: Digests that the peer announced on the present link.
    has: set[bytes] = attrs.field(factory=set)
    bad: int = 0
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

    def found_bad(self, now: float, limits: ExchangeLimits) -> None:
        """Counts a bad chunk and blocks the source at the limit."""
        self.bad += 1
        if self.bad >= limits.bad_limit:
            self.bad = 0
            self.blocked_until = max(self.blocked_until, now + limits.block_s)


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
    #: Linked holders in the own region and elsewhere.
    local: set[str] = attrs.field(factory=set)
    foreign: set[str] = attrs.field(factory=set)
    #: Unix seconds at which a holder elsewhere was first seen; 0.0 while there is none.
    foreign_at: float = 0.0
    #: Agents that announced the blob and did not have it; passed over in rendezvous order.
    denied: set[str] = attrs.field(factory=set)
    #: Sources that failed to deliver, with the time until which others are preferred.
    avoid: dict[str, float] = attrs.field(factory=dict)
    #: Designated agent of the own region, and all of them in rendezvous order; computed when first
    #: needed.
    designee: str | None = None
    order: list[str] | None = None


@attrs.define
class Durations:
    """Deadlines of fetches from measured durations, as TCP does for its retransmission timer."""

    limits: ExchangeLimits
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
        low, high = self.limits.fetch_min_s, self.limits.fetch_max_s
        return min(high, max(low, base) * self._scale)

    @property
    def mean(self) -> float:
        """Mean duration in seconds, 0.0 before the first."""
        return self._mean
