"""In-memory blob store, because a VM has no disk."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from fescuechute.weights._manifest import digest_of


class BlobStore:
    """Verified blobs by digest, with a log of additions that is read by cursor.

    Args:
      digest_of: Hash function that the manifests use.
    """

    def __init__(self, digest_of: Callable[[bytes], bytes] = digest_of) -> None:
        self._digest_of = digest_of
        self._blobs: dict[bytes, bytes] = {}
        #: Digests in the order of addition. Dropped ones stay listed until the log is compacted, so
        #: that cursors remain valid.
        self._log: list[bytes] = []
        #: Cursor of `_log[0]`.
        self._log_start = 0
        #: Cursor of the log entry of each held digest.
        self._positions: dict[bytes, int] = {}
        self._bytes = 0

    def __contains__(self, digest: object) -> bool:
        return digest in self._blobs

    def __len__(self) -> int:
        return len(self._blobs)

    @property
    def bytes_held(self) -> int:
        """Total size of all blobs in bytes."""
        return self._bytes

    def put(self, digest: bytes, data: bytes) -> bool:
        """Verifies and stores a blob; returns False if the digest does not match."""
        if digest in self._blobs:
            return self._digest_of(data) == digest
        if self._digest_of(data) != digest:
            return False
        self._blobs[digest] = data
        self._bytes += len(data)
        self._positions[digest] = self._log_start + len(self._log)
        self._log.append(digest)
        return True

    def get(self, digest: bytes) -> bytes | None:
        """Returns a blob, or None if it is not held."""
        return self._blobs.get(digest)

    def has(self, digest: bytes) -> bool:
        """Returns whether a blob is held."""
        return digest in self._blobs

    def retain(self, digests: Iterable[bytes]) -> int:
        """Drops all blobs except these and returns the number of dropped blobs."""
        keep = set(digests)
        dropped = [digest for digest in self._blobs if digest not in keep]
        for digest in dropped:
            self._bytes -= len(self._blobs.pop(digest))
            del self._positions[digest]
        if dropped:
            self._compact()
        return len(dropped)

    def added_since(self, cursor: int) -> tuple[tuple[bytes, ...], int]:
        """Returns the held digests added since a cursor, and the cursor for the next call.

        Cursor 0 lists all held digests. A cursor is valid for the lifetime of the store.
        """
        end = self._log_start + len(self._log)
        start = max(cursor, self._log_start)
        if start >= end:
            return (), end
        recent = range(start - self._log_start, len(self._log))
        listed = tuple(
            self._log[index]
            for index in recent
            if self._positions.get(self._log[index]) == self._log_start + index
        )
        return listed, end

    def _compact(self) -> None:
        """Rewrites the log without dropped digests once they outnumber the held ones.

        The held digests are appended again beyond the old end of the log, so a reader may see a
        digest twice, which is harmless.
        """
        if len(self._log) <= 2 * len(self._blobs) + 64:
            return
        self._log_start += len(self._log)
        self._log = list(self._blobs)
        self._positions = {
            digest: self._log_start + index for index, digest in enumerate(self._log)
        }
