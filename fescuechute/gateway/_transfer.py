"""Forwarding of one client request: attempts, retries, stream resumption, and one response."""

from __future__ import annotations

from functools import cached_property
from typing import Protocol

from fescuechute.catalog import ForwardedMeta, RequestMeta, RetryPolicy, Service
from fescuechute.errors import ExecutionStatus, Reason
from fescuechute.forwarding import (
    CallFailure,
    ClientRequest,
    Headers,
    OutboundRequest,
    ResponseBuffers,
    StreamEvent,
    UpstreamCall,
    end_to_end,
)
from fescuechute.gateway._access import Allowed
from fescuechute.gateway._attempt import Attempt
from fescuechute.gateway._choice import Choice
from fescuechute.gateway._contents import content_digests
from fescuechute.gateway._evaluation import Requirements
from fescuechute.platform import encode_forwarded_headers, is_response_to

#: Timeout in seconds of a new connection to a replica. A round trip between regions takes about
#: 4 ms, and a lost SYN is retransmitted only after a second.
CONNECT_TIMEOUT_S = 0.4
#: Idle seconds after which a keep-alive connection is not reused for a request that must not be
#: retried.
NON_RETRYABLE_MAX_IDLE_S = 1.0
#: Seconds without an event after which a resumable stream is resumed at another replica. Clients
#: wait at least 2 s for the next event.
STREAM_STALL_S = 1.2
#: Seconds after which a free replica is looked for again.
STALL_RECHECK_S = 0.2
#: Seconds without a response head after which a failure of the replica is recorded. A full engine
#: starts to respond within about a second; clients wait at least 2 s for the first event.
SLOW_START_S = 1.5
#: Statuses that tell a client that its request was not run. A response with one of them is not
#: forwarded unless the replica states in a header field that it did not run the request.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Minimum seconds until the deadline for another attempt.
MIN_TIME_LEFT_S = 0.1


class Dispatch(Protocol):
    """Operations that a transfer needs; implemented by `Dispatcher`."""

    @property
    def response_buffers(self) -> ResponseBuffers:
        """Limit on the memory of incomplete responses."""

    def may_send(self, transfer: Transfer) -> bool:
        """Returns whether an attempt may be sent, given the contents that crash replicas."""

    def is_quarantined(self, transfer: Transfer) -> bool:
        """Returns whether the request has a content in quarantine."""

    def choose(self, requirements: Requirements) -> Choice | None:
        """Returns the best replica, or None if none is eligible."""

    def is_preceded(self, transfer: Transfer) -> bool:
        """Returns whether other requests wait for a place at the same engines."""

    def record_overtaking(self, transfer: Transfer) -> None:
        """Records that a request starts without waiting."""

    def wait(self, transfer: Transfer) -> bool:
        """Lets the request wait for a place; returns False if none is predicted in time."""

    def regions(self, transfer: Transfer) -> frozenset[str] | None:
        """Returns the regions in which a request may run by the newest configuration, None for all."""

    def may_serve(self, transfer: Transfer, attempt: Attempt) -> bool:
        """Returns whether the replica of an attempt is in an allowed region and not evacuated."""

    def has_region(self, transfer: Transfer) -> bool:
        """Returns whether a replica is in the regions in which a request may run."""

    def send(
        self, transfer: Transfer, attempt: Attempt, request: OutboundRequest, max_idle_s: float
    ) -> UpstreamCall:
        """Sends an attempt to its replica."""

    def cancel(self, call: UpstreamCall) -> None:
        """Cancels a call to a replica."""

    def try_spend_retry(self, transfer: Transfer) -> bool:
        """Spends one retry of the service's budget; returns False if none is left."""

    def retry_after_s(self, transfer: Transfer) -> float:
        """Returns the `Retry-After` of a refusal, in seconds."""

    def cancel_unstarted_at(self, transfer: Transfer, attempt: Attempt) -> float:
        """Returns the unix seconds at which the attempt is cancelled if it has not started."""

    def attempt_slow(self, transfer: Transfer, attempt: Attempt) -> None:
        """Records that the response to an attempt has not started in time."""

    def attempt_progress(self, transfer: Transfer, attempt: Attempt) -> None:
        """Records that events of an attempt have arrived."""

    def attempt_head(self, attempt: Attempt) -> None:
        """Records what the head of a response, which is decoded, states about its replica."""

    def attempt_ended(self, transfer: Transfer, attempt: Attempt, outcome: str) -> None:
        """Records the end of an attempt; `outcome` is empty after a success."""

    def transfer_ended(
        self, transfer: Transfer, status: int, reason: str, ran: ExecutionStatus | None
    ) -> None:
        """Records the final outcome of a request."""

    def now(self) -> float:
        """Returns the current time in unix seconds."""


