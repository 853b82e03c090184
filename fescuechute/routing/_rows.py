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
        """Outstanding requests for each slot."""
        return self.outstanding / max(1, self.slots)

    @property
    def capacity(self) -> int:
        """Slots plus the agent's short queue, a quarter of the slots and at least one."""
        return self.slots + max(1, self.slots // 4)

    def report(self, state: str, running: int, queued: int, slots: int, now: float) -> None:
        """Takes over a Status."""
        self.state, self.slots = state, slots
        self.reported_running, self.reported_queued, self.reported_at = running, queued, now
        self.sent_since_report = 0

    def sent(self, now: float, prefixes: Iterable[int] = ()) -> None:
        """Accounts for a request sent to the upstream."""
        self.sent_since_report += 1
        self.last_sent_at = now
        for print_ in prefixes:
            self.prefixes[print_] = None
            self.prefixes.move_to_end(print_)
        while len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def ended(self) -> None:
        """Accounts for the end of a request, whatever its outcome."""
        self.sent_since_report -= 1
