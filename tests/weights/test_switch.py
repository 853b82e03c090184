"""Switch, named cases: guard against mixed, stale or lost sets on an engine."""

import random

import pytest
from test_switch_model import LIMITS, POOL, ModelEngine

from fescuechute.weights import (
    Drain,
    ReadBack,
    SendOrder,
    Stage,
    StopServing,
    Switch,
    SwitchState,
)

OLD, NEW, ADAPTER, REPUBLISHED = POOL
STEP_S = 0.1


class Bench:
    """One switch beside a model engine that answers at once, unless a case holds answers back."""

    def __init__(self, enforces: bool = True):
        self.now = 100.0
        self.engine = ModelEngine(enforces)
        self.switch = Switch(enforces, random.Random(1), LIMITS)
        self.log: list[object] = []
        self.held: list[SendOrder] = []
        self.hold_orders = self.hold_reads = self.hold_stages = False
        self.status: int | None = None
        self.reads: list[int] = []
        self.fence = 10

    def note(self, *weights, ready=True):
        self.fence += 1
        self.switch.declared(self.fence, self.fence, weights)
        self.switch.blobs_ready(ready)

    def run(self, seconds: float):
        """Lets time pass and returns the commands of that time."""
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
                self.held.append(command)
            case SendOrder():
                status = self.status or self.engine.order(command)
                self.switch.order_result(command.order_id, status, self.now)
            case ReadBack(read_id):
                self.reads.append(read_id)
                if not self.hold_reads:
                    self.answer(read_id)

    def answer(self, read_id):
        boot, weights, fence = self.engine.state()
        self.switch.engine_state(boot, weights, fence, self.now, read_id)

    def live(self, *weights):
        self.note(*weights)
        self.switch.may_start(True)
        self.run(5.0)
        assert self.switch.state is SwitchState.LIVE
        assert (self.switch.serving or ()) == weights


def kinds(commands):
    return [type(command) for command in commands]


def test_serves_only_after_staging_order_and_read_back():
    """Guards against partial weights (I1)."""
    bench = Bench()
    bench.note(OLD, ADAPTER, ready=False)
    commands = bench.run(3.0)
    assert set(kinds(commands)) == {ReadBack}, "nothing is staged while blobs are missing"
    assert bench.switch.state is SwitchState.LOADING
    bench.switch.blobs_ready(True)
    bench.run(3.0)
    named = [kind for kind in kinds(bench.log) if kind is not ReadBack]
    assert [kind.__name__ for kind in named] == ["Stage"] * 3 + ["Drain", "SendOrder", "Serve"]
    order = next(command for command in bench.log if isinstance(command, SendOrder))
    assert (order.fence, order.weights) == (11, (OLD, ADAPTER))
    assert bench.switch.serving == (OLD, ADAPTER)


def test_old_set_is_served_until_the_wave_allows_and_requests_end():
    """Guards against cut-off requests and against lost capacity before a switch."""
    bench = Bench()
    bench.live(OLD)
    bench.note(NEW)
    bench.run(3.0)
    assert bench.switch.state is SwitchState.READY_TO_SWITCH
    assert bench.switch.serving == (OLD,)
    bench.switch.running(1)
    bench.switch.may_start(True)
    commands = bench.run(3.0)
    assert Drain in kinds(commands)
    assert SendOrder not in kinds(commands), "a request is still running"
    assert bench.switch.serving is None
    bench.switch.may_start(False)
    bench.switch.running(0)
    bench.run(3.0)
    assert bench.switch.serving == (NEW,), "a drain that began goes on"


def test_newer_note_while_draining_serves_the_old_set_again():
    """Guards against a VM that refuses requests while blobs of the newer set are missing."""
    bench = Bench()
    bench.live(OLD)
    bench.switch.running(1)
    bench.note(NEW)
    bench.switch.may_start(True)
    bench.run(1.0)
    assert bench.switch.state is SwitchState.DRAINING
    bench.note(NEW, ADAPTER, ready=False)
    bench.run(1.0)
    assert bench.switch.serving == (OLD,)
    bench.note(OLD)
    bench.run(1.0)
    assert bench.switch.state is SwitchState.LIVE, "the engine holds the declared set already"
    assert kinds(bench.log).count(SendOrder) == 1, "only the first order was ever needed"


