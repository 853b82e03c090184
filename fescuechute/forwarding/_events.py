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
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Appends data and returns the events that it completes."""
        self._rest += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._rest):
            events.append(_parse_event(self._rest[start : match.end()]))
            start = match.end()
        self._rest = self._rest[start:]
        return events


def _parse_event(data: bytes) -> StreamEvent:
    match = _ID_FIELD.search(data)
    return StreamEvent(data, int(match[1]) if match else None)
