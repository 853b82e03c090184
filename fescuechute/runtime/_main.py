"""Runs a daemon with the settings file that the platform names."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable

from fescuechute.errors import Problem, SettingsError
from fescuechute.platform import SETTINGS_VARIABLE
from fescuechute.runtime._process import Process

#: Exit code of a process whose settings are invalid; that of the command line.
_BAD_SETTINGS = 2


def run_daemon(make: Callable[[str], Process]) -> int:
    """Runs a daemon until it is stopped, without loading the command line.

    Problems of the settings are printed to standard error.

    Args:
      make: Creates the daemon from the path of its settings file.

    Returns:
      The exit code.
    """
    try:
        path = os.environ.get(SETTINGS_VARIABLE, "")
        if not path:
            found, remedy = "It is not set.", "Set it to the path of the settings file (JSON)."
            raise SettingsError([Problem("environment", SETTINGS_VARIABLE, found, remedy)])
        make(path).run()
    except SettingsError as exc:
        print("\n".join(str(problem) for problem in exc.problems), file=sys.stderr)
        return _BAD_SETTINGS
    return 0
