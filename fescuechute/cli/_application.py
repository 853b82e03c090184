"""Entry point of the command line: registers the commands and maps errors to exit codes."""

from __future__ import annotations

import functools
import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from fescuechute import __version__
from fescuechute.cli._command import ExitCode
from fescuechute.cli._config_command import CheckConfigCommand
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
    """Parses the arguments and runs one command.

    Errors are printed to standard error.

    Args:
      argv: Arguments without the program name, `sys.argv[1:]` by default.

    Returns:
      The exit code; see `ExitCode`.
    """
    arguments = sys.argv[1:] if argv is None else list(argv)
    try:
        return ExitCode(_create_application().run(ArgvInput(["fescuechute", *arguments])))
    except (CleoError, NoteError, PlatformError, SettingsError) as exc:
        print(_error_text(exc), file=sys.stderr)
        return _exit_code_for(exc)


def _create_application() -> Application:
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
        CheckConfigCommand(),
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
def _error_text(exc: Exception) -> str:
    return str(exc).strip()


@_error_text.register(SettingsError)
@_error_text.register(NoteError)
def _(exc: SettingsError | NoteError) -> str:
    return "\n".join(str(problem) for problem in exc.problems)


@functools.singledispatch
def _exit_code_for(exc: Exception) -> ExitCode:
    raise TypeError(f"{type(exc).__name__} has no exit code")


@_exit_code_for.register(CleoError)
@_exit_code_for.register(NoteError)
@_exit_code_for.register(SettingsError)
def _(_exc: Exception) -> ExitCode:
    return ExitCode.BAD_INPUT


@_exit_code_for.register(PlatformError)
def _(_exc: PlatformError) -> ExitCode:
    return ExitCode.PLATFORM_UNAVAILABLE
