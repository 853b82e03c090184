"""Stateful test of the switch: it must never serve a set that the engine does not hold.

The model engine enforces or ignores fencing numbers, restarts at any time, and receives orders late,
out of order or not at all. Notes arrive at any time.
"""

import random

import attrs
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from fescuechute.weights import (
    Drain,
    ReadBack,
    SendOrder,
    Serve,
    Stage,
    StopServing,
    Switch,
    SwitchLimits,
    SwitchState,
    Weight,
)

#: Short order timeout, so that convergence takes few steps. All other limits have their defaults.
LIMITS = SwitchLimits(order_timeout_s=3.0)
STEP_S = 0.1
#: Time after the end of all faults within which the declared set must be confirmed: the order timeout
#: and the maximum backoff, and the same time again for staging, the order and the read-backs.
CONVERGE_S = 2 * (LIMITS.order_timeout_s + LIMITS.backoff_max_s)

WEIGHTS = (
    Weight("model", "m", "1", (b"m1-0", b"m1-1")),
    Weight("model", "m", "2", (b"m2-0", b"m2-1", b"m2-2")),
    Weight("adapter", "a", "1", (b"a1",)),
    # The same version with other content.
    Weight("model", "m", "1", (b"m1-0", b"m1-x")),
)
DECLARED_SETS = ((), (0,), (1,), (0, 2), (1, 2), (3,), (3, 2))


@attrs.define
class ModelEngine:
    """A model of an engine, which replaces all its weights with each order that it accepts."""

    enforces_fencing: bool
    boot: int = 1
    weights: tuple[Weight, ...] = ()
    fence: int = 0
    staged: set[bytes] = attrs.field(factory=set)

    def restart(self) -> None:
        self.boot += 1
        self.weights, self.fence = (), 0
        self.staged.clear()

    def order(self, order: SendOrder) -> int:
        if self.enforces_fencing and order.fence < self.fence:
            return 409
        if any(blob not in self.staged for weight in order.weights for blob in weight.blobs):
            return 422
        self.weights, self.fence = order.weights, order.fence
        return 200

    def state(self):
        return (f"boot-{self.boot}", tuple(w.triple for w in self.weights), self.fence)


