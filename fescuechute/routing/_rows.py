"""State of an upstream as known to one entry."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import attrs

#: Kind (`model` or `adapter`), name and version of loaded weights.
Weight = tuple[str, str, str]

#: Limit on prefix fingerprints kept for each upstream. It bounds memory; older prefixes have
#: probably been evicted from the engine's cache.
MAX_PREFIXES = 512

#: Weight of this entry's unreported requests when loads are compared. All entries react to the same
#: report, so each request that this entry has sent since then also stands for unseen ones of other
#: entries; docs/decisions/routing.md has the experiments. Free capacity is computed from the
#: unweighted count; otherwise one entry alone could not fill an upstream.
UNREPORTED_WEIGHT = 4


@attrs.define(eq=False)
class UpstreamRow:
    """An upstream and its agent; updated in place as messages arrive."""

    agent_id: str
    #: Name of the pool of interchangeable upstreams.
    upstream: str
    region: str
    data_centre: str
    #: State from the last `Status` message of the agent.
    state: str = "starting"
    #: Number of requests that the upstream runs concurrently.
    slots: int = 1
    reported_running: int = 0
    reported_queued: int = 0
    #: Unix seconds at which the last report arrived.
    reported_at: float = 0.0
    #: Requests sent minus requests ended since the last report; may be negative.
    sent_since_report: int = 0
    #: Loaded weights as the agent read them back from its engine.
    weights: frozenset[Weight] = frozenset()
    #: Whether the link to the agent is up.
    linked: bool = False
    #: Unix seconds before which no request is sent, after a refusal or failure.
    not_before: float = 0.0
    #: Fingerprints of recently sent prefixes, least recent first.
    prefixes: OrderedDict[int, None] = attrs.field(factory=OrderedDict)
    #: Unix seconds at which the last request was sent.
    last_sent_at: float = 0.0

    @property
    def outstanding(self) -> int:
        """Estimated number of requests running or queued at the upstream."""
        return max(0, self.reported_running + self.reported_queued + self.sent_since_report)

    @property
    def load(self) -> float:
        """Outstanding requests per slot, unreported ones weighted by UNREPORTED_WEIGHT."""
        unreported = self.sent_since_report * (
            UNREPORTED_WEIGHT if self.sent_since_report > 0 else 1
        )
        requests = self.reported_running + self.reported_queued + unreported
        return max(0, requests) / max(1, self.slots)

    @property
    def capacity(self) -> int:
        """Slots plus the length of the agent's queue, a quarter of the slots but at least one."""
        return self.slots + max(1, self.slots // 4)

    def apply_report(self, state: str, running: int, queued: int, slots: int, now: float) -> None:
        """Applies the load and state that a `Status` message reports."""
        self.state, self.slots = state, slots
        self.reported_running, self.reported_queued, self.reported_at = running, queued, now
        self.sent_since_report = 0

    def record_sent(self, now: float, prefixes: Iterable[int] = ()) -> list[int]:
        """Records that a request was sent; returns the prefixes evicted from the row.

        For a row in a `Pool`, call `Pool.record_sent` instead, which also updates the pool's index.
        """
        self.sent_since_report += 1
        self.last_sent_at = now
        for fingerprint in prefixes:
            self.prefixes[fingerprint] = None
            self.prefixes.move_to_end(fingerprint)
        excess = len(self.prefixes) - MAX_PREFIXES
        return [self.prefixes.popitem(last=False)[0] for _ in range(excess)]

    def record_end(self) -> None:
        """Records that a request ended, with any outcome."""
        self.sent_since_report -= 1

    def record_refusal(self, now: float, retry_at: float) -> None:
        """Records that the agent refused a request because its upstream is full.

        The refusal is newer than the last report, so the upstream counts as full until one of this
        entry's requests ends there or the next report arrives. Until `retry_at` no request is sent.

        Args:
          now: Unix seconds.
          retry_at: Unix seconds before which no request is sent.
        """
        self.reported_running, self.reported_queued = self.slots, self.capacity - self.slots
        self.sent_since_report, self.reported_at = 0, now
        self.not_before = max(self.not_before, retry_at)
