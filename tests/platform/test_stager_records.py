"""The operators' records at a stager."""

import json

import pytest

from fescuechute.feeds import KeyedRecord
from fescuechute.stager import StagerDaemon

ENGINE = {
    "slots": 4,
    "kv_capacity": 1000,
    "step_ms": 8,
    "read_per_s": 1000,
    "models": [{"name": "m"}],
    "chunks": 2,
    "chunk_bytes": 10,
}
CONFIGURATION = {
    "version": 7,
    "routes": [],
    "services": [{"name": "lm", "engine": ENGINE}],
}
RECORDS = {
    "config": KeyedRecord(9, "config", json.dumps(CONFIGURATION).encode()),
    "version": KeyedRecord(5, "version/m", json.dumps({"model": "m", "version": 2}).encode()),
}


@pytest.fixture
def stager(tmp_path):
    settings = {
        "node_name": "side-1",
        "ip": "127.0.0.1",
        "zone": "z",
        "region": "r",
        "zones": {"z": "r"},
        "port_range": [17700, 17715],
        "app": "127.0.0.1:1",
        "service": "lm",
        "limits": {"memory_mb": 168, "max_fds": 1124, "link_mbps": 7.3},
        "platform": {"address": "127.0.0.1:2"},
    }
    path = tmp_path / "node.json"
    path.write_text(json.dumps(settings))
    return StagerDaemon(str(path))


@pytest.mark.parametrize("order", [("config", "version"), ("version", "config")])
def test_declared_version_is_planned_in_any_order_of_the_records(stager, order):
    """Guards against an engine that stays empty because a declaration came before the configuration."""
    for key in order:
        stager._on_operator_record(RECORDS[key])
    assert stager.versions.newest == 2


def test_records_of_a_copy_do_not_bring_back_what_is_gone(stager):
    """Guards against an old origin, an old pending version, and a ring with a replica that is gone."""
    for version, origin in ((8, "10.0.0.8:1"), (7, "10.0.0.7:1"), (9, "10.0.0.9:1")):
        body = {**CONFIGURATION, "version": version, "services": []}
        body["services"].append({"name": "origin", "origin": origin})
        stager._on_operator_record(KeyedRecord(version, "config", json.dumps(body).encode()))
        assert stager._services["origin"].origin.ip == f"10.0.0.{max(8, version)}"
    for offset, version in ((5, 3), (6, 2)):
        body = json.dumps({"model": "m", "version": version}).encode()
        stager._on_operator_record(KeyedRecord(offset, "version/m", body))
    assert stager._declarations["m"][0] == 3
    entry = {"service": "lm", "address": "10.0.0.9:80", "zone": "z", "state": "ready", "born": 5}
    for state, sequence, expected in (
        ("draining", 8, "draining"),
        ("ready", 7, "draining"),
        (None, None, None),
        ("ready", 8, None),
        ("ready", 9, "ready"),
    ):
        body = {**entry, "state": state, "sequence": sequence}
        value = None if state is None else json.dumps(body).encode()
        stager._on_registration(KeyedRecord(1, "i-1", value))
        known = stager._registrations.get("i-1")
        assert (known and known.state) == expected
