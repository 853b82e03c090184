"""Rows of the switch: states, limits, the declared set and what is known of the engine."""

from __future__ import annotations

import enum
import random

import attrs

from fescuechute.weights._commands import Weight

Triple = tuple[str, str, str]


class SwitchState(enum.StrEnum):
    """Where the switch stands."""

    #: The engine's state is not known, or no note is known.
    STARTING = "starting"
    #: Blobs of the declared set are missing or not staged.
    LOADING = "loading"
    #: Everything is staged; waits for its wave.
    READY_TO_SWITCH = "ready_to_switch"
    #: New requests are refused; waits for the running ones.
    DRAINING = "draining"
    #: An order is in flight or about to be sent again.
    ORDERING = "ordering"
    #: The order was answered; waits for the read-back.
    CONFIRMING = "confirming"
    #: The engine is confirmed to hold the declared set.
    LIVE = "live"


@attrs.frozen
class SwitchLimits:
    """Numbers that govern the switch. Times are in seconds."""

    #: An order without an answer for this long has an unknown outcome.
    order_s: float = 30.0
    #: A read-back without an answer for this long is sent again.
    read_s: float = 2.0
    #: Interval of read-backs while live, where old fencing numbers are not refused.
    watch_s: float = 0.5
    #: Interval of read-backs while live elsewhere; they notice a silent restart of the engine.
    watch_fenced_s: float = 1.0
    #: Blobs staged at a time, and the time after which a blob is staged again.
    staging: int = 4
    stage_s: float = 10.0
    #: Bounds of the backoff between attempts.
    backoff_min_s: float = 0.1
    backoff_max_s: float = 5.0


@attrs.frozen
class Target:
    """A declared set."""

    revision: int
    #: Offset of the accepted note.
    fence: int
    weights: tuple[Weight, ...]

    @property
    def triples(self) -> frozenset[Triple]:
        """What a read-back of this set reports."""
        return frozenset(weight.triple for weight in self.weights)


@attrs.define
class Order:
    """An order whose outcome is not known."""

    order_id: int
    fence: int
    weights: frozenset[Weight]
    deadline: float


@attrs.define
class Engine:
    """The engine as last read back."""

    boot_id: str
    #: Sorted (kind, name, version); repeated entries are kept, so that they never match a set.
    weights: tuple[Triple, ...]
    fence: int

    def holds(self, triples: frozenset[Triple], fence: int) -> bool:
        """Returns whether the engine holds exactly this set, ordered at this fence or later."""
        return self.weights == tuple(sorted(triples)) and self.fence >= fence


@attrs.define
class Backoff:
    """Delays that double with each failure in a row, with jitter."""

    limits: SwitchLimits
    rng: random.Random
    failures: int = 0

    def next(self) -> float:
        """Counts a failure and returns the seconds to wait."""
        ceiling = self.limits.backoff_min_s * 2 ** min(self.failures, 16)
        self.failures += 1
        return min(self.limits.backoff_max_s, ceiling) * self.rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Starts again from the shortest delay."""
        self.failures = 0
