"""Marks the tests listed in KNOWN-RED.txt as expected failures; they still run and are reported."""

from __future__ import annotations

from pathlib import Path

import pytest

#: The repository root; test ids are relative to it.
_ROOT = Path(__file__).parents[2]


def parse_known_failures(text: str) -> frozenset[str]:
    """Returns the test ids listed in a text in the format of KNOWN-RED.txt."""
    return frozenset(line.strip() for line in text.splitlines() if line.startswith("tests/"))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks each listed test so that its failure does not fail the run."""
    listed = parse_known_failures((_ROOT / "KNOWN-RED.txt").read_text())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=False, reason="listed in KNOWN-RED.txt"))
