"""Commands that check, publish, list and audit notes."""

from __future__ import annotations

import json
import math
import time
from datetime import UTC, datetime
from typing import Any, ClassVar

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from fescuechute.cli._command import LOG_OPTION, BaseCommand, ExitCode, float_or_text, format_utc
from fescuechute.cli._note_file import check_manifest, load_note
from fescuechute.cli._note_log import NoteLog
from fescuechute.cli._publish import Publisher
from fescuechute.errors import Problem, SettingsError
from fescuechute.notes import HistoryEntry, Note, ReleaseState

_FILE_ARGUMENT = argument("file", "Note file (TOML).")
_TIMEOUT_OPTION = option(
    "timeout", None, "Seconds to wait for the log service.", flag=False, default="15"
)


class NoteCheckCommand(BaseCommand):
    """Checks a note file."""

    name = "note check"
    description = "Checks a note file and lists every problem."
    arguments: ClassVar[list[Argument]] = [_FILE_ARGUMENT]
    options: ClassVar[list[Option]] = [
        option(
            "manifest",
            "m",
            "Manifest file of a release in the note; its digest, size, name and version must "
            "match the note.",
            flag=False,
            multiple=True,
        )
    ]
    help = """\
Opens no connections. Example of a note file:

  schema = 1
  id = "2026-12-04-carga-7"
  base = 41                 # the revision in force when the note was written
  author = "ana"
  message = "carga 7 for norte"

  [[set]]
  kind = "model"            # or "adapter", with the key model
  name = "carga"
  version = "7"
  manifest = "(64 hexadecimal digits)"
  size = 734003200
  places = ["norte"]        # regions or data centres, or ["*"]
  workspaces = ["*"]

  [[withdraw]]
  kind = "adapter"
  name = "grua"
  places = ["*"]

Example:
  fescuechute note check carga-7.toml --manifest carga-7.manifest.json
"""

    def handle(self) -> int:
        """Checks the note file and the given manifests."""
        file = self.argument("file")
        note = load_note(file)
        for manifest in self.option("manifest"):
            release = check_manifest(note, file, manifest)
            self.print_line(
                f"{manifest}: manifest of {release.kind} {release.name} {release.version}"
            )
        self.print_line(f"{file}: {_summarize(note)}")
        return ExitCode.DONE


class NotePublishCommand(BaseCommand):
    """Appends a note to the log."""

    name = "note publish"
    description = "Appends a note to the log and waits until it is accepted or rejected."
    arguments: ClassVar[list[Argument]] = [_FILE_ARGUMENT]
    options: ClassVar[list[Option]] = [LOG_OPTION, _TIMEOUT_OPTION]
    help = """\
The note is rejected when its base is not the revision in force at its offset in the
log. In that case read the newer notes, correct the base, choose a new id and publish again.

The id of the note is also the id of its record in the log. When the response to an
append is lost, the command searches the log for the record instead of appending it
again. Running the command twice with the same file is safe: the note is applied once.

Exit codes: 0 accepted, 1 rejected, 2 the file has problems, 3 the log is unavailable
and nothing was published, 4 it is unknown whether the note was published.

Example:
  fescuechute note publish carga-7.toml --log 10.0.0.5:7000
"""

    def handle(self) -> int:
        """Publishes the note and prints whether it was accepted."""
        note = load_note(self.argument("file"))
        log = NoteLog(self.log_address())
        publisher = Publisher(log, note, self.seconds_option("timeout"))
        try:
            outcome = publisher.run()
        except KeyboardInterrupt:
            if not publisher.may_be_in_log:
                raise
            outcome = publisher.unknown_outcome("The command was interrupted.")
        write = self.print_line if outcome.code is ExitCode.DONE else self.print_error
        write(outcome.text)
        return outcome.code


class _LogReadingCommand(BaseCommand):
    """Base of the commands that read every retained record of the log."""

    def read_log(self) -> NoteLog:
        """Reads the log, and warns when its oldest records or a usable snapshot are missing."""
        log = NoteLog(self.log_address())
        log.refresh(time.monotonic() + self.seconds_option("timeout"))
        if log.oldest_offset > 0:
            self.print_error(
                f"The log starts at offset {log.oldest_offset}; earlier notes have aged out."
            )
        if log.records and not log.ledger.is_current:
            self.print_error(
                "The log has no usable snapshot, so it is unknown which notes were accepted."
            )
        return log


class NoteListCommand(_LogReadingCommand):
    """Lists notes."""

    name = "note list"
    description = "Lists the notes in the log and whether each was accepted."
    options: ClassVar[list[Option]] = [LOG_OPTION, _TIMEOUT_OPTION]
    help = """\
One line for each note: offset, time, accepted or rejected, revision in force after it,
id, author, and the message or the reason for the rejection.

Example:
  fescuechute note list --log 10.0.0.5:7000
"""

    def handle(self) -> int:
        """Prints one line for each note."""
        log = self.read_log()
        for entry in log.ledger.history:
            verdict = "accepted" if entry.accepted else "rejected"
            text = entry.message if entry.accepted else entry.reason
            self.print_line(
                f"{entry.offset}  {format_utc(entry.time)}  {verdict}  revision {entry.revision}  "
                f"{entry.note_id}  {entry.author or '-'}  {text}"
            )
        return _history_exit_code(log)


