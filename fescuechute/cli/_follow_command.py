"""The command that waits until a revision is in force."""

from __future__ import annotations

import time
from typing import Any, ClassVar

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from fescuechute.checks import Address, Integer, IpPort
from fescuechute.cli._command import BaseCommand, ExitCode, check_argument
from fescuechute.cli._http import send_request
from fescuechute.errors import PlatformError

_POLL_INTERVAL_S = 0.25

#: States of upstreams that accept no new requests; they need not confirm a revision.
_DRAINING_STATES = ("draining",)


@attrs.define
class RolloutProgress:
    """Progress of one revision, merged from the status of the entries."""

    revision: int
    #: Current revision by entry, for the entries that responded.
    entries: dict[str, int] = attrs.field(factory=dict)
    #: Status row by upstream id; of several rows, the one with the newest revision.
    upstreams: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    def add_status(self, entry: str, status: dict[str, Any]) -> None:
        """Merges the status that one entry reports."""
        self.entries[entry] = int(status["revision"])
        for row in status["upstreams"]:
            newest = self.upstreams.get(row["id"])
            if newest is None or int(row["revision"]) >= int(newest["revision"]):
                self.upstreams[row["id"]] = row

    @property
    def replicas(self) -> list[dict[str, Any]]:
        """Status rows of the upstreams that are not draining."""
        return [row for row in self.upstreams.values() if row.get("state") not in _DRAINING_STATES]

    @property
    def unconfirmed(self) -> list[str]:
        """Sorted ids of the replicas that have not confirmed the revision."""
        return sorted(row["id"] for row in self.replicas if not self._has_confirmed(row))

    @property
    def is_in_force(self) -> bool:
        """Whether all entries that responded and all replicas have the revision.

        False while no entry has responded or no replica is known.
        """
        entries_have_it = bool(self.entries) and min(self.entries.values()) >= self.revision
        return entries_have_it and bool(self.replicas) and not self.unconfirmed

    def _has_confirmed(self, row: dict[str, Any]) -> bool:
        # A replica that is loading has read the note but does not serve its versions yet.
        return int(row["revision"]) >= self.revision and row.get("state", "live") == "live"


class NoteFollowCommand(BaseCommand):
    """Waits until a revision is in force."""

    name = "note follow"
    description = "Shows how many replicas have confirmed a revision, until all have."
    arguments: ClassVar[list[Argument]] = [argument("revision", "Revision to wait for.")]
    options: ClassVar[list[Option]] = [
        option("status", None, "Entries to poll, as ip:port[,ip:port...].", flag=False),
        option("timeout", None, "Seconds to wait.", flag=False, default="600"),
    ]
    help = """\
Polls GET /v1/status of the entries. Exits with 0 when every replica known to them has
confirmed the revision, with 1 when the timeout passes first, and with 3 when no entry
responds.

Example:
  fescuechute note follow 42 --status 10.0.0.7:8000,10.0.1.7:8000
"""

    def handle(self) -> int:
        """Polls until the revision is in force or the timeout has passed."""
        text = self.argument("revision")
        value = int(text) if text.isascii() and text.isdigit() else text
        revision = check_argument(value, "revision", Integer())
        entries = self._entry_addresses()
        deadline = time.monotonic() + self.seconds_option("timeout")
        bar = self.progress_bar()
        bar.set_format(" %current%/%max% replicas [%bar%] %percent:3s%%")
        progress = _poll_entries(revision, entries)
        bar.start(len(progress.replicas))
        while not progress.is_in_force and time.monotonic() < deadline:
            time.sleep(_POLL_INTERVAL_S)
            progress = _poll_entries(revision, entries)
            self._update_bar(bar, progress)
        self._update_bar(bar, progress)
        self.io.error_output.write_line("")
        return self._report_result(progress)

    def _update_bar(self, bar: Any, progress: RolloutProgress) -> None:
        # cleo can change the maximum of a started bar only through this private method.
        if bar.get_max_steps() != len(progress.replicas):
            bar._set_max_steps(len(progress.replicas))
        bar.set_progress(len(progress.replicas) - len(progress.unconfirmed))

    def _entry_addresses(self) -> list[Address]:
        text = self.option("status") or ""
        return [check_argument(part.strip(), "--status", IpPort()) for part in text.split(",")]

    def _report_result(self, progress: RolloutProgress) -> ExitCode:
        if progress.is_in_force:
            self.print_line(
                f"revision {progress.revision} is in force on {len(progress.replicas)} replicas"
            )
            return ExitCode.DONE
        if not progress.entries:
            self.print_error("No entry responded.")
            return ExitCode.PLATFORM_UNAVAILABLE
        for entry, revision in sorted(progress.entries.items()):
            if revision < progress.revision:
                self.print_error(f"entry {entry} has revision {revision}")
        for upstream in progress.unconfirmed:
            row = progress.upstreams[upstream]
            state = f", {row['state']}" if "state" in row else ""
            self.print_error(f"replica {upstream} has revision {row['revision']}{state}")
        self.print_error(f"revision {progress.revision} is not in force everywhere")
        return ExitCode.REFUSED


def _poll_entries(revision: int, entries: list[Address]) -> RolloutProgress:
    progress = RolloutProgress(revision)
    for entry in entries:
        try:
            response = send_request(entry, "GET", "/v1/status", idle_timeout_s=2.0)
            if response.ok:
                progress.add_status(str(entry), response.json())
        except (PlatformError, KeyError, TypeError, ValueError):
            # An entry that is down or restarting is polled again in the next round.
            continue
    return progress
