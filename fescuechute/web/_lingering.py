"""Refused callers, whose further bytes are discarded until they have read the refusal."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

import attrs

from fescuechute.net import LINGER_S, MAX_DISCARDED_BYTES, MAX_DISCARDING, MAX_LINGER_S


@attrs.define
class _Lingering:
    #: Monotonic seconds at which the connection is closed unless more arrives, and in any case.
    silence_deadline: float
    deadline: float
    #: Bytes that were discarded.
    discarded: int = 0


class LingeringCallers:
    """Keeps the connections of refused callers open for a time.

    Closing a socket with unread data resets the connection, and the caller could lose the refusal.

    Args:
      close: Closes a connection, which is then passed to `discard`.
    """

    def __init__(self, close: Callable[[socket.socket], None]):
        self._close = close
        #: Connections, the one that was refused first at the front.
        self._callers: dict[socket.socket, _Lingering] = {}

    def __iter__(self) -> Iterator[socket.socket]:
        return iter(list(self._callers))

    def add(self, sock: socket.socket, now: float) -> None:
        """Adds a connection on which nothing more is sent; closes the oldest one if there are too many.

        Args:
          sock: The connection.
          now: Monotonic seconds.
        """
        if len(self._callers) >= MAX_DISCARDING:
            self._end(next(iter(self._callers)))
        self._callers[sock] = _Lingering(now + LINGER_S, now + MAX_LINGER_S)

    def record_data(self, sock: socket.socket, size: int, now: float) -> None:
        """Records that bytes of a refused caller have arrived and were discarded."""
        lingering = self._callers.get(sock)
        if lingering is None:
            return
        lingering.silence_deadline = now + LINGER_S
        lingering.discarded += size
        if lingering.discarded > MAX_DISCARDED_BYTES:
            self._end(sock)

    def tick(self, now: float) -> None:
        """Closes the connections whose time has ended."""
        for sock, lingering in list(self._callers.items()):
            if now >= min(lingering.silence_deadline, lingering.deadline):
                self._end(sock)

    def discard(self, sock: socket.socket) -> None:
        """Forgets a closed connection."""
        self._callers.pop(sock, None)

    def _end(self, sock: socket.socket) -> None:
        self.discard(sock)
        self._close(sock)
