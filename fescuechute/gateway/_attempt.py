"""One attempt of a request at one replica."""

from __future__ import annotations

from typing import Protocol

from fescuechute.catalog import AnswerMeta
from fescuechute.forwarding import (
    Ended,
    EventSplitter,
    Headers,
    StreamEvent,
    UpstreamCall,
)
from fescuechute.gateway._choice import Choice
from fescuechute.platform import decode_answer


class AttemptOwner(Protocol):
    """Receives what becomes of an attempt."""

    def attempt_events(self, attempt: Attempt, events: list[StreamEvent]) -> None:
        """Whole events of a successful stream arrived."""

    def attempt_answered(self, attempt: Attempt) -> None:
        """The answer is complete."""

    def attempt_failed(self, attempt: Attempt, ended: Ended, detail: str) -> None:
        """The answer will not be complete."""


class Attempt:
    """Collects one answer: as a whole, or event by event when a stream succeeds."""

    def __init__(self, owner: AttemptOwner, choice: Choice, streaming: bool, now: float):
        self._owner = owner
        self._splitter = EventSplitter()
        self._streaming = streaming
        self.choice = choice
        self.started_at = now
        self.call: UpstreamCall | None = None
        self.status = 0
        self.headers: Headers = []
        self.meta: AnswerMeta | None = None
        self.body = bytearray()
        #: Whether it was reported that the answer has not begun in time.
        self.slow = False
        #: Prompt tokens that count as unread at the replica until the first event.
        self.unread_tokens = 0

    @property
    def row_id(self) -> str:
        """Instance of the replica."""
        return self.choice.row.instance

    @property
    def sent(self) -> bool:
        """Whether bytes of the request may have reached the replica."""
        return self.call is not None and self.call.sent

    @property
    def streams(self) -> bool:
        """Whether the answer is a successful stream, which is passed on as it arrives."""
        return self._streaming and 200 <= self.status < 300

    @property
    def incomplete_event(self) -> bool:
        """Whether the body ended in the middle of an event."""
        return bool(self._splitter.rest.strip())

    def on_head(self, status: int, headers: Headers) -> None:
        """Keeps the head until it is clear whether it is passed on."""
        self.status = status
        self.headers = headers
        self.meta = decode_answer(status, headers)

    def on_data(self, data: bytes) -> None:
        """Passes whole events on, or collects the body."""
        if not self.streams:
            self.body += data
            return
        events = self._splitter.feed(data)
        if events:
            self._owner.attempt_events(self, events)

    def on_end(self) -> None:
        """The answer is complete."""
        self._owner.attempt_answered(self)

    def on_failed(self, ended: Ended, detail: str) -> None:
        """The answer will not be complete."""
        self._owner.attempt_failed(self, ended, detail)
