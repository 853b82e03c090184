"""Fold and state tests: which notes are accepted, and where their releases are declared."""

import pytest
from note_examples import adapter, note, release, withdrawal

from fescuechute.notes import ReleaseState, fold, parse_note


def state_after(*notes):
    """Returns the state after folding notes, all of which must be accepted."""
    state = ReleaseState()
    for offset, data in enumerate(notes):
        verdict = fold(state, offset, 1.0, parse_note(data))
        assert verdict.accepted, verdict.reason
        state = verdict.state
    return state


def test_accepted_note_increments_the_revision():
    """The revision counts accepted notes; the offset is the fencing token of orders."""
    state = state_after(note(), note("n2", 1, set=[release(version="2")]))
    assert (state.revision, state.offset) == (2, 1)
    assert state.get("model", "carga").version == "2"


def test_fold_does_not_modify_its_input_state():
    """Other code may still use the state that was passed to the fold."""
    before = state_after(note())
    fold(before, 5, 1.0, parse_note(note("n2", 1, withdraw=[withdrawal()])))
    assert before.get("model", "carga") is not None


REJECTED = {
    "old base": (note("n2", 0), "base is revision 0, but revision 1"),
    "future base": (note("n2", 7), "base is revision 7"),
    "withdraws the unknown": (note("n2", 1, withdraw=[withdrawal("x")]), "not declared"),
    "withdraws part of a star": (
        note("n2", 1, withdraw=[withdrawal(places=["sur"])]),
        "declared for *",
    ),
    "adapter of an unknown model": (note("n2", 1, set=[adapter(model="x")]), "model x"),
    "other content under the same version": (
        note("n2", 1, set=[release(manifest="cd" * 32)]),
        "another manifest",
    ),
    "withdraws a model in use": (note("n2", 1, withdraw=[withdrawal()]), "Adapter grua"),
}


@pytest.mark.parametrize(("data", "reason"), REJECTED.values(), ids=REJECTED.keys())
def test_rejected_note_changes_nothing(data, reason):
    """A rejected note must leave the state unchanged, and its verdict must give the reason."""
    state = state_after(note(set=[release(), adapter()]))
    verdict = fold(state, 9, 1.0, parse_note(data))
    assert not verdict.accepted
    assert reason in verdict.reason
    assert verdict.state == state


def test_note_that_makes_the_state_too_large_is_rejected():
    """A state too large for a snapshot would be lost when its notes are removed from the log."""
    state = ReleaseState()
    places = [f"place-{i}-{'x' * 200}" for i in range(1000)]
    verdicts = []
    for i in range(5):
        data = note(f"n{i}", state.revision, set=[release(f"m{i}", places=places)])
        verdicts.append(fold(state, i, 1.0, parse_note(data)))
        state = verdicts[-1].state
    assert [verdict.accepted for verdict in verdicts] == [True, True, True, False, False]
    assert "limit" in verdicts[-1].reason


def test_size_does_not_depend_on_the_history():
    """A reader that starts from a snapshot must reach the size limit at the same note."""
    state = state_after(
        note(set=[release(places=["norte", "sur"]), release("b"), adapter()]),
        note("n2", 1, set=[release("b", version="longer")]),
        note("n3", 2, withdraw=[withdrawal(places=["sur"]), withdrawal("grua", "adapter")]),
    )
    assert state.size == ReleaseState(3, 2, state.releases).size > 0


def test_withdrawal_reduces_the_places():
    """A withdrawal from one region must leave the release in the others."""
    state = state_after(
        note(set=[release(places=["norte", "sur"])]),
        note("n2", 1, withdraw=[withdrawal(places=["sur"])]),
    )
    assert state.declared_for("carga", "sur", "sur-1") == ()
    assert state.declared_for("carga", "norte", "norte-1")


def test_withdrawal_of_the_last_place_removes_the_release():
    """A release without places must not remain in the state."""
    state = state_after(
        note(set=[release(places=["norte", "sur"])]),
        note("n2", 1, withdraw=[withdrawal(places=["sur", "norte"])]),
    )
    assert state.releases == {}


PLACES = {
    "star": (["*"], True),
    "region": (["norte"], True),
    "data centre": (["norte-1"], True),
    "other region": (["sur"], False),
    "other data centre": (["norte-2"], False),
}


@pytest.mark.parametrize(("places", "declared"), PLACES.values(), ids=PLACES.keys())
def test_place_matches_region_or_data_centre(places, declared):
    """A release must be declared in exactly the regions and data centres that it lists."""
    state = state_after(note(set=[release(places=places), adapter()]))
    names = [item.name for item in state.declared_for("carga", "norte", "norte-1")]
    assert names == (["carga", "grua"] if declared else [])
    assert state.is_allowed("model", "carga", "w", "norte", "norte-1") is declared
    assert state.is_allowed("adapter", "grua", "w", "norte", "norte-1") is declared


def test_only_adapters_of_the_model_and_place_are_declared():
    """An engine must not load adapters of another model or place."""
    state = state_after(
        note(
            set=[
                release(),
                release("otro"),
                adapter("z"),
                adapter("a"),
                adapter("sur", places=["sur"]),
                adapter("b", model="otro"),
            ]
        )
    )
    names = [item.name for item in state.declared_for("carga", "norte", "norte-1")]
    assert names == ["carga", "a", "z"]
    assert state.declared_for("nada", "norte", "norte-1") == ()


def test_only_listed_workspaces_may_use_a_release():
    """A workspace must not use a release that is declared only for another one."""
    state = state_after(note(set=[release(workspaces=["w1"]), adapter(workspaces=["w2"])]))
    assert state.is_allowed("model", "carga", "w1", "norte", "norte-1")
    assert not state.is_allowed("model", "carga", "w2", "norte", "norte-1")
    assert state.is_allowed("adapter", "grua", "w2", "norte", "norte-1")
    assert not state.is_allowed("adapter", "grua", "w1", "norte", "norte-1")
    assert not state.is_allowed("adapter", "nada", "w1", "norte", "norte-1")
