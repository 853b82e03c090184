"""Publication of a note: append once, then read until it is accepted or rejected."""

from __future__ import annotations

import time

import attrs

from fescuechute.cli._command import ExitCode
from fescuechute.cli._http import AnswerLostError, NotSentError, Response
from fescuechute.cli._note_log import Backoff, NoteLog
from fescuechute.errors import PlatformError
from fescuechute.notes import Note, note_to_dict


@attrs.frozen
class Outcome:
    """Result of a publication."""

    code: ExitCode
    #: One line to print for the operator.
    text: str


_RERUN_REMEDY = "Run the same command again; a note with the same id is applied only once."
_NOT_PUBLISHED_REMEDY = "Nothing was published; retry later."


class Publisher:
    """Publishes one note; the id of the note is also the id of its record.

    An append is retried only after a failed connection or a refusal by the log, and only when a
    read shows that the note is not in the log. After a lost response it is never retried: the
    publisher reads the log until it finds the note by its id.

    Attributes:
      may_be_in_log: Whether an append was sent that the log may have stored.
    """

    def __init__(self, log: NoteLog, note: Note, timeout_s: float):
        self.may_be_in_log = False
        self._log = log
        self._note = note
        self._data = note_to_dict(note)
        self._deadline = time.monotonic() + timeout_s

    def run(self) -> Outcome:
        """Publishes the note and waits until it is accepted or rejected.

        Raises:
          PlatformError: The log is unavailable or refused the append; this run appended nothing.
        """
        self._log.refresh(self._deadline)
        backoff = Backoff(self._deadline)
        while self._log.find_record(self._note.id) is None:
            if not self.may_be_in_log:
                self._append(backoff)
            try:
                self._log.refresh(self._deadline)
            except PlatformError as exc:
                if not self.may_be_in_log:
                    raise
                return self.unknown_outcome(exc.found)
            if self._log.find_record(self._note.id) is None and not backoff.wait():
                if self.may_be_in_log:
                    return self.unknown_outcome("The note is not in the log yet.")
                raise PlatformError(
                    "The log accepted no append before the deadline.", _NOT_PUBLISHED_REMEDY
                )
        return self._outcome()

    def unknown_outcome(self, found: str) -> Outcome:
        """Returns the outcome of a publication whose effect cannot be determined."""
        return Outcome(ExitCode.OUTCOME_UNKNOWN, f"outcome unknown: {found} {_RERUN_REMEDY}")

    def _append(self, backoff: Backoff) -> None:
        """Sends one append; after a failed connection or a refusal, waits for the next attempt.

        Raises:
          PlatformError: The deadline has passed, or the refusal is permanent.
        """
        self.may_be_in_log = True
        try:
            response = self._log.append(self._note.id, self._data)
        except AnswerLostError:
            return
        except NotSentError:
            self.may_be_in_log = False
            if not backoff.wait():
                raise
            return
        if _is_refusal(response):
            self.may_be_in_log = False
            if response.status not in (429, 503) or not backoff.wait():
                found = f"The log refused the append with status {response.status}."
                raise PlatformError(found, _NOT_PUBLISHED_REMEDY)

    def _outcome(self) -> Outcome:
        record = self._log.find_record(self._note.id)
        assert record is not None
        offset = record["offset"]
        if record["data"] != self._data:
            return Outcome(
                ExitCode.REFUSED,
                f"refused: the id {self._note.id} belongs to another note at offset {offset}. "
                "Choose another id.",
            )
        entry = self._log.history_entry_at(offset)
        if entry is None and not self._log.ledger.is_current:
            found = f"The note is at offset {offset}, but the log has no usable snapshot."
            return self.unknown_outcome(found)
        if entry is None:
            found = f"The note at offset {offset} repeats one that is no longer in the log."
            return Outcome(ExitCode.OUTCOME_UNKNOWN, f"outcome unknown: {found}")
        if entry.accepted:
            return Outcome(ExitCode.DONE, f"accepted: revision {entry.revision} at offset {offset}")
        return Outcome(ExitCode.REFUSED, f"rejected at offset {offset}: {entry.reason}")


def _is_refusal(response: Response) -> bool:
    """Returns whether the status means that nothing was appended."""
    return 400 <= response.status < 500 or response.status == 503
