"""Engine stand-in: mixed versions, missing tokens and crashes must be visible to its clients."""

import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from engine_client import (
    generate,
    get_history,
    get_state,
    item,
    load_weights,
    request_body,
    token_texts,
    wait_for_running,
)

from standins.answers import expected_tokens, text_digest
from tests.harness import HttpFailedError, http_json, set_faults, start_engine, wait_until


@pytest.fixture
def port(fleet):
    port = start_engine(fleet, load_s=0.05).port
    load_weights(port, item("m"), item("a", "7", "adapter"))
    return port


def test_output_matches_expected_tokens(port):
    """Checkers rely on `expected_tokens`, which differ between weights and between prompts."""
    status, lines = generate(port, prompt="x", max_tokens=6, adapter="a")
    expected = expected_tokens("m", "1", "a", "7", "x", 6)
    assert (status, token_texts(lines)) == (200, expected)
    assert [line["i"] for line in lines[:-1]] == list(range(6))
    assert lines[-1] == {
        "end": True,
        "count": 6,
        "digest": text_digest(expected),
        "model": "m",
        "version": "1",
        "adapter": "a",
        "adapter_version": "7",
    }
    others = [("m", "2", "a", "7", "x"), ("m", "1", "", "", "x"), ("m", "1", "a", "7", "y")]
    assert all(set(expected_tokens(*other, 6)).isdisjoint(expected) for other in others)


def test_resume_continues_after_the_given_tokens(port):
    """A resumed stream has no gap or overlap, and its digest covers the whole output."""
    expected = expected_tokens("m", "1", "", "", "x", 6)
    _, lines = generate(port, prompt="x", max_tokens=6, resume=expected[:4])
    assert [line["i"] for line in lines[:-1]] == [4, 5]
    assert token_texts(lines) == expected[4:]
    assert (lines[-1]["count"], lines[-1]["digest"]) == (6, text_digest(expected))


@pytest.mark.parametrize(
    ("change", "status"),
    [
        pytest.param({"model": "unknown"}, 404, id="model_not_loaded"),
        pytest.param({"adapter": "unknown"}, 404, id="adapter_not_loaded"),
        pytest.param({"priority": "later"}, 400, id="unknown_priority"),
        pytest.param({"max_tokens": "5"}, 400, id="malformed"),
    ],
)
def test_requests_that_cannot_run_are_rejected(port, change, status):
    """An engine that served requests for weights that it has not loaded would hide misrouting."""
    assert generate(port, **change)[0] == status
    assert get_history(port) == []


def test_queued_requests_start_by_priority_when_a_slot_is_free(fleet):
    """Tests of admission by rank rely on the number of slots and on this start order."""
    port = start_engine(fleet, slots=1, token_interval_ms=5).port
    load_weights(port, item("m"))
    with ThreadPoolExecutor(4) as pool:
        futures = [pool.submit(generate, port, "first", max_tokens=100)]
        wait_for_running(port, 1)
        for queued, rank in enumerate(("background", "ordinary", "urgent"), 1):
            futures.append(pool.submit(generate, port, rank, priority=rank, max_tokens=2))
            wait_until(lambda n=queued: get_state(port)["queued"] == n, 5, f"{rank} queued")
        assert all(future.result()[1][-1].get("end") for future in futures)
    start_order = [record["request_id"] for record in get_history(port)]
    assert start_order == ["first", "urgent", "ordinary", "background"]


def test_batched_requests_run_concurrently(fleet):
    """With continuous batching, four concurrent requests take about as long as one."""
    interval_s, count = 0.02, 25
    port = start_engine(fleet, slots=4, token_interval_ms=interval_s * 1000).port
    load_weights(port, item("m"))
    started = time.monotonic()
    with ThreadPoolExecutor(4) as pool:
        list(pool.map(lambda n: generate(port, str(n), max_tokens=count), range(4)))
    assert interval_s * (count - 1) <= time.monotonic() - started < 2 * interval_s * count


