"""Weights and prefix cache of the engine stand-in: it must not hide faults of its agent."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from engine_client import (
    BLOB,
    BLOB_DIGEST,
    OTHER_DIGEST,
    generate,
    get_history,
    get_state,
    item,
    load_weights,
    request_body,
    send_order,
    stage_blob,
    token_texts,
    wait_for_running,
)

from standins.answers import expected_tokens
from tests.harness import http_bytes, http_json, set_faults, start_engine, wait_until

LONG_PROMPT = "p" * 640


def loaded_versions(port):
    return {
        (loaded["kind"], loaded["name"], loaded["version"]) for loaded in get_state(port)["weights"]
    }


def loaded_items(*weights):
    return [
        {"kind": kind, "name": name, "version": version, "complete": complete}
        for kind, name, version, complete in weights
    ]


def test_load_order_requires_every_blob_to_be_staged(fleet):
    """An agent that sends a load order before staging completes gets an error."""
    port = start_engine(fleet, load_s=0).port
    assert http_bytes("PUT", port, f"/staging/{BLOB_DIGEST}", BLOB[:-1])[0] == 422
    stage_blob(port)
    status, response = send_order(port, item("m", blobs=[BLOB_DIGEST, OTHER_DIGEST]))
    assert (status, response["missing"]) == (422, [OTHER_DIGEST])
    assert send_order(port, item("m"), item("m", "2"))[0] == 422
    assert (loaded_versions(port), get_state(port)["loading"]) == (set(), False)


def test_partial_weights_show_in_the_history(fleet):
    """With `accept_partial`, the history marks weights as incomplete, so checkers can detect it."""
    port = start_engine(fleet, load_s=0).port
    set_faults(port, accept_partial=True)
    load_weights(port, item("m", blobs=[BLOB_DIGEST, OTHER_DIGEST]))
    generate(port)
    assert get_history(port)[0]["weights_end"] == loaded_items(("model", "m", "1", False))


def test_set_is_replaced_as_a_whole_and_unused_blobs_are_removed(fleet):
    """During a load the engine serves neither the old nor the new set; unused blobs are deleted."""
    port = start_engine(fleet, load_s=0).port
    stage_blob(port, b"other")
    load_weights(port, item("m"), item("old", blobs=[OTHER_DIGEST]))
    set_faults(port, load_s=0.4)
    assert send_order(port, item("m", "2"), item("new", blobs=[]), fence=2, revision=9)[0] == 200
    assert (loaded_versions(port), get_state(port)["loading"]) == (set(), True)
    assert generate(port) == (503, [{"error": "loading"}])
    wait_until(lambda: loaded_versions(port), 5, "new set")
    assert loaded_versions(port) == {("model", "m", "2"), ("model", "new", "1")}
    assert (get_state(port)["fence"], get_state(port)["revision"]) == (2, 9)
    assert http_json("GET", port, "/staging")[1] == {BLOB_DIGEST: len(BLOB)}


def test_newer_order_cancels_the_load_in_progress(fleet):
    """The newer order takes effect even though the older load would complete later."""
    port = start_engine(fleet, load_s=0.3).port
    stage_blob(port)
    send_order(port, item("m", "1"), fence=1)
    set_faults(port, load_s=0)
    send_order(port, item("m", "2"), fence=2)
    wait_until(lambda: loaded_versions(port), 5, "loaded")
    time.sleep(0.4)  # Longer than the older load takes.
    assert loaded_versions(port) == {("model", "m", "2")}


@pytest.mark.parametrize(
    ("enforce", "status", "version"),
    [
        pytest.param(True, 409, "2", id="enforced"),
        pytest.param(False, 200, "1", id="ignored"),
    ],
)
def test_order_with_a_stale_fencing_token(fleet, enforce, status, version):
    """An engine that enforces fencing rejects a stale order, such as one of a paused agent.

    Engines that ignore fencing exist too, and accept it.
    """
    port = start_engine(fleet, load_s=0, enforce_fencing=enforce).port
    load_weights(port, item("m", "2"), fence=5)
    response = send_order(port, item("m", "1"), fence=4)
    assert response[0] == status
    if enforce:
        assert response[1] == {"fence": 5}
    wait_until(lambda: loaded_versions(port) == {("model", "m", version)}, 5, f"version {version}")
    assert send_order(port, item("m", "3"), fence=5)[0] == 200


def test_load_during_a_running_request_mixes_versions(fleet):
    """An engine that drained by itself would hide an agent that does not drain it before a load."""
    port = start_engine(fleet, load_s=0.05, token_interval_ms=20).port
    load_weights(port, item("m", "1"))
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(generate, port, prompt="x", max_tokens=60)
        wait_for_running(port, 1)
        wait_until(lambda: get_history(port)[0]["tokens"] >= 3, 5, "tokens of the first version")
        send_order(port, item("m", "2"), fence=2)
        received = token_texts(future.result()[1])
    old_tokens, new_tokens = (expected_tokens("m", version, "", "", "x", 60) for version in "12")
    switch_index = next(i for i in range(60) if received[i] != old_tokens[i])
    assert (
        0 < switch_index < 60 and received == old_tokens[:switch_index] + new_tokens[switch_index:]
    )
    record = get_history(port)[0]
    assert record["weights_start"] == loaded_items(("model", "m", "1", True))
    assert record["weights_end"] == loaded_items(("model", "m", "2", True))


def test_running_request_fails_when_its_model_is_unloaded(fleet):
    """A stream that neither ended nor failed would leave its caller waiting."""
    port = start_engine(fleet, load_s=0.05).port
    load_weights(port, item("m"))
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(generate, port, max_tokens=10_000)
        wait_for_running(port, 1)
        send_order(port, item("n"), fence=2)
        assert future.result()[1][-1] == {"error": "unloaded"}


def first_token_s(port, prompt):
    started = time.monotonic()
    assert generate(port, prompt=prompt, max_tokens=1)[0] == 200
    return time.monotonic() - started


def test_cached_prefixes_shorten_prefill_within_bounded_memory(fleet):
    """Tests of prefix-affinity routing need a cache that saves prefill time and evicts blocks."""
    port = start_engine(fleet, prefill_us_per_char=1000, cache_blocks=10).port
    full_s = 0.64
    load_weights(port, item("m"))
    assert first_token_s(port, LONG_PROMPT) >= full_s
    assert first_token_s(port, LONG_PROMPT + "q") < full_s
    first_token_s(port, "z" * 640)  # Fills the cache and evicts the first prompt.
    assert first_token_s(port, LONG_PROMPT) >= full_s
    load_weights(port, item("m"), fence=2)
    generate(port, prompt=LONG_PROMPT)  # The load has cleared the cache.
    assert [record["prefilled_chars"] for record in get_history(port)] == [640, 1, 640, 640, 640]


def test_cache_events_are_delayed_and_have_gaps(fleet):
    """A router that relies on receiving every event must fail its tests."""
    port = start_engine(fleet, cache_event_lag_s=0.4, cache_event_gap_every=5).port
    load_weights(port, item("m"))
    generate(port, prompt=LONG_PROMPT)
    stored_at = get_history(port)[0]["start"]
    assert http_json("GET", port, "/cache-events?from=0")[1] == {"next": 0, "events": []}
    response = wait_until(
        lambda: (a := http_json("GET", port, "/cache-events?from=0")[1])["events"] and a,
        5,
        "events",
    )
    assert time.time() >= stored_at + 0.4
    assert [event["n"] for event in response["events"]] == [0, 1, 2, 3, 5, 6, 7, 8]
    assert response["next"] == 10
    assert http_json("GET", port, "/cache-events?from=10")[1]["events"] == []


def test_exported_prefix_is_imported_only_with_the_same_weights(fleet):
    """An imported prefix saves prefill; an engine with other weights rejects the import."""
    ports = [start_engine(fleet, load_s=0).port for _ in range(3)]
    for port, version in zip(ports, "112", strict=True):
        load_weights(port, item("m", version))
    body = json.dumps(request_body(prompt=LONG_PROMPT)).encode()
    assert http_bytes("POST", ports[0], "/kv/export", body)[0] == 404
    generate(ports[0], prompt=LONG_PROMPT)
    status, exported = http_bytes("POST", ports[0], "/kv/export", body)
    assert status == 200
    assert http_bytes("POST", ports[1], "/kv/import", exported)[0] == 200
    assert http_bytes("POST", ports[2], "/kv/import", exported)[0] == 409
    for port, prefilled_chars in zip(ports[1:], (0, 640), strict=True):
        generate(port, prompt=LONG_PROMPT)
        assert get_history(port)[-1]["prefilled_chars"] == prefilled_chars
