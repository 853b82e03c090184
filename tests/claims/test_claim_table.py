"""Decisions of a claim table against the model of the log."""

import pytest

from fescuechute.claims import (
    Answer,
    AppendBatch,
    ClaimRecord,
    ClaimSettings,
    ClaimTable,
    Key,
    Refuse,
    Scope,
    ScopeState,
)
from fescuechute.errors import ExecutionStatus, Reason
from tests.claims.model import CFG, START, World


class Case:
    """Two entries that receive calls with one key."""

    def __init__(self):
        self.world = World()
        self.a, self.b = self.world.start_entry(0.0), self.world.start_entry(0.0)
        self.scope = Scope("acme", "bookings", Key.parse(f"{round(START * 1000)}-booking_1"))

    def submit(self, entry, timeout_s=20.0, digest="d1"):
        return self.world.submit(entry, self.scope, digest, timeout_s)

    def run_rounds(self, *entries, count=6, append="ok", read="ok", pause_s=0.02):
        for _ in range(count):
            for entry in entries:
                self.world.run(entry)
                if entry.appends_in_flight:
                    self.world.finish_append(entry, append)
                if entry.reads_in_flight:
                    self.world.finish_read(entry, read)
                self.world.run(entry)
                self.world.deliver_sends(entry)
            self.world.now += pause_s
            self.world.check()

    def submit_and_deliver(self, entry, **kwargs):
        attempt = self.submit(entry, **kwargs)
        self.run_rounds(entry)
        assert attempt.stage == "agent"
        return attempt

    def record_ids(self):
        return [entry["id"] for entry in self.world.log.history]


@pytest.fixture
def case():
    return Case()


def assert_refused(attempt, reason, ran=ExecutionStatus.NOT_RUN):
    assert isinstance(attempt.reply, Refuse), attempt.reply
    assert (attempt.reply.reason, attempt.reply.ran) == (reason, ran)
    return attempt.reply


def test_call_is_claimed_sent_answered_and_recorded(case):
    """A call without faults must succeed, and other entries must answer a resend from the log."""
    first = case.submit_and_deliver(case.a)
    case.world.execute(first)
    case.run_rounds(case.a)
    again = case.submit(case.b)
    case.run_rounds(case.b)
    assert isinstance(first.reply, Answer)
    assert (again.reply.status, again.reply.body) == (first.reply.status, first.reply.body)
    assert case.record_ids() == ["e0/1/claim", "e0/1/outcome"]


def test_new_calls_are_refused_at_once_while_the_log_is_unavailable(case):
    """A caller must not wait until its deadline while no claim can be appended."""
    case.world.log.up = False
    case.a.table.log_down(case.world.now)
    attempt = case.submit(case.a)
    case.run_rounds(case.a, count=1)
    assert assert_refused(attempt, Reason.LOG_UNAVAILABLE).retry_at == pytest.approx(START + 1.0)
    case.world.log.up = True
    case.run_rounds(case.a, count=30)
    assert case.record_ids() == []


@pytest.mark.parametrize("result", ["lost_applied", "lost_delayed", "hang_applied"])
def test_claim_of_a_call_refused_during_an_outage_is_released(case, result):
    """An unreleased claim of a call that never ran would block the key for its whole window."""
    first = case.submit(case.a)
    case.run_rounds(case.a, count=2, append=result, read="hang")
    case.world.log.up = False
    case.a.table.log_down(case.world.now)
    case.run_rounds(case.a, count=2, append="lost")
    assert_refused(first, Reason.LOG_UNAVAILABLE)
    case.world.log.up = True
    case.run_rounds(case.a, count=60)
    case.world.apply_delayed_appends()
    assert "e0/1/release" in case.record_ids()
    case.submit_and_deliver(case.b)


def test_resend_to_an_entry_with_a_pending_release(case):
    """The entry knows that its own call never ran, so a resend must not be refused as unknown."""
    case.submit(case.a)
    case.run_rounds(case.a, count=2, append="ok", read="hang")
    case.world.log.up = False
    case.a.table.log_down(case.world.now)
    case.run_rounds(case.a, count=2, append="refused", read="ok")
    again = case.submit(case.a)
    case.run_rounds(case.a, count=1, append="refused")
    assert_refused(again, Reason.LOG_UNAVAILABLE)
    case.world.log.up = True
    case.run_rounds(case.a, count=60)
    case.submit_and_deliver(case.a)


