"""Base of all commands."""

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

#: Names the log where `--log` is not given.
LOG_VARIABLE = "FESCUECHUTE_LOG"

LOG_OPTION = option(
    "log",
    None,
    f"Address of the log service as ip:port; by default ${LOG_VARIABLE}.",
    flag=False,
)


class ExitCode(enum.IntEnum):
    """What the exit code of a command means."""

    DONE = 0
    #: The note was rejected, or the revision is not in force.
    REFUSED = 1
    #: The command line or an input file has a fault.
    BAD_INPUT = 2
    #: The platform did not answer, and nothing was changed.
    PLATFORM_UNAVAILABLE = 3
    #: Whether the action took effect cannot be told now.
    OUTCOME_UNKNOWN = 4


class BaseCommand(Command):
    """Writes text as it is, without cleo's markup, because notes may contain any characters."""

    def say(self, text: str) -> None:
        """Writes one line to standard output."""
        self.io.output.write_line(printable(text), type=Type.RAW)

    def complain(self, text: str) -> None:
        """Writes one line to standard error."""
        self.io.error_output.write_line(printable(text), type=Type.RAW)

    def checked_option(self, name: str, check: Check, default: str | None = None) -> Any:
        """Returns the checked value of an option.

        Raises:
          SettingsError: The option is missing or has a wrong value.
        """
        text = self.option(name) or default
        if text is None:
            findings = Findings("command line")
            findings.add(f"--{name}", "The option is missing.", f"Add `--{name}`; see `--help`.")
            raise SettingsError(findings.problems)
        return read_argument(text, f"--{name}", check)

    def log_address(self) -> Address:
        """Returns the address of the log service."""
        return self.checked_option("log", IpPort(), os.environ.get(LOG_VARIABLE))

    def seconds_option(self, name: str) -> float:
        """Returns a duration in seconds."""
        return read_argument(number(self.option(name)), f"--{name}", Number(0, above_low=True))


def read_argument(value: object, name: str, check: Check) -> Any:
    """Returns a checked argument.

    Raises:
      SettingsError: The value is wrong.
    """
    findings = Findings("command line")
    result = check.read(value, name, findings)
    if result is INVALID:
        raise SettingsError(findings.problems)
    return result


def number(text: str) -> float | str:
    """Returns the number that a text holds, or the text itself."""
    try:
        return float(text)
    except ValueError:
        return text


def utc(unix_seconds: float) -> str:
    """Returns a unix time as ISO text with milliseconds."""
    moment = datetime.fromtimestamp(unix_seconds, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def printable(text: str) -> str:
    """Returns a text with control characters escaped, so that notes cannot steer a terminal."""
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
