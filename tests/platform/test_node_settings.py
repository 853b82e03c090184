"""Settings in the platform's format: guards against starting with wrong values."""

import json

import pytest

from fescuechute.errors import SettingsError
from fescuechute.platform import load_node_settings, parse_node_settings

NODE = {
    "node_name": "front-1",
    "ip": "10.1.0.40",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r"},
    "listen_addrs": {"front": "10.1.0.40:8005", "ready_addr": "10.1.0.40:8002"},
    "port_range": [7700, 7715],
    "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 3.65},
    "heartbeat_ms": 1200,
    "bounds": {"strict_revoke": True, "revoke_ms": 5000, "version_ms": 8000},
    "platform": {"address": "10.200.1.7:8007"},
    "a_new_field": {},
}


def test_units_are_converted_and_unknown_keys_ignored(tmp_path):
    """Guards against reading milliseconds as seconds, and against failing on new keys."""
    file = tmp_path / "node.json"
    file.write_text(json.dumps(NODE))
    cfg = load_node_settings(file)
    assert (cfg.service_levels.revoke_s, cfg.service_levels.version_switch_s, cfg.heartbeat_s) == (
        5.0,
        8.0,
        1.2,
    )
    assert cfg.link_bits_s == pytest.approx(3.65e6)
    assert cfg.max_sockets == 3900
    assert str(cfg.client_address) == "10.1.0.40:8005"
    assert cfg.engine_address is None


def test_revocation_limit_is_set_only_with_strict_revoke():
    """Guards against refusing keys in a deployment that does not require strict revocation."""
    bounds = {**NODE["bounds"], "strict_revoke": False}
    assert parse_node_settings({**NODE, "bounds": bounds}, "f").service_levels.revoke_s is None


def test_every_problem_is_listed_with_a_remedy():
    """Guards against reporting only the first problem, which costs one restart for each."""
    broken = {**NODE, "ip": "host.example", "port_range": [9, "x"], "platform": {}}
    del broken["node_name"]
    with pytest.raises(SettingsError) as caught:
        parse_node_settings(broken, "node.json")
    keys = {problem.key for problem in caught.value.problems}
    assert keys == {"node_name", "ip", "port_range", "platform.address"}
    assert all(problem.remedy for problem in caught.value.problems)


@pytest.mark.parametrize("content", ["", "[]", "{"])
def test_file_that_is_not_an_object_is_a_settings_error(tmp_path, content):
    """Guards against a traceback instead of an error message."""
    file = tmp_path / "node.json"
    file.write_text(content)
    with pytest.raises(SettingsError):
        load_node_settings(file)
