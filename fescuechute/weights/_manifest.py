"""Manifests, which list the chunks of one version of a model or adapter."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

import attrs
from blake3 import blake3

from fescuechute.errors import FescuechuteError

#: Default chunk size in bytes, well below the maximum frame size of a link.
CHUNK_BYTES = 256 << 10
#: Bytes of a blake3 digest.
DIGEST_BYTES = 32

_SCHEMA = 1
_KEYS = {"schema", "name", "version", "size", "blobs"}
_REMEDY = "Publish the release again with a manifest made by this version."


class ManifestError(FescuechuteError):
    """Raised for a manifest that is malformed or does not match its digest."""


@attrs.frozen
class Manifest:
    """Name, version and ordered chunks of a model or adapter."""

    name: str
    version: str
    #: Total size of all chunks in bytes.
    size: int
    #: (blake3 digest, size in bytes) of each chunk, in order.
    blobs: tuple[tuple[bytes, int], ...]

    @property
    def digests(self) -> tuple[bytes, ...]:
        """Digests of the chunks, in order."""
        return tuple(digest for digest, _ in self.blobs)


def digest_of(data: bytes) -> bytes:
    """Returns the blake3 digest of a blob."""
    return blake3(data).digest()


def split(data: bytes, chunk_bytes: int = CHUNK_BYTES) -> list[bytes]:
    """Splits data into chunks of `chunk_bytes`; the last one may be shorter."""
    if chunk_bytes < 1:
        raise ValueError(f"chunk_bytes is {chunk_bytes}, expected at least 1")
    return [data[at : at + chunk_bytes] for at in range(0, len(data), chunk_bytes)]


def make_manifest(name: str, version: str, chunks: Iterable[bytes]) -> tuple[Manifest, bytes]:
    """Returns the manifest of a sequence of chunks, and its JSON encoding."""
    blobs = tuple((digest_of(chunk), len(chunk)) for chunk in chunks)
    manifest = Manifest(name, version, sum(size for _, size in blobs), blobs)
    body = {
        "schema": _SCHEMA,
        "name": name,
        "version": version,
        "size": manifest.size,
        "blobs": [[digest.hex(), size] for digest, size in blobs],
    }
    return manifest, json.dumps(body, separators=(",", ":")).encode()


def parse_manifest(data: bytes, expected_digest: bytes) -> Manifest:
    """Parses and validates an encoded manifest.

    Args:
      data: The encoded manifest.
      expected_digest: blake3 digest declared by the accepted note.

    Raises:
      ManifestError: The digest differs, the content is malformed, or the sizes are inconsistent.
    """
    found = digest_of(data)
    if found != expected_digest:
        raise ManifestError(
            f"The manifest has digest {found.hex()}, expected {expected_digest.hex()}.",
            "Fetch it again from another source.",
        )
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise ManifestError(f"The manifest is not JSON: {exc}.", _REMEDY) from exc
    return _checked(body)


def _checked(body: Any) -> Manifest:
    if not isinstance(body, dict) or set(body) != _KEYS:
        raise ManifestError(f"The manifest needs exactly the keys {sorted(_KEYS)}.", _REMEDY)
    if type(body["schema"]) is not int or body["schema"] != _SCHEMA:
        raise ManifestError(f"The manifest has schema {body['schema']!r}, not 1.", _REMEDY)
    for key in ("name", "version"):
        if not isinstance(body[key], str) or not body[key]:
            raise ManifestError(f"The manifest has {key} {body[key]!r}, not a text.", _REMEDY)
    size = body["size"]
    if type(size) is not int or size < 0:
        raise ManifestError(f"The manifest has size {size!r}, not a byte count.", _REMEDY)
    if not isinstance(body["blobs"], list):
        raise ManifestError("The manifest's blobs are not a list.", _REMEDY)
    blobs = tuple(_checked_blob(index, entry) for index, entry in enumerate(body["blobs"]))
    _check_sizes(size, blobs)
    return Manifest(body["name"], body["version"], size, blobs)


def _checked_blob(index: int, entry: Any) -> tuple[bytes, int]:
    match entry:
        case [str(text), int(size)] if type(size) is int and size > 0:
            try:
                digest = bytes.fromhex(text)
            except ValueError:
                digest = b""
            if len(digest) == DIGEST_BYTES and digest.hex() == text:
                return digest, size
    raise ManifestError(
        f"Blob {index} of the manifest is {str(entry)[:100]!r}, expected [blake3 hex, bytes].",
        _REMEDY,
    )


def _check_sizes(size: int, blobs: Sequence[tuple[bytes, int]]) -> None:
    total = sum(blob_size for _, blob_size in blobs)
    if total != size:
        raise ManifestError(f"The manifest's blobs add up to {total} bytes, not {size}.", _REMEDY)
    sizes: dict[bytes, int] = {}
    for digest, blob_size in blobs:
        if sizes.setdefault(digest, blob_size) != blob_size:
            raise ManifestError(f"Blob {digest.hex()} is listed with two sizes.", _REMEDY)
