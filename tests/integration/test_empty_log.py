"""A system whose log holds no note yet, so that no model is released."""

import time

from tests.harness import Layout, Pool, System, http_json, wait_until


def test_services_are_available_before_the_first_note(fleet):
    """Calls to services need no weights, so they must succeed while the log is empty."""
    system = System(fleet, Layout(pools=(Pool("booking", 1, "service"),))).start()
    port = system.entries[0].port
    wait_until(lambda: http_json("GET", port, "/healthz")[0] == 200, 10, "entry to become ready")
    system.wait_services()
    body = {
        "workspace": "w1",
        "rank": "ordinary",
        "service": "booking",
        "operation": "book",
        "idempotency_key": f"{int(time.time() * 1000)}-before_notes",
    }
    status, answer = http_json("POST", port, "/v1/call", body)
    assert status == 200, answer
    request = {"workspace": "w1", "rank": "ordinary", "model": "assistant", "prompt": "x"}
    status, answer = http_json("POST", port, "/v1/generate", {**request, "max_tokens": 1})
    assert (status, answer["error"]["reason"]) == (404, "unknown_model")
