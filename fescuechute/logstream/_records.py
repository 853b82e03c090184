"""Validation and normalization of records that are passed between processes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgpack

#: Maximum msgpack size of a record in bytes; a record must fit into one frame (1 MiB).
MAX_RECORD_BYTES = 960 * 1024

#: Length in characters to which record ids are truncated.
_MAX_ID_CHARS = 4096


def to_transportable(record: Mapping[str, Any]) -> tuple[dict[str, Any], int]:
    """Converts a record to a form that can be sent in a frame.

    Any client may append to the log, and JSON permits content that msgpack or a frame does not:
    integers above 64 bits, lone surrogates, deep nesting and large bodies. Such data is replaced by
    a marker that no stream accepts as valid. The replacement depends only on the record, so
    processes that read the log and processes that receive the record from a peer see the same data.

    Args:
      record: Object with `offset`, `time`, `id` and `data`.

    Returns:
      The converted record and its msgpack size in bytes.
    """
    normalized = {
        "offset": record["offset"],
        "time": record["time"],
        "id": str(record["id"])[:_MAX_ID_CHARS].encode(errors="replace").decode(),
        "data": record["data"],
    }
    try:
        size = len(msgpack.packb(normalized))
    except (OverflowError, RecursionError, TypeError, ValueError):
        return _replace_data(normalized, "not transportable")
    if size > MAX_RECORD_BYTES:
        return _replace_data(normalized, f"above {MAX_RECORD_BYTES} bytes")
    return normalized, size


def _replace_data(record: dict[str, Any], reason: str) -> tuple[dict[str, Any], int]:
    replaced = {**record, "data": {"unreadable": reason}}
    return replaced, len(msgpack.packb(replaced))


def is_valid_record(value: object, offset: int) -> bool:
    """Returns whether a value has the structure of a record with a given offset."""
    return (
        isinstance(value, Mapping)
        and {"offset", "time", "id", "data"} <= value.keys()
        and value["offset"] == offset
        and isinstance(value["time"], int | float)
    )
