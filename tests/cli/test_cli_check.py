"""Check commands and exit codes: guards against faults that show only after publication."""

import json
import sys
import types

import blake3
import pytest
from cli_examples import note

from fescuechute.cli import ExitCode

ENTRY_TOML = """
[process]
id = "e1"
role = "entry"
region = "norte"
data_centre = "norte-1"
address = "127.0.0.1"
link_port = 0
http_port = 0
[platform]
log = "127.0.0.1:1"
vms = "127.0.0.1:2"
store = "127.0.0.1:3"
origin = "127.0.0.1:4"
store_region = "norte"
[logs]
level = "error"
"""


@pytest.fixture
def entry_file(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text(ENTRY_TOML)
    return path


COMMANDS = (
    "entry",
    "agent",
    "check",
    "note check",
    "note publish",
    "note list",
    "note show",
    "note audit",
    "note follow",
)


@pytest.mark.parametrize("command", COMMANDS)
def test_help_shows_an_example(run, command):
    """An operator must be able to use a command from its help alone."""
    code, out, _ = run(*command.split(), "--help")
    assert code == ExitCode.DONE
    assert f"Example:\n    fescuechute {command}" in out


BAD_LINES = {
    "unknown command": ["bogus"],
    "unknown option": ["note", "list", "--bogus"],
    "missing file": ["note", "check"],
    "missing log": ["note", "list"],
    "host name as log": ["note", "list", "--log", "localhost:1"],
    "timeout with a unit": ["note", "list", "--log", "127.0.0.1:1", "--timeout", "5s"],
    "missing config": ["entry"],
    "file does not exist": ["check", "/nonexistent.toml"],
    "revision is not a number": ["note", "follow", "two", "--status", "127.0.0.1:1"],
    "missing entries": ["note", "follow", "2"],
    "moment is not a time": ["note", "show", "--at", "noon", "--log", "127.0.0.1:1"],
    "moment beyond the calendar": ["note", "show", "--at", "1e300", "--log", "127.0.0.1:1"],
}


@pytest.mark.parametrize("line", BAD_LINES.values(), ids=BAD_LINES.keys())
def test_bad_input_has_its_exit_code(run, line):
    """A script must tell a typing error from a rejected note or an outage."""
    code, out, err = run(*line)
    assert (code, out) == (ExitCode.BAD_INPUT, "")
    assert err.strip()


def test_usable_settings_pass(run, entry_file):
    """A check that refuses good files would be skipped."""
    code, out, _ = run("check", entry_file)
    assert (code, "entry e1" in out) == (ExitCode.DONE, True)


def test_each_settings_problem_is_one_line(run, entry_file):
    """All problems must be visible at once, each with its key."""
    entry_file.write_text(ENTRY_TOML + "[retry]\nbudgte = 1\n[tick]\ninterval_s = 1\n")
    code, _, err = run("check", entry_file)
    assert code == ExitCode.BAD_INPUT
    assert sorted(line.split(": ")[1] for line in err.splitlines()) == [
        "retry.budgte",
        "tick.interval_s",
    ]


@pytest.fixture
def daemons(monkeypatch):
    """Replaces the daemon modules and returns what was run."""
    ran = []

    def daemon(name):
        def create(settings):
            return types.SimpleNamespace(run=lambda: ran.append((name, settings.process.id)))

        return create

    for package, name in (("entry", "EntryDaemon"), ("agent", "AgentDaemon")):
        module = types.SimpleNamespace(**{name: daemon(name)})
        monkeypatch.setitem(sys.modules, f"fescuechute.{package}", module)
    return ran


def test_daemon_runs_with_the_settings(run, entry_file, daemons):
    """Guards against a daemon that is started without its settings."""
    code, _, _ = run("entry", "--config", entry_file)
    assert (code, daemons) == (ExitCode.DONE, [("EntryDaemon", "e1")])


def test_daemon_of_the_other_role_does_not_start(run, entry_file, daemons):
    """An agent with an entry's settings would announce a wrong role."""
    code, _, err = run("agent", "--config", entry_file)
    assert (code, daemons) == (ExitCode.BAD_INPUT, [])
    assert "process.role" in err


def test_bad_settings_do_not_start_a_daemon(run, entry_file, daemons):
    """Nothing may start before the settings are checked in full."""
    entry_file.write_text(ENTRY_TOML.replace("127.0.0.1:1", "log:1"))
    code, _, _ = run("entry", "--config", entry_file)
    assert (code, daemons) == (ExitCode.BAD_INPUT, [])


def test_usable_note_passes(run, note_file):
    """A check that refuses good notes would be skipped."""
    code, out, _ = run("note", "check", note_file(note()))
    assert (code, "sets model carga 1" in out) == (ExitCode.DONE, True)


def test_note_problems_name_file_and_key(run, note_file):
    """The operator must find the fault in the file."""
    path = note_file(note(base=-1, author=""))
    code, _, err = run("note", "check", path)
    assert code == ExitCode.BAD_INPUT
    assert [line.split(": ")[:2] for line in err.splitlines()] == [
        [str(path), "base"],
        [str(path), "author"],
    ]


def test_date_in_a_note_is_a_problem(run, tmp_path):
    """TOML has types that JSON lacks; they must not end in a stack trace."""
    path = tmp_path / "n.toml"
    path.write_text("schema = 1\nid = 2026-12-04\n")
    code, _, err = run("note", "check", path)
    assert (code, "JSON" in err) == (ExitCode.BAD_INPUT, True)


def manifest_of(**keys):
    data = {"schema": 1, "name": "carga", "version": "1", "size": 1000}
    return {**data, "blobs": [["cd" * 32, 600], ["ef" * 32, 400]], **keys}


def note_for(content):
    data = note()
    data["set"][0]["manifest"] = blake3.blake3(content).hexdigest()
    return data


def test_matching_manifest_passes(run, note_file, tmp_path):
    """Guards against a check that cannot succeed."""
    content = json.dumps(manifest_of()).encode()
    (tmp_path / "m.json").write_bytes(content)
    path = note_file(note_for(content))
    code, out, _ = run("note", "check", path, "--manifest", tmp_path / "m.json")
    assert (code, "model carga 1" in out) == (ExitCode.DONE, True)


MANIFESTS = {
    "other size": (manifest_of(size=999, blobs=[["cd" * 32, 999]]), "size"),
    "blobs do not add up": (manifest_of(blobs=[["cd" * 32, 600]]), "size"),
    "other version": (manifest_of(version="2"), "version"),
    "no blobs": ({"size": 1000}, "not a manifest"),
    "not an object": ([1], "not a manifest"),
}


@pytest.mark.parametrize(("manifest", "found"), MANIFESTS.values(), ids=MANIFESTS.keys())
def test_manifest_that_disagrees_is_refused(run, note_file, tmp_path, manifest, found):
    """A note with a wrong size or version would be in force before anyone notices."""
    content = json.dumps(manifest).encode()
    (tmp_path / "m.json").write_bytes(content)
    code, _, err = run(
        "note", "check", note_file(note_for(content)), "--manifest", tmp_path / "m.json"
    )
    assert (code, found in err) == (ExitCode.BAD_INPUT, True)


def test_manifest_with_another_digest_is_refused(run, note_file, tmp_path):
    """A typing error in the digest would make every VM look for a blob that does not exist."""
    (tmp_path / "m.json").write_text(json.dumps(manifest_of()))
    code, _, err = run("note", "check", note_file(note()), "--manifest", tmp_path / "m.json")
    assert (code, "digest" in err) == (ExitCode.BAD_INPUT, True)
