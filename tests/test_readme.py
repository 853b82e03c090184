"""The README: guards against an example that no longer runs."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]


def test_example_prints_what_it_says():
    """A newcomer's first example must run as shown."""
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout == "r2 goes to agent-2\n"


def test_linked_pages_exist():
    """A link of the README must lead somewhere."""
    links = re.findall(r"\]\((docs/[^)]+)\)", (ROOT / "README.md").read_text())
    assert links
    assert [link for link in links if not (ROOT / link).exists()] == []
