"""Writes settings files in TOML."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any


def to_toml(settings: Mapping[str, Any]) -> str:
    """Returns settings as TOML text.

    Args:
      settings: Maps each section name to a mapping (`[section]`) or to a list of mappings
        (`[[section]]`). Keys with the value None are omitted.
    """
    lines = []
    for name, section in settings.items():
        is_list = isinstance(section, (list, tuple))
        for table in section if is_list else [section]:
            lines.append(f"[[{name}]]" if is_list else f"[{name}]")
            lines += [
                f"{key} = {_value(value)}" for key, value in table.items() if value is not None
            ]
            lines.append("")
    return "\n".join(lines)


def write_settings(path: Path, settings: Mapping[str, Any]) -> Path:
    """Writes a settings file and returns its path."""
    path.write_text(to_toml(settings), encoding="utf-8")
    return path


def _value(value: Any) -> str:
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(map(_value, value)) + "]"
    if isinstance(value, Path):
        value = str(value)
    if isinstance(value, (bool, int, float)):
        return json.dumps(value)
    if isinstance(value, str):
        # A JSON string is also a TOML basic string, unless it contains escaped surrogates.
        return json.dumps(value, ensure_ascii=False)
    raise TypeError(f"cannot write as TOML: {type(value).__name__}")
