"""List, show and audit: guards against a history that differs from the log."""

import json

import pytest
from cli_examples import note

from fescuechute.cli import ExitCode
from fescuechute.notes import Ledger


@pytest.fixture
def history(log):
    """A log with two accepted notes at 1001 and 1003 and a rejected one between them."""
    log.add(note("n1", 0, "1"))
    log.add(note("n2", 0, "2", author="bea"))
    log.add(note("n3", 1, "3"))
    log.now = 2000.0
    return log


def with_snapshot(log):
    """Adds a snapshot, then lets all earlier records age out."""
    ledger = Ledger()
    for record in log.records:
        ledger.apply(record)
    log.add(ledger.snapshot(), id="s1")
    log.oldest = len(log.records) - 1


def test_list_shows_each_verdict(run, history):
    """An auditor must see rejected notes and their reasons."""
    code, out, err = run("note", "list", "--log", history.address)
    lines = out.splitlines()
    assert (code, err, len(lines)) == (ExitCode.DONE, "", 3)
    assert [line.split("  ")[2:5] for line in lines] == [
        ["accepted", "revision 1", "n1"],
        ["rejected", "revision 1", "n2"],
        ["accepted", "revision 2", "n3"],
    ]
    assert "bea" in lines[1]
    assert "revision 1 is in force" in lines[1]


def test_log_address_comes_from_the_environment(run, history, monkeypatch):
    """The variable that the help names must work."""
    monkeypatch.setenv("FESCUECHUTE_LOG", history.address)
    assert run("note", "list")[0] == ExitCode.DONE


def test_control_characters_do_not_reach_the_terminal(run, log):
    """A message must not be able to hide lines of the list."""
    log.add(note("n1", 0, message="a\x1b[2Jb\nc <b>d</b>"))
    _, out, _ = run("note", "list", "--log", log.address)
    assert out.endswith("a\\x1b[2Jb\\nc <b>d</b>\n")


MOMENTS = {
    "before the first note": ("1000.5", 0),
    "at a note": ("1001", 1),
    "after a rejected note": ("1002.5", 1),
    "after the last note": ("1500", 2),
    "ISO text in UTC": ("1970-01-01T00:16:42Z", 1),
    "ISO text without offset": ("1970-01-01T00:16:43", 2),
    "ISO text with offset": ("1970-01-01T02:16:42+02:00", 1),
}


@pytest.mark.parametrize(("moment", "revision"), MOMENTS.values(), ids=MOMENTS.keys())
def test_show_tells_what_was_in_force(run, history, moment, revision):
    """An auditor must get the state of any past moment from the log alone."""
    code, out, _ = run("note", "show", "--at", moment, "--json", "--log", history.address)
    shown = json.loads(out)
    assert (code, shown["revision"]) == (ExitCode.DONE, revision)
    versions = [release["version"] for release in shown["releases"]]
    assert versions == {0: [], 1: ["1"], 2: ["3"]}[revision]


def test_show_without_a_moment_is_now(run, history):
    """The common question needs no option."""
    code, out, _ = run("note", "show", "--log", history.address)
    assert (code, "revision 2" in out, "model carga 3" in out) == (ExitCode.DONE, True, True)


def test_show_of_an_empty_log(run, log):
    """A new installation is at revision 0."""
    code, out, _ = run("note", "show", "--json", "--log", log.address)
    assert (code, json.loads(out)["revision"]) == (ExitCode.DONE, 0)


def test_show_of_the_future_is_refused(run, history):
    """What will be in force cannot be read from the log."""
    code, _, err = run("note", "show", "--at", "3000", "--log", history.address)
    assert (code, "--at" in err) == (ExitCode.BAD_INPUT, True)


def test_show_of_an_aged_out_moment_is_unknown(run, history):
    """An empty state would be a false statement about the past."""
    with_snapshot(history)
    code, out, err = run("note", "show", "--at", "1001", "--log", history.address)
    assert (code, out, "aged out" in err) == (ExitCode.OUTCOME_UNKNOWN, "", True)
    code, out, _ = run("note", "show", "--at", "1500", "--json", "--log", history.address)
    assert (code, json.loads(out)["revision"]) == (ExitCode.DONE, 2)


def test_log_without_a_usable_snapshot_is_unknown(run, history):
    """Verdicts from the middle of the log would all be rejections."""
    history.oldest = 1
    for command in (["list"], ["audit"], ["show"]):
        code, out, err = run("note", *command, "--log", history.address)
        assert (code, out) == (ExitCode.OUTCOME_UNKNOWN, "")
        assert "snapshot" in err


def test_audit_is_complete(run, history):
    """The history must hold each note with its content, so that it can be checked again."""
    history.add({"schema": 9}, id="bad")
    code, out, _ = run("note", "audit", "--log", history.address)
    lines = [json.loads(line) for line in out.splitlines()]
    assert code == ExitCode.DONE
    assert [(line["offset"], line["record_id"], line["accepted"]) for line in lines] == [
        (0, "n1", True),
        (1, "n2", False),
        (2, "n3", True),
        (3, "bad", False),
    ]
    assert [line["data"] for line in lines] == [record["data"] for record in history.records]


def test_audit_reads_a_long_log(run, log):
    """A history cut at a page of the log would be taken for the whole."""
    for i in range(1203):
        log.add(note(f"n{i}", i, str(i)))
    code, out, _ = run("note", "audit", "--log", log.address)
    assert (code, len(out.splitlines())) == (ExitCode.DONE, 1203)


def test_unavailable_log_has_its_exit_code(run, log):
    """A script must tell an outage from an empty history."""
    log.read_faults = [503] * 1000
    code, out, _ = run("note", "audit", "--log", log.address, "--timeout", "0.3")
    assert (code, out) == (ExitCode.PLATFORM_UNAVAILABLE, "")


FOREIGN_ANSWERS = {
    "other object": (200, {"hello": 1}),
    "list": (200, [1]),
    "record without offset": (200, {"first": 0, "next": 1, "now": 1.0, "records": [{}]}),
    "records behind a gap": (
        200,
        {
            "first": 0,
            "next": 9,
            "now": 1.0,
            "records": [{"offset": 8, "time": 1.0, "id": "x", "data": {}}],
        },
    ),
}


@pytest.mark.parametrize("answer", FOREIGN_ANSWERS.values(), ids=FOREIGN_ANSWERS.keys())
def test_foreign_answer_is_not_an_empty_log(run, log, answer):
    """A wrong address must not look like a log without notes."""
    log.get = lambda _path: answer
    code, out, err = run("note", "list", "--log", log.address, "--timeout", "0.3")
    assert (code, out, "log" in err) == (ExitCode.PLATFORM_UNAVAILABLE, "", True)
