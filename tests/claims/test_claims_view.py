"""Fold of one partition."""

import math

import pytest

from fescuechute.claims import (
    ClaimRecord,
    ClaimsView,
    EraRecord,
    Key,
    OutcomeRecord,
    ReleaseRecord,
    Scope,
    ScopeState,
)

KEY_TIME = 1000.0
SCOPE = Scope("acme", "bookings", Key.parse("1000000-booking_1"))
OTHER_SCOPE = Scope("acme", "bookings", Key.parse("1700000-booking_2"))


def claim(claim_id, scope=SCOPE, digest="d1"):
    return ClaimRecord(claim_id, scope, "book", claim_id[0], digest)


def release(claim_id, holder=None):
    return ReleaseRecord(claim_id, holder or claim_id[0])


def outcome(claim_id):
    return OutcomeRecord(claim_id, 200, "{}")


def log_records(*timed_records, first_offset=0):
    return [
        {
            "offset": first_offset + i,
            "time": time,
            "id": str(i),
            "data": getattr(record, "to_data", lambda record=record: record)(),
        }
        for i, (time, record) in enumerate(timed_records)
    ]


def fold(*timed_records):
    view = ClaimsView(window_s=600.0, skew_s=5.0)
    view.apply(log_records(*timed_records))
    return view


LOG_TIME = KEY_TIME + 1
HOLDING_CLAIMS = {
    "first_claim_wins": ([claim("a1"), claim("b1")], "a1"),
    "next_after_release": ([claim("a1"), claim("b1"), release("a1")], "b1"),
    "released_loser_is_skipped": (
        [claim("a1"), claim("b1"), claim("c1"), release("b1"), release("a1")],
        "c1",
    ),
    "foreign_release": ([claim("a1"), claim("b1"), release("a1", "b")], "a1"),
    "release_after_outcome": ([claim("a1"), claim("b1"), outcome("a1"), release("a1")], "a1"),
    "outcome_after_release": ([claim("a1"), release("a1"), outcome("a1")], None),
    "outcome_of_a_loser": ([claim("a1"), claim("b1"), outcome("b1"), release("a1")], "b1"),
    "release_before_its_claim": ([release("a1"), claim("a1"), claim("b1")], "b1"),
    "foreign_release_before_claim": ([release("a1", "b"), claim("a1")], "a1"),
    "claim_twice": ([claim("a1"), release("a1"), claim("a1"), claim("b1")], "b1"),
    "invalid_records": ([None, {"type": "claim"}, claim("a1")], "a1"),
}


@pytest.mark.parametrize(
    ("records", "holding_claim_id"), HOLDING_CLAIMS.values(), ids=HOLDING_CLAIMS
)
def test_holding_claim(records, holding_claim_id):
    """Processes that read the same records must agree on one holding claim."""
    view = fold(*((LOG_TIME, record) for record in records))
    assert view.holding_claim_id(SCOPE) == holding_claim_id
    may_send = [c for c in ("a1", "b1", "c1") if view.may_send(c, SCOPE)]
    assert may_send == (
        [holding_claim_id] if holding_claim_id and view.outcome(SCOPE) is None else []
    )


@pytest.mark.parametrize(
    ("time", "holding_claim_id"),
    [
        (KEY_TIME - 5.1, None),
        (KEY_TIME - 5, "a1"),
        (KEY_TIME + 600, "a1"),
        (KEY_TIME + 600.1, None),
    ],
)
def test_claim_has_an_effect_only_within_its_window(time, holding_claim_id):
    """Only the log time decides whether a claim is in its window, not the clock of its process."""
    assert fold((time, claim("a1"))).holding_claim_id(SCOPE) == holding_claim_id


def test_claim_after_its_scope_was_dropped():
    """A claim that is appended after its scope left memory must not execute the call again."""
    view = fold((LOG_TIME, claim("a1")), (LOG_TIME, outcome("a1")))
    view.apply(log_records((KEY_TIME + 700, claim("c1", OTHER_SCOPE)), first_offset=2))
    assert len(view) == 1
    view.apply(log_records((KEY_TIME + 700, claim("b1")), first_offset=3))
    assert view.holding_claim_id(SCOPE) is None
    assert not view.may_send("b1", SCOPE)


def test_claim_earlier_than_the_skew_has_no_effect():
    """A claim that a complete view may lack because of retention must not hold the scope."""
    records = log_records(
        (KEY_TIME - 20, claim("a1")),
        (KEY_TIME - 10, claim("z1", OTHER_SCOPE)),
        (LOG_TIME, claim("b1")),
    )
    full, truncated = ClaimsView(600.0, 5.0), ClaimsView(600.0, 5.0)
    full.apply(records)
    truncated.mark_truncated(1, KEY_TIME - 10)
    truncated.apply(records[1:])
    assert truncated.complete_for(SCOPE.key)
    for view in (full, truncated):
        assert [c for c in ("a1", "b1") if view.may_send(c, SCOPE)] == ["b1"]


