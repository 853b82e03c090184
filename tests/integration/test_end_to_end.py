"""End to end with real processes: a note rolls out weights and entries answer requests."""

import json
import time

import pytest

from standins.answers import expected_tokens
from tests.harness import Fleet, Layout, Pool, System, http_bytes, http_json, read_lines, wait_until


@pytest.fixture(scope="module")
def system():
    layout = Layout(
        regions=("norte", "centro"),
        pools=(Pool("assistant", 4), Pool("booking", 2, "service")),
        entries=2,
    )
    with Fleet() as fleet:
        running = System(fleet, layout).start()
        running.publish([running.release("assistant", "v1")])
        running.wait_confirmed("v1", 4)
        running.wait_services()
        yield running


def expected_text(prompt: str, count: int, version: str = "v1") -> str:
    return "".join(expected_tokens("assistant", version, "", "", prompt, count))


def generate(**fields):
    body = {"workspace": "w1", "rank": "urgent", "model": "assistant", "prompt": "load plan"}
    return {**body, "max_tokens": 20, **fields}


def new_key(name: str) -> str:
    return f"{int(time.time() * 1000)}-{name:_<12}"


def test_unstreamed_answer_equals_engine_output(system):
    """An answer must be exactly the engine's text for this prompt."""
    for entry in system.entries:
        status, answer = http_json("POST", entry.port, "/v1/generate", generate())
        assert status == 200, answer
        assert answer["text"] == expected_text("load plan", 20)
        assert answer["version"] == "v1"


def test_stream_ends_with_an_end_marker(system):
    """A stream must contain every token once and finish with an explicit end marker."""
    body = generate(prompt="rigging check", max_tokens=50, stream=True)
    status, data = http_bytes("POST", system.entries[0].port, "/v1/generate", _json(body))
    lines = read_lines(data)
    assert status == 200
    assert lines[-1]["end"] is True and lines[-1]["count"] == 50
    assert "".join(line["text"] for line in lines[:-1]) == expected_text("rigging check", 50)


def test_booking_is_executed_once_per_key(system):
    """Calls with one key through two entries must be executed once and get equal results."""
    key = new_key("booking_once")
    body = {
        "workspace": "w1",
        "rank": "urgent",
        "service": "booking",
        "operation": "book",
        "arguments": {"winch": 7},
        "idempotency_key": key,
    }
    answers = [http_json("POST", e.port, "/v1/call", body) for e in system.entries * 2]
    assert [status for status, _ in answers] == [200] * 4, answers
    assert len({str(answer["result"]) for _, answer in answers}) == 1
    executions = 0
    for replica in system.replicas:
        if replica.pool.kind == "service":
            executions += http_json("GET", replica.upstream.port, "/executions")[1].get(key, 0)
    assert executions == 1
    _, recorded = http_json(
        "GET", system.entries[0].port, f"/v1/outcomes/booking/{key}?workspace=w1"
    )
    assert recorded["state"] == "done"


def test_repeatable_call_needs_no_key(system):
    """A repeatable operation must not require an idempotency key."""
    body = {"workspace": "w2", "rank": "ordinary", "service": "booking", "operation": "lookup"}
    status, answer = http_json("POST", system.entries[0].port, "/v1/call", body)
    assert status == 200, answer


def test_rollout_completes_under_load(system):
    """A rollout must reach every replica, and requests and calls must succeed meanwhile."""
    system.publish([system.release("assistant", "v2")])
    deadline = time.monotonic() + 30
    rounds = 0
    while system.confirmed("v2") < 4:
        assert time.monotonic() < deadline, "v2 did not reach all replicas"
        status, answer = http_json("POST", system.entries[0].port, "/v1/generate", generate())
        assert status == 200, answer
        assert answer["text"] == expected_text("load plan", 20, answer["version"])
        body = _json(generate(stream=True))
        status, data = http_bytes("POST", system.entries[1].port, "/v1/generate", body)
        lines = read_lines(data)
        assert status == 200 and lines[-1]["end"] is True, lines
        text = "".join(line["text"] for line in lines[:-1])
        assert text == expected_text("load plan", 20, lines[-1]["version"])
        booking = {
            "workspace": "w1",
            "rank": "urgent",
            "service": "booking",
            "operation": "book",
            "idempotency_key": new_key(f"rollout{rounds}"),
        }
        status, answer = http_json("POST", system.entries[0].port, "/v1/call", booking)
        assert status == 200, answer
        rounds += 1
    assert rounds > 0
    for entry in system.entries:
        wait_until(lambda entry=entry: system.confirmed("v2", entry=entry) == 4, 5, "v2")


INVALID_REQUESTS = [
    pytest.param("/v1/generate", b"{", 400, "malformed_request", id="malformed_json"),
    pytest.param("/v1/generate", b"[]", 400, "malformed_request", id="not_an_object"),
    pytest.param(
        "/v1/generate", generate(color="red"), 400, "malformed_request", id="unknown_field"
    ),
    pytest.param("/v1/generate", generate(model="none"), 404, "unknown_model", id="unknown_model"),
    pytest.param(
        "/v1/generate", generate(adapter="none"), 404, "unknown_adapter", id="unknown_adapter"
    ),
    pytest.param(
        "/v1/generate", generate(workspace="x"), 403, "unknown_workspace", id="unknown_workspace"
    ),
    pytest.param("/v1/generate", generate(rank="vip"), 400, "unknown_rank", id="unknown_rank"),
    pytest.param(
        "/v1/generate",
        generate(deadline_unix_ms=1000),
        400,
        "deadline_in_past",
        id="deadline_in_past",
    ),
    pytest.param("/v1/generate", generate(max_tokens=0), 400, "malformed_request", id="no_tokens"),
    pytest.param(
        "/v1/generate", generate(prompt="x" * 2_000_000), 413, "body_too_large", id="too_large"
    ),
    pytest.param(
        "/v1/call",
        {"workspace": "w1", "rank": "urgent", "service": "x", "operation": "y"},
        404,
        "unknown_service",
        id="unknown_service",
    ),
    pytest.param(
        "/v1/call",
        {"workspace": "w1", "rank": "urgent", "service": "booking", "operation": "book"},
        400,
        "key_missing",
        id="key_missing",
    ),
    pytest.param(
        "/v1/call",
        {
            "workspace": "w1",
            "rank": "urgent",
            "service": "booking",
            "operation": "book",
            "idempotency_key": "abc",
        },
        400,
        "key_malformed",
        id="key_malformed",
    ),
    pytest.param(
        "/v1/call",
        {
            "workspace": "w1",
            "rank": "urgent",
            "service": "booking",
            "operation": "book",
            "idempotency_key": "1000000-old_booking",
        },
        410,
        "key_expired",
        id="key_expired",
    ),
    pytest.param("/v2/none", b"{}", 404, "not_found", id="unknown_path"),
]


@pytest.mark.parametrize(("path", "body", "status", "reason"), INVALID_REQUESTS)
def test_invalid_request_is_refused_with_reason_and_remedy(system, path, body, status, reason):
    """An invalid request must get an error with reason and remedy, and must be counted."""
    data = body if isinstance(body, bytes) else _json(body)
    actual_status, answer = http_bytes("POST", system.entries[0].port, path, data)
    error = _parse(answer)["error"]
    assert (actual_status, error["reason"], error["ran"]) == (status, reason, "not_run")
    assert error["remedy"]
    assert system.status()["counters"][f"refused.{reason}"] >= 1


def _json(body) -> bytes:
    return json.dumps(body).encode()


def _parse(data: bytes):
    return json.loads(data)
