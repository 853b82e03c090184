"""Notices crashes of replicas and agrees with the other gateways on the contents that cause them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import attrs

from fescuechute.catalog import UpstreamState
from fescuechute.checks import Address
from fescuechute.gateway._contents import CONTENT_DIGEST_BYTES
from fescuechute.gateway._upstreams import UpstreamRow
from fescuechute.routing import MAX_SUSPECTS, CrashSuspects
from fescuechute.telemetry import Telemetry
from fescuechute.wire import AnswerReport, CrashReport, Message

#: Seconds for which attempts that are lost later count as lost in the same crash.
CRASH_WINDOW_S = 2.0
#: Longest delay in seconds of a report of answers, so that not all gateways send the same one.
MAX_ANSWER_REPORT_DELAY_S = 0.2
#: Seconds after one request with a content on trial until the next one, unless it is answered.
TRIAL_INTERVAL_S = 6.0
#: Longest delay in seconds of the first trial, for each gateway and at most, so that few gateways make
#: one before they learn of the outcome of the first.
TRIAL_DELAY_S_PER_GATEWAY = 2.0
MAX_TRIAL_DELAY_S = 60.0
#: Limit on the length of an instance id in a report.
_MAX_INSTANCE_CHARS = 256


@attrs.define
class _Loss:
    """Attempts lost at one replica; times are unix seconds."""

    at: float
    #: Contents of the attempts.
    contents: set[bytes] = attrs.field(factory=set)
    #: Whether the replica is known to have crashed.
    crashed: bool = False


class CrashMonitor:
    """Reports the contents that were in flight at a crash, and those that were answered completely.

    A replica has crashed if it lost an attempt and refuses connections after that. Lost connections
    alone also come from faulty links.

    Args:
      check_refused: Calls back with whether a connection to an address is refused.
      is_registered: Returns whether the entry of a row is still in the registry.
      relays: Returns the addresses of the stagers that forward reports to all gateways.
      send: Sends a datagram.
      gateway_count: Returns the number of gateways presumed running, including this one.
      now: Returns unix seconds.
      rng: Seeded random number generator.
      telemetry: Records crashes and quarantines.
    """

    def __init__(
        self,
        check_refused: Callable[[Address, Callable[[bool], None]], None],
        is_registered: Callable[[UpstreamRow], bool],
        relays: Callable[[], Iterable[tuple[str, int]]],
        send: Callable[[tuple[str, int], Message], None],
        gateway_count: Callable[[], int],
        now: Callable[[], float],
        rng: Random,
        telemetry: Telemetry,
    ):
        self._check_refused = check_refused
        self._is_registered = is_registered
        self._relays = relays
        self._send = send
        self._gateway_count = gateway_count
        self._now = now
        self._rng = rng
        self._telemetry = telemetry
        self._suspects = CrashSuspects()
        #: Recent losses by instance and start time of the replica.
        self._losses: dict[tuple[str, int], _Loss] = {}
        #: Unix seconds at which to report that a content was answered, if no other gateway does.
        self._answer_reports: dict[bytes, float] = {}
        #: Unix seconds from which the next request with a content on trial may be sent.
        self._next_trial_at: dict[bytes, float] = {}
        self._logged: frozenset[bytes] = frozenset()

    @property
    def any_restricted(self) -> bool:
        """Whether any content is in quarantine or on trial."""
        return bool(self._suspects.quarantined or self._suspects.on_trial)

    def may_send(self, contents: Iterable[bytes]) -> bool:
        """Returns whether an attempt may be sent; must be called only for one that is sent then.

        After a quarantine, one request at a time shows whether the content still crashes replicas.
        """
        if self.quarantined(contents):
            return False
        now = self._now()
        on_trial = [content for content in contents if content in self._suspects.on_trial]
        for content in on_trial:
            if content not in self._next_trial_at:
                delay_s = min(MAX_TRIAL_DELAY_S, TRIAL_DELAY_S_PER_GATEWAY * self._gateway_count())
                self._next_trial_at[content] = now + self._rng.uniform(0.0, delay_s)
        if any(now < self._next_trial_at[content] for content in on_trial):
            return False
        for content in on_trial:
            self._next_trial_at[content] = now + TRIAL_INTERVAL_S
            self._telemetry.event("quarantine", reason="trial", content=content.hex())
        return True

    def quarantined(self, contents: Iterable[bytes]) -> list[bytes]:
        """Returns those of the contents that are in quarantine."""
        return [content for content in contents if content in self._suspects.quarantined]

    def restricted(self, contents: Iterable[bytes]) -> list[bytes]:
        """Returns those of the contents that are in quarantine or on trial."""
        restricted = self._suspects.quarantined | self._suspects.on_trial
        return [content for content in contents if content in restricted]

    def record_loss(self, row: UpstreamRow, contents: Iterable[bytes]) -> None:
        """Records contents of an attempt that ended with its connection before it was answered."""
        # A replica that leaves ends its connections and then refuses new ones.
        leaves = row.leaving or row.entry.state is not UpstreamState.READY
        if leaves or not self._is_registered(row):
            return
        now = self._now()
        key = (row.instance, row.entry.born_ms)
        loss = self._losses.get(key)
        is_new = loss is None or now > loss.at + CRASH_WINDOW_S
        if loss is None or is_new:
            loss = self._losses[key] = _Loss(now)
        loss.contents |= {c for c in contents if not self._suspects.is_cleared(c, now)}
        if is_new:
            self._check_refused(row.entry.address, partial(self._on_checked, key, loss))
        elif loss.crashed:
            self._report_crash(key, loss)

    def record_answer(self, contents: Iterable[bytes]) -> None:
        """Records contents of an attempt that was answered completely."""
        now = self._now()
        for content in contents:
            if content in self._suspects.accused or content in self._suspects.on_trial:
                self._answer_reports.setdefault(content, now)
            self._suspects.record_answer(content, now, now)

    def receive(self, msg: CrashReport | AnswerReport) -> None:
        """Applies a report of another gateway."""
        now = self._now()
        if len(msg.contents) > MAX_SUSPECTS or any(
            len(content) != CONTENT_DIGEST_BYTES for content in msg.contents
        ):
            self._telemetry.count("crash_report.invalid", type(msg).__name__)
        elif isinstance(msg, AnswerReport):
            for content in msg.contents:
                self._suspects.record_answer(content, now - max(0, msg.age_ms) / 1000, now)
                self._answer_reports.pop(content, None)
        elif len(msg.instance) > _MAX_INSTANCE_CHARS:
            self._telemetry.count("crash_report.invalid", "instance")
        elif self._suspects.add_crash(_crash_id(msg.instance, msg.born_ms), msg.contents, now):
            for content in msg.contents:
                if self._suspects.is_cleared(content, now):
                    delay_s = self._rng.uniform(0.0, MAX_ANSWER_REPORT_DELAY_S)
                    self._answer_reports.setdefault(content, now + delay_s)

    def tick(self, now: float) -> None:
        """Sends the reports that are due and logs changes of the quarantine."""
        self._suspects.tick(now)
        for key in [k for k, loss in self._losses.items() if now > loss.at + CRASH_WINDOW_S]:
            del self._losses[key]
        due = [content for content, at in self._answer_reports.items() if at <= now]
        if due:
            self._report_answers(due, now)
        for content in self._next_trial_at.keys() - self._suspects.on_trial:
            del self._next_trial_at[content]
        quarantined = self._suspects.quarantined
        if quarantined != self._logged:
            for content in quarantined - self._logged:
                self._telemetry.event("quarantine", reason="started", content=content.hex())
            for content in self._logged - quarantined:
                self._telemetry.event("quarantine", reason="ended", content=content.hex())
            self._logged = quarantined

    def _on_checked(self, key: tuple[str, int], loss: _Loss, refused: bool) -> None:
        if not refused:
            if self._losses.get(key) is loss:
                del self._losses[key]
            return
        loss.crashed = True
        self._telemetry.event("upstream.crashed", upstream=key[0], suspects=len(loss.contents))
        self._report_crash(key, loss)

    def _report_crash(self, key: tuple[str, int], loss: _Loss) -> None:
        instance, born_ms = key
        contents = tuple(sorted(loss.contents)[:MAX_SUSPECTS])
        if self._suspects.add_crash(_crash_id(instance, born_ms), contents, self._now()):
            self._send_to_all(CrashReport(instance, born_ms, contents))

    def _report_answers(self, contents: list[bytes], now: float) -> None:
        for content in contents:
            del self._answer_reports[content]
        answered_at = {content: self._suspects.answered_at(content) for content in contents}
        known = {content: at for content, at in answered_at.items() if at is not None}
        if known:
            age_ms = round((now - min(known.values())) * 1000)
            self._send_to_all(AnswerReport(tuple(sorted(known)[:MAX_SUSPECTS]), age_ms))

    def _send_to_all(self, msg: Message) -> None:
        for address in self._relays():
            self._send(address, msg)


def _crash_id(instance: str, born_ms: int) -> str:
    """Returns the id of the only crash of a process."""
    return f"{instance}/{born_ms}"
