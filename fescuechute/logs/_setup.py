"""Logbook loggers and the one handler that writes them."""

from __future__ import annotations

import functools
import json
import sys
from typing import TextIO

import logbook
from logbook import LogRecord

#: Levels that settings may name, lowest first.
LEVELS = ("debug", "info", "notice", "warning", "error", "critical")

#: Formats that settings may name.
FORMATS = ("text", "json")

#: Holds the level of all part loggers, so that a disabled call costs no record.
_group = logbook.LoggerGroup()
_active: list[logbook.NestedSetup] = []


@functools.cache
def part_logger(part: str) -> logbook.Logger:
    """Returns the logger of a part.

    Args:
      part: The fixed prefix of its lines, such as `entry` or `exchange`.
    """
    logger = logbook.Logger(part)
    _group.add_logger(logger)
    return logger


def setup(level: str, format: str, stream: TextIO | None = None) -> None:
    """Starts writing log lines; a second call replaces the first.

    Args:
      level: Lowest level written, one of `LEVELS`.
      format: `text` for lines to read, `json` for one JSON object a line.
      stream: Where lines go, by default standard error.

    Raises:
      ValueError: The level or the format does not exist.
    """
    if level not in LEVELS:
        raise ValueError(f"Found log level {level!r}; use one of {', '.join(LEVELS)}.")
    if format not in FORMATS:
        raise ValueError(f"Found log format {format!r}; use one of {', '.join(FORMATS)}.")
    handler = logbook.StreamHandler(sys.stderr if stream is None else stream, level=level.upper())
    handler.formatter = _json_line if format == "json" else _text_line
    while _active:
        _active.pop().pop_application()
    # The null handler keeps records below the level from Logbook's default handler.
    nested = logbook.NestedSetup([logbook.NullHandler(), handler])
    nested.push_application()
    _active.append(nested)
    _group.level = logbook.lookup_level(level.upper())


def _text_line(record: LogRecord, _handler: logbook.Handler) -> str:
    # Line breaks in a message could be taken for further log lines.
    message = record.message.replace("\r", "\\r").replace("\n", "\\n")
    line = f"{_timestamp(record)} {record.level_name.lower()} {record.channel}: {message}"
    trace = record.formatted_exception
    return f"{line}\n{trace}" if trace else line


def _json_line(record: LogRecord, _handler: logbook.Handler) -> str:
    fields = {
        "time": _timestamp(record),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
    }
    if record.extra:
        fields["extra"] = dict(record.extra)
    if record.formatted_exception:
        fields["exception"] = record.formatted_exception
    return json.dumps(fields, default=str)


def _timestamp(record: LogRecord) -> str:
    """Returns the record's UTC time with milliseconds."""
    return f"{record.time.isoformat(timespec='milliseconds')}Z"
