"""Assembly of an answer from the pieces of one or more attempts."""

from __future__ import annotations

from collections.abc import Sequence

from fescuechute.errors import ExecutionStatus, Reason, RefusedError
from fescuechute.streams._digest import text_digest

#: Maximum tokens buffered while an earlier piece is missing. Links preserve order, so more than a
#: few indicate a lost piece.
MAX_BUFFERED_TOKENS = 4096


class IncompleteAnswerError(RefusedError):
    """The answer cannot be completed from the messages received."""

    def __init__(self, request_id: str, detail: str, delivered: int):
        ran = ExecutionStatus.PARTIAL if delivered else ExecutionStatus.UNKNOWN
        super().__init__(Reason.INCOMPLETE_ANSWER, f"Request {request_id}: {detail}", ran=ran)


class Assembly:
    """Assembles the answer to one request.

    Positions are token indexes in the whole answer, counting resumed tokens. Messages of other
    attempts and duplicate tokens are ignored. A piece that arrives early is buffered, up to a
    limit, until the missing one arrives. The answer is complete only when its end is verified;
    after an error, messages are ignored until the next attempt starts.

    Pieces carry no digest of their own. The digest in the end message covers the resumed tokens as
    they were passed to the upstream, so a resume trusts the tokens received before it.
    """

    def __init__(
        self, request_id: str, streamed: bool = True, max_buffered: int = MAX_BUFFERED_TOKENS
    ):
        self.request_id = request_id
        self._streamed = streamed
        self._max_buffered = max_buffered
        self._attempt = 0
        self._open = False
        self._tokens: list[str] = []
        #: Tokens that arrived ahead of a missing one, by position.
        self._buffered: dict[int, str] = {}
        #: Token count and digest from the end message, None until it arrives.
        self._end: tuple[int, str] | None = None
        #: Whether received messages conflict, so that some of the tokens are wrong.
        self._has_conflict = False
        self.complete = False

    @property
    def attempt(self) -> int:
        """Number of the current attempt, 0 before the first one."""
        return self._attempt

    @property
    def tokens(self) -> tuple[str, ...]:
        """Contiguous tokens received so far; passed as `resume` to the next upstream."""
        return tuple(self._tokens)

    @property
    def text(self) -> str:
        """Text of the contiguous tokens so far; the whole answer once `complete` is true."""
        return "".join(self._tokens)

    def start_attempt(self, attempt: int, resume_count: int) -> None:
        """Starts an attempt; messages of earlier attempts are ignored from then on.

        Args:
          attempt: Number of the attempt, higher than every earlier one.
          resume_count: Number of tokens passed to the upstream: all received, or 0 to restart.

        Raises:
          IncompleteAnswerError: If a restart would repeat tokens already delivered to the caller,
            or a resume would build on conflicting tokens.
          ValueError: If the attempt does not follow the current one, or `resume_count` is neither 0
            nor the number of tokens received.
        """
        if attempt <= self._attempt or self.complete:
            raise ValueError(f"Attempt {attempt} cannot follow attempt {self._attempt}")
        if resume_count not in (0, len(self._tokens)):
            raise ValueError(f"Cannot resume at {resume_count}, {len(self._tokens)} tokens arrived")
        if resume_count == 0 and self._tokens and self._streamed:
            raise self._fail("cannot restart after tokens reached the caller")
        if resume_count and self._has_conflict:
            raise self._fail("cannot resume from tokens that contradict each other")
        self._attempt = attempt
        self._open = True
        self._has_conflict = False
        self._end = None
        self._buffered.clear()
        del self._tokens[resume_count:]

    def add(
        self, attempt: int, seq: int, tokens: Sequence[str], request_id: str | None = None
    ) -> tuple[str, ...]:
        """Adds a piece and returns the tokens that can now be delivered, in order.

        Raises:
          IncompleteAnswerError: If the piece conflicts with earlier messages, exceeds a limit, or
            completes an answer whose digest does not match.
        """
        if not self._is_current(attempt, request_id):
            return ()
        if seq < 0:
            raise self._fail_with_conflict(f"a piece starts at position {seq}")
        if self._end is not None and seq + len(tokens) > self._end[0]:
            raise self._fail_with_conflict(f"a piece reaches beyond the end at {self._end[0]}")
        for position, token in enumerate(tokens, seq):
            self._check_and_buffer(position, token)
        start = len(self._tokens)
        while len(self._tokens) in self._buffered:
            self._tokens.append(self._buffered.pop(len(self._tokens)))
        delivered = tuple(self._tokens[start:])
        try:
            if len(self._buffered) > self._max_buffered:
                raise self._fail(f"tokens from {len(self._tokens)} on are missing")
            self._check_end()
        except IncompleteAnswerError:
            # These tokens are not returned to the caller, so a later attempt must produce them.
            del self._tokens[start:]
            raise
        return delivered

    def finish(self, attempt: int, count: int, digest: str, request_id: str | None = None) -> None:
        """Records the end; the answer is complete once all its tokens are present and verified.

        Raises:
          IncompleteAnswerError: If it conflicts with an earlier end or with the number of tokens
            received, or if the digest does not match.
        """
        if not self._is_current(attempt, request_id):
            return
        if self._end is not None and self._end != (count, digest):
            raise self._fail_with_conflict("two different ends arrived")
        highest = max(self._buffered, default=len(self._tokens) - 1)
        if count <= highest:
            raise self._fail_with_conflict(
                f"the end announces {count} tokens, {highest + 1} arrived"
            )
        self._end = (count, digest)
        self._check_end()

    def abandon(self, detail: str) -> IncompleteAnswerError:
        """Ends the current attempt and returns the error to report if no other attempt follows."""
        return self._fail(detail)

    def _is_current(self, attempt: int, request_id: str | None) -> bool:
        if request_id is not None and request_id != self.request_id:
            return False
        return self._open and attempt == self._attempt

    def _check_and_buffer(self, position: int, token: str) -> None:
        if position < len(self._tokens):
            existing: str | None = self._tokens[position]
        else:
            existing = self._buffered.setdefault(position, token)
        if existing != token:
            raise self._fail_with_conflict(f"two different tokens arrived for position {position}")

    def _check_end(self) -> None:
        if self._end is None or len(self._tokens) < self._end[0]:
            return
        if text_digest(self._tokens) != self._end[1]:
            raise self._fail_with_conflict("the digest does not match the tokens")
        self._open = False
        self.complete = True

    def _fail_with_conflict(self, detail: str) -> IncompleteAnswerError:
        self._has_conflict = True
        return self._fail(detail)

    def _fail(self, detail: str) -> IncompleteAnswerError:
        self._open = False
        return IncompleteAnswerError(self.request_id, f"{detail}.", len(self._tokens))
