"""Note files as operators write them, and the manifests they name."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import blake3

from fescuechute.checks import Findings
from fescuechute.errors import NoteError, Problem
from fescuechute.notes import Note, Release, parse_note


def read_note(file: str) -> Note:
    """Reads and checks a note in TOML.

    Raises:
      NoteError: Lists all problems.
    """
    try:
        data = tomllib.loads(_read(file).decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        found = f"This is not valid TOML: {exc}."
        raise NoteError([Problem(file, "", found, "Correct the syntax.")]) from exc
    return parse_note(data, file)


def check_manifest(note: Note, note_file: str, manifest_file: str) -> Release:
    """Checks a manifest file against the note that names it.

    Returns:
      The release whose manifest it is.

    Raises:
      NoteError: Lists all problems.
    """
    content = _read(manifest_file)
    digest = blake3.blake3(content).hexdigest()
    release = next((item for item in note.set if item.manifest == digest), None)
    if release is None:
        found = f"No release names the digest {digest} of {manifest_file}."
        remedy = "Write this digest as `manifest`, or give the right file."
        raise NoteError([Problem(note_file, "set", found, remedy)])
    findings = Findings(manifest_file)
    manifest = _decode(content, findings)
    if not findings.problems:
        _compare(manifest, release, findings)
    if findings.problems:
        raise NoteError(findings.problems)
    return release


def _read(file: str) -> bytes:
    try:
        return Path(file).read_bytes()
    except OSError as exc:
        found = f"The file cannot be read: {exc.strerror}."
        raise NoteError([Problem(file, "", found, "Give the path of a file.")]) from exc


def _decode(content: bytes, findings: Findings) -> Mapping[str, Any]:
    remedy = "Write the manifest again with the tool that cuts the weights."
    try:
        manifest = json.loads(content)
    except (ValueError, RecursionError) as exc:
        return findings.add("", f"This is not valid JSON: {exc}.", remedy)
    if not isinstance(manifest, dict) or not _has_blobs(manifest.get("blobs")):
        return findings.add("", "This is not a manifest.", remedy)
    return manifest


def _has_blobs(blobs: object) -> bool:
    return isinstance(blobs, list) and all(
        isinstance(blob, list) and len(blob) == 2 and type(blob[1]) is int for blob in blobs
    )


def _compare(manifest: Mapping[str, Any], release: Release, findings: Findings) -> None:
    total = sum(size for _, size in manifest["blobs"])
    if manifest.get("size") != total:
        found = f"The blobs add up to {total} bytes, not to {manifest.get('size')}."
        findings.add("size", found, "Write the manifest again.")
    for key in ("name", "version", "size"):
        wanted = getattr(release, key)
        if manifest.get(key) != wanted:
            found = f"Found {manifest.get(key)}, but the note says {wanted}."
            findings.add(key, found, f"Correct `{key}` in the note or use another manifest.")
