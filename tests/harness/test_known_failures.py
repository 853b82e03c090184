"""Only the tests listed in KNOWN-RED.txt may be marked as expected failures."""

import pytest

from tests.harness.known_failures import parse_known_failures, pytest_collection_modifyitems


class FakeItem:
    """Fake of a collected pytest item."""

    def __init__(self, nodeid):
        self.nodeid = nodeid
        self.markers = []

    def add_marker(self, marker):
        self.markers.append(marker)


@pytest.mark.parametrize(
    ("name", "text", "expected"),
    [
        ("comments and notes name nothing", "# tests/a.py::b\n  seen: tests/a.py::c\n", set()),
        ("one a line", "tests/a.py::b\ntests/a.py::c[x]\n", {"tests/a.py::b", "tests/a.py::c[x]"}),
    ],
)
def test_parse_known_failures(name, text, expected):
    """Only lines that start with a test id count; comments and notes do not."""
    assert parse_known_failures(text) == expected, name


def test_unlisted_tests_are_not_marked():
    """An unlisted test in a file with listed tests must not be marked."""
    items = [FakeItem("tests/integration/test_caller_floods.py::test_of_no_such_name")]
    pytest_collection_modifyitems(items)
    assert items[0].markers == []
