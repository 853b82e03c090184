"""Base class, exit codes and argument checks shared by all commands."""

from __future__ import annotations

import enum
import os
from datetime import UTC, datetime
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from fescuechute.checks import INVALID, Address, Check, Findings, IpPort, Number
from fescuechute.errors import SettingsError

#: Environment variable with the address of the log service, read when `--log` is missing.
LOG_ADDRESS_VARIABLE = "FESCUECHUTE_LOG"

LOG_OPTION = option(
    "log",
    None,
    f"Address of the log service as ip:port; defaults to ${LOG_ADDRESS_VARIABLE}.",
    flag=False,
)


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    #: The note was rejected, or the revision is not in force within the timeout.
    REFUSED = 1
    #: The command line or an input file is invalid.
    BAD_INPUT = 2
    #: The platform is unreachable or refused the request; nothing was changed.
    PLATFORM_UNAVAILABLE = 3
    #: The result cannot be determined, for example because a response was lost.
    OUTCOME_UNKNOWN = 4


class BaseCommand(Command):
    """Command with output and option helpers.

    Output bypasses cleo's markup, because the texts of notes may contain its tags.
    """

    def print_line(self, text: str) -> None:
        """Writes one line to standard output."""
        self.io.output.write_line(escape_unprintable(text), type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Writes one line to standard error."""
        self.io.error_output.write_line(escape_unprintable(text), type=Type.RAW)

    def checked_option(self, name: str, check: Check, default: str | None = None) -> Any:
        """Returns the validated value of an option, or of `default` when it is missing.

        Raises:
          SettingsError: The option is missing or its value is invalid.
        """
        text = self.option(name) or default
        if text is None:
            findings = Findings("command line")
            findings.add(f"--{name}", "The option is missing.", f"Add `--{name}`; see `--help`.")
            raise SettingsError(findings.problems)
        return check_argument(text, f"--{name}", check)

    def log_address(self) -> Address:
        """Returns the address of the log service from `--log` or the environment.

        Raises:
          SettingsError: No address is given, or it is invalid.
        """
        return self.checked_option("log", IpPort(), os.environ.get(LOG_ADDRESS_VARIABLE))

    def seconds_option(self, name: str) -> float:
        """Returns the value of an option that is a positive number of seconds.

        Raises:
          SettingsError: The value is invalid.
        """
        return check_argument(
            float_or_text(self.option(name)), f"--{name}", Number(0, exclusive_low=True)
        )


def check_argument(value: object, name: str, check: Check) -> Any:
    """Returns the value of an argument or option as converted by a check.

    Raises:
      SettingsError: The value is invalid.
    """
    findings = Findings("command line")
    result = check.read(value, name, findings)
    if result is INVALID:
        raise SettingsError(findings.problems)
    return result


def float_or_text(text: str) -> float | str:
    """Returns the text as a float, or unchanged when it is not a number."""
    try:
        return float(text)
    except ValueError:
        return text


def format_utc(unix_seconds: float) -> str:
    """Formats a unix time in ISO 8601 with milliseconds, in UTC."""
    time = datetime.fromtimestamp(unix_seconds, UTC)
    return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def escape_unprintable(text: str) -> str:
    """Escapes characters that are not printable, so that notes cannot emit terminal controls."""
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
