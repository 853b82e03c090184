"""Staging of a complete version at the engine, and the order to load it."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from fescuechute.catalog import EngineReport
from fescuechute.stager._load_verification import (
    LoadId,
    LoadVerification,
    ReadLoadedChunk,
    UnloadEngine,
    VerificationCommand,
)
from fescuechute.stager._versions import VersionState

#: Chunks that are staged, or read back, at the same time.
MAX_PARALLEL_STAGES = 4
#: Age in seconds from which on a verified chunk is read back again before the order: staged bytes may
#: become corrupt at the engine, which loads them without verification.
REVERIFY_AFTER_S = 2.0
#: Age in seconds of the oldest verification from which on an order is not sent any more. An engine
#: may load a chunk that has been corrupt for 3 s; the difference is left for the way of the order.
MAX_AGE_AT_ORDER_S = 2.5
#: Seconds to wait after a staging or an order that failed.
FAILURE_PAUSE_S = 0.3
#: Seconds to wait after a chunk that was read back had another digest; an engine that never keeps a
#: chunk must not be called without pause.
MISMATCH_PAUSE_S = 0.05
#: Seconds for which a call that staged a chunk may still be carried out.
LATE_STAGE_S = 3.0
#: Seconds to wait after an order that was or may have been accepted; the engine's report then shows
#: whether it took effect.
ORDER_SETTLE_S = 0.5
#: Seconds to wait after an order to unload that the engine does not support.
UNLOAD_RETRY_S = 5.0


@attrs.frozen
class StageChunk:
    """Stage one chunk."""

    version: int
    index: int
    digest: bytes


@attrs.frozen
class VerifyChunk:
    """Read a staged chunk back from the engine and compare its digest."""

    index: int
    digest: bytes


@attrs.frozen
class OrderLoad:
    """Order the engine to load the staged chunks.

    Attributes:
      version: Version of all staged chunks.
      expected_orders: Number of orders that the engine has accepted, None if it does not report it.
        An engine that has accepted another one or has restarted must refuse this one.
      oldest_verified_at: Unix seconds at which the oldest verification of a chunk started.
      send_deadline: Unix seconds after which the order must not be sent.
    """

    version: int
    expected_orders: int | None
    oldest_verified_at: float
    send_deadline: float


PlannedCommand = StageChunk | VerifyChunk | OrderLoad | VerificationCommand


class OrderResult(enum.Enum):
    """What is known of an order after the call that sent it."""

    #: The engine has accepted it.
    ACCEPTED = enum.auto()
    #: The engine had done what it asks for before; the same order may have been accepted at any time.
    IN_EFFECT = enum.auto()
    #: The engine has refused it because of its state, and will not accept it later.
    REFUSED = enum.auto()
    #: It was not sent, or refused for another reason.
    FAILED = enum.auto()
    #: There was no response; the engine may have accepted it, or may do so later.
    UNKNOWN = enum.auto()


@attrs.frozen
class _SentOrder:
    """The latest order to load.

    Attributes:
      target: Version to load.
      born_ms: Start time of the engine in unix milliseconds.
      expected_orders: Number of orders that the engine had accepted, None if it does not report it.
      oldest_verified_at: Unix seconds at which the oldest verification of a chunk started.
    """

    target: VersionState
    born_ms: int
    expected_orders: int | None
    oldest_verified_at: float


class LoadPlanner:
    """Decides which chunks to stage and when to order the load; the daemon executes both.

    Every staged chunk is read back before the order. A success of the call that staged it does not prove
    that the engine holds it: the response may belong to an earlier call on the connection, and an
    earlier call that failed may be carried out later. An order may also be accepted long after it was
    sent, so `verification` tells whether the load that it started is whole; one that may not be is
    replaced.

    Args:
      now: Returns unix seconds.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._version = 0
        #: Indexes of the chunks whose staging the engine has confirmed.
        self._staged: set[int] = set()
        #: Unix seconds at which the latest successful verification of each chunk started. The response
        #: shows what the engine held since then, and may be read seconds after it was sent.
        self._verified_at: dict[int, float] = {}
        #: Unix seconds at which the staging or verification in flight of a chunk started.
        self._in_flight: dict[int, float] = {}
        self._order_in_flight = False
        self.verification = LoadVerification()
        self._sent_order: _SentOrder | None = None
        self._paused_until = 0.0
        #: Unix seconds until which the engine may still carry out the latest staging, by chunk and version;
        #: a response may belong to an earlier call.
        self._late_until: dict[int, dict[int, float]] = {}
        #: The same for all stagings without a response.
        self._unanswered_until = float("-inf")
        #: Unix seconds until which it may still carry out a staging of a stager that ran before.
        self._predecessor_until = now() + LATE_STAGE_S
        #: An order whose outcome is unknown.
        self._unknown_order: _SentOrder | None = None
        #: Start time of the engine that holds the staged chunks, in unix milliseconds.
        self._engine_born_ms = 0
        #: Unix seconds since which this start of the engine is known.
        self._engine_known_since = float("-inf")

    def plan(
        self,
        target: VersionState | None,
        report: EngineReport | None,
        now: float,
        loaded: VersionState | None = None,
        can_reload: bool = False,
    ) -> list[PlannedCommand]:
        """Returns the commands that are due.

        Args:
          target: Complete version that the engine lacks, or None.
          report: Latest report of the engine, or None while it does not respond.
          now: Unix seconds.
          loaded: Version that the engine holds, or None.
          can_reload: Whether all chunks of that version are held.
        """
        if report is None:
            return []
        self.verification.observe(report)
        if report.loading:
            return []
        if report.born_ms != self._engine_born_ms:
            # A restarted engine may have lost what was staged.
            self._engine_born_ms, self._engine_known_since = report.born_ms, now
            self._discard_staged()
            self._late_until.clear()
            self._unanswered_until = float("-inf")
            self._unknown_order = None
        target = self._pinned_target(report) or target
        if self._order_in_flight or now < self._paused_until:
            return []
        if target is None or target.digests is None:
            return self._plan_verification(report, loaded, can_reload)
        if target.version != self._version:
            if self._in_flight:
                return []
            self._version = target.version
            self._discard_staged()
        pending = [
            index
            for index in range(len(target.digests))
            if index not in self._staged
            or now - self._verified_at.get(index, float("-inf")) >= REVERIFY_AFTER_S
        ]
        if not pending and not self._in_flight:
            self._order_in_flight = True
            oldest = min(self._verified_at.values())
            self._sent_order = _SentOrder(target, report.born_ms, report.orders, oldest)
            if self._unknown_order is None:
                self.verification.record_order(now < self._unanswered_until)
            return [OrderLoad(target.version, report.orders, oldest, oldest + MAX_AGE_AT_ORDER_S)]
        due = [
            index
            for index in sorted(pending, key=lambda index: index in self._staged)
            if index not in self._in_flight
            and not (index in self._staged and self._may_be_replaced(index, now))
        ]
        free_slots = MAX_PARALLEL_STAGES - len(self._in_flight)
        commands: list[PlannedCommand] = []
        for index in due[:free_slots]:
            self._in_flight[index] = now
            digest = target.digests[index]
            if index in self._staged:
                commands.append(VerifyChunk(index, digest))
            else:
                self.verification.record_staging()
                commands.append(StageChunk(target.version, index, digest))
        return commands

    def _plan_verification(
        self, report: EngineReport, loaded: VersionState | None, can_reload: bool
    ) -> list[PlannedCommand]:
        commands = self.verification.plan(report, loaded, can_reload)
        self._order_in_flight = any(isinstance(command, UnloadEngine) for command in commands)
        return list(commands)

    def _pinned_target(self, report: EngineReport) -> VersionState | None:
        """Returns the target of an order that the engine may still accept, None if there is none.

        Until it has accepted an order or refused this one, no other version may be staged.
        """
        order = self._unknown_order
        if order is not None and report.orders != order.expected_orders:
            order = self._unknown_order = None
        return None if order is None else order.target

    def _may_be_replaced(self, index: int, now: float) -> bool:
        """Returns whether a late staging may still replace a chunk by one of another version."""
        if now < self._predecessor_until:
            return True
        others = self._late_until.get(index, {}).items()
        return any(now < until for version, until in others if version != self._version)

    def on_staged(self, index: int, error: str) -> None:
        """Records the result of staging a chunk; an empty `error` means success."""
        del self._in_flight[index]
        now = self._now()
        late_until = now + LATE_STAGE_S
        known = self._late_until.get(index, {}).items()
        pending = {version: until for version, until in known if now < until}
        self._late_until[index] = pending | {self._version: late_until}
        if error:
            self._paused_until = now + FAILURE_PAUSE_S
            self._unanswered_until = late_until
        else:
            self._staged.add(index)

    def on_verified(self, index: int, matches: bool) -> None:
        """Records whether a chunk that was read back has its digest; otherwise it is staged again."""
        started_at = self._in_flight.pop(index)
        if started_at < self._engine_known_since:
            return
        if matches:
            self._verified_at[index] = started_at
        else:
            self._staged.discard(index)
            self._verified_at.pop(index, None)
            self._paused_until = max(self._paused_until, self._now() + MISMATCH_PAUSE_S)

    def on_order_ended(self, result: OrderResult) -> None:
        """Records the result of an order to load."""
        self._order_in_flight = False
        order = self._sent_order
        if result is OrderResult.UNKNOWN:
            self._unknown_order = order
        elif result is not OrderResult.FAILED:
            self._unknown_order = None
        if (
            result is OrderResult.ACCEPTED
            and order is not None
            and order.expected_orders is not None
        ):
            load = LoadId(order.born_ms, order.expected_orders + 1)
            self.verification.record_acceptance(load, order.oldest_verified_at, self._now())
        # Until a report shows the effect, the engine would at best refuse another order.
        settles = result not in (OrderResult.REFUSED, OrderResult.FAILED)
        self._paused_until = self._now() + (ORDER_SETTLE_S if settles else FAILURE_PAUSE_S)
        self._discard_staged()

    def on_read_failed(self, command: ReadLoadedChunk) -> None:
        """Records that a loaded chunk was not read, which says nothing about it."""
        self.verification.record_failed_read(command)
        self._paused_until = max(self._paused_until, self._now() + FAILURE_PAUSE_S)

    def on_unload_ended(self, result: OrderResult) -> None:
        """Records the result of an order to unload; a report shows whether it took effect."""
        self._order_in_flight = False
        is_final = result is OrderResult.FAILED
        self._paused_until = self._now() + (UNLOAD_RETRY_S if is_final else ORDER_SETTLE_S)

    def _discard_staged(self) -> None:
        self._staged.clear()
        self._verified_at.clear()
