"""Rows of one pool, grouped so that a choice does not look at all of them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import overload

from fescuechute.routing._rows import UpstreamRow


class Pool(Sequence[UpstreamRow]):
    """Upstreams that serve the same name, with an index of the prefixes sent to them.

    Rows are changed in place by their owner; only `add`, `remove` and `sent` go through the pool.
    """

    def __init__(self, rows: Iterable[UpstreamRow] = ()):
        self._rows: dict[str, UpstreamRow] = {}
        self._regions: dict[str, list[UpstreamRow]] = {}
        #: Rows of all other regions, by region; rebuilt on change.
        self._elsewhere: dict[str, list[UpstreamRow]] = {}
        #: Agents by prefix fingerprint. An agent may have dropped the prefix from its row since.
        self._warm: dict[int, dict[str, None]] = {}
        for row in rows:
            self.add(row)

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[UpstreamRow]:
        return iter(self._rows.values())

    @overload
    def __getitem__(self, index: int) -> UpstreamRow: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[UpstreamRow]: ...

    def __getitem__(self, index: int | slice) -> UpstreamRow | Sequence[UpstreamRow]:
        return list(self._rows.values())[index]

    def get(self, agent_id: str) -> UpstreamRow | None:
        """Returns the row of an agent."""
        return self._rows.get(agent_id)

    def add(self, row: UpstreamRow) -> None:
        """Adds a row, or replaces the one with the same agent."""
        self.remove(row.agent_id)
        self._rows[row.agent_id] = row
        self._regions.setdefault(row.region, []).append(row)
        self._elsewhere.clear()
        for print_ in row.prefixes:
            self._warm.setdefault(print_, {})[row.agent_id] = None

    def remove(self, agent_id: str) -> UpstreamRow | None:
        """Removes and returns the row of an agent, or None."""
        row = self._rows.pop(agent_id, None)
        if row is not None:
            self._regions[row.region].remove(row)
            self._elsewhere.clear()
            self._forget(row, row.prefixes)
        return row

    def sent(self, row: UpstreamRow, now: float, prefixes: Iterable[int] = ()) -> None:
        """Accounts for a request sent to an upstream of the pool."""
        prefixes = tuple(prefixes)
        dropped = row.sent(now, prefixes)
        for print_ in prefixes:
            self._warm.setdefault(print_, {})[row.agent_id] = None
        self._forget(row, dropped)

    def region(self, name: str) -> Sequence[UpstreamRow]:
        """Returns the rows of a region."""
        return self._regions.get(name, ())

    def elsewhere(self, name: str) -> Sequence[UpstreamRow]:
        """Returns the rows of all other regions."""
        rows = self._elsewhere.get(name)
        if rows is None:
            rows = self._elsewhere[name] = [r for r in self._rows.values() if r.region != name]
        return rows

    def warm(self, print_: int) -> Iterator[UpstreamRow]:
        """Returns the upstreams to which a prefix was sent recently."""
        return (self._rows[agent_id] for agent_id in self._warm.get(print_, ()))

    def _forget(self, row: UpstreamRow, prefixes: Iterable[int]) -> None:
        for print_ in prefixes:
            agents = self._warm.get(print_)
            if agents is not None:
                agents.pop(row.agent_id, None)
                if not agents:
                    del self._warm[print_]
