"""Passes over the tests that KNOWN-RED.txt lists; they run all the same and are named in the summary."""

from __future__ import annotations

from pathlib import Path

import pytest

#: Root of the repository, to which the names of tests are relative.
_ROOT = Path(__file__).parents[2]


def known_red(text: str) -> frozenset[str]:
    """Returns the tests that a text in the form of KNOWN-RED.txt lists."""
    return frozenset(line.strip() for line in text.splitlines() if line.startswith("tests/"))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Lets a listed test fail without failing the run."""
    listed = known_red((_ROOT / "KNOWN-RED.txt").read_text())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=False, reason="listed in KNOWN-RED.txt"))
