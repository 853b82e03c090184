"""Recovery of the chunks that are still staged at the engine after a restart of the stager."""

from __future__ import annotations

from collections.abc import Callable, Sequence

#: Chunks that are read back at the same time. Reading them competes with requests for the CPU of the
#: VM, and only peers that are new to the ring wait for the result.
MAX_PARALLEL_READS = 2


class Recovery:
    """Reads the staged chunks of one version back from the engine, once.

    Args:
      read: Requests a staged chunk by index from the engine; passes on None if there is none.
      on_chunk: Called with the index and the bytes of each chunk.
    """

    def __init__(
        self,
        read: Callable[[int, Callable[[bytes | None], None]], None],
        on_chunk: Callable[[int, bytes], None],
    ):
        self._read = read
        self._on_chunk = on_chunk
        #: Indexes that are still to be read, the next one last.
        self._pending: list[int] = []
        self._in_flight = 0
        self._started = False

    @property
    def started(self) -> bool:
        """Whether `start` was called."""
        return self._started

    def start(self, indexes: Sequence[int]) -> None:
        """Starts reading the chunks with these indexes."""
        self._started = True
        self._pending = list(reversed(indexes))
        self._start_reads()

    def _start_reads(self) -> None:
        while self._pending and self._in_flight < MAX_PARALLEL_READS:
            index = self._pending.pop()
            self._in_flight += 1
            self._read(index, lambda data, index=index: self._on_read(index, data))  # type: ignore[misc]

    def _on_read(self, index: int, data: bytes | None) -> None:
        self._in_flight -= 1
        if data is not None:
            self._on_chunk(index, data)
        self._start_reads()
