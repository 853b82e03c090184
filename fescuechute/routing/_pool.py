"""Rows of one pool, indexed by region and by prompt prefix."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import overload

from fescuechute.routing._rows import UpstreamRow


class Pool(Sequence[UpstreamRow]):
    """Upstreams with the same pool name, indexed by region and by the prefixes sent to them.

    Rows may be modified in place, except for their region and prefixes: `add`, `remove` and
    `record_sent` keep the indexes up to date.
    """

    def __init__(self, rows: Iterable[UpstreamRow] = ()):
        self._rows: dict[str, UpstreamRow] = {}
        self._rows_by_region: dict[str, list[UpstreamRow]] = {}
        #: Rows of all other regions by region; built on demand and cleared by `add` and `remove`.
        self._rows_outside_region: dict[str, list[UpstreamRow]] = {}
        #: Ids of the agents to which a prefix was sent recently, by prefix fingerprint. The inner
        #: dict is an ordered set.
        self._agents_by_prefix: dict[int, dict[str, None]] = {}
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
        """Returns the row of an agent, or None."""
        return self._rows.get(agent_id)

    def add(self, row: UpstreamRow) -> None:
        """Adds a row, replacing the row of the same agent."""
        self.remove(row.agent_id)
        self._rows[row.agent_id] = row
        self._rows_by_region.setdefault(row.region, []).append(row)
        self._rows_outside_region.clear()
        for fingerprint in row.prefixes:
            self._agents_by_prefix.setdefault(fingerprint, {})[row.agent_id] = None

    def remove(self, agent_id: str) -> UpstreamRow | None:
        """Removes and returns the row of an agent, or None."""
        row = self._rows.pop(agent_id, None)
        if row is not None:
            self._rows_by_region[row.region].remove(row)
            self._rows_outside_region.clear()
            self._remove_prefixes(row, row.prefixes)
        return row

    def record_sent(self, row: UpstreamRow, now: float, prefixes: Iterable[int] = ()) -> None:
        """Records that a request was sent to an upstream of the pool."""
        prefixes = tuple(prefixes)
        evicted = row.record_sent(now, prefixes)
        for fingerprint in prefixes:
            self._agents_by_prefix.setdefault(fingerprint, {})[row.agent_id] = None
        self._remove_prefixes(row, evicted)

    def in_region(self, name: str) -> Sequence[UpstreamRow]:
        """Returns the rows of a region."""
        return self._rows_by_region.get(name, ())

    def outside_region(self, name: str) -> Sequence[UpstreamRow]:
        """Returns the rows of all other regions."""
        rows = self._rows_outside_region.get(name)
        if rows is None:
            rows = self._rows_outside_region[name] = [
                r for r in self._rows.values() if r.region != name
            ]
        return rows

    def with_prefix(self, fingerprint: int) -> Iterator[UpstreamRow]:
        """Yields the upstreams to which a prefix was sent recently."""
        return (self._rows[agent_id] for agent_id in self._agents_by_prefix.get(fingerprint, ()))

    def _remove_prefixes(self, row: UpstreamRow, prefixes: Iterable[int]) -> None:
        for fingerprint in prefixes:
            agents = self._agents_by_prefix.get(fingerprint)
            if agents is not None:
                agents.pop(row.agent_id, None)
                if not agents:
                    del self._agents_by_prefix[fingerprint]
