"""Answers of agents to service calls."""

import json
from types import SimpleNamespace

import pytest
from blake3 import blake3

from fescuechute.entry._calls import CallHandler
from fescuechute.entry._rows import CallRow
from fescuechute.wire import End

INVALID_STATUSES = ["000", "200", 0, 99, 100, 101, 199, 600, 999, 10**30, True, 200.0, None, [200]]


def end_call(body, claim_id):
    """Returns what happened to a call whose agent answered with a text."""
    events = []
    node = SimpleNamespace(
        dispatcher=SimpleNamespace(
            register_route=lambda *_: None,
            finish=lambda _row: None,
            finish_without_cancel=lambda _row: None,
            requeue_at=lambda *_: events.append("retried"),
        ),
        claims=SimpleNamespace(
            finished=lambda _id, status, _body: events.append(status),
            handle_unknown_outcome=lambda *_, **__: events.append("unknown"),
        ),
        clock=SimpleNamespace(now=lambda: 0.0),
        cfg=SimpleNamespace(retry=SimpleNamespace(max_attempts=2)),
        retry_budget=SimpleNamespace(try_spend=lambda _now: True),
        rng=SimpleNamespace(uniform=lambda _low, high: high, random=lambda: 0.5),
        count=lambda _name: None,
    )
    responder = SimpleNamespace(is_open=True, send_json=lambda status, _body: events.append(status))
    row = CallRow("r", None, responder, "w", "urgent", 9.0, "s", 1.0, req=None, claim_id=claim_id)
    digest = blake3(body.encode()).hexdigest()
    CallHandler(node).handle_end(row, End("r", 1, 0, digest, "", body))
    return events


@pytest.mark.parametrize(("claim_id", "failure"), [("", "retried"), ("e/1", "unknown")])
def test_answer_without_a_valid_status_is_a_failure(claim_id, failure):
    """Guards against a status such as 000 that reaches a caller or the log."""
    for status in INVALID_STATUSES:
        body = json.dumps({"status": status, "item": 1})
        assert end_call(body, claim_id) == [failure], status
    for body in ("{}", "[]", "200", "null", "", "x"):
        assert end_call(body, claim_id) == [failure], body
    for status in (200, 404, 599):
        assert end_call(json.dumps({"status": status}), claim_id) == [status]
