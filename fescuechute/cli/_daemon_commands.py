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
    description = "Runs an entry: takes callers' requests and routes them."
    options: ClassVar[list[Option]] = [_CONFIG_OPTION]
    help = """\
Runs in the foreground until SIGTERM or SIGINT. It then refuses new requests, lets
those in flight end, and exits.

The settings are checked in full before anything starts.

Example:
  fescuechute entry --config /etc/fescuechute/entry.toml
"""

    def handle(self) -> int:
        """Loads the settings and runs the daemon until it is stopped."""
        settings = _load(self, "entry")
        # Imported late, so that the other commands start without the daemon's libraries.
        importlib.import_module("fescuechute.entry").EntryDaemon(settings).run()
        return ExitCode.DONE


class AgentCommand(BaseCommand):
    """Runs an agent."""

    name = "agent"
    description = "Runs the agent beside one upstream."
    options: ClassVar[list[Option]] = [_CONFIG_OPTION]
    help = """\
Runs in the foreground until SIGTERM or SIGINT. It then refuses new work, lets the
upstream finish what it runs, and exits.

Example:
  fescuechute agent --config /etc/fescuechute/agent.toml
"""

    def handle(self) -> int:
        """Loads the settings and runs the daemon until it is stopped."""
        settings = _load(self, "agent")
        # Imported late, so that the other commands start without the daemon's libraries.
        importlib.import_module("fescuechute.agent").AgentDaemon(settings).run()
        return ExitCode.DONE


class CheckCommand(BaseCommand):
    """Checks a settings file."""

    name = "check"
    description = "Checks a settings file and lists every problem."
    arguments: ClassVar[list[Argument]] = [argument("file", "Settings file (TOML).")]
    help = """\
Connects to nothing. Each problem names the file, the key, what was found and what to
write instead. Exits with 0 when the file can be used and with 2 otherwise.

Example:
  fescuechute check /etc/fescuechute/entry.toml
"""

    def handle(self) -> int:
        """Checks the file."""
        file = self.argument("file")
        settings = load_settings(file)
        self.say(f"{file}: usable settings of {settings.process.role} {settings.process.id}")
        return ExitCode.DONE


def _load(command: BaseCommand, role: str) -> Settings:
    file = command.option("config")
    if not file:
        found, remedy = "The option is missing.", "Add `--config FILE`."
        raise SettingsError([Problem("command line", "--config", found, remedy)])
    settings = load_settings(file)
    if settings.process.role != role:
        found = f'Found "{settings.process.role}", but the command is `{role}`.'
        remedy = f"Run `fescuechute {settings.process.role}`, or give another file."
        raise SettingsError([Problem(file, "process.role", found, remedy)])
    setup(settings.logs.level, settings.logs.format)
    return settings
