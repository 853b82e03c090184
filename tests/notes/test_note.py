"""Note parser tests: no note may be accepted that two readers could interpret differently."""

import json

import pytest
from note_examples import adapter, note, release, withdrawal

from fescuechute.errors import NoteError
from fescuechute.notes import MAX_NOTE_BYTES, Release, Withdrawal, note_to_dict, parse_note

FULL = note(
    set=[release(places=["norte", "sur-1"]), adapter(workspaces=["w1"])],
    withdraw=[withdrawal("old", places=["centro"])],
)


@pytest.mark.parametrize("data", [FULL, json.dumps(FULL).encode()], ids=["object", "bytes"])
def test_note_survives_a_round_trip(data):
    """The published note must equal the written one, without lost or changed keys."""
    parsed = parse_note(data)
    assert note_to_dict(parsed) == FULL
    assert parsed.set[1] == Release(
        "adapter", "grua", "1", "ab" * 32, 1000, ("*",), ("w1",), "carga"
    )
    assert parsed.withdraw == (Withdrawal("model", "old", ("centro",)),)


CASES = {
    "unknown field": (note(extra=1), "extra"),
    "unknown field of a release": (note(set=[release(weight=1)]), "set[0].weight"),
    "missing id": ({k: v for k, v in note().items() if k != "id"}, "id"),
    "missing schema": ({k: v for k, v in note().items() if k != "schema"}, "schema"),
    "unknown schema": (note(schema=2), "schema"),
    "schema as a boolean": (note(schema=True), "schema"),
    "base as a text": (note(base="0"), "base"),
    "base as a boolean": (note(base=True), "base"),
    "negative base": (note(base=-1), "base"),
    "blank author": (note(author=" "), "author"),
    "set is not a list": (note(set={}), "set"),
    "release is not an object": (note(set=["carga"]), "set[0]"),
    "short digest": (note(set=[release(manifest="ab")]), "set[0].manifest"),
    "upper-case digest": (note(set=[release(manifest="AB" * 32)]), "set[0].manifest"),
    "size 0": (note(set=[release(size=0)]), "set[0].size"),
    "size beyond 2**53": (note(set=[release(size=2**60)]), "set[0].size"),
    "unknown kind": (note(set=[release(kind="lora")]), "set[0].kind"),
    "adapter without model": (note(set=[adapter(model="")]), "set[0].model"),
    "model with a model": (note(set=[release(model="x")]), "set[0].model"),
    "empty places": (note(set=[release(places=[])]), "set[0].places"),
    "place twice": (note(set=[release(places=["a", "a"])]), "set[0].places"),
    "star beside a place": (note(set=[release(places=["*", "a"])]), "set[0].places"),
    "empty workspaces": (note(set=[release(workspaces=[])]), "set[0].workspaces"),
    "empty places of a withdrawal": (note(withdraw=[withdrawal(places=[])]), "withdraw[0].places"),
    "release twice": (note(set=[release(), release(version="2")]), "set[1]"),
    "set and withdrawn": (note(set=[release()], withdraw=[withdrawal()]), "withdraw[0]"),
    "declares nothing": (note(set=[], withdraw=[]), ""),
    "not an object": ([1], ""),
    "too large": (note(message="x" * MAX_NOTE_BYTES), ""),
    "not JSON": (b"{", ""),
    "not UTF-8": (b"\xff", ""),
    "too deep": (b"[" * 100_000, ""),
    "repeated key": (b'{"schema":1,"schema":1}', "schema"),
    "lone surrogate": (note(message="\ud800"), ""),
}


@pytest.mark.parametrize(("data", "key"), CASES.values(), ids=CASES.keys())
def test_problem_reports_the_key(data, key):
    """An invalid note must be refused before publication, and the problem must name its key."""
    with pytest.raises(NoteError) as exc_info:
        parse_note(data)
    assert key in [problem.key for problem in exc_info.value.problems]
    assert all(problem.found and problem.remedy for problem in exc_info.value.problems)


def test_all_problems_are_reported_at_once():
    """An operator must not need one attempt per problem."""
    data = note(base=-1, author="", set=[release(size=0), adapter(model="")])
    with pytest.raises(NoteError) as exc_info:
        parse_note(data)
    keys = sorted(problem.key for problem in exc_info.value.problems)
    assert keys == ["author", "base", "set[0].size", "set[1].model"]
