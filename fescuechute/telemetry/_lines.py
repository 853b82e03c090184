"""Structured log lines on standard output that never block and never grow without bound."""

from __future__ import annotations

import json
import os
from collections import deque
from typing import Any

#: Bytes of lines that wait for standard output. Lines beyond that are dropped and counted.
MAX_WAITING_BYTES = 512 << 10
#: Lines a second that one process writes on average, and in a burst. One VM serves some 90 requests
#: a second at the design size, with up to three lines for each.
LINES_PER_S = 300.0
BURST_LINES = 600.0


class LineWriter:
    """Writes lines to a descriptor as fast as it takes them.

    Args:
      fd: Descriptor, set to non-blocking.
    """

    def __init__(self, fd: int = 1):
        self._fd = fd
        os.set_blocking(fd, False)
        self._lines: deque[bytes] = deque()
        self._waiting = 0
        self._allowed = BURST_LINES
        self._at: float | None = None
        #: Lines dropped since the last line that says so, and in all.
        self._unreported = 0
        self.dropped = 0

    def write(self, now: float, fields: dict[str, Any]) -> None:
        """Queues one line; drops it when too much waits or lines come too fast."""
        self._refill(now)
        if self._allowed < 1.0 or self._waiting > MAX_WAITING_BYTES:
            self._unreported += 1
            self.dropped += 1
            return
        self._allowed -= 1.0
        if self._unreported:
            dropped, self._unreported = self._unreported, 0
            self._queue({"at": _at(now), "event": "log.dropped", "lines": dropped})
        self._queue({"at": _at(now), **fields})

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        while self._lines:
            data = self._lines[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the process goes on without its log.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._waiting = 0
                return
            self._waiting -= written
            if written < len(data):
                self._lines[0] = data[written:]
                return
            self._lines.popleft()

    def _queue(self, fields: dict[str, Any]) -> None:
        data = json.dumps(fields, separators=(",", ":"), default=str).encode() + b"\n"
        self._lines.append(data)
        self._waiting += len(data)

    def _refill(self, now: float) -> None:
        if self._at is not None and now > self._at:
            self._allowed = min(BURST_LINES, self._allowed + (now - self._at) * LINES_PER_S)
        self._at = now


def _at(now: float) -> float:
    return round(now, 3)
