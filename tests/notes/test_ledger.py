"""Ledger: guards against verdicts that depend on when or from where the log is read."""

import json

import pytest
from note_examples import note, record, release

from fescuechute.notes import Ledger, ReleaseState, _timeline, fold
from fescuechute.notes._ledger import FOLDED_KEPT


def applied(*records, keep=None):
    ledger = Ledger(keep)
    for item in records:
        ledger.apply(item)
    return ledger


def versions(count, first=0):
    """Returns records of accepted notes that set version 0, 1, 2, ..."""
    return [
        record(i, note(f"n{i}", i, set=[release(version=str(i))]))
        for i in range(first, first + count)
    ]


def test_racing_operators_are_settled_by_log_order():
    """Of two notes on the same base only the first may be accepted, and the loser must show."""
    ledger = applied(
        record(0, note("a", 0, set=[release(version="a")])),
        record(1, note("b", 0, set=[release(version="b")], author="bea")),
    )
    assert ledger.state.get("model", "carga").version == "a"
    assert [(e.note_id, e.accepted, e.revision) for e in ledger.history] == [
        ("a", True, 1),
        ("b", False, 1),
    ]
    assert ledger.history[1].author == "bea"
    assert "base" in ledger.history[1].reason


def test_repeated_append_is_folded_once():
    """An append whose answer was lost may be in the log twice; the second has no verdict."""
    first = record(0, note("a"))
    ledger = applied(first)
    assert ledger.apply({**first, "offset": 1}) == []
    assert (ledger.state.revision, ledger.next_offset, len(ledger.history)) == (1, 2, 1)


def test_reused_id_with_other_content_is_rejected_visibly():
    """Treating it as a repetition would tell its author the verdict of another note."""
    ledger = applied(record(0, note("a")))
    [entry] = ledger.apply(record(1, note("a", 1, set=[release(version="2")])))
    assert not entry.accepted
    assert "offset 0" in entry.reason
    assert ledger.state.revision == 1


def test_record_seen_before_is_ignored():
    """Pulls from several peers overlap."""
    records = versions(3)
    ledger = applied(*records, *records[1:])
    assert (ledger.state.revision, len(ledger.history)) == (3, 3)


MALFORMED = {
    "empty object": {},
    "list": [1],
    "null": None,
    "unknown schema": note(schema=9),
    "snapshot of a wrong type": {"snapshot": 3, "covers": 0},
    "snapshot without covers": {"snapshot": {}},
    "snapshot of the future": {
        "covers": 5,
        "snapshot": {"revision": 0, "offset": -1, "time": 0, "releases": [], "folded": []},
    },
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED.keys())
def test_malformed_record_is_a_rejected_entry(data):
    """One bad record must not stop every process of the fleet."""
    ledger = applied(record(0, note()))
    [entry] = ledger.apply({"offset": 1, "time": 1.0, "id": "bad", "data": data})
    assert not entry.accepted
    assert entry.note_id == "bad"
    assert ledger.state.revision == 1
    ledger.apply(record(2, note("n2", 1, set=[release(version="2")])))
    assert ledger.state.revision == 2


def test_overlong_record_id_is_rejected():
    """Its id would make every later snapshot unreadable."""
    ledger = applied(record(0, note()), record(1, note("n2", 1), id="x" * 1000))
    assert not ledger.history[-1].accepted
    assert applied(record(2, ledger.snapshot(), id="s")).state == ledger.state


def test_reader_inside_the_log_waits_for_a_snapshot():
    """Folding from the middle would reject every note, because no base matches."""
    records = versions(6)
    source = applied(*records[:4])
    late = applied(*records[3:5])
    assert (late.has_base, late.state, list(late.history)) == (False, ReleaseState(), [])
    late.apply(record(5, source.snapshot(), id="s"))
    assert late.has_base
    assert late.is_current
    assert late.state == applied(*records[:5]).state
    assert [entry.note_id for entry in late.history] == ["n4"]


def test_snapshot_with_missing_records_after_it_is_not_used():
    """A note between the snapshot's end and the first retained record would be lost."""
    records = versions(3)
    snapshot = applied(*records[:2]).snapshot()
    late = applied(record(3, snapshot, id="s"))
    assert not late.has_base
    assert late.state.revision == 0


def test_deduplication_survives_a_snapshot():
    """A late repetition must not be judged again after a restart."""
    records = versions(3)
    snapshot = record(3, applied(*records).snapshot(), id="s")
    late = applied(json.loads(json.dumps(snapshot)))
    assert late.apply({**records[1], "offset": 4}) == []
    assert late.snapshot() == applied(*records, snapshot, {**records[1], "offset": 4}).snapshot()


def test_kept_ids_are_bounded():
    """Snapshots carry the ids, so they must not grow without limit."""
    bad = [{"offset": i, "time": 0.0, "id": f"r{i}", "data": {}} for i in range(FOLDED_KEPT + 50)]
    folded = applied(*bad).snapshot()["snapshot"]["folded"]
    assert [item["id"] for item in folded] == [f"r{i}" for i in range(50, FOLDED_KEPT + 50)]


