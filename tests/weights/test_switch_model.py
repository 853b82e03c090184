"""Switch against a model engine: guards against serving a set that the engine does not hold.

The model engine honours or ignores fencing numbers, restarts at any moment, and gets its orders
late, after their successors or not at all. Notes arrive at any moment.
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

#: Short order deadline, so that convergence needs few steps. The other limits are the real ones.
LIMITS = SwitchLimits(order_s=3.0)
STEP_S = 0.1
#: The declared set must be confirmed this long after the faults stop: an order's deadline, the
#: longest backoff, and as much again for staging, the order and the read-backs.
CONVERGE_S = 2 * (LIMITS.order_s + LIMITS.backoff_max_s)

POOL = (
    Weight("model", "m", "1", (b"m1-0", b"m1-1")),
    Weight("model", "m", "2", (b"m2-0", b"m2-1", b"m2-2")),
    Weight("adapter", "a", "1", (b"a1",)),
    # The same version with other content.
    Weight("model", "m", "1", (b"m1-0", b"m1-x")),
)
SETS = ((), (0,), (1,), (0, 2), (1, 2), (3,), (3, 2))


@attrs.define
class ModelEngine:
    """An engine: replaces its whole set with each order that it accepts."""

    enforces: bool
    boot: int = 1
    weights: tuple[Weight, ...] = ()
    fence: int = 0
    staged: set[bytes] = attrs.field(factory=set)

    def restart(self) -> None:
        self.boot += 1
        self.weights, self.fence = (), 0
        self.staged.clear()

    def order(self, order: SendOrder) -> int:
        if self.enforces and order.fence < self.fence:
            return 409
        if any(blob not in self.staged for weight in order.weights for blob in weight.blobs):
            return 422
        self.weights, self.fence = order.weights, order.fence
        return 200

    def state(self):
        return (f"boot-{self.boot}", tuple(w.triple for w in self.weights), self.fence)


class SwitchMachine(RuleBasedStateMachine):
    """Random notes, faults and delays."""

    enforces = True

    @initialize(seed=st.integers(0, 1 << 16), loaded=st.booleans(), first=st.sampled_from(SETS))
    def start(self, seed, loaded, first):
        self.now = 100.0
        self.engine = ModelEngine(self.enforces)
        if loaded:
            # The agent restarts beside an engine that is already loaded. It has a version with a
            # single content: an agent that keeps nothing cannot tell two contents apart, because
            # engines report versions only.
            self.engine.weights, self.engine.fence = (POOL[1],), 3
        self.switch = Switch(self.enforces, random.Random(seed), LIMITS)
        self.fence = 10
        self.orders: list[SendOrder] = []
        #: Orders that the network delays.
        self.held: list[SendOrder] = []
        self.hold_orders, self.answer, self.lose_reads = False, "result", False
        self.reads: list[int] = []
        self.states: list[tuple[int, tuple]] = []
        self.serving: tuple[Weight, ...] | None = None
        #: Boot that the newest read-back showed, and the one that confirmed what is served.
        self.read_boot = self.serving_boot = ""
        self.differs_since: float | None = None
        self.read_lost_at = 0.0
        self.order_fences: list[int] = []
        self.note(first, True)
        self.quiet_time(15)

    # Notes and inputs.

    @rule(choice=st.sampled_from(SETS), ready=st.sampled_from([True, True, False]))
    def note(self, choice, ready):
        self.fence += 1
        self.switch.declared(self.fence, self.fence, [POOL[index] for index in choice])
        self.switch.blobs_ready(ready)
        self._plan()

    @rule(ready=st.booleans(), allowed=st.booleans(), running=st.integers(0, 1))
    def load(self, ready, allowed, running):
        self.switch.blobs_ready(ready)
        self.switch.may_start(allowed)
        self.switch.running(running)
        self._plan()

    @rule(steps=st.integers(1, 20))
    def time_passes(self, steps):
        for _ in range(steps):
            self._step()

    @rule(steps=st.integers(5, 40))
    def quiet_time(self, steps):
        """Time without new faults, so that runs get as far as serving."""
        for _ in range(steps):
            self._quiet_step()

    def _quiet_step(self) -> None:
        self.hold_orders, self.answer, self.lose_reads = False, "result", False
        self.switch.blobs_ready(True)
        self.switch.may_start(True)
        self.switch.running(0)
        self._step()

    # Network and engine.

    @rule(
        hold_orders=st.booleans(),
        answer=st.sampled_from(["result", "lost", "fault after effect", "fault"]),
        lose_reads=st.booleans(),
    )
    def network(self, hold_orders, answer, lose_reads):
        self.hold_orders, self.answer, self.lose_reads = hold_orders, answer, lose_reads

    @precondition(lambda self: self.held)
    @rule(data=st.data())
    def deliver_held(self, data):
        """A delayed order takes effect, perhaps after its successor. Its answer is lost."""
        self.engine.order(self.held.pop(data.draw(st.integers(0, len(self.held) - 1))))

    @rule(noticed=st.booleans())
    def restart(self, noticed):
        self.engine.restart()
        if noticed:
            self.switch.engine_lost(self.now)
            self._plan()

    @rule()
    def discard_staged(self):
        self.engine.staged.clear()

    def _step(self) -> None:
        """Lets one step pass; answers to read-backs are one step old when they arrive."""
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
        self.matches()

    def _carry_out(self, order: SendOrder) -> None:
        if self.hold_orders:
            self.held.append(order)
            return
        status: int | None = 503 if self.answer == "fault" else self.engine.order(order)
        if self.answer == "lost":
            return
        if self.answer == "fault after effect" and status == 200:
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
                    assert self.switch.serving is None, "ordered while serving"
                    assert command.fence >= max(self.order_fences, default=0), "ordered back"
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
    def matches(self):
        """What is served is what the engine holds, contents included.

        An engine that refuses old fences and has not restarted never differs. One that ignores
        them, or has restarted, may differ until the next read-back or its deadline.
        """
        if not hasattr(self, "engine"):
            return
        assert self.switch.serving == self.serving
        if self.serving is None or set(self.serving) == set(self.engine.weights):
            self.differs_since = None
            return
        if self.enforces:
            assert self.serving_boot != f"boot-{self.engine.boot}", (
                "differs although fencing is enforced"
            )
        if self.differs_since is None:
            self.differs_since = self.now
        allowed_s = LIMITS.watch_fenced_s if self.enforces else LIMITS.watch_s
        # The model rounds up to a step the age of an answer, the due time and the deadline.
        allowed_s += 3 * STEP_S
        if self.read_lost_at >= self.differs_since - LIMITS.read_s:
            # A read-back without an answer is noticed at its deadline.
            allowed_s += LIMITS.read_s
        assert self.now - self.differs_since <= allowed_s + 1e-6, "differs for too long"

    @invariant()
    def live_means_declared(self):
        if hasattr(self, "switch") and self.switch.state is SwitchState.LIVE:
            target = self.switch.target
            assert target is not None
            assert (self.switch.serving or ()) == target.weights

    def teardown(self):
        """When the faults stop, the newest declared set is confirmed."""
        if not hasattr(self, "engine") or self.switch.target is None:
            return
        for order in self.held:
            self.engine.order(order)
        deadline = self.now + CONVERGE_S
        while self.now < deadline:
            self._quiet_step()
        target = self.switch.target
        assert self.switch.state is SwitchState.LIVE, self.switch.state
        assert set(self.engine.weights) == set(target.weights)
        assert (self.serving or ()) == target.weights


class IgnoringMachine(SwitchMachine):
    """The same, with an engine that ignores fencing numbers."""

    enforces = False


PROFILE = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
TestFencingEnforced = SwitchMachine.TestCase
TestFencingEnforced.settings = PROFILE
TestFencingIgnored = IgnoringMachine.TestCase
TestFencingIgnored.settings = PROFILE

if __name__ == "__main__":
    pytest.main([__file__])