@pytest.mark.parametrize("enforces", [True, False], ids=["fencing enforced", "fencing ignored"])
def test_newer_note_while_an_order_is_in_flight(enforces):
    """Guards against an earlier order that takes effect after its successor."""
    bench = Bench(enforces)
    bench.hold_orders = True
    bench.note(OLD)
    bench.run(1.0)
    assert bench.switch.state is SwitchState.ORDERING
    bench.note(NEW)
    bench.hold_orders = False
    bench.run(1.0)
    if enforces:
        assert bench.switch.serving == (NEW,), "the newer fence shuts the earlier order out"
        assert bench.engine.order(bench.held[0]) == 409
    else:
        assert bench.switch.serving is None, "the earlier order may still overtake the next one"
        assert kinds(bench.log).count(SendOrder) == 1, "the next order waits for the earlier one"
        bench.engine.staged |= set(OLD.blobs)
        assert bench.engine.order(bench.held[0]) == 200
        bench.switch.order_result(bench.held[0].order_id, 200, bench.now)
        bench.run(1.0)
        assert bench.switch.serving == (NEW,)


def test_equal_read_back_is_not_trusted_while_another_order_is_in_flight():
    """Guards against serving a set that a delayed order with a newer fence replaces."""
    bench = Bench()
    bench.live(OLD)
    bench.hold_orders = True
    bench.note(NEW)
    bench.switch.may_start(True)
    bench.run(1.0)
    late = bench.held[0]
    bench.note(OLD)
    bench.run(1.0)
    assert bench.switch.serving is None, "the order for the other set may still be accepted"
    bench.hold_orders = False
    bench.run(2 * LIMITS.order_s)
    assert bench.switch.serving == (OLD,)
    assert bench.engine.order(late) == 409


def test_restart_requires_a_new_order_even_when_the_set_matches():
    """Guards against a late order that is accepted because the restart lost the fence."""
    bench = Bench()
    bench.live(OLD)
    bench.engine.restart()
    bench.engine.weights, bench.engine.fence = (OLD,), 1
    orders = [command for command in bench.run(4.0) if isinstance(command, SendOrder)]
    assert len(orders) == 1
    assert bench.switch.serving == (OLD,)
    assert bench.engine.fence == bench.fence


def test_engine_restart_stages_and_orders_again():
    """Guards against serving from an engine that holds nothing."""
    bench = Bench()
    bench.live(OLD)
    bench.engine.restart()
    bench.switch.engine_lost(bench.now)
    commands = bench.run(3.0)
    assert StopServing in kinds(commands)
    assert kinds(commands).count(Stage) == len(OLD.blobs)
    assert bench.switch.serving == (OLD,)


def test_silent_restart_is_noticed_by_the_regular_read_back():
    """Guards against an idle engine that restarts without a broken connection."""
    bench = Bench()
    bench.live(OLD)
    bench.engine.restart()
    bench.hold_stages = True
    bench.run(LIMITS.watch_fenced_s + 2 * STEP_S)
    assert bench.switch.serving is None


@pytest.mark.parametrize("during", ["live", "loading of a newer set"])
def test_late_order_on_an_engine_that_ignores_fencing(during):
    """Guards against serving on after a late order replaced the confirmed set."""
    bench = Bench(enforces=False)
    bench.live(OLD)
    if during != "live":
        bench.note(NEW, ready=False)
        bench.run(1.0)
        assert bench.switch.serving == (OLD,)
    bench.engine.weights = (ADAPTER,)
    commands = bench.run(LIMITS.watch_s + 2 * STEP_S)
    assert StopServing in kinds(commands)
    if during == "live":
        bench.run(2.0)
        assert bench.switch.serving == (OLD,), "the declared set is ordered again"
    else:
        assert bench.switch.serving is None


def test_read_back_without_an_answer_stops_serving():
    """Guards against serving blindly while the engine does not say what it holds."""
    bench = Bench(enforces=False)
    bench.live(OLD)
    bench.hold_reads = True
    bench.run(LIMITS.watch_s + LIMITS.read_s + 3 * STEP_S)
    assert bench.switch.serving is None
    bench.hold_reads = False
    bench.run(LIMITS.backoff_max_s + LIMITS.read_s)
    assert bench.switch.serving == (OLD,)
    assert kinds(bench.log).count(SendOrder) == 1, "the set is still there; no second order"


