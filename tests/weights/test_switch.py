"""Scenarios of the switch that could leave mixed, stale or no weights on an engine."""

import random

import pytest
from test_switch_model import LIMITS, WEIGHTS, ModelEngine

from fescuechute.weights import (
    Drain,
    ReadBack,
    SendOrder,
    Stage,
    StopServing,
    Switch,
    SwitchState,
)

OLD, NEW, ADAPTER, REPUBLISHED = WEIGHTS
STEP_S = 0.1


class SwitchHarness:
    """One switch and a model engine that answers at once, unless a test holds answers back."""

    def __init__(self, enforces_fencing: bool = True):
        self.now = 100.0
        self.engine = ModelEngine(enforces_fencing)
        self.switch = Switch(enforces_fencing, random.Random(1), LIMITS)
        self.log: list[object] = []
        self.held_orders: list[SendOrder] = []
        self.hold_orders = self.hold_reads = self.hold_stages = False
        self.status: int | None = None
        self.reads: list[int] = []
        self.fence = 10

    def declare(self, *weights, ready=True):
        self.fence += 1
        self.switch.set_target(self.fence, self.fence, weights)
        self.switch.set_blobs_ready(ready)

    def run(self, seconds: float):
        """Advances the time and returns the commands issued in that period."""
        start = len(self.log)
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            commands = self.switch.plan(self.now)
            self.log += commands
            for command in commands:
                self.carry_out(command)
        return self.log[start:]

    def carry_out(self, command):
        match command:
            case Stage(digest) if not self.hold_stages:
                self.engine.staged.add(digest)
                self.switch.staged(digest)
            case SendOrder() if self.hold_orders:
                self.held_orders.append(command)
            case SendOrder():
                status = self.status or self.engine.order(command)
                self.switch.order_result(command.order_id, status, self.now)
            case ReadBack(read_id):
                self.reads.append(read_id)
                if not self.hold_reads:
                    self.answer_read(read_id)

    def answer_read(self, read_id):
        boot, weights, fence = self.engine.state()
        self.switch.engine_state(boot, weights, fence, self.now, read_id)

    def reach_live(self, *weights):
        self.declare(*weights)
        self.switch.set_may_start(True)
        self.run(5.0)
        assert self.switch.state is SwitchState.LIVE
        assert (self.switch.serving or ()) == weights


def command_types(commands):
    return [type(command) for command in commands]


def test_serves_only_after_staging_order_and_read_back():
    """Guards against serving partial weights (invariant I1)."""
    harness = SwitchHarness()
    harness.declare(OLD, ADAPTER, ready=False)
    commands = harness.run(3.0)
    assert set(command_types(commands)) == {ReadBack}, "nothing is staged while blobs are missing"
    assert harness.switch.state is SwitchState.LOADING
    harness.switch.set_blobs_ready(True)
    harness.run(3.0)
    named = [kind for kind in command_types(harness.log) if kind is not ReadBack]
    assert [kind.__name__ for kind in named] == ["Stage"] * 3 + ["Drain", "SendOrder", "Serve"]
    order = next(command for command in harness.log if isinstance(command, SendOrder))
    assert (order.fence, order.weights) == (11, (OLD, ADAPTER))
    assert harness.switch.serving == (OLD, ADAPTER)


def test_old_set_is_served_until_the_wave_allows_the_drain():
    """Guards against aborted requests and against lost capacity before a switch."""
    harness = SwitchHarness()
    harness.reach_live(OLD)
    harness.declare(NEW)
    harness.run(3.0)
    assert harness.switch.state is SwitchState.READY_TO_SWITCH
    assert harness.switch.serving == (OLD,)
    harness.switch.set_running_requests(1)
    harness.switch.set_may_start(True)
    commands = harness.run(3.0)
    assert Drain in command_types(commands)
    assert SendOrder not in command_types(commands), "a request is still running"
    assert harness.switch.serving is None
    harness.switch.set_may_start(False)
    harness.switch.set_running_requests(0)
    harness.run(3.0)
    assert harness.switch.serving == (NEW,), "a started drain continues"


def test_newer_note_while_draining_serves_the_old_set_again():
    """Guards against a VM that refuses requests while blobs of the newer set are missing."""
    harness = SwitchHarness()
    harness.reach_live(OLD)
    harness.switch.set_running_requests(1)
    harness.declare(NEW)
    harness.switch.set_may_start(True)
    harness.run(1.0)
    assert harness.switch.state is SwitchState.DRAINING
    harness.declare(NEW, ADAPTER, ready=False)
    harness.run(1.0)
    assert harness.switch.serving == (OLD,)
    harness.declare(OLD)
    harness.run(1.0)
    assert harness.switch.state is SwitchState.LIVE, "the engine holds the declared set already"
    assert command_types(harness.log).count(SendOrder) == 1, (
        "no order is needed beyond the first one"
    )


