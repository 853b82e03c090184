"""Choice and versions: guards against requests on old weights and against full engines."""

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
from fescuechute.gateway import Chooser, Shortage, UpstreamTable, VersionTable, Wanted

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


class Case:
    """Engines by name with their versions."""

    def __init__(self, bound_s=8.0, **versions):
        self.table = UpstreamTable(ZONES)
        self.versions = VersionTable(bound_s)
        self.chooser = Chooser(self.table, self.versions, "here", "r1", Random(1))
        for name, version in versions.items():
            self.table.register(entry(name, version))

    def choose(self, now=0.0, rank=0, excluded=()):
        wanted = Wanted(ENGINES, "m", 800, rank, frozenset(excluded))
        choice = self.chooser.choose(wanted, now)
        return choice and (choice.row.instance, choice.version)


def entry(name, version, zone="here"):
    models = (LoadedModel("m", version),) if version else ()
    return Registration(
        name, "lm", Address("10.0.0.1", 80), zone, UpstreamState.READY, 16, models, 5
    )


def load(case, name, running, loading=False, version=1, pace=1.0):
    models = (LoadedModel("m", version),)
    report = EngineReport(models, loading, 0, 0, running, 0, 0, pace, 5)
    case.table.get(name).report(report, 0.0)


def test_an_empty_engine_serves_nothing():
    """Guards against requests at a replica that holds no weights."""
    assert Case(a=0).choose() is None
    assert Case(a=0, b=1).choose() == ("b", None)


def test_old_versions_serve_until_the_bound():
    """Guards against both: refusals before the bound, and old weights after it."""
    case = Case(a=1)
    case.versions.declare("m", 2, since=10.0)
    assert case.choose(now=17.0) == ("a", None)
    assert case.choose(now=17.5) is None
    load(case, "a", 0, version=2)
    assert case.choose(now=17.5) == ("a", 2)


def test_an_older_declaration_changes_nothing():
    """Guards against a version that goes back."""
    versions = VersionTable(8.0)
    assert versions.declare("m", 3, 0.0)
    assert not versions.declare("m", 2, 5.0)
    assert versions.required("m", 100.0) == 3
    assert versions.required("m", 100.0) == 3


def test_a_loading_engine_is_left_out():
    """Guards against requests that wait for the end of a load."""
    case = Case(a=1, b=1)
    load(case, "a", 0, loading=True)
    load(case, "b", 12)
    assert case.choose() == ("b", None)


@pytest.mark.parametrize(
    ("running", "rank", "taken"),
    [(13, 2, True), (14, 2, False), (15, 1, True), (16, 1, False), (18, 0, True), (19, 0, False)],
)
def test_less_urgent_ranks_leave_slots_free(running, rank, taken):
    """Guards against urgent requests that wait behind a flood."""
    case = Case(a=1)
    load(case, "a", running)
    assert (case.choose(rank=rank) is not None) is taken


def test_the_least_expected_time_wins():
    """Guards against a slow engine that gets as much as the others."""
    case = Case(a=1, b=1)
    load(case, "a", 4, pace=4.0)
    load(case, "b", 8)
    assert case.choose() == ("b", None)
    assert case.choose(excluded=("b",)) == ("a", None)


def test_an_engine_that_fails_requests_is_chosen_last():
    """Guards against a replica whose health check is good while its requests fail."""
    case = Case(a=1, b=1)
    load(case, "b", 10)
    for _ in range(5):
        case.table.get("a").failed()
    assert case.choose() == ("b", None)


def test_an_engine_that_does_not_begin_is_passed_over():
    """Guards against requests that queue in front of a squeezed link and arrive after their clients left."""
    case = Case(a=1, b=1)
    load(case, "b", running=12)
    assert case.choose(now=1.0)[0] == "a"
    case.table.get("a").unanswered["an attempt"] = 0.0
    assert case.choose(now=1.0)[0] == "b"
    del case.table.get("a").unanswered["an attempt"]
    assert case.choose(now=1.0)[0] == "a"


def test_a_refusal_says_what_was_short():
    """Guards against refusals whose cause on-call engineers cannot tell: load, loads, or versions."""
    case = Case(a=1, b=1, c=1, d=1)
    load(case, "a", running=0, loading=True)
    load(case, "b", running=20)
    load(case, "c", running=0)
    case.table.get("d").unreachable(0.0)
    wanted = Wanted(ENGINES, "m", 800, 0, frozenset())
    assert case.chooser.shortage(wanted, 0.0) == Shortage(4, 3, 2, 1, 0)
    case.versions.declare("m", 2, since=-10.0)
    assert case.chooser.shortage(wanted, 0.0) == Shortage(4, 3, 0, 0, 2)


def test_an_old_version_gets_nothing_that_would_begin_too_late():
    """Guards against a request that waits at a full engine and begins on old weights (hunt, VERSION)."""
    case = Case(a=1)
    case.versions.declare("m", 2, since=10.0)
    assert case.choose(now=16.9) == ("a", None)
    case.table.get("a").unanswered["an attempt"] = 16.0
    assert case.choose(now=16.9) is None


def test_what_has_not_begun_is_taken_back_before_the_bound():
    """Guards against both: old weights behind the bound, and newer ones that give requests back."""
    case = Case(a=1, b=2)
    case.versions.declare("m", 2, since=10.0)
    rows = {name: case.table.get(name) for name in "ab"}
    assert 17.4 < case.chooser.take_back_at(rows["a"], "m") < 18.0
    assert case.chooser.take_back_at(rows["b"], "m") == float("inf")
