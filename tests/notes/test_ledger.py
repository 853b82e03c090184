"""Ledger tests: verdicts must not depend on when or from which offset the log is read."""

import json

import pytest
from note_examples import note, record, release

from fescuechute.notes import Ledger, ReleaseState, _timeline, fold
from fescuechute.notes._ledger import MAX_FOLDED_RECORDS


def ledger_of(*records, history_limit=None):
    ledger = Ledger(history_limit)
    for item in records:
        ledger.apply(item)
    return ledger


def version_records(count, first=0):
    """Returns records of notes that set version 0, 1, 2, ... and are all accepted."""
    return [
        record(i, note(f"n{i}", i, set=[release(version=str(i))]))
        for i in range(first, first + count)
    ]


def test_conflicting_notes_are_resolved_by_log_order():
    """Of two notes on the same base only the first is accepted; the other is listed as rejected."""
    ledger = ledger_of(
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


def test_duplicate_append_is_folded_once():
    """A retry after a lost answer may append a record twice; the copy must get no verdict."""
    first = record(0, note("a"))
    ledger = ledger_of(first)
    assert ledger.apply({**first, "offset": 1}) == []
    assert (ledger.state.revision, ledger.next_offset, len(ledger.history)) == (1, 2, 1)


def test_reused_id_with_other_content_is_rejected():
    """If it were treated as a duplicate, its author would be told the verdict of another note."""
    ledger = ledger_of(record(0, note("a")))
    [entry] = ledger.apply(record(1, note("a", 1, set=[release(version="2")])))
    assert not entry.accepted
    assert "offset 0" in entry.reason
    assert ledger.state.revision == 1


def test_record_read_before_is_ignored():
    """Records pulled from several peers overlap."""
    records = version_records(3)
    ledger = ledger_of(*records, *records[1:])
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
def test_malformed_record_is_rejected(data):
    """A malformed record must not stop the fold, since every process reads it."""
    ledger = ledger_of(record(0, note()))
    [entry] = ledger.apply({"offset": 1, "time": 1.0, "id": "bad", "data": data})
    assert not entry.accepted
    assert entry.note_id == "bad"
    assert ledger.state.revision == 1
    ledger.apply(record(2, note("n2", 1, set=[release(version="2")])))
    assert ledger.state.revision == 2


def test_overlong_record_id_is_rejected():
    """Snapshots contain the ids, and the parser rejects a snapshot with an overlong id."""
    ledger = ledger_of(record(0, note()), record(1, note("n2", 1), id="x" * 1000))
    assert not ledger.history[-1].accepted
    assert ledger_of(record(2, ledger.snapshot(), id="s")).state == ledger.state


def test_reader_that_starts_in_the_middle_waits_for_a_snapshot():
    """Without the earlier notes every note would be rejected, because no base matches."""
    records = version_records(6)
    source = ledger_of(*records[:4])
    late = ledger_of(*records[3:5])
    assert (late.has_base, late.state, list(late.history)) == (False, ReleaseState(), [])
    late.apply(record(5, source.snapshot(), id="s"))
    assert late.has_base
    assert late.is_current
    assert late.state == ledger_of(*records[:5]).state
    assert [entry.note_id for entry in late.history] == ["n4"]


def test_snapshot_with_missing_records_after_it_is_not_used():
    """A note between the end of the snapshot and the first record read would be lost."""
    records = version_records(3)
    snapshot = ledger_of(*records[:2]).snapshot()
    late = ledger_of(record(3, snapshot, id="s"))
    assert not late.has_base
    assert late.state.revision == 0


def test_deduplication_continues_after_a_snapshot():
    """After a restart from a snapshot, a late duplicate must not get a second verdict."""
    records = version_records(3)
    snapshot = record(3, ledger_of(*records).snapshot(), id="s")
    late = ledger_of(json.loads(json.dumps(snapshot)))
    assert late.apply({**records[1], "offset": 4}) == []
    assert late.snapshot() == ledger_of(*records, snapshot, {**records[1], "offset": 4}).snapshot()


def test_number_of_folded_ids_is_limited():
    """Snapshots contain the ids, so their number must be limited."""
    malformed = [
        {"offset": i, "time": 0.0, "id": f"r{i}", "data": {}}
        for i in range(MAX_FOLDED_RECORDS + 50)
    ]
    folded = ledger_of(*malformed).snapshot()["snapshot"]["folded"]
    assert [item["id"] for item in folded] == [f"r{i}" for i in range(50, MAX_FOLDED_RECORDS + 50)]


def test_gap_keeps_the_state_until_a_snapshot_arrives():
    """After a gap, a process keeps its state but must not give verdicts without a base."""
    records = version_records(10)
    ledger = ledger_of(*records[:3], records[7])
    assert (ledger.state.revision, ledger.has_base, ledger.is_current) == (3, True, False)
    ledger.apply(record(8, ledger_of(*records[:7]).snapshot(), id="s"))
    assert (ledger.state.revision, ledger.is_current) == (8, True)


def test_old_snapshot_does_not_decrease_the_revision():
    """A snapshot that was appended late must not revert the state."""
    records = version_records(5)
    old = ledger_of(*records[:2]).snapshot()
    ledger = ledger_of(*records)
    assert ledger.apply(record(5, old, id="s")) == []
    assert ledger.state.revision == 5


def test_forged_snapshot_after_a_gap_does_not_decrease_the_revision():
    """Even a wrong snapshot must not revert the state."""
    records = version_records(9)
    forged = ledger_of(record(0, note())).snapshot() | {"covers": 7}
    ledger = ledger_of(*records[:3])
    [entry] = ledger.apply(record(8, forged, id="s"))
    assert "back" in entry.reason
    assert ledger.state.revision == 3


def test_disagreeing_snapshot_is_reported_and_ignored():
    """Auditors must be able to see that a process folded the notes differently."""
    records = version_records(2)
    other = ledger_of(records[0], record(1, note("n1", 1, set=[release(version="other")])))
    ledger = ledger_of(*records)
    [entry] = ledger.apply(record(2, other.snapshot(), id="s"))
    assert not entry.accepted
    assert "disagrees" in entry.reason
    assert ledger.state.get("model", "carga").version == "1"
    assert ledger.history[-1] == entry


def test_disagreeing_snapshot_is_reported_after_later_notes():
    """A snapshot must be compared with the state at its end, not with the latest state."""
    records = version_records(3)
    other = ledger_of(records[0], record(1, note("n1", 1, set=[release(version="other")])))
    ledger = ledger_of(*records)
    [entry] = ledger.apply(record(3, other.snapshot(), id="s"))
    assert "disagrees" in entry.reason


def test_state_at_a_time():
    """The state in force must be returned, also at the exact time of a note."""
    ledger = ledger_of(*[{**item, "time": 100.0 + item["offset"]} for item in version_records(3)])
    at = {time: ledger.state_at(time).revision for time in (0, 99.9, 100, 101.5, 1e9)}
    assert at == {0: 0, 99.9: 0, 100: 1, 101.5: 2, 1e9: 3}


def test_state_before_the_snapshot_is_unknown():
    """The state must not be reported as empty when it is unknown."""
    records = [{**item, "time": 100.0 + item["offset"]} for item in version_records(3)]
    late = ledger_of(record(3, ledger_of(*records).snapshot(), id="s", time=200.0))
    assert late.state_at(101.0) is None
    assert late.state_at(102.0).revision == 3
    assert Ledger().state_at(1.0) is None


def test_order_is_kept_when_the_log_clock_steps_back():
    """A note must not be reported as in force before an earlier note."""
    times = [100.0, 90.0, 110.0]
    ledger = ledger_of(*[{**r, "time": t} for r, t in zip(version_records(3), times, strict=True)])
    assert ledger.state_at(95.0).revision == 0
    assert ledger.state_at(100.0).revision == 2


def test_history_limit_does_not_change_the_state():
    """Dropping old notes must affect neither the state nor later verdicts."""
    records = version_records(20)
    limited, full = ledger_of(*records, history_limit=3), ledger_of(*records)
    assert limited.state == full.state
    assert len(limited.history) == 3
    assert limited.state_at(18.0) == full.state_at(18.0)
    assert limited.state_at(3.0) is None
    assert limited.apply(record(20, full.snapshot(), id="s")) == []


def test_queries_of_past_states_fold_few_notes(monkeypatch):
    """Folding a day of notes again would block the process beyond its heartbeat timeout."""
    ledger = ledger_of(*version_records(300))
    fold_calls = []

    def counting_fold(*args):
        fold_calls.append(args)
        return fold(*args)

    monkeypatch.setattr(_timeline, "fold", counting_fold)
    for time in range(300):
        fold_calls.clear()
        state = ledger.state_at(time)
        assert state.get("model", "carga").version == str(time)
        assert len(fold_calls) < 64


def test_snapshot_needs_a_current_ledger():
    """A snapshot with missing notes would hide them from all later readers."""
    for ledger in (Ledger(), ledger_of(*version_records(1, first=5))):
        with pytest.raises(ValueError, match="snapshot"):
            ledger.snapshot()


def test_replay_offset_follows_agreeing_snapshots_only():
    """Removing records up to a wrong snapshot would leave new readers without a usable one."""
    records = version_records(4)
    correct, wrong = ledger_of(*records[:3]).snapshot(), ledger_of(record(0, note("x"))).snapshot()
    ledger = ledger_of(*records)
    assert ledger.replay_from == 0
    ledger.apply(record(4, correct, id="s1"))
    ledger.apply(record(5, {**wrong, "covers": 4}, id="s2"))
    assert ledger.replay_from == 3
    assert ledger_of(records[3], record(4, correct, id="s1")).replay_from == 3