@pytest.mark.parametrize("enforces", [True, False], ids=["fencing enforced", "fencing ignored"])
def test_newer_note_while_an_order_is_in_flight(enforces):
    """Guards against an earlier order that takes effect after a later one."""
    harness = SwitchHarness(enforces)
    harness.hold_orders = True
    harness.declare(OLD)
    harness.run(1.0)
    assert harness.switch.state is SwitchState.ORDERING
    harness.declare(NEW)
    harness.hold_orders = False
    harness.run(1.0)
    if enforces:
        assert harness.switch.serving == (NEW,), "the newer fence blocks the earlier order"
        assert harness.engine.order(harness.held_orders[0]) == 409
    else:
        assert harness.switch.serving is None, (
            "the earlier order could still take effect after the next one"
        )
        assert command_types(harness.log).count(SendOrder) == 1, (
            "the next order waits for the earlier one"
        )
        harness.engine.staged |= set(OLD.blobs)
        assert harness.engine.order(harness.held_orders[0]) == 200
        harness.switch.order_result(harness.held_orders[0].order_id, 200, harness.now)
        harness.run(1.0)
        assert harness.switch.serving == (NEW,)


def test_matching_read_back_confirms_nothing_while_another_order_is_in_flight():
    """Guards against serving a set that a delayed order with a newer fence then replaces."""
    harness = SwitchHarness()
    harness.reach_live(OLD)
    harness.hold_orders = True
    harness.declare(NEW)
    harness.switch.set_may_start(True)
    harness.run(1.0)
    late = harness.held_orders[0]
    harness.declare(OLD)
    harness.run(1.0)
    assert harness.switch.serving is None, "the order for the other set may still be accepted"
    harness.hold_orders = False
    harness.run(2 * LIMITS.order_timeout_s)
    assert harness.switch.serving == (OLD,)
    assert harness.engine.order(late) == 409


def test_restart_requires_a_new_order_even_when_the_set_matches():
    """Guards against a delayed order that is accepted because the restart lost the fence."""
    harness = SwitchHarness()
    harness.reach_live(OLD)
    harness.engine.restart()
    harness.engine.weights, harness.engine.fence = (OLD,), 1
    orders = [command for command in harness.run(4.0) if isinstance(command, SendOrder)]
    assert len(orders) == 1
    assert harness.switch.serving == (OLD,)
    assert harness.engine.fence == harness.fence


def test_engine_restart_stages_and_orders_again():
    """Guards against serving from an engine that holds no weights."""
    harness = SwitchHarness()
    harness.reach_live(OLD)
    harness.engine.restart()
    harness.switch.engine_lost(harness.now)
    commands = harness.run(3.0)
    assert StopServing in command_types(commands)
    assert command_types(commands).count(Stage) == len(OLD.blobs)
    assert harness.switch.serving == (OLD,)


def test_silent_restart_is_detected_by_the_regular_read_back():
    """Guards against serving after an idle engine restarted without a broken connection."""
    harness = SwitchHarness()
    harness.reach_live(OLD)
    harness.engine.restart()
    harness.hold_stages = True
    harness.run(LIMITS.fenced_read_interval_s + 2 * STEP_S)
    assert harness.switch.serving is None


@pytest.mark.parametrize("during", ["live", "loading of a newer set"])
def test_delayed_order_on_an_engine_that_ignores_fencing(during):
    """Guards against continuing to serve after a delayed order replaced the confirmed set."""
    harness = SwitchHarness(enforces_fencing=False)
    harness.reach_live(OLD)
    if during != "live":
        harness.declare(NEW, ready=False)
        harness.run(1.0)
        assert harness.switch.serving == (OLD,)
    harness.engine.weights = (ADAPTER,)
    commands = harness.run(LIMITS.read_interval_s + 2 * STEP_S)
    assert StopServing in command_types(commands)
    if during == "live":
        harness.run(2.0)
        assert harness.switch.serving == (OLD,), "the declared set is ordered again"
    else:
        assert harness.switch.serving is None


def test_read_back_without_an_answer_stops_serving():
    """Guards against serving while the weights on the engine are unknown."""
    harness = SwitchHarness(enforces_fencing=False)
    harness.reach_live(OLD)
    harness.hold_reads = True
    harness.run(LIMITS.read_interval_s + LIMITS.read_timeout_s + 3 * STEP_S)
    assert harness.switch.serving is None
    harness.hold_reads = False
    harness.run(LIMITS.backoff_max_s + LIMITS.read_timeout_s)
    assert harness.switch.serving == (OLD,)
    assert command_types(harness.log).count(SendOrder) == 1, (
        "the engine still holds the set, so no second order is needed"
    )


