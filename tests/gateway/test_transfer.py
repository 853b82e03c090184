"""Transfers: guards against doubled runs, untrue refusals, mixed streams and lost answers."""

import pytest

from fescuechute.catalog import Repeat
from fescuechute.forwarding import Ended
from tests.gateway.transfers import Case, event
from tests.platform.fields import INSTANCE, LEFT_MS, NOT_RUN, SEAL


def test_an_answer_is_passed_on_unchanged():
    """Guards against changed bodies."""
    case = Case()
    case.calls[0].answers(201, b"done", [SEAL, (b"X-Own", b"1"), (b"Connection", b"close")])
    assert (case.client.status, case.client.body) == (201, b"done")
    assert case.client.headers == [SEAL, (b"X-Own", b"1")]
    assert len(case.results) == 1


@pytest.mark.parametrize(
    ("name", "repeat", "happens", "sent_to", "status"),
    [
        ("once: broken", Repeat.ONCE, lambda c: c.attempt.on_failed(Ended.BROKEN, "reset"), 1, 502),
        ("once: its own failure", Repeat.ONCE, lambda c: c.answers(500, b"e"), 1, 500),
        ("once: unsealed", Repeat.ONCE, lambda c: c.answers(200, b"?", []), 1, 502),
        ("once: not run", Repeat.ONCE, lambda c: c.answers(503, b"", [NOT_RUN]), 2, None),
        (
            "once: no connection",
            Repeat.ONCE,
            lambda c: c.attempt.on_failed(Ended.NOT_CONNECTED, ""),
            2,
            None,
        ),
        ("idempotent: broken", Repeat.IDEMPOTENT, lambda c: c.attempt.on_failed(Ended.BROKEN, ""), 2, None),
        ("idempotent: failure", Repeat.IDEMPOTENT, lambda c: c.answers(500, b"e"), 2, None),
        ("idempotent: unsealed", Repeat.IDEMPOTENT, lambda c: c.answers(200, b"?", []), 2, None),
        ("503 without the replica's word", Repeat.ONCE, lambda c: c.answers(503, b""), 1, 502),
    ],
)  # fmt: skip
def test_what_may_be_sent_again(name, repeat, happens, sent_to, status):
    """Guards against a second run of what must not be repeated."""
    case = Case(repeat)
    happens(case.calls[0])
    assert len(case.calls) == sent_to, name
    assert case.client.status == status, name


def test_refused_everywhere_is_refused_with_a_time_to_come_back():
    """Guards against a refusal that says nothing."""
    case = Case()
    case.calls[0].answers(503, b"", [NOT_RUN])
    case.calls[1].answers(503, b"", [NOT_RUN])
    assert case.client.status == 503
    assert case.client.headers == [(b"Retry-After", b"0.50")]
    assert case.results == [(503, "overloaded", "not_run")]


def test_no_refusal_after_a_run():
    """Guards against 503 for a request that may have run."""
    case = Case()
    case.calls[0].attempt.on_failed(Ended.BROKEN, "reset")
    case.calls[1].answers(503, b"", [NOT_RUN])
    assert case.client.status == 502
    assert case.results[0][2] == "unknown"


def test_the_replicas_failure_is_passed_on_when_nothing_better_comes():
    """Guards against a failure of our own in place of the replica's."""
    case = Case(budget=0)
    case.calls[0].answers(500, b"e", [SEAL])
    assert (case.client.status, case.client.body) == (500, b"e")


def test_a_route_limits_the_replicas():
    """Guards against more replicas than the route allows."""
    case = Case()
    case.calls[0].attempt.on_failed(Ended.BROKEN, "")
    case.calls[1].attempt.on_failed(Ended.BROKEN, "")
    assert len(case.calls) == 2
    assert case.client.status == 502


def test_the_budget_limits_repeats():
    """Guards against a storm of repeats."""
    case = Case(budget=0)
    case.calls[0].attempt.on_failed(Ended.BROKEN, "")
    assert len(case.calls) == 1


def test_the_deadline_ends_the_request():
    """Guards against requests that are kept past the time of their client."""
    case = Case()
    case.wait(4.9)
    assert case.client.end == ""
    case.wait(0.2)
    assert case.client.status == 504
    assert case.calls[0].cancelled


def test_the_time_that_is_left_is_handed_on():
    """Guards against a replica that works for a client that has gone."""
    case = Case()
    case.time += 2.0
    case.calls[0].attempt.on_failed(Ended.BROKEN, "")
    fields = dict(case.calls[1].request.headers)
    assert fields[LEFT_MS] == b"3000"
    assert fields[INSTANCE] == b"u2"


def test_a_client_that_leaves_ends_the_attempt():
    """Guards against work for nobody."""
    case = Case()
    case.client.on_gone()
    assert case.calls[0].cancelled
    assert case.results == [(499, "cancelled", "unknown")]


def test_a_late_outcome_of_an_ended_attempt_is_ignored():
    """Guards against two answers to one request."""
    case = Case()
    first = case.calls[0]
    first.attempt.on_failed(Ended.BROKEN, "")
    first.attempt.on_end()
    case.calls[1].answers(200, b"ok")
    assert (case.client.status, case.client.body, len(case.results)) == (200, b"ok", 1)


