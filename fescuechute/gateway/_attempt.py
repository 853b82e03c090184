"""One attempt to run a request on one replica."""

from __future__ import annotations

from typing import Protocol

from fescuechute.catalog import ResponseMeta
from fescuechute.errors import ResponseTooLargeError
from fescuechute.forwarding import (
    CallFailure,
    EventSplitter,
    Headers,
    ResponseBuffers,
    StreamEvent,
    UpstreamCall,
)
from fescuechute.gateway._choice import Choice
from fescuechute.platform import decode_response_meta

#: Events that a stream may have if its request does not limit the tokens, and the events that it may have
#: for each token and beyond these.
_MAX_EVENTS = 100_000
_EVENTS_PER_TOKEN = 2
_EXTRA_EVENTS = 100
#: Seconds from the first event within which a crash may be caused by the answer.
BEGIN_S = 1.0


class AttemptListener(Protocol):
    """Receives the events of an attempt."""

    def attempt_head(self, attempt: Attempt) -> None:
        """Called when the head of a response arrives."""

    def attempt_events(self, attempt: Attempt, events: list[StreamEvent]) -> None:
        """Called when complete events of a successful stream arrive."""

    def attempt_completed(self, attempt: Attempt) -> None:
        """Called when the response is complete."""

    def attempt_failed(self, attempt: Attempt, failure: CallFailure, detail: str) -> None:
        """Called when the attempt ends without a complete response."""


class Attempt:
    """Receives one response; buffers its body, or passes on the events of a successful stream.

    Args:
      listener: Receives the events of the attempt.
      choice: The replica.
      streaming: Whether the response is an event stream.
      now: Unix seconds.
      buffers: Limit on the memory of incomplete responses.
      max_tokens: Number of output tokens that the request allows, 0 if unknown; it limits the events.
    """

    def __init__(
        self,
        listener: AttemptListener,
        choice: Choice,
        streaming: bool,
        now: float,
        buffers: ResponseBuffers,
        max_tokens: int = 0,
    ):
        self._listener = listener
        self._splitter = EventSplitter()
        self._streaming = streaming
        self._buffers = buffers
        self._max_events = (
            _EXTRA_EVENTS + _EVENTS_PER_TOKEN * max_tokens if max_tokens else _MAX_EVENTS
        )
        self.choice = choice
        self.started_at = now
        self.call: UpstreamCall | None = None
        self.status = 0
        self.headers: Headers = []
        self.meta: ResponseMeta | None = None
        self.body = bytearray()
        #: Whether the response is known to belong to this request.
        self.identified = False
        #: Number of complete events received.
        self.event_count = 0
        #: Unix seconds of the first event, or None.
        self.first_event_at: float | None = None
        #: Number of events that arrived together with the first one.
        self.first_events = 0
        #: Whether the pauses between the first events were recorded.
        self.pace_recorded = False
        #: Whether the attempt was reported as slow to start responding.
        self.reported_slow = False
        #: Prompt tokens counted in `UpstreamRow.pending_prompt_tokens` until the response starts.
        self.pending_prompt_tokens = 0

    @property
    def instance(self) -> str:
        """Instance id of the replica."""
        return self.choice.row.instance

    @property
    def sent(self) -> bool:
        """Whether any bytes of the request may have reached the replica."""
        return self.call is not None and self.call.sent

    @property
    def is_stream(self) -> bool:
        """Whether the response is a successful event stream, which is passed on as it arrives."""
        if not self._streaming or self.meta is None or not 200 <= self.status < 300:
            return False
        return self.identified and self.meta.sealed

    @property
    def incomplete_event(self) -> bool:
        """Whether the body ended in the middle of an event."""
        return bool(self._splitter.remainder.strip())

    @property
    def ends_with_connection(self) -> bool:
        """Whether the response has neither a length nor chunks."""
        names = {name.lower() for name, _ in self.headers}
        return bool(names) and names.isdisjoint((b"content-length", b"transfer-encoding"))

    def began_recently(self, now: float) -> bool:
        """Returns whether the replica began to write less than BEGIN_S ago, or has not begun."""
        return self.first_event_at is None or now < self.first_event_at + BEGIN_S

    def is_whole_answer(self, now: float) -> bool:
        """Returns whether a response that has ended shows that the replica wrote a whole answer.

        One that ends with its connection may also have been ended by a crash, if it was short.
        """
        if not 200 <= self.status < 300 or (self._streaming and not self.event_count):
            return False
        return not self.ends_with_connection or not self.began_recently(now)

    def on_head(self, status: int, headers: Headers) -> None:
        """Stores the response head until it is decided whether to forward it."""
        self.status = status
        self.headers = headers
        self.meta = decode_response_meta(status, headers)
        # A response without an id on a kept connection may belong to an earlier request.
        first = self.call is None or self.call.is_first_on_connection
        self.identified = self.meta.names_request or first
        self._listener.attempt_head(self)

    def on_data(self, data: bytes) -> None:
        """Passes on complete events of a stream, or buffers the body.

        Raises:
          ResponseTooLargeError: If the body, or an event, takes too much memory.
        """
        if not self.is_stream:
            self._buffers.add(len(self.body), len(data))
            self.body += data
            return
        events = self._splitter.feed(data)
        self.event_count += len(events)
        if self.event_count > self._max_events:
            raise ResponseTooLargeError(
                f"A stream has more than {self._max_events} events.",
                "Check the upstream; its response does not end.",
            )
        if events:
            self._listener.attempt_events(self, events)

    def release(self) -> None:
        """Drops the buffered body; called when the attempt has ended."""
        self._buffers.release(len(self.body))
        self.body = bytearray()

    def on_end(self) -> None:
        """Reports that the response is complete."""
        self._listener.attempt_completed(self)

    def on_failed(self, failure: CallFailure, detail: str) -> None:
        """Reports that the attempt ended without a complete response."""
        self._listener.attempt_failed(self, failure, detail)
