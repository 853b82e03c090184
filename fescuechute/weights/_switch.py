"""Switch: brings one engine from its present weights to the declared set."""

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
    Engine,
    Order,
    SwitchLimits,
    SwitchState,
    Target,
    Triple,
)


class Switch:
    """State machine of one engine at one agent.

    Inputs change the state; `plan(now)` returns the commands that are due. Requests may be served
    from a `Serve` until the next `Drain` or `StopServing`.

    Args:
      enforces_fencing: Whether the engine refuses an order with an old fencing number.
      rng: Seeded random numbers, for the jitter of the backoff.
      limits: Numbers that govern the switch.
    """

    def __init__(
        self, enforces_fencing: bool, rng: random.Random, limits: SwitchLimits | None = None
    ):
        self._enforces_fencing = enforces_fencing
        self._limits = limits or SwitchLimits()
        self.state = SwitchState.STARTING
        self._target: Target | None = None
        #: Set that may be served: confirmed by a read-back, and no other order sent since.
        self._confirmed: tuple[Weight, ...] | None = None
        self._serving = False
        self._engine: Engine | None = None
        #: Last boot_id seen; outlives a lost connection, after which the engine may be the same.
        self._boot_id: str | None = None
        #: A read-back alone does not suffice: an order for the target must have taken effect.
        self._must_order = False
        #: Chunks of every weight declared so far, with the fence from which on they hold: 0 for the
        #: first ones. A read-back names versions only, so a version declared again with other chunks
        #: is told apart by the fence of the last order.
        self._known: dict[Triple, tuple[tuple[bytes, ...], int]] = {}
        #: Lowest fence at which the engine holds the confirmed set.
        self._confirmed_fence = 0
        self._blobs_ready = False
        self._may_start = False
        self._running = 0
        self._staged: set[bytes] = set()
        #: An order was obeyed and no read-back has shown since that its load has ended.
        self._loading = False
        #: The order obeyed last, if any.
        self._obeyed: list[Order] = []
        #: Deadline of each blob being staged.
        self._staging: dict[bytes, float] = {}
        #: Orders whose outcome is unknown; a late one may still take effect.
        self._unresolved: list[Order] = []
        self._order: Order | None = None
        self._order_id = 0
        self._read_id = 0
        #: Deadline of the read-back in flight, or None.
        self._read_deadline: float | None = None
        self._read_due_at = 0.0
        self._retry_at = 0.0
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
        """Whether the declared set of the newest note is confirmed."""
        return self.state is SwitchState.LIVE

    @property
    def target(self) -> Target | None:
        """The newest declared set."""
        return self._target

    # Inputs.

    def declared(self, revision: int, fence: int, weights: Iterable[Weight]) -> None:
        """A note declares the set, with all manifests known. An older one is ignored."""
        target = Target(revision, fence, tuple(weights))
        if self._target is not None and fence <= self._target.fence:
            return
        changed = self._target is None or set(target.weights) != set(self._target.weights)
        self._target = target
        if not changed:
            return
        for weight in target.weights:
            known = self._known.setdefault(weight.triple, (weight.blobs, 0))
            if known[0] != weight.blobs:
                self._known[weight.triple] = (weight.blobs, fence)
        self._blobs_ready = not target.weights
        self._may_start = False
        self._order_backoff.reset()
        self._retry_at = 0.0
        self._order = None
        self._read_due_at = 0.0
        if not target.weights:
            # Withdrawn: not even the old set may be served until the switch.
            self._stop_serving()
            self._confirmed = None
        if self.state is SwitchState.STARTING:
            return
        self.state = SwitchState.LOADING
        if self._confirmed is not None and not self._serving:
            # The drain had begun and no order was sent: the engine still holds the confirmed set.
            self._serve()

    def blobs_ready(self, ready: bool = True) -> None:
        """All blobs of the declared set are verified and held."""
        self._blobs_ready = ready

    def may_start(self, allowed: bool) -> None:
        """Whether the wave allows this agent to start; a drain that began goes on."""
        self._may_start = allowed

    def running(self, n: int) -> None:
        """Number of requests running on the engine."""
        self._running = n

    def staged(self, digest: bytes) -> None:
        """The engine accepted a blob."""
        if self._staging.pop(digest, None) is not None:
            self._staged.add(digest)

    def engine_lost(self, now: float) -> None:
        """The engine's connection was refused or ended: it may have restarted."""
        self._stop_serving()
        self._confirmed = None
        self._engine = None
        self._order = None
        self._staging.clear()
        self.state = SwitchState.STARTING
        self._read_deadline = None
        self._read_due_at = now + self._read_backoff.next()

    def order_result(self, order_id: int, status: int | None, now: float) -> None:
        """Answer to an order: an HTTP status, or None when the outcome is unknown."""
        if status == 200:
            self._load_began(order_id)
        if status is not None:
            # A server fault may follow a load that took effect, as may a lost answer.
            answered = status < 500
            self._unresolved = [
                order for order in self._unresolved if order.order_id != order_id or not answered
            ]
        if self._order is None or self._order.order_id != order_id:
            return
        self._order = None
        if status == 200:
            self._must_order = False
        if status in (200, 409):
            # After 409 the read-back tells whether a newer fence or our own earlier order won.
            self._confirm()
            return
        self._retry_at = now + self._order_backoff.next()
        if status is not None and 400 <= status < 500:
            # The engine misses a blob, for example after it discarded what it had staged.
            self._staged.clear()
            self.state = SwitchState.LOADING

    def engine_state(
        self, boot_id: str, weights: Iterable[Triple], fence: int, now: float, read_id: int
    ) -> None:
        """Answer to a read-back. Only the answer to the newest one counts."""
        if read_id != self._read_id or self._read_deadline is None:
            return
        self._read_deadline = None
        self._read_due_at = now + self._watch_s
        read = tuple(sorted((kind, name, version) for kind, name, version in weights))
        self._read_backoff.reset()
        before = self._engine
        if self._boot_id != boot_id:
            self._new_boot(boot_id, now)
        elif before is not None and (before.weights, before.fence) != (read, fence):
            known = [*self._unresolved, *self._obeyed]
            self._keep_staged({row.fence: row for row in known}.get(fence))
        self._loading = False
        self._engine = Engine(boot_id, read, fence)
        if self._confirmed is not None and not self._engine.holds(
            frozenset(weight.triple for weight in self._confirmed), self._confirmed_fence
        ):
            self._stop_serving()
            self._confirmed = None
            if self.state in (SwitchState.LIVE, SwitchState.DRAINING):
                self.state = SwitchState.LOADING
        self._compare(now)

    # Decisions.

    def plan(self, now: float) -> list[Command]:
        """Returns the commands that are due."""
        if self._target is not None:
            self._advance(now)
        self._read(now)
        commands, self._commands = self._commands, []
        return commands

    def _advance(self, now: float) -> None:
        """Takes every step that is possible now."""
        if self.state in (SwitchState.LOADING, SwitchState.READY_TO_SWITCH):
            self._stage(now)
            self.state = SwitchState.READY_TO_SWITCH if self._all_staged() else SwitchState.LOADING
        if self.state is SwitchState.READY_TO_SWITCH and self._wave_allows():
            self._serving = False
            self._commands.append(Drain())
            self.state = SwitchState.DRAINING
        if self.state is SwitchState.DRAINING and self._running == 0:
            self.state = SwitchState.ORDERING
        if self.state is SwitchState.ORDERING and self._order is None and not self._all_staged():
            # A late order was obeyed meanwhile, and the engine dropped what that one did not name.
            self.state = SwitchState.LOADING
        if self.state is SwitchState.ORDERING:
            self._send_order(now)

    def _wave_allows(self) -> bool:
        """Waves bound the loss of capacity: an agent that serves nothing loses none."""
        assert self._target is not None
        return self._may_start or not self._serving or not self._target.weights

    def _stage(self, now: float) -> None:
        if not self._blobs_ready or self._engine is None:
            return
        assert self._target is not None
        for digest in [digest for digest, deadline in self._staging.items() if deadline <= now]:
            del self._staging[digest]
        for digest in self._needed():
            if len(self._staging) >= self._limits.staging:
                return
            if digest not in self._staged and digest not in self._staging:
                self._staging[digest] = now + self._limits.stage_s
                self._commands.append(Stage(digest))

    def _needed(self) -> Iterable[bytes]:
        assert self._target is not None
        return (digest for weight in self._target.weights for digest in weight.blobs)

    def _all_staged(self) -> bool:
        return (
            self._blobs_ready
            and not self._loading
            and self._engine is not None
            and all(digest in self._staged for digest in self._needed())
        )

    def _send_order(self, now: float) -> None:
        assert self._target is not None
        if self._order is not None:
            if now < self._order.deadline:
                return
            self._order = None
            self._retry_at = now + self._order_backoff.next()
        if now < self._retry_at or self._must_wait(now):
            return
        self._confirmed = None
        self._order_id += 1
        target = self._target
        deadline = now + self._limits.order_s
        self._order = Order(self._order_id, target.fence, frozenset(target.weights), deadline)
        self._unresolved.append(self._order)
        self._commands.append(
            SendOrder(self._order_id, target.fence, target.revision, target.weights, deadline)
        )

    def _must_wait(self, now: float) -> bool:
        """Whether the next order must be held back.

        An engine that has seen a newer fence is never ordered back; the newer note is under way to
        this agent. Otherwise an earlier order for another set must not overtake this one: where old
        fencing numbers are not refused, the next order waits until the earlier one is answered or
        its deadline passes.
        """
        assert self._target is not None
        if self._engine is not None and self._engine.fence > self._target.fence:
            return True
        if self._enforces_fencing:
            return False
        weights = frozenset(self._target.weights)
        return any(now < row.deadline and row.weights != weights for row in self._unresolved)

    def _read(self, now: float) -> None:
        """Sends a read-back when one is due and none is in flight."""
        if self._read_deadline is not None and now >= self._read_deadline:
            self._read_deadline = None
            self._read_due_at = now + self._read_backoff.next()
            if self._serving:
                # What the engine holds is no longer known.
                self.engine_lost(now)
        if self._read_deadline is None and now >= self._read_due_at:
            self._read_id += 1
            self._read_deadline = now + self._limits.read_s
            self._commands.append(ReadBack(self._read_id))

    # Steps.

    @property
    def _watch_s(self) -> float:
        return self._limits.watch_fenced_s if self._enforces_fencing else self._limits.watch_s

    @property
    def _target_fence(self) -> int:
        """Lowest fence at which the engine may hold the declared set."""
        assert self._target is not None
        return max((self._known[weight.triple][1] for weight in self._target.weights), default=0)

    def _confirm(self) -> None:
        """Reads back anew: an answer that is under way may predate the order."""
        self.state = SwitchState.CONFIRMING
        self._read_deadline = None
        self._read_due_at = 0.0

    def _compare(self, now: float) -> None:
        """Compares the engine with the declared set after a read-back."""
        assert self._engine is not None
        if self._target is None:
            return
        if self.state is SwitchState.STARTING:
            self.state = SwitchState.LOADING
        if self._engine.fence == self._target.fence and self._order_id:
            # The order took effect although its answer was lost.
            self._must_order = False
        holds = self._engine.holds(self._target.triples, self._target_fence)
        if holds and self._settled(now):
            if self.state is not SwitchState.LIVE:
                self._go_live()
        elif self.state is SwitchState.CONFIRMING:
            self.state = SwitchState.ORDERING
            self._retry_at = now + self._order_backoff.next()
        elif self.state is SwitchState.LIVE:
            self.state = SwitchState.LOADING

    def _go_live(self) -> None:
        assert self._target is not None
        self.state = SwitchState.LIVE
        self._confirmed = self._target.weights
        self._confirmed_fence = self._target_fence
        self._order = None
        self._order_backoff.reset()
        self._serve()

    def _load_began(self, order_id: int) -> None:
        """An order was obeyed: at the end of its load the engine drops all other staged blobs."""
        for row in self._unresolved:
            if row.order_id == order_id:
                self._obeyed = [row]
                self._loading = True
                self._keep_staged(row)
                # Only a read-back that is sent from now on can show the end of the load.
                self._read_deadline = None
                self._read_due_at = 0.0

    def _keep_staged(self, order: Order | None) -> None:
        """Forgets staged blobs that an order did not name; all of them when it is not known."""
        named = {digest for weight in order.weights for digest in weight.blobs} if order else set()
        self._staged &= named
        self._staging.clear()

    def _settled(self, now: float) -> bool:
        """Whether no earlier order for another set can still take effect.

        Where fencing is enforced, an engine with a fence above that order's refuses it. Elsewhere
        its deadline must have passed; after that only the regular read-back guards against it.
        """
        assert self._engine is not None and self._target is not None
        fence = self._engine.fence
        self._unresolved = [
            order
            for order in self._unresolved
            if (order.fence >= fence if self._enforces_fencing else now < order.deadline)
        ]
        weights = frozenset(self._target.weights)
        return not self._must_order and all(row.weights == weights for row in self._unresolved)

    def _new_boot(self, boot_id: str, now: float) -> None:
        """A restarted engine holds nothing: neither weights nor staged blobs nor a fence."""
        # Without a fence, a late order of the time before the restart could still be accepted; the
        # next order raises the fence above it.
        self._must_order = self._must_order or self._boot_id is not None
        self._boot_id = boot_id
        self._stop_serving()
        self._confirmed = None
        self._staged.clear()
        self._staging.clear()
        self._loading = False
        self._order = None
        self._retry_at = now
        self.state = SwitchState.STARTING

    def _serve(self) -> None:
        if self._confirmed:
            self._serving = True
            self._commands.append(Serve(self._confirmed))

    def _stop_serving(self) -> None:
        if self._serving:
            self._serving = False
            self._commands.append(StopServing())
