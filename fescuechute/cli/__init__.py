"""The `fescuechute` command line.

Example:
  >>> from fescuechute.cli import main
  >>> main(["check", "missing.toml"])
  <ExitCode.BAD_INPUT: 2>
"""

from fescuechute.cli._application import main
from fescuechute.cli._command import ExitCode

__all__ = ["ExitCode", "main"]
