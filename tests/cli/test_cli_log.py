"""`note list`, `note show` and `note audit`: guards against output that differs from the log."""

import json

import pytest
from cli_examples import note

from fescuechute.cli import ExitCode
from fescuechute.notes import Ledger


@pytest.fixture
def history(log):
    """A log with accepted notes at 1001 s and 1003 s and a rejected one at 1002 s."""
    log.add(note("n1", 0, "1"))
    log.add(note("n2", 0, "2", author="bea"))
    log.add(note("n3", 1, "3"))
    log.now = 2000.0
    return log


def compact(log):
    """Appends a snapshot and removes all earlier records."""
    ledger = Ledger()
    for record in log.records:
        ledger.apply(record)
    log.add(ledger.snapshot(), id="s1")
    log.oldest_offset = len(log.records) - 1


def test_list_shows_accepted_and_rejected_notes(run, history):
    """Rejected notes are listed too, with the author and the reason for the rejection."""
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
    """FESCUECHUTE_LOG is used when `--log` is missing, as the help says."""
    monkeypatch.setenv("FESCUECHUTE_LOG", history.address)
    assert run("note", "list")[0] == ExitCode.DONE


def test_control_characters_do_not_reach_the_terminal(run, log):
    """Terminal escape sequences in a message could hide lines of the list."""
    log.add(note("n1", 0, message="a\x1b[2Jb\nc <b>d</b>"))
    _, out, _ = run("note", "list", "--log", log.address)
    assert out.endswith("a\\x1b[2Jb\\nc <b>d</b>\n")


TIMES = {
    "before the first note": ("1000.5", 0),
    "at a note": ("1001", 1),
    "after a rejected note": ("1002.5", 1),
    "after the last note": ("1500", 2),
    "ISO text in UTC": ("1970-01-01T00:16:42Z", 1),
    "ISO text without offset": ("1970-01-01T00:16:43", 2),
    "ISO text with offset": ("1970-01-01T02:16:42+02:00", 1),
}


@pytest.mark.parametrize(("at", "revision"), TIMES.values(), ids=TIMES.keys())
def test_show_prints_the_state_at_a_time(run, history, at, revision):
    """The state at any past time can be computed from the log."""
    code, out, _ = run("note", "show", "--at", at, "--json", "--log", history.address)
    state = json.loads(out)
    assert (code, state["revision"]) == (ExitCode.DONE, revision)
    versions = [release["version"] for release in state["releases"]]
    assert versions == {0: [], 1: ["1"], 2: ["3"]}[revision]


def test_show_defaults_to_now(run, history):
    """Without `--at`, the current state is printed."""
    code, out, _ = run("note", "show", "--log", history.address)
    assert (code, "revision 2" in out, "model carga 3" in out) == (ExitCode.DONE, True, True)


def test_show_of_an_empty_log(run, log):
    """An empty log from offset 0 is a new installation at revision 0, not an unknown state."""
    code, out, _ = run("note", "show", "--json", "--log", log.address)
    assert (code, json.loads(out)["revision"]) == (ExitCode.DONE, 0)


def test_show_refuses_a_future_time(run, history):
    """The log cannot show what will be in force after its current time."""
    code, _, err = run("note", "show", "--at", "3000", "--log", history.address)
    assert (code, "--at" in err) == (ExitCode.BAD_INPUT, True)


def test_show_of_an_aged_out_time_is_unknown(run, history):
    """Times before the snapshot are unknown; reporting no releases for them would be false."""
    compact(history)
    code, out, err = run("note", "show", "--at", "1001", "--log", history.address)
    assert (code, out, "aged out" in err) == (ExitCode.OUTCOME_UNKNOWN, "", True)
    code, out, _ = run("note", "show", "--at", "1500", "--json", "--log", history.address)
    assert (code, json.loads(out)["revision"]) == (ExitCode.DONE, 2)


def test_log_without_a_usable_snapshot_is_unknown(run, history):
    """Without the base state, every note would appear as rejected for a wrong base."""
    history.oldest_offset = 1
    for command in (["list"], ["audit"], ["show"]):
        code, out, err = run("note", *command, "--log", history.address)
        assert (code, out) == (ExitCode.OUTCOME_UNKNOWN, "")
        assert "snapshot" in err


def test_audit_contains_every_record(run, history):
    """Each line has the original data, also of an invalid record, so that it can be verified."""
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


def test_audit_reads_more_than_one_page(run, log):
    """Guards against a history that ends at the first page: 1203 records take three pages."""
    for i in range(1203):
        log.add(note(f"n{i}", i, str(i)))
    code, out, _ = run("note", "audit", "--log", log.address)
    assert (code, len(out.splitlines())) == (ExitCode.DONE, 1203)


def test_unavailable_log_exits_with_platform_unavailable(run, log):
    """Scripts distinguish an outage from an empty history by the exit code."""
    log.read_faults = [503] * 1000
    code, out, _ = run("note", "audit", "--log", log.address, "--timeout", "0.3")
    assert (code, out) == (ExitCode.PLATFORM_UNAVAILABLE, "")


INVALID_RESPONSES = {
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


@pytest.mark.parametrize("response", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES.keys())
def test_invalid_response_is_not_an_empty_log(run, log, response):
    """A response of another service, at a wrong address, is an error and not an empty log."""
    log.get = lambda _path: response
    code, out, err = run("note", "list", "--log", log.address, "--timeout", "0.3")
    assert (code, out, "log" in err) == (ExitCode.PLATFORM_UNAVAILABLE, "", True)
