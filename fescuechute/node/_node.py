"""Common base of the entry and agent daemons."""

from __future__ import annotations

import json
import secrets
import sys
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from fescuechute.logs import part_logger
from fescuechute.membership import Directory, duty_holders
from fescuechute.metrics import Metrics
from fescuechute.net import HttpClient, LinkHub, Loop, SystemClock
from fescuechute.node._notes import NoteFollower
from fescuechute.node._snapshots import SNAPSHOT_WRITERS, SnapshotWriter
from fescuechute.node._vms import VmListPoller
from fescuechute.routing import Quarantine
from fescuechute.settings import Address, Settings
from fescuechute.wire import PROTOCOL_VERSION, Crash, Digest, Hello, Message, PullRecords, Records

#: Processes per data centre that poll the log. Two, so that the failure of one has no effect.
LOG_READERS = 2

#: Tick interval in seconds while nothing is in flight. Ticks cause most of the cost of an idle
#: process. Heartbeats and status are sent every 0.5 s, and silence is detected after 2 s, so ticks
#: need not be more frequent.
IDLE_TICK_S = 0.2


class Node:
    """Links, platform access, membership, notes and crash reports of one process.

    A daemon subclasses it, registers handlers for its own messages and runs its systems (functions
    that update its state once per tick) in `on_tick`.
    """

    def __init__(self, cfg: Settings, *, upstream: str = "", kind: str = ""):
        self.cfg = cfg
        self.clock = SystemClock()
        self.log = part_logger(cfg.process.role)
        statsd = cfg.metrics.statsd
        self.metrics = Metrics(statsd, f"fescuechute.{cfg.process.role}")
        self.boot_id = secrets.token_hex(8)
        proc = cfg.process
        self.hello = Hello(
            PROTOCOL_VERSION,
            proc.id,
            proc.role,
            proc.region,
            proc.data_centre,
            self.boot_id,
            upstream,
            kind,
        )
        self.hub = LinkHub(self.hello, self, self.clock)
        self.http = HttpClient(self.clock)
        self.loop = Loop(self._tick, self.stop, cfg.tick.interval_ms / 1000, self.clock)
        self.loop.add(self.hub)
        self.loop.add(self.http)
        self.directory = Directory()
        self.quarantine = Quarantine()
        self.vms = VmListPoller(
            socket_address(cfg.platform.vms),
            self.http,
            self.directory,
            self.clock,
            self.vms_changed,
            self.count,
        )
        self.notes = NoteFollower(
            socket_address(cfg.platform.log),
            self.http,
            self.hub,
            self.clock,
            self._is_log_reader,
            self.notes_changed,
            self.count,
        )
        self.snapshots = SnapshotWriter(
            socket_address(cfg.platform.log),
            self.http,
            self.clock,
            self.notes,
            cfg.notes.retention_s,
            self._snapshot_holder_index,
            self.count,
        )
        self.link_port = 0
        self.draining = False

    # Hooks for subclasses.

    def on_tick(self, now: float) -> None:
        """Runs the systems of the daemon; called once per tick."""

    def vms_changed(self) -> None:
        """Called after a new VM list was applied."""

    def notes_changed(self) -> None:
        """Called after new notes records were applied, and when the node has caught up."""

    def on_link_up(self, peer_id: str, hello: Hello) -> None:
        """Called when a link to a peer is established."""

    def on_link_down(self, peer_id: str, reason: str) -> None:
        """Called when the link to a peer is closed."""

    def stop(self) -> None:
        """Begins a planned stop; called on SIGTERM or SIGINT."""
        raise NotImplementedError

    # Life cycle.

    def start(self) -> None:
        """Starts listening for links."""
        proc = self.cfg.process
        self.link_port = self.hub.listen(proc.address, proc.link_port)

    def run(self) -> None:
        """Starts the daemon, prints the ready line and runs the loop until `close` is called."""
        self.start()
        ready: dict[str, Any] = {"ready": True, "link_port": self.link_port}
        ready["http_port"] = self.http_port()
        sys.stdout.write(json.dumps(ready) + "\n")
        sys.stdout.flush()
        self.log.info("Started {} with links on port {}.", self.cfg.process.id, self.link_port)
        self.loop.run_until_closed()

    def http_port(self) -> int:
        """Returns the port of the HTTP listener, or 0 if there is none."""
        return 0

    def close(self) -> None:
        """Closes all sockets and makes `run` return."""
        self.log.info("Closed {}.", self.cfg.process.id)
        self.loop.close()

    def is_busy(self) -> bool:
        """Returns whether requests are in flight, which requires the configured tick interval."""
        return False

    def restore_tick_interval(self) -> None:
        """Restores the configured tick interval; called when a request arrives."""
        self.loop.set_interval(self.cfg.tick.interval_ms / 1000)

    def _tick(self, now: float) -> None:
        self._run_guarded(self.vms.tick, now)
        self._run_guarded(self.notes.tick, now)
        self._run_guarded(self.snapshots.tick, now)
        self._run_guarded(self.hub.tick, now)
        self._run_guarded(self.http.tick, now)
        self._run_guarded(self.on_tick, now)
        if not self.is_busy():
            self.loop.set_interval(max(IDLE_TICK_S, self.cfg.tick.interval_ms / 1000))

    def _run_guarded(self, system: Callable[[float], None], now: float) -> None:
        """Runs one system; logs and counts an exception, so that the other systems still run."""
        try:
            system(now)
        except Exception:
            self.count("fault.system")
            self.log.exception("A system failed; the other systems continue.")

    # Counters.

    def control_bytes(self) -> dict[str, int]:
        """Returns the total bytes of links and HTTP calls, to measure control traffic."""
        return {
            "links_in": self.hub.bytes_in,
            "links_out": self.hub.bytes_out,
            "http_in": self.http.bytes_in,
            "http_out": self.http.bytes_out,
        }

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.metrics.count(name)

    # Links.

    def link_up(self, peer_id: str, hello: Hello) -> None:
        """Marks a peer as up and sends it the stream position and known crash reports."""
        self.log.debug("Link to {} is up.", peer_id)
        self.directory.observed_up(peer_id, hello.boot_id)
        self.notes.send_digest(peer_id)
        for crash in self.quarantine.crashes():
            self.hub.send(peer_id, crash)
        self.on_link_up(peer_id, hello)

    def link_down(self, peer_id: str, reason: str) -> None:
        """Marks a peer as down."""
        self.log.info("Link to {} is down: {}.", peer_id, reason)
        self.directory.observed_down(peer_id)
        self.on_link_down(peer_id, reason)

    def message(self, peer_id: str, msg: Message) -> None:
        """Handles one message; an exception in a handler is logged and counted."""
        try:
            self.on_message(msg, peer_id)
        except Exception:
            self.count("fault.message")
            self.log.exception("Handling {} from {} failed.", type(msg).__name__, peer_id)

    @singledispatchmethod
    def on_message(self, msg: Message, peer_id: str) -> None:
        """Dispatches a message to the handler registered for its type."""
        self.handle(msg, peer_id)

    @on_message.register
    def _(self, msg: Digest, peer_id: str) -> None:
        self.notes.on_digest(peer_id, msg)

    @on_message.register
    def _(self, msg: PullRecords, peer_id: str) -> None:
        self.notes.on_pull(peer_id, msg)

    @on_message.register
    def _(self, msg: Records, peer_id: str) -> None:
        self.notes.on_records(peer_id, msg)

    @on_message.register
    def _(self, msg: Crash, peer_id: str) -> None:
        self.report_crash(msg)

    def handle(self, msg: Message, peer_id: str) -> None:
        """Handles message types that the node itself does not; overridden by daemons."""

    def report_crash(self, crash: Crash) -> None:
        """Merges a crash report and broadcasts it if it is new."""
        if self.quarantine.merge(crash, self.clock.now()):
            self.log.warn("Crash {} of {} request(s).", crash.crash_id, len(crash.fingerprints))
            self.hub.broadcast(crash)

    def _is_log_reader(self) -> bool:
        proc = self.cfg.process
        ids = self.directory.live_ids(proc.data_centre)
        holders = duty_holders(f"log-reader/{proc.data_centre}", ids, LOG_READERS)
        return proc.id in holders or not ids

    def _snapshot_holder_index(self) -> int | None:
        """Returns the index of this process among the snapshot writers, or None."""
        ids = self.directory.live_ids()
        holders = duty_holders("snapshot", ids, SNAPSHOT_WRITERS)
        own = self.cfg.process.id
        return holders.index(own) if own in holders and not self.draining else None


def socket_address(address: Address) -> tuple[str, int]:
    """Returns an address as an (IP, port) tuple, as sockets expect."""
    return (address.ip, address.port)