def test_answer_to_an_old_read_back_confirms_nothing():
    """Guards against a confirmation by a state that predates the order."""
    harness = SwitchHarness()
    harness.reach_live(OLD)
    harness.hold_reads = True
    harness.declare(NEW)
    harness.switch.set_may_start(True)
    harness.run(1.0)
    assert harness.switch.state is SwitchState.CONFIRMING
    assert len(harness.reads) >= 2
    boot, _, fence = harness.engine.state()
    harness.switch.engine_state(boot, [NEW.triple], fence, harness.now, harness.reads[-2])
    assert harness.switch.serving is None
    harness.answer_read(harness.reads[-1])
    assert harness.switch.serving == (NEW,)


def test_refused_fence_waits_for_the_newer_note():
    """Guards against switching an engine back to an older revision (invariant I7)."""
    harness = SwitchHarness()
    harness.run(1.0)
    harness.engine.weights, harness.engine.fence = (NEW,), 50
    harness.declare(OLD)
    harness.run(20.0)
    assert command_types(harness.log).count(SendOrder) <= 1
    assert harness.switch.serving is None
    assert harness.engine.weights == (NEW,)
    harness.fence = 50
    harness.switch.set_target(50, 50, [NEW])
    harness.run(2.0)
    assert harness.switch.serving == (NEW,)


def test_refused_order_whose_earlier_attempt_took_effect_is_confirmed():
    """Guards against endless retries when an answer is lost and the retry is refused."""
    harness = SwitchHarness()
    harness.hold_orders = True
    harness.declare(OLD)
    harness.run(1.0)
    harness.engine.order(harness.held_orders[0])
    harness.switch.order_result(harness.held_orders[0].order_id, 409, harness.now)
    harness.run(1.0)
    assert harness.switch.serving == (OLD,)


@pytest.mark.parametrize("status", [503, 422])
def test_failed_orders_are_retried_with_backoff(status):
    """Guards against giving up on an engine, and against a flood of orders."""
    harness = SwitchHarness()
    harness.status = status
    harness.declare(OLD)
    orders = [command for command in harness.run(20.0) if isinstance(command, SendOrder)]
    assert 3 <= len(orders) <= 12
    harness.status = None
    harness.run(LIMITS.backoff_max_s + 2.0)
    assert harness.switch.serving == (OLD,)


def test_order_without_an_answer_is_retried_after_its_deadline():
    """Guards against waiting forever for a lost answer."""
    harness = SwitchHarness()
    harness.hold_orders = True
    harness.declare(OLD)
    harness.run(LIMITS.order_timeout_s - 1.0)
    assert len(harness.held_orders) == 1
    harness.hold_orders = False
    harness.run(4.0)
    assert harness.switch.serving == (OLD,)


def test_withdrawn_model_stops_at_once_and_empties_the_engine():
    """Guards against serving a withdrawn model while a wave or a request delays the switch."""
    harness = SwitchHarness()
    harness.reach_live(OLD)
    harness.switch.set_running_requests(1)
    harness.declare()
    assert harness.switch.serving is None
    harness.switch.set_running_requests(0)
    harness.run(2.0)
    assert harness.engine.weights == ()
    assert harness.switch.state is SwitchState.LIVE
    assert harness.switch.serving is None


def test_version_declared_again_with_other_content_is_ordered():
    """Guards against mistaking the old content for the new, as engines report only versions."""
    harness = SwitchHarness()
    harness.reach_live(OLD)
    harness.declare(REPUBLISHED)
    harness.switch.set_may_start(True)
    harness.run(3.0)
    assert harness.engine.weights == (REPUBLISHED,)
    assert harness.switch.serving == (REPUBLISHED,)


def test_older_and_equal_notes_change_nothing():
    """Guards against reverting to an older revision (invariant I7) and needless switches."""
    harness = SwitchHarness()
    harness.reach_live(NEW)
    harness.switch.set_target(5, 5, [OLD])
    harness.declare(NEW)
    commands = harness.run(3.0)
    assert set(command_types(commands)) == {ReadBack}
    assert harness.switch.serving == (NEW,)


def test_restarted_agent_adopts_the_weights_of_a_loaded_engine():
    """Guards against a needless reload when only the agent restarts."""
    harness = SwitchHarness()
    harness.engine.weights, harness.engine.fence = (OLD,), 11
    harness.declare(OLD, ready=False)
    harness.run(1.0)
    assert harness.switch.serving == (OLD,)
    assert SendOrder not in command_types(harness.log)
