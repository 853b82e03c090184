"""Selection of routes, keys and services: guards against requests at the wrong service."""

import pytest

from fescuechute.catalog import (
    Configuration,
    Repeat,
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
        repeat=Repeat.IDEMPOTENT,
        services=services or (WeightedService("app", 1.0),),
        timeout_s=1.0,
        objective_s=0.2,
        pause_s=0.0,
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
def test_route(name, host, path, expected):
    """Guards against a request on a route that is not its own."""
    found = TABLE.route(host, path)
    assert (found.prefix if found else None) == expected, name


def test_keys_belong_to_their_workspace():
    """Guards against unknown keys."""
    assert TABLE.needs_keys
    assert TABLE.workspace("k2").name == "taller"
    assert TABLE.workspace("k3") is None


def test_split_follows_the_weights_and_is_stable():
    """Guards against a repeat that goes to another service."""
    shared = route("/s/", "a.example", WeightedService("x", 90), WeightedService("y", 10))
    chosen = [split_service(shared, f"r{n}") for n in range(2000)]
    assert chosen == [split_service(shared, f"r{n}") for n in range(2000)]
    assert 0.05 < chosen.count("y") / len(chosen) < 0.15
