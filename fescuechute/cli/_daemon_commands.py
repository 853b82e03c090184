"""Commands that run a daemon or check its settings."""

from __future__ import annotations

import importlib
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from fescuechute.cli._command import BaseCommand, ExitCode
from fescuechute.errors import Problem, SettingsError
from fescuechute.logs import setup
from fescuechute.settings import Settings, load_settings

_CONFIG_OPTION = option("config", "c", "Settings file of the process (TOML).", flag=False)


class EntryCommand(BaseCommand):
    """Runs an entry."""

    name = "entry"
    description = "Runs an entry: accepts requests from callers and routes them."
    options: ClassVar[list[Option]] = [_CONFIG_OPTION]
    help = """\
Runs in the foreground until SIGTERM or SIGINT. It then refuses new requests,
waits for those in flight to finish, and exits.

All settings are checked before anything starts.

Example:
  fescuechute entry --config /etc/fescuechute/entry.toml
"""

    def handle(self) -> int:
        """Loads the settings and runs the daemon until it is stopped."""
        settings = _load_settings_for(self, "entry")
        # Imported here, so that the other commands do not load the daemon's dependencies.
        importlib.import_module("fescuechute.entry").EntryDaemon(settings).run()
        return ExitCode.DONE


class AgentCommand(BaseCommand):
    """Runs an agent."""

    name = "agent"
    description = "Runs the agent of one upstream."
    options: ClassVar[list[Option]] = [_CONFIG_OPTION]
    help = """\
Runs in the foreground until SIGTERM or SIGINT. It then refuses new requests,
waits for the upstream to finish those in flight, and exits.

Example:
  fescuechute agent --config /etc/fescuechute/agent.toml
"""

    def handle(self) -> int:
        """Loads the settings and runs the daemon until it is stopped."""
        settings = _load_settings_for(self, "agent")
        # Imported here, so that the other commands do not load the daemon's dependencies.
        importlib.import_module("fescuechute.agent").AgentDaemon(settings).run()
        return ExitCode.DONE


class CheckCommand(BaseCommand):
    """Checks a settings file."""

    name = "check"
    description = "Checks a settings file and lists every problem."
    arguments: ClassVar[list[Argument]] = [argument("file", "Settings file (TOML).")]
    help = """\
Opens no connections. Each problem is reported with the file, the key, what was found and
how to correct it. Exits with 0 when the file is valid and with 2 otherwise.

Example:
  fescuechute check /etc/fescuechute/entry.toml
"""

    def handle(self) -> int:
        """Checks the file and prints the role and id that it configures."""
        file = self.argument("file")
        settings = load_settings(file)
        self.print_line(f"{file}: valid settings of {settings.process.role} {settings.process.id}")
        return ExitCode.DONE


def _load_settings_for(command: BaseCommand, role: str) -> Settings:
    file = command.option("config")
    if not file:
        found, remedy = "The option is missing.", "Add `--config FILE`."
        raise SettingsError([Problem("command line", "--config", found, remedy)])
    settings = load_settings(file)
    if settings.process.role != role:
        found = f'Found "{settings.process.role}", but the command is `{role}`.'
        remedy = f"Run `fescuechute {settings.process.role}`, or pass another file."
        raise SettingsError([Problem(file, "process.role", found, remedy)])
    setup(settings.logs.level, settings.logs.format)
    return settings
