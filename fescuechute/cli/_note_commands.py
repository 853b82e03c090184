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

from fescuechute.cli._command import LOG_OPTION, BaseCommand, ExitCode, number, utc
from fescuechute.cli._note_file import check_manifest, read_note
from fescuechute.cli._note_log import NoteLog
from fescuechute.cli._publish import Publisher
from fescuechute.errors import Problem, SettingsError
from fescuechute.notes import HistoryEntry, Note, ReleaseState

_FILE_ARGUMENT = argument("file", "Note file (TOML).")
_TIMEOUT_OPTION = option("timeout", None, "Seconds to wait for the log.", flag=False, default="15")


class NoteCheckCommand(BaseCommand):
    """Checks a note file."""

    name = "note check"
    description = "Checks a note file and lists every problem."
    arguments: ClassVar[list[Argument]] = [_FILE_ARGUMENT]
    options: ClassVar[list[Option]] = [
        option(
            "manifest",
            "m",
            "Manifest that a release of the note names; its digest, size, name and version must "
            "match.",
            flag=False,
            multiple=True,
        )
    ]
    help = """\
Connects to nothing. A note file looks like this:

  schema = 1
  id = "2026-12-04-carga-7"
  base = 41                 # the revision in force that you have seen
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
        """Checks the file and the manifests."""
        file = self.argument("file")
        note = read_note(file)
        for manifest in self.option("manifest"):
            release = check_manifest(note, file, manifest)
            self.say(f"{manifest}: manifest of {release.kind} {release.name} {release.version}")
        self.say(f"{file}: {_summary(note)}")
        return ExitCode.DONE


class NotePublishCommand(BaseCommand):
    """Publishes a note."""

    name = "note publish"
    description = "Appends a note to the log and waits for its verdict."
    arguments: ClassVar[list[Argument]] = [_FILE_ARGUMENT]
    options: ClassVar[list[Option]] = [LOG_OPTION, _TIMEOUT_OPTION]
    help = """\
The note is rejected when its base is not the revision in force at its place in the
log. Then read the newer notes, correct the base, choose a new id and publish again.

The id of the note is the id of its record. When an answer is lost, the command looks
for the record instead of appending it again. Running the command twice with the same
file is safe: the note is folded once.

Exit codes: 0 accepted, 1 rejected, 2 the file has problems, 3 the log is unavailable
and nothing was published, 4 it is not known whether the note was published.

Example:
  fescuechute note publish carga-7.toml --log 10.0.0.5:7000
"""

    def handle(self) -> int:
        """Publishes the note and prints the verdict."""
        note = read_note(self.argument("file"))
        log = NoteLog(self.log_address())
        publisher = Publisher(log, note, self.seconds_option("timeout"))
        try:
            outcome = publisher.run()
        except KeyboardInterrupt:
            if not publisher.may_be_appended:
                raise
            outcome = publisher.unknown("The command was interrupted.")
        write = self.say if outcome.code is ExitCode.DONE else self.complain
        write(outcome.text)
        return outcome.code


class _LogCommand(BaseCommand):
    """A command that reads the whole retained log."""

    def read_log(self) -> NoteLog:
        """Reads the log and tells what it does not hold."""
        log = NoteLog(self.log_address())
        log.refresh(time.monotonic() + self.seconds_option("timeout"))
        if log.first > 0:
            self.complain(f"The log starts at offset {log.first}; earlier notes have aged out.")
        if log.records and not log.ledger.is_current:
            self.complain("The log has no usable snapshot, so the verdicts cannot be told.")
        return log


class NoteListCommand(_LogCommand):
    """Lists notes."""

    name = "note list"
    description = "Lists the notes of the log with their verdicts."
    options: ClassVar[list[Option]] = [LOG_OPTION, _TIMEOUT_OPTION]
    help = """\
One line for each note: offset, time, verdict, revision in force after it, id, author,
and the message or the reason of the rejection.

Example:
  fescuechute note list --log 10.0.0.5:7000
"""

    def handle(self) -> int:
        """Prints one line for each note."""
        log = self.read_log()
        for entry in log.ledger.history:
            verdict = "accepted" if entry.accepted else "rejected"
            text = entry.message if entry.accepted else entry.reason
            self.say(
                f"{entry.offset}  {utc(entry.time)}  {verdict}  revision {entry.revision}  "
                f"{entry.note_id}  {entry.author or '-'}  {text}"
            )
        return _code(log)


class NoteShowCommand(_LogCommand):
    """Shows the state at a moment."""

    name = "note show"
    description = "Shows what was in force at a moment, from the log alone."
    options: ClassVar[list[Option]] = [
        LOG_OPTION,
        option(
            "at",
            None,
            "Moment as ISO text (UTC unless it names an offset) or unix seconds; by default now.",
            flag=False,
        ),
        option("json", None, "Write one JSON object."),
        _TIMEOUT_OPTION,
    ]
    help = """\
