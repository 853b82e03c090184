"""Staging of a complete version at the engine, and the order to load it."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from fescuechute.catalog import EngineReport
from fescuechute.stager._versions import VersionRow

#: Chunks that are staged at the same time.
PARALLEL = 4
#: Age in seconds from which on a staged chunk is staged again before the order: what lies at the
#: engine may rot, and it is loaded as it is.
FRESH_S = 2.0
#: Pause in seconds after an order or a staging that failed.
PAUSE_S = 0.3
#: Seconds after an order without answer before the engine's report decides.
SETTLE_S = 0.5


@attrs.frozen
class StageChunk:
    """Stage one chunk."""

    version: int
    index: int
    digest: bytes


@attrs.frozen
class OrderLoad:
    """Order the engine to load what is staged."""

    version: int


class Loader:
    """Decides what is staged and ordered; the daemon carries it out.

    Args:
      now: Returns unix seconds.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._version = 0
        #: Unix seconds at which each chunk was staged.
        self._staged: dict[int, float] = {}
        self._in_flight: set[int] = set()
        self._ordering = False
        self._pause_until = 0.0

    def plan(
        self, target: VersionRow | None, report: EngineReport | None, now: float
    ) -> list[StageChunk | OrderLoad]:
        """Returns what is due.

        Args:
          target: Complete version that the engine lacks, or None.
          report: What the engine says, or None while it does not answer.
          now: Unix seconds.
        """
        if target is None or target.digests is None or report is None or report.busy:
            return []
        if self._ordering or now < self._pause_until:
            return []
        if target.version != self._version:
            if self._in_flight:
                return []
            self._version = target.version
            self._staged.clear()
        due = [
            index
            for index in range(len(target.digests))
            if now - self._staged.get(index, float("-inf")) >= FRESH_S
            and index not in self._in_flight
        ]
        if not due and not self._in_flight:
            self._ordering = True
            return [OrderLoad(target.version)]
        room = PARALLEL - len(self._in_flight)
        commands: list[StageChunk | OrderLoad] = []
        for index in due[:room]:
            self._in_flight.add(index)
            commands.append(StageChunk(target.version, index, target.digests[index]))
        return commands

    def staged(self, index: int, error: str) -> None:
        """A chunk was staged, or was not."""
        self._in_flight.discard(index)
        if error:
            self._pause_until = self._now() + PAUSE_S
        else:
            self._staged[index] = self._now()

    def ordered(self, accepted: bool) -> None:
        """The engine answered an order, or did not."""
        self._ordering = False
        # Until the report shows the effect, another order would be refused at best.
        self._pause_until = self._now() + (SETTLE_S if accepted else PAUSE_S)
        self._staged.clear()
