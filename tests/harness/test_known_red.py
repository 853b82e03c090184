"""The list of known red tests: guards against a run that passes over more than the list names."""

import pytest

from tests.harness.known_red import known_red, pytest_collection_modifyitems


class Item:
    """Stands in for a collected test."""

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
def test_reads_the_names(name, text, expected):
    """Guards against a note that is taken for a name."""
    assert known_red(text) == expected, name


def test_other_tests_are_left_as_they_are():
    """Guards against a test of the same file, or with a longer name, that may fail unseen."""
    items = [Item("tests/integration/test_caller_floods.py::test_of_no_such_name")]
    pytest_collection_modifyitems(items)
    assert items[0].markers == []
