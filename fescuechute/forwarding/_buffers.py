"""Limit on the memory that incomplete responses take."""

from __future__ import annotations

from fescuechute.errors import ResponseTooLargeError
from fescuechute.forwarding._memory import MemoryAccount

_HOLDER = "responses"


class ResponseBuffers:
    """Counts the buffered bytes of all responses of a process.

    Args:
      limit_bytes: Limit on the bytes of all responses.
      account: Account of the process, which limits the responses together with all other holders.
    """

    def __init__(self, limit_bytes: int, account: MemoryAccount | None = None):
        self._own = MemoryAccount(limit_bytes)
        self._accounts = [self._own] if account is None else [self._own, account]

    @property
    def used_bytes(self) -> int:
        """Buffered bytes of all responses."""
        return self._own.used_bytes

    def add(self, held_bytes: int, size: int) -> None:
        """Counts `size` more bytes of a response that already holds `held_bytes`.

        Raises:
          ResponseTooLargeError: If the response would hold too much; nothing is counted then.
        """
        allowed = min(account.allowed_bytes(held_bytes) for account in self._accounts)
        if held_bytes + size > allowed:
            raise ResponseTooLargeError(
                f"A response holds {held_bytes + size} bytes and is not complete; {allowed:.0f} are allowed.",
                "Check the upstream; if its responses are this large, use a VM with more memory.",
            )
        for account in self._accounts:
            account.try_reserve(_HOLDER, size, held_bytes)

    def release(self, size: int) -> None:
        """Returns the bytes of a response that has ended."""
        for account in self._accounts:
            account.release(_HOLDER, size)
