"""Tests of answer assembly: a wrong or partial answer must never appear complete."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fescuechute.errors import ExecutionStatus, Reason
from fescuechute.streams import (
    Assembly,
    IncompleteAnswerError,
    ModelIdentity,
    can_restart,
    can_resume,
    text_digest,
)

TOKENS = ("cor", "te", " ", "á", "ngulo", "")


def _assembly(**options) -> Assembly:
    answer = Assembly("r1", **options)
    answer.start_attempt(1, 0)
    return answer


def test_pieces_in_order_complete_the_answer():
    """Pieces and an end in order must yield a complete answer."""
    answer = _assembly()
    assert answer.add(1, 0, TOKENS[:2]) == TOKENS[:2]
    assert answer.add(1, 2, TOKENS[2:]) == TOKENS[2:]
    assert not answer.complete
    answer.finish(1, 6, text_digest(TOKENS))
    assert answer.complete
    assert answer.text == "".join(TOKENS)


def test_early_piece_and_early_end_wait_for_the_missing_piece():
    """Reordered messages must neither reorder the text nor complete the answer early."""
    answer = _assembly()
    assert answer.add(1, 2, TOKENS[2:]) == ()
    answer.finish(1, 6, text_digest(TOKENS))
    assert not answer.complete
    assert answer.add(1, 0, TOKENS[:2]) == TOKENS
    assert answer.complete


def test_late_messages_of_an_earlier_attempt_are_dropped():
    """Tokens of a slow earlier attempt must not mix with those of the current one."""
    answer = _assembly()
    answer.start_attempt(2, 0)
    assert answer.add(1, 0, ("old",)) == ()
    answer.finish(1, 1, text_digest(("old",)))
    assert not answer.complete
    assert answer.add(2, 0, ("new",)) == ("new",)
    answer.finish(2, 1, text_digest(("new",)))
    assert answer.text == "new"


def test_resumed_attempt_continues_after_the_delivered_tokens():
    """A resumed stream must neither repeat nor skip tokens."""
    answer = _assembly()
    answer.add(1, 0, TOKENS[:3])
    answer.start_attempt(2, 3)
    assert answer.add(2, 2, TOKENS[2:]) == TOKENS[3:]
    answer.finish(2, 6, text_digest(TOKENS))
    assert answer.complete


def test_streamed_answer_does_not_restart_after_delivery():
    """A restart would repeat tokens to the caller or mix two different texts."""
    answer = _assembly()
    answer.add(1, 0, TOKENS[:1])
    with pytest.raises(IncompleteAnswerError) as raised:
        answer.start_attempt(2, 0)
    assert raised.value.reason is Reason.INCOMPLETE_ANSWER
    assert raised.value.ran is ExecutionStatus.PARTIAL


def test_unstreamed_answer_can_restart():
    """An answer not yet delivered can restart and keeps no tokens of the first attempt."""
    answer = _assembly(streamed=False)
    answer.add(1, 0, ("old",))
    answer.start_attempt(2, 0)
    answer.add(2, 0, ("new",))
    answer.finish(2, 1, text_digest(("new",)))
    assert answer.text == "new"


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param([("finish", 1, 5, text_digest(TOKENS))], id="count_too_low"),
        pytest.param([("finish", 1, 6, "0" * 64)], id="wrong_digest"),
        pytest.param([("add", 1, 0, ("other",))], id="other_token_at_a_known_position"),
        pytest.param([("add", 1, -1, ("x",))], id="negative_position"),
        pytest.param(
            [("finish", 1, 8, "0" * 64), ("add", 1, 6, ("a", "b", "c"))], id="beyond_the_end"
        ),
        pytest.param([("finish", 1, 8, "0" * 64), ("finish", 1, 9, "0" * 64)], id="two_ends"),
        pytest.param([("add", 1, 10, ("x",) * 9)], id="gap_beyond_the_bound"),
    ],
)
def test_conflicting_messages_raise_an_error(steps):
    """If a conflict passed silently, a wrong answer would appear complete."""
    answer = _assembly(max_buffered=8)
    answer.add(1, 0, TOKENS)
    with pytest.raises(IncompleteAnswerError):
        for name, *arguments in steps:
            getattr(answer, name)(*arguments)
    assert not answer.complete
    answer.finish(1, 6, text_digest(TOKENS))
    assert not answer.complete, "a failed attempt must not become complete later"


@pytest.mark.parametrize(
    ("offered", "allowed"),
    [
        pytest.param(ModelIdentity("m", "2", "a", "7"), True, id="same"),
        pytest.param(ModelIdentity("m", "3", "a", "7"), False, id="model_version"),
        pytest.param(ModelIdentity("m", "2", "a", "8"), False, id="adapter_version"),
        pytest.param(ModelIdentity("m", "2", "b", "7"), False, id="adapter"),
        pytest.param(ModelIdentity("m", "2"), False, id="no_adapter"),
        pytest.param(ModelIdentity("n", "2", "a", "7"), False, id="model"),
    ],
)
def test_resume_needs_equal_model_adapter_and_versions(offered, allowed):
    """A stream resumed with different weights would mix two texts."""
    assert can_resume(ModelIdentity("m", "2", "a", "7"), offered) is allowed


def test_unknown_versions_never_match():
    """Unknown versions cannot be assumed equal."""
    assert not can_resume(ModelIdentity("m", ""), ModelIdentity("m", ""))
    assert not can_resume(ModelIdentity("m", "1", "a", ""), ModelIdentity("m", "1", "a", ""))


def test_streamed_answer_can_restart_only_before_delivery():
    """A restart after the first delivered token would repeat text to the caller."""
    assert can_restart(0, streamed=True)
    assert can_restart(5, streamed=False)
    assert not can_restart(1, streamed=True)


token_tuples = st.lists(st.sampled_from(["a", "b", "ñ", "", " cd"]), max_size=8).map(tuple)


@settings(max_examples=200)
@given(
    answer_tokens=token_tuples,
    order=st.lists(st.integers(0, 9), max_size=30),
    split_points=st.lists(st.integers(0, 8), max_size=4),
)
def test_any_delivery_of_one_attempt_is_exact_or_incomplete(answer_tokens, order, split_points):
    """Reordered, duplicated or lost messages must never yield a wrong answer marked complete."""
    bounds = sorted(
        {0, len(answer_tokens), *(min(point, len(answer_tokens)) for point in split_points)}
    )
    pieces = [(a, answer_tokens[a:b]) for a, b in itertools.pairwise(bounds)]
    messages = [*pieces, None]
    answer = _assembly()
    delivered: tuple[str, ...] = ()
    received = set()
    for index in order:
        message = messages[index % len(messages)]
        received.add(index % len(messages))
        if message is None:
            answer.finish(1, len(answer_tokens), text_digest(answer_tokens))
        else:
            delivered += answer.add(1, *message)
        assert delivered == answer_tokens[: len(delivered)]
    assert answer.complete == (len(received) == len(messages))
    if answer.complete:
        assert delivered == answer_tokens


class AssemblyMachine(RuleBasedStateMachine):
    """Resumes, restarts, late messages of old attempts and pieces of other requests, in any order.

    Each attempt produces distinct text after the resumed tokens, so that a mix of attempts is
    detected.
    """

    def __init__(self):
        super().__init__()
        self.answer = Assembly("r1")
        self.texts: dict[int, tuple[str, ...]] = {}
        self.delivered: tuple[str, ...] = ()
        self.failed = False

    @rule(length=st.integers(0, 5), resume=st.booleans())
    def start_attempt(self, length, resume):
        if self.answer.complete:
            return
        attempt = max(self.texts, default=0) + 1
        # Pieces carry no digest, so a resume trusts the tokens received before it. A corrupt token
        # is detected only at the end of the attempt that delivered it.
        resume = resume and "corrupt" not in self.answer.tokens
        count = len(self.answer.tokens) if resume else 0
        try:
            self.answer.start_attempt(attempt, count)
        except IncompleteAnswerError:
            assert self.delivered, "a restart is allowed while nothing was delivered"
            return
        tail = tuple(f"{attempt}.{i} " for i in range(length))
        self.texts[attempt] = self.answer.tokens + tail
        self.failed = False

    @precondition(lambda self: self.texts)
    @rule(data=st.data(), start=st.integers(0, 9), size=st.integers(0, 5))
    def piece(self, data, start, size):
        attempt = data.draw(st.sampled_from(sorted(self.texts)))
        text = self.texts[attempt]
        start = min(start, len(text))
        self._add(attempt, start, text[start : start + size], "r1")

    @precondition(lambda self: self.texts)
    @rule(data=st.data())
    def end(self, data):
        attempt = data.draw(st.sampled_from(sorted(self.texts)))
        text = self.texts[attempt]
        try:
            self.answer.finish(attempt, len(text), text_digest(text), "r1")
        except IncompleteAnswerError:
            self.failed = True

    @precondition(lambda self: self.texts)
    @rule(seq=st.integers(0, 9))
    def foreign_piece(self, seq):
        before = self.answer.tokens
        assert self.answer.add(self.answer.attempt, seq, ("foreign",), "r2") == ()
        assert self.answer.tokens == before

    @precondition(lambda self: self.texts)
    @rule(seq=st.integers(0, 3))
    def corrupt_piece(self, seq):
        """A piece with wrong text but the current request id and attempt."""
        self._add(self.answer.attempt, seq, ("corrupt",), "r1")

    def _add(self, attempt, start, tokens, request_id):
        try:
            self.delivered += self.answer.add(attempt, start, tokens, request_id)
        except IncompleteAnswerError:
            self.failed = True

    @invariant()
    def assembled_tokens_match_the_delivered_ones(self):
        assert self.answer.tokens == self.delivered

    @invariant()
    def complete_answer_is_exact(self):
        if self.answer.complete:
            assert not self.failed
            assert self.delivered == self.texts[self.answer.attempt]
            assert "corrupt" not in self.delivered


TestAssemblyMachine = AssemblyMachine.TestCase
