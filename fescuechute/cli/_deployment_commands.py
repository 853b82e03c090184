"""Commands that run on the users' platform, with settings in its format (JSON)."""

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
    f"Settings file in the platform's format (JSON); defaults to ${SETTINGS_VARIABLE}.",
    flag=False,
)


class GatewayCommand(BaseCommand):
    """Runs a gateway."""

    name = "gateway"
    description = "Runs a gateway: accepts HTTP requests from clients and routes them to replicas."
    options: ClassVar[list[Option]] = [_SETTINGS_OPTION]
    help = """\
Runs in the foreground until SIGTERM or SIGINT. It then reports that it is not ready,
finishes the requests in flight, and exits. Settings are reloaded on SIGHUP and when the file
changes.

Example:
  fescuechute gateway --settings /etc/fescuechute/node.json
"""

    def handle(self) -> int:
        """Runs the daemon until it is stopped."""
        # Imported here, so that the other commands do not load the daemon's dependencies.
        importlib.import_module("fescuechute.gateway").GatewayDaemon(_settings_path(self)).run()
        return ExitCode.DONE


class StagerCommand(BaseCommand):
    """Runs a stager."""

    name = "stager"
    description = "Runs the stager of one engine: keeps the engine on the declared weights."
    options: ClassVar[list[Option]] = [_SETTINGS_OPTION]
    help = """\
Runs in the foreground until SIGTERM or SIGINT. Settings are reloaded on SIGHUP and when the file
changes.

Example:
  fescuechute stager --settings /etc/fescuechute/node.json
"""

    def handle(self) -> int:
        """Runs the daemon until it is stopped."""
        importlib.import_module("fescuechute.stager").StagerDaemon(_settings_path(self)).run()
        return ExitCode.DONE


class CheckNodeCommand(BaseCommand):
    """Checks a settings file in the platform's format."""

    name = "check-node"
    description = "Checks a settings file in the platform's format and lists every problem."
    arguments: ClassVar[list[Argument]] = [argument("file", "Settings file (JSON).")]
    help = """\
Opens no connections. Each problem is reported with the file, the key, what was found and
how to correct it. Exits with 0 when the file is valid and with 2 otherwise.

Example:
  fescuechute check-node /etc/fescuechute/node.json
"""

    def handle(self) -> int:
        """Checks the file and prints the node that it configures."""
        file = self.argument("file")
        settings = load_node_settings(file)
        self.print_line(f"{file}: valid settings of {settings.node}")
        return ExitCode.DONE


def _settings_path(command: BaseCommand) -> str:
    path = command.option("settings") or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        found = "The option is missing."
        remedy = f"Add `--settings FILE` or set {SETTINGS_VARIABLE}."
        raise SettingsError([Problem("command line", "--settings", found, remedy)])
    return path
