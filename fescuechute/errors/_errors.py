"""Exception tree. Each message says what was found and names the remedy."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from fescuechute.errors._reasons import Ran, Reason, refusal


class FescuechuteError(Exception):
    """Base of all errors raised by this package.

    Attributes:
      found: What was found, one sentence without the remedy.
      remedy: What the reader can do about it, one sentence.
    """

    def __init__(self, found: str, remedy: str):
        super().__init__(f"{found} {remedy}")
        self.found = found
        self.remedy = remedy


@attrs.frozen
class Problem:
    """One fault in an input file."""

    #: Path of the file as the user gave it.
    file: str
    #: Dotted key, such as `agent.slots`, or an empty string for the whole file.
    key: str
    #: What was found there.
    found: str
    #: What to write instead.
    remedy: str

    def __str__(self) -> str:
        """One line for a terminal."""
        where = f"{self.file}: {self.key}" if self.key else self.file
        return f"{where}: {self.found} {self.remedy}"


class _ProblemsError(FescuechuteError):
    def __init__(self, problems: Sequence[Problem]):
        self.problems = tuple(problems)
        lines = "\n".join(str(problem) for problem in self.problems)
        super().__init__(f"{len(self.problems)} problem(s) found:\n{lines}\n", "Correct each one.")


class SettingsError(_ProblemsError):
    """A settings file cannot be used. Holds every problem of the file."""


class NoteError(_ProblemsError):
    """A release note cannot be used. Holds every problem of the note."""


class PlatformError(FescuechuteError):
    """The log, the store, the origin or the VM list did not answer as agreed."""


class WireError(FescuechuteError):
    """A peer sent bytes that are not a valid message."""


class FrameTooLargeError(WireError):
    """A frame exceeds the size limit."""


class FrameTruncatedError(WireError):
    """A connection ended inside a frame, or a message lacks fields."""


class FrameCorruptError(WireError):
    """A frame was changed on its way."""


class ProtocolVersionError(WireError):
    """A peer speaks a version of the protocol that this process does not know."""


class UnknownMessageError(WireError):
    """A frame names a message type that does not exist in this version."""


class RefusedError(FescuechuteError):
    """A request is refused.

    Attributes:
      reason: The refusal reason; each has its own counter.
      ran: Whether any of the request was executed.
      retry_at: Unix seconds after which a retry may succeed, or None.
    """

    def __init__(
        self,
        reason: Reason,
        found: str,
        *,
        ran: Ran = Ran.NOT_RUN,
        retry_at: float | None = None,
    ):
        super().__init__(found, refusal(reason).remedy)
        self.reason = reason
        self.ran = ran
        self.retry_at = retry_at
