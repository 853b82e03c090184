"""Limit on the memory that incomplete responses take."""

from __future__ import annotations

from fescuechute.errors import ResponseTooLargeError

#: Share of the free bytes that one response may hold.
_MAX_SHARE = 0.5


class ResponseBuffers:
    """Counts the buffered bytes of all responses of a process.

    One response may hold half of what the others leave free (dynamic threshold), so a response without
    end cannot take the memory of the others, and neither can many of them together.

    Args:
      limit_bytes: Limit on the bytes of all responses.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def add(self, held_bytes: int, size: int) -> None:
        """Counts `size` more bytes of a response that already holds `held_bytes`.

        Raises:
          ResponseTooLargeError: If the response would hold too much; nothing is counted then.
        """
        allowed = _MAX_SHARE * (self.limit_bytes - (self.used_bytes - held_bytes))
        if held_bytes + size > allowed:
            raise ResponseTooLargeError(
                f"A response holds {held_bytes + size} bytes and is not complete; {allowed:.0f} are allowed.",
                "Check the upstream; if its responses are this large, use a VM with more memory.",
            )
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Returns the bytes of a response that has ended."""
        self.used_bytes -= size
