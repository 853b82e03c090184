"""Configuration and result of one simulated run of a swarm."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from fescuechute.weights import Exchange, ExchangeLimits
from fescuechute.weights._uploads import QUEUE_TOTAL


@attrs.frozen
class Stall:
    """A link between two VMs that stops delivering. Times are seconds from the start of the run."""

    at: float
    #: Indexes of the VMs.
    a: int
    b: int
    #: When new connections succeed again; infinity for never.
    until: float


@attrs.frozen
class SwarmConfig:
    """Configuration of one run. Rates are in copies of the weights per target time."""

    #: Number of VMs by region. The first region is the home region, where the blob store is.
    regions: Mapping[str, int]
    #: Bytes of each chunk.
    sizes: tuple[int, ...]
    target_s: float = 120.0
    #: Rates of the origin's link, and of each VM's link, each way.
    origin_copies: float = 4.0
    vm_copies: float = 2.0
    #: Rate of the link between each pair of regions, each way.
    pair_copies: float = 2.0
    step_s: float = 0.025
    seed: int = 1
    limits: ExchangeLimits = attrs.field(factory=ExchangeLimits)
    #: Creates the exchange of a VM; takes the arguments of `Exchange`.
    policy: Callable[..., Any] = Exchange
    #: Maximum number of queued fetch requests at one VM.
    queue_total: int = QUEUE_TOTAL
    #: Whether messages queue behind the chunks that a VM is sending instead of overtaking them.
    shared_queue: bool = False
    #: Probability that a transferred chunk is corrupted.
    corruption_probability: float = 0.0
    #: Indexes of the VMs that announce every chunk and refuse all fetches.
    false_announcers: tuple[int, ...] = ()
    #: (seconds from the start of the run, index of the killed VM).
    kills: tuple[tuple[float, int], ...] = ()
    stalls: tuple[Stall, ...] = ()
    #: (start, end) in seconds from the start of the run between which the origin refuses fetches.
    origin_outage: tuple[float, float] = (0.0, 0.0)

    @property
    def total_bytes(self) -> int:
        """Size of the weights in bytes."""
        return sum(self.sizes)

    @property
    def vm_count(self) -> int:
        """Number of VMs."""
        return sum(self.regions.values())

    @property
    def lower_bound_s(self) -> float:
        """Lower bound on the time to all replicas in seconds, see the design page."""
        copies = max(
            1 / self.origin_copies,
            1 / self.vm_copies,
            self.vm_count / (self.origin_copies + self.vm_count * self.vm_copies),
        )
        return copies * self.target_s


@attrs.frozen
class SwarmResult:
    """Result of one run."""

    finished: bool
    #: Seconds until the last live VM held every chunk, and their ratio to the lower bound.
    seconds: float
    ratio: float
    #: Bytes sent by the origin, in copies of the weights.
    origin_copies: float
    #: Bytes that entered each region from the origin or other regions, in copies of the weights.
    entered: dict[str, float]
    #: Maximum number of times that one chunk entered one region.
    entries_max: int
    #: 95th percentile of the message delay in seconds.
    message_p95_s: float
