"""Commands that run the processes of a deployment on the users' platform."""

from __future__ import annotations

import importlib
import os
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from fescuechute.cli._command import BaseCommand, ExitCode
from fescuechute.errors import Problem, SettingsError
from fescuechute.platform import SETTINGS_VARIABLE, load_node_settings

_SETTINGS_OPTION = option(
    "settings",
    None,
    f"Settings file in the platform's format (JSON); by default ${SETTINGS_VARIABLE}.",
    flag=False,
)


class GatewayCommand(BaseCommand):
    """Runs a gateway."""

    name = "gateway"
    description = "Runs a gateway: takes clients' HTTP on the platform and routes it to replicas."
    options: ClassVar[list[Option]] = [_SETTINGS_OPTION]
    help = """\
Runs in the foreground until SIGTERM or SIGINT. It then reports not ready, answers what is
under way, and exits. Settings are read again on SIGHUP and when the file changes.

Example:
  fescuechute gateway --settings /etc/fescuechute/node.json
"""

    def handle(self) -> int:
        """Runs the daemon until it is stopped."""
        # Imported late, so that the other commands start without the daemon's libraries.
        importlib.import_module("fescuechute.gateway").GatewayDaemon(_path(self)).run()
        return ExitCode.DONE


class StagerCommand(BaseCommand):
    """Runs a stager."""

    name = "stager"
    description = "Runs the stager beside one engine: keeps it at the declared weights."
    options: ClassVar[list[Option]] = [_SETTINGS_OPTION]
    help = """\
Runs in the foreground until SIGTERM or SIGINT. Settings are read again on SIGHUP and when the
file changes.

Example:
  fescuechute stager --settings /etc/fescuechute/node.json
"""

    def handle(self) -> int:
        """Runs the daemon until it is stopped."""
        importlib.import_module("fescuechute.stager").StagerDaemon(_path(self)).run()
        return ExitCode.DONE


class CheckNodeCommand(BaseCommand):
    """Checks a settings file in the platform's format."""

    name = "check-node"
    description = "Checks a settings file in the platform's format and lists every problem."
    arguments: ClassVar[list[Argument]] = [argument("file", "Settings file (JSON).")]
    help = """\
Connects to nothing. Each problem names the file, the key, what was found and what to
write instead. Exits with 0 when the file can be used and with 2 otherwise.

Example:
  fescuechute check-node /etc/fescuechute/node.json
"""

    def handle(self) -> int:
        """Checks the file."""
        file = self.argument("file")
        settings = load_node_settings(file)
        self.say(f"{file}: usable settings of {settings.node}")
        return ExitCode.DONE


def _path(command: BaseCommand) -> str:
    path = command.option("settings") or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        found = "The option is missing."
        remedy = f"Add `--settings FILE` or set {SETTINGS_VARIABLE}."
        raise SettingsError([Problem("command line", "--settings", found, remedy)])
    return path
