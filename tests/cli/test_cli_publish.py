"""Publication: guards against notes that are appended twice or whose verdict is misreported."""

import threading
import time

import pytest
from cli_examples import note

from fescuechute.cli import ExitCode
from fescuechute.cli._note_log import Backoff, NoteLog

TIMEOUT = ("--timeout", "8")


def test_accepted_note_is_reported(run, log, note_file):
    """The operator must learn the revision to follow."""
    log.add(note("n0", 0, "0"))
    code, out, _ = run("note", "publish", note_file(note("n1", 1)), "--log", log.address)
    assert (code, out) == (ExitCode.DONE, "accepted: revision 2 at offset 1\n")
    assert log.records[1]["id"] == "n1"
    assert log.records[1]["data"] == note("n1", 1)


def test_rejected_note_is_reported_with_its_reason(run, log, note_file):
    """A lost race must not look like success."""
    log.add(note("n0", 0, "0"))
    code, out, err = run("note", "publish", note_file(note("n1", 0)), "--log", log.address)
    assert (code, out) == (ExitCode.REFUSED, "")
    assert "revision 1 is in force" in err


@pytest.mark.parametrize("fault", ["lose", "late"])
def test_lost_answer_is_read_back(run, log, note_file, fault):
    """An append whose answer is lost must not be sent again."""
    log.append_faults = [fault]
    code, out, _ = run("note", "publish", note_file(note()), "--log", log.address, *TIMEOUT)
    assert (code, out) == (ExitCode.DONE, "accepted: revision 1 at offset 0\n")
    assert (log.posts, len(log.records)) == (1, 1)


def test_append_that_may_be_under_way_is_unknown(run, log, note_file):
    """A note that is not there yet may still arrive, so `nothing published` would be false."""
    log.append_faults = ["drop"]
    args = ("note", "publish", note_file(note()), "--log", log.address, "--timeout", "0.5")
    code, _, err = run(*args)
    assert (code, log.posts) == (ExitCode.OUTCOME_UNKNOWN, 1)
    assert "Run the same command again" in err
    code, _, _ = run(*args)
    assert (code, log.posts) == (ExitCode.DONE, 2)


def test_log_that_fails_after_the_append_is_unknown(run, log, note_file):
    """The verdict must not be guessed while the log cannot be read."""
    log.append_faults = ["lose"]
    path = note_file(note())
    original = log.post

    def post_then_fail(where, body):
        result = original(where, body)
        log.read_faults = [503] * 1000
        return result

    log.post = post_then_fail
    args = ("note", "publish", path, "--log", log.address, "--timeout", "0.5")
    code, _, err = run(*args)
    assert (code, "outcome unknown" in err) == (ExitCode.OUTCOME_UNKNOWN, True)
    log.read_faults = []
    code, out, _ = run(*args)
    assert (code, out, log.posts) == (ExitCode.DONE, "accepted: revision 1 at offset 0\n", 1)


@pytest.mark.parametrize("status", [429, 503])
def test_refused_append_is_repeated(run, log, note_file, status):
    """A short outage must not cost the operator a second attempt."""
    log.append_faults = [status, status]
    code, _, _ = run("note", "publish", note_file(note()), "--log", log.address, *TIMEOUT)
    assert (code, log.posts, len(log.records)) == (ExitCode.DONE, 3, 1)


def test_refusal_until_the_deadline_publishes_nothing(run, log, note_file):
    """Nothing was published, and the exit code must say so."""
    log.append_faults = [503] * 1000
    code, _, err = run(
        "note", "publish", note_file(note()), "--log", log.address, "--timeout", "0.5"
    )
    assert (code, log.records) == (ExitCode.PLATFORM_UNAVAILABLE, [])
    assert "Nothing was published" in err


@pytest.mark.parametrize("waits", [0, 1, 2, 3])
def test_deadline_after_a_refusal_publishes_nothing(run, log, note_file, monkeypatch, waits):
    """Wherever the deadline falls, a refused append must not be reported as unknown."""
    left = [True] * waits
    monkeypatch.setattr(Backoff, "wait", lambda _self: bool(left and left.pop()))
    log.append_faults = [503] * 10
    code, _, err = run("note", "publish", note_file(note()), "--log", log.address)
    assert (code, log.records) == (ExitCode.PLATFORM_UNAVAILABLE, [])
    assert "Nothing was published" in err


