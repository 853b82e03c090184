"""`note follow`: guards against reporting a revision in force before all replicas confirm it."""

import pytest
from cli_fakes import FakeEntry

from fescuechute.cli import ExitCode


@pytest.fixture
def entry():
    servers = []

    def make(*statuses):
        servers.append(FakeEntry(*statuses))
        return servers[-1]

    yield make
    for server in servers:
        server.close()


def status(revision, **upstreams):
    rows = []
    for name, row in upstreams.items():
        confirmed_revision, *state = row if isinstance(row, tuple) else (row,)
        rows.append({"id": name, "upstream": name, "revision": confirmed_revision, "weights": []})
        rows[-1] |= {"state": state[0]} if state else {}
    return {"revision": revision, "upstreams": rows}


def test_follow_ends_when_all_replicas_have_confirmed(run, entry):
    """The first two statuses each lack a confirmation; the third has both."""
    server = entry(status(1, a=1, b=1), status(2, a=2, b=1), status(2, a=2, b=2))
    code, out, err = run("note", "follow", "2", "--status", server.address, "--timeout", "10")
    assert (code, out) == (ExitCode.DONE, "revision 2 is in force on 2 replicas\n")
    assert "2/2 replicas" in err


def test_statuses_of_several_entries_are_merged(run, entry):
    """A replica counts once, with its newest revision, also when one entry has an older status."""
    first, second = entry(status(2, a=2, b=1)), entry(status(2, b=2))
    addresses = f"{first.address},{second.address}"
    code, out, _ = run("note", "follow", "2", "--status", addresses, "--timeout", "5")
    assert (code, "2 replicas" in out) == (ExitCode.DONE, True)


def test_newer_revision_counts_as_confirmed(run, entry):
    """A replica at a newer revision has confirmed or skipped the one that is followed."""
    server = entry(status(5, a=5))
    assert run("note", "follow", "2", "--status", server.address)[0] == ExitCode.DONE


NOT_IN_FORCE = {
    "replica behind": (status(2, a=2, b=1), "replica b has revision 1"),
    "replica still loads": (status(2, a=(2, "loading")), "replica a has revision 2, loading"),
    "entry behind": (status(1, a=2), "has revision 1"),
    "no replica known": (status(2), "not in force"),
}


@pytest.mark.parametrize(("entry_status", "found"), NOT_IN_FORCE.values(), ids=NOT_IN_FORCE.keys())
def test_timeout_reports_what_has_not_confirmed(run, entry, entry_status, found):
    """After a timeout, the output lists the entries and replicas that are not up to date."""
    server = entry(entry_status)
    code, out, err = run("note", "follow", "2", "--status", server.address, "--timeout", "0.3")
    assert (code, out, found in err) == (ExitCode.REFUSED, "", True)


def test_draining_replica_is_ignored(run, entry):
    """A draining VM never confirms a newer revision, so waiting for it would end in a timeout."""
    server = entry(status(2, a=(2, "live"), b=(1, "draining")))
    code, out, _ = run("note", "follow", "2", "--status", server.address, "--timeout", "5")
    assert (code, "1 replicas" in out) == (ExitCode.DONE, True)


def test_entry_that_fails_once_is_polled_again(run, entry):
    """An entry responds 503 while it restarts; the command continues to poll it."""
    server = entry(503, status(2, a=2))
    code, _, _ = run("note", "follow", "2", "--status", server.address, "--timeout", "10")
    assert code == ExitCode.DONE


def test_unavailable_entries_exit_with_platform_unavailable(run, entry):
    """Without a response, the result is an outage and not a revision that is not in force."""
    server = entry(503)
    code, _, err = run("note", "follow", "2", "--status", server.address, "--timeout", "0.3")
    assert (code, "No entry responded" in err) == (ExitCode.PLATFORM_UNAVAILABLE, True)
