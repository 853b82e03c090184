"""State machine over several entries, a log and a service.

`CLAIMS_EXAMPLES`, `CLAIMS_STEPS` and `CLAIMS_SEED` in the environment set a longer or other run.
"""

import os
import sys

from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from fescuechute.claims import Answer, Key, Scope
from tests.claims.model import CFG, World, reference

EXAMPLES = int(os.environ.get("CLAIMS_EXAMPLES", "200"))
STEPS = int(os.environ.get("CLAIMS_STEPS", "50"))
SEED = int(os.environ.get("CLAIMS_SEED", "20261204"))

pick = st.integers(0, 7)
append_fates = st.sampled_from(
    ["ok", "ok", "hang", "hang_applied", "refused", "lost"] + ["lost_applied", "lost_delayed"] * 2
)
read_fates = st.sampled_from(["ok", "ok", "ok", "hang", "failed"])
timeouts = st.sampled_from([0.5, 20.0, 1000.0])
ages = st.sampled_from([0.0, 0.0, 4.0, 50.0, 59.0, -4.0, -15.0, -15.0, 61.0])
clocks = st.sampled_from([0.0, 2.0, -2.0, 20.0, 20.0, -20.0])
pauses = st.sampled_from([0.01, 0.01, 0.3, 3.0, 30.0, 75.0])


FAULTS = [
    "freeze_or_resume",
    "replace",
    "replace_after_retention",
    "log_out_or_back",
    "retain_less",
    "append_late",
    "record_twice",
    "foreign_release",
    "invalid_release",
    "release_after_outcome",
]


