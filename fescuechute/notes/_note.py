"""Types of release notes and their strict parser."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import attrs

from fescuechute.checks import (
    Choice,
    Findings,
    HexDigest,
    Integer,
    Tables,
    Text,
    Texts,
    checked,
    describe,
    read_table,
)
from fescuechute.errors import NoteError

#: Schema version that this code reads and writes.
SCHEMA = 1

#: Maximum size of an encoded note. Several records must fit into a frame between processes (1 MiB).
MAX_NOTE_BYTES = 256 * 1024

#: JSON parsers and msgpack read all integers up to this one as the same value.
_MAX_INTEGER = 2**53

_KIND = Choice(("model", "adapter"))
_NAME = Text(max_chars=128)


@attrs.frozen
class Release:
    """One model or adapter that a note declares."""

    #: `model` or `adapter`.
    kind: str = attrs.field(metadata=checked(_KIND))
    name: str = attrs.field(metadata=checked(_NAME))
    version: str = attrs.field(metadata=checked(_NAME))
    #: blake3 digest of the manifest blob, in hex.
    manifest: str = attrs.field(metadata=checked(HexDigest()))
    #: Total bytes of all blobs in the manifest.
    size: int = attrs.field(metadata=checked(Integer(1, _MAX_INTEGER)))
    #: Regions or data centres, or `*` alone for all.
    places: tuple[str, ...] = attrs.field(metadata=checked(Texts(allow_empty=False)))
    #: Workspaces that may use it, or `*` alone for all.
    workspaces: tuple[str, ...] = attrs.field(metadata=checked(Texts(allow_empty=False)))
    #: The model that an adapter belongs to; empty for a model.
    model: str = attrs.field(default="", metadata=checked(Text(max_chars=128, allow_empty=True)))

    @property
    def key(self) -> tuple[str, str]:
        """Kind and name, which identify a release within a state."""
        return self.kind, self.name

    def is_for_place(self, region: str, data_centre: str) -> bool:
        """Returns whether the release is declared for a place."""
        return any(place in self.places for place in ("*", region, data_centre))

    def is_for_workspace(self, workspace: str) -> bool:
        """Returns whether a workspace may use the release."""
        return "*" in self.workspaces or workspace in self.workspaces


@attrs.frozen
class Withdrawal:
    """One model or adapter that a note withdraws from places."""

    kind: str = attrs.field(metadata=checked(_KIND))
    name: str = attrs.field(metadata=checked(_NAME))
    #: Places exactly as listed in the release, or `*` alone to withdraw it everywhere.
    places: tuple[str, ...] = attrs.field(metadata=checked(Texts(allow_empty=False)))

    @property
    def key(self) -> tuple[str, str]:
        """Kind and name of the release."""
        return self.kind, self.name


@attrs.frozen
class Note:
    """A release note as an operator publishes it."""

    id: str = attrs.field(metadata=checked(_NAME))
    #: Revision that the author saw in force. The note is rejected if another revision is in force.
    base: int = attrs.field(metadata=checked(Integer(0, _MAX_INTEGER)))
    author: str = attrs.field(metadata=checked(Text()))
    message: str = attrs.field(metadata=checked(Text(max_chars=4096)))
    #: Releases to add. Each replaces the whole release of the same kind and name.
    set: tuple[Release, ...] = attrs.field(default=(), metadata=checked(Tables(Release)))
    withdraw: tuple[Withdrawal, ...] = attrs.field(default=(), metadata=checked(Tables(Withdrawal)))
    schema: int = attrs.field(default=SCHEMA, metadata=checked(Integer(1)))


def parse_note(data: bytes | Mapping[str, Any], file: str = "note") -> Note:
    """Parses and checks a note.

    Args:
      data: JSON text in UTF-8, or the decoded object.
      file: Name of the source in the reported problems.

    Raises:
      NoteError: Lists all problems.
    """
    findings = Findings(file)
    decoded = _decode(data, findings) if isinstance(data, bytes) else data
    if findings.problems:
        raise NoteError(findings.problems)
    _check_size(decoded, findings)
    _check_schema(decoded, findings)
    if findings.problems:
        # The keys of another schema cannot be checked, and an oversized note is not parsed further.
        raise NoteError(findings.problems)
    note = read_table(Note, decoded, "", findings)
    _check_entries(decoded, findings)
    if findings.problems:
        raise NoteError(findings.problems)
    return note


def note_to_dict(note: Note) -> dict[str, Any]:
    """Returns the JSON object of a note; `parse_note` reads it back."""
    return {
        "schema": note.schema,
        "id": note.id,
        "base": note.base,
        "author": note.author,
        "message": note.message,
        "set": [release_to_dict(release) for release in note.set],
        "withdraw": [{**attrs.asdict(item), "places": list(item.places)} for item in note.withdraw],
    }


def release_to_dict(release: Release) -> dict[str, Any]:
    """Returns the JSON object of a release."""
    data = attrs.asdict(release)
    data["places"] = list(release.places)
    data["workspaces"] = list(release.workspaces)
    if release.kind == "model":
        del data["model"]
    return data


def release_size(release: Release) -> int:
    """Returns the size of a release in JSON, in bytes, including a separator."""
    return len(json.dumps(release_to_dict(release))) + 2


def check_release(release: Mapping[str, Any], key: str, findings: Findings) -> None:
    """Reports problems that involve several keys of one release."""
    kind, model = release.get("kind"), release.get("model", "")
    if kind == "adapter" and not model:
        findings.add(f"{key}.model", "An adapter names no model.", "Name the model it belongs to.")
    if kind == "model" and model:
        found = f"A model names {describe(model)} as its model."
        findings.add(f"{key}.model", found, "Remove the key or set the kind to `adapter`.")
    _check_wildcard(release, "places", key, findings)
    _check_wildcard(release, "workspaces", key, findings)


def _decode(data: bytes, findings: Findings) -> Any:
    def report_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        # JSON parsers differ in which of two equal keys they keep, so an auditor could read a
        # different note.
        names = [name for name, _ in pairs]
        for name in sorted({name for name in names if names.count(name) > 1}):
            findings.add(name, "The key appears more than once.", "Keep one of them.")
        return dict(pairs)

    if len(data) > MAX_NOTE_BYTES:
        return _report_size(len(data), findings)
    try:
        return json.loads(data.decode(), object_pairs_hook=report_duplicate_keys)
    except (ValueError, RecursionError) as exc:
        return findings.add("", f"This is not valid JSON: {exc}.", "Correct the syntax.")


def _check_size(decoded: object, findings: Findings) -> None:
    try:
        size = len(json.dumps(decoded, ensure_ascii=False).encode())
    except (TypeError, ValueError, RecursionError) as exc:
        findings.add("", f"The note cannot be written as JSON: {exc}.", "Use JSON values only.")
        return
    if size > MAX_NOTE_BYTES:
        _report_size(size, findings)


def _report_size(size: int, findings: Findings) -> Any:
    found = f"The note has {size} bytes."
    return findings.add("", found, f"Split it; the limit is {MAX_NOTE_BYTES} bytes.")


def _check_schema(decoded: object, findings: Findings) -> None:
    if not isinstance(decoded, Mapping):
        findings.add("", f"Found {describe(decoded)}.", "Write an object with the keys of a note.")
    elif "schema" not in decoded:
        findings.add("schema", "The key is missing.", f"Add `schema` with the number {SCHEMA}.")
    elif decoded["schema"] != SCHEMA or isinstance(decoded["schema"], bool | float):
        found = f"Found {describe(decoded['schema'])}, an unknown schema."
        findings.add("schema", found, f"Write {SCHEMA}, or use a version that knows this schema.")


def _check_entries(decoded: Mapping[str, Any], findings: Findings) -> None:
    releases, withdrawals = _items_with_keys(decoded, "set"), _items_with_keys(decoded, "withdraw")
    if not releases and not withdrawals and not findings.problems:
        findings.add("", "The note declares nothing.", "Add an entry to `set` or `withdraw`.")
    for key, release in releases:
        check_release(release, key, findings)
    for key, withdrawal in withdrawals:
        _check_wildcard(withdrawal, "places", key, findings)
    seen: dict[tuple[str, str], str] = {}
    for key, item in releases + withdrawals:
        kind, name = item.get("kind"), item.get("name")
        if not isinstance(kind, str) or not isinstance(name, str):
            continue
        if (kind, name) in seen:
            found = f"Found {kind} {describe(name)} here and in {seen[kind, name]}."
            findings.add(key, found, "Keep one entry for each kind and name.")
        seen.setdefault((kind, name), key)


def _check_wildcard(item: Mapping[str, Any], name: str, key: str, findings: Findings) -> None:
    values = item.get(name)
    if isinstance(values, list | tuple) and "*" in values and len(values) > 1:
        found = 'Found "*" beside other entries.'
        findings.add(f"{key}.{name}", found, 'Write ["*"] alone, or name each entry.')


def _items_with_keys(decoded: Mapping[str, Any], name: str) -> list[tuple[str, Mapping[str, Any]]]:
    """Returns the objects of a list with their dotted keys; `read_table` reports other values."""
    value = decoded.get(name)
    if not isinstance(value, list | tuple):
        return []
    return [(f"{name}[{i}]", item) for i, item in enumerate(value) if isinstance(item, Mapping)]
