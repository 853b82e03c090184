"""Weights of the engine stand-in: guards against an engine that hides mistakes of its agent."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from engine_calls import (
    BLOB,
    HEX,
    OTHER_HEX,
    generate,
    history,
    item,
    load,
    order,
    request,
    running,
    stage,
    state,
    tokens,
)

from standins.answers import expected_tokens
from tests.harness import http_bytes, http_json, set_faults, start_engine, wait_until

LONG_PROMPT = "p" * 640


def names(port):
    return {(item["kind"], item["name"], item["version"]) for item in state(port)["weights"]}


def held(*weights):
    return [
        {"kind": kind, "name": name, "version": version, "complete": complete}
        for kind, name, version, complete in weights
    ]


def test_order_needs_every_blob_staged(fleet):
    """An agent that orders too early must see it."""
    port = start_engine(fleet, load_s=0).port
    assert http_bytes("PUT", port, f"/staging/{HEX}", BLOB[:-1])[0] == 422
    stage(port)
    status, answer = order(port, item("m", blobs=[HEX, OTHER_HEX]))
    assert (status, answer["missing"]) == (422, [OTHER_HEX])
    assert order(port, item("m"), item("m", "2"))[0] == 422
    assert (names(port), state(port)["loading"]) == (set(), False)


def test_partial_weights_show_in_the_history(fleet):
    """The checker for partial weights is itself tested with an engine that serves them."""
    port = start_engine(fleet, load_s=0).port
    set_faults(port, accept_partial=True)
    load(port, item("m", blobs=[HEX, OTHER_HEX]))
    generate(port)
    assert history(port)[0]["weights_end"] == held(("model", "m", "1", False))


def test_set_is_replaced_as_a_whole_and_unused_blobs_are_removed(fleet):
    """While it loads the engine must serve nothing, neither the old set nor the new one."""
    port = start_engine(fleet, load_s=0).port
    stage(port, b"other")
    load(port, item("m"), item("old", blobs=[OTHER_HEX]))
    set_faults(port, load_s=0.4)
    assert order(port, item("m", "2"), item("new", blobs=[]), fence=2, revision=9)[0] == 200
    assert (names(port), state(port)["loading"]) == (set(), True)
    assert generate(port) == (503, [{"error": "loading"}])
    wait_until(lambda: names(port), 5, "new set")
    assert names(port) == {("model", "m", "2"), ("model", "new", "1")}
    assert (state(port)["fence"], state(port)["revision"]) == (2, 9)
    assert http_json("GET", port, "/staging")[1] == {HEX: len(BLOB)}


def test_newer_order_replaces_one_that_is_being_carried_out(fleet):
    """A newer note in mid-flight must win although the older load would end later."""
    port = start_engine(fleet, load_s=0.3).port
    stage(port)
    order(port, item("m", "1"), fence=1)
    set_faults(port, load_s=0)
    order(port, item("m", "2"), fence=2)
    wait_until(lambda: names(port), 5, "loaded")
    time.sleep(0.4)  # The older load would be done by now.
    assert names(port) == {("model", "m", "2")}


@pytest.mark.parametrize(
    ("enforce", "status", "version"),
    [
        pytest.param(True, 409, "2", id="enforced"),
        pytest.param(False, 200, "1", id="ignored"),
    ],
)
def test_order_with_an_old_fence(fleet, enforce, status, version):
    """Both kinds of engine exist; the one that ignores fences obeys a paused agent's order."""
    port = start_engine(fleet, load_s=0, enforce_fencing=enforce).port
    load(port, item("m", "2"), fence=5)
    answer = order(port, item("m", "1"), fence=4)
    assert answer[0] == status
    if enforce:
        assert answer[1] == {"fence": 5}
    wait_until(lambda: names(port) == {("model", "m", version)}, 5, f"version {version}")
    assert order(port, item("m", "3"), fence=5)[0] == 200


