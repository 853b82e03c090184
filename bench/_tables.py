"""Prints tables and writes JSON results."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

OUT = Path(__file__).resolve().parents[1] / "out"


def table(title: str, head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Returns a table with aligned columns."""
    cells = [list(map(str, head)), *[[_cell(value) for value in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(head))]
    lines = [title, "  ".join(c.ljust(w) for c, w in zip(cells[0], widths, strict=True))]
    lines.append("  ".join("-" * w for w in widths))
    lines += ["  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in cells[1:]]
    return "\n".join(lines)


def write_json(name: str, result: Any) -> Path:
    """Writes a result under `out/` and returns its path."""
    OUT.mkdir(exist_ok=True)
    path = OUT / f"{name}.json"
    path.write_text(json.dumps(result, indent=1, sort_keys=True) + "\n")
    return path


def _cell(value: Any) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)
