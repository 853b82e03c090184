"""Row of an upstream, as one entry sees it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import attrs

#: Kind (`model` or `adapter`), name and version of loaded weights.
Weight = tuple[str, str, str]

#: Prefix fingerprints remembered for each upstream; a bound on memory, and older ones are likely
#: to have left the engine's cache.
MAX_PREFIXES = 512

#: Weight of our own unreported requests in comparisons of load. Other entries react to the same
#: report, so what we sent stands for what they sent unseen as well; docs/decisions/routing.md has
#: the trials. Room is judged by the plain count, or one entry alone could not fill an upstream.
SEND_WEIGHT = 4


@attrs.define(eq=False)
class UpstreamRow:
    """An upstream behind its agent; changed in place as messages arrive."""

    agent_id: str
    #: Name of the pool of equal upstreams.
    upstream: str
    region: str
    data_centre: str
    #: State from the agent's Status.
    state: str = "starting"
    slots: int = 1
    reported_running: int = 0
    reported_queued: int = 0
    #: Unix seconds at which the last report arrived.
    reported_at: float = 0.0
    #: Requests sent less requests ended since the last report.
    sent_since_report: int = 0
    #: Weights that the agent has read back from its engine.
    weights: frozenset[Weight] = frozenset()
    linked: bool = False
    #: Unix seconds before which nothing is sent, after a refusal or a failure.
    not_before: float = 0.0
    #: Fingerprints of prefixes recently sent, oldest first.
    prefixes: OrderedDict[int, None] = attrs.field(factory=OrderedDict)
    #: Unix seconds of the last request sent.
    last_sent_at: float = 0.0

    @property
    def outstanding(self) -> int:
        """Requests that the upstream is believed to have."""
        return max(0, self.reported_running + self.reported_queued + self.sent_since_report)

    @property
    def load(self) -> float:
        """Outstanding requests for each slot, our unreported ones weighted by SEND_WEIGHT."""
        unreported = self.sent_since_report * (SEND_WEIGHT if self.sent_since_report > 0 else 1)
        requests = self.reported_running + self.reported_queued + unreported
        return max(0, requests) / max(1, self.slots)

    @property
    def capacity(self) -> int:
        """Slots plus the agent's short queue, a quarter of the slots and at least one."""
        return self.slots + max(1, self.slots // 4)

    def report(self, state: str, running: int, queued: int, slots: int, now: float) -> None:
        """Takes over a Status."""
        self.state, self.slots = state, slots
        self.reported_running, self.reported_queued, self.reported_at = running, queued, now
        self.sent_since_report = 0

    def sent(self, now: float, prefixes: Iterable[int] = ()) -> list[int]:
        """Accounts for a request sent to the upstream; returns the prefixes that are forgotten.

        For a row of a `Pool` call `Pool.sent`, which keeps the pool's index as well.
        """
        self.sent_since_report += 1
        self.last_sent_at = now
        for print_ in prefixes:
            self.prefixes[print_] = None
            self.prefixes.move_to_end(print_)
        excess = len(self.prefixes) - MAX_PREFIXES
        return [self.prefixes.popitem(last=False)[0] for _ in range(excess)]

    def ended(self) -> None:
        """Accounts for the end of a request, whatever its outcome."""
        self.sent_since_report -= 1

    def refused(self, now: float, retry_at: float) -> None:
        """Accounts for a refusal for want of room.

        The refusal shows that the upstream is full, which is newer than the last report. It counts
        as full until one of our requests ends there or the next report arrives, and nothing is sent
        before the retry time.

        Args:
          now: Unix seconds.
          retry_at: Unix seconds before which nothing is sent.
        """
        self.reported_running, self.reported_queued = self.slots, self.capacity - self.slots
        self.sent_since_report, self.reported_at = 0, now
        self.not_before = max(self.not_before, retry_at)