class NoteShowCommand(_LogReadingCommand):
    """Shows the releases in force at a given time."""

    name = "note show"
    description = "Shows the releases in force at a given time, computed from the log."
    options: ClassVar[list[Option]] = [
        LOG_OPTION,
        option(
            "at",
            None,
            "Time in ISO 8601 (UTC unless it has an offset) or unix seconds; defaults to now.",
            flag=False,
        ),
        option("json", None, "Write one JSON object."),
        _TIMEOUT_OPTION,
    ]
    help = """\
Times are those of the log service. Exits with 4 when the records needed for that time
are no longer in the log.

Example:
  fescuechute note show --at 2026-12-04T08:30:00Z --log 10.0.0.5:7000
"""

    def handle(self) -> int:
        """Prints the state at the requested time."""
        requested_at = None if self.option("at") is None else _parse_time(self.option("at"))
        log = self.read_log()
        if requested_at is not None and requested_at > log.server_time:
            found = (
                f"Found {format_utc(requested_at)}, but the time of the log "
                f"service is {format_utc(log.server_time)}."
            )
            raise SettingsError([_at_problem(found, "Pass a time in the past.")])
        at = log.server_time if requested_at is None else requested_at
        state = log.ledger.state_at(at)
        if state is None and not log.records and log.oldest_offset == 0:
            state = ReleaseState()
        if state is None or (log.records and not log.ledger.is_current):
            self.print_error(f"The releases at {format_utc(at)} cannot be determined from the log.")
            return ExitCode.OUTCOME_UNKNOWN
        if self.option("json"):
            self.print_line(json.dumps(_state_to_dict(state, at)))
        else:
            self._print_state(state, at)
        return ExitCode.DONE

    def _print_state(self, state: ReleaseState, at: float) -> None:
        self.print_line(f"{format_utc(at)}: revision {state.revision}, offset {state.offset}")
        for _, release in sorted(state.releases.items()):
            of_model = f" of model {release.model}" if release.model else ""
            self.print_line(
                f"  {release.kind} {release.name} {release.version}{of_model}, "
                f"places {', '.join(release.places)}, workspaces {', '.join(release.workspaces)}, "
                f"{release.size} bytes, manifest {release.manifest}"
            )


class NoteAuditCommand(_LogReadingCommand):
    """Writes the history of the log."""

    name = "note audit"
    description = "Writes the whole history as JSON Lines."
    options: ClassVar[list[Option]] = [LOG_OPTION, _TIMEOUT_OPTION]
    help = """\
One JSON object for each accepted or rejected record, in log order: offset, time (unix
seconds of the log service), note_id, revision in force after it, accepted, reason, author,
message, record_id and data (the content of the record). Snapshots that contradict the
notes appear as rejected records.

Example:
  fescuechute note audit --log 10.0.0.5:7000 > audit.jsonl
"""

    def handle(self) -> int:
        """Writes one JSON object for each history entry."""
        log = self.read_log()
        for entry in log.ledger.history:
            self.print_line(json.dumps(_entry_to_dict(entry, log)))
        return _history_exit_code(log)


def _history_exit_code(log: NoteLog) -> ExitCode:
    is_complete = log.ledger.is_current or not log.records
    return ExitCode.DONE if is_complete else ExitCode.OUTCOME_UNKNOWN


def _summarize(note: Note) -> str:
    changes = [f"sets {item.kind} {item.name} {item.version}" for item in note.set]
    changes += [f"withdraws {item.kind} {item.name}" for item in note.withdraw]
    return f"valid note {note.id} on revision {note.base}: {', '.join(changes)}"


def _entry_to_dict(entry: HistoryEntry, log: NoteLog) -> dict[str, Any]:
    record = log.records[entry.offset]
    return {**attrs.asdict(entry), "record_id": record["id"], "data": record["data"]}


def _state_to_dict(state: ReleaseState, at: float) -> dict[str, Any]:
    releases = [attrs.asdict(release) for _, release in sorted(state.releases.items())]
    return {"at": at, "revision": state.revision, "offset": state.offset, "releases": releases}


def _at_problem(found: str, remedy: str) -> Problem:
    return Problem("command line", "--at", found, remedy)


def _parse_time(text: str) -> float:
    """Parses ISO 8601 text or unix seconds, and returns unix seconds.

    Raises:
      SettingsError: The text is not a valid time.
    """
    value = float_or_text(text)
    try:
        if isinstance(value, str):
            parsed = datetime.fromisoformat(value)
            value = (parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)).timestamp()
        if math.isfinite(value):
            format_utc(value)
            return value
    except (ValueError, OverflowError, OSError):
        pass
    remedy = 'Write ISO 8601 text such as "2026-12-04T08:30:00Z", or unix seconds.'
    raise SettingsError([_at_problem(f'Found "{text}".', remedy)])
