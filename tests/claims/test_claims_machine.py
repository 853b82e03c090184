"""Property-based state machine test of several entries, a log and a service.

The environment variables `CLAIMS_EXAMPLES`, `CLAIMS_STEPS` and `CLAIMS_SEED` override the size and
the seed of the run.
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

from fescuechute.claims import Answer, Key, Scope, ScopeState
from tests.claims.model import CFG, World, reference_state

EXAMPLES = int(os.environ.get("CLAIMS_EXAMPLES", "200"))
STEPS = int(os.environ.get("CLAIMS_STEPS", "50"))
SEED = int(os.environ.get("CLAIMS_SEED", "20261204"))

indices = st.integers(0, 7)
append_results = st.sampled_from(
    ["ok", "ok_late_era", "hang", "hang_applied", "refused", "lost"]
    + ["lost_applied", "lost_delayed"] * 2
)
read_results = st.sampled_from(["ok", "ok", "ok", "hang", "failed"])
timeouts_s = st.sampled_from([0.5, 20.0, 1000.0])
key_ages_s = st.sampled_from([0.0, 0.0, 4.0, 50.0, 59.0, -4.0, -15.0, -15.0, 61.0])
clock_offsets_s = st.sampled_from([0.0, 2.0, -2.0, 20.0, 20.0, -20.0])
pauses_s = st.sampled_from([0.01, 0.01, 0.3, 3.0, 30.0, 75.0])


FAULTS = [
    "freeze_or_resume",
    "replace",
    "replace_after_retention",
    "log_out_or_back",
    "return_from_copy",
    "retain_less",
    "append_late",
    "record_twice",
    "foreign_release",
    "invalid_release",
    "release_after_outcome",
]


class ClaimsMachine(RuleBasedStateMachine):
    """Drives a `World` through calls and faults; `World` and `settle` check the results."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.scopes = []

    @initialize(first=clock_offsets_s, second=clock_offsets_s, third=clock_offsets_s)
    def start(self, first, second, third):
        for clock_offset_s in (first, second, third):
            self.world.start_entry(clock_offset_s)
        self._new_scope(0.0)

    def _new_scope(self, age_s):
        text = f"{round((self.world.now - age_s) * 1000)}-key_{len(self.scopes):04}"
        self.scopes.append(Scope("acme", "bookings", Key.parse(text)))

    def _entry(self, index):
        entries = [entry for entry in self.world.entries if not entry.frozen]
        return entries[index % len(entries)] if entries else None

    def _scope(self, index):
        return self.scopes[-1 - index % min(3, len(self.scopes))]

    def _attempts_at_agents(self):
        return [a for a in self.world.attempts.values() if a.stage == "agent"]

    @rule(age_s=key_ages_s)
    def new_key(self, age_s):
        self._new_scope(age_s)

    @rule(index=indices, key=indices, timeout_s=timeouts_s, other_content=st.integers(0, 5))
    def submit(self, index, key, timeout_s, other_content):
        entry = self._entry(index)
        if entry is not None:
            digest = "d2" if other_content == 0 else "d1"
            self.world.submit(entry, self._scope(key), digest, timeout_s)

    @rule(key=indices, timeout_s=timeouts_s)
    def submit_everywhere(self, key, timeout_s):
        """Submits a call with the same key to every entry at the same time."""
        for entry in self.world.entries:
            if not entry.frozen:
                self.world.submit(entry, self._scope(key), "d1", timeout_s)

    @rule(index=indices, append=append_results, read=read_results)
    def step(self, index, append, read):
        entry = self._entry(index)
        if entry is not None:
            self._step(entry, append, read)

    @rule(index=indices, rounds=st.integers(1, 4), deliver=st.booleans())
    def progress(self, index, rounds, deliver):
        entry = self._entry(index)
        for _ in range(rounds if entry else 0):
            self.world.now += 0.01
            self._step(entry, "ok", "ok")
        if entry is not None and deliver:
            self.world.deliver_sends(entry)

    @rule(index=indices, key=indices, timeout_s=timeouts_s)
    def submit_and_send(self, index, key, timeout_s):
        """Submits a call and advances it to an agent, unless something prevents that."""
        self.submit(index, key, timeout_s, other_content=1)
        self.progress(index, 4, deliver=True)

    def _step(self, entry, append, read):
        self.world.run(entry)
        if entry.appends_in_flight:
            self.world.finish_append(entry, append)
        if entry.reads_in_flight:
            self.world.finish_read(entry, read)
        self.world.run(entry)

    @rule(index=indices, key=indices, append=append_results, read=read_results)
    def submit_and_pass_deadline(self, index, key, append, read):
        """Lets the deadline of a call pass between the append and the read-back of its claim."""
        self.submit(index, key, 0.5, other_content=1)
        for pause_s in (0.01, 0.01, 1.0):
            self.world.now += pause_s
            self.step(index, append, read)

    @rule(index=indices, key=indices, pause_s=pauses_s)
    def submit_and_delay_append(self, index, key, pause_s):
        """Delays the append of a claim until after claims on newer keys."""
        self.submit(index, key, 1000.0, other_content=1)
        for _ in range(2):
            self.world.now += 0.01
            self.step(index, "hang", "hang")
        self.world.now += pause_s
        self._new_scope(0.0)
        self.submit_and_send(index + 1, 0, 20.0)
        self.step(index, "hang", "ok")
        self.step(index, "hang", "ok")
        self.progress(index, 2, deliver=True)

    @rule(index=indices)
    def deliver_sends(self, index):
        entry = self._entry(index)
        if entry is not None:
            self.world.deliver_sends(entry)

    @precondition(_attempts_at_agents)
    @rule(index=indices, action=st.sampled_from(["execute", "execute", "refuse", "lose", "late"]))
    def agent_event(self, index, action):
        calls = self._attempts_at_agents()
        attempt = calls[index % len(calls)]
        if action == "lose":
            self.world.lose_link(attempt)
        elif action == "refuse":
            self.world.refuse(attempt)
        else:
            self.world.execute(attempt, late_answer=action == "late")

    @rule(index=indices)
    def caller_disconnected(self, index):
        waiting = [a for a in self.world.attempts.values() if a.reply is None]
        if waiting:
            attempt = waiting[index % len(waiting)]
            attempt.caller_disconnected = True
            attempt.entry.table.caller_disconnected(attempt.call_id)

    @rule(seconds=pauses_s)
    def advance(self, seconds):
        self.world.now += seconds

    @rule(fault=st.sampled_from(FAULTS), index=indices, clock_offset_s=clock_offsets_s, key=indices)
    def fault_and_call(self, fault, index, clock_offset_s, key):
        """Submits a call right after a fault, while the fault still has an effect."""
        self.fault(fault, index, clock_offset_s)
        self.submit_and_send(-1 if fault.startswith("replace") else index, key, 20.0)

    @rule(fault=st.sampled_from(FAULTS), index=indices, clock_offset_s=clock_offsets_s)
    def fault(self, fault, index, clock_offset_s):
        world = self.world
        entry = world.entries[index % len(world.entries)]
        if fault == "freeze_or_resume":
            entry.frozen = not entry.frozen
        elif fault.startswith("replace"):
            if fault == "replace_after_retention":
                world.log.first_retained = len(world.log.history)
            world.kill(entry)
            world.start_entry(clock_offset_s)
        elif fault == "log_out_or_back":
            world.log.up = not world.log.up
        elif fault == "retain_less":
            retained = len(world.log.history) - world.log.first_retained
            world.log.first_retained += min(retained, (1, 2, 4, retained)[index % 4])
        elif fault == "return_from_copy":
            world.return_from_copy((1, 2, 4, len(world.log.history))[index % 4])
        elif fault == "append_late":
            world.apply_delayed_appends()
        else:
            world.append_irregular_record(fault, index)

    @rule()
    def settle(self):
        """Ends all faults, then checks that calls complete and entries return recorded outcomes."""
        world = self.world
        world.log.up = True
        for entry in world.entries:
            entry.frozen = False
        self._run_without_faults(10)
        for attempt in self._attempts_at_agents():
            world.execute(attempt)
        world.apply_delayed_appends()
        self._run_without_faults(10)
        if world.log.era:
            # The renewal of an era record may have become due in the last round.
            self._run_without_faults(2 * any(e.table.pending_records for e in world.entries))
        for entry in world.entries:
            assert entry.table.pending_records == 0, "records were not appended to the log"
            for attempt in world.attempts_of(entry):
                if attempt.deadline <= world.now + entry.clock_offset_s or attempt.executed:
                    assert attempt.reply or attempt.caller_disconnected, "a call was not completed"
        for scope in self.scopes[-3:]:
            self._check_settled(scope)
        if world.log.era:
            self._check_restored()

    def _check_restored(self):
        """Checks that returns of the log cost no known outcome, even at an entry that starts now."""
        world = self.world
        started = world.start_entry(0.0)
        self._run_without_faults(10)
        for attempt in world.attempts.values():
            age_s = world.now - attempt.scope.key.created_at
            is_recent = -CFG.skew_s < age_s < CFG.window_s - 30
            is_lost = f"{attempt.claim_id}/outcome" in world.lost_agent_records
            if attempt.executed and is_recent and not is_lost and attempt.entry in world.entries:
                # A process that starts cannot know records that retention has removed.
                informed = [attempt.entry] + [started] * (world.log.first_retained == 0)
                for entry in informed:
                    status = entry.table.lookup(attempt.scope, attempt.digest)
                    assert status.state is ScopeState.DONE, "a known outcome was lost"

    def _run_without_faults(self, rounds):
        for _ in range(rounds):
            self.world.now += 0.26
            for entry in self.world.entries:
                self._step(entry, "ok", "ok")
                self.world.deliver_sends(entry)

    def _check_settled(self, scope):
        world = self.world
        claim, outcome = reference_state(world.log.history, scope)
        if claim is None or world.now > scope.key.created_at + CFG.window_s - 30:
            return
        complete_views = [e.table.view(scope).complete_for(scope.key) for e in world.entries]
        if outcome is None and world.log.era and not all(complete_views):
            # Claims of lost stretches are appended again in another order, and no claim on such a
            # key can be sent. `_check_restored` checks the outcomes.
            return
        if outcome is None:
            attempt = world.attempts[claim["operation"]]
            is_open = attempt.reply is None and not attempt.caller_disconnected
            holder_dead = claim["holder"] in world.dead_holders
            assert holder_dead or attempt.claim_id or is_open, (
                "a claim that will never send holds a key"
            )
            # Agents do not append their records again.
            is_lost = f"{claim['claim_id']}/outcome" in world.lost_agent_records
            assert holder_dead or is_lost or not attempt.executed, "an outcome was not recorded"
            return
        for entry in world.entries:
            now = world.now + entry.clock_offset_s
            complete = entry.table.view(scope).complete_for(scope.key)
            if (
                complete
                and scope.key.created_at - CFG.skew_s <= now <= scope.key.created_at + CFG.window_s
            ):
                attempt = world.submit(entry, scope, claim["digest"], 10.0)
                world.run(entry)
                assert isinstance(attempt.reply, Answer), "a recorded outcome was not returned"

    @invariant()
    def safety_conditions_hold(self):
        self.world.check()

    def teardown(self):
        # After a failure, further checks could mask its cause.
        if self.world.entries and sys.exc_info()[0] is None:
            self.settle()
            self.world.check()


def test_claims_machine():
    """Guards against duplicate executions, wrong answers, and wrong `not run` or `unknown`."""
    print(f"CLAIMS_SEED={SEED} CLAIMS_EXAMPLES={EXAMPLES} CLAIMS_STEPS={STEPS}")
    run_settings = settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )
    machine = seed(SEED)(ClaimsMachine)
    run_state_machine_as_test(machine, settings=run_settings)
