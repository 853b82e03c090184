"""What is known about the VMs: the lagging list and what peers show of themselves."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from fescuechute.membership._peers import choose_peers
from fescuechute.membership._rows import VmRow, parse_row

#: Seconds by which a list may be dated ahead of our clock. A list dated further ahead would make
#: every later one look old.
MAX_AHEAD_S = 60.0


@attrs.frozen
class ListChange:
    """What a list changed."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    #: Malformed or repeated rows that were skipped.
    skipped: int = 0
    #: False when the list is ignored as a whole.
    applied: bool = True


class Directory:
    """Rows of all VMs with their observed state.

    The list lags, so what a process shows of itself counts more: one that announced that it is
    leaving stays so until the list shows it gone or it comes back with another boot id.
    """

    def __init__(self) -> None:
        self._rows: dict[str, VmRow] = {}
        #: The decoded rows of the list in use. Most rows repeat, and comparing is ten times cheaper
        #: than checking them again.
        self._found: dict[str, Any] = {}
        self._as_of = float("-inf")
        #: Boot ids of the processes that announced that they are leaving.
        self._leaving: dict[str, str] = {}
        self._down: set[str] = set()
        #: Rises with each change, so that callers can keep what they derive.
        self.version = 0
        #: Totals of rows skipped and lists ignored.
        self.skipped_rows = 0
        self.ignored_lists = 0
        #: Unix seconds at which the list in use was received.
        self.received_at: float | None = None

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def as_of(self) -> float:
        """Date of the list in use, in unix seconds; minus infinity before the first."""
        return self._as_of

    def apply_list(self, vms: Iterable[Any], as_of: float, now: float) -> ListChange:
        """Takes over a list; an older one and one without a usable row are ignored.

        Args:
          vms: Rows as decoded from JSON.
          as_of: Date of the list, unix seconds.
          now: Unix seconds.
        """
        if not self._as_of <= as_of <= now + MAX_AHEAD_S:
            self.ignored_lists += 1
            return ListChange(applied=False)
        rows, known, skipped = self._parse(vms)
        self.skipped_rows += skipped
        if self._rows and not rows:
            # The VM that asks is itself on the list, so an empty list is a fault of the platform.
            self.ignored_lists += 1
            return ListChange(skipped=skipped, applied=False)
        change = ListChange(
            tuple(sorted(rows.keys() - self._rows.keys())),
            tuple(sorted(self._rows.keys() - rows.keys())),
            skipped,
        )
        if rows != self._rows:
            self.version += 1
        self._rows, self._found, self._as_of, self.received_at = rows, known, as_of, now
        self._leaving = {i: boot for i, boot in self._leaving.items() if i in rows}
        self._down &= rows.keys()
        return change

    def _parse(self, vms: Iterable[Any]) -> tuple[dict[str, VmRow], dict[str, Any], int]:
        rows: dict[str, VmRow] = {}
        known: dict[str, Any] = {}
        skipped = 0
        for found in vms:
            vm_id = found.get("id") if isinstance(found, dict) else None
            if isinstance(vm_id, str) and vm_id in self._found and self._found[vm_id] == found:
                row: VmRow | None = self._rows[vm_id]
            else:
                row = parse_row(found)
            if row is None or row.id in rows:
                skipped += 1
            else:
                rows[row.id] = row
                known[row.id] = found
        return rows, known, skipped

    def observed_leaving(self, process_id: str, boot_id: str = "") -> None:
        """A process announced that it is leaving."""
        if process_id not in self._leaving:
            self.version += 1
        self._leaving[process_id] = boot_id

    def observed_down(self, process_id: str) -> None:
        """The link to a process is lost."""
        if process_id not in self._down:
            self._down.add(process_id)
            self.version += 1

    def observed_up(self, process_id: str, boot_id: str = "") -> None:
        """The link to a process is up. Another boot id than the leaving one clears the leaving."""
        if process_id in self._down:
            self._down.discard(process_id)
            self.version += 1
        if boot_id and self._leaving.get(process_id, boot_id) != boot_id:
            del self._leaving[process_id]
            self.version += 1

    def row(self, process_id: str) -> VmRow | None:
        """Returns a VM's row, with the state `leaving` if either source says so."""
        row = self._rows.get(process_id)
        if row is not None and process_id in self._leaving and row.state != "leaving":
            return attrs.evolve(row, state="leaving")
        return row

    def agents(self, upstream: str | None = None, region: str | None = None) -> list[VmRow]:
        """Returns the agents that are not leaving, of one upstream or region if given."""
        return [
            row
            for row in self._staying()
            if row.role == "agent"
            and upstream in (None, row.upstream)
            and region in (None, row.region)
        ]

    def agents_to_dial(self) -> list[VmRow]:
        """Returns the agents that a link is kept to.

        Besides those of `agents` these are agents that announced that they are leaving and whose
        link has ended since, while the list still shows them live: the process may have started
        again under its id, and nothing but a link can tell.
        """
        return [
            row
            for row in self._rows.values()
            if row.role == "agent"
            and row.state == "live"
            and (row.id not in self._leaving or row.id in self._down)
        ]

    def entries(self) -> list[VmRow]:
        """Returns the entries that are not leaving."""
        return [row for row in self._staying() if row.role == "entry"]

    def live_ids(self, data_centre: str | None = None) -> list[str]:
        """Returns the ids of all VMs that are neither leaving nor observed down, sorted."""
        return sorted(row.id for row in self._live() if data_centre in (None, row.data_centre))

    def peers_for(
        self, process_id: str, n: int, region: str = "", data_centre: str = ""
    ) -> list[str]:
        """Returns the gossip peers of a process.

        Args:
          process_id: The process, usually the caller itself.
          n: Wanted number of peers.
          region: Place of the process, needed while the list does not show it yet.
          data_centre: As `region`.
        """
        row = self._rows.get(process_id)
        if row is not None:
            region, data_centre = row.region, row.data_centre
        return choose_peers(process_id, region, data_centre, self._live(), n)

    def _staying(self) -> Iterator[VmRow]:
        for row in self._rows.values():
            if row.state == "live" and row.id not in self._leaving:
                yield row

    def _live(self) -> Iterator[VmRow]:
        return (row for row in self._staying() if row.id not in self._down)
