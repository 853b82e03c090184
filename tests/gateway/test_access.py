"""Access: guards against revoked keys, unknown routes and configurations that go back."""

import pytest

from fescuechute.catalog import (
    Configuration,
    Repeat,
    RequestMeta,
    Route,
    WeightedService,
    Workspace,
)
from fescuechute.errors import Reason
from fescuechute.gateway import AccessControl, Allowed


def configuration(version: int, *keys: str, anonymous: bool = False) -> Configuration:
    route = Route(
        "r", "a.example", "/a/", Repeat.IDEMPOTENT, (WeightedService("app", 1),), 1, 0.2, 0, 2, 2,
        anonymous, False,
    )  # fmt: skip
    return Configuration(version, (route,), {}, workspaces=(Workspace("w", keys, rank=0),))


def judge(access, key="k", path="/a/x", confirmed_at=99.0, now=100.0):
    meta = RequestMeta("id", key, 1.0, None, "", 0, 0, 0)
    return access.judge("a.example", path, meta, confirmed_at, now)


def access_with(*configurations, revoke_s=5.0) -> AccessControl:
    access = AccessControl(revoke_s)
    for item in configurations:
        access.update(item)
    return access


def test_a_known_key_is_allowed_at_the_rank_of_its_workspace():
    """Guards against the rank of the route, which comes second."""
    verdict = judge(access_with(configuration(1, "k")))
    assert verdict == Allowed(verdict.route, "app", "w", 0, 1)


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
    """Guards against requests that no configuration in force allows."""
    assert judge(access, **request_).reason is reason, name


def test_an_older_configuration_is_ignored():
    """Guards against a process that goes back to what was revoked."""
    access = access_with(configuration(7, "k2"), configuration(6, "k"))
    assert judge(access).reason is Reason.UNKNOWN_KEY
    assert isinstance(judge(access, key="k2"), Allowed)


def test_anonymous_routes_need_no_fresh_configuration():
    """Guards against refusals where no key can have been revoked."""
    access = access_with(configuration(1, "k", anonymous=True))
    assert isinstance(judge(access, key=None, confirmed_at=None), Allowed)
