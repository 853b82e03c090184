"""Assembly of one answer from the pieces of one or more attempts."""

from __future__ import annotations

from collections.abc import Sequence

from fescuechute.errors import Ran, Reason, RefusedError
from fescuechute.streams._digest import text_digest

#: Tokens that may wait for an earlier piece. Links keep order, so that more than a few mean a loss.
MAX_EARLY_TOKENS = 4096


class IncompleteAnswerError(RefusedError):
    """The answer cannot be completed from what arrived."""

    def __init__(self, request_id: str, found: str, delivered: int):
        ran = Ran.PARTIAL if delivered else Ran.UNKNOWN
        super().__init__(Reason.INCOMPLETE_ANSWER, f"Request {request_id}: {found}", ran=ran)


class Assembly:
    """Puts together the answer to one request.

    Positions are token indexes in the whole answer, resumed tokens included. Messages of other
    attempts are dropped, and so are tokens that arrive again. A piece that arrives early waits for
    the missing one up to a bound. Only a verified end makes the answer complete; after an error
    the assembly accepts nothing until the next attempt begins.

    The digest of the end covers the resumed tokens as they were passed on. A resume therefore
    trusts the tokens that arrived before it; pieces have no digest of their own.
    """

    def __init__(self, request_id: str, streamed: bool = True, max_early: int = MAX_EARLY_TOKENS):
        self.request_id = request_id
        self._streamed = streamed
        self._max_early = max_early
        self._attempt = 0
        self._open = False
        self._tokens: list[str] = []
        #: Early tokens by position.
        self._early: dict[int, str] = {}
        #: Count and digest of the end, once it arrived.
        self._end: tuple[int, str] | None = None
        #: True once tokens that arrived are known to be wrong somewhere.
        self._tainted = False
        self.complete = False

    @property
    def attempt(self) -> int:
        """Number of the current attempt, 0 before the first."""
        return self._attempt

    @property
    def tokens(self) -> tuple[str, ...]:
        """Tokens received in order so far; pass them as `resume` when the stream moves."""
        return tuple(self._tokens)

    @property
    def text(self) -> str:
        """The text received in order so far; the answer only once `complete` is true."""
        return "".join(self._tokens)

    def begin_attempt(self, attempt: int, resume_count: int) -> None:
        """Starts an attempt, which makes all earlier ones stale.

        Args:
          attempt: Number of the attempt, higher than every earlier one.
          resume_count: Tokens passed to the upstream: all that arrived, or 0 to start again.

        Raises:
          IncompleteAnswerError: If tokens that the caller already has would be produced again, or
            if the attempt would build on tokens that are known to be wrong.
          ValueError: If the numbers do not fit.
        """
        if attempt <= self._attempt or self.complete:
            raise ValueError(f"Attempt {attempt} cannot follow attempt {self._attempt}")
        if resume_count not in (0, len(self._tokens)):
            raise ValueError(f"Cannot resume at {resume_count}, {len(self._tokens)} tokens arrived")
        if resume_count == 0 and self._tokens and self._streamed:
            raise self._error("cannot restart after tokens reached the caller")
        if resume_count and self._tainted:
            raise self._error("cannot resume from tokens that contradict each other")
        self._attempt = attempt
        self._open = True
        self._tainted = False
        self._end = None
        self._early.clear()
        del self._tokens[resume_count:]

    def add(
        self, attempt: int, seq: int, tokens: Sequence[str], request_id: str | None = None
    ) -> tuple[str, ...]:
        """Adds a piece and returns the tokens that may now be delivered, in order.

        Raises:
          IncompleteAnswerError: If the piece contradicts what arrived, leaves the bounds, or
            completes an answer whose digest is wrong.
        """
        if not self._accepts(attempt, request_id):
            return ()
        if seq < 0:
            raise self._contradiction(f"a piece starts at position {seq}")
        if self._end is not None and seq + len(tokens) > self._end[0]:
            raise self._contradiction(f"a piece reaches beyond the end at {self._end[0]}")
        for position, token in enumerate(tokens, seq):
            self._place(position, token)
        begin = len(self._tokens)
        while len(self._tokens) in self._early:
            self._tokens.append(self._early.pop(len(self._tokens)))
        delivered = tuple(self._tokens[begin:])
        try:
            if len(self._early) > self._max_early:
                raise self._error(f"tokens from {len(self._tokens)} on are missing")
            self._check_end()
        except IncompleteAnswerError:
            # The caller does not get these tokens, so a later attempt must produce them.
            del self._tokens[begin:]
            raise
        return delivered

    def finish(self, attempt: int, count: int, digest: str, request_id: str | None = None) -> None:
        """Takes the explicit end; the answer is complete once all tokens are there and verified.

        Raises:
          IncompleteAnswerError: If more tokens arrived than the end announces, or if the digest
            does not match.
        """
        if not self._accepts(attempt, request_id):
            return
        if self._end is not None and self._end != (count, digest):
            raise self._contradiction("two different ends arrived")
        highest = max(self._early, default=len(self._tokens) - 1)
        if count <= highest:
            raise self._contradiction(f"the end announces {count} tokens, {highest + 1} arrived")
        self._end = (count, digest)
        self._check_end()

    def abandon(self, why: str) -> IncompleteAnswerError:
        """Closes the current attempt and returns the error to show if no other one follows."""
        return self._error(why)

    def _accepts(self, attempt: int, request_id: str | None) -> bool:
        if request_id is not None and request_id != self.request_id:
            return False
        return self._open and attempt == self._attempt

    def _place(self, position: int, token: str) -> None:
        if position < len(self._tokens):
            known: str | None = self._tokens[position]
        else:
            known = self._early.setdefault(position, token)
        if known != token:
            raise self._contradiction(f"two different tokens arrived for position {position}")

    def _check_end(self) -> None:
        if self._end is None or len(self._tokens) < self._end[0]:
            return
        if text_digest(self._tokens) != self._end[1]:
            raise self._contradiction("the digest does not match the tokens")
        self._open = False
        self.complete = True

    def _contradiction(self, found: str) -> IncompleteAnswerError:
        self._tainted = True
        return self._error(found)

    def _error(self, found: str) -> IncompleteAnswerError:
        self._open = False
        return IncompleteAnswerError(self.request_id, f"{found}.", len(self._tokens))
