"""Choice of replicas: guards against requests on old weights and on full engines."""

from random import Random

import pytest

from fescuechute.catalog import (
    EngineProfile,
    EngineReport,
    LoadedModel,
    Registration,
    Service,
    UpstreamState,
)
from fescuechute.checks import Address
from fescuechute.gateway import Chooser, Requirements, Shortage, UpstreamTable, VersionTable

PROFILE = EngineProfile(
    16,
    1_180_000,
    0.00887,
    0.00004,
    2e-8,
    19_100,
    1.5e-9,
    5,
    2048,
    977,
    94,
    "m",
    0.3,
    96,
    24_576,
    16,
)
ENGINES = Service("lm", engine=PROFILE)
ZONES = {"here": "r1", "near": "r1", "far": "r2"}


class ChooserHarness:
    """A chooser over engines, given by name with their loaded versions; 0 for none."""

    def __init__(self, bound_s=8.0, **versions):
        self.table = UpstreamTable(ZONES)
        self.versions = VersionTable(bound_s)
        self.chooser = Chooser(self.table, self.versions, "here", "r1", Random(1))
        for name, version in versions.items():
            self.table.register(entry(name, version))

    def choose(self, now=0.0, rank=0, excluded=()):
        requirements = Requirements(ENGINES, "m", 800, rank, frozenset(excluded))
        choice = self.chooser.choose(requirements, now)
        return choice and (choice.row.instance, choice.version)


def entry(name, version, zone="here"):
    models = (LoadedModel("m", version),) if version else ()
    return Registration(
        name, "lm", Address("10.0.0.1", 80), zone, UpstreamState.READY, 16, models, 5
    )


def load(harness, name, running, loading=False, version=1, relative_step_time=1.0):
    models = (LoadedModel("m", version),)
    report = EngineReport(models, loading, 0, 0, running, 0, 0, relative_step_time, 5)
    harness.table.get(name).apply_report(report, 0.0)


def test_engine_without_weights_is_not_chosen():
    """Guards against requests to an engine that has no weights loaded."""
    assert ChooserHarness(a=0).choose() is None
    assert ChooserHarness(a=0, b=1).choose() == ("b", None)


def test_old_version_is_chosen_until_the_bound():
    """Guards against refusals before the bound, and against old weights after it."""
    harness = ChooserHarness(a=1)
    harness.versions.declare("m", 2, earliest_declared_at=10.0)
    assert harness.choose(now=17.0) == ("a", None)
    assert harness.choose(now=17.5) is None
    load(harness, "a", 0, version=2)
    assert harness.choose(now=17.5) == ("a", 2)


def test_declaration_of_an_older_version_is_ignored():
    """Guards against a rollback of the required version by a late record."""
    versions = VersionTable(8.0)
    assert versions.declare("m", 3, 0.0)
    assert not versions.declare("m", 2, 5.0)
    assert versions.required_version("m", 100.0) == 3
    assert versions.required_version("m", 100.0) == 3


def test_loading_engine_is_not_chosen():
    """Guards against requests that wait until an engine has loaded weights."""
    harness = ChooserHarness(a=1, b=1)
    load(harness, "a", 0, loading=True)
    load(harness, "b", 12)
    assert harness.choose() == ("b", None)


@pytest.mark.parametrize(
    ("running", "rank", "accepted"),
    [(13, 2, True), (14, 2, False), (15, 1, True), (16, 1, False), (18, 0, True), (19, 0, False)],
)
def test_less_urgent_ranks_leave_slots_free(running, rank, accepted):
    """Guards against urgent requests that queue behind a flood of less urgent ones."""
    harness = ChooserHarness(a=1)
    load(harness, "a", running)
    assert (harness.choose(rank=rank) is not None) is accepted


def test_lowest_estimated_time_is_chosen():
    """Guards against a slow engine that gets as many requests as the others."""
    harness = ChooserHarness(a=1, b=1)
    load(harness, "a", 4, relative_step_time=4.0)
    load(harness, "b", 8)
    assert harness.choose() == ("b", None)
    assert harness.choose(excluded=("b",)) == ("a", None)


def test_engine_that_fails_requests_is_chosen_last():
    """Guards against a replica that passes its health check but fails its requests."""
    harness = ChooserHarness(a=1, b=1)
    load(harness, "b", 10)
    for _ in range(5):
        harness.table.get("a").record_failure()
    assert harness.choose() == ("b", None)


def test_engine_that_does_not_start_requests_is_not_chosen():
    """Guards against requests that queue at a congested link until their clients have given up."""
    harness = ChooserHarness(a=1, b=1)
    load(harness, "b", running=12)
    assert harness.choose(now=1.0)[0] == "a"
    harness.table.get("a").unstarted["an attempt"] = 0.0
    assert harness.choose(now=1.0)[0] == "b"
    del harness.table.get("a").unstarted["an attempt"]
    assert harness.choose(now=1.0)[0] == "a"


def test_shortage_counts_replicas_by_condition():
    """Guards against refusals whose cause does not show in the log: load, loading, or versions."""
    harness = ChooserHarness(a=1, b=1, c=1, d=1)
    load(harness, "a", running=0, loading=True)
    load(harness, "b", running=20)
    load(harness, "c", running=0)
    harness.table.get("d").record_unreachable(0.0)
    requirements = Requirements(ENGINES, "m", 800, 0, frozenset())
    assert harness.chooser.shortage(requirements, 0.0) == Shortage(4, 3, 2, 1, 0)
    harness.versions.declare("m", 2, earliest_declared_at=-10.0)
    assert harness.chooser.shortage(requirements, 0.0) == Shortage(4, 3, 0, 0, 2)


def test_old_version_gets_no_request_that_would_start_after_the_bound():
    """Guards against a request that waits at a full engine and then starts on old weights."""
    harness = ChooserHarness(a=1)
    harness.versions.declare("m", 2, earliest_declared_at=10.0)
    assert harness.choose(now=16.9) == ("a", None)
    harness.table.get("a").unstarted["an attempt"] = 16.0
    assert harness.choose(now=16.9) is None


def test_unstarted_requests_are_cancelled_before_the_bound():
    """Guards against starts on old weights after the bound, and cancellation on the new version."""
    harness = ChooserHarness(a=1, b=2)
    harness.versions.declare("m", 2, earliest_declared_at=10.0)
    rows = {name: harness.table.get(name) for name in "ab"}
    assert 17.4 < harness.chooser.cancel_unstarted_at(rows["a"], "m") < 18.0
    assert harness.chooser.cancel_unstarted_at(rows["b"], "m") == float("inf")
