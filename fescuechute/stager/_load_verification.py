"""Verification of a load: whether the engine took whole chunks when it accepted the order."""

from __future__ import annotations

from collections.abc import Container

import attrs

from fescuechute.catalog import EngineReport, LoadState
from fescuechute.stager._versions import VersionState

#: Seconds for which a chunk may have been corrupt when the engine loads it. An order that was answered
#: within this time after the oldest verification of a chunk was accepted within it as well.
MAX_CORRUPT_S = 3.0
#: Loaded chunks that are read back at the same time.
MAX_PARALLEL_READS = 4


@attrs.frozen
class LoadId:
    """Identifies a load: the orders that an engine has accepted since its start.

    Attributes:
      born_ms: Start time of the engine in unix milliseconds.
      orders: Number of accepted orders.
    """

    born_ms: int
    orders: int


@attrs.frozen
class ReadLoadedChunk:
    """Read a chunk back that the engine has loaded, and pass its digest on."""

    load: LoadId
    index: int


@attrs.frozen
class UnloadEngine:
    """Order the engine to drop its weights, so that they can be loaded anew.

    Attributes:
      version: Loaded version.
      expected_orders: Number of orders that the engine has accepted.
    """

    version: int
    expected_orders: int


VerificationCommand = ReadLoadedChunk | UnloadEngine


class LoadVerification:
    """Decides whether the loaded weights are whole.

    An engine accepts an order at any time after it was sent, and loads what is staged then. A load is
    verified if the order was answered in time, or if all chunks are read back after it was accepted:
    a corrupt chunk stays corrupt until it is staged again. Weights that an engine holds without any
    order are those with which it started.
    """

    def __init__(self) -> None:
        #: What is known of the weights that the engine holds, or is loading.
        self.state = LoadState.UNKNOWN
        self._load: LoadId | None = None
        #: Load of the latest order that was answered in time.
        self._accepted_in_time: LoadId | None = None
        #: Whether chunks were staged after the latest order was sent. They may have replaced corrupt ones.
        self._staged_since_order = False
        #: Indexes of the chunks that are being read back, and of those that were whole.
        self._in_flight: set[int] = set()
        self._whole: set[int] = set()
        #: Whether reading the chunks back cannot verify the load any more.
        self._inconclusive = False

    def observe(self, report: EngineReport) -> None:
        """Records a report of the engine."""
        if report.orders is None:
            self._load, self.state = None, LoadState.UNKNOWN
            return
        load = LoadId(report.born_ms, report.orders)
        if load == self._load:
            return
        is_first, self._load = self._load is None, load
        self._in_flight.clear()
        self._whole.clear()
        self._inconclusive = not is_first and self._staged_since_order
        if load.orders == 0 or load == self._accepted_in_time:
            self.state = LoadState.VERIFIED
        elif is_first:
            # Loaded on an order of a stager that ran before.
            self.state = LoadState.UNKNOWN
        else:
            self.state = LoadState.UNVERIFIED

    def record_staging(self) -> None:
        """Records that a chunk is staged."""
        self._staged_since_order = True
        self._inconclusive = True

    def record_order(self, may_be_staged_late: bool) -> None:
        """Records that an order is sent, and that no earlier one can be accepted any more.

        Args:
          may_be_staged_late: Whether a chunk whose staging got no response may still be staged.
        """
        self._staged_since_order = may_be_staged_late

    def record_acceptance(self, load: LoadId, oldest_verified_at: float, now: float) -> None:
        """Records that the engine accepted an order.

        Args:
          load: The load that the order started.
          oldest_verified_at: Unix seconds at which the oldest verification of a chunk started.
          now: Unix seconds at which the response was read.
        """
        if now - oldest_verified_at > MAX_CORRUPT_S:
            return
        self._accepted_in_time = load
        if load == self._load:
            self.state = LoadState.VERIFIED

    def plan(
        self, report: EngineReport, loaded: VersionState | None, can_reload: bool
    ) -> list[VerificationCommand]:
        """Returns the commands that are due while there is no other version to load.

        Args:
          report: Latest report of the engine.
          loaded: Version that the engine holds, or None.
          can_reload: Whether all chunks of that version are held.
        """
        if self.state is LoadState.VERIFIED or self._load is None or report.loading:
            return []
        if loaded is None or loaded.digests is None:
            return []
        if self._inconclusive:
            if self.state is LoadState.UNKNOWN or not can_reload:
                return []
            return [UnloadEngine(loaded.version, self._load.orders)]
        pending = [
            index
            for index in range(len(loaded.digests))
            if index not in self._whole and index not in self._in_flight
        ]
        reads = pending[: MAX_PARALLEL_READS - len(self._in_flight)]
        self._in_flight.update(reads)
        return [ReadLoadedChunk(self._load, index) for index in reads]

    def record_failed_read(self, command: ReadLoadedChunk) -> None:
        """Records that a chunk was not read; it is read again."""
        if command.load == self._load:
            self._in_flight.discard(command.index)

    def record_read(
        self,
        command: ReadLoadedChunk,
        digest: bytes | None,
        loaded: VersionState | None,
        known_digests: Container[bytes],
    ) -> None:
        """Records a chunk that was read back.

        Args:
          command: The command to read it.
          digest: Its digest, or None if the engine does not hold it.
          loaded: Version that the engine holds, or None.
          known_digests: Digests of the chunks of all known versions.
        """
        if command.load != self._load:
            return
        self._in_flight.discard(command.index)
        if loaded is None or loaded.digests is None or self._inconclusive:
            return
        if digest == loaded.digests[command.index]:
            self._whole.add(command.index)
            if len(self._whole) == len(loaded.digests):
                self.state = LoadState.VERIFIED
            return
        self._inconclusive = True
        # The stager that ran before may have begun to stage another version.
        if digest is None or digest not in known_digests:
            self.state = LoadState.UNVERIFIED
