"""Logging with a fixed prefix for each part (component) of the system.

Example:
  >>> import sys
  >>> from fescuechute.logs import part_logger, setup
  >>> setup("info", "json", sys.stderr)
  >>> part_logger("entry").info("Listening on {}.", "127.0.0.1:8000")
"""

from fescuechute.logs._setup import FORMATS, LEVELS, part_logger, setup

__all__ = ["FORMATS", "LEVELS", "part_logger", "setup"]
