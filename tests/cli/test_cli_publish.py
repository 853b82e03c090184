"""`note publish`: guards against duplicate appends and wrongly reported outcomes."""

import threading
import time

import pytest
from cli_examples import note

from fescuechute.cli import ExitCode
from fescuechute.cli._note_log import Backoff, NoteLog

TIMEOUT_OPTION = ("--timeout", "8")


def test_accepted_note_is_reported(run, log, note_file):
    """The output has the revision that the operator passes to `note follow`."""
    log.add(note("n0", 0, "0"))
    code, out, _ = run("note", "publish", note_file(note("n1", 1)), "--log", log.address)
    assert (code, out) == (ExitCode.DONE, "accepted: revision 2 at offset 1\n")
    assert log.records[1]["id"] == "n1"
    assert log.records[1]["data"] == note("n1", 1)


def test_rejected_note_is_reported_with_the_reason(run, log, note_file):
    """A note whose base is outdated, because another note came first, must not look accepted."""
    log.add(note("n0", 0, "0"))
    code, out, err = run("note", "publish", note_file(note("n1", 0)), "--log", log.address)
    assert (code, out) == (ExitCode.REFUSED, "")
    assert "revision 1 is in force" in err


@pytest.mark.parametrize("fault", ["lose", "late"])
def test_lost_response_is_resolved_by_reading(run, log, note_file, fault):
    """After a lost response, the note is searched for in the log and not appended again."""
    log.append_faults = [fault]
    code, out, _ = run("note", "publish", note_file(note()), "--log", log.address, *TIMEOUT_OPTION)
    assert (code, out) == (ExitCode.DONE, "accepted: revision 1 at offset 0\n")
    assert (log.append_requests, len(log.records)) == (1, 1)


def test_append_that_may_still_be_in_flight_is_unknown(run, log, note_file):
    """An append without a response may be stored later; it is not reported as unpublished."""
    log.append_faults = ["drop"]
    args = ("note", "publish", note_file(note()), "--log", log.address, "--timeout", "0.5")
    code, _, err = run(*args)
    assert (code, log.append_requests) == (ExitCode.OUTCOME_UNKNOWN, 1)
    assert "Run the same command again" in err
    code, _, _ = run(*args)
    assert (code, log.append_requests) == (ExitCode.DONE, 2)


def test_log_that_fails_after_the_append_is_unknown(run, log, note_file):
    """Without a read after the append, neither success nor failure may be reported."""
    log.append_faults = ["lose"]
    path = note_file(note())
    original_post = log.post

    def post_then_fail(path_and_query, body):
        result = original_post(path_and_query, body)
        log.read_faults = [503] * 1000
        return result

    log.post = post_then_fail
    args = ("note", "publish", path, "--log", log.address, "--timeout", "0.5")
    code, _, err = run(*args)
    assert (code, "outcome unknown" in err) == (ExitCode.OUTCOME_UNKNOWN, True)
    log.read_faults = []
    code, out, _ = run(*args)
    assert (code, out, log.append_requests) == (
        ExitCode.DONE,
        "accepted: revision 1 at offset 0\n",
        1,
    )


@pytest.mark.parametrize("status", [429, 503])
def test_temporarily_refused_append_is_retried(run, log, note_file, status):
    """A short outage is bridged by retries, without a second run of the command."""
    log.append_faults = [status, status]
    code, _, _ = run("note", "publish", note_file(note()), "--log", log.address, *TIMEOUT_OPTION)
    assert (code, log.append_requests, len(log.records)) == (ExitCode.DONE, 3, 1)


def test_refusal_until_the_deadline_publishes_nothing(run, log, note_file):
    """When the log refuses every append, the command reports that nothing was published."""
    log.append_faults = [503] * 1000
    code, _, err = run(
        "note", "publish", note_file(note()), "--log", log.address, "--timeout", "0.5"
    )
    assert (code, log.records) == (ExitCode.PLATFORM_UNAVAILABLE, [])
    assert "Nothing was published" in err


@pytest.mark.parametrize("waits", [0, 1, 2, 3])
def test_deadline_after_a_refusal_publishes_nothing(run, log, note_file, monkeypatch, waits):
    """A refused append is reported as unpublished, whichever wait the deadline ends."""
    waits_left = [True] * waits
    monkeypatch.setattr(Backoff, "wait", lambda _self: bool(waits_left and waits_left.pop()))
    log.append_faults = [503] * 10
    code, _, err = run("note", "publish", note_file(note()), "--log", log.address)
    assert (code, log.records) == (ExitCode.PLATFORM_UNAVAILABLE, [])
    assert "Nothing was published" in err


