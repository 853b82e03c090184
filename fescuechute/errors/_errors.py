"""Exception hierarchy. Each message states the problem and its remedy."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from fescuechute.errors._reasons import ExecutionStatus, Reason, refusal


class FescuechuteError(Exception):
    """Base class of all errors that this project raises.

    Attributes:
      found: Description of the problem in one sentence, without the remedy.
      remedy: What the reader can do about it, in one sentence.
    """

    def __init__(self, found: str, remedy: str):
        super().__init__(f"{found} {remedy}")
        self.found = found
        self.remedy = remedy


@attrs.frozen
class Problem:
    """One problem in an input file."""

    #: Path of the file as the user gave it.
    file: str
    #: Dotted key, such as `agent.slots`, or an empty string for the whole file.
    key: str
    #: Description of the problem.
    found: str
    #: How to correct it.
    remedy: str

    def __str__(self) -> str:
        """Returns one line for a terminal."""
        location = f"{self.file}: {self.key}" if self.key else self.file
        return f"{location}: {self.found} {self.remedy}"


class _ProblemsError(FescuechuteError):
    def __init__(self, problems: Sequence[Problem]):
        self.problems = tuple(problems)
        lines = "\n".join(str(problem) for problem in self.problems)
        super().__init__(f"{len(self.problems)} problem(s) found:\n{lines}\n", "Correct each one.")


class SettingsError(_ProblemsError):
    """A settings file is invalid. Lists every problem of the file."""


class NoteError(_ProblemsError):
    """A release note is invalid. Lists every problem of the note."""


class PlatformError(FescuechuteError):
    """The log, the store, the origin or the VM list sent an invalid response or none."""


class WireError(FescuechuteError):
    """A peer sent bytes that are not a valid message."""


class FrameTooLargeError(WireError):
    """A frame exceeds the size limit."""


class FrameTruncatedError(WireError):
    """A connection ended inside a frame, or a message lacks fields."""


class FrameCorruptError(WireError):
    """The checksum of a frame does not match its content."""


class ProtocolVersionError(WireError):
    """A peer uses a protocol version that this process does not support."""


class UnknownMessageError(WireError):
    """A frame has a message type that this protocol version does not define."""


class ResponseTooLargeError(FescuechuteError):
    """A response of an upstream exceeds the memory that it may take."""


class RefusedError(FescuechuteError):
    """A request was refused or failed.

    Attributes:
      reason: The refusal reason; each reason has its own counter.
      ran: Whether the request was executed.
      retry_at: Earliest time of a retry that may succeed, in Unix seconds, or None.
    """

    def __init__(
        self,
        reason: Reason,
        found: str,
        *,
        ran: ExecutionStatus = ExecutionStatus.NOT_RUN,
        retry_at: float | None = None,
    ):
        super().__init__(found, refusal(reason).remedy)
        self.reason = reason
        self.ran = ran
        self.retry_at = retry_at
