"""Tests of RouteTable and split_service."""

import pytest

from fescuechute.catalog import (
    Configuration,
    RetryPolicy,
    Route,
    RouteTable,
    WeightedService,
    Workspace,
    split_service,
)


def route(prefix: str, host: str = "a.example", *services: WeightedService) -> Route:
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        retry_policy=RetryPolicy.IDEMPOTENT,
        services=services or (WeightedService("app", 1.0),),
        timeout_s=1.0,
        target_latency_s=0.2,
        max_event_gap_s=0.0,
        rank=0,
        max_upstreams=2,
        anonymous=False,
        resumable=False,
    )


TABLE = RouteTable(
    Configuration(
        1,
        (route("/a/"), route("/a/b/"), route("/", "b.example")),
        {},
        workspaces=(Workspace("taller", ("k1", "k2")),),
    )
)


@pytest.mark.parametrize(
    ("name", "host", "path", "expected"),
    [
        ("longest prefix wins", "a.example", "/a/b/c", "/a/b/"),
        ("shorter prefix", "a.example", "/a/c", "/a/"),
        ("host in another case", "A.Example", "/a/c", "/a/"),
        ("prefix without its slash", "a.example", "/a", None),
        ("other host", "c.example", "/a/c", None),
        ("root prefix", "b.example", "/x", "/"),
    ],
)
def test_route_has_the_longest_matching_prefix(name, host, path, expected):
    """Guards against requests sent to the wrong route."""
    found = TABLE.route(host, path)
    assert (found.prefix if found else None) == expected, name


def test_key_selects_its_workspace():
    """A key must select the workspace that owns it; an unknown key selects none."""
    assert TABLE.needs_keys
    assert TABLE.workspace("k2").name == "taller"
    assert TABLE.workspace("k3") is None


def test_split_follows_the_weights_and_is_stable():
    """A retry with the same request id must go to the same service."""
    split_route = route("/s/", "a.example", WeightedService("x", 90), WeightedService("y", 10))
    selected = [split_service(split_route, f"r{n}") for n in range(2000)]
    assert selected == [split_service(split_route, f"r{n}") for n in range(2000)]
    assert 0.05 < selected.count("y") / len(selected) < 0.15