def test_permanently_refused_append_is_not_retried(run, log, note_file):
    """A status 400 is permanent, so a retry could not succeed."""
    log.append_faults = [400]
    code, _, _ = run("note", "publish", note_file(note()), "--log", log.address, *TIMEOUT_OPTION)
    assert (code, log.append_requests) == (ExitCode.PLATFORM_UNAVAILABLE, 1)


def test_append_after_server_error_is_unknown(run, log, note_file):
    """After a status 500 the note may or may not be in the log."""
    log.append_faults = [500]
    code, _, _ = run("note", "publish", note_file(note()), "--log", log.address, "--timeout", "0.5")
    assert (code, log.append_requests) == (ExitCode.OUTCOME_UNKNOWN, 1)


def test_failed_reads_are_retried(run, log, note_file):
    """A short outage while reading must not end the command."""
    log.read_faults = [503, None, 429]
    code, _, _ = run("note", "publish", note_file(note()), "--log", log.address, *TIMEOUT_OPTION)
    assert (code, log.append_requests) == (ExitCode.DONE, 1)


def test_unreachable_log_exits_with_platform_unavailable(run, log, note_file):
    """A log that refuses connections is reported as an outage, not as a rejected note."""
    address = log.address
    log.server.server_close()
    code, _, err = run("note", "publish", note_file(note()), "--log", address, "--timeout", "0.3")
    assert (code, "cannot be reached" in err) == (ExitCode.PLATFORM_UNAVAILABLE, True)


def test_second_run_reports_the_first_outcome(run, log, note_file):
    """A second run neither appends the note nor reports it as rejected for an outdated base."""
    args = ("note", "publish", note_file(note()), "--log", log.address)
    first = run(*args)
    log.add(note("n2", 1, "2"))
    assert run(*args) == first
    assert log.append_requests == 1


def test_id_of_another_note_is_refused(run, log, note_file):
    """A record with the same id but other data is not the operator's note."""
    log.add(note("n1", 0, "9"))
    code, _, err = run("note", "publish", note_file(note("n1", 1)), "--log", log.address)
    assert (code, log.append_requests) == (ExitCode.REFUSED, 0)
    assert "another note at offset 0" in err


def test_log_without_a_usable_snapshot_is_unknown(run, log, note_file):
    """Without a usable snapshot, the revision to compare the base with is unknown."""
    log.add(note("n0", 0, "0"))
    log.oldest_offset = 1
    code, _, err = run(
        "note", "publish", note_file(note("n1", 1)), "--log", log.address, *TIMEOUT_OPTION
    )
    assert (code, "snapshot" in err) == (ExitCode.OUTCOME_UNKNOWN, True)


def test_invalid_note_is_not_sent(run, log, note_file):
    """A note with an invalid field is refused before it is sent."""
    code, _, _ = run("note", "publish", note_file(note(base=-1)), "--log", log.address)
    assert (code, log.append_requests) == (ExitCode.BAD_INPUT, 0)


def test_one_of_several_concurrent_notes_is_accepted(log, note_file):
    """Of four notes with the same base, published concurrently, exactly one is accepted."""
    from fescuechute.cli import main

    log.append_faults = ["lose", 503, "late", ""]
    codes = []

    def publish(i):
        path = note_file(note(f"n{i}", 0, str(i)), f"{i}.toml")
        codes.append(main(["note", "publish", str(path), "--log", log.address, *TIMEOUT_OPTION]))

    threads = [threading.Thread(target=publish, args=(i,)) for i in range(4)]
    for thread in threads:
        thread.start()
    deadline = time.monotonic() + 30
    for thread in threads:
        thread.join(deadline - time.monotonic())
    assert sorted(codes) == [ExitCode.DONE, *[ExitCode.REFUSED] * 3]
    assert len(log.records) == 4


def test_interrupted_append_is_unknown(run, log, note_file, monkeypatch):
    """An operator who interrupts the command is told that the note may have been published."""

    def interrupted(*_args):
        raise KeyboardInterrupt

    monkeypatch.setattr(NoteLog, "append", interrupted)
    code, _, err = run("note", "publish", note_file(note()), "--log", log.address)
    assert (code, "interrupted" in err) == (ExitCode.OUTCOME_UNKNOWN, True)
