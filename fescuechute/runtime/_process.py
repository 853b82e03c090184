"""Base class of the daemons of a deployment, the gateway and the stager."""

from __future__ import annotations

import os
import secrets
import signal
import traceback
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, TypeVar

from circuits import BaseComponent, handler

from fescuechute.errors import PlatformError, SettingsError
from fescuechute.feeds import STORE_SOURCE, EraWatch, Feed, FeedSettings, KeyedLog, KeyedRecord
from fescuechute.forwarding import ClientRequest, ClientServer, MemoryAccount
from fescuechute.net import DatagramSocket, HttpClient, Loop, SystemClock
from fescuechute.platform import StoreClient, load_node_settings
from fescuechute.relay import (
    RelayAddress,
    RelayDirectory,
    RelayedLog,
    RelayTiming,
    SourceSelector,
)
from fescuechute.settings import NodeSettings
from fescuechute.telemetry import LineWriter, Telemetry
from fescuechute.wire import Message

T = TypeVar("T")

#: Interval in seconds at which the settings file is checked; it may change without a signal.
SETTINGS_CHECK_INTERVAL_S = 0.5
#: Port of the metrics endpoint on every VM; the deploy file repeats it.
METRICS_PORT = 9464
#: Limits on the connections to that port and on the bodies of their requests, which are not used.
_MAX_METRICS_CONNECTIONS = 64
_METRICS_REQUEST_BYTES = 1 << 20
#: Seconds between two reads of the registry from the store; a draining replica must get no new
#: requests after 2 s.
REGISTRY_INTERVAL_S = 1.0
#: Seconds between two ticks from which on the process is said to have been stopped. Calls of one process
#: to several servers then time out together, which says nothing about the servers.
STOPPED_AFTER_S = 1.0
#: Maximum length of a traceback in a log line, in characters; its end is kept.
_MAX_TRACE_CHARS = 2000
#: Keys with malformed records that are logged; those of more keys are only counted.
_MAX_INVALID_KEYS = 1024


class _ExceptionReporter(BaseComponent):
    """Reports exceptions of event handlers, which circuits would discard silently."""

    def __init__(self, report: Callable[[BaseException], None]):
        super().__init__()
        self._report = report

    @handler("exception", channel="*")
    def _on_exception(self, _type: Any, value: Any, *_args: Any, **_kwargs: Any) -> None:
        if isinstance(value, BaseException):
            self._report(value)


