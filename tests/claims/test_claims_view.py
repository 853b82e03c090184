"""Fold of a partition, by named cases."""

import pytest

from fescuechute.claims import (
    ClaimRecord,
    ClaimsView,
    Key,
    OutcomeRecord,
    ReleaseRecord,
    Scope,
    ScopeState,
)

AT = 1000.0
SCOPE = Scope("acme", "bookings", Key.parse("1000000-booking_1"))
OTHER = Scope("acme", "bookings", Key.parse("1700000-booking_2"))


def claim(claim_id, scope=SCOPE, digest="d1"):
    return ClaimRecord(claim_id, scope, "book", claim_id[0], digest)


def release(claim_id, holder=None):
    return ReleaseRecord(claim_id, holder or claim_id[0])


def done(claim_id):
    return OutcomeRecord(claim_id, 200, "{}")


def entries(*timed, first=0):
    return [
        {
            "offset": first + i,
            "time": time,
            "id": str(i),
            "data": getattr(r, "to_data", lambda r=r: r)(),
        }
        for i, (time, r) in enumerate(timed)
    ]


def fold(*timed):
    view = ClaimsView(window_s=600.0, skew_s=5.0)
    view.apply(entries(*timed))
    return view


T = AT + 1
HOLDERS = {
    "first_claim_wins": ([claim("a1"), claim("b1")], "a1"),
    "next_after_release": ([claim("a1"), claim("b1"), release("a1")], "b1"),
    "released_loser_is_skipped": (
        [claim("a1"), claim("b1"), claim("c1"), release("b1"), release("a1")],
        "c1",
    ),
    "foreign_release": ([claim("a1"), claim("b1"), release("a1", "b")], "a1"),
    "release_after_outcome": ([claim("a1"), claim("b1"), done("a1"), release("a1")], "a1"),
    "outcome_after_release": ([claim("a1"), release("a1"), done("a1")], None),
    "outcome_of_a_loser": ([claim("a1"), claim("b1"), done("b1"), release("a1")], "b1"),
    "release_before_its_claim": ([release("a1"), claim("a1"), claim("b1")], "b1"),
    "foreign_release_before_claim": ([release("a1", "b"), claim("a1")], "a1"),
    "claim_twice": ([claim("a1"), release("a1"), claim("a1"), claim("b1")], "b1"),
    "invalid_records": ([None, {"type": "claim"}, claim("a1")], "a1"),
}


@pytest.mark.parametrize(("records", "holder"), HOLDERS.values(), ids=HOLDERS)
def test_holder(records, holder):
    """Two processes that read the same records must name the same single holder."""
    view = fold(*((T, record) for record in records))
    assert view.holder(SCOPE) == holder
    sending = [c for c in ("a1", "b1", "c1") if view.may_send(c, SCOPE)]
    assert sending == ([holder] if holder and view.outcome(SCOPE) is None else [])


@pytest.mark.parametrize(
    ("time", "holder"),
    [(AT - 5.1, None), (AT - 5, "a1"), (AT + 600, "a1"), (AT + 600.1, None)],
)
def test_log_time_decides_whether_a_claim_counts(time, holder):
    """A claim outside the window must not count, whatever the clock of its process says."""
    assert fold((time, claim("a1"))).holder(SCOPE) == holder


def test_late_claim_after_the_scope_was_dropped():
    """A claim that arrives when its key is forgotten would execute the call again."""
    view = fold((T, claim("a1")), (T, done("a1")))
    view.apply(entries((AT + 700, claim("c1", OTHER)), first=2))
    assert len(view) == 1
    view.apply(entries((AT + 700, claim("b1")), first=3))
    assert view.holder(SCOPE) is None
    assert not view.may_send("b1", SCOPE)


def test_claim_before_the_skew_and_retention():
    """A claim that retention hides from a complete view must not hold the key anywhere."""
    records = entries((AT - 20, claim("a1")), (AT - 10, claim("z1", OTHER)), (T, claim("b1")))
    whole, cut = ClaimsView(600.0, 5.0), ClaimsView(600.0, 5.0)
    whole.apply(records)
    cut.mark_truncated(1, AT - 10)
    cut.apply(records[1:])
    assert cut.complete_for(SCOPE.key)
    for view in (whole, cut):
        assert [c for c in ("a1", "b1") if view.may_send(c, SCOPE)] == ["b1"]


@pytest.mark.parametrize(("truncated_at", "sends"), [(AT - 5.1, True), (AT - 5, False), (T, False)])
def test_truncated_view(truncated_at, sends):
    """Retention may hide an earlier claim, so a view that is not complete must not send."""
    view = ClaimsView(600.0, 5.0)
    view.mark_truncated(7, truncated_at)
    view.apply(entries((T, claim("a1")), first=7))
    assert view.holder(SCOPE) == "a1"
    assert view.may_send("a1", SCOPE) is sends


def test_hidden_gap_counts_as_truncation():
    """A reader that skipped records without noticing would take a loser for the holder."""
    view = fold((AT - 9, claim("z1", OTHER)))
    view.apply(entries((T, claim("b1")), first=5))
    assert not view.may_send("b1", SCOPE)


def test_status_of_contents():
    """A resend gets the recorded answer; other content under the same key gets none."""
    view = fold((T, claim("a1")))
    assert view.status(OTHER, "d1").state is ScopeState.FREE
    assert view.status(SCOPE, "d1").state is ScopeState.HELD
    view.apply(entries((T, done("a1")), first=1))
    assert view.status(SCOPE, "d1").body == "{}"
    assert view.status(SCOPE, "d2").state is ScopeState.REUSED


def test_odd_log_entries_are_counted():
    """An entry that is not of the agreed form must not stop the fold."""
    view = fold((T, {"type": "claim"}), (T, done("x1")), (T, claim("a1")))
    view.apply([{"time": T}, {"offset": 3, "time": "now"}, {"offset": 1, "time": T, "data": 1}])
    assert view.ignored == 4
    assert view.holder(SCOPE) == "a1"


def test_memory_is_bounded():
    """Keys past their window must not stay in memory."""
    view = ClaimsView(600.0, 5.0)
    for n in range(3000):
        key = Key.parse(f"{(1000 + n) * 1000}-booking_{n}")
        scope = Scope("acme", "bookings", key)
        records = [claim(f"a{n}", scope), release(f"b{n}")]
        view.apply(entries(*((key.at, r) for r in records), first=2 * n))
    assert len(view) <= 661
    assert len(view._claims) <= 661
    assert len(view._early_releases) <= 667
