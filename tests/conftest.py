"""Fixtures and hooks for all tests."""

from tests.harness.known_failures import pytest_collection_modifyitems
from tests.harness.plugin import fleet, pytest_runtest_makereport

__all__ = ["fleet", "pytest_collection_modifyitems", "pytest_runtest_makereport"]
