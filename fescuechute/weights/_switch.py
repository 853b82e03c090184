"""State machine that switches an engine to the declared set of weights."""

from __future__ import annotations

import random
from collections.abc import Iterable

from fescuechute.weights._commands import (
    Command,
    Drain,
    ReadBack,
    SendOrder,
    Serve,
    Stage,
    StopServing,
    Weight,
)
from fescuechute.weights._switch_rows import (
    Backoff,
    EngineState,
    Order,
    SwitchLimits,
    SwitchState,
    Target,
    Triple,
)


class Switch:
    """Switches one engine to the declared set of weights.

    Callers report events; `plan(now)` returns the commands that are due. Requests may be served
    from a `Serve` command until the next `Drain` or `StopServing`.

    Args:
      enforces_fencing: Whether the engine refuses orders with an old fencing number.
      rng: Seeded random number generator for the jitter of the backoff.
      limits: Limits and timeouts.
    """

    def __init__(
        self, enforces_fencing: bool, rng: random.Random, limits: SwitchLimits | None = None
    ):
        self._enforces_fencing = enforces_fencing
        self._limits = limits or SwitchLimits()
        self.state = SwitchState.STARTING
        self._target: Target | None = None
        #: The set that a read-back confirmed, unless an order has been sent since.
        self._confirmed: tuple[Weight, ...] | None = None
        self._serving = False
        self._engine: EngineState | None = None
        #: Last boot_id seen. It is kept when the connection is lost, because the engine may not have
        #: restarted.
        self._boot_id: str | None = None
        #: Whether a matching read-back is not enough and an order for the target must take effect.
        self._order_required = False
        #: Chunks of every weight declared so far, and the fence from which they apply: 0 for the first
        #: declaration. A read-back reports only versions, so a version that is declared again with
        #: other chunks can be recognised only by the fence of the last order.
        self._declared_blobs: dict[Triple, tuple[tuple[bytes, ...], int]] = {}
        #: Lowest fence at which the engine may report the confirmed set.
        self._confirmed_min_fence = 0
        self._blobs_ready = False
        self._may_start = False
        self._running_requests = 0
        self._staged: set[bytes] = set()
        #: Whether the engine accepted an order and no read-back since has shown the end of the load.
        self._load_unconfirmed = False
        #: The order that the engine accepted last, if any.
        self._last_accepted: list[Order] = []
        #: Deadline of each blob being staged.
        self._staging: dict[bytes, float] = {}
        #: Orders whose outcome is unknown; a delayed order may still take effect.
        self._unresolved: list[Order] = []
        self._order_in_flight: Order | None = None
        self._last_order_id = 0
        self._last_read_id = 0
        #: Deadline of the read-back in flight, or None.
        self._read_deadline: float | None = None
        self._next_read_at = 0.0
        self._order_retry_at = 0.0
        self._order_backoff = Backoff(self._limits, rng)
        self._read_backoff = Backoff(self._limits, rng)
        self._commands: list[Command] = []

    # Views.

    @property
    def serving(self) -> tuple[Weight, ...] | None:
        """The set to announce and serve, or None while requests are refused."""
        return self._confirmed if self._serving else None

    @property
    def confirmed(self) -> bool:
        """Whether a read-back has confirmed the set that the newest note declares."""
        return self.state is SwitchState.LIVE

    @property
    def target(self) -> Target | None:
        """The newest declared set."""
        return self._target

    # Events.

    def set_target(self, revision: int, fence: int, weights: Iterable[Weight]) -> None:
        """Records the set that a note declares; an older note is ignored.

        Args:
          revision: Revision that the note creates.
          fence: Log offset of the note.
          weights: The declared set, with the chunks of all manifests.
        """
        target = Target(revision, fence, tuple(weights))
        if self._target is not None and fence <= self._target.fence:
            return
        changed = self._target is None or set(target.weights) != set(self._target.weights)
        self._target = target
        if not changed:
            return
        for weight in target.weights:
            declared = self._declared_blobs.setdefault(weight.triple, (weight.blobs, 0))
            if declared[0] != weight.blobs:
                self._declared_blobs[weight.triple] = (weight.blobs, fence)
        self._blobs_ready = not target.weights
        self._may_start = False
        self._order_backoff.reset()
        self._order_retry_at = 0.0
        self._order_in_flight = None
        self._next_read_at = 0.0
        if not target.weights:
            # All models were withdrawn, so the old set must not be served until the switch either.
            self._stop_serving()
            self._confirmed = None
        if self.state is SwitchState.STARTING:
            return
        self.state = SwitchState.LOADING
        if self._confirmed is not None and not self._serving:
            # The drain had started but no order was sent, so the engine still holds this set.
            self._start_serving()

    def set_blobs_ready(self, ready: bool = True) -> None:
        """Records whether all blobs of the declared set are verified and held."""
        self._blobs_ready = ready

    def set_may_start(self, allowed: bool) -> None:
        """Records whether the wave allows this agent to start; a started drain continues."""
        self._may_start = allowed

    def set_running_requests(self, n: int) -> None:
        """Records the number of requests running on the engine."""
        self._running_requests = n

    def staged(self, digest: bytes) -> None:
        """Records that the engine accepted a staged blob."""
        if self._staging.pop(digest, None) is not None:
            self._staged.add(digest)

    def engine_lost(self, now: float) -> None:
        """Records that a connection to the engine failed, so that it may have restarted."""
        self._stop_serving()
        self._confirmed = None
        self._engine = None
        self._order_in_flight = None
        self._staging.clear()
        self.state = SwitchState.STARTING
        self._read_deadline = None
        self._next_read_at = now + self._read_backoff.next_delay()

    def order_result(self, order_id: int, status: int | None, now: float) -> None:
        """Records the answer to an order: an HTTP status, or None if the outcome is unknown."""
        if status == 200:
            self._order_accepted(order_id)
        if status is not None:
            # After a status of 500 or above, as after a lost answer, the order may have taken effect.
            answered = status < 500
            self._unresolved = [
                order for order in self._unresolved if order.order_id != order_id or not answered
            ]
        if self._order_in_flight is None or self._order_in_flight.order_id != order_id:
            return
        self._order_in_flight = None
        if status == 200:
            self._order_required = False
        if status in (200, 409):
            # After 409 the read-back shows whether a newer order or an earlier attempt of this agent
            # took effect.
            self._start_confirmation()
            return
        self._order_retry_at = now + self._order_backoff.next_delay()
        if status is not None and 400 <= status < 500:
            # The engine lacks a blob, for example because it discarded its staged blobs.
            self._staged.clear()
            self.state = SwitchState.LOADING

    def engine_state(
        self, boot_id: str, weights: Iterable[Triple], fence: int, now: float, read_id: int
    ) -> None:
        """Records the answer to a read-back; answers to any but the newest one are ignored."""
        if read_id != self._last_read_id or self._read_deadline is None:
            return
        self._read_deadline = None
        self._next_read_at = now + self._read_interval_s
        reported = tuple(sorted((kind, name, version) for kind, name, version in weights))
        self._read_backoff.reset()
        previous = self._engine
        if self._boot_id != boot_id:
            self._reset_for_boot(boot_id, now)
        elif previous is not None and (previous.weights, previous.fence) != (reported, fence):
            candidates = [*self._unresolved, *self._last_accepted]
            self._retain_staged({row.fence: row for row in candidates}.get(fence))
        self._load_unconfirmed = False
        self._engine = EngineState(boot_id, reported, fence)
        if self._confirmed is not None and not self._engine.holds(
            frozenset(weight.triple for weight in self._confirmed), self._confirmed_min_fence
        ):
            self._stop_serving()
            self._confirmed = None
            if self.state in (SwitchState.LIVE, SwitchState.DRAINING):
                self.state = SwitchState.LOADING
        self._compare_with_target(now)

    # Planning.

    def plan(self, now: float) -> list[Command]:
        """Returns the commands that are due."""
        if self._target is not None:
            self._advance(now)
        self._read_back(now)
        commands, self._commands = self._commands, []
        return commands

    def _advance(self, now: float) -> None:
        """Makes all state transitions that are possible now."""
        if self.state in (SwitchState.LOADING, SwitchState.READY_TO_SWITCH):
            self._stage(now)
            self.state = SwitchState.READY_TO_SWITCH if self._all_staged() else SwitchState.LOADING
        if self.state is SwitchState.READY_TO_SWITCH and self._wave_allows():
            self._serving = False
            self._commands.append(Drain())
            self.state = SwitchState.DRAINING
        if self.state is SwitchState.DRAINING and self._running_requests == 0:
            self.state = SwitchState.ORDERING
        if (
            self.state is SwitchState.ORDERING
            and self._order_in_flight is None
            and not self._all_staged()
        ):
            # The engine has accepted a delayed order and dropped the blobs that it did not list.
            self.state = SwitchState.LOADING
        if self.state is SwitchState.ORDERING:
            self._send_order(now)

    def _wave_allows(self) -> bool:
        """Returns whether the drain may start.

        Waves limit the loss of capacity, so an agent that serves nothing does not wait for its wave.
        """
        assert self._target is not None
        return self._may_start or not self._serving or not self._target.weights

    def _stage(self, now: float) -> None:
        if not self._blobs_ready or self._engine is None:
            return
        assert self._target is not None
        for digest in [digest for digest, deadline in self._staging.items() if deadline <= now]:
            del self._staging[digest]
        for digest in self._needed_blobs():
            if len(self._staging) >= self._limits.parallel_stages:
                return
            if digest not in self._staged and digest not in self._staging:
                self._staging[digest] = now + self._limits.stage_timeout_s
                self._commands.append(Stage(digest))

    def _needed_blobs(self) -> Iterable[bytes]:
        assert self._target is not None
        return (digest for weight in self._target.weights for digest in weight.blobs)

    def _all_staged(self) -> bool:
        return (
            self._blobs_ready
            and not self._load_unconfirmed
            and self._engine is not None
            and all(digest in self._staged for digest in self._needed_blobs())
        )

    def _send_order(self, now: float) -> None:
        assert self._target is not None
        if self._order_in_flight is not None:
            if now < self._order_in_flight.deadline:
                return
            self._order_in_flight = None
            self._order_retry_at = now + self._order_backoff.next_delay()
        if now < self._order_retry_at or self._must_delay_order(now):
            return
        self._confirmed = None
        self._last_order_id += 1
        target = self._target
        deadline = now + self._limits.order_timeout_s
        self._order_in_flight = Order(
            self._last_order_id, target.fence, frozenset(target.weights), deadline
        )
        self._unresolved.append(self._order_in_flight)
        self._commands.append(
            SendOrder(self._last_order_id, target.fence, target.revision, target.weights, deadline)
        )

    def _must_delay_order(self, now: float) -> bool:
        """Returns whether the next order must not be sent yet.

        An engine that has seen a newer fence is never switched back; this agent will receive the
        newer note. Otherwise, an earlier order for another set must not take effect after this one:
        if the engine does not enforce fencing, the next order waits until the earlier one is
        answered or its deadline passes.
        """
        assert self._target is not None
        if self._engine is not None and self._engine.fence > self._target.fence:
            return True
        if self._enforces_fencing:
            return False
        weights = frozenset(self._target.weights)
        return any(now < row.deadline and row.weights != weights for row in self._unresolved)

    def _read_back(self, now: float) -> None:
        """Sends a read-back when one is due and none is in flight."""
        if self._read_deadline is not None and now >= self._read_deadline:
            self._read_deadline = None
            self._next_read_at = now + self._read_backoff.next_delay()
            if self._serving:
                # The weights on the engine are no longer known.
                self.engine_lost(now)
        if self._read_deadline is None and now >= self._next_read_at:
            self._last_read_id += 1
            self._read_deadline = now + self._limits.read_timeout_s
            self._commands.append(ReadBack(self._last_read_id))

    # Transitions.

    @property
    def _read_interval_s(self) -> float:
        return (
            self._limits.fenced_read_interval_s
            if self._enforces_fencing
            else self._limits.read_interval_s
        )

    @property
    def _target_min_fence(self) -> int:
        """Lowest fence at which the engine may report the declared set."""
        assert self._target is not None
        return max(
            (self._declared_blobs[weight.triple][1] for weight in self._target.weights), default=0
        )

    def _start_confirmation(self) -> None:
        """Requests a new read-back, because a pending answer may predate the order."""
        self.state = SwitchState.CONFIRMING
        self._read_deadline = None
        self._next_read_at = 0.0

    def _compare_with_target(self, now: float) -> None:
        """Compares the engine with the declared set after a read-back."""
        assert self._engine is not None
        if self._target is None:
            return
        if self.state is SwitchState.STARTING:
            self.state = SwitchState.LOADING
        if self._engine.fence == self._target.fence and self._last_order_id:
            # The order took effect although its answer was lost.
            self._order_required = False
        holds = self._engine.holds(self._target.triples, self._target_min_fence)
        if holds and self._orders_settled(now):
            if self.state is not SwitchState.LIVE:
                self._go_live()
        elif self.state is SwitchState.CONFIRMING:
            self.state = SwitchState.ORDERING
            self._order_retry_at = now + self._order_backoff.next_delay()
        elif self.state is SwitchState.LIVE:
            self.state = SwitchState.LOADING

    def _go_live(self) -> None:
        assert self._target is not None
        self.state = SwitchState.LIVE
        self._confirmed = self._target.weights
        self._confirmed_min_fence = self._target_min_fence
        self._order_in_flight = None
        self._order_backoff.reset()
        self._start_serving()

    def _order_accepted(self, order_id: int) -> None:
        """Records an accepted order; at the end of the load the engine drops other staged blobs."""
        for row in self._unresolved:
            if row.order_id == order_id:
                self._last_accepted = [row]
                self._load_unconfirmed = True
                self._retain_staged(row)
                # Only a read-back sent from now on can show the end of the load.
                self._read_deadline = None
                self._next_read_at = 0.0

    def _retain_staged(self, order: Order | None) -> None:
        """Forgets the staged blobs that an order does not list, or all if the order is unknown."""
        named_blobs = (
            {digest for weight in order.weights for digest in weight.blobs} if order else set()
        )
        self._staged &= named_blobs
        self._staging.clear()

    def _orders_settled(self, now: float) -> bool:
        """Returns whether no earlier order for another set can still take effect.

        An engine that enforces fencing refuses an order below its fence. Otherwise the deadline of
        the order must have passed; after that, only the regular read-backs would detect it.
        """
        assert self._engine is not None and self._target is not None
        fence = self._engine.fence
        self._unresolved = [
            order
            for order in self._unresolved
            if (order.fence >= fence if self._enforces_fencing else now < order.deadline)
        ]
        weights = frozenset(self._target.weights)
        return not self._order_required and all(row.weights == weights for row in self._unresolved)

    def _reset_for_boot(self, boot_id: str, now: float) -> None:
        """Resets the state for a restarted engine, which holds no weights, staged blobs or fence."""
        # Without a fence, the engine could still accept a delayed order from before the restart; the
        # next order raises the fence above that one.
        self._order_required = self._order_required or self._boot_id is not None
        self._boot_id = boot_id
        self._stop_serving()
        self._confirmed = None
        self._staged.clear()
        self._staging.clear()
        self._load_unconfirmed = False
        self._order_in_flight = None
        self._order_retry_at = now
        self.state = SwitchState.STARTING

    def _start_serving(self) -> None:
        if self._confirmed:
            self._serving = True
            self._commands.append(Serve(self._confirmed))

    def _stop_serving(self) -> None:
        if self._serving:
            self._serving = False
            self._commands.append(StopServing())
