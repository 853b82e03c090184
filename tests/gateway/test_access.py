"""Access control: guards against revoked keys, unknown routes and outdated configurations."""

import pytest

from fescuechute.catalog import (
    Configuration,
    RequestMeta,
    RetryPolicy,
    Route,
    WeightedService,
    Workspace,
)
from fescuechute.errors import Reason
from fescuechute.gateway import AccessControl, Allowed


def configuration(version: int, *keys: str, anonymous: bool = False) -> Configuration:
    route = Route(
        "r", "a.example", "/a/", RetryPolicy.IDEMPOTENT, (WeightedService("app", 1),), 1, 0.2, 0, 2,
        2, anonymous, False,
    )  # fmt: skip
    return Configuration(version, (route,), {}, workspaces=(Workspace("w", keys, rank=0),))


def authorize(access, key="k", path="/a/x", confirmed_at=99.0, now=100.0):
    meta = RequestMeta("id", key, 1.0, None, "", 0, 0, 0)
    return access.authorize("a.example", path, meta, confirmed_at, now)


def access_with(*configurations, max_age_s=5.0) -> AccessControl:
    access = AccessControl(max_age_s)
    for item in configurations:
        access.apply(item)
    return access


def test_rank_of_the_workspace_overrides_that_of_the_route():
    """Guards against a known key that runs at the rank of the route."""
    decision = authorize(access_with(configuration(1, "k")))
    assert decision == Allowed(decision.route, "app", "w", 0, 1)


@pytest.mark.parametrize(
    ("name", "access", "request_", "reason"),
    [
        ("no configuration", access_with(), {}, Reason.NOT_READY),
        ("no route", access_with(configuration(1, "k")), {"path": "/b"}, Reason.NOT_FOUND),
        ("unknown key", access_with(configuration(1, "k")), {"key": "x"}, Reason.UNKNOWN_KEY),
        ("no key", access_with(configuration(1, "k")), {"key": None}, Reason.UNKNOWN_KEY),
        (
            "not confirmed for too long",
            access_with(configuration(1, "k")),
            {"confirmed_at": 95.0},
            Reason.STALE_CONFIGURATION,
        ),
        (
            "never confirmed",
            access_with(configuration(1, "k")),
            {"confirmed_at": None},
            Reason.STALE_CONFIGURATION,
        ),
    ],
)
def test_denied(name, access, request_, reason):
    """Guards against requests that the configuration in force does not allow."""
    assert authorize(access, **request_).reason is reason, name


def test_older_configuration_is_ignored():
    """Guards against an outdated configuration that restores revoked keys."""
    access = access_with(configuration(7, "k2"), configuration(6, "k"))
    assert authorize(access).reason is Reason.UNKNOWN_KEY
    assert isinstance(authorize(access, key="k2"), Allowed)


def test_anonymous_route_needs_no_recent_configuration():
    """Guards against refusals for an old configuration on routes that need no key."""
    access = access_with(configuration(1, "k", anonymous=True))
    assert isinstance(authorize(access, key=None, confirmed_at=None), Allowed)
