"""The life of one client request: attempts, repeats, resumption, and exactly one answer."""

from __future__ import annotations

from typing import Protocol

from fescuechute.catalog import Onward, Repeat, RequestMeta, Service
from fescuechute.errors import Ran, Reason
from fescuechute.forwarding import (
    CallerRequest,
    Ended,
    Headers,
    OutboundRequest,
    StreamEvent,
    UpstreamCall,
    end_to_end,
)
from fescuechute.gateway._access import Allowed
from fescuechute.gateway._attempt import Attempt
from fescuechute.gateway._choice import Choice, Wanted
from fescuechute.platform import encode_onward, is_answer_to

#: Seconds for a new connection to a replica; a round trip between regions takes about 4 ms, and a
#: lost first packet is sent again only after a second.
CONNECT_S = 0.4
#: Idle seconds after which a kept connection is not used for a request that must not be repeated.
ONCE_MAX_IDLE_S = 1.0
#: Seconds without an event after which a stream that may be resumed goes on elsewhere. Clients wait
#: at least 2 s for the next event.
STREAM_SILENCE_S = 1.2
#: Seconds without the head of an answer after which a replica counts as failing for further choices.
#: A full engine begins within about a second; clients wait at least 2 s for the first event.
SLOW_BEGIN_S = 1.5
#: Statuses that promise that a request has not run. Without the replica's own word for it they are
#: not passed on.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Least seconds that must be left for another attempt.
LEAST_LEFT_S = 0.1


class Dispatch(Protocol):
    """What a transfer needs from its process."""

    def choose(self, wanted: Wanted) -> Choice | None:
        """Chooses a replica, or None when none can take the request."""

    def send(
        self, transfer: Transfer, attempt: Attempt, request: OutboundRequest, max_idle_s: float
    ) -> UpstreamCall:
        """Sends an attempt."""

    def cancel(self, call: UpstreamCall) -> None:
        """Ends a call."""

    def may_repeat(self, transfer: Transfer) -> bool:
        """Takes one repeat from the budget of the service."""

    def retry_after_s(self, transfer: Transfer) -> float:
        """Returns when a client should come back."""

    def take_back_at(self, transfer: Transfer, attempt: Attempt) -> float:
        """Returns the unix seconds at which an attempt that has not begun is taken back."""

    def attempt_slow(self, transfer: Transfer, attempt: Attempt) -> None:
        """The answer to an attempt has not begun in time."""

    def attempt_ended(self, transfer: Transfer, attempt: Attempt, outcome: str) -> None:
        """Accounts for an attempt that has ended; `outcome` is empty after success."""

    def ended(self, transfer: Transfer, status: int, reason: str, ran: Ran | None) -> None:
        """The request has its final answer."""

    def now(self) -> float:
        """Returns unix seconds."""


