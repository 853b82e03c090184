"""Directory of the VMs: the platform's list combined with observations of the processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from fescuechute.membership._peers import choose_peers
from fescuechute.membership._rows import VmRow, parse_row

#: Seconds by which the date of a list may be ahead of the local clock. A list dated further ahead
#: would cause every later one to be ignored as older.
MAX_CLOCK_AHEAD_S = 60.0


@attrs.frozen
class ListChange:
    """Changes made by a list."""

    #: Ids of the VMs that the list added and removed.
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    #: Number of malformed rows, and rows with a duplicate id, that were skipped.
    skipped: int = 0
    #: False if the whole list was ignored.
    applied: bool = True


class Directory:
    """Rows of all VMs with their observed state.

    The list lags, so observations of a process take precedence over it: a process that announced
    that it is leaving counts as leaving until the list drops it or it returns with another boot id.
    """

    def __init__(self) -> None:
        self._rows: dict[str, VmRow] = {}
        #: Decoded but unparsed rows of the current list, by id. Most rows do not change between
        #: lists, and comparing one is ten times cheaper than validating it again.
        self._raw_rows: dict[str, Any] = {}
        self._as_of = float("-inf")
        #: Boot ids of the processes that announced that they are leaving, by process id.
        self._leaving: dict[str, str] = {}
        #: Ids of the processes to which the link was lost.
        self._down: set[str] = set()
        #: Incremented with each change, so that callers can cache derived values.
        self.version = 0
        #: Total numbers of rows skipped and of lists ignored.
        self.skipped_rows = 0
        self.ignored_lists = 0
        #: Unix seconds at which the current list was received, None before the first.
        self.received_at: float | None = None

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def as_of(self) -> float:
        """Date of the current list in unix seconds; minus infinity before the first."""
        return self._as_of

    def apply_list(self, vms: Iterable[Any], as_of: float, now: float) -> ListChange:
        """Applies a list of VMs.

        A list is ignored if it is older than the current one, is dated too far ahead, or has no
        valid row although an earlier list had some.

        Args:
          vms: Rows as decoded from JSON.
          as_of: Date of the list in unix seconds.
          now: Unix seconds.
        """
        if not self._as_of <= as_of <= now + MAX_CLOCK_AHEAD_S:
            self.ignored_lists += 1
            return ListChange(applied=False)
        rows, raw_rows, skipped = self._parse(vms)
        self.skipped_rows += skipped
        if self._rows and not rows:
            # The list includes the VM of this process, so an empty list is a fault of the platform.
            self.ignored_lists += 1
            return ListChange(skipped=skipped, applied=False)
        change = ListChange(
            tuple(sorted(rows.keys() - self._rows.keys())),
            tuple(sorted(self._rows.keys() - rows.keys())),
            skipped,
        )
        if rows != self._rows:
            self.version += 1
        self._rows, self._raw_rows, self._as_of, self.received_at = rows, raw_rows, as_of, now
        self._leaving = {
            vm_id: boot_id for vm_id, boot_id in self._leaving.items() if vm_id in rows
        }
        self._down &= rows.keys()
        return change

    def _parse(self, vms: Iterable[Any]) -> tuple[dict[str, VmRow], dict[str, Any], int]:
        rows: dict[str, VmRow] = {}
        raw_rows: dict[str, Any] = {}
        skipped = 0
        for raw in vms:
            vm_id = raw.get("id") if isinstance(raw, dict) else None
            if isinstance(vm_id, str) and vm_id in self._raw_rows and self._raw_rows[vm_id] == raw:
                row: VmRow | None = self._rows[vm_id]
            else:
                row = parse_row(raw)
            if row is None or row.id in rows:
                skipped += 1
            else:
                rows[row.id] = row
                raw_rows[row.id] = raw
        return rows, raw_rows, skipped

    def observed_leaving(self, process_id: str, boot_id: str = "") -> None:
        """Records that a process announced that it is leaving."""
        if process_id not in self._leaving:
            self.version += 1
        self._leaving[process_id] = boot_id

    def observed_down(self, process_id: str) -> None:
        """Records that the link to a process is lost."""
        if process_id not in self._down:
            self._down.add(process_id)
            self.version += 1

    def observed_up(self, process_id: str, boot_id: str = "") -> None:
        """Records that the link to a process is up.

        A boot id other than that of the leaving process clears the leaving state.
        """
        if process_id in self._down:
            self._down.discard(process_id)
            self.version += 1
        if boot_id and self._leaving.get(process_id, boot_id) != boot_id:
            del self._leaving[process_id]
            self.version += 1

    def row(self, process_id: str) -> VmRow | None:
        """Returns the row of a VM, or None.

        Its state is `leaving` if the list shows that or the process announced it.
        """
        row = self._rows.get(process_id)
        if row is not None and process_id in self._leaving and row.state != "leaving":
            return attrs.evolve(row, state="leaving")
        return row

    def agents(self, upstream: str | None = None, region: str | None = None) -> list[VmRow]:
        """Returns the agents that are not leaving, filtered by upstream and region if given."""
        return [
            row
            for row in self._not_leaving()
            if row.role == "agent"
            and upstream in (None, row.upstream)
            and region in (None, row.region)
        ]

    def agents_to_dial(self) -> list[VmRow]:
        """Returns the agents to which links are maintained.

        In addition to the agents that are not leaving, these are agents that announced that they
        are leaving and whose links have ended since, while the list still shows them as live: the
        process may have been restarted under the same id, which only a new link can show.
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
        return [row for row in self._not_leaving() if row.role == "entry"]

    def live_ids(self, data_centre: str | None = None) -> list[str]:
        """Returns the sorted ids of the VMs that are neither leaving nor observed down."""
        return sorted(row.id for row in self._live() if data_centre in (None, row.data_centre))

    def peers_for(
        self, process_id: str, n: int, region: str = "", data_centre: str = ""
    ) -> list[str]:
        """Returns the gossip peers of a process.

        Args:
          process_id: Id of the process, usually the caller's own.
          n: Target number of peers.
          region: Region of the process, used while the list does not contain it yet.
          data_centre: Data centre of the process, used like `region`.
        """
        row = self._rows.get(process_id)
        if row is not None:
            region, data_centre = row.region, row.data_centre
        return choose_peers(process_id, region, data_centre, self._live(), n)

    def _not_leaving(self) -> Iterator[VmRow]:
        for row in self._rows.values():
            if row.state == "live" and row.id not in self._leaving:
                yield row

    def _live(self) -> Iterator[VmRow]:
        return (row for row in self._not_leaving() if row.id not in self._down)
