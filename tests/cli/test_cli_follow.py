"""Follow: guards against reporting a revision in force before every replica confirmed it."""

import pytest
from cli_fakes import FakeEntry

from fescuechute.cli import ExitCode


@pytest.fixture
def entry():
    made = []

    def make(*statuses):
        made.append(FakeEntry(*statuses))
        return made[-1]

    yield make
    for server in made:
        server.close()


def status(revision, **upstreams):
    rows = []
    for name, row in upstreams.items():
        confirmed, *state = row if isinstance(row, tuple) else (row,)
        rows.append({"id": name, "upstream": name, "revision": confirmed, "weights": []})
        rows[-1] |= {"state": state[0]} if state else {}
    return {"revision": revision, "upstreams": rows}


def test_waits_until_all_replicas_confirm(run, entry):
    """The command must end only when the note is in force everywhere."""
    server = entry(status(1, a=1, b=1), status(2, a=2, b=1), status(2, a=2, b=2))
    code, out, err = run("note", "follow", "2", "--status", server.address, "--timeout", "10")
    assert (code, out) == (ExitCode.DONE, "revision 2 is in force on 2 replicas\n")
    assert "2/2 replicas" in err


def test_entries_are_merged(run, entry):
    """A replica that one entry sees late must count once, with its newest revision."""
    first, second = entry(status(2, a=2, b=1)), entry(status(2, b=2))
    addresses = f"{first.address},{second.address}"
    code, out, _ = run("note", "follow", "2", "--status", addresses, "--timeout", "5")
    assert (code, "2 replicas" in out) == (ExitCode.DONE, True)


def test_newer_revision_counts(run, entry):
    """A replica that is further on has confirmed the earlier revision or skipped it."""
    server = entry(status(5, a=5))
    assert run("note", "follow", "2", "--status", server.address)[0] == ExitCode.DONE


NOT_IN_FORCE = {
    "replica behind": (status(2, a=2, b=1), "replica b has revision 1"),
    "replica still loads": (status(2, a=(2, "loading")), "replica a has revision 2, loading"),
    "entry behind": (status(1, a=2), "has revision 1"),
    "no replica known": (status(2), "not in force"),
}


@pytest.mark.parametrize(("given", "found"), NOT_IN_FORCE.values(), ids=NOT_IN_FORCE.keys())
def test_timeout_names_what_is_missing(run, entry, given, found):
    """The operator must learn which replica holds the note up."""
    server = entry(given)
    code, out, err = run("note", "follow", "2", "--status", server.address, "--timeout", "0.3")
    assert (code, out, found in err) == (ExitCode.REFUSED, "", True)


def test_leaving_replica_is_not_waited_for(run, entry):
    """A VM that leaves will never switch."""
    server = entry(status(2, a=(2, "live"), b=(1, "draining")))
    code, out, _ = run("note", "follow", "2", "--status", server.address, "--timeout", "5")
    assert (code, "1 replicas" in out) == (ExitCode.DONE, True)


def test_entry_that_fails_for_a_while_is_asked_again(run, entry):
    """A restart of an entry must not end the command."""
    server = entry(503, status(2, a=2))
    code, _, _ = run("note", "follow", "2", "--status", server.address, "--timeout", "10")
    assert code == ExitCode.DONE


def test_no_entry_answers(run, entry):
    """An unreachable entry says nothing about the revision."""
    server = entry(503)
    code, _, err = run("note", "follow", "2", "--status", server.address, "--timeout", "0.3")
    assert (code, "No entry answered" in err) == (ExitCode.PLATFORM_UNAVAILABLE, True)