def test_answer_to_an_old_read_back_confirms_nothing():
    """Guards against confirming from a state that predates the order."""
    bench = Bench()
    bench.live(OLD)
    bench.hold_reads = True
    bench.note(NEW)
    bench.switch.may_start(True)
    bench.run(1.0)
    assert bench.switch.state is SwitchState.CONFIRMING
    assert len(bench.reads) >= 2
    boot, _, fence = bench.engine.state()
    bench.switch.engine_state(boot, [NEW.triple], fence, bench.now, bench.reads[-2])
    assert bench.switch.serving is None
    bench.answer(bench.reads[-1])
    assert bench.switch.serving == (NEW,)


def test_refused_fence_waits_for_the_newer_note():
    """Guards against ordering an engine back to an older revision (I7)."""
    bench = Bench()
    bench.run(1.0)
    bench.engine.weights, bench.engine.fence = (NEW,), 50
    bench.note(OLD)
    bench.run(20.0)
    assert kinds(bench.log).count(SendOrder) <= 1
    assert bench.switch.serving is None
    assert bench.engine.weights == (NEW,)
    bench.fence = 50
    bench.switch.declared(50, 50, [NEW])
    bench.run(2.0)
    assert bench.switch.serving == (NEW,)


def test_refused_order_whose_earlier_attempt_took_effect_is_confirmed():
    """Guards against an endless retry when an answer is lost and the repetition is refused."""
    bench = Bench()
    bench.hold_orders = True
    bench.note(OLD)
    bench.run(1.0)
    bench.engine.order(bench.held[0])
    bench.switch.order_result(bench.held[0].order_id, 409, bench.now)
    bench.run(1.0)
    assert bench.switch.serving == (OLD,)


@pytest.mark.parametrize("status", [503, 422])
def test_failed_orders_are_retried_with_backoff(status):
    """Guards against an abandoned VM, and against a flood of orders."""
    bench = Bench()
    bench.status = status
    bench.note(OLD)
    orders = [command for command in bench.run(20.0) if isinstance(command, SendOrder)]
    assert 3 <= len(orders) <= 12
    bench.status = None
    bench.run(LIMITS.backoff_max_s + 2.0)
    assert bench.switch.serving == (OLD,)


def test_order_without_an_answer_is_sent_again_after_its_deadline():
    """Guards against waiting forever for a lost answer."""
    bench = Bench()
    bench.hold_orders = True
    bench.note(OLD)
    bench.run(LIMITS.order_s - 1.0)
    assert len(bench.held) == 1
    bench.hold_orders = False
    bench.run(4.0)
    assert bench.switch.serving == (OLD,)


def test_withdrawn_model_stops_at_once_and_empties_the_engine():
    """Guards against serving a withdrawn model while a wave or a request holds the switch back."""
    bench = Bench()
    bench.live(OLD)
    bench.switch.running(1)
    bench.note()
    assert bench.switch.serving is None
    bench.switch.running(0)
    bench.run(2.0)
    assert bench.engine.weights == ()
    assert bench.switch.state is SwitchState.LIVE
    assert bench.switch.serving is None


def test_version_declared_again_with_other_content_is_ordered():
    """Guards against taking the old content for the new, as engines report versions only."""
    bench = Bench()
    bench.live(OLD)
    bench.note(REPUBLISHED)
    bench.switch.may_start(True)
    bench.run(3.0)
    assert bench.engine.weights == (REPUBLISHED,)
    assert bench.switch.serving == (REPUBLISHED,)


def test_older_and_repeated_notes_change_nothing():
    """Guards against a note that reverts (I7) and against needless switches."""
    bench = Bench()
    bench.live(NEW)
    bench.switch.declared(5, 5, [OLD])
    bench.note(NEW)
    commands = bench.run(3.0)
    assert set(kinds(commands)) == {ReadBack}
    assert bench.switch.serving == (NEW,)


def test_restarted_agent_reads_back_a_loaded_engine():
    """Guards against a needless reload when only the agent restarts."""
    bench = Bench()
    bench.engine.weights, bench.engine.fence = (OLD,), 11
    bench.note(OLD, ready=False)
    bench.run(1.0)
    assert bench.switch.serving == (OLD,)
    assert SendOrder not in kinds(bench.log)
