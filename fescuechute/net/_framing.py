"""Limit on the cost of bodies that arrive in very small parts."""

from __future__ import annotations

import attrs

#: Parts of a body that may be of any size.
_FREE_PARTS = 4096
#: Mean size in bytes that the parts of a body must have beyond that; events of a stream are larger.
_MIN_MEAN_BYTES = 8


@attrs.define
class BodyParts:
    """Counts the parts in which a body arrives.

    Decoding a part costs the same whatever its size, so a body in parts of one byte takes a hundred times
    as long as its size suggests, and delays all other connections of the process.
    """

    count: int = 0
    bytes: int = 0

    def add(self, size: int) -> bool:
        """Counts a part; returns False if the body arrives in too many too small parts.

        Args:
          size: Size of the part in bytes.
        """
        self.count += 1
        self.bytes += size
        return self.count <= _FREE_PARTS or self.bytes >= self.count * _MIN_MEAN_BYTES
