"""Engine stand-in: guards against an engine that hides mixed versions, lost tokens or crashes."""

import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from engine_calls import generate, history, item, load, request, running, state, tokens

from standins.answers import expected_tokens, text_digest
from tests.harness import HttpFailedError, http_json, set_faults, start_engine, wait_until


@pytest.fixture
def port(fleet):
    port = start_engine(fleet, load_s=0.05).port
    load(port, item("m"), item("a", "7", "adapter"))
    return port


def test_answers_are_those_that_checkers_expect(port):
    """Checkers compare every answer with `expected_tokens`; both must agree."""
    status, lines = generate(port, prompt="x", max_tokens=6, adapter="a")
    expected = expected_tokens("m", "1", "a", "7", "x", 6)
    assert (status, tokens(lines)) == (200, expected)
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


def test_resume_goes_on_behind_the_given_tokens(port):
    """A resumed stream with a gap or an overlap would not be the whole answer."""
    expected = expected_tokens("m", "1", "", "", "x", 6)
    _, lines = generate(port, prompt="x", max_tokens=6, resume=expected[:4])
    assert [line["i"] for line in lines[:-1]] == [4, 5]
    assert tokens(lines) == expected[4:]
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
def test_requests_that_cannot_run_are_refused(port, change, status):
    """An engine that answers for weights it does not hold would hide wrong routing."""
    assert generate(port, **change)[0] == status
    assert history(port) == []


def test_running_requests_advance_together_and_others_wait_by_priority(fleet):
    """Service by rank is measured on this order and on the number of slots."""
    port = start_engine(fleet, slots=1, token_interval_ms=5).port
    load(port, item("m"))
    with ThreadPoolExecutor(4) as pool:
        futures = [pool.submit(generate, port, "first", max_tokens=100)]
        running(port, 1)
        for queued, rank in enumerate(("background", "ordinary", "urgent"), 1):
            futures.append(pool.submit(generate, port, rank, priority=rank, max_tokens=2))
            wait_until(lambda n=queued: state(port)["queued"] == n, 5, f"{rank} queued")
        assert all(future.result()[1][-1].get("end") for future in futures)
    order_of_start = [record["request_id"] for record in history(port)]
    assert order_of_start == ["first", "urgent", "ordinary", "background"]


def test_batch_takes_as_long_as_its_longest_request(fleet):
    """Continuous batching: four requests side by side must not take four times as long."""
    interval_s, count = 0.02, 25
    port = start_engine(fleet, slots=4, token_interval_ms=interval_s * 1000).port
    load(port, item("m"))
    started = time.monotonic()
    with ThreadPoolExecutor(4) as pool:
        list(pool.map(lambda n: generate(port, str(n), max_tokens=count), range(4)))
    assert interval_s * (count - 1) <= time.monotonic() - started < 2 * interval_s * count


def test_cancel_ends_running_and_queued_requests(fleet):
    """Requests that the caller gave up on must free their slots at once."""
    port = start_engine(fleet, slots=1, token_interval_ms=20).port
    load(port, item("m"))
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(generate, port, "first", max_tokens=10_000)
        running(port, 1)
        second = pool.submit(generate, port, "second", max_tokens=10_000)
        wait_until(lambda: state(port)["queued"] == 1, 5, "second queued")
        for request_id in ("second", "first"):
            answer = http_json("POST", port, "/cancel", {"request_id": request_id})[1]
            assert answer == {"cancelled": True}
        assert first.result()[1][-1] == {"error": "cancelled"}
        assert second.result() == (409, [{"error": "cancelled"}])
    assert http_json("POST", port, "/cancel", {"request_id": "first"})[1] == {"cancelled": False}
    assert [record["outcome"] for record in history(port)] == ["cancelled"]


def test_request_ends_when_its_caller_disconnects(port):
    """An engine that runs on for nobody would hide missing cancels from the measures."""
    conn = http.client.HTTPConnection("127.0.0.1", port)
    conn.request("POST", "/generate", json.dumps(request(max_tokens=10_000)))
    running(port, 1)
    conn.close()
    running(port, 0)
    assert history(port)[0]["outcome"] == "disconnected"


def test_stalled_requests_get_no_tokens_until_released(port):
    """The deadline on silence is tested with a stream that stops without an end."""
    set_faults(port, stall=True)
    with pytest.raises(HttpFailedError):
        http_json("POST", port, "/generate", request("stalled"), timeout_s=0.3)
    set_faults(port, stall=False)
    assert generate(port, "next")[1][-1]["end"]


def test_load_report_lags(fleet):
    """Routing has to work with reports that are older than its own knowledge."""
    port = start_engine(fleet, report_lag_s=0.6).port
    load(port, item("m"))
    with ThreadPoolExecutor(1) as pool:
        pool.submit(generate, port, max_tokens=10_000)
        running(port, 1)
        started = time.monotonic()
        now = state(port)
        assert (now["running"], now["load_report"]["running"]) == (1, 0)
        wait_until(lambda: state(port)["load_report"]["running"] == 1, 5, "report")
        assert time.monotonic() - started > 0.4
        http_json("POST", port, "/cancel", {"request_id": "r"})


@pytest.mark.parametrize("how", ["option", "fault"])
def test_crash_on_text_ends_the_process_shortly_after_the_start(fleet, how):
    """Quarantine is tested with requests that crash each engine that runs them."""
    engine = start_engine(fleet, crash_on="poison" if how == "option" else "")
    load(engine.port, item("m"))
    if how == "fault":
        set_faults(engine.port, crash_on="poison")
    assert generate(engine.port)[0] == 200
    with pytest.raises(HttpFailedError):
        generate(engine.port, prompt="some poison here", max_tokens=10_000)
    assert engine.wait_end(5) == 70


def test_restart_after_a_crash_is_empty_and_has_a_new_boot_id(fleet, tmp_path):
    """An engine that kept its weights over a crash would hide a missing reload."""
    file = tmp_path / "history"
    engine = start_engine(fleet, history_file=file)
    load(engine.port, item("m"))
    generate(engine.port, "before")
    boot_id = state(engine.port)["boot_id"]
    set_faults(engine.port, crash_now=True)
    assert engine.wait_end(5) == 70
    again = start_engine(fleet, port=engine.port, history_file=file)
    assert (state(again.port)["weights"], state(again.port)["fence"]) == ([], -1)
    assert state(again.port)["boot_id"] != boot_id
    assert generate(again.port)[0] == 404
    records = [json.loads(line) for line in file.read_text().splitlines()]
    assert [(r["request_id"], r["boot_id"], r["outcome"]) for r in records] == [
        ("before", boot_id, None),
        ("before", boot_id, "complete"),
    ]
