"""Publication of a note: append once, then read until the verdict is known."""

from __future__ import annotations

import time

import attrs

from fescuechute.cli._command import ExitCode
from fescuechute.cli._http import Answer, AnswerLostError, NotSentError
from fescuechute.cli._note_log import Backoff, NoteLog
from fescuechute.errors import PlatformError
from fescuechute.notes import Note, note_to_dict


@attrs.frozen
class Outcome:
    """How a publication ended."""

    code: ExitCode
    #: One line for the operator.
    text: str


_REPEAT = "Run the same command again; a note with the same id is folded only once."
_NOT_PUBLISHED = "Nothing was published; try again later."


class Publisher:
    """Publishes one note under its own id as the record id.

    An append is repeated only when the log has refused it and a read shows that it is not there.
    After a lost answer it is never repeated: the note is looked for by its id instead.

    Attributes:
      may_be_appended: Whether the note may be in the log already.
    """

    def __init__(self, log: NoteLog, note: Note, timeout_s: float):
        self.may_be_appended = False
        self._log = log
        self._note = note
        self._data = note_to_dict(note)
        self._deadline = time.monotonic() + timeout_s

    def run(self) -> Outcome:
        """Publishes the note and waits for its verdict.

        Raises:
          PlatformError: The log did not answer, and the note is not in it.
        """
        self._log.refresh(self._deadline)
        backoff = Backoff(self._deadline)
        while self._log.find(self._note.id) is None:
            if not self.may_be_appended:
                self._append(backoff)
            try:
                self._log.refresh(self._deadline)
            except PlatformError as exc:
                if not self.may_be_appended:
                    raise
                return self.unknown(exc.found)
            if self._log.find(self._note.id) is None and not backoff.wait():
                if self.may_be_appended:
                    return self.unknown("The note is not in the log so far.")
                raise PlatformError("The log took no append in time.", _NOT_PUBLISHED)
        return self._verdict()

    def unknown(self, found: str) -> Outcome:
        """Returns the outcome of a publication whose effect cannot be told."""
        return Outcome(ExitCode.OUTCOME_UNKNOWN, f"outcome unknown: {found} {_REPEAT}")

    def _append(self, backoff: Backoff) -> None:
        """Appends, and waits after a refusal.

        Raises:
          PlatformError: The log refused until the deadline, or for good.
        """
        self.may_be_appended = True
        try:
            answer = self._log.append(self._note.id, self._data)
        except AnswerLostError:
            return
        except NotSentError:
            self.may_be_appended = False
            if not backoff.wait():
                raise
            return
        if _is_refusal(answer):
            self.may_be_appended = False
            if answer.status not in (429, 503) or not backoff.wait():
                found = f"The log refused the append with status {answer.status}."
                raise PlatformError(found, _NOT_PUBLISHED)

    def _verdict(self) -> Outcome:
        record = self._log.find(self._note.id)
        assert record is not None
        offset = record["offset"]
        if record["data"] != self._data:
            return Outcome(
                ExitCode.REFUSED,
                f"refused: the id {self._note.id} is that of another note at offset {offset}. "
                "Choose another id.",
            )
        entry = self._log.entry_at(offset)
        if entry is None and not self._log.ledger.is_current:
            found = f"The note is at offset {offset}, but the log has no usable snapshot."
            return self.unknown(found)
        if entry is None:
            found = f"The note at offset {offset} repeats one that has left the log."
            return Outcome(ExitCode.OUTCOME_UNKNOWN, f"outcome unknown: {found}")
        if entry.accepted:
            return Outcome(ExitCode.DONE, f"accepted: revision {entry.revision} at offset {offset}")
        return Outcome(ExitCode.REFUSED, f"rejected at offset {offset}: {entry.reason}")


def _is_refusal(answer: Answer) -> bool:
    """Returns whether the log answered that it appended nothing."""
    return 400 <= answer.status < 500 or answer.status == 503