def test_refused_append_is_not_retried(run, log, note_file):
    """A log that finds the request wrong will not change its mind."""
    log.append_faults = [400]
    code, _, _ = run("note", "publish", note_file(note()), "--log", log.address, *TIMEOUT)
    assert (code, log.posts) == (ExitCode.PLATFORM_UNAVAILABLE, 1)


def test_server_error_may_have_had_its_effect(run, log, note_file):
    """A status 500 does not say that nothing was appended."""
    log.append_faults = [500]
    code, _, _ = run("note", "publish", note_file(note()), "--log", log.address, "--timeout", "0.5")
    assert (code, log.posts) == (ExitCode.OUTCOME_UNKNOWN, 1)


def test_failed_reads_are_repeated(run, log, note_file):
    """A short outage while reading must not hide the verdict."""
    log.read_faults = [503, None, 429]
    code, _, _ = run("note", "publish", note_file(note()), "--log", log.address, *TIMEOUT)
    assert (code, log.posts) == (ExitCode.DONE, 1)


def test_unreachable_log(run, log, note_file):
    """An outage must be told from a rejected note."""
    address = log.address
    log.server.server_close()
    code, _, err = run("note", "publish", note_file(note()), "--log", address, "--timeout", "0.3")
    assert (code, "accepts no connection" in err) == (ExitCode.PLATFORM_UNAVAILABLE, True)


def test_second_run_reports_the_first_verdict(run, log, note_file):
    """Running the command again must neither append nor report the note as rejected."""
    args = ("note", "publish", note_file(note()), "--log", log.address)
    first = run(*args)
    log.add(note("n2", 1, "2"))
    assert run(*args) == first
    assert log.posts == 1


def test_id_of_another_note_is_refused(run, log, note_file):
    """Reporting the other note's verdict would tell the operator something false."""
    log.add(note("n1", 0, "9"))
    code, _, err = run("note", "publish", note_file(note("n1", 1)), "--log", log.address)
    assert (code, log.posts) == (ExitCode.REFUSED, 0)
    assert "another note at offset 0" in err


def test_log_without_base_gives_no_verdict(run, log, note_file):
    """A verdict needs the revision in force, which this log no longer tells."""
    log.add(note("n0", 0, "0"))
    log.oldest = 1
    code, _, err = run("note", "publish", note_file(note("n1", 1)), "--log", log.address, *TIMEOUT)
    assert (code, "snapshot" in err) == (ExitCode.OUTCOME_UNKNOWN, True)


def test_invalid_note_is_not_sent(run, log, note_file):
    """A note that would be rejected for its form must not reach the log."""
    code, _, _ = run("note", "publish", note_file(note(base=-1)), "--log", log.address)
    assert (code, log.posts) == (ExitCode.BAD_INPUT, 0)


def test_racing_operators_get_different_verdicts(log, note_file):
    """Of operators that publish on one base, exactly one may be told that its note is accepted."""
    from fescuechute.cli import main

    log.append_faults = ["lose", 503, "late", ""]
    codes = []

    def publish(i):
        path = note_file(note(f"n{i}", 0, str(i)), f"{i}.toml")
        codes.append(main(["note", "publish", str(path), "--log", log.address, *TIMEOUT]))

    threads = [threading.Thread(target=publish, args=(i,)) for i in range(4)]
    for thread in threads:
        thread.start()
    deadline = time.monotonic() + 30
    for thread in threads:
        thread.join(deadline - time.monotonic())
    assert sorted(codes) == [ExitCode.DONE, *[ExitCode.REFUSED] * 3]
    assert len(log.records) == 4


def test_interrupted_append_is_unknown(run, log, note_file, monkeypatch):
    """An operator who stops a slow command must be told that the note may be in force."""

    def interrupted(*_args):
        raise KeyboardInterrupt

    monkeypatch.setattr(NoteLog, "append", interrupted)
    code, _, err = run("note", "publish", note_file(note()), "--log", log.address)
    assert (code, "interrupted" in err) == (ExitCode.OUTCOME_UNKNOWN, True)