class Process:
    """Event loop, network clients, telemetry, settings and metrics endpoint of one process.

    Daemons subclass it and override `on_tick`, `on_stop`, `on_datagram` and `on_settings`.
    """

    def __init__(self, part: str, settings_path: str, tick_s: float):
        self.settings_path = settings_path
        self.settings: NodeSettings = load_node_settings(settings_path)
        self._settings_bytes = Path(settings_path).read_bytes()
        self._next_settings_check_at = 0.0
        self._reload_signalled = False
        self.clock = SystemClock()
        self.process_id = f"{self.settings.node}/{secrets.token_hex(4)}"
        self.rng = Random(self.process_id)
        self.telemetry = Telemetry(part, self.settings.node, self.clock.now, LineWriter())
        self.loop = Loop(self._tick, self._stop, tick_s, self.clock)
        self.http = HttpClient(self.clock)
        self.datagrams = DatagramSocket(self.on_datagram, self.telemetry.count)
        self.metrics = ClientServer(
            self.clock,
            self._serve_metrics,
            self.telemetry.count,
            "metrics",
            MemoryAccount(_METRICS_REQUEST_BYTES),
            _MAX_METRICS_CONNECTIONS,
        )
        for owner in (self.http, self.datagrams, self.metrics):
            self.loop.add(owner)
        _ExceptionReporter(self._log_exception).register(self.loop)
        #: The newest era of the store that any reader of this process has seen.
        self.eras = EraWatch(self._on_era_rise)
        self.store = StoreClient(
            self.http,
            self.settings.store.address,
            self._on_store_era,
        )
        self.relays = RelayDirectory()
        cfg = self.settings
        self.source_selector = SourceSelector(
            self.process_id, f"operators/{cfg.region}", self.region_relays
        )
        #: The operators' records, read from the relays of the region or from the store.
        self.operator_log = RelayedLog(
            self.store,
            self.http,
            self.source_selector,
            RelayTiming.from_config_apply(cfg.service_levels.config_apply_s),
            self.clock.now,
            self._on_source_failed,
            eras=self.eras,
        )
        #: The registry, read from the relays of the region or from the store.
        self.registry_log = RelayedLog(
            self.store,
            self.http,
            self.source_selector,
            RelayTiming.from_polling(REGISTRY_INTERVAL_S, cfg.service_levels.drain_s),
            self.clock.now,
            self._on_source_failed,
            store_waits=False,
            eras=self.eras,
        )
        self.stopping = False
        #: Unix seconds of the latest tick, None before the first.
        self._ticked_at: float | None = None
        #: Reason of the last malformed record of each key that has one.
        self._invalid_reasons: dict[str, str] = {}

    # Hooks for subclasses.

    def on_tick(self, now: float) -> None:
        """Called on every tick, after the HTTP client and the metrics endpoint."""

    def on_stop(self, now: float) -> None:
        """Called once when a graceful stop is requested."""

    def on_datagram(self, sender: tuple[str, int], msg: Message) -> None:
        """Called for each message from another process."""

    def on_settings(self) -> None:
        """Called after changed settings have been loaded."""

    # Lifecycle.

    def start(self) -> None:
        """Opens the datagram socket and the metrics endpoint."""
        cfg = self.settings
        self.datagrams.open(cfg.ip, cfg.peer_port)
        self.metrics.listen(cfg.ip, METRICS_PORT)

    def run(self) -> None:
        """Starts the process and runs its loop until `close`."""
        signal.signal(signal.SIGHUP, self._on_sighup)
        self.start()
        self.telemetry.event("start", process=self.process_id, pid=os.getpid())
        self.loop.run_until_closed()

    def close(self, reason: str) -> None:
        """Logs the stop and ends the loop."""
        self.telemetry.event("stop", process=self.process_id, reason=reason)
        self.telemetry.flush()
        self.loop.close()

    def make_feed(
        self,
        settings: FeedSettings,
        on_record: Callable[[KeyedRecord], None],
        on_snapshot: Callable[[frozenset[str]], None],
        log: KeyedLog | None = None,
    ) -> Feed:
        """Returns a feed of a topic that logs when its log, by default the store, is lost or regained."""

        def on_state(reason: str) -> None:
            name = "dependency.lost" if reason else "dependency.regained"
            self.telemetry.event(name, dependency=f"store/{settings.topic}", reason=reason)

        return Feed(
            log or self.store,
            settings,
            self.clock.now,
            partial(self._apply_record, on_record),
            on_snapshot,
            on_state,
            self.rng,
            self.eras,
        )

    def region_relays(self, now: float) -> list[RelayAddress]:
        """Returns the known relays of the region."""
        return self.relays.in_region(self.settings.region, now)

    def decode_record(self, decode: Callable[[str, bytes], T], record: KeyedRecord) -> T | None:
        """Returns the decoded record, or None for a deleted key or a malformed record.

        A malformed record is counted each time, but logged only if the one before it was sound or had
        another reason: its writer may renew it each second.
        """
        if record.value is None:
            self._invalid_reasons.pop(record.key, None)
            return None
        try:
            decoded = decode(record.key, record.value)
        except PlatformError as exc:
            self._report_invalid(record.key, type(exc.__cause__).__name__, str(exc))
            return None
        self._invalid_reasons.pop(record.key, None)
        return decoded

    def _report_invalid(self, key: str, reason: str, detail: str) -> None:
        known = self._invalid_reasons.get(key)
        if known == reason or (known is None and len(self._invalid_reasons) >= _MAX_INVALID_KEYS):
            self.telemetry.count("record.invalid", reason)
            return
        self._invalid_reasons[key] = reason
        self.telemetry.event("record.invalid", key=key, reason=reason, detail=detail)

    def _apply_record(self, on_record: Callable[[KeyedRecord], None], record: KeyedRecord) -> None:
        """Applies a record; one that cannot be applied must not keep the feed from the next ones."""
        try:
            on_record(record)
        except Exception as exc:
            self._log_exception(exc)

    def _tick(self, now: float) -> None:
        if self._ticked_at is not None and now - self._ticked_at >= STOPPED_AFTER_S:
            self.telemetry.event("process.resumed", stopped_s=round(now - self._ticked_at, 3))
        self._ticked_at = now
        if self._reload_signalled or now >= self._next_settings_check_at:
            self._next_settings_check_at = now + SETTINGS_CHECK_INTERVAL_S
            self._reload()
        self.http.tick(now)
        self.metrics.tick(now)
        self.on_tick(now)
        self.telemetry.flush()

    def _stop(self) -> None:
        if not self.stopping:
            self.stopping = True
            self.telemetry.event("stopping", process=self.process_id)
            self.on_stop(self.clock.now())

    def _on_sighup(self, _number: int, _frame: Any) -> None:
        self._reload_signalled = True

    def _reload(self) -> None:
        signalled, self._reload_signalled = self._reload_signalled, False
        try:
            data = Path(self.settings_path).read_bytes()
            if data == self._settings_bytes and not signalled:
                return
            self._settings_bytes = data
            settings = load_node_settings(self.settings_path)
        except (OSError, SettingsError) as exc:
            self.telemetry.event("reload.failed", reason=type(exc).__name__, detail=str(exc))
            return
        changed = settings != self.settings
        self.settings = settings
        self.telemetry.event("reload", signalled=signalled, changed=changed)
        if changed:
            self.store.set_address(settings.store.address)
            self.on_settings()

    def _on_store_era(self, era: int) -> None:
        self.eras.observe(era, self.clock.now(), STORE_SOURCE)

    def _on_era_rise(self, previous: int, era: int, source: str) -> None:
        self.telemetry.event("store.era", **{"from": previous, "to": era}, source=source)

    def _on_source_failed(self, source: str, reason: str) -> None:
        self.telemetry.event("source.failed", source=source, reason=reason)

    def _serve_metrics(self, request: ClientRequest) -> None:
        if request.method == b"GET" and request.path == "/metrics":
            fields = [(b"Content-Type", b"text/plain; version=0.0.4")]
            request.response.send(200, fields, self.telemetry.render_metrics())
        else:
            request.response.send(404, [], b"Use GET /metrics.")

    def _log_exception(self, exc: BaseException) -> None:
        trace = traceback.format_exception(exc)
        self.telemetry.event(
            "fault", reason=type(exc).__name__, trace="".join(trace)[-_MAX_TRACE_CHARS:]
        )
