"""Release notes: types, parsing, and the fold that accepts or rejects each note.

The fold is a pure function of the log, so all processes and auditors that read the same log reach
the same verdicts.

Example:
  >>> from fescuechute.notes import Ledger
  >>> ledger = Ledger()
  >>> [entry] = ledger.apply({"offset": 0, "time": 1.0, "id": "n1", "data": {"schema": 2}})
  >>> entry.accepted, ledger.state.revision
  (False, 0)
"""

from fescuechute.notes._fold import Verdict, fold
from fescuechute.notes._ledger import DEFAULT_HISTORY_LIMIT, HistoryEntry, Ledger
from fescuechute.notes._note import (
    MAX_NOTE_BYTES,
    SCHEMA,
    Note,
    Release,
    Withdrawal,
    note_to_dict,
    parse_note,
)
from fescuechute.notes._snapshot import Folded, Snapshot, parse_snapshot, snapshot_to_dict
from fescuechute.notes._state import ReleaseState

__all__ = [
    "DEFAULT_HISTORY_LIMIT",
    "MAX_NOTE_BYTES",
    "SCHEMA",
    "Folded",
    "HistoryEntry",
    "Ledger",
    "Note",
    "Release",
    "ReleaseState",
    "Snapshot",
    "Verdict",
    "Withdrawal",
    "fold",
    "note_to_dict",
    "parse_note",
    "parse_snapshot",
    "snapshot_to_dict",
]
