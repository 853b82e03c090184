"""State rows of the switch: its states, limits, the declared set, orders and the engine."""

from __future__ import annotations

import enum
import random

import attrs

from fescuechute.weights._commands import Weight

Triple = tuple[str, str, str]


class SwitchState(enum.StrEnum):
    """States of the switch."""

    #: The weights on the engine or the declared set are not known yet.
    STARTING = "starting"
    #: Blobs of the declared set are missing or not staged yet.
    LOADING = "loading"
    #: All blobs are staged; the switch waits for its wave.
    READY_TO_SWITCH = "ready_to_switch"
    #: New requests are refused; the switch waits for running requests to end.
    DRAINING = "draining"
    #: An order is in flight, or waits to be sent or retried.
    ORDERING = "ordering"
    #: The order was answered; the switch waits for the read-back.
    CONFIRMING = "confirming"
    #: A read-back confirmed that the engine holds the declared set.
    LIVE = "live"


@attrs.frozen
class SwitchLimits:
    """Limits and timeouts of the switch. Times are in seconds."""

    #: Timeout of an order, after which its outcome is unknown.
    order_timeout_s: float = 30.0
    #: Timeout of a read-back, after which it is retried.
    read_timeout_s: float = 2.0
    #: Interval of read-backs while live if the engine does not enforce fencing.
    read_interval_s: float = 0.5
    #: Interval of read-backs while live if the engine enforces fencing; they detect a restart of the
    #: engine without a broken connection.
    fenced_read_interval_s: float = 1.0
    #: Maximum number of blobs being staged at the same time, and the timeout after which staging of
    #: a blob is retried.
    parallel_stages: int = 4
    stage_timeout_s: float = 10.0
    #: Bounds of the backoff between attempts.
    backoff_min_s: float = 0.1
    backoff_max_s: float = 5.0


@attrs.frozen
class Target:
    """The set of weights that a note declares for an engine."""

    revision: int
    #: Fencing number: the log offset of the accepted note.
    fence: int
    weights: tuple[Weight, ...]

    @property
    def triples(self) -> frozenset[Triple]:
        """The (kind, name, version) triples that a read-back of this set reports."""
        return frozenset(weight.triple for weight in self.weights)


@attrs.define
class Order:
    """An order that was sent to the engine."""

    order_id: int
    fence: int
    weights: frozenset[Weight]
    deadline: float


@attrs.define
class EngineState:
    """State of the engine at the last read-back."""

    boot_id: str
    #: Sorted triples as reported. Duplicates are kept, so that they never match a declared set.
    weights: tuple[Triple, ...]
    fence: int

    def holds(self, triples: frozenset[Triple], fence: int) -> bool:
        """Returns whether the engine holds exactly this set, loaded with at least this fence."""
        return self.weights == tuple(sorted(triples)) and self.fence >= fence


@attrs.define
class Backoff:
    """Jittered delays that double with each consecutive failure."""

    limits: SwitchLimits
    rng: random.Random
    failures: int = 0

    def next_delay(self) -> float:
        """Records a failure and returns the seconds to wait."""
        ceiling = self.limits.backoff_min_s * 2 ** min(self.failures, 16)
        self.failures += 1
        return min(self.limits.backoff_max_s, ceiling) * self.rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Resets the delay to its minimum."""
        self.failures = 0
