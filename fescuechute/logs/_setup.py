"""Logbook loggers and the single handler that writes their records."""

from __future__ import annotations

import functools
import json
import sys
from typing import TextIO

import logbook
from logbook import LogRecord

#: Valid log levels in the settings, lowest first.
LEVELS = ("debug", "info", "notice", "warning", "error", "critical")

#: Valid log formats in the settings.
FORMATS = ("text", "json")

#: Sets the level of all part loggers, so that disabled calls do not create records.
_logger_group = logbook.LoggerGroup()
#: The installed handler setup, if any.
_installed_setups: list[logbook.NestedSetup] = []


@functools.cache
def part_logger(part: str) -> logbook.Logger:
    """Returns the logger of a part of the system.

    Args:
      part: Prefix of its lines, such as `entry` or `exchange`.
    """
    logger = logbook.Logger(part)
    _logger_group.add_logger(logger)
    return logger


def setup(level: str, format: str, stream: TextIO | None = None) -> None:
    """Configures logging; a later call replaces the configuration.

    Args:
      level: Lowest level that is written, one of `LEVELS`.
      format: `text` for human-readable lines, `json` for one JSON object per line.
      stream: Output stream, by default standard error.

    Raises:
      ValueError: The level or the format is unknown.
    """
    if level not in LEVELS:
        raise ValueError(f"Found log level {level!r}; use one of {', '.join(LEVELS)}.")
    if format not in FORMATS:
        raise ValueError(f"Found log format {format!r}; use one of {', '.join(FORMATS)}.")
    handler = logbook.StreamHandler(sys.stderr if stream is None else stream, level=level.upper())
    handler.formatter = _format_json if format == "json" else _format_text
    while _installed_setups:
        _installed_setups.pop().pop_application()
    # The null handler stops records below the level from reaching Logbook's default handler.
    handlers = logbook.NestedSetup([logbook.NullHandler(), handler])
    handlers.push_application()
    _installed_setups.append(handlers)
    _logger_group.level = logbook.lookup_level(level.upper())


def _format_text(record: LogRecord, _handler: logbook.Handler) -> str:
    # An unescaped line break would let a message forge further log lines.
    message = record.message.replace("\r", "\\r").replace("\n", "\\n")
    line = f"{_timestamp(record)} {record.level_name.lower()} {record.channel}: {message}"
    traceback = record.formatted_exception
    return f"{line}\n{traceback}" if traceback else line


def _format_json(record: LogRecord, _handler: logbook.Handler) -> str:
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
    """Returns the record's time as ISO 8601 in UTC with milliseconds."""
    return f"{record.time.isoformat(timespec='milliseconds')}Z"
