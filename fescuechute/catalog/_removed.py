"""The last entries of replicas that were removed."""

from __future__ import annotations

from fescuechute.catalog._types import Registration


class RemovedReplicas:
    """Remembers up to which entry each removed replica is known to be gone.

    A registry that comes back from a copy may hold such an entry again.

    Args:
      limit: Limit on the replicas that are remembered; the oldest ones are forgotten first.
    """

    def __init__(self, limit: int = 8192):
        self._limit = limit
        #: Start time and the lowest heartbeat count of an entry that is newer, by instance.
        self._next: dict[str, tuple[int, int | None]] = {}

    def add(self, entry: Registration) -> None:
        """Records that a replica was removed whose last entry is given."""
        self._next.pop(entry.instance, None)
        count = entry.heartbeats
        self._next[entry.instance] = entry.born_ms, None if count is None else count + 1
        if len(self._next) > self._limit:
            del self._next[next(iter(self._next))]

    def is_outdated(self, entry: Registration) -> bool:
        """Returns whether an entry is not newer than the last one of its removed replica."""
        return entry.is_older_than(*self._next.get(entry.instance, (0, None)))
