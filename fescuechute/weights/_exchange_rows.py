"""State rows of the exchange: sources, wanted blobs and fetch durations."""

from __future__ import annotations

import random

import attrs

#: Maximum number of announced digests kept for one peer, so that a faulty peer cannot exhaust the
#: memory. Several versions of a 10 GiB model in 256 KiB chunks fit.
MAX_DIGESTS_PER_PEER = 200_000


@attrs.frozen
class ExchangeLimits:
    """Limits and timeouts of the exchange. Times are in seconds.

    A fetch is called entering if its source is the origin or a peer in another region.
    """

    #: Maximum number of fetches in flight.
    parallel: int = 4
    #: Maximum number of fetches in flight from one source.
    per_source: int = 2
    #: Maximum number of entering fetches in flight for all agents of a region together; each agent
    #: may always have one.
    max_entering_fetches: int = 8
    #: Timeout of a fetch until durations have been measured.
    initial_timeout_s: float = 10.0
    #: Bounds of timeouts that are computed from measured durations.
    min_timeout_s: float = 5.0
    max_timeout_s: float = 60.0
    #: Lower bound of the timeout of entering fetches. All agents share the links between regions, so
    #: a single fetch may take several times the mean; cancelling it too early would bring the chunk
    #: into the region twice.
    entering_min_timeout_s: float = 10.0
    #: Time without a new chunk from a designated agent after which its duty is handed over to the
    #: agent ranked next.
    designee_timeout_s: float = 6.0
    #: Time after the loss of a link during which new chunks at other agents do not count as activity
    #: of the unlinked agent, because they may have been copied before the loss.
    unlinked_grace_s: float = 3.0
    #: Factor applied to the timeout of an active designated agent without a link to this one. Its
    #: chunks become known here only after other agents have copied them.
    unlinked_timeout_factor: float = 3.0
    #: Time without a new chunk in any other region after which a region fetches from the origin.
    origin_fallback_s: float = 20.0
    #: Number of corrupt chunks, or of false announcements, after which a peer is blocked.
    block_threshold: int = 3
    #: Duration of a block for corrupt chunks, and upper bound for false announcements.
    block_s: float = 60.0
    #: Consecutive valid chunks that cancel out one corrupt chunk. Without this, links that corrupt 2%
    #: of the chunks would get most healthy peers blocked during one distribution.
    valid_chunks_to_forgive: int = 8
    #: Duration of the first block for false announcements (chunks that the peer announced and then
    #: refused as missing); doubles with each further block up to `block_s`. It starts low because a
    #: peer that drops a version for a newer note is briefly in this state.
    false_announcement_block_s: float = 5.0
    #: Interval of the checks for handovers; a check visits every missing chunk.
    handover_check_interval_s: float = 0.5
    #: Number of missing chunks at or below which a chunk may be fetched from two sources at once.
    endgame_chunks: int = 4
    #: Bounds of the backoff after a refusal or a timeout.
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
    link_lost_at: float = 0.0
    #: Whether new chunks at other agents imply that it still brings chunks into the region although
    #: its link to this agent is lost.
    inferred_active: bool = False
    #: Digests announced on the current link, as an ordered set.
    announced: dict[bytes, None] = attrs.field(factory=dict)
    #: Corrupt chunks since the last block for them, less those that valid chunks cancelled out.
    corrupt_chunks: int = 0
    #: Valid chunks since the last corrupt one.
    valid_chunks: int = 0
    #: Blocks for corrupt chunks since a corrupt chunk was last cancelled out.
    corruption_blocks: int = 0
    #: Announced chunks that were refused as missing since the last valid chunk.
    false_announcements: int = 0
    #: Whether the peer counts neither as a holder nor in rendezvous order until `blocked_until`. Set
    #: for false announcements and for repeated blocks for corrupt chunks. A first block for corrupt
    #: chunks does not suspend the peer: the network path between two VMs may be at fault, and
    #: fetching its chunks again would cost further copies from the origin.
    suspended: bool = False
    #: Unix seconds before which no fetch may start from it.
    blocked_until: float = 0.0
    in_flight: int = 0
    #: Consecutive refusals and timeouts.
    failures: int = 0
    #: Unix seconds at which it last brought a new chunk into its region.
    last_entry_at: float = 0.0

    def is_available(self, now: float, per_source: int) -> bool:
        """Returns whether one more fetch may start from this source."""
        return self.linked and now >= self.blocked_until and self.in_flight < per_source

    def back_off(self, now: float, limits: ExchangeLimits, rng: random.Random) -> None:
        """Delays the next attempt by a jittered time that doubles with each consecutive failure."""
        ceiling = min(limits.backoff_max_s, limits.backoff_min_s * 2 ** min(self.failures, 16))
        self.failures += 1
        self.blocked_until = max(self.blocked_until, now + ceiling * rng.uniform(0.5, 1.0))

    def record_valid_chunk(self, limits: ExchangeLimits) -> None:
        """Records a chunk that passed verification."""
        self.failures = self.false_announcements = 0
        self.valid_chunks += 1
        if self.valid_chunks >= limits.valid_chunks_to_forgive:
            self.valid_chunks = 0
            self.corrupt_chunks = max(0, self.corrupt_chunks - 1)
            self.corruption_blocks = 0

    def record_corrupt_chunk(self, limits: ExchangeLimits) -> float:
        """Records a corrupt chunk; returns the seconds to block the peer for, or 0.0."""
        self.corrupt_chunks += 1
        self.valid_chunks = 0
        if self.corrupt_chunks < limits.block_threshold:
            return 0.0
        self.corrupt_chunks = 0
        self.corruption_blocks += 1
        return limits.block_s

    def record_false_announcement(self, limits: ExchangeLimits) -> float:
        """Records a false announcement; returns the seconds to block the peer for, or 0.0."""
        self.false_announcements += 1
        block_number, remainder = divmod(self.false_announcements, limits.block_threshold)
        return (
            0.0
            if remainder
            else min(
                limits.block_s, limits.false_announcement_block_s * 2 ** min(block_number - 1, 8)
            )
        )