class Transfer:
    """Forwards one request of a client and sends exactly one response."""

    def __init__(
        self,
        request: ClientRequest,
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
        if meta.client_timeout_s is not None:
            timeout_s = min(timeout_s, meta.client_timeout_s)
        #: Unix seconds by which the gateway sends the final response.
        self.deadline = request.received_at + timeout_s
        client_timeout_s = (
            route.timeout_s if meta.client_timeout_s is None else meta.client_timeout_s
        )
        #: Unix seconds at which the client stops waiting.
        self._client_deadline = request.received_at + client_timeout_s
        #: Attempt whose response is passed on, unless one of the successors starts to respond first.
        self._attempt: Attempt | None = None
        #: Attempts sent while that one is silent or has not started. Each continues after the last
        #: event passed on; the first to respond replaces the attempt, and the others are cancelled.
        self._successors: list[Attempt] = []
        self._tried: list[str] = []
        #: Status, headers and body of a replica's error, forwarded if no later attempt succeeds.
        self._fallback_response: tuple[int, Headers, bytes] | None = None
        #: Whether any replica may have run the request.
        self.may_have_run = False
        self._last_event_id = meta.last_event_id
        self._resume_count = 0
        #: Unix seconds at which a stream without further events counts as stalled.
        self._stalls_at = float("inf")
        self.first_event_at: float | None = None
        self._last_event_at: float | None = None
        #: Longest seconds between two batches of events that replicas sent.
        self.longest_gap_s = 0.0
        #: Unix seconds since which the request waits for a place, None while it does not.
        self.waiting_since: float | None = None
        #: Seconds that it has waited in all, and that were predicted for the last time.
        self.waited_s = 0.0
        self.predicted_wait_s: float | None = None
        #: Requests that waited when it began to wait, including itself.
        self.waiting_place = 0
        request.response.on_disconnect = self._on_client_gone

    @cached_property
    def contents(self) -> tuple[bytes, ...]:
        """Digests of the contents that may crash a replica."""
        return content_digests(self.request, self.meta)

    @property
    def attempts(self) -> int:
        """Number of replicas to which the request was sent."""
        return len(self._tried)

    @property
    def retryable(self) -> bool:
        """Whether the request may run more than once."""
        return self.allowed.route.retryable

    @property
    def streaming(self) -> bool:
        """Whether the response is an event stream."""
        return self.allowed.route.retry_policy is RetryPolicy.STREAM

    def start(self) -> None:
        """Sends the first attempt, or refuses the request if no replica is eligible."""
        self._send("")

    def stop(self) -> None:
        """Ends the request because the process stops, with an answer or a visibly cut stream."""
        self._cancel_all("stopping")
        self._fail(504, Reason.DRAINING)

    def place_unsent(self) -> None:
        """Places attempts anew that are not connected and whose replicas may no longer serve them.

        Nothing was sent, so that is no retry.
        """
        for attempt in [self._attempt, *self._successors]:
            if attempt is None or attempt.sent or self._dispatch.may_serve(self, attempt):
                continue
            self._cancel(attempt, "moved")
            self._tried.remove(attempt.instance)
            if not self._continue_with_another():
                self._send("moved")

    def tick(self, now: float) -> None:
        """Enforces the deadline; moves attempts that do not start and resumes stalled streams."""
        if not self.request.response.is_open:
            return
        if now >= self.deadline:
            self._cancel_all("timeout")
            self._fail(504, Reason.DEADLINE_PASSED)
            return
        if self.waiting_since is not None and self._dispatch.is_quarantined(self):
            self._fail(503, Reason.QUARANTINED)
            return
        self._check_start(now)
        if now >= self._stalls_at and self._attempt is not None:
            # Without a free replica the silent one is the best chance; it may only be slow.
            self._stalls_at = now + STALL_RECHECK_S
            if self._try_add_successor():
                self._report_slow(self._attempt)
                self._stalls_at = now + STREAM_STALL_S

    def _check_start(self, now: float) -> None:
        if self._successors:
            self._cancel_forbidden_successors(now)
        attempt = self._attempt
        if attempt is None or attempt.status:
            return
        if self._dispatch.is_quarantined(self):
            self._cancel_all("quarantined")
            self._fail(503, Reason.QUARANTINED)
            return
        if self._must_not_start(attempt, now):
            self._cancel(attempt, "version")
            self._replace_or_fail("version")
            return
        if attempt.reported_slow:
            return
        if now - attempt.started_at < SLOW_START_S:
            return
        self._report_slow(attempt)
        # The request would have to queue at a full replica as well, so it only moves to a free one.
        if attempt.choice.row.is_overdue(self.allowed.rank, attempt.started_at):
            self._try_add_successor()

    def _cancel_forbidden_successors(self, now: float) -> None:
        quarantined = self._dispatch.is_quarantined(self)
        for successor in list(self._successors):
            if quarantined:
                self._cancel(successor, "quarantined")
            elif not successor.status and self._must_not_start(successor, now):
                self._cancel(successor, "version")

    def _must_not_start(self, attempt: Attempt, now: float) -> bool:
        """Returns whether an attempt would start on a version that is no longer allowed."""
        # The head of any other response that must not be retried comes at its end, so whether the
        # request has started is unknown.
        cancellable = self.retryable or self.streaming
        return cancellable and now >= self._dispatch.cancel_unstarted_at(self, attempt)

    def _report_slow(self, attempt: Attempt) -> None:
        if not attempt.reported_slow:
            attempt.reported_slow = True
            self._dispatch.attempt_slow(self, attempt)

    # Outcomes of attempts.

    def attempt_head(self, attempt: Attempt) -> None:
        """Records what the replica states about itself, also in a response that came too late."""
        self._dispatch.attempt_head(attempt)

    def attempt_events(self, attempt: Attempt, events: list[StreamEvent]) -> None:
        """Forwards the events that the client has not received yet."""
        if attempt in self._successors and not self._is_taking_over(attempt, events):
            return
        if not self._take_over(attempt):
            return
        self._record_progress(attempt)
        data = bytearray()
        for event in events:
            if event.id is not None:
                if self._last_event_id is not None and event.id <= self._last_event_id:
                    continue
                if self._resume_count and event.id != (self._last_event_id or 0) + 1:
                    self._cancel(attempt, "gap")
                    self._replace_or_fail("gap in the resumed stream")
                    return
                self._last_event_id = event.id
            data += event.data
        if data:
            self._start_response(attempt)
            self.request.response.write(bytes(data))

    def attempt_completed(self, attempt: Attempt) -> None:
        """Handles a complete response of a replica."""
        if attempt is not self._attempt and attempt not in self._successors:
            return
        assert attempt.meta is not None
        if not attempt.identified:
            self._handle_unusable_response(attempt, "unidentified")
        elif attempt.meta.not_run:
            self._handle_not_run(attempt)
        elif attempt.is_stream:
            self._finish_stream(attempt)
        elif attempt.status < 300 and not attempt.meta.sealed:
            self._handle_unusable_response(attempt, "unsealed")
        elif self.request.response.started:
            # The client has received events, so only further events can follow.
            self._handle_unusable_response(attempt, f"status {attempt.status} in a stream")
        elif attempt.status in NOT_RUN_STATUSES:
            self._handle_unusable_response(attempt, "unproved refusal")
        elif attempt.status >= 500:
            self._fallback_response = (
                attempt.status,
                end_to_end(attempt.headers),
                bytes(attempt.body),
            )
            self._handle_unusable_response(attempt, f"status {attempt.status}")
        else:
            body = bytes(attempt.body)
            self._take_over(attempt)
            self._end_attempt(attempt, "")
            self.may_have_run = True
            self._send_response(attempt.status, end_to_end(attempt.headers), body)

    def attempt_failed(self, attempt: Attempt, failure: CallFailure, detail: str) -> None:
        """Handles an attempt that ended without a complete response."""
        if attempt is not self._attempt and attempt not in self._successors:
            return
        self._end_attempt(attempt, f"{failure}: {detail}")
        if failure is CallFailure.NOT_CONNECTED:
            # Nothing reached the replica, so another attempt is not a retry.
            self._tried.remove(attempt.instance)
            if not self._continue_with_another():
                self._send(str(failure), avoid=attempt.instance)
            return
        self.may_have_run = True
        self._replace_or_fail(str(failure))

    def _handle_not_run(self, attempt: Attempt) -> None:
        assert attempt.meta is not None
        outcome = "misdirected" if attempt.meta.misdirected else "refused"
        self._end_attempt(attempt, outcome)
        if self._continue_with_another():
            return
        if self._has_attempts() and self._dispatch.try_spend_retry(self):
            self._send(outcome)
        else:
            self._fail(503, Reason.OVERLOADED)

    def _handle_unusable_response(self, attempt: Attempt, outcome: str) -> None:
        self._end_attempt(attempt, outcome)
        self.may_have_run = True
        self._replace_or_fail(outcome)

    def _finish_stream(self, attempt: Attempt) -> None:
        if attempt.incomplete_event:
            self._handle_unusable_response(attempt, "incomplete event")
            return
        resumed_by_client = self.meta.last_event_id is not None and not self._resume_count
        if not attempt.event_count and not resumed_by_client:
            self._handle_unusable_response(attempt, "no events")
            return
        self._take_over(attempt)
        self._end_attempt(attempt, "")
        self.may_have_run = True
        self._start_response(attempt)
        self.request.response.end()
        self._finish(attempt.status, "", None)

    def _replace_or_fail(self, cause: str) -> None:
        """Goes on with another attempt after one has ended, or fails the request."""
        if self._continue_with_another():
            return
        if self._acquire_retry():
            self._send(cause)
        else:
            self._fail(502, Reason.UPSTREAM_LOST)

    # Successors.

    def _try_add_successor(self) -> bool:
        """Sends the request to a free replica as well, if there is one and a retry is allowed."""
        choice = self._dispatch.choose(self.requirements())
        if choice is None or not self._dispatch.may_send(self) or not self._acquire_retry():
            return False
        self._successors.append(self._start_attempt(choice))
        return True

    def _is_taking_over(self, attempt: Attempt, events: list[StreamEvent]) -> bool:
        """Returns whether the events of a successor go on after those already passed on."""
        last_id = self._last_event_id or 0
        new_ids = [event.id for event in events if event.id is not None and event.id > last_id]
        if self.request.response.started and new_ids and new_ids[0] != last_id + 1:
            self._cancel(attempt, "gap")
            return False
        return bool(new_ids) or not self.request.response.started

    def _take_over(self, attempt: Attempt) -> bool:
        """Cancels all other attempts; returns False if this attempt has ended."""
        if attempt in self._successors:
            if self._attempt is not None:
                self._cancel(self._attempt, "silent" if self._attempt.status else "held back")
            self._successors.remove(attempt)
            self._set_attempt(attempt)
        elif attempt is not self._attempt:
            return False
        for successor in list(self._successors):
            self._cancel(successor, "superseded")
        return True

    def _continue_with_another(self) -> bool:
        """Goes on with an attempt that is left after another one has ended.

        If the attempt itself has ended, its oldest successor takes its place. If a successor has ended,
        a stalled stream may get another one soon.

        Returns:
          Whether an attempt is left.
        """
        if self._attempt is not None:
            if self._stalls_at != float("inf"):
                self._stalls_at = min(self._stalls_at, self._dispatch.now() + STALL_RECHECK_S)
            return True
        if not self._successors:
            return False
        self._set_attempt(self._successors.pop(0))
        return True

    def _set_attempt(self, attempt: Attempt) -> None:
        self._attempt = attempt
        if self.request.response.started:
            self._resume_count += 1

    # Sending.

    def _has_attempts(self) -> bool:
        remaining_s = self.deadline - self._dispatch.now()
        return len(self._tried) < self.allowed.route.max_upstreams and remaining_s > MIN_TIME_LEFT_S

    def _acquire_retry(self) -> bool:
        """Returns whether a retry is allowed, and if so spends it from the budget."""
        return self.retryable and self._has_attempts() and self._dispatch.try_spend_retry(self)

    def requirements(self, avoid: str = "") -> Requirements:
        """Returns the requirements of the next attempt on its replica."""
        return Requirements(
            self.service,
            self.meta.model,
            self.meta.prompt_tokens,
            self.allowed.rank,
            frozenset(self._tried) | ({avoid} if avoid else frozenset()),
            self._dispatch.regions(self),
            self.allowed.route_rank,
        )

    def _send(self, cause: str, avoid: str = "") -> None:
        may_wait = self._may_wait()
        choice = None
        if not (may_wait and self._dispatch.is_preceded(self)):
            choice = self._dispatch.choose(self.requirements(avoid))
        if choice is not None:
            self._dispatch.record_overtaking(self)
            self._start(choice)
        elif not (may_wait and self._dispatch.wait(self)):
            self._fail_without_upstream()

    def _fail_without_upstream(self) -> None:
        if self.may_have_run:
            self._fail(502, Reason.UPSTREAM_LOST)
        else:
            has_region = self._dispatch.has_region(self)
            self._fail(503, Reason.NO_UPSTREAM if has_region else Reason.NO_REGION)

    def _may_wait(self) -> bool:
        """Returns whether the request may wait for a place; plain replicas queue it themselves."""
        return self.service.engine is not None and not self.may_have_run

    def record_wait(self, now: float, predicted_s: float, place: int) -> None:
        """Records that the request waits, for its log lines."""
        self.waiting_since, self.predicted_wait_s, self.waiting_place = now, predicted_s, place

    def start_waiting(self, choice: Choice) -> None:
        """Starts a request that has waited for a place."""
        self._end_wait()
        self._start(choice)

    def refuse_waiting(self) -> None:
        """Refuses a request that has waited, since no place is predicted in time any more."""
        self._end_wait()
        self._fail_without_upstream()

    def _end_wait(self) -> None:
        if self.waiting_since is not None:
            self.waited_s += self._dispatch.now() - self.waiting_since
            self.waiting_since = None

    def _start(self, choice: Choice) -> None:
        if not self._dispatch.may_send(self):
            self._fail(503, Reason.QUARANTINED)
            return
        self._set_attempt(self._start_attempt(choice))
        if self.request.response.started:
            self._stalls_at = self._dispatch.now() + STREAM_STALL_S

    def _start_attempt(self, choice: Choice) -> Attempt:
        now = self._dispatch.now()
        attempt = Attempt(
            self,
            choice,
            self.streaming,
            now,
            self._dispatch.response_buffers,
            self.meta.max_tokens,
        )
        self._tried.append(choice.row.instance)
        max_idle_s = float("inf") if self.retryable else NON_RETRYABLE_MAX_IDLE_S
        attempt.call = self._dispatch.send(self, attempt, self._outbound(choice, now), max_idle_s)
        return attempt

    def _outbound(self, choice: Choice, now: float) -> OutboundRequest:
        forwarded = ForwardedMeta(
            instance=choice.row.instance,
            workspace=self.allowed.workspace,
            remaining_s=max(0.001, self._client_deadline - now),
            rank=self.allowed.rank,
            version=choice.version,
            last_event_id=self._last_event_id,
        )
        request = self.request
        return OutboundRequest(
            request.method,
            request.target,
            encode_forwarded_headers(self._headers, forwarded),
            request.body,
        )

    def is_own_response(self, headers: Headers) -> bool:
        """Returns whether a response head belongs to this request."""
        return is_response_to(self.meta.request_id, headers)

    def _cancel(self, attempt: Attempt, outcome: str) -> None:
        assert attempt.call is not None
        self.may_have_run = self.may_have_run or attempt.sent
        self._dispatch.cancel(attempt.call)
        self._end_attempt(attempt, outcome)

    def _cancel_all(self, outcome: str) -> None:
        for attempt in [self._attempt, *self._successors]:
            if attempt is not None:
                self._cancel(attempt, outcome)

    def _end_attempt(self, attempt: Attempt, outcome: str) -> None:
        if attempt is self._attempt:
            self._attempt = None
        elif attempt in self._successors:
            self._successors.remove(attempt)
        attempt.release()
        self._dispatch.attempt_ended(self, attempt, outcome)

    def _record_progress(self, attempt: Attempt) -> None:
        now = self._dispatch.now()
        if attempt.first_event_at is None:
            attempt.first_event_at = now
        if self.first_event_at is None:
            self.first_event_at = now
        if self._last_event_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_event_at)
        self._last_event_at = now
        row = attempt.choice.row
        self._dispatch.attempt_progress(self, attempt)
        row.record_start(attempt, self.allowed.rank, now)
        row.pending_prompt_tokens -= attempt.pending_prompt_tokens
        attempt.pending_prompt_tokens = 0
        if self.retryable:
            self._stalls_at = now + STREAM_STALL_S

    # Responses to the client.

    def _start_response(self, attempt: Attempt) -> None:
        if not self.request.response.started:
            self.request.response.start(attempt.status, end_to_end(attempt.headers))

    def _send_response(self, status: int, headers: Headers, body: bytes, reason: str = "") -> None:
        self.request.response.send(status, headers, body)
        self._finish(status, reason, None)

    def _fail(self, status: int, reason: Reason) -> None:
        """Ends the request as failed."""
        response = self.request.response
        if response.started:
            response.abort()
            self._finish(status, reason, ExecutionStatus.PARTIAL)
        elif self._fallback_response is not None:
            fallback_status, headers, body = self._fallback_response
            self._send_response(fallback_status, headers, body, reason)
        elif self.may_have_run:
            response.send(502 if status == 503 else status, [], b"")
            self._finish(status, reason, ExecutionStatus.UNKNOWN)
        else:
            self.refuse(reason)

    def refuse(self, reason: Reason) -> None:
        """Refuses the request as not run, with a `Retry-After`."""
        retry_after_s = self._dispatch.retry_after_s(self)
        self.request.response.send(503, [(b"Retry-After", b"%.2f" % retry_after_s)], b"")
        self._finish(503, reason, ExecutionStatus.NOT_RUN)

    def _finish(self, status: int, reason: str, ran: ExecutionStatus | None) -> None:
        self._end_wait()
        self._dispatch.transfer_ended(self, status, str(reason), ran)
        self.request.body = b""

    def _on_client_gone(self) -> None:
        self._cancel_all("client gone")
        self._finish(
            499,
            Reason.CANCELLED,
            ExecutionStatus.UNKNOWN if self.may_have_run else ExecutionStatus.NOT_RUN,
        )
