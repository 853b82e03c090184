"""Decoding of the platform's records: guards against malformed and unexpected input."""

import json

import pytest

from fescuechute.catalog import (
    Configuration,
    Evacuation,
    RetryPolicy,
    UpstreamState,
    VersionDeclaration,
)
from fescuechute.errors import PlatformError
from fescuechute.platform import (
    decode_operator_record,
    decode_registration,
    decode_report,
    evacuated_data_centre,
    is_operator_record,
)

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


def to_json(value: object) -> bytes:
    return json.dumps(value).encode()


def test_configuration_is_decoded_into_catalog_types():
    """Guards against units and names that are copied from the wire without conversion."""
    decoded = decode_operator_record(
        "config",
        to_json(
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
    assert (route.retry_policy, route.retryable) == (RetryPolicy.STREAM, True)
    assert (route.timeout_s, route.target_latency_s, route.max_event_gap_s) == (6.0, 0.405, 0.4)
    assert decoded.services["lm"].max_connections == 274
    assert decoded.limits.idle_s == 15.0
    assert decoded.workspaces[0].rank == 1


def test_version_declaration_is_decoded_and_other_keys_are_ignored():
    """Guards against failing on record kinds that are not used."""
    declared = decode_operator_record("version/m", to_json({"model": "m", "version": 2}))
    assert declared == VersionDeclaration("m", 2)
    assert decode_operator_record("other", b"\xff") is None


def test_registration_is_decoded():
    """Guards against losing the start time, which tells a replica from its predecessor."""
    entry = decode_registration("i-1", to_json(ENTRY))
    assert (entry.instance, entry.state) == ("i-1", UpstreamState.READY)
    assert entry.born_ms == 1_700_000_000_000
    assert entry.heartbeats == 4
    assert [model.version for model in entry.models] == [1]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("no JSON", b"\xff\xfe"),
        ("no object", b"[]"),
        ("unknown state", to_json({**ENTRY, "state": "asleep"})),
        ("address of another type", to_json({**ENTRY, "address": 7})),
        ("address without port", to_json({**ENTRY, "address": "10.0.0.9"})),
        ("missing service", to_json({key: ENTRY[key] for key in ENTRY if key != "service"})),
        ("slots of another type", to_json({**ENTRY, "slots": "many"})),
        ("models of another type", to_json({**ENTRY, "models": 3})),
        ("number that is a boolean", to_json({**ENTRY, "slots": True})),
    ],
)
def test_malformed_registration_is_rejected(name, value):
    """Guards against sending requests to a replica with a malformed registry entry."""
    with pytest.raises(PlatformError) as caught:
        decode_registration("i-1", value)
    assert "i-1" in str(caught.value), name


def test_report_with_an_empty_layer_range_has_no_model():
    """Guards against requests to an engine that still lists a model it has unloaded."""
    report = {"models": ENTRY["models"], "layers": {"from": 0, "to": 0, "version": 1}}
    assert decode_report(to_json(report)).models == ()


def test_allowed_regions_and_cold_limits_are_decoded():
    """Guards against requests outside their regions, and against floods on replicas that just started."""
    body = {
        "version": 1,
        "routes": [{**ROUTE, "regions_allowed": ["north"]}, ROUTE],
        "services": [{"name": "lm", "cold_s": 3.0, "cold_per_s": 26.0}],
        "tenants": [{"name": "w", "api_keys": ["k"], "regions_allowed": ["south", "north"]}],
    }
    decoded = decode_operator_record("config", to_json(body))
    assert [route.regions for route in decoded.routes] == [frozenset({"north"}), frozenset()]
    assert decoded.workspaces[0].regions == {"south", "north"}
    service = decoded.services["lm"]
    assert (service.cold_s, service.cold_requests_per_s) == (3.0, 26.0)


@pytest.mark.parametrize("regions", ["north", [1], {"north": True}, 3])
def test_configuration_with_malformed_regions_is_rejected(regions):
    """Guards against requests that may go anywhere because their regions could not be read."""
    body = {"version": 1, "routes": [{**ROUTE, "regions_allowed": regions}], "services": []}
    with pytest.raises(PlatformError):
        decode_operator_record("config", to_json(body))


@pytest.mark.parametrize(
    "keys",
    ["secretkey", {"secretkey": 1}, [["secretkey"]], [{"k": "secretkey"}], ["secretkey\ud800"], 7],
)
def test_configuration_with_malformed_keys_is_rejected_without_showing_them(keys):
    """Guards against a text whose letters are taken for keys, and against keys in logs."""
    body = {
        "version": 1,
        "routes": [ROUTE],
        "services": [],
        "tenants": [{"name": "w", "api_keys": keys}],
    }
    with pytest.raises(PlatformError) as error:
        decode_operator_record("config", to_json(body))
    assert "secretkey" not in str(error.value) + error.value.found
    assert "TypeError: " in error.value.found and "key" in error.value.found


@pytest.mark.parametrize("value", [b"{}", b"", b"[", b"null"])
def test_evacuation_is_decoded_whatever_its_value(value):
    """Guards against an evacuation that is ignored because of its value."""
    assert decode_operator_record("evacuate/z", value) == Evacuation("z")
    assert is_operator_record("evacuate/z")
    assert evacuated_data_centre("version/m") is None


def test_cold_time_is_decoded_and_counting_down_does_not_change_an_entry():
    """Guards against heartbeats of a cold replica that are taken for changes and passed on."""
    entries = [
        decode_registration("i", to_json({**ENTRY, "cold_left_ms": left})) for left in (2500, 0)
    ]
    assert [entry.cold_left_s for entry in entries] == [2.5, 0.0]
    assert entries[0] == entries[1]
