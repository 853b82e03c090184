"""Planned stops: guards against requests that are accepted and then cut."""

import attrs
import pytest

from fescuechute.catalog import RetryPolicy, Route, WeightedService
from fescuechute.gateway._drain import Drain

ROUTE = Route(
    "r", "a.example", "/a/", RetryPolicy.IDEMPOTENT, (WeightedService("app", 1),), 6.0, 1.0, 0.4, 0,
    2, False, False,
)  # fmt: skip
ONCE = attrs.evolve(ROUTE, retry_policy=RetryPolicy.ONCE)


@pytest.mark.parametrize(
    ("name", "route", "client_timeout_s", "sent_at", "accepted"),
    [
        ("repeatable, one target left", ROUTE, None, 105.8, True),
        ("repeatable, less than a target left", ROUTE, None, 105.9, False),
        ("not repeatable, four targets left", ONCE, None, 102.8, True),
        ("not repeatable, three targets left", ONCE, None, 103.8, False),
        ("not repeatable, client gives up before", ONCE, 1.5, 103.8, True),
        ("client gives up after the end", ONCE, 3.5, 103.8, False),
    ],
)
def test_request_is_accepted_if_it_can_finish(name, route, client_timeout_s, sent_at, accepted):
    """Guards against a request that is passed on and cut at the end of the grace period."""
    drain = Drain.start(100.0, grace_s=8.0)
    assert drain.can_finish(route, client_timeout_s, sent_at) is accepted, name


def test_answers_have_time_to_be_written_before_the_kill():
    """Guards against answers that are cut because the process ends with its requests."""
    drain = Drain.start(100.0, grace_s=8.0)
    assert drain.accept_until < drain.finish_deadline < drain.close_deadline < 108.0


def test_no_request_is_refused_without_a_stop():
    """Guards against refusals of long requests while no stop is in progress."""
    assert Drain().can_finish(attrs.evolve(ONCE, timeout_s=1e6), None, 1e9)