def test_cancel_ends_running_and_queued_requests(fleet):
    """Cancelling a request frees its slot or its place in the queue at once."""
    port = start_engine(fleet, slots=1, token_interval_ms=20).port
    load_weights(port, item("m"))
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(generate, port, "first", max_tokens=10_000)
        wait_for_running(port, 1)
        second = pool.submit(generate, port, "second", max_tokens=10_000)
        wait_until(lambda: get_state(port)["queued"] == 1, 5, "second queued")
        for request_id in ("second", "first"):
            response = http_json("POST", port, "/cancel", {"request_id": request_id})[1]
            assert response == {"cancelled": True}
        assert first.result()[1][-1] == {"error": "cancelled"}
        assert second.result() == (409, [{"error": "cancelled"}])
    assert http_json("POST", port, "/cancel", {"request_id": "first"})[1] == {"cancelled": False}
    assert [record["outcome"] for record in get_history(port)] == ["cancelled"]


def test_request_ends_when_its_caller_disconnects(port):
    """The engine stops generating and records `disconnected` when the client closes."""
    conn = http.client.HTTPConnection("127.0.0.1", port)
    conn.request("POST", "/generate", json.dumps(request_body(max_tokens=10_000)))
    wait_for_running(port, 1)
    conn.close()
    wait_for_running(port, 0)
    assert get_history(port)[0]["outcome"] == "disconnected"


def test_stalled_requests_get_no_tokens_until_the_stall_ends(port):
    """Tests of the idle timeout rely on a stream that stalls without being closed."""
    set_faults(port, stall=True)
    with pytest.raises(HttpFailedError):
        http_json("POST", port, "/generate", request_body("stalled"), timeout_s=0.3)
    set_faults(port, stall=False)
    assert generate(port, "next")[1][-1]["end"]


def test_load_report_is_delayed(fleet):
    """Routing must cope with load reports that are older than its own view of the load."""
    port = start_engine(fleet, report_lag_s=0.6).port
    load_weights(port, item("m"))
    with ThreadPoolExecutor(1) as pool:
        pool.submit(generate, port, max_tokens=10_000)
        wait_for_running(port, 1)
        started = time.monotonic()
        current_state = get_state(port)
        assert (current_state["running"], current_state["load_report"]["running"]) == (1, 0)
        wait_until(lambda: get_state(port)["load_report"]["running"] == 1, 5, "report")
        assert time.monotonic() - started > 0.4
        http_json("POST", port, "/cancel", {"request_id": "r"})


@pytest.mark.parametrize("how", ["option", "fault"])
def test_crash_on_text_exits_shortly_after_the_request_starts(fleet, how):
    """Quarantine tests rely on requests that crash every engine that runs them."""
    engine = start_engine(fleet, crash_on="poison" if how == "option" else "")
    load_weights(engine.port, item("m"))
    if how == "fault":
        set_faults(engine.port, crash_on="poison")
    assert generate(engine.port)[0] == 200
    with pytest.raises(HttpFailedError):
        generate(engine.port, prompt="some poison here", max_tokens=10_000)
    assert engine.wait_exit(5) == 70


def test_engine_restarts_without_weights_and_with_a_new_boot_id(fleet, tmp_path):
    """An engine that kept its weights across a crash would hide a missing reload."""
    file = tmp_path / "history"
    engine = start_engine(fleet, history_file=file)
    load_weights(engine.port, item("m"))
    generate(engine.port, "before")
    boot_id = get_state(engine.port)["boot_id"]
    set_faults(engine.port, crash_now=True)
    assert engine.wait_exit(5) == 70
    restarted_engine = start_engine(fleet, port=engine.port, history_file=file)
    assert (
        get_state(restarted_engine.port)["weights"],
        get_state(restarted_engine.port)["fence"],
    ) == ([], -1)
    assert get_state(restarted_engine.port)["boot_id"] != boot_id
    assert generate(restarted_engine.port)[0] == 404
    records = [json.loads(line) for line in file.read_text().splitlines()]
    assert [(r["request_id"], r["boot_id"], r["outcome"]) for r in records] == [
        ("before", boot_id, None),
        ("before", boot_id, "complete"),
    ]
