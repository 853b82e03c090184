"""Fixtures for all tests."""

from tests.harness.plugin import fleet, pytest_runtest_makereport

__all__ = ["fleet", "pytest_runtest_makereport"]