class ClaimsMachine(RuleBasedStateMachine):
    """Drives a `World` through faults; the checks are in `World` and in `settle`."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.scopes = []

    @initialize(first=clocks, second=clocks, third=clocks)
    def start(self, first, second, third):
        for clock_s in (first, second, third):
            self.world.start_entry(clock_s)
        self._new_scope(0.0)

    def _new_scope(self, age):
        text = f"{round((self.world.now - age) * 1000)}-key_{len(self.scopes):04}"
        self.scopes.append(Scope("acme", "bookings", Key.parse(text)))

    def _entry(self, index):
        entries = [entry for entry in self.world.entries if not entry.frozen]
        return entries[index % len(entries)] if entries else None

    def _scope(self, index):
        return self.scopes[-1 - index % min(3, len(self.scopes))]

    def _at_agents(self):
        return [a for a in self.world.attempts.values() if a.place == "agent"]

    @rule(age=ages)
    def new_key(self, age):
        self._new_scope(age)

    @rule(index=pick, key=pick, timeout_s=timeouts, other_content=st.integers(0, 5))
    def submit(self, index, key, timeout_s, other_content):
        entry = self._entry(index)
        if entry is not None:
            digest = "d2" if other_content == 0 else "d1"
            self.world.submit(entry, self._scope(key), digest, timeout_s)

    @rule(key=pick, timeout_s=timeouts)
    def submit_everywhere(self, key, timeout_s):
        """A caller sends the same key to every entry at the same moment."""
        for entry in self.world.entries:
            if not entry.frozen:
                self.world.submit(entry, self._scope(key), "d1", timeout_s)

    @rule(index=pick, append=append_fates, read=read_fates)
    def step(self, index, append, read):
        entry = self._entry(index)
        if entry is not None:
            self._step(entry, append, read)

    @rule(index=pick, rounds=st.integers(1, 4), passing_on=st.booleans())
    def progress(self, index, rounds, passing_on):
        entry = self._entry(index)
        for _ in range(rounds if entry else 0):
            self.world.now += 0.01
            self._step(entry, "ok", "ok")
        if entry is not None and passing_on:
            self.world.pass_on(entry)

    @rule(index=pick, key=pick, timeout_s=timeouts)
    def submit_and_send(self, index, key, timeout_s):
        """A call comes as far as an agent, if nothing stands in its way."""
        self.submit(index, key, timeout_s, other_content=1)
        self.progress(index, 4, passing_on=True)

    def _step(self, entry, append, read):
        self.world.run(entry)
        if entry.appends:
            self.world.finish_append(entry, append)
        if entry.reads:
            self.world.finish_read(entry, read)
        self.world.run(entry)

    @rule(index=pick, key=pick, append=append_fates, read=read_fates)
    def submit_and_stall(self, index, key, append, read):
        """The deadline of a call passes at some step between its claim and its read-back."""
        self.submit(index, key, 0.5, other_content=1)
        for pause_s in (0.01, 0.01, 1.0):
            self.world.now += pause_s
            self.step(index, append, read)

    @rule(index=pick, key=pick, pause_s=pauses)
    def submit_and_hold_back(self, index, key, pause_s):
        """The append of a claim takes effect long after it was issued, behind newer keys."""
        self.submit(index, key, 1000.0, other_content=1)
        for _ in range(2):
            self.world.now += 0.01
            self.step(index, "hang", "hang")
        self.world.now += pause_s
        self._new_scope(0.0)
        self.submit_and_send(index + 1, 0, 20.0)
        self.step(index, "hang", "ok")
        self.step(index, "hang", "ok")
        self.progress(index, 2, passing_on=True)

    @rule(index=pick)
    def pass_on(self, index):
        entry = self._entry(index)
        if entry is not None:
            self.world.pass_on(entry)

    @precondition(_at_agents)
    @rule(index=pick, act=st.sampled_from(["execute", "execute", "refuse", "lose", "late"]))
    def agent(self, index, act):
        calls = self._at_agents()
        attempt = calls[index % len(calls)]
        if act == "lose":
            self.world.lose_link(attempt)
        elif act == "refuse":
            self.world.refuse(attempt)
        else:
            self.world.execute(attempt, late_answer=act == "late")

    @rule(index=pick)
    def caller_gone(self, index):
        waiting = [a for a in self.world.attempts.values() if a.reply is None]
        if waiting:
            attempt = waiting[index % len(waiting)]
            attempt.caller_gone = True
            attempt.entry.table.caller_gone(attempt.call_id)

    @rule(seconds=pauses)
    def advance(self, seconds):
        self.world.now += seconds

    @rule(fault=st.sampled_from(FAULTS), index=pick, clock_s=clocks, key=pick)
    def fault_and_call(self, fault, index, clock_s, key):
        """A fault is followed by a call, before its effects have passed."""
        self.fault(fault, index, clock_s)
        self.submit_and_send(-1 if fault.startswith("replace") else index, key, 20.0)

    @rule(fault=st.sampled_from(FAULTS), index=pick, clock_s=clocks)
    def fault(self, fault, index, clock_s):
        world = self.world
        entry = world.entries[index % len(world.entries)]
        if fault == "freeze_or_resume":
            entry.frozen = not entry.frozen
        elif fault.startswith("replace"):
            if fault == "replace_after_retention":
                world.log.first = len(world.log.history)
            world.kill(entry)
            world.start_entry(clock_s)
        elif fault == "log_out_or_back":
            world.log.up = not world.log.up
        elif fault == "retain_less":
            retained = len(world.log.history) - world.log.first
            world.log.first += min(retained, (1, 2, 4, retained)[index % 4])
        elif fault == "append_late":
            world.append_late()
        else:
            world.odd_record(fault, index)

    @rule()
    def settle(self):
        """Faults stop: no call stays open, and recorded outcomes are answered everywhere."""
        world = self.world
        world.log.up = True
        for entry in world.entries:
            entry.frozen = False
        self._quiet_rounds(10)
        for attempt in self._at_agents():
            world.execute(attempt)
        world.append_late()
        self._quiet_rounds(10)
        for entry in world.entries:
            assert entry.table.unsettled == 0, "records stay outside the log"
            for attempt in world.of(entry):
                if attempt.deadline <= world.now + entry.clock_s or attempt.executed:
                    assert attempt.reply or attempt.caller_gone, "a call stays open"
        for scope in self.scopes[-3:]:
            self._check_settled(scope)

    def _quiet_rounds(self, rounds):
        for _ in range(rounds):
            self.world.now += 0.26
            for entry in self.world.entries:
                self._step(entry, "ok", "ok")
                self.world.pass_on(entry)

    def _check_settled(self, scope):
        world = self.world
        claim, outcome = reference(world.log.history, scope)
        if claim is None or world.now > scope.key.at + CFG.window_s - 30:
            return
        if outcome is None:
            call = world.attempts[claim["operation"]]
            open_call = call.reply is None and not call.caller_gone
            dead = claim["holder"] in world.dead
            assert dead or call.claim_id or open_call, "a claim that will never send holds a key"
            assert dead or not call.executed, "an outcome was not recorded"
            return
        for entry in world.entries:
            now = world.now + entry.clock_s
            complete = entry.table.view(scope).complete_for(scope.key)
            if complete and scope.key.at - CFG.skew_s <= now <= scope.key.at + CFG.window_s:
                attempt = world.submit(entry, scope, claim["digest"], 10.0)
                world.run(entry)
                assert isinstance(attempt.reply, Answer), "a recorded outcome is not answered"

    @invariant()
    def safe(self):
        self.world.check()

    def teardown(self):
        # After a failure the end of the run would only hide its cause.
        if self.world.entries and sys.exc_info()[0] is None:
            self.settle()
            self.world.check()


def test_claims_machine():
    """Guards against a second execution, a false `not run` or `unknown`, and a wrong answer."""
    print(f"CLAIMS_SEED={SEED} CLAIMS_EXAMPLES={EXAMPLES} CLAIMS_STEPS={STEPS}")
    limits = settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )
    machine = seed(SEED)(ClaimsMachine)
    run_state_machine_as_test(machine, settings=limits)
