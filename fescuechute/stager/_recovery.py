"""Recovery of chunks that lie staged at the engine, after a restart of the agent."""

from __future__ import annotations

from collections.abc import Callable, Sequence

#: Chunks that are read back at the same time. Reading back competes with requests for the
#: processor of the VM, and nothing waits for it but newcomers.
PARALLEL = 2


class Recovery:
    """Reads the staged chunks of one version back, once.

    Args:
      read: Asks the engine for a staged chunk by index; passes on None when there is none.
      found: Receives the index and the bytes of each chunk.
    """

    def __init__(
        self,
        read: Callable[[int, Callable[[bytes | None], None]], None],
        found: Callable[[int, bytes], None],
    ):
        self._read = read
        self._found = found
        self._todo: list[int] = []
        self._in_flight = 0
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the chunks were asked for."""
        return self._started

    def start(self, indexes: Sequence[int]) -> None:
        """Begins to read these chunks."""
        self._started = True
        self._todo = list(reversed(indexes))
        self._more()

    def _more(self) -> None:
        while self._todo and self._in_flight < PARALLEL:
            index = self._todo.pop()
            self._in_flight += 1
            self._read(index, lambda data, index=index: self._ended(index, data))  # type: ignore[misc]

    def _ended(self, index: int, data: bytes | None) -> None:
        self._in_flight -= 1
        if data is not None:
            self._found(index, data)
        self._more()
