"""The cleo application and the exit codes of errors."""

from __future__ import annotations

import functools
import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from fescuechute import __version__
from fescuechute.cli._command import ExitCode
from fescuechute.cli._daemon_commands import AgentCommand, CheckCommand, EntryCommand
from fescuechute.cli._deployment_commands import (
    CheckNodeCommand,
    GatewayCommand,
    StagerCommand,
)
from fescuechute.cli._follow_command import NoteFollowCommand
from fescuechute.cli._note_commands import (
    NoteAuditCommand,
    NoteCheckCommand,
    NoteListCommand,
    NotePublishCommand,
    NoteShowCommand,
)
from fescuechute.errors import NoteError, PlatformError, SettingsError


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one command.

    Args:
      argv: Arguments without the program's name, by default those of the process.

    Returns:
      The exit code; see `ExitCode`.
    """
    arguments = sys.argv[1:] if argv is None else list(argv)
    try:
        return ExitCode(_application().run(ArgvInput(["fescuechute", *arguments])))
    except (CleoError, NoteError, PlatformError, SettingsError) as exc:
        print(_message(exc), file=sys.stderr)
        return _exit_code(exc)


def _application() -> Application:
    application = Application("fescuechute", __version__)
    application.set_display_name("fescuechute")
    application.catch_exceptions(False)
    application.auto_exits(False)
    for command in (
        EntryCommand(),
        AgentCommand(),
        GatewayCommand(),
        StagerCommand(),
        CheckNodeCommand(),
        CheckCommand(),
        NoteCheckCommand(),
        NotePublishCommand(),
        NoteListCommand(),
        NoteShowCommand(),
        NoteAuditCommand(),
        NoteFollowCommand(),
    ):
        application.add(command)
    return application


@functools.singledispatch
def _message(exc: Exception) -> str:
    return str(exc).strip()


@_message.register(SettingsError)
@_message.register(NoteError)
def _(exc: SettingsError | NoteError) -> str:
    return "\n".join(str(problem) for problem in exc.problems)


@functools.singledispatch
def _exit_code(exc: Exception) -> ExitCode:
    raise TypeError(f"{type(exc).__name__} has no exit code")


@_exit_code.register(CleoError)
@_exit_code.register(NoteError)
@_exit_code.register(SettingsError)
def _(_exc: Exception) -> ExitCode:
    return ExitCode.BAD_INPUT


@_exit_code.register(PlatformError)
def _(_exc: PlatformError) -> ExitCode:
    return ExitCode.PLATFORM_UNAVAILABLE
