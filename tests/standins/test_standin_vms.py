"""VM list stand-in: guards against a list that is fresher than the platform's."""

import time

from tests.harness import http_json, start_vms, wait_until


def states(port):
    vms = http_json("GET", port, "/vms")[1]["vms"]
    return {vm["id"]: vm["state"] for vm in vms}


def test_changes_become_visible_only_after_the_lag(fleet):
    """Work must stop at a leaving VM although the list does not say so yet."""
    lag_s = 0.4
    port = start_vms(fleet, lag_s=lag_s).port
    for path, body, visible in (
        ("/register", {"id": "a", "role": "agent", "link_port": 7}, {"a": "live"}),
        ("/leave", {"id": "a"}, {"a": "leaving"}),
        ("/remove", {"id": "a"}, {}),
    ):
        before = states(port)
        changed_at = time.monotonic()
        assert http_json("POST", port, path, body)[0] == 200
        assert states(port) == before
        wait_until(lambda visible=visible: states(port) == visible, 5, path)
        assert time.monotonic() - changed_at >= lag_s


def test_vm_objects_have_all_fields_of_the_platform(fleet):
    """A reader that relies on a field must find it as the platform gives it."""
    port = start_vms(fleet).port
    given = {"id": "e", "role": "entry", "link_port": 5, "region": "sur", "data_centre": "s1"}
    http_json("POST", port, "/register", given)
    answer = http_json("GET", port, "/vms")[1]
    assert answer["as_of"] <= time.time()
    expected = {"address": "127.0.0.1", "http_port": 0, "upstream": "", "kind": "", "state": "live"}
    assert answer["vms"] == [given | expected]


def test_bad_changes_are_refused(fleet):
    """A misspelled id in a test must not pass as a VM that left."""
    port = start_vms(fleet).port
    assert http_json("POST", port, "/register", {"id": "a", "role": "agnet"})[0] == 400
    assert http_json("POST", port, "/leave", {"id": "a"})[0] == 404
    http_json("POST", port, "/faults", {"down": True})
    assert http_json("GET", port, "/vms")[0] == 503