class FencingEnforcedMachine(RuleBasedStateMachine):
    """Random notes, faults and delays around an engine that enforces fencing."""

    enforces_fencing = True

    @initialize(
        seed=st.integers(0, 1 << 16), loaded=st.booleans(), first=st.sampled_from(DECLARED_SETS)
    )
    def start(self, seed, loaded, first):
        self.now = 100.0
        self.engine = ModelEngine(self.enforces_fencing)
        if loaded:
            # A restarted agent finds a loaded engine. The loaded version has only one content in
            # WEIGHTS, because engines report only versions and a stateless agent cannot tell two
            # contents apart.
            self.engine.weights, self.engine.fence = (WEIGHTS[1],), 3
        self.switch = Switch(self.enforces_fencing, random.Random(seed), LIMITS)
        self.fence = 10
        self.orders: list[SendOrder] = []
        #: Orders that the network delays.
        self.delayed_orders: list[SendOrder] = []
        self.hold_orders, self.order_answer, self.lose_reads = False, "result", False
        self.reads: list[int] = []
        self.states: list[tuple[int, tuple]] = []
        self.serving: tuple[Weight, ...] | None = None
        #: Boot id of the newest read-back, and of the one that confirmed the served set.
        self.read_boot = self.serving_boot = ""
        self.mismatch_since: float | None = None
        self.read_lost_at = 0.0
        self.order_fences: list[int] = []
        self.declare(first, True)
        self.time_without_faults(15)

    # Notes and events.

    @rule(indexes=st.sampled_from(DECLARED_SETS), ready=st.sampled_from([True, True, False]))
    def declare(self, indexes, ready):
        self.fence += 1
        self.switch.set_target(self.fence, self.fence, [WEIGHTS[index] for index in indexes])
        self.switch.set_blobs_ready(ready)
        self._plan()

    @rule(ready=st.booleans(), allowed=st.booleans(), running=st.integers(0, 1))
    def update_conditions(self, ready, allowed, running):
        self.switch.set_blobs_ready(ready)
        self.switch.set_may_start(allowed)
        self.switch.set_running_requests(running)
        self._plan()

    @rule(steps=st.integers(1, 20))
    def time_passes(self, steps):
        for _ in range(steps):
            self._step()

    @rule(steps=st.integers(5, 40))
    def time_without_faults(self, steps):
        """Advances the time without new faults, so that runs reach the serving state."""
        for _ in range(steps):
            self._step_without_faults()

    def _step_without_faults(self) -> None:
        self.hold_orders, self.order_answer, self.lose_reads = False, "result", False
        self.switch.set_blobs_ready(True)
        self.switch.set_may_start(True)
        self.switch.set_running_requests(0)
        self._step()

    # Network and engine.

    @rule(
        hold_orders=st.booleans(),
        order_answer=st.sampled_from(["result", "lost", "fault after effect", "fault"]),
        lose_reads=st.booleans(),
    )
    def network(self, hold_orders, order_answer, lose_reads):
        self.hold_orders, self.order_answer, self.lose_reads = hold_orders, order_answer, lose_reads

    @precondition(lambda self: self.delayed_orders)
    @rule(data=st.data())
    def deliver_delayed_order(self, data):
        """Delivers a delayed order, possibly after later ones. Its answer is lost."""
        self.engine.order(
            self.delayed_orders.pop(data.draw(st.integers(0, len(self.delayed_orders) - 1)))
        )

    @rule(detected=st.booleans())
    def restart(self, detected):
        self.engine.restart()
        if detected:
            self.switch.engine_lost(self.now)
            self._plan()

    @rule()
    def discard_staged(self):
        self.engine.staged.clear()

    def _step(self) -> None:
        """Advances the time by one step; answers to read-backs arrive one step late."""
        self.now += STEP_S
        states, self.states = self.states, []
        for read_id, (boot, weights, fence) in states:
            self.read_boot = boot
            self.switch.engine_state(boot, weights, fence, self.now, read_id)
        self._plan()
        orders, self.orders = self.orders, []
        for order in orders:
            self._carry_out(order)
        reads, self.reads = self.reads, []
        if self.lose_reads:
            self.read_lost_at = self.now if reads else self.read_lost_at
        else:
            self.states += [(read_id, self.engine.state()) for read_id in reads]
        self._plan()
        self.served_set_matches_engine()

    def _carry_out(self, order: SendOrder) -> None:
        if self.hold_orders:
            self.delayed_orders.append(order)
            return
        status: int | None = 503 if self.order_answer == "fault" else self.engine.order(order)
        if self.order_answer == "lost":
            return
        if self.order_answer == "fault after effect" and status == 200:
            status = 503
        self.switch.order_result(order.order_id, status, self.now)

    # Commands.

    def _plan(self) -> None:
        for command in self.switch.plan(self.now):
            match command:
                case Stage(digest):
                    self.engine.staged.add(digest)
                    self.switch.staged(digest)
                case SendOrder():
                    assert self.switch.serving is None, "sent an order while serving"
                    assert command.fence >= max(self.order_fences, default=0), (
                        "switched back to an older fence"
                    )
                    self.order_fences.append(command.fence)
                    self.orders.append(command)
                case ReadBack(read_id):
                    self.reads.append(read_id)
                case Serve(weights):
                    assert weights, "serves an empty set"
                    self.serving, self.serving_boot = weights, self.read_boot
                case Drain() | StopServing():
                    self.serving = None
        if self.switch.serving is None:
            self.serving = None

    # Checks.

    @invariant()
    def served_set_matches_engine(self):
        """The served set equals the weights on the engine, including their contents.

        If the engine enforces fencing and has not restarted, they never differ. Otherwise they may
        differ until the next read-back or its deadline.
        """
        if not hasattr(self, "engine"):
            return
        assert self.switch.serving == self.serving
        if self.serving is None or set(self.serving) == set(self.engine.weights):
            self.mismatch_since = None
            return
        if self.enforces_fencing:
            assert self.serving_boot != f"boot-{self.engine.boot}", (
                "the served set differs although fencing is enforced"
            )
        if self.mismatch_since is None:
            self.mismatch_since = self.now
        allowed_s = (
            LIMITS.fenced_read_interval_s if self.enforces_fencing else LIMITS.read_interval_s
        )
        # The age of an answer, the due time and the deadline are each rounded up to a step.
        allowed_s += 3 * STEP_S
        if self.read_lost_at >= self.mismatch_since - LIMITS.read_timeout_s:
            # A read-back without an answer is detected at its deadline.
            allowed_s += LIMITS.read_timeout_s
        assert self.now - self.mismatch_since <= allowed_s + 1e-6, (
            "the served set differs for too long"
        )

    @invariant()
    def live_means_declared(self):
        if hasattr(self, "switch") and self.switch.state is SwitchState.LIVE:
            target = self.switch.target
            assert target is not None
            assert (self.switch.serving or ()) == target.weights

    def teardown(self):
        """Checks that the newest declared set is confirmed after the end of all faults."""
        if not hasattr(self, "engine") or self.switch.target is None:
            return
        for order in self.delayed_orders:
            self.engine.order(order)
        deadline = self.now + CONVERGE_S
        while self.now < deadline:
            self._step_without_faults()
        target = self.switch.target
        assert self.switch.state is SwitchState.LIVE, self.switch.state
        assert set(self.engine.weights) == set(target.weights)
        assert (self.serving or ()) == target.weights


class FencingIgnoredMachine(FencingEnforcedMachine):
    """The same with an engine that ignores fencing numbers."""

    enforces_fencing = False


PROFILE = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
TestFencingEnforced = FencingEnforcedMachine.TestCase
TestFencingEnforced.settings = PROFILE
TestFencingIgnored = FencingIgnoredMachine.TestCase
TestFencingIgnored.settings = PROFILE

if __name__ == "__main__":
    pytest.main([__file__])
