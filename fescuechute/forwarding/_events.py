"""Splitting of server-sent event streams into events (WHATWG HTML, section 9.2)."""

from __future__ import annotations

import re

import attrs

from fescuechute.errors import ResponseTooLargeError

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_FIELD = re.compile(rb"^id:[ ]?(\d{1,18})\r?$", re.MULTILINE)
#: Length of the longest separator of two events.
_MAX_SEPARATOR_BYTES = 4
#: Limit on one event; events hold a few tokens.
MAX_EVENT_BYTES = 256 * 1024


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
        self._remainder = bytearray()

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._remainder)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Appends data and returns the events that it completes.

        Raises:
          ResponseTooLargeError: If an event exceeds MAX_EVENT_BYTES.
        """
        # A separator may have begun in the part that was searched before.
        search_from = max(0, len(self._remainder) - _MAX_SEPARATOR_BYTES + 1)
        self._remainder += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._remainder, search_from):
            events.append(_parse_event(bytes(self._remainder[start : match.end()])))
            start = match.end()
        del self._remainder[:start]
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise ResponseTooLargeError(
                f"An event of a stream exceeds {MAX_EVENT_BYTES} bytes.",
                "Check the upstream; events end with a blank line.",
            )
        return events


def _parse_event(data: bytes) -> StreamEvent:
    match = _ID_FIELD.search(data)
    return StreamEvent(data, int(match[1]) if match else None)
