"""pytest fixture that gives a test its fleet and shows the outputs when the test fails."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import Any

import pytest

from tests.harness._fleet import Fleet

_FAILED = pytest.StashKey[bool]()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, Any, Any]:
    """Remembers whether any phase of the test failed; fixtures do not see the test's exception."""
    report = yield
    item.stash[_FAILED] = item.stash.get(_FAILED, False) or report.failed
    return report


@pytest.fixture
def fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    """Processes that end with the test."""
    running = Fleet()
    try:
        yield running
    finally:
        running.close(failed=request.node.stash.get(_FAILED, False))
