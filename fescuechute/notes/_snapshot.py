"""Snapshot records: the folded state, which allows retention to remove old notes from the log."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from fescuechute.checks import Findings, Integer, Number, Tables, Text, checked, read_table
from fescuechute.errors import NoteError
from fescuechute.notes._note import Release, check_release, release_to_dict
from fescuechute.notes._state import ReleaseState

#: Maximum length of a record id, in characters. Snapshots contain several hundred ids.
MAX_ID_CHARS = 256


@attrs.frozen
class Folded:
    """A record that was folded, kept to recognise duplicate appends."""

    id: str = attrs.field(metadata=checked(Text(max_chars=MAX_ID_CHARS, allow_empty=True)))
    offset: int = attrs.field(metadata=checked(Integer()))
    #: Digest of the record's data, which distinguishes a duplicate append from a reused id.
    digest: str = attrs.field(metadata=checked(Text()))


@attrs.frozen
class Snapshot:
    """Content of a snapshot record."""

    #: Offset of the last record that the snapshot includes.
    covers: int = attrs.field(metadata=checked(Integer()))
    revision: int = attrs.field(metadata=checked(Integer()))
    #: Offset of the last accepted note, -1 if there is none.
    offset: int = attrs.field(metadata=checked(Integer(-1)))
    #: Log time of the last accepted note, unix seconds; 0.0 if there is none.
    time: float = attrs.field(metadata=checked(Number()))
    releases: tuple[Release, ...] = attrs.field(
        metadata=checked(Tables(Release, unique=("kind", "name")))
    )
    #: Recently folded records, oldest first.
    folded: tuple[Folded, ...] = attrs.field(metadata=checked(Tables(Folded)))

    @property
    def state(self) -> ReleaseState:
        """State after the record at `covers`."""
        releases = {release.key: release for release in self.releases}
        return ReleaseState(self.revision, self.offset, releases)


def snapshot_to_dict(snapshot: Snapshot) -> dict[str, Any]:
    """Returns the data of a snapshot record."""
    return {
        "snapshot": {
            "revision": snapshot.revision,
            "offset": snapshot.offset,
            "time": snapshot.time,
            "releases": [release_to_dict(release) for release in snapshot.releases],
            "folded": [attrs.asdict(folded) for folded in snapshot.folded],
        },
        "covers": snapshot.covers,
    }


def parse_snapshot(data: Mapping[str, Any], record_offset: int) -> Snapshot:
    """Parses and checks the data of a snapshot record.

    Args:
      data: The record's data, an object with `snapshot` and `covers`.
      record_offset: Offset of the record itself. A snapshot may cover only earlier records.

    Raises:
      NoteError: Lists all problems.
    """
    findings = Findings("snapshot")
    content = data["snapshot"]
    table = {**content, "covers": data.get("covers")} if isinstance(content, Mapping) else content
    snapshot = read_table(Snapshot, table, "snapshot", findings)
    for name in set(data) - {"snapshot", "covers"}:
        findings.add(str(name), f"There is no key `{name}` here.", "Remove it.")
    if not findings.problems:
        _check_consistency(snapshot, record_offset, findings)
    if findings.problems:
        raise NoteError(findings.problems)
    return snapshot


def _check_consistency(snapshot: Snapshot, record_offset: int, findings: Findings) -> None:
    if snapshot.covers >= record_offset:
        found = f"A snapshot at offset {record_offset} covers offset {snapshot.covers}."
        findings.add("covers", found, "Cover earlier records only.")
    if snapshot.offset > snapshot.covers:
        found = f"The last accepted note is at offset {snapshot.offset}, beyond `covers`."
        findings.add("snapshot.offset", found, "Cover the last accepted note.")
    if (snapshot.revision == 0) != (snapshot.offset == -1):
        found = f"Revision {snapshot.revision} goes with offset {snapshot.offset}."
        findings.add("snapshot.revision", found, "Write both as they were folded.")
    for i, release in enumerate(snapshot.releases):
        check_release(release_to_dict(release), f"snapshot.releases[{i}]", findings)
