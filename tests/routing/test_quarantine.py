"""Quarantine of request contents that would crash one upstream after another."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuechute.routing import Quarantine, Verdict
from fescuechute.wire import Crash


def _make_quarantine(*crashes, now=100.0, **options):
    quarantine = Quarantine(**options)
    for crash_id, fingerprints in crashes:
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
    """Guards against a third crash by the same content, and against refusing a harmless request."""
    assert _make_quarantine(*events).verdict("x") is verdict


def test_suspect_that_completes_alone_is_clear():
    """Guards against lasting suspicion of a harmless request that ran beside a crashing one."""
    quarantine = _make_quarantine(("c1", "xy"))
    quarantine.clear("x")
    assert quarantine.verdict("x") is Verdict.CLEAR
    assert quarantine.verdict("y") is Verdict.SUSPECT
    quarantine.merge(Crash("c1", ("x", "y"), 100.0), 101.0)
    assert quarantine.verdict("x") is Verdict.CLEAR, "a duplicate is not a new crash"
    quarantine.merge(Crash("c2", ("x", "z"), 102.0), 102.0)
    assert quarantine.verdict("x") is Verdict.SUSPECT


def test_sole_crashes_still_count_after_a_completion():
    """Guards against endless crashes by a content that completes now and then."""
    quarantine = _make_quarantine(("c1", "x"))
    quarantine.clear("x")
    assert quarantine.verdict("x") is Verdict.CLEAR
    quarantine.merge(Crash("c2", ("x",), 101.0), 101.0)
    assert quarantine.verdict("x") is Verdict.QUARANTINED


def test_cleared_sole_crash_and_new_shared_crash_make_a_suspect():
    """Guards against quarantining a content that completed alone; it may run alone once more."""
    quarantine = _make_quarantine(("c1", "x"))
    quarantine.clear("x")
    quarantine.merge(Crash("c2", ("x", "y"), 101.0), 101.0)
    assert quarantine.verdict("x") is Verdict.SUSPECT


def test_suspect_runs_one_attempt_at_a_time():
    """Guards against concurrent attempts of a suspect, each of which could crash an upstream."""
    quarantine = Quarantine()
    quarantine.record_start("x")
    quarantine.record_start("x")
    assert quarantine.may_run("x", 100.0)
    quarantine.merge(Crash("c1", ("x", "y"), 100.0), 100.0)
    assert not quarantine.may_run("x", 100.0)
    quarantine.record_end("x")
    assert not quarantine.may_run("x", 100.0), "one attempt is still in flight"
    quarantine.record_end("x")
    assert quarantine.may_run("x", 100.0)
    quarantine.merge(Crash("c2", ("x",), 101.0), 101.0)
    assert not quarantine.may_run("x", 101.0)


def test_crashes_expire_and_expired_duplicates_are_ignored():
    """Guards against permanent quarantine, also through duplicates that circulate among peers."""
    quarantine = _make_quarantine(("c1", "x"), ("c2", "x"), ttl_s=60.0)
    assert not quarantine.may_run("x", 159.0)
    assert quarantine.may_run("x", 160.0)
    assert not quarantine.merge(Crash("c1", ("x",), 100.0), 160.0)
    assert quarantine.crashes() == []
    assert not quarantine._histories


def test_crash_with_a_future_time_expires_like_any_other():
    """Guards against a quarantine of days because the clock of one agent is ahead."""
    quarantine = Quarantine(ttl_s=60.0)
    quarantine.merge(Crash("c1", ("x",), 1e9), 100.0)
    assert quarantine.may_run("x", 161.0)
    assert quarantine.crashes() == []


def test_only_the_newest_crashes_are_kept():
    """Guards against unbounded memory use during a long series of crashes."""
    quarantine = Quarantine(max_crashes=10)
    for i in range(100):
        quarantine.merge(Crash(f"c{i}", (f"f{i}",), float(i)), 100.0)
    assert sorted(crash.at for crash in quarantine.crashes()) == [float(i) for i in range(90, 100)]
    assert len(quarantine._histories) == 10


crash_lists = st.lists(
    st.builds(
        Crash,
        st.uuids().map(str),
        st.lists(st.sampled_from("wxyz"), min_size=1, max_size=4).map(tuple),
        st.integers(0, 40).map(float),
    ),
    max_size=14,
    unique_by=lambda crash: crash.crash_id,
)


@given(crashes=crash_lists, data=st.data(), max_crashes=st.integers(1, 14))
def test_verdicts_do_not_depend_on_order_or_duplicates(crashes, data, max_crashes):
    """Guards against entries that disagree because they received crashes in different orders."""
    first, second = Quarantine(30.0, max_crashes), Quarantine(30.0, max_crashes)
    for crash in crashes:
        first.merge(crash, 50.0)
    duplicates = data.draw(st.lists(st.sampled_from(crashes), max_size=10)) if crashes else []
    for crash in data.draw(st.permutations(crashes + duplicates)):
        second.merge(crash, 50.0)
    for now in (50.0, 60.0, 75.0):
        first.expire(now)
        second.expire(now)
        assert [first.verdict(f) for f in "wxyz"] == [second.verdict(f) for f in "wxyz"]
        assert {crash.crash_id for crash in first.crashes()} == {
            crash.crash_id for crash in second.crashes()
        }


class CrashingContentMachine(RuleBasedStateMachine):
    """One content crashes every upstream that runs it; the only entry learns of it at once."""

    def __init__(self):
        super().__init__()
        self.quarantine = Quarantine()
        self.now = 100.0
        self.crash_count = 0
        self.tried: set[str] = set()

    @rule(harmless=st.sets(st.sampled_from("abc"), max_size=3), include_bad=st.booleans())
    def run_batch(self, harmless, include_bad):
        """Runs clear contents together on one upstream, and each suspect alone."""
        self.now += 1
        batch = []
        for content in sorted(harmless) + (["bad"] if include_bad else []):
            if not self.quarantine.may_run(content, self.now):
                assert content == "bad", "a harmless request is refused"
                continue
            if self.quarantine.verdict(content) is Verdict.SUSPECT:
                self._run([content])
            else:
                batch.append(content)
        self._run(batch)

    def _run(self, contents):
        for content in contents:
            self.quarantine.record_start(content)
        if "bad" in contents:
            self.crash_count += 1
            self.quarantine.merge(
                Crash(f"c{self.crash_count}", tuple(contents), self.now), self.now
            )
        for content in contents:
            if "bad" not in contents and len(contents) == 1:
                self.quarantine.clear(content)
            self.quarantine.record_end(content)

    @invariant()
    def at_most_two_upstreams_crash(self):
        assert self.crash_count <= 2


TestCrashingContentMachine = CrashingContentMachine.TestCase
