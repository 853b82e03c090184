"""Settings in the platform's format: guards against a start with wrong figures."""

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


def test_reads_units_and_ignores_new_fields(tmp_path):
    """Guards against milliseconds that are taken for seconds."""
    file = tmp_path / "node.json"
    file.write_text(json.dumps(NODE))
    cfg = load_node_settings(file)
    assert (cfg.promises.revoke_s, cfg.promises.version_s, cfg.heartbeat_s) == (5.0, 8.0, 1.2)
    assert cfg.link_bits_s == pytest.approx(3.65e6)
    assert cfg.sockets == 3900
    assert str(cfg.clients) == "10.1.0.40:8005"
    assert cfg.engine is None


def test_revocation_is_enforced_only_where_it_is_strict():
    """Guards against refusals on a deployment without that promise."""
    bounds = {**NODE["bounds"], "strict_revoke": False}
    assert parse_node_settings({**NODE, "bounds": bounds}, "f").promises.revoke_s is None


def test_lists_every_problem_with_its_remedy():
    """Guards against a file that is corrected one problem at a time."""
    broken = {**NODE, "ip": "host.example", "port_range": [9, "x"], "platform": {}}
    del broken["node_name"]
    with pytest.raises(SettingsError) as caught:
        parse_node_settings(broken, "node.json")
    keys = {problem.key for problem in caught.value.problems}
    assert keys == {"node_name", "ip", "port_range", "platform.address"}
    assert all(problem.remedy for problem in caught.value.problems)


@pytest.mark.parametrize("content", ["", "[]", "{"])
def test_a_file_that_is_no_object(tmp_path, content):
    """Guards against a trace in place of an error."""
    file = tmp_path / "node.json"
    file.write_text(content)
    with pytest.raises(SettingsError):
        load_node_settings(file)