class Transfer:
    """One request of a client."""

    def __init__(
        self,
        request: CallerRequest,
        meta: RequestMeta,
        allowed: Allowed,
        service: Service,
        dispatch: Dispatch,
    ):
        self.request = request
        self.meta = meta
        self.allowed = allowed
        self.service = service
        self._dispatch = dispatch
        self._headers = end_to_end(request.headers)
        route = allowed.route
        timeout_s = route.timeout_s
        if meta.patience_s is not None:
            timeout_s = min(timeout_s, meta.patience_s)
        #: Unix seconds by which the client has its final answer.
        self.deadline = request.received_at + timeout_s
        #: Unix seconds at which the client stops waiting.
        patience_s = route.timeout_s if meta.patience_s is None else meta.patience_s
        self._client_deadline = request.received_at + patience_s
        self._attempt: Attempt | None = None
        self._tried: list[str] = []
        #: A replica's own failure, passed on when nothing better comes.
        self._fallback: tuple[int, Headers, bytes] | None = None
        #: Whether any replica may have run the request.
        self.may_have_run = False
        self._last_event_id = meta.last_event_id
        self._resumed = 0
        self._silent_at = float("inf")
        self.first_event_at: float | None = None
        request.answer.on_gone = self._client_gone

    @property
    def attempts(self) -> int:
        """Replicas to which the request was sent."""
        return len(self._tried)

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.allowed.route.repeatable

    @property
    def streaming(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.allowed.route.repeat is Repeat.STREAM

    def start(self) -> None:
        """Sends the first attempt, or refuses the request."""
        self._send("")

    def tick(self, now: float) -> None:
        """Gives up at the deadline; resumes a stream that went silent."""
        if not self.request.answer.is_open:
            return
        self._check_begin(now)
        if now >= self.deadline:
            self._give_up_attempt("timeout")
            self._fail(504, Reason.DEADLINE_PASSED)
        elif now >= self._silent_at and self._attempt is not None:
            self._silent_at = float("inf")
            if self._can_repeat():
                self._give_up_attempt("silent")
                self._send("silent")

    def _check_begin(self, now: float) -> None:
        attempt = self._attempt
        if attempt is None or attempt.status:
            return
        if self.repeatable and now >= self._dispatch.take_back_at(self, attempt):
            self._give_up_attempt("version")
            self._after_failure("version")
            return
        if attempt.slow:
            return
        if now - attempt.started_at < SLOW_BEGIN_S:
            return
        attempt.slow = True
        self._dispatch.attempt_slow(self, attempt)
        row = attempt.choice.row
        held_back = row.holds_back(self.allowed.rank, attempt.started_at)
        # Elsewhere it has to wait as well, so only a replica with room is worth a repeat.
        if held_back and self._dispatch.choose(self.wanted()) and self._can_repeat():
            self._give_up_attempt("held back")
            self._send("held back")

    # Outcomes of attempts.

    def attempt_events(self, attempt: Attempt, events: list[StreamEvent]) -> None:
        """Passes on the events that the client does not have yet."""
        if attempt is not self._attempt:
            return
        self._note_progress(attempt)
        data = bytearray()
        for event in events:
            if event.id is not None:
                if self._last_event_id is not None and event.id <= self._last_event_id:
                    continue
                if self._resumed and event.id != (self._last_event_id or 0) + 1:
                    self._give_up_attempt("gap")
                    self._after_failure("gap in the resumed stream")
                    return
                self._last_event_id = event.id
            data += event.data
        if data:
            self._start_answer(attempt)
            self.request.answer.write(bytes(data))

    def attempt_answered(self, attempt: Attempt) -> None:
        """Handles a complete answer of a replica."""
        if attempt is not self._attempt:
            return
        assert attempt.meta is not None
        self._attempt = None
        if attempt.meta.not_run:
            self._not_run(attempt)
        elif attempt.streams:
            self._stream_ended(attempt)
        elif attempt.status < 300 and not attempt.meta.sealed:
            self._ran(attempt, "unsealed")
        elif attempt.status in NOT_RUN_STATUSES:
            self._ran(attempt, "unproved refusal")
        elif attempt.status >= 500:
            self._fallback = (attempt.status, end_to_end(attempt.headers), bytes(attempt.body))
            self._ran(attempt, f"status {attempt.status}")
        else:
            self._dispatch.attempt_ended(self, attempt, "")
            self.may_have_run = True
            self._answer(attempt.status, end_to_end(attempt.headers), bytes(attempt.body))

    def attempt_failed(self, attempt: Attempt, ended: Ended, detail: str) -> None:
        """Handles an attempt without a complete answer."""
        if attempt is not self._attempt:
            return
        self._attempt = None
        self._dispatch.attempt_ended(self, attempt, f"{ended}: {detail}")
        if ended is Ended.NOT_CONNECTED:
            # Nothing reached the replica, so this is not a repeat.
            self._tried.remove(attempt.row_id)
            self._send(str(ended), avoid=attempt.row_id)
            return
        self.may_have_run = True
        self._after_failure(str(ended))

    def _not_run(self, attempt: Attempt) -> None:
        assert attempt.meta is not None
        outcome = "misdirected" if attempt.meta.misdirected else "refused"
        self._dispatch.attempt_ended(self, attempt, outcome)
        if self._has_attempts() and self._dispatch.may_repeat(self):
            self._send(outcome)
        else:
            self._fail(503, Reason.OVERLOADED)

    def _ran(self, attempt: Attempt, outcome: str) -> None:
        self._dispatch.attempt_ended(self, attempt, outcome)
        self.may_have_run = True
        self._after_failure(outcome)

    def _stream_ended(self, attempt: Attempt) -> None:
        if attempt.incomplete_event:
            self._ran(attempt, "incomplete event")
            return
        self._dispatch.attempt_ended(self, attempt, "")
        self.may_have_run = True
        self._start_answer(attempt)
        self.request.answer.end()
        self._finish(attempt.status, "", None)

    def _after_failure(self, cause: str) -> None:
        if self._can_repeat():
            self._send(cause)
        else:
            self._fail(502, Reason.UPSTREAM_LOST)

    # Sending.

    def _has_attempts(self) -> bool:
        left_s = self.deadline - self._dispatch.now()
        return len(self._tried) < self.allowed.route.max_upstreams and left_s > LEAST_LEFT_S

    def _can_repeat(self) -> bool:
        return self.repeatable and self._has_attempts() and self._dispatch.may_repeat(self)

    def wanted(self, avoid: str = "") -> Wanted:
        """Returns what the next attempt needs."""
        return Wanted(
            self.service,
            self.meta.model,
            self.meta.prompt_tokens,
            self.allowed.rank,
            frozenset(self._tried) | ({avoid} if avoid else frozenset()),
        )

    def _send(self, cause: str, avoid: str = "") -> None:
        choice = self._dispatch.choose(self.wanted(avoid))
        if choice is None:
            reason = Reason.UPSTREAM_LOST if self.may_have_run else Reason.NO_UPSTREAM
            self._fail(502 if self.may_have_run else 503, reason)
            return
        now = self._dispatch.now()
        attempt = Attempt(self, choice, self.streaming, now)
        self._attempt = attempt
        self._tried.append(choice.row.instance)
        if self.request.answer.started:
            self._resumed += 1
            self._silent_at = now + STREAM_SILENCE_S
        max_idle_s = float("inf") if self.repeatable else ONCE_MAX_IDLE_S
        attempt.call = self._dispatch.send(self, attempt, self._outbound(choice, now), max_idle_s)

    def _outbound(self, choice: Choice, now: float) -> OutboundRequest:
        onward = Onward(
            instance=choice.row.instance,
            workspace=self.allowed.workspace,
            left_s=max(0.001, self._client_deadline - now),
            rank=self.allowed.rank,
            version=choice.version,
            last_event_id=self._last_event_id,
        )
        request = self.request
        return OutboundRequest(
            request.method, request.target, encode_onward(self._headers, onward), request.body
        )

    def is_answer(self, headers: Headers) -> bool:
        """Returns whether a head that arrived belongs to this request."""
        return is_answer_to(self.meta.request_id, headers)

    def _give_up_attempt(self, outcome: str) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None or attempt.call is None:
            return
        self.may_have_run = self.may_have_run or attempt.sent
        self._dispatch.cancel(attempt.call)
        self._dispatch.attempt_ended(self, attempt, outcome)

    def _note_progress(self, attempt: Attempt) -> None:
        now = self._dispatch.now()
        if self.first_event_at is None:
            self.first_event_at = now
        row = attempt.choice.row
        row.began(attempt, self.allowed.rank, now)
        row.unread_tokens -= attempt.unread_tokens
        attempt.unread_tokens = 0
        if self.repeatable:
            self._silent_at = now + STREAM_SILENCE_S

    # Answers.

    def _start_answer(self, attempt: Attempt) -> None:
        if not self.request.answer.started:
            self.request.answer.start(attempt.status, end_to_end(attempt.headers))

    def _answer(self, status: int, headers: Headers, body: bytes, reason: str = "") -> None:
        self.request.answer.send(status, headers, body)
        self._finish(status, reason, None)

    def _fail(self, status: int, reason: Reason) -> None:
        """Ends the request without a success."""
        answer = self.request.answer
        if answer.started:
            answer.abort()
            self._finish(status, reason, Ran.PARTIAL)
        elif self._fallback is not None:
            fallback_status, headers, body = self._fallback
            self._answer(fallback_status, headers, body, reason)
        elif self.may_have_run:
            answer.send(502 if status == 503 else status, [], b"")
            self._finish(status, reason, Ran.UNKNOWN)
        else:
            self.refuse(reason)

    def refuse(self, reason: Reason) -> None:
        """Refuses the request as not run, with a time to come back."""
        again_s = self._dispatch.retry_after_s(self)
        self.request.answer.send(503, [(b"Retry-After", b"%.2f" % again_s)], b"")
        self._finish(503, reason, Ran.NOT_RUN)

    def _finish(self, status: int, reason: str, ran: Ran | None) -> None:
        self._dispatch.ended(self, status, str(reason), ran)

    def _client_gone(self) -> None:
        self._give_up_attempt("client gone")
        self._finish(499, Reason.CANCELLED, Ran.UNKNOWN if self.may_have_run else Ran.NOT_RUN)
