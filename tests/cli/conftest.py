"""Fixtures of the command line tests."""

import pytest
from cli_examples import to_toml
from cli_fakes import FakeLog

from fescuechute.cli import main


@pytest.fixture
def log():
    server = FakeLog()
    yield server
    server.close()


@pytest.fixture
def run(capsys, monkeypatch):
    """Returns a function that runs a command and returns its exit code, stdout and stderr."""
    monkeypatch.delenv("FESCUECHUTE_LOG", raising=False)

    def call(*args):
        code = main([str(arg) for arg in args])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call


@pytest.fixture
def note_file(tmp_path):
    """Returns a function that writes a note file and returns its path."""

    def write(data, name="note.toml"):
        path = tmp_path / name
        path.write_text(to_toml(data))
        return path

    return write
