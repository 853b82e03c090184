"""Blobs held in memory. A VM has no disk."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from fescuechute.weights._manifest import digest_of


class BlobStore:
    """Verified blobs by digest, with the order in which they were added.

    Args:
      digest_of: Hash function of the manifests.
    """

    def __init__(self, digest_of: Callable[[bytes], bytes] = digest_of) -> None:
        self._digest_of = digest_of
        self._blobs: dict[bytes, bytes] = {}
        #: Digests in the order of arrival. Dropped ones stay until the log is compacted, so that
        #: cursors remain valid.
        self._added: list[bytes] = []
        #: Cursor of `_added[0]`.
        self._base = 0
        #: Cursor from which on each held digest is listed.
        self._index: dict[bytes, int] = {}
        self._bytes = 0

    def __contains__(self, digest: object) -> bool:
        return digest in self._blobs

    def __len__(self) -> int:
        return len(self._blobs)

    @property
    def bytes_held(self) -> int:
        """Total bytes of all blobs."""
        return self._bytes

    def put(self, digest: bytes, data: bytes) -> bool:
        """Stores a blob after verifying it; False when the digest does not match."""
        if digest in self._blobs:
            return self._digest_of(data) == digest
        if self._digest_of(data) != digest:
            return False
        self._blobs[digest] = data
        self._bytes += len(data)
        self._index[digest] = self._base + len(self._added)
        self._added.append(digest)
        return True

    def get(self, digest: bytes) -> bytes | None:
        """Returns a blob, or None."""
        return self._blobs.get(digest)

    def has(self, digest: bytes) -> bool:
        """Returns whether the blob is held."""
        return digest in self._blobs

    def retain(self, digests: Iterable[bytes]) -> int:
        """Drops all blobs but these and returns the number dropped."""
        keep = set(digests)
        gone = [digest for digest in self._blobs if digest not in keep]
        for digest in gone:
            self._bytes -= len(self._blobs.pop(digest))
            del self._index[digest]
        if gone:
            self._compact()
        return len(gone)

    def added_since(self, cursor: int) -> tuple[tuple[bytes, ...], int]:
        """Returns the held digests added since a cursor, and the cursor for the next call.

        Cursor 0 lists everything. A cursor is valid for the lifetime of the store.
        """
        end = self._base + len(self._added)
        start = max(cursor, self._base)
        if start >= end:
            return (), end
        recent = range(start - self._base, len(self._added))
        held = tuple(
            self._added[at] for at in recent if self._index.get(self._added[at]) == self._base + at
        )
        return held, end

    def _compact(self) -> None:
        """Drops the listing of gone digests once they outnumber the held ones.

        The held ones are listed anew at the end of the cursor range; a peer may then see a digest
        twice, which is harmless.
        """
        if len(self._added) <= 2 * len(self._blobs) + 64:
            return
        self._base += len(self._added)
        self._added = list(self._blobs)
        self._index = {digest: self._base + at for at, digest in enumerate(self._added)}
