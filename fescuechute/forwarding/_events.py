"""Splitting of server-sent event streams into events (WHATWG HTML, section 9.2)."""

from __future__ import annotations

import re

import attrs

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_FIELD = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


@attrs.frozen
class StreamEvent:
    """One complete event."""

    #: Raw bytes, including the blank line that ends the event.
    data: bytes
    #: Value of the `id` field, or None without a numeric one.
    id: int | None


class EventSplitter:
    """Splits a body into complete events and buffers the incomplete remainder."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Appends data and returns the events that it completes."""
        self._remainder += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._remainder):
            events.append(_parse_event(self._remainder[start : match.end()]))
            start = match.end()
        self._remainder = self._remainder[start:]
        return events


def _parse_event(data: bytes) -> StreamEvent:
    match = _ID_FIELD.search(data)
    return StreamEvent(data, int(match[1]) if match else None)
