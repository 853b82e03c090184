"""Quarantine: each case guards against a request that takes down one upstream after another."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuechute.routing import Quarantine, Verdict
from fescuechute.wire import Crash


def _quarantine(*events, now=100.0, **options):
    quarantine = Quarantine(**options)
    for crash_id, fingerprints in events:
        quarantine.merge(Crash(crash_id, tuple(fingerprints), 100.0), now)
    return quarantine


@pytest.mark.parametrize(
    ("events", "verdict"),
    [
        pytest.param([], Verdict.CLEAR, id="unknown"),
        pytest.param([("c1", "xyz")], Verdict.SUSPECT, id="shared"),
        pytest.param([("c1", "x")], Verdict.SUSPECT, id="sole"),
        pytest.param([("c1", "x"), ("c1", "x")], Verdict.SUSPECT, id="same_crash_twice"),
        pytest.param([("c1", "xy"), ("c2", "xz")], Verdict.SUSPECT, id="shared_twice"),
        pytest.param([("c1", "xyz"), ("c2", "x")], Verdict.QUARANTINED, id="shared_then_sole"),
        pytest.param([("c1", "x"), ("c2", "xyz")], Verdict.QUARANTINED, id="sole_then_shared"),
        pytest.param([("c1", "x"), ("c2", "x")], Verdict.QUARANTINED, id="sole_twice"),
        pytest.param([("c1", "yz"), ("c2", "y")], Verdict.CLEAR, id="others_only"),
    ],
)
def test_verdict_by_known_crashes(events, verdict):
    """A wrong verdict loses a third upstream or refuses an innocent request."""
    assert _quarantine(*events).verdict("x") is verdict


def test_suspect_that_completes_alone_is_clear():
    """An innocent request must not stay under suspicion because of its neighbour."""
    quarantine = _quarantine(("c1", "xy"))
    quarantine.completed("x")
    assert quarantine.verdict("x") is Verdict.CLEAR
    assert quarantine.verdict("y") is Verdict.SUSPECT
    quarantine.merge(Crash("c1", ("x", "y"), 100.0), 101.0)
    assert quarantine.verdict("x") is Verdict.CLEAR, "a repeated event is not a new crash"
    quarantine.merge(Crash("c2", ("x", "z"), 102.0), 102.0)
    assert quarantine.verdict("x") is Verdict.SUSPECT


def test_sole_crashes_count_across_a_completion():
    """A request that crashes upstreams now and then must not start at zero each time."""
    quarantine = _quarantine(("c1", "x"))
    quarantine.completed("x")
    assert quarantine.verdict("x") is Verdict.CLEAR
    quarantine.merge(Crash("c2", ("x",), 101.0), 101.0)
    assert quarantine.verdict("x") is Verdict.QUARANTINED


def test_cleared_sole_crash_does_not_quarantine_a_bystander():
    """A content that completed alone must get another solo trial, not a refusal."""
    quarantine = _quarantine(("c1", "x"))
    quarantine.completed("x")
    quarantine.merge(Crash("c2", ("x", "y"), 101.0), 101.0)
    assert quarantine.verdict("x") is Verdict.SUSPECT


def test_suspect_runs_one_attempt_at_a_time():
    """Concurrent attempts of a suspect would lose an upstream each."""
    quarantine = Quarantine()
    quarantine.started("x")
    quarantine.started("x")
    assert quarantine.may_run("x", 100.0)
    quarantine.merge(Crash("c1", ("x", "y"), 100.0), 100.0)
    assert not quarantine.may_run("x", 100.0)
    quarantine.ended("x")
    assert not quarantine.may_run("x", 100.0), "one attempt is still in flight"
    quarantine.ended("x")
    assert quarantine.may_run("x", 100.0)
    quarantine.merge(Crash("c2", ("x",), 101.0), 101.0)
    assert not quarantine.may_run("x", 101.0)


def test_crashes_expire_and_late_copies_do_not_revive_them():
    """A content must not stay refused for ever, nor through copies that go round and round."""
    quarantine = _quarantine(("c1", "x"), ("c2", "x"), ttl_s=60.0)
    assert not quarantine.may_run("x", 159.0)
    assert quarantine.may_run("x", 160.0)
    assert not quarantine.merge(Crash("c1", ("x",), 100.0), 160.0)
    assert quarantine.events() == []
    assert not quarantine._records


def test_event_dated_in_the_future_expires_as_any_other():
    """A wrong clock at one agent must not quarantine a content for days."""
    quarantine = Quarantine(ttl_s=60.0)
    quarantine.merge(Crash("c1", ("x",), 1e9), 100.0)
    assert quarantine.may_run("x", 161.0)
    assert quarantine.events() == []


def test_memory_is_bounded_and_keeps_the_newest():
    """A long series of crashes must not fill the memory."""
    quarantine = Quarantine(max_crashes=10)
    for i in range(100):
        quarantine.merge(Crash(f"c{i}", (f"f{i}",), float(i)), 100.0)
    assert sorted(event.at for event in quarantine.events()) == [float(i) for i in range(90, 100)]
    assert len(quarantine._records) == 10


events_lists = st.lists(
    st.builds(
        Crash,
        st.uuids().map(str),
        st.lists(st.sampled_from("wxyz"), min_size=1, max_size=4).map(tuple),
        st.integers(0, 40).map(float),
    ),
    max_size=14,
    unique_by=lambda event: event.crash_id,
)


@given(events=events_lists, data=st.data(), max_crashes=st.integers(1, 14))
def test_order_and_repetition_of_events_do_not_matter(events, data, max_crashes):
    """Entries that heard of the same crashes in another order must agree on every verdict."""
    first, second = Quarantine(30.0, max_crashes), Quarantine(30.0, max_crashes)
    for event in events:
        first.merge(event, 50.0)
    copies = data.draw(st.lists(st.sampled_from(events), max_size=10)) if events else []
    for event in data.draw(st.permutations(events + copies)):
        second.merge(event, 50.0)
    for now in (50.0, 60.0, 75.0):
        first.expire(now)
        second.expire(now)
        assert [first.verdict(f) for f in "wxyz"] == [second.verdict(f) for f in "wxyz"]
        assert {e.crash_id for e in first.events()} == {e.crash_id for e in second.events()}


class OutbreakMachine(RuleBasedStateMachine):
    """One content crashes whatever runs it; one entry sends requests and learns at once."""

    def __init__(self):
        super().__init__()
        self.quarantine = Quarantine()
        self.now = 100.0
        self.lost = 0
        self.tried: set[str] = set()

    @rule(others=st.sets(st.sampled_from("abc"), max_size=3), bad=st.booleans())
    def run_batch(self, others, bad):
        """Runs contents together on one upstream, suspects alone."""
        self.now += 1
        batch = []
        for name in sorted(others) + (["bad"] if bad else []):
            if not self.quarantine.may_run(name, self.now):
                assert name == "bad", "an innocent request is refused"
                continue
            if self.quarantine.verdict(name) is Verdict.SUSPECT:
                self._run([name])
            else:
                batch.append(name)
        self._run(batch)

    def _run(self, names):
        for name in names:
            self.quarantine.started(name)
        if "bad" in names:
            self.lost += 1
            self.quarantine.merge(Crash(f"c{self.lost}", tuple(names), self.now), self.now)
        for name in names:
            if "bad" not in names and len(names) == 1:
                self.quarantine.completed(name)
            self.quarantine.ended(name)

    @invariant()
    def at_most_two_upstreams_are_lost(self):
        assert self.lost <= 2


TestOutbreakMachine = OutbreakMachine.TestCase
