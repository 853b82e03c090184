"""Evacuated data centres: guards against requests to them, and against evacuations without an end."""

import pytest

from fescuechute.gateway import EvacuationTable

FAR_PAST = float("-inf")


def table_with(*data_centres) -> EvacuationTable:
    table = EvacuationTable()
    for offset, name in enumerate(data_centres):
        assert table.start(name, offset, 10.0, "store")
    return table


def test_evacuation_holds_until_its_end():
    """Guards against an evacuation that nobody can take back, or that a heartbeat ends."""
    table = table_with("a")
    assert not table.start("a", 1, 12.0, "relay"), "repeated by an operator"
    assert table.evacuated["a"].since == 10.0
    assert table.ended_at("a") == FAR_PAST
    assert table.end("a", 2, 15.0)
    assert (table.is_evacuated("a"), table.ended_at("a")) == (False, 15.0)
    assert table.start("a", 3, 20.0, "store")
    assert (table.is_evacuated("a"), table.ended_at("a")) == (True, 15.0)


def test_unknown_data_centre_is_kept():
    """Guards against an evacuation that is forgotten because its replicas register later."""
    assert table_with("unheard-of").is_evacuated("unheard-of")


def test_snapshot_without_the_key_ends_the_evacuation():
    """Guards against a data centre that stays empty after its deletion was compacted away."""
    table = table_with("a", "b")
    assert table.retain(["b"], 9, 15.0) == ["a"]
    assert (table.is_evacuated("a"), table.is_evacuated("b")) == (False, True)
    assert table.ended_at("a") == 15.0


def test_source_that_knows_less_ends_nothing():
    """Guards against requests to an evacuated data centre after a snapshot of a relay that is behind."""
    table = table_with("a", "b", "c")
    assert table.retain([], 2, 15.0) == ["a"]
    assert sorted(table.evacuated) == ["b", "c"]
    assert not table.end("c", 1, 16.0)


def test_record_that_was_superseded_starts_nothing():
    """Guards against an evacuation that an old record of another source brings back."""
    table = table_with("a")
    table.end("a", 4, 15.0)
    assert not table.start("a", 0, 16.0, "relay")
    assert not table.is_evacuated("a")


def test_deletion_without_an_evacuation_is_no_end():
    """Guards against replicas that count as returned, and so as cold, without having been away."""
    table = EvacuationTable()
    assert not table.end("a", 3, 15.0)
    assert (table.ended_at("a"), table.generation) == (FAR_PAST, 0)


@pytest.mark.parametrize(
    ("name", "change", "held", "held_after_expiry"),
    [
        ("lost", lambda table: table.retain([], 9, 20.0, 1), True, False),
        ("in the copy", lambda table: table.start("a", 2, 20.0, "store", 1), True, True),
        ("written again", lambda table: table.start("a", 8, 20.0, "store", 1), True, True),
        ("deleted in the new era", lambda table: table.end("a", 0, 20.0, 1), False, False),
        ("deleted in the old era", lambda table: table.end("a", 90, 20.0, 0), False, False),
        ("kept by a relay", lambda table: table.retain(["a"], 9, 20.0, 1), True, False),
    ],
)
def test_evacuation_from_before_a_return_holds(name, change, held, held_after_expiry):
    """Guards against requests to an evacuated data centre because the store lost its record."""
    table = EvacuationTable()
    table.start("a", 50, 10.0, "store", 0)
    change(table)
    assert table.is_evacuated("a") is held, name
    table.expire(1, 80.0)
    assert table.is_evacuated("a") is held_after_expiry, name
    assert table.is_evacuated("a") or not table.start("a", 50, 81.0, "relay", 0)
