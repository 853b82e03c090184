"""Log lines with a fixed prefix for each part."""

from __future__ import annotations

import sys
from typing import TextIO

import logbook


def part_logger(name: str) -> logbook.Logger:
    """Returns the logger of a part."""
    return logbook.Logger(name)


def setup(level: str, form: str, stream: TextIO = sys.stderr) -> None:
    """Sends log lines to a stream."""
    logbook.StreamHandler(stream, level=level.upper()).push_application()
