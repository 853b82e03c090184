"""Configuration and result of one run of the link model."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from fescuechute.weights import Exchange, ExchangeLimits
from fescuechute.weights._uploads import QUEUE_TOTAL


@attrs.frozen
class Stall:
    """A link between two VMs that goes silent."""

    at: float
    #: Indexes of the VMs.
    a: int
    b: int
    #: Unix seconds at which new connections work; infinity for never.
    until: float


@attrs.frozen
class SwarmConfig:
    """One experiment. Rates are given in copies of the weights in the target time."""

    #: Number of VMs by region; the first one is the store's home.
    regions: Mapping[str, int]
    #: Bytes of each chunk.
    sizes: tuple[int, ...]
    target_s: float = 120.0
    origin_copies: float = 4.0
    vm_copies: float = 2.0
    #: Rate of the link of each pair of regions, each way.
    pair_copies: float = 2.0
    step_s: float = 0.025
    seed: int = 1
    limits: ExchangeLimits = attrs.field(factory=ExchangeLimits)
    #: Makes the decision object of a VM; takes the arguments of Exchange.
    policy: Callable[..., Any] = Exchange
    #: Requests that may wait at one VM.
    queue_total: int = QUEUE_TOTAL
    #: Messages wait behind the chunks that a VM is sending, instead of overtaking them.
    shared_queue: bool = False
    #: Probability that a chunk arrives corrupted.
    corrupt: float = 0.0
    #: Indexes of VMs that announce every chunk and refuse all requests.
    liars: tuple[int, ...] = ()
    #: (time, index of the VM).
    kills: tuple[tuple[float, int], ...] = ()
    stalls: tuple[Stall, ...] = ()
    #: (from, until) in which the origin refuses.
    origin_out: tuple[float, float] = (0.0, 0.0)

    @property
    def total(self) -> int:
        """Bytes of the weights."""
        return sum(self.sizes)

    @property
    def vms(self) -> int:
        """Number of VMs."""
        return sum(self.regions.values())

    @property
    def lower_bound_s(self) -> float:
        """Lower bound of the time to all replicas, see the design page."""
        copies = max(
            1 / self.origin_copies,
            1 / self.vm_copies,
            self.vms / (self.origin_copies + self.vms * self.vm_copies),
        )
        return copies * self.target_s


@attrs.frozen
class SwarmResult:
    """What one run showed."""

    finished: bool
    #: Seconds until the last live VM held every chunk, and as a ratio to the lower bound.
    seconds: float
    ratio: float
    #: Bytes sent by the origin, in copies.
    origin_copies: float
    #: Bytes that entered each region from the origin or from other regions, in copies.
    entered: dict[str, float]
    #: Most often that one chunk entered one region.
    entries_max: int
    #: 95th percentile of the delay of messages in seconds.
    message_p95_s: float
