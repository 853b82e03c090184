"""Checks of the soak: guards against checks that let a broken rule pass."""

import pytest

from soak import Options
from soak._checks import (
    check_answers,
    check_keys,
    check_log,
    check_replicas,
    check_runs,
    check_versions,
)
from soak._plan import draw_plan
from soak._records import Attempt, Operators, Run


def attempt(path="/a/x", status=200, body=b"echo b", id_="1", ended=True):
    made = Attempt("1", path, "k1", "gateway-0", 0.0, b"b", status, ended=ended)
    made.headers, made.answer = {"X-Fescuechute-Request-Id": id_}, body
    return made


def run(at=1.0, version=None):
    return Run("1", at, "replica-0", version)


@pytest.mark.parametrize(
    ("made", "broken"),
    [
        (attempt(), False),
        (attempt(body=b"echo "), True),
        (attempt(id_="2"), True),
        (attempt("/s/stream", body=b"id: 1\ndata: token 1\n\n"), True),
        (attempt("/s/stream", body=b"id: 1\ndata: token 1\n\n", ended=False), False),
        (attempt(status=502, body=b""), False),
    ],
)
def test_answers(made, broken):
    assert bool(check_answers([made])) == broken


@pytest.mark.parametrize(
    ("made", "runs", "broken"),
    [
        (attempt("/once/x"), [run()], False),
        (attempt("/once/x", 0), [run(), run()], True),
        (attempt(), [run(), run()], False),
        (attempt(status=429), [run()], True),
        (attempt(status=502), [run()], False),
        (attempt(status=503), [], False),
    ],
)
def test_runs(made, runs, broken):
    assert bool(check_runs([made], runs)) == broken


@pytest.mark.parametrize(("at", "broken"), [(14.9, False), (15.1, True)])
def test_bounds_count_from_the_first_acknowledgement(at, broken):
    operators = Operators(revoked={"k1": 10.0}, declared={2: 10.0})
    assert bool(check_keys([attempt()], [run(at)], operators, 5.0)) == broken
    assert bool(check_versions([run(at, version=1)], operators, 5.0)) == broken
    assert not check_versions([run(at, version=2)], operators, 5.0)


@pytest.mark.parametrize(
    ("lines", "rules"),
    [
        ([("configuration", 1), ("configuration", 3)], []),
        ([("configuration", 3), ("configuration", 2)], ["older configuration"]),
        ([("fault", 0)], ["fault"]),
    ],
)
def test_log(lines, rules):
    log = [{"event": event, "version": version, "at": 0.0} for event, version in lines]
    assert [finding.rule for finding in check_log("gateway-0.0", log)] == rules


@pytest.mark.parametrize(("at", "broken"), [(9.9, True), (11.0, False), (12.1, True)])
def test_replica_that_lives_is_not_given_up(at, broken):
    line = {"event": "upstream.gone", "upstream": "replica-0", "at": at}
    assert bool(check_replicas("gateway-0", [line], {"replica-0": [(10.0, 12.0)]})) == broken


def test_plan_is_that_of_its_seed():
    """Guards against findings that cannot be played again."""
    assert draw_plan(Options(7)) == draw_plan(Options(7)) != draw_plan(Options(8))