@pytest.mark.parametrize(
    ("result", "append_count"), [("lost_applied", 1), ("lost", 2), ("refused", 2), ("ok", 1)]
)
def test_claim_is_appended_again_only_if_missing_from_the_log(case, result, append_count):
    """An append with a lost answer must be retried if and only if it was not applied."""
    attempt = case.submit(case.a)
    results = []
    finish = case.world.finish_append
    case.world.finish_append = lambda entry, r: (results.append(r), finish(entry, r))
    case.run_rounds(case.a, count=2, append=result)
    case.run_rounds(case.a, count=40)
    assert attempt.stage == "agent"
    assert len(results) == append_count
    assert case.record_ids() == ["e0/1/claim"]


def test_loser_is_answered_with_the_outcome_of_the_holder(case):
    """Two simultaneous calls with one key must be executed once and both be answered."""
    first, second = case.submit(case.a), case.submit(case.b)
    case.run_rounds(case.a, case.b)
    assert (first.stage, second.stage) == ("agent", "")
    case.world.execute(first)
    case.run_rounds(case.a, case.b, count=10)
    assert first.reply.body == second.reply.body


def test_loser_without_outcome_ends_as_unknown_and_releases_its_claim(case):
    """The call of the holder may have run, so the other one must not be refused as `not run`."""
    first, second = case.submit(case.a), case.submit(case.b, timeout_s=1.0)
    case.run_rounds(case.a, case.b)
    case.world.now += 1.0
    case.run_rounds(case.a, case.b)
    assert_refused(second, Reason.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
    case.world.refuse(first)
    case.run_rounds(case.a, case.b)
    assert_refused(first, Reason.BUSY)
    case.submit_and_deliver(case.b)


def test_deadline_before_and_after_sending(case):
    """An unsent call is refused as not run; a sent one as unknown, and its outcome is recorded."""
    unsent = case.submit(case.a, timeout_s=0.01)
    case.run_rounds(case.a, count=2, append="hang")
    assert_refused(unsent, Reason.DEADLINE_PASSED)
    case.run_rounds(case.a)
    sent = case.submit_and_deliver(case.a, timeout_s=1.0)
    case.world.now += 1.0
    case.run_rounds(case.a)
    assert_refused(sent, Reason.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
    case.world.execute(sent)
    case.run_rounds(case.a)
    again = case.submit(case.b)
    case.run_rounds(case.b)
    assert isinstance(again.reply, Answer)


def test_refusal_after_a_lost_link_is_ignored(case):
    """The agent whose link was lost may have run the call, even if another agent refuses it."""
    attempt = case.submit_and_deliver(case.a)
    case.world.lose_link(attempt)
    case.a.table.not_run(attempt.call_id)
    case.world.now += 5.0
    case.run_rounds(case.a)
    assert_refused(attempt, Reason.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
    assert case.record_ids() == ["e0/1/claim"]
    assert case.a.table.unexpected_inputs == 1


def test_outcome_recorded_by_the_agent_answers_the_caller(case):
    """After the link is lost, the caller must get the outcome that the agent appended."""
    attempt = case.submit_and_deliver(case.a)
    case.world.lose_link(attempt)
    case.world.execute(attempt)
    case.world.apply_delayed_appends()
    case.run_rounds(case.a)
    assert isinstance(attempt.reply, Answer)


def test_answer_does_not_wait_for_the_log(case):
    """A log outage must not delay an answer, and a resend must not execute the call again."""
    attempt = case.submit_and_deliver(case.a)
    case.world.log.up = False
    case.a.table.log_down(case.world.now)
    case.world.execute(attempt)
    again = case.submit(case.a)
    case.run_rounds(case.a, count=1)
    assert isinstance(attempt.reply, Answer)
    assert isinstance(again.reply, Answer)
    case.world.log.up = True
    case.run_rounds(case.a, count=30)
    assert case.record_ids() == ["e0/1/claim", "e0/1/outcome"]


@pytest.mark.parametrize("sent", [False, True])
def test_caller_disconnect(case, sent):
    """After a disconnect, a sent call is still recorded and an unsent one releases its claim."""
    attempt = case.submit_and_deliver(case.a) if sent else case.submit(case.a)
    case.run_rounds(case.a, count=2, read="hang")
    case.a.table.caller_disconnected(attempt.call_id)
    if sent:
        case.world.execute(attempt)
    case.run_rounds(case.a)
    assert attempt.reply is None
    assert case.record_ids() == ["e0/1/claim", "e0/1/outcome" if sent else "e0/1/release"]
    assert len(case.a.table) == 0


def test_other_content_under_the_same_key(case):
    """A request with other content must not get the answer of the first one."""
    case.submit_and_deliver(case.a)
    other = case.submit(case.b, digest="d2")
    case.run_rounds(case.b)
    assert_refused(other, Reason.KEY_REUSED)


def test_entry_with_an_incomplete_view_refuses(case):
    """Retention may have removed the claim of a call that ran."""
    case.world.execute(case.submit_and_deliver(case.a))
    case.world.log.first_retained = len(case.world.log.history)
    attempt = case.submit(case.b)
    case.run_rounds(case.b)
    assert assert_refused(attempt, Reason.NOT_READY).retry_at is not None


def test_batches_are_gathered_limited_and_sequential():
    """The log accepts few appends per second and limits the size of a request."""
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
    """A second call with the same id could answer the wrong caller."""
    attempt = case.submit(case.a)
    with pytest.raises(ValueError, match="in use"):
        case.a.table.submit(attempt.call_id, case.scope, "d", "book", START, START + 1)


def test_claim_applied_after_its_window(case):
    """A claim whose append is delayed past the window must not execute the call again."""
    case.submit_and_deliver(case.a)
    late = case.submit(case.b, timeout_s=1000.0)
    case.run_rounds(case.b, count=2, append="hang", read="hang")
    case.world.now += 75.0
    case.scope = Scope("acme", "bookings", Key.parse(f"{round(case.world.now * 1000)}-booking_2"))
    case.submit_and_deliver(case.a)
    case.run_rounds(case.b, count=4, append="hang", pause_s=0.06)
    case.run_rounds(case.b)
    assert_refused(late, Reason.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)
    assert late.stage == ""


def test_claim_of_a_lost_stretch_is_never_made_again(case):
    """A return that loses a claim whose call ran must not let its key run at any other entry."""
    first = case.submit_and_deliver(case.a)
    case.world.execute(first)
    case.world.return_from_copy(lost=100)
    started = case.world.start_entry(0.0)
    retries = [case.submit(entry) for entry in (case.b, started)]
    case.run_rounds(case.b, started)
    for retry in retries:
        assert assert_refused(retry, Reason.NOT_READY).retry_at is not None
        status = retry.entry.table.status_of(case.scope)
        assert status.state is ScopeState.HELD, "a lookup calls a key unused that ran"
    case.run_rounds(case.a, started, count=12, pause_s=0.5)
    retried = case.submit(started)
    case.run_rounds(started)
    assert isinstance(retried.reply, Answer), "the outcome was not appended again"
    assert case.record_ids().count("e0/1/outcome") == 1


def test_unsent_claim_of_a_lost_stretch_is_not_sent(case):
    """A claim that was read before a return must not be the reason to send after it."""
    attempt = case.submit(case.a)
    case.run_rounds(case.a, count=2, read="hang")
    case.world.return_from_copy(lost=100)
    case.run_rounds(case.a, count=20)
    assert_refused(attempt, Reason.NOT_READY)
    assert attempt.stage == ""


def test_key_created_after_a_return_is_served(case):
    """After a return only keys that a lost claim can concern may be refused."""
    case.world.return_from_copy(lost=0)
    case.run_rounds(case.a, case.b)
    case.world.now += CFG.skew_s + 0.1
    key = Key.parse(f"{round(case.world.now * 1000)}-booking_2")
    case.scope = Scope("acme", "bookings", key)
    started = case.world.start_entry(0.0)
    case.run_rounds(started)
    assert case.submit_and_deliver(started).claim_id
    era_records = [e for e in case.world.log.history if e["data"]["type"] == "era"]
    assert era_records, "a process that starts later cannot learn the time of the return"


@pytest.mark.parametrize("result", ["ok", "ok_late_era"])
def test_append_answered_after_a_return_is_read_back(case, result):
    """An answer from before a return says nothing about the log after it."""
    first = case.submit_and_deliver(case.a)
    case.world.execute(first)
    case.run_rounds(case.a, count=1, append="hang_applied")
    case.world.return_from_copy(lost=1)
    case.run_rounds(case.a, count=1, append=result)
    case.run_rounds(case.a, count=30)
    assert case.record_ids().count("e0/1/outcome") == 1


def test_offset_of_an_earlier_era_does_not_skip_records(case):
    """A read from an old offset must not be folded, although the log has records there again."""
    case.submit_and_deliver(case.a)
    case.run_rounds(case.b)
    case.world.return_from_copy(lost=100)
    others = [
        {"id": f"o{n}", "data": ClaimRecord(f"x/{n}", case.scope, "o", "x", "d1").to_data()}
        for n in range(3)
    ]
    case.world.log.append(tuple(others), case.world.now)
    case.run_rounds(case.b, count=6, pause_s=0.5)
    assert case.b.table.view(case.scope).has_claim("x/0")
