"""Decisions of an entry, by named cases against the model of the log."""

import pytest

from fescuechute.claims import Answer, AppendBatch, ClaimSettings, ClaimTable, Key, Refuse, Scope
from fescuechute.errors import Ran, Reason
from tests.claims.model import START, World


class Case:
    """Two entries and one key."""

    def __init__(self):
        self.world = World()
        self.a, self.b = self.world.start_entry(0.0), self.world.start_entry(0.0)
        self.scope = Scope("acme", "bookings", Key.parse(f"{round(START * 1000)}-booking_1"))

    def submit(self, entry, timeout_s=20.0, digest="d1"):
        return self.world.submit(entry, self.scope, digest, timeout_s)

    def rounds(self, *entries, count=6, append="ok", read="ok", pause_s=0.02):
        for _ in range(count):
            for entry in entries:
                self.world.run(entry)
                if entry.appends:
                    self.world.finish_append(entry, append)
                if entry.reads:
                    self.world.finish_read(entry, read)
                self.world.run(entry)
                self.world.pass_on(entry)
            self.world.now += pause_s
            self.world.check()

    def sent(self, entry, **kwargs):
        attempt = self.submit(entry, **kwargs)
        self.rounds(entry)
        assert attempt.place == "agent"
        return attempt

    def ids(self):
        return [entry["id"] for entry in self.world.log.history]


@pytest.fixture
def case():
    return Case()


def refused(attempt, reason, ran=Ran.NOT_RUN):
    assert isinstance(attempt.reply, Refuse), attempt.reply
    assert (attempt.reply.reason, attempt.reply.ran) == (reason, ran)
    return attempt.reply


def test_call_is_claimed_sent_answered_and_recorded(case):
    """The plain way must work, and other entries must answer a resend from the log."""
    first = case.sent(case.a)
    case.world.execute(first)
    case.rounds(case.a)
    again = case.submit(case.b)
    case.rounds(case.b)
    assert isinstance(first.reply, Answer)
    assert (again.reply.status, again.reply.body) == (first.reply.status, first.reply.body)
    assert case.ids() == ["e0/1/claim", "e0/1/outcome"]


def test_new_calls_are_refused_at_once_while_the_log_is_out(case):
    """A caller must not wait for its deadline when nothing can be claimed."""
    case.world.log.up = False
    case.a.table.log_down(case.world.now)
    attempt = case.submit(case.a)
    case.rounds(case.a, count=1)
    assert refused(attempt, Reason.LOG_UNAVAILABLE).retry_at == pytest.approx(START + 1.0)
    case.world.log.up = True
    case.rounds(case.a, count=30)
    assert case.ids() == []


@pytest.mark.parametrize("fate", ["lost_applied", "lost_delayed", "hang_applied"])
def test_claim_of_a_call_refused_during_an_outage_is_released(case, fate):
    """The claim of a call that never ran would block the key for good."""
    first = case.submit(case.a)
    case.rounds(case.a, count=2, append=fate, read="hang")
    case.world.log.up = False
    case.a.table.log_down(case.world.now)
    case.rounds(case.a, count=2, append="lost")
    refused(first, Reason.LOG_UNAVAILABLE)
    case.world.log.up = True
    case.rounds(case.a, count=60)
    case.world.append_late()
    assert "e0/1/release" in case.ids()
    case.sent(case.b)


def test_resend_to_the_entry_that_has_yet_to_release(case):
    """The entry knows that its own claim never ran, so a resend must not end as unknown."""
    case.submit(case.a)
    case.rounds(case.a, count=2, append="ok", read="hang")
    case.world.log.up = False
    case.a.table.log_down(case.world.now)
    case.rounds(case.a, count=2, append="refused", read="ok")
    again = case.submit(case.a)
    case.rounds(case.a, count=1, append="refused")
    refused(again, Reason.LOG_UNAVAILABLE)
    case.world.log.up = True
    case.rounds(case.a, count=60)
    case.sent(case.a)


@pytest.mark.parametrize(
    ("fate", "appends"), [("lost_applied", 1), ("lost", 2), ("refused", 2), ("ok", 1)]
)
def test_claim_is_appended_again_only_if_the_log_lacks_it(case, fate, appends):
    """An append that took effect must be recognised, and one that did not must be repeated."""
    attempt = case.submit(case.a)
    batches = []
    finish = case.world.finish_append
    case.world.finish_append = lambda entry, f: (batches.append(f), finish(entry, f))
    case.rounds(case.a, count=2, append=fate)
    case.rounds(case.a, count=40)
    assert attempt.place == "agent"
    assert len(batches) == appends
    assert case.ids() == ["e0/1/claim"]


def test_loser_is_answered_with_the_outcome_of_the_holder(case):
    """Two entries that get the same key at one moment must execute it once and answer both."""
    first, second = case.submit(case.a), case.submit(case.b)
    case.rounds(case.a, case.b)
    assert (first.place, second.place) == ("agent", "")
    case.world.execute(first)
    case.rounds(case.a, case.b, count=10)
    assert first.reply.body == second.reply.body