@pytest.mark.parametrize(
    ("truncated_at", "sends"), [(KEY_TIME - 5.1, True), (KEY_TIME - 5, False), (LOG_TIME, False)]
)
def test_incomplete_view_does_not_send(truncated_at, sends):
    """An earlier claim may have been removed by retention, so an incomplete view must not send."""
    view = ClaimsView(600.0, 5.0)
    view.mark_truncated(7, truncated_at)
    view.apply(log_records((LOG_TIME, claim("a1")), first_offset=7))
    assert view.holding_claim_id(SCOPE) == "a1"
    assert view.may_send("a1", SCOPE) is sends


@pytest.mark.parametrize(
    ("records", "answered_at", "complete_since"),
    [
        pytest.param([], 1500.0, 1500.0, id="answer"),
        pytest.param([EraRecord(2, 2000.0, "e", 1)], 1500.0, LOG_TIME, id="log_time_of_record"),
        pytest.param([EraRecord(2, 900.0, "e", 1)], 1500.0, 900.0, id="renewed_record"),
        pytest.param([EraRecord(1, 900.0, "e", 1)], 1500.0, 1500.0, id="record_of_earlier_era"),
        pytest.param([EraRecord(3, 900.0, "e", 1)], 1500.0, 1500.0, id="record_of_later_era"),
    ],
)
def test_view_after_a_return_is_complete_since_its_bound(records, answered_at, complete_since):
    """A bound below the time of the return would let a key of the lost stretch run again."""
    view = ClaimsView(600.0, 5.0, era=2)
    assert view.complete_since == math.inf
    view.bound_return(answered_at)
    view.apply(log_records(*((LOG_TIME, record) for record in records)))
    assert view.complete_since == complete_since


@pytest.mark.parametrize(
    ("era", "records", "body"),
    [
        pytest.param(1, [outcome("a1"), claim("a1")], "{}", id="before_its_claim"),
        pytest.param(1, [outcome("a1"), release("a1"), claim("a1")], "{}", id="late_release"),
        pytest.param(1, [release("a1"), outcome("a1"), claim("a1")], "", id="released"),
        pytest.param(0, [outcome("a1"), claim("a1")], "", id="without_a_return"),
    ],
)
def test_outcome_before_its_claim(era, records, body):
    """After a return an agent may append an outcome before the entry appends the claim again."""
    view = ClaimsView(600.0, 5.0, era=era)
    view.apply(log_records(*((LOG_TIME, record) for record in records)))
    assert view.status(SCOPE, "d1").body == body


def test_offset_gap_is_treated_as_truncation():
    """A skipped record may be an earlier claim, so a later claim must not be allowed to send."""
    view = fold((KEY_TIME - 9, claim("z1", OTHER_SCOPE)))
    view.apply(log_records((LOG_TIME, claim("b1")), first_offset=5))
    assert not view.may_send("b1", SCOPE)


def test_status_depends_on_the_content():
    """A resend gets the recorded answer; a request with other content must not get it."""
    view = fold((LOG_TIME, claim("a1")))
    assert view.status(OTHER_SCOPE, "d1").state is ScopeState.FREE
    assert view.status(SCOPE, "d1").state is ScopeState.HELD
    view.apply(log_records((LOG_TIME, outcome("a1")), first_offset=1))
    assert view.status(SCOPE, "d1").body == "{}"
    assert view.status(SCOPE, "d2").state is ScopeState.REUSED


def test_invalid_log_records_are_counted():
    """A malformed record must not stop the fold."""
    view = fold((LOG_TIME, {"type": "claim"}), (LOG_TIME, outcome("x1")), (LOG_TIME, claim("a1")))
    view.apply(
        [
            {"time": LOG_TIME},
            {"offset": 3, "time": "now"},
            {"offset": 1, "time": LOG_TIME, "data": 1},
        ]
    )
    assert view.ignored_records == 4
    assert view.holding_claim_id(SCOPE) == "a1"


def test_memory_is_bounded():
    """Scopes past their window must be removed from memory."""
    view = ClaimsView(600.0, 5.0)
    for n in range(3000):
        key = Key.parse(f"{(1000 + n) * 1000}-booking_{n}")
        scope = Scope("acme", "bookings", key)
        records = [claim(f"a{n}", scope), release(f"b{n}")]
        view.apply(log_records(*((key.created_at, r) for r in records), first_offset=2 * n))
    assert len(view) <= 661
    assert len(view._claims) <= 661
    assert len(view._early_releases) <= 667
