"""Non-blocking, bounded writer of structured log lines."""

from __future__ import annotations

import json
import os
from collections import deque
from typing import Any

#: Maximum size of the queue in bytes; lines beyond it are dropped and counted.
MAX_QUEUED_BYTES = 512 << 10
#: Rate limit in lines per second, and its burst in lines. At the design size, one VM serves about 90
#: requests per second and writes up to three lines for each.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 600.0


class LineWriter:
    """Queues log lines and writes them to a file descriptor without blocking.

    Args:
      fd: File descriptor; the constructor makes it non-blocking.
    """

    def __init__(self, fd: int = 1):
        self._fd = fd
        os.set_blocking(fd, False)
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._available_lines = MAX_BURST_LINES
        self._refilled_at: float | None = None
        #: Lines dropped since the last `log.dropped` line, and since the start.
        self._unreported_drops = 0
        self.dropped = 0

    def write(self, now: float, fields: dict[str, Any]) -> None:
        """Queues one line; drops it if the queue is full or the rate limit is exceeded."""
        self._refill(now)
        if self._available_lines < 1.0 or self._queued_bytes > MAX_QUEUED_BYTES:
            self._unreported_drops += 1
            self.dropped += 1
            return
        self._available_lines -= 1.0
        if self._unreported_drops:
            dropped, self._unreported_drops = self._unreported_drops, 0
            self._queue({"at": _timestamp(now), "event": "log.dropped", "lines": dropped})
        self._queue({"at": _timestamp(now), **fields})

    def flush(self) -> None:
        """Writes as many queued bytes as the descriptor accepts without blocking."""
        while self._lines:
            data = self._lines[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads standard output any more; the process continues without a log.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            if written < len(data):
                self._lines[0] = data[written:]
                return
            self._lines.popleft()

    def _queue(self, fields: dict[str, Any]) -> None:
        data = json.dumps(fields, separators=(",", ":"), default=str).encode() + b"\n"
        self._lines.append(data)
        self._queued_bytes += len(data)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None and now > self._refilled_at:
            self._available_lines = min(
                MAX_BURST_LINES, self._available_lines + (now - self._refilled_at) * MAX_LINES_PER_S
            )
        self._refilled_at = now


def _timestamp(now: float) -> float:
    return round(now, 3)