Times are those of the log service. Exits with 4 when the records of that moment have
left the log.

Example:
  fescuechute note show --at 2026-12-04T08:30:00Z --log 10.0.0.5:7000
"""

    def handle(self) -> int:
        """Prints the state."""
        moment = None if self.option("at") is None else _moment(self.option("at"))
        log = self.read_log()
        if moment is not None and moment > log.now:
            found = f"Found {utc(moment)}, but the log's time is {utc(log.now)}."
            raise SettingsError([_at_problem(found, "Give a moment that has passed.")])
        at = log.now if moment is None else moment
        state = log.ledger.state_at(at)
        if state is None and not log.records and log.first == 0:
            state = ReleaseState()
        if state is None or (log.records and not log.ledger.is_current):
            self.complain(f"What was in force at {utc(at)} cannot be told from the log.")
            return ExitCode.OUTCOME_UNKNOWN
        if self.option("json"):
            self.say(json.dumps(_state_to_dict(state, at)))
        else:
            self._print(state, at)
        return ExitCode.DONE

    def _print(self, state: ReleaseState, at: float) -> None:
        self.say(f"{utc(at)}: revision {state.revision}, offset {state.offset}")
        for _, release in sorted(state.releases.items()):
            of_model = f" of model {release.model}" if release.model else ""
            self.say(
                f"  {release.kind} {release.name} {release.version}{of_model}, "
                f"places {', '.join(release.places)}, workspaces {', '.join(release.workspaces)}, "
                f"{release.size} bytes, manifest {release.manifest}"
            )


class NoteAuditCommand(_LogCommand):
    """Writes the whole history."""

    name = "note audit"
    description = "Writes the whole history as JSON lines."
    options: ClassVar[list[Option]] = [LOG_OPTION, _TIMEOUT_OPTION]
    help = """\
One JSON object for each judged record, in log order: offset, time (unix seconds of the
log), note_id, revision in force after it, accepted, reason, author, message, and the
record itself. Snapshots that disagree with the notes appear as rejected records.

Example:
  fescuechute note audit --log 10.0.0.5:7000 > audit.jsonl
"""

    def handle(self) -> int:
        """Writes one JSON object for each entry."""
        log = self.read_log()
        for entry in log.ledger.history:
            self.say(json.dumps(_entry_to_dict(entry, log)))
        return _code(log)


def _code(log: NoteLog) -> ExitCode:
    known = log.ledger.is_current or not log.records
    return ExitCode.DONE if known else ExitCode.OUTCOME_UNKNOWN


def _summary(note: Note) -> str:
    changes = [f"sets {item.kind} {item.name} {item.version}" for item in note.set]
    changes += [f"withdraws {item.kind} {item.name}" for item in note.withdraw]
    return f"usable note {note.id} on revision {note.base}: {', '.join(changes)}"


def _entry_to_dict(entry: HistoryEntry, log: NoteLog) -> dict[str, Any]:
    record = log.records[entry.offset]
    return {**attrs.asdict(entry), "record_id": record["id"], "data": record["data"]}


def _state_to_dict(state: ReleaseState, at: float) -> dict[str, Any]:
    releases = [attrs.asdict(release) for _, release in sorted(state.releases.items())]
    return {"at": at, "revision": state.revision, "offset": state.offset, "releases": releases}


def _at_problem(found: str, remedy: str) -> Problem:
    return Problem("command line", "--at", found, remedy)


def _moment(text: str) -> float:
    """Returns the unix seconds of a moment.

    Raises:
      SettingsError: The text is not a moment.
    """
    value = number(text)
    try:
        if isinstance(value, str):
            moment = datetime.fromisoformat(value)
            value = (moment if moment.tzinfo else moment.replace(tzinfo=UTC)).timestamp()
        if math.isfinite(value):
            utc(value)
            return value
    except (ValueError, OverflowError, OSError):
        pass
    remedy = 'Write ISO text such as "2026-12-04T08:30:00Z", or unix seconds.'
    raise SettingsError([_at_problem(f'Found "{text}".', remedy)])
