"""Fixtures of the command line tests."""

import pytest
from cli_examples import toml_of
from cli_fakes import FakeLog

from fescuechute.cli import main


@pytest.fixture
def log():
    made = FakeLog()
    yield made
    made.close()


@pytest.fixture
def run(capsys, monkeypatch):
    """Returns a function that runs a command and returns its code, output and errors."""
    monkeypatch.delenv("FESCUECHUTE_LOG", raising=False)

    def call(*args):
        code = main([str(arg) for arg in args])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call


@pytest.fixture
def note_file(tmp_path):
    """Returns a function that writes a note file."""

    def write(data, name="note.toml"):
        path = tmp_path / name
        path.write_text(toml_of(data))
        return path

    return write