def test_loser_without_outcome_ends_as_unknown_and_releases_its_claim(case):
    """The holder may have run the call, so `not run` would be false."""
    first, second = case.submit(case.a), case.submit(case.b, timeout_s=1.0)
    case.rounds(case.a, case.b)
    case.world.now += 1.0
    case.rounds(case.a, case.b)
    refused(second, Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    case.world.refuse(first)
    case.rounds(case.a, case.b)
    refused(first, Reason.BUSY)
    case.sent(case.b)


def test_deadline_before_and_after_sending(case):
    """A call that was not sent did not run; one that was sent may have, and is still recorded."""
    early = case.submit(case.a, timeout_s=0.01)
    case.rounds(case.a, count=2, append="hang")
    refused(early, Reason.DEADLINE_PASSED)
    case.rounds(case.a)
    late = case.sent(case.a, timeout_s=1.0)
    case.world.now += 1.0
    case.rounds(case.a)
    refused(late, Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    case.world.execute(late)
    case.rounds(case.a)
    again = case.submit(case.b)
    case.rounds(case.b)
    assert isinstance(again.reply, Answer)


def test_refusal_after_a_lost_link_changes_nothing(case):
    """The agent that was lost may have run the call, whatever another agent says."""
    attempt = case.sent(case.a)
    case.world.lose_link(attempt)
    case.a.table.not_run(attempt.call_id)
    case.world.now += 5.0
    case.rounds(case.a)
    refused(attempt, Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    assert case.ids() == ["e0/1/claim"]
    assert case.a.table.unexpected == 1


def test_outcome_recorded_by_the_agent_answers_the_caller(case):
    """A lost link must not make the caller's answer unknown when the log holds it."""
    attempt = case.sent(case.a)
    case.world.lose_link(attempt)
    case.world.execute(attempt)
    case.world.append_late()
    case.rounds(case.a)
    assert isinstance(attempt.reply, Answer)


def test_answer_does_not_wait_for_the_log(case):
    """An outage must not hold back a result, and a resend must not run the call again."""
    attempt = case.sent(case.a)
    case.world.log.up = False
    case.a.table.log_down(case.world.now)
    case.world.execute(attempt)
    again = case.submit(case.a)
    case.rounds(case.a, count=1)
    assert isinstance(attempt.reply, Answer)
    assert isinstance(again.reply, Answer)
    case.world.log.up = True
    case.rounds(case.a, count=30)
    assert case.ids() == ["e0/1/claim", "e0/1/outcome"]


@pytest.mark.parametrize("sent", [False, True])
def test_caller_gone(case, sent):
    """A call that was sent is recorded without its caller; another one gives its claim back."""
    attempt = case.sent(case.a) if sent else case.submit(case.a)
    case.rounds(case.a, count=2, read="hang")
    case.a.table.caller_gone(attempt.call_id)
    if sent:
        case.world.execute(attempt)
    case.rounds(case.a)
    assert attempt.reply is None
    assert case.ids() == ["e0/1/claim", "e0/1/outcome" if sent else "e0/1/release"]
    assert len(case.a.table) == 0


def test_other_content_under_the_same_key(case):
    """A key identifies one request; other content must not get its answer."""
    case.sent(case.a)
    other = case.submit(case.b, digest="d2")
    case.rounds(case.b)
    refused(other, Reason.KEY_REUSED)


def test_entry_that_cannot_see_far_enough_back(case):
    """Retention may hide the claim of a call that ran."""
    case.world.execute(case.sent(case.a))
    case.world.log.first = len(case.world.log.history)
    attempt = case.submit(case.b)
    case.rounds(case.b)
    assert refused(attempt, Reason.NOT_READY).retry_at is not None


def test_batches_are_gathered_bounded_and_one_at_a_time():
    """The log takes few appends, and a batch must stay within one body."""
    table = ClaimTable(ClaimSettings(partitions=1, batch_records=3), "e0")
    for n in range(7):
        scope = Scope("acme", "bookings", Key.parse(f"1000000-booking_{n}"))
        table.submit(f"c{n}", scope, "d", "book", 1000.0, 1010.0)
    sizes = []
    for n in range(4):
        now = 1000.0 + n / 100
        batches = [c for c in (*table.run(now), *table.run(now)) if isinstance(c, AppendBatch)]
        sizes.append([len(batch.records) for batch in batches])
        for batch in batches:
            table.append_done(0, batch.batch_id, 3 * n)
    assert sizes == [[3], [3], [1], []]
    scope = Scope("acme", "bookings", Key.parse("1000000-booking_9"))
    table.submit("c9", scope, "d", "book", 1001.0, 1010.0)
    assert not any(isinstance(c, AppendBatch) for c in table.run(1001.0))
    assert any(isinstance(c, AppendBatch) for c in table.run(1001.006))


def test_call_id_is_unique(case):
    """Two rows under one id would answer the wrong caller."""
    attempt = case.submit(case.a)
    with pytest.raises(ValueError, match="in use"):
        case.a.table.submit(attempt.call_id, case.scope, "d", "book", START, START + 1)


def test_claim_that_takes_effect_past_the_window(case):
    """A claim held back until its key is forgotten must not execute the call again."""
    case.sent(case.a)
    late = case.submit(case.b, timeout_s=1000.0)
    case.rounds(case.b, count=2, append="hang", read="hang")
    case.world.now += 75.0
    case.scope = Scope("acme", "bookings", Key.parse(f"{round(case.world.now * 1000)}-booking_2"))
    case.sent(case.a)
    case.rounds(case.b, count=4, append="hang", pause_s=0.06)
    case.rounds(case.b)
    refused(late, Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    assert late.place == ""
