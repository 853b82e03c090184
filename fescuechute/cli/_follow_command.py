"""The command that follows a revision into force."""

from __future__ import annotations

import time
from typing import Any, ClassVar

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from fescuechute.checks import Address, IpPort, Whole
from fescuechute.cli._command import BaseCommand, ExitCode, read_argument
from fescuechute.cli._http import call
from fescuechute.errors import PlatformError

#: Seconds between polls.
_PERIOD_S = 0.25

#: States of upstreams that take no new work; they need not switch.
_LEAVING = ("draining",)


@attrs.define
class Progress:
    """What the entries report about one revision."""

    revision: int
    #: Revisions of the entries that answered.
    entries: dict[str, int] = attrs.field(factory=dict)
    #: Rows by upstream, the newest revision of each.
    upstreams: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    def add(self, entry: str, status: dict[str, Any]) -> None:
        """Adds the status of one entry."""
        self.entries[entry] = int(status["revision"])
        for row in status["upstreams"]:
            known = self.upstreams.get(row["id"])
            if known is None or int(row["revision"]) >= int(known["revision"]):
                self.upstreams[row["id"]] = row

    @property
    def replicas(self) -> list[dict[str, Any]]:
        """Rows of the upstreams that stay."""
        return [row for row in self.upstreams.values() if row.get("state") not in _LEAVING]

    @property
    def missing(self) -> list[str]:
        """Ids of the replicas that have not confirmed the revision."""
        return sorted(row["id"] for row in self.replicas if not self._confirmed(row))

    @property
    def is_in_force(self) -> bool:
        """Whether every entry that answered and every replica has the revision."""
        entries = bool(self.entries) and min(self.entries.values()) >= self.revision
        return entries and bool(self.replicas) and not self.missing

    def _confirmed(self, row: dict[str, Any]) -> bool:
        # A replica that still loads has read the note but does not serve its versions yet.
        return int(row["revision"]) >= self.revision and row.get("state", "live") == "live"


class NoteFollowCommand(BaseCommand):
    """Follows a revision into force."""

    name = "note follow"
    description = "Shows how many replicas have confirmed a revision, until all have."
    arguments: ClassVar[list[Argument]] = [argument("revision", "Revision to wait for.")]
    options: ClassVar[list[Option]] = [
        option("status", None, "Entries to ask, as ip:port[,ip:port...].", flag=False),
        option("timeout", None, "Seconds to wait.", flag=False, default="600"),
    ]
    help = """\
Polls GET /v1/status of the entries. Exits with 0 when every replica that they know has
confirmed the revision, with 1 when that is not so within the timeout, and with 3 when
no entry answers.

Example:
  fescuechute note follow 42 --status 10.0.0.7:8000,10.0.1.7:8000
"""

    def handle(self) -> int:
        """Polls until the revision is in force or the timeout has passed."""
        text = self.argument("revision")
        value = int(text) if text.isascii() and text.isdigit() else text
        revision = read_argument(value, "revision", Whole())
        servers = self._servers()
        deadline = time.monotonic() + self.seconds_option("timeout")
        bar = self.progress_bar()
        bar.set_format(" %current%/%max% replicas [%bar%] %percent:3s%%")
        progress = _poll(revision, servers)
        bar.start(len(progress.replicas))
        while not progress.is_in_force and time.monotonic() < deadline:
            time.sleep(_PERIOD_S)
            progress = _poll(revision, servers)
            self._show(bar, progress)
        self._show(bar, progress)
        self.io.error_output.write_line("")
        return self._report(progress)

    def _show(self, bar: Any, progress: Progress) -> None:
        # cleo raises the maximum of a bar only through its private setter.
        if bar.get_max_steps() != len(progress.replicas):
            bar._set_max_steps(len(progress.replicas))
        bar.set_progress(len(progress.replicas) - len(progress.missing))

    def _servers(self) -> list[Address]:
        text = self.option("status") or ""
        return [read_argument(part.strip(), "--status", IpPort()) for part in text.split(",")]

    def _report(self, progress: Progress) -> ExitCode:
        if progress.is_in_force:
            self.say(
                f"revision {progress.revision} is in force on {len(progress.replicas)} replicas"
            )
            return ExitCode.DONE
        if not progress.entries:
            self.complain("No entry answered.")
            return ExitCode.PLATFORM_UNAVAILABLE
        for entry, revision in sorted(progress.entries.items()):
            if revision < progress.revision:
                self.complain(f"entry {entry} has revision {revision}")
        for upstream in progress.missing:
            row = progress.upstreams[upstream]
            state = f", {row['state']}" if "state" in row else ""
            self.complain(f"replica {upstream} has revision {row['revision']}{state}")
        self.complain(f"revision {progress.revision} is not in force everywhere")
        return ExitCode.REFUSED


def _poll(revision: int, servers: list[Address]) -> Progress:
    progress = Progress(revision)
    for server in servers:
        try:
            answer = call(server, "GET", "/v1/status", silence_s=2.0)
            if answer.ok:
                progress.add(str(server), answer.json())
        except (PlatformError, KeyError, TypeError, ValueError):
            # An entry that is down or restarting is asked again in the next round.
            continue
    return progress
