"""Decoding of the platform's records: guards against entries of other writers."""

import json

import pytest

from fescuechute.catalog import Configuration, Repeat, UpstreamState, VersionDeclaration
from fescuechute.errors import PlatformError
from fescuechute.platform import decode_operator_record, decode_registration, decode_report

ROUTE = {
    "name": "r",
    "host": "a.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 6000,
    "target_latency_ms": 405,
    "priority": 1,
    "service": "lm",
    "max_attempts": 2,
    "anonymous": False,
    "can_resume": True,
    "gap_aim_ms": 400,
}
ENTRY = {
    "service": "lm",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def body(value: object) -> bytes:
    return json.dumps(value).encode()


def test_configuration_in_the_projects_words():
    """Guards against units and names that are taken as they are on the wire."""
    decoded = decode_operator_record(
        "config",
        body(
            {
                "version": 7,
                "routes": [ROUTE],
                "services": [{"name": "lm", "health_path": "/h", "max_conns": 274}],
                "limits": {"idle_timeout_ms": 15000},
                "tenants": [{"name": "w", "api_keys": ["k"], "priority": 1}],
            }
        ),
    )
    assert isinstance(decoded, Configuration)
    (route,) = decoded.routes
    assert (route.repeat, route.repeatable) == (Repeat.STREAM, True)
    assert (route.timeout_s, route.objective_s, route.pause_s) == (6.0, 0.405, 0.4)
    assert decoded.services["lm"].max_connections == 274
    assert decoded.limits.idle_s == 15.0
    assert decoded.workspaces[0].rank == 1


def test_version_declaration_and_other_records():
    """Guards against records of a kind that is not used."""
    declared = decode_operator_record("version/m", body({"model": "m", "version": 2}))
    assert declared == VersionDeclaration("m", 2)
    assert decode_operator_record("other", b"\xff") is None


def test_registration():
    """Guards against a replica that cannot be told apart from its predecessor."""
    entry = decode_registration("i-1", body(ENTRY))
    assert (entry.instance, entry.state) == ("i-1", UpstreamState.READY)
    assert entry.born_ms == 1_700_000_000_000
    assert [model.version for model in entry.models] == [1]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("no JSON", b"\xff\xfe"),
        ("no object", b"[]"),
        ("unknown state", body({**ENTRY, "state": "asleep"})),
        ("address of another type", body({**ENTRY, "address": 7})),
        ("address without port", body({**ENTRY, "address": "10.0.0.9"})),
        ("missing service", body({key: ENTRY[key] for key in ENTRY if key != "service"})),
        ("slots of another type", body({**ENTRY, "slots": "many"})),
        ("models of another type", body({**ENTRY, "models": 3})),
        ("number that is a boolean", body({**ENTRY, "slots": True})),
    ],
)
def test_malformed_registration_names_no_replica(name, value):
    """Guards against requests to an address that another writer put there."""
    with pytest.raises(PlatformError) as caught:
        decode_registration("i-1", value)
    assert "i-1" in str(caught.value), name


def test_report_without_layers_holds_no_model():
    """Guards against requests to an engine that names its model but has given it up."""
    report = {"models": ENTRY["models"], "layers": {"from": 0, "to": 0, "version": 1}}
    assert decode_report(body(report)).models == ()
