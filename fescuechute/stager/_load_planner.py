"""Staging of a complete version at the engine, and the order to load it."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from fescuechute.catalog import EngineReport
from fescuechute.stager._versions import VersionState

#: Chunks that are staged at the same time.
MAX_PARALLEL_STAGES = 4
#: Age in seconds from which on a staged chunk is staged again before the order: staged bytes may
#: become corrupt at the engine, which loads them without verification.
RESTAGE_AFTER_S = 2.0
#: Age in seconds of the oldest staged chunk from which on an order is not sent any more. An engine
#: may load a chunk that has been corrupt for 3 s; the difference is left for the way of the order.
MAX_AGE_AT_ORDER_S = 2.5
#: Seconds to wait after a staging or an order that failed.
FAILURE_PAUSE_S = 0.3
#: Seconds to wait after an order that was or may have been accepted; the engine's report then shows
#: whether it took effect.
ORDER_SETTLE_S = 0.5


@attrs.frozen
class StageChunk:
    """Stage one chunk."""

    version: int
    index: int
    digest: bytes


@attrs.frozen
class OrderLoad:
    """Order the engine to load the staged chunks.

    Attributes:
      version: Version of all staged chunks.
      oldest_staged_at: Unix seconds at which the staging of the oldest chunk started.
      send_deadline: Unix seconds after which the order must not be sent.
    """

    version: int
    oldest_staged_at: float
    send_deadline: float


class LoadPlanner:
    """Decides which chunks to stage and when to order the load; the daemon executes both.

    Args:
      now: Returns unix seconds.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._version = 0
        #: Unix seconds at which the staging of each staged chunk started. The engine holds the bytes
        #: from then on at the earliest; the response may be read seconds after it was sent.
        self._staged_at: dict[int, float] = {}
        #: The same of the chunks that are being staged.
        self._in_flight: dict[int, float] = {}
        self._order_in_flight = False
        self._paused_until = 0.0

    def plan(
        self, target: VersionState | None, report: EngineReport | None, now: float
    ) -> list[StageChunk | OrderLoad]:
        """Returns the commands that are due.

        Args:
          target: Complete version that the engine lacks, or None.
          report: Latest report of the engine, or None while it does not respond.
          now: Unix seconds.
        """
        if target is None or target.digests is None or report is None or report.loading:
            return []
        if self._order_in_flight or now < self._paused_until:
            return []
        if target.version != self._version:
            if self._in_flight:
                return []
            self._version = target.version
            self._staged_at.clear()
        due = [
            index
            for index in range(len(target.digests))
            if now - self._staged_at.get(index, float("-inf")) >= RESTAGE_AFTER_S
            and index not in self._in_flight
        ]
        if not due and not self._in_flight:
            self._order_in_flight = True
            oldest = min(self._staged_at.values())
            return [OrderLoad(target.version, oldest, oldest + MAX_AGE_AT_ORDER_S)]
        free_slots = MAX_PARALLEL_STAGES - len(self._in_flight)
        commands: list[StageChunk | OrderLoad] = []
        for index in due[:free_slots]:
            self._in_flight[index] = now
            commands.append(StageChunk(target.version, index, target.digests[index]))
        return commands

    def on_staged(self, index: int, error: str) -> None:
        """Records the result of staging a chunk; an empty `error` means success."""
        started_at = self._in_flight.pop(index)
        if error:
            self._paused_until = self._now() + FAILURE_PAUSE_S
        else:
            self._staged_at[index] = started_at

    def on_order_ended(self, accepted: bool) -> None:
        """Records the result of an order; `accepted` is also set when the result is unknown."""
        self._order_in_flight = False
        # Until a report shows the effect, the engine would at best refuse another order.
        self._paused_until = self._now() + (ORDER_SETTLE_S if accepted else FAILURE_PAUSE_S)
        self._staged_at.clear()