class TestStreams:
    """Streams that may be resumed."""

    def case(self, **kwargs) -> Case:
        return Case(Repeat.STREAM, resumable=True, **kwargs)

    def test_events_are_passed_on_whole(self):
        """Guards against a part of an event, which a resumed stream would repeat."""
        case = self.case()
        case.calls[0].streams(event(1), event(2)[:9])
        assert case.client.body == event(1)
        case.calls[0].streams(event(2)[9:])
        assert case.client.body == event(1) + event(2)
        case.calls[0].attempt.on_end()
        assert case.client.end == "ended"

    def test_a_broken_stream_goes_on_behind_the_last_event(self):
        """Guards against missing and doubled events."""
        case = self.case()
        case.calls[0].streams(event(1), event(2), event(3)[:5])
        case.calls[0].attempt.on_failed(Ended.BROKEN, "reset")
        assert dict(case.calls[1].request.headers)[b"Last-Event-Id"] == b"2"
        case.calls[1].streams(event(2), event(3))
        case.calls[1].attempt.on_end()
        assert case.client.body == event(1) + event(2) + event(3)
        assert case.client.end == "ended"

    def test_a_gap_is_not_passed_on(self):
        """Guards against a stream that misses an event and looks whole."""
        case = self.case()
        case.calls[0].streams(event(1))
        case.calls[0].attempt.on_failed(Ended.BROKEN, "reset")
        case.calls[1].streams(event(3))
        assert case.client.body == event(1)
        assert case.client.end == "aborted"

    def test_an_end_within_an_event_is_no_end(self):
        """Guards against a cut answer that looks complete."""
        case = self.case(budget=0)
        case.calls[0].streams(event(1), event(2)[:5])
        case.calls[0].attempt.on_end()
        assert case.client.end == "aborted"

    def test_a_silent_stream_goes_on_elsewhere(self):
        """Guards against clients that give up a stream at a dead replica."""
        case = self.case()
        case.calls[0].streams(event(1))
        case.wait(1.0)
        assert len(case.calls) == 1
        case.wait(0.3)
        assert case.calls[0].cancelled
        assert dict(case.calls[1].request.headers)[b"Last-Event-Id"] == b"1"

    def test_a_stream_that_cannot_be_resumed_ends_visibly(self):
        """Guards against a second run of a stream that must not be repeated."""
        case = Case(Repeat.STREAM, resumable=False)
        case.calls[0].streams(event(1))
        case.calls[0].attempt.on_failed(Ended.BROKEN, "reset")
        assert len(case.calls) == 1
        assert case.client.end == "aborted"

    def test_a_failed_stream_before_its_first_event_is_sent_again(self):
        """Guards against failures that the client need not see."""
        case = self.case()
        case.calls[0].attempt.on_head(200, [SEAL])
        case.calls[0].attempt.on_failed(Ended.BROKEN, "reset")
        case.calls[1].streams(event(1))
        assert case.client.body == event(1)


def test_a_replica_that_does_not_begin_is_reported_once():
    """Guards against more and more requests behind a link that is stuck (hunt, GONE, scale-2)."""
    case = Case(Repeat.STREAM, resumable=True)
    case.wait(1.4)
    assert case.slow == []
    case.wait(0.2)
    case.wait(0.2)
    assert case.slow == ["u1"]
    assert not case.calls[0].cancelled, "it may still answer"


class TestHeldBack:
    """A stream that a replica does not begin although it begins others, or none any more."""

    @pytest.mark.parametrize(
        ("name", "begun", "moves"),
        [
            ("none begins any more", [(0, -2.0, -1.0)], True),
            ("one sent later begins", [(0, 0.6, 1.0)], True),
            ("a more urgent one sent later begins", [(-1, 0.6, 1.0)], False),
            ("one sent before begins", [(0, -1.0, 1.0)], False),
        ],
    )
    def test_goes_elsewhere_only_when_its_turn_is_over(self, name, begun, moves):
        """Guards against both: requests lost at a replica, and repeats of those that only wait."""
        case = Case(Repeat.STREAM, resumable=True)
        row = case.rows[0]
        for rank, sent_s, begun_s in begun:
            row.unanswered["other"] = case.time + sent_s
            row.began("other", rank, case.time + begun_s)
        case.wait(1.6)
        assert case.calls[0].cancelled is moves, name
        assert len(case.calls) == 1 + moves
        if moves:
            case.calls[1].streams(event(1))
            assert case.client.body == event(1)

    def test_stays_where_no_other_replica_has_room(self):
        """Guards against a refusal in place of an answer that may still come."""
        case = Case(Repeat.STREAM, resumable=True, upstreams=1)
        case.rows[0].begun_at = case.time - 1.0
        case.wait(1.6)
        assert not case.calls[0].cancelled

    def test_what_must_not_be_repeated_stays(self):
        """Guards against a request that runs twice."""
        case = Case(Repeat.ONCE)
        case.rows[0].begun_at = case.time - 1.0
        case.wait(1.6)
        assert len(case.calls) == 1


def test_a_stream_that_has_not_begun_is_taken_back_before_its_version_ends():
    """Guards against a request that waits at an engine and begins on old weights (hunt, VERSION)."""
    case = Case(Repeat.STREAM, resumable=True)
    case.take_back = case.time + 0.5
    case.wait(0.4)
    assert not case.calls[0].cancelled
    case.wait(0.2)
    assert case.calls[0].cancelled
    case.take_back = float("inf")
    case.calls[1].streams(event(1))
    assert case.client.body == event(1)


def test_a_stream_that_has_begun_stays_when_its_version_ends():
    """Guards against answers that are broken off: what has begun may end on its version."""
    case = Case(Repeat.STREAM, resumable=True)
    case.calls[0].streams(event(1))
    case.take_back = case.time
    case.wait(0.2)
    assert not case.calls[0].cancelled
