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