def test_gap_keeps_the_state_until_a_snapshot_arrives():
    """A process that fell behind retention must serve on, and must not judge without its base."""
    records = versions(10)
    ledger = applied(*records[:3], records[7])
    assert (ledger.state.revision, ledger.has_base, ledger.is_current) == (3, True, False)
    ledger.apply(record(8, applied(*records[:7]).snapshot(), id="s"))
    assert (ledger.state.revision, ledger.is_current) == (8, True)


def test_old_snapshot_does_not_move_the_revision_back():
    """A snapshot that was written late must not revert what is in force."""
    records = versions(5)
    old = applied(*records[:2]).snapshot()
    ledger = applied(*records)
    assert ledger.apply(record(5, old, id="s")) == []
    assert ledger.state.revision == 5


def test_forged_snapshot_after_a_gap_does_not_move_the_revision_back():
    """Even a wrong snapshot must not revert what is in force."""
    records = versions(9)
    forged = applied(record(0, note())).snapshot() | {"covers": 7}
    ledger = applied(*records[:3])
    [entry] = ledger.apply(record(8, forged, id="s"))
    assert "back" in entry.reason
    assert ledger.state.revision == 3


def test_disagreeing_snapshot_is_reported_and_ignored():
    """An auditor must see that a process folded the notes differently."""
    records = versions(2)
    other = applied(records[0], record(1, note("n1", 1, set=[release(version="other")])))
    ledger = applied(*records)
    [entry] = ledger.apply(record(2, other.snapshot(), id="s"))
    assert not entry.accepted
    assert "disagrees" in entry.reason
    assert ledger.state.get("model", "carga").version == "1"
    assert ledger.history[-1] == entry


def test_disagreeing_snapshot_is_reported_after_later_notes():
    """The comparison must use the state at the snapshot's end, not the newest one."""
    records = versions(3)
    other = applied(records[0], record(1, note("n1", 1, set=[release(version="other")])))
    ledger = applied(*records)
    [entry] = ledger.apply(record(3, other.snapshot(), id="s"))
    assert "disagrees" in entry.reason


def test_state_at_a_moment():
    """An auditor must get what was in force, including at the exact time of a note."""
    ledger = applied(*[{**item, "time": 100.0 + item["offset"]} for item in versions(3)])
    at = {time: ledger.state_at(time).revision for time in (0, 99.9, 100, 101.5, 1e9)}
    assert at == {0: 0, 99.9: 0, 100: 1, 101.5: 2, 1e9: 3}


def test_state_at_a_moment_before_the_snapshot_is_unknown():
    """An empty state would be a false statement about the past."""
    records = [{**item, "time": 100.0 + item["offset"]} for item in versions(3)]
    late = applied(record(3, applied(*records).snapshot(), id="s", time=200.0))
    assert late.state_at(101.0) is None
    assert late.state_at(102.0).revision == 3
    assert Ledger().state_at(1.0) is None


def test_log_clock_that_steps_back_keeps_the_order():
    """A later note must not be in force before an earlier one."""
    times = [100.0, 90.0, 110.0]
    ledger = applied(*[{**r, "time": t} for r, t in zip(versions(3), times, strict=True)])
    assert ledger.state_at(95.0).revision == 0
    assert ledger.state_at(100.0).revision == 2


def test_bounded_ledger_keeps_the_state():
    """Forgetting old notes must not change what is in force or what later notes get."""
    records = versions(20)
    bounded, full = applied(*records, keep=3), applied(*records)
    assert bounded.state == full.state
    assert len(bounded.history) == 3
    assert bounded.state_at(18.0) == full.state_at(18.0)
    assert bounded.state_at(3.0) is None
    assert bounded.apply(record(20, full.snapshot(), id="s")) == []


def test_questions_about_the_past_fold_few_notes(monkeypatch):
    """Folding a day of notes again would stop the process for longer than its heartbeat."""
    ledger = applied(*versions(300))
    folds = []

    def counted(*args):
        folds.append(args)
        return fold(*args)

    monkeypatch.setattr(_timeline, "fold", counted)
    for time in range(300):
        folds.clear()
        state = ledger.state_at(time)
        assert state.get("model", "carga").version == str(time)
        assert len(folds) < 64


def test_snapshot_needs_a_current_ledger():
    """A snapshot of a gap would hide notes from every later reader."""
    for ledger in (Ledger(), applied(*versions(1, first=5))):
        with pytest.raises(ValueError, match="snapshot"):
            ledger.snapshot()


def test_replay_offset_follows_agreeing_snapshots_only():
    """Trimming up to a wrong snapshot would leave new readers without a usable one."""
    records = versions(4)
    good, bad = applied(*records[:3]).snapshot(), applied(record(0, note("x"))).snapshot()
    ledger = applied(*records)
    assert ledger.replay_from == 0
    ledger.apply(record(4, good, id="s1"))
    ledger.apply(record(5, {**bad, "covers": 4}, id="s2"))
    assert ledger.replay_from == 3
    assert applied(records[3], record(4, good, id="s1")).replay_from == 3
