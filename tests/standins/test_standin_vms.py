"""VM list stand-in: changes are delayed, and entries are complete, as on the real platform."""

import time

from tests.harness import http_json, start_vms, wait_until


def vm_states(port):
    vms = http_json("GET", port, "/vms")[1]["vms"]
    return {vm["id"]: vm["state"] for vm in vms}


def test_changes_become_visible_only_after_the_lag(fleet):
    """Without the lag, nothing tests that a VM is drained before the list shows it as leaving."""
    lag_s = 0.4
    port = start_vms(fleet, lag_s=lag_s).port
    for path, body, visible_states in (
        ("/register", {"id": "a", "role": "agent", "link_port": 7}, {"a": "live"}),
        ("/leave", {"id": "a"}, {"a": "leaving"}),
        ("/remove", {"id": "a"}, {}),
    ):
        states_before = vm_states(port)
        changed_at = time.monotonic()
        assert http_json("POST", port, path, body)[0] == 200
        assert vm_states(port) == states_before
        wait_until(lambda visible_states=visible_states: vm_states(port) == visible_states, 5, path)
        assert time.monotonic() - changed_at >= lag_s


def test_vm_objects_have_all_fields(fleet):
    """A registration may omit fields, but the list contains all of them, as on the platform."""
    port = start_vms(fleet).port
    registration = {
        "id": "e",
        "role": "entry",
        "link_port": 5,
        "region": "sur",
        "data_centre": "s1",
    }
    http_json("POST", port, "/register", registration)
    response = http_json("GET", port, "/vms")[1]
    assert response["as_of"] <= time.time()
    defaults = {"address": "127.0.0.1", "http_port": 0, "upstream": "", "kind": "", "state": "live"}
    assert response["vms"] == [registration | defaults]


def test_invalid_changes_are_rejected(fleet):
    """A misspelled id or role in a test must raise an error rather than be ignored."""
    port = start_vms(fleet).port
    assert http_json("POST", port, "/register", {"id": "a", "role": "agnet"})[0] == 400
    assert http_json("POST", port, "/leave", {"id": "a"})[0] == 404
    http_json("POST", port, "/faults", {"down": True})
    assert http_json("GET", port, "/vms")[0] == 503