@attrs.define
class Fetch:
    """One fetch attempt in flight."""

    source: str
    started_at: float
    deadline: float


@attrs.define
class WantedRow:
    """A blob that is wanted and not held."""

    digest: bytes
    #: Attempts in flight by source id.
    fetches: dict[str, Fetch] = attrs.field(factory=dict)
    #: Linked holders in this region, and in all other regions. Ordered sets, so that equal random
    #: seeds give equal decisions regardless of the hash seed of the process.
    local: dict[str, None] = attrs.field(factory=dict)
    foreign: dict[str, None] = attrs.field(factory=dict)
    #: Unix seconds at which the first foreign holder appeared, or the last one disappeared.
    foreign_changed_at: float = 0.0
    #: Agents that announced the blob without having it; skipped in rendezvous order.
    false_announcers: set[str] = attrs.field(factory=set)
    #: Unix seconds until which a source is not asked for this blob after it failed to deliver it.
    avoid_until: dict[str, float] = attrs.field(factory=dict)
    #: Designated agent of this region, and all agents of the region in rendezvous order; computed
    #: when first needed.
    designee: str | None = None
    ranking: list[str] | None = None
    #: Whether the duty to fetch the blob into the region has been handed over to this agent.
    handed_over: bool = False


@attrs.define
class DurationEstimator:
    """Computes fetch timeouts from measured durations like the retransmission timer of TCP."""

    limits: ExchangeLimits
    #: Lower bound of the timeouts in seconds, before backoff.
    lower_bound_s: float
    _mean_s: float = 0.0
    _deviation_s: float = 0.0
    _backoff_factor: float = 1.0

    def record_duration(self, seconds: float) -> None:
        """Records the duration of a successful fetch."""
        if self._mean_s == 0.0:
            self._mean_s, self._deviation_s = seconds, seconds / 2
        else:
            self._deviation_s += (abs(seconds - self._mean_s) - self._deviation_s) / 4
            self._mean_s += (seconds - self._mean_s) / 8
        self._backoff_factor = 1.0

    def record_timeout(self) -> None:
        """Doubles the next timeouts after a fetch timed out, in case the path has become slow."""
        self._backoff_factor = min(16.0, self._backoff_factor * 2)

    def next_timeout_s(self) -> float:
        """Returns the timeout of the next fetch in seconds."""
        estimate_s = (
            self._mean_s + 4 * self._deviation_s if self._mean_s else self.limits.initial_timeout_s
        )
        return min(
            self.limits.max_timeout_s, max(self.lower_bound_s, estimate_s) * self._backoff_factor
        )

    @property
    def mean_s(self) -> float:
        """Smoothed mean duration in seconds; 0.0 before the first fetch."""
        return self._mean_s
