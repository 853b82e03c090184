"""pytest fixture for the processes of a test; prints their outputs if the test fails."""

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
    """Records whether any phase of the test failed, since fixtures do not see its exception."""
    report = yield
    item.stash[_FAILED] = item.stash.get(_FAILED, False) or report.failed
    return report


@pytest.fixture
def fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    """Yields a fleet whose processes are ended after the test."""
    test_fleet = Fleet()
    try:
        yield test_fleet
    finally:
        test_fleet.close(failed=request.node.stash.get(_FAILED, False))
