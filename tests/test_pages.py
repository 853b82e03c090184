"""The operators' pages: guards against counters that nobody can look up."""

import re
from pathlib import Path

from fescuechute.errors import Reason

ROOT = Path(__file__).resolve().parents[1]
PAGE = "".join((ROOT / "docs" / name).read_text() for name in ("operators.md", "OPERATIONS.md"))


def test_each_counter_of_the_code_is_explained():
    """An operator who sees a counter must find it on the page."""
    missing = []
    for path in (ROOT / "fescuechute").rglob("*.py"):
        for name in re.findall(r"count\(\s*f?\"([^\"]+)\"", path.read_text()):
            part = name.split("{")[0]
            if part not in PAGE and part.rpartition(".")[2] not in PAGE:
                missing.append(name)
    assert missing == []


def test_each_refusal_reason_is_explained():
    """An operator who sees a refusal reason must find it on the page."""
    assert [str(reason) for reason in Reason if str(reason) not in PAGE] == []
