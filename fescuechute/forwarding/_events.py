"""Whole events of an event stream (WHATWG HTML, section 9.2)."""

from __future__ import annotations

import re

import attrs

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


@attrs.frozen
class StreamEvent:
    """One whole event."""

    #: Bytes as received, with the blank line that ends the event.
    data: bytes
    #: Its id, or None when it has none.
    id: int | None


class EventSplitter:
    """Cuts a body into whole events and keeps the incomplete rest."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes behind the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that are whole now."""
        self._rest += data
        events = []
        at = 0
        for match in _END.finditer(self._rest):
            events.append(_event(self._rest[at : match.end()]))
            at = match.end()
        self._rest = self._rest[at:]
        return events


def _event(data: bytes) -> StreamEvent:
    match = _ID.search(data)
    return StreamEvent(data, int(match[1]) if match else None)