def test_change_under_a_running_request_shows_as_a_mix(fleet):
    """An engine that drained by itself would hide an agent that does not."""
    port = start_engine(fleet, load_s=0.05, token_interval_ms=20).port
    load(port, item("m", "1"))
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(generate, port, prompt="x", max_tokens=60)
        running(port, 1)
        wait_until(lambda: history(port)[0]["tokens"] >= 3, 5, "tokens of the first version")
        order(port, item("m", "2"), fence=2)
        received = tokens(future.result()[1])
    old, new = (expected_tokens("m", version, "", "", "x", 60) for version in "12")
    switched_at = next(i for i in range(60) if received[i] != old[i])
    assert 0 < switched_at < 60 and received == old[:switched_at] + new[switched_at:]
    record = history(port)[0]
    assert record["weights_start"] == held(("model", "m", "1", True))
    assert record["weights_end"] == held(("model", "m", "2", True))


def test_running_request_ends_with_an_error_when_its_model_is_gone(fleet):
    """A stream without end and without error would leave its caller waiting."""
    port = start_engine(fleet, load_s=0.05).port
    load(port, item("m"))
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(generate, port, max_tokens=10_000)
        running(port, 1)
        order(port, item("n"), fence=2)
        assert future.result()[1][-1] == {"error": "unloaded"}


def first_token_s(port, prompt):
    started = time.monotonic()
    assert generate(port, prompt=prompt, max_tokens=1)[0] == 200
    return time.monotonic() - started


def test_cached_prefixes_shorten_prefill_within_bounded_memory(fleet):
    """Routing by prefix affinity gains nothing unless the cache is real and limited."""
    port = start_engine(fleet, prefill_us_per_char=1000, cache_blocks=10).port
    full_s = 0.64
    load(port, item("m"))
    assert first_token_s(port, LONG_PROMPT) >= full_s
    assert first_token_s(port, LONG_PROMPT + "q") < full_s
    first_token_s(port, "z" * 640)  # Fills the cache and removes the first prompt.
    assert first_token_s(port, LONG_PROMPT) >= full_s
    load(port, item("m"), fence=2)
    generate(port, prompt=LONG_PROMPT)  # A load empties the cache.
    assert [record["prefilled_chars"] for record in history(port)] == [640, 1, 640, 640, 640]


def test_cache_events_come_late_and_with_gaps(fleet):
    """A router that relies on every event must fail in tests."""
    port = start_engine(fleet, cache_event_lag_s=0.4, cache_event_gap_every=5).port
    load(port, item("m"))
    generate(port, prompt=LONG_PROMPT)
    stored_at = history(port)[0]["start"]
    assert http_json("GET", port, "/cache-events?from=0")[1] == {"next": 0, "events": []}
    answer = wait_until(
        lambda: (a := http_json("GET", port, "/cache-events?from=0")[1])["events"] and a,
        5,
        "events",
    )
    assert time.time() >= stored_at + 0.4
    assert [event["n"] for event in answer["events"]] == [0, 1, 2, 3, 5, 6, 7, 8]
    assert answer["next"] == 10
    assert http_json("GET", port, "/cache-events?from=10")[1]["events"] == []


def test_exported_prefix_warms_another_engine_with_the_same_weights(fleet):
    """A moved stream saves its prefill only there; other weights cannot use the cache."""
    ports = [start_engine(fleet, load_s=0).port for _ in range(3)]
    for port, version in zip(ports, "112", strict=True):
        load(port, item("m", version))
    body = json.dumps(request(prompt=LONG_PROMPT)).encode()
    assert http_bytes("POST", ports[0], "/kv/export", body)[0] == 404
    generate(ports[0], prompt=LONG_PROMPT)
    status, exported = http_bytes("POST", ports[0], "/kv/export", body)
    assert status == 200
    assert http_bytes("POST", ports[1], "/kv/import", exported)[0] == 200
    assert http_bytes("POST", ports[2], "/kv/import", exported)[0] == 409
    for port, prefilled in zip(ports[1:], (0, 640), strict=True):
        generate(port, prompt=LONG_PROMPT)
        assert history(port)[-1]["prefilled_chars"] == prefilled
