"""Reading of note files (TOML) and checks of the manifests that they refer to."""

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


def load_note(file: str) -> Note:
    """Reads and checks a note file.

    Raises:
      NoteError: The file cannot be read or has problems; all of them are listed.
    """
    try:
        data = tomllib.loads(_read_file(file).decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        found = f"This is not valid TOML: {exc}."
        raise NoteError([Problem(file, "", found, "Correct the syntax.")]) from exc
    return parse_note(data, file)


def check_manifest(note: Note, note_file: str, manifest_file: str) -> Release:
    """Checks a manifest file against the release of a note that has its digest.

    Returns:
      The release with this digest.

    Raises:
      NoteError: The file cannot be read or has problems; all of them are listed.
    """
    content = _read_file(manifest_file)
    digest = blake3.blake3(content).hexdigest()
    release = next((item for item in note.set if item.manifest == digest), None)
    if release is None:
        found = f"No release has the digest {digest} of {manifest_file}."
        remedy = "Set `manifest` to this digest, or pass the right file."
        raise NoteError([Problem(note_file, "set", found, remedy)])
    findings = Findings(manifest_file)
    manifest = _parse_manifest(content, findings)
    if not findings.problems:
        _compare_with_release(manifest, release, findings)
    if findings.problems:
        raise NoteError(findings.problems)
    return release


def _read_file(file: str) -> bytes:
    try:
        return Path(file).read_bytes()
    except OSError as exc:
        found = f"The file cannot be read: {exc.strerror}."
        raise NoteError([Problem(file, "", found, "Pass the path of a readable file.")]) from exc


def _parse_manifest(content: bytes, findings: Findings) -> Mapping[str, Any]:
    remedy = "Recreate the manifest with the tool that splits the weights into blobs."
    try:
        manifest = json.loads(content)
    except (ValueError, RecursionError) as exc:
        return findings.add("", f"This is not valid JSON: {exc}.", remedy)
    if not isinstance(manifest, dict) or not _is_blob_list(manifest.get("blobs")):
        return findings.add("", "This is not a manifest.", remedy)
    return manifest


def _is_blob_list(blobs: object) -> bool:
    return isinstance(blobs, list) and all(
        isinstance(blob, list) and len(blob) == 2 and type(blob[1]) is int for blob in blobs
    )


def _compare_with_release(
    manifest: Mapping[str, Any], release: Release, findings: Findings
) -> None:
    total = sum(size for _, size in manifest["blobs"])
    if manifest.get("size") != total:
        found = f"The blobs add up to {total} bytes, but the manifest has {manifest.get('size')}."
        findings.add("size", found, "Recreate the manifest.")
    for key in ("name", "version", "size"):
        expected = getattr(release, key)
        if manifest.get(key) != expected:
            found = f"Found {manifest.get(key)}, but the note has {expected}."
            findings.add(key, found, f"Correct `{key}` in the note or use another manifest.")
