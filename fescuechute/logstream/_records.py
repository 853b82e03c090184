"""Form in which records travel between processes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgpack

#: Largest packed record. One must fit into a frame between processes (1 MiB).
MAX_RECORD_BYTES = 960 * 1024

#: Longest record id that is passed on, in characters.
_MAX_ID = 4096


def transportable(record: Mapping[str, Any]) -> tuple[dict[str, Any], int]:
    """Returns a record in a form that every process can pass on.

    Anyone may append to the log, and JSON allows content that msgpack or a frame does not: whole
    numbers above 64 bits, lone surrogates, deep nesting, large bodies. Such data is replaced by a
    marker that no stream accepts as valid. The replacement depends on the record alone, so
    processes that read the log and processes that get the record from a peer see the same.

    Args:
      record: Object with `offset`, `time`, `id` and `data`.

    Returns:
      The record and its packed size in bytes.
    """
    clean = {
        "offset": record["offset"],
        "time": record["time"],
        "id": str(record["id"])[:_MAX_ID].encode(errors="replace").decode(),
        "data": record["data"],
    }
    try:
        size = len(msgpack.packb(clean))
    except (OverflowError, RecursionError, TypeError, ValueError):
        return _replaced(clean, "not transportable")
    if size > MAX_RECORD_BYTES:
        return _replaced(clean, f"above {MAX_RECORD_BYTES} bytes")
    return clean, size


def _replaced(record: dict[str, Any], why: str) -> tuple[dict[str, Any], int]:
    replaced = {**record, "data": {"unreadable": why}}
    return replaced, len(msgpack.packb(replaced))


def is_record(value: object, offset: int) -> bool:
    """Returns whether a value has the form of the record at an offset."""
    return (
        isinstance(value, Mapping)
        and {"offset", "time", "id", "data"} <= value.keys()
        and value["offset"] == offset
        and isinstance(value["time"], int | float)
    )
