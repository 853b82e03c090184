"""Formats text tables and writes JSON results."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

OUTPUT_DIR = Path(__file__).resolve().parents[1] / "out"


def format_table(title: str, header: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Returns a text table with aligned columns."""
    cells = [list(map(str, header)), *[[_cell(value) for value in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    lines = [
        title,
        "  ".join(cell.ljust(width) for cell, width in zip(cells[0], widths, strict=True)),
    ]
    lines.append("  ".join("-" * width for width in widths))
    lines += [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells[1:]
    ]
    return "\n".join(lines)


def write_json(name: str, result: Any) -> Path:
    """Writes a result to `out/<name>.json` and returns the path."""
    OUTPUT_DIR.mkdir(exist_ok=True)
    path = OUTPUT_DIR / f"{name}.json"
    path.write_text(json.dumps(result, indent=1, sort_keys=True) + "\n")
    return path


def _cell(value: Any) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)
