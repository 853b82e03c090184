"""The stager daemon: keeps the engine on its VM at the declared version of its model."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod

from fescuechute.catalog import (
    Configuration,
    EngineReport,
    LoadState,
    Registration,
    RemovedReplicas,
    Service,
    UpstreamState,
    VersionDeclaration,
)
from fescuechute.errors import Problem, SettingsError
from fescuechute.feeds import STORE_SOURCE, FeedSettings, KeyedRecord
from fescuechute.forwarding import ClientServer
from fescuechute.net import MAX_BODY_BYTES, LinkHub
from fescuechute.platform import (
    EngineClient,
    LoadOrderOutcome,
    OriginClient,
    Topic,
    decode_operator_record,
    decode_registration,
)
from fescuechute.relay import FirstRead, KeptQuery
from fescuechute.runtime import Process
from fescuechute.stager._chunk_transfer import (
    USABLE_LINK_SHARE,
    ChunkLocation,
    ChunkTransfer,
    sha256,
)
from fescuechute.stager._crash_relay import CrashRelay
from fescuechute.stager._load_planner import (
    LoadPlanner,
    OrderLoad,
    OrderResult,
    PlannedCommand,
    StageChunk,
    VerifyChunk,
)
from fescuechute.stager._load_reporter import LoadReporter
from fescuechute.stager._load_verification import ReadLoadedChunk, UnloadEngine
from fescuechute.stager._manifests import ManifestExchange
from fescuechute.stager._recovery import Recovery
from fescuechute.stager._versions import VersionPlan
from fescuechute.weights import ORIGIN
from fescuechute.wire import (
    ACCEPTS_MANIFESTS,
    PROTOCOL_VERSION,
    AnswerReport,
    CrashReport,
    Hello,
    Message,
    RelayOffer,
    VersionManifest,
)

#: Seconds between two ticks.
TICK_S = 0.05
#: Seconds for which a long poll for operator records waits. A store that stops responding during a
#: poll is noticed only when the poll ends, and a declared version must be in force after 8 s.
OPERATORS_LONG_POLL_S = 3.0
#: Seconds between two reads of the registry, from which the ring is computed: while the engine holds
#: no version, and otherwise. Stagers that start together must find each other before each of
#: them downloads a full copy from the origin.
REGISTRY_POLL_EMPTY_ENGINE_S = 0.4
REGISTRY_POLL_S = 3.0
#: Seconds for which a call to a relay waits for a change of the registry.
REGISTRY_WAIT_S = 1.0
#: Seconds from the start for which a stager waits for a relay before it reads from the store, and the
#: longest random time that is added. Both are longer than those of gateways, which are the relays.
FIRST_READ_WAIT_S = 2.0
FIRST_READ_SPREAD_S = 3.0
#: Seconds between two requests for the engine's report; they are cheap on the same VM.
REPORT_POLL_S = 0.1
#: Seconds between two requests to the origin for the manifest of one version.
MANIFEST_POLL_S = 0.3
#: Seconds for which a stager without the registry, and so without a place in the ring, waits for its
#: peers to send a manifest.
MANIFEST_WAIT_S = 0.8
#: Seconds between two log lines about missing chunks.
PROGRESS_LOG_INTERVAL_S = 1.0
#: Port for links between stagers, counted from the peer port of the VM.
LINK_PORT_OFFSET = 1
#: Port at which chunks are served to peers, counted from the peer port of the VM.
CHUNK_PORT_OFFSET = 2
#: Seconds for which a stopping stager keeps serving chunks to its peers.
SHUTDOWN_GRACE_S = 0.3

#: What the outcomes of the call mean to the planner.
_ORDER_RESULTS = {
    LoadOrderOutcome.STARTED: OrderResult.ACCEPTED,
    LoadOrderOutcome.DONE: OrderResult.IN_EFFECT,
    LoadOrderOutcome.CONFLICT: OrderResult.REFUSED,
    LoadOrderOutcome.REFUSED: OrderResult.FAILED,
    LoadOrderOutcome.UNKNOWN: OrderResult.UNKNOWN,
}


class StagerDaemon(Process):
    """Stages and loads the declared weights of one engine on the same VM.

    Args:
      settings_path: Path of the settings file.

    Raises:
      SettingsError: If the settings name no engine.
    """

    def __init__(self, settings_path: str):
        super().__init__("stager", settings_path, TICK_S)
        cfg = self.settings
        if cfg.engine_address is None:
            found = "The settings name no engine, which a stager requires."
            remedy = "Run it on a VM of a class that has an engine."
            raise SettingsError([Problem(settings_path, "", found, remedy)])
        self.engine = EngineClient(self.http, cfg.engine_address)
        self.origin = OriginClient(self.http)
        hello = Hello(
            PROTOCOL_VERSION,
            cfg.ip,
            "stager",
            cfg.region,
            cfg.data_centre,
            self.process_id,
            cfg.service,
            ACCEPTS_MANIFESTS,
        )
        self.hub = LinkHub(hello, self, self.clock)
        self.loop.add(self.hub)
        now = self.clock.now
        self.transfer = ChunkTransfer(
            cfg.ip,
            self.hub,
            self.http,
            cfg.peer_port + CHUNK_PORT_OFFSET,
            self.origin,
            self._locate_chunk,
            self._on_chunk_stored,
            self.loop.call_at,
            cfg.link_bits_s,
            now,
            self.telemetry,
        )
        self.chunk_server = ClientServer(
            self.clock, self.transfer.serve, self.telemetry.count, "chunks"
        )
        self.loop.add(self.chunk_server)
        self.manifests = ManifestExchange(
            self.hub, self.transfer.ring.is_successor, self._on_manifest, self.telemetry
        )
        self.versions = VersionPlan(self.transfer.store)
        self.load_planner = LoadPlanner(now)
        self.recovery = Recovery(self._read_staged_chunk, self._on_staged_chunk)
        self.load_reporter = LoadReporter(cfg.engine_address, self.datagrams.send)
        self.crash_relay = CrashRelay(self.load_reporter.counted_gateways, self.datagrams.send)
        self.operator_feed = self.make_feed(
            FeedSettings(Topic.OPERATORS, OPERATORS_LONG_POLL_S),
            self._on_operator_record,
            self._on_operator_snapshot,
            self.operator_log,
        )
        self.kept_query = KeptQuery(
            Topic.OPERATORS, self.http, self.eras, self.operator_feed.apply_kept, self.rng
        )
        self.registry_feed = self.make_feed(
            FeedSettings(Topic.REGISTRY, REGISTRY_WAIT_S, REGISTRY_POLL_S),
            self._on_registration,
            self._on_registry_snapshot,
            self.registry_log,
        )
        self._first_read = FirstRead(now(), FIRST_READ_WAIT_S, FIRST_READ_SPREAD_S, self.rng)
        self._config_version = 0
        self._services: dict[str, Service] = {}
        #: Declared versions that are not planned yet, with the offsets of their records, by model.
        self._declarations: dict[str, tuple[int, int]] = {}
        self._registrations: dict[str, Registration] = {}
        self._removed = RemovedReplicas()
        #: Whether the registry has been read.
        self._registry_known = False
        #: Latest report of the engine, or None while it does not respond.
        self._report: EngineReport | None = None
        #: What is known of the engine's weights, as logged last.
        self._load_state = LoadState.UNKNOWN
        self._next_report_at = 0.0
        self._report_in_flight = False
        #: Versions whose manifest was requested and has not arrived yet.
        self._manifests_in_flight: set[int] = set()
        #: Unix seconds at which a stopping process ends.
        self._close_at = float("inf")
        self._next_progress_at = 0.0

    def start(self) -> None:
        """Opens the ports for links and for chunks."""
        super().start()
        cfg = self.settings
        self.hub.listen(cfg.ip, cfg.peer_port + LINK_PORT_OFFSET)
        self.chunk_server.listen(cfg.ip, cfg.peer_port + CHUNK_PORT_OFFSET)

    @property
    def model(self) -> str:
        """Name of the model of the engine, empty before the configuration is known."""
        service = self._services.get(self.settings.service)
        return service.engine.model if service is not None and service.engine is not None else ""

    # Periodic work and the engine's load.

    def on_tick(self, now: float) -> None:
        """Does the work that is due."""
        self.registry_feed.set_poll_interval(
            REGISTRY_POLL_S if self.versions.loaded else REGISTRY_POLL_EMPTY_ENGINE_S
        )
        if self._may_read(now):
            self.operator_feed.tick(now)
            self.registry_feed.tick(now)
        if self.kept_query.is_asking(now):
            self.kept_query.tick(now, self.region_relays(now))
        self.hub.tick(now)
        self.chunk_server.tick(now)
        if not self._report_in_flight and now >= self._next_report_at:
            self._report_in_flight = True
            self._next_report_at = now + REPORT_POLL_S
            self.engine.fetch_report(self._on_report)
        self._request_manifests(now)
        self.manifests.share()
        self.transfer.tick()
        self._stage_and_load(now)
        self._log_progress(now)
        self._report_load(now)
        self.crash_relay.tick(now)
        if now >= self._close_at:
            self.close("stopped")

    def _may_read(self, now: float) -> bool:
        """Returns whether to read; the first read waits for relays for a time."""
        complete = self.operator_feed.complete and self.registry_feed.complete
        return complete or self._first_read.is_due(now, bool(self.region_relays(now)))

    def on_stop(self, now: float) -> None:
        """Schedules the end of the process; chunks are served until then."""
        self._close_at = now + SHUTDOWN_GRACE_S

    def on_datagram(self, sender: tuple[str, int], msg: Message) -> None:
        """Handles an offer of a relay, a report of a crash, or a subscription to load messages."""
        now = self.clock.now()
        if isinstance(msg, RelayOffer):
            self.datagrams.send((msg.ip, msg.datagram_port), self.relays.receive_offer(msg, now))
        elif isinstance(msg, CrashReport | AnswerReport):
            self.crash_relay.receive(msg, now)
        else:
            self.load_reporter.receive(msg, now)

    def _stage_and_load(self, now: float) -> None:
        target, loaded = self.versions.to_load(), self.versions.get(self.versions.loaded)
        verified = self.load_planner.verification.state is LoadState.VERIFIED
        # Only a load that may have to be replaced is looked up in the store, since each tick gets here.
        can_reload = not verified and loaded is not None and loaded.is_complete(self.transfer.store)
        commands = self.load_planner.plan(target, self._report, now, loaded, can_reload)
        self._log_load_state()
        for command in commands:
            self._execute(command)

    @singledispatchmethod
    def _execute(self, command: PlannedCommand) -> None:
        raise TypeError(f"{command!r} is no command of the load planner.")

    @_execute.register
    def _stage_chunk(self, command: StageChunk) -> None:
        data = self.transfer.store.get(command.digest)
        if data is None:
            self.load_planner.on_staged(command.index, "not held")
            return
        self.engine.stage_chunk(
            self.model, command.index, data, lambda error: self._on_staged(command.index, error)
        )

    def _on_staged(self, index: int, error: str) -> None:
        if error:
            self.telemetry.event("stage.failed", index=index, reason=error)
        self.load_planner.on_staged(index, error)
        self._stage_and_load(self.clock.now())

    @_execute.register
    def _verify_chunk(self, command: VerifyChunk) -> None:
        index = command.index

        def on_read(data: bytes | str | None) -> None:
            matches = isinstance(data, bytes) and sha256(data) == command.digest
            if not matches:
                reason = "missing" if data is None else "wrong digest"
                if isinstance(data, str):
                    reason = data
                self.telemetry.event("stage.mismatch", index=index, reason=reason)
            self.load_planner.on_verified(index, matches)
            self._stage_and_load(self.clock.now())

        max_bytes = self.transfer.max_chunk_bytes
        self.engine.fetch_staged_chunk(self.model, index, on_read, max_bytes=max_bytes)

    @_execute.register
    def _order_load(self, command: OrderLoad) -> None:
        version = command.version
        oldest_s = round(self.clock.now() - command.oldest_verified_at, 3)

        def on_outcome(outcome: LoadOrderOutcome, detail: str) -> None:
            self.telemetry.event(
                "order",
                model=self.model,
                version=version,
                reason=outcome,
                detail=detail,
                oldest_s=oldest_s,
                # The age of the oldest verification now bounds that at the acceptance.
                answered_s=round(self.clock.now() - command.oldest_verified_at, 3),
            )
            self.load_planner.on_order_ended(_ORDER_RESULTS[outcome])

        self.engine.order_load(
            self.model,
            version,
            on_outcome,
            expected_orders=command.expected_orders,
            send_deadline=command.send_deadline,
        )

    @_execute.register
    def _read_loaded_chunk(self, command: ReadLoadedChunk) -> None:
        def on_read(data: bytes | str | None) -> None:
            if isinstance(data, str):
                self.load_planner.on_read_failed(command)
                return
            self.load_planner.verification.record_read(
                command,
                None if data is None else sha256(data),
                self.versions.get(self.versions.loaded),
                frozenset(self.versions.retained_digests()),
            )
            self._stage_and_load(self.clock.now())

        max_bytes = self.transfer.max_chunk_bytes
        self.engine.fetch_staged_chunk(self.model, command.index, on_read, max_bytes=max_bytes)

    @_execute.register
    def _order_unload(self, command: UnloadEngine) -> None:
        def on_outcome(outcome: LoadOrderOutcome, detail: str) -> None:
            self.telemetry.event(
                "unload", model=self.model, version=command.version, reason=outcome, detail=detail
            )
            self.load_planner.on_unload_ended(_ORDER_RESULTS[outcome])

        self.engine.order_unload(
            self.model, command.version, on_outcome, expected_orders=command.expected_orders
        )

    def _log_load_state(self) -> None:
        state = self.load_planner.verification.state
        if state is not self._load_state:
            self._load_state = state
            version = self.versions.loaded
            self.telemetry.event("load.state", reason=state, model=self.model, version=version)

    def _log_progress(self, now: float) -> None:
        missing = self.transfer.ring.missing
        if now >= self._next_progress_at and missing:
            self._next_progress_at = now + PROGRESS_LOG_INTERVAL_S
            ring = self.transfer.ring
            self.telemetry.event(
                "version.progress",
                version=self.versions.downloading,
                missing=missing,
                from_origin=self.transfer.fetched_from_origin,
                from_peers=self.transfer.fetched_from_peers,
                announced=ring.available_by_predecessor(),
                fetching=ring.in_flight_by_source(),
            )

    # The engine's reports.

    def _on_report(self, report: EngineReport | str) -> None:
        self._report_in_flight = False
        previous = self._report
        if isinstance(report, str):
            self._report = None
            if previous is not None:
                self.telemetry.event("dependency.lost", dependency="engine", reason=report)
            return
        self._report = report
        if previous is None:
            self.telemetry.event("dependency.regained", dependency="engine", born=report.born_ms)
        loaded_versions = {model.name: model.version for model in report.models}
        version = loaded_versions.get(self.model, 0)
        if self.model and version != self.versions.loaded:
            self.telemetry.event("engine.version", model=self.model, version=version)
            self.versions.set_loaded(version)
            self._on_versions_changed()
        # The new report may show a load that no gateway may use.
        self.load_planner.verification.observe(report)
        self._report_load(self.clock.now())

    def _report_load(self, now: float) -> None:
        self.load_reporter.tick(self._report, self.load_planner.verification.state, now)

    # Chunks and manifests.

    def _on_versions_changed(self) -> None:
        """Updates everything that depends on the known versions and their manifests."""
        for version in self.versions.without_manifest():
            digests = self.manifests.get(self.model, version)
            if digests is not None:
                self.versions.set_manifest(version, digests)
        self._start_recovery()
        self.transfer.retain(self.versions.retained_digests())
        self.transfer.set_wanted(self.versions.wanted_digests())

    def _start_recovery(self) -> None:
        """Starts reading back the staged chunks once the loaded version and its manifest are known."""
        loaded = self.versions.get(self.versions.loaded)
        if self.recovery.started or loaded is None or loaded.digests is None:
            return
        self.recovery.start(range(len(loaded.digests)))

    def _read_staged_chunk(self, index: int, on_end: Callable[[bytes | None], None]) -> None:
        def on_read(data: bytes | str | None) -> None:
            on_end(data if isinstance(data, bytes) else None)

        max_bytes = self.transfer.max_chunk_bytes
        self.engine.fetch_staged_chunk(self.model, index, on_read, max_bytes=max_bytes)

    def _on_staged_chunk(self, index: int, data: bytes) -> None:
        loaded = self.versions.get(self.versions.loaded)
        if loaded is not None and loaded.digests is not None and index < len(loaded.digests):
            added = self.transfer.add(loaded.digests[index], data)
            self.telemetry.count("chunk.recovered" if added else "chunk.stale")
            if added and not self.transfer.ring.missing:
                self.transfer.set_wanted(self.versions.wanted_digests())

    def _request_manifests(self, now: float) -> None:
        origin_service = self._origin_service()
        if origin_service is None or not self.model:
            return
        wait_s = self.transfer.ring.origin_wait_s if self._registry_known else MANIFEST_WAIT_S
        for version in self.manifests.origin_requests(
            self.model, self.versions.at_origin(), wait_s, MANIFEST_POLL_S, now
        ):
            if version not in self._manifests_in_flight:
                self._manifests_in_flight.add(version)
                self._request_manifest(origin_service, version)

    def _request_manifest(self, origin_service: Service, version: int) -> None:
        assert origin_service.origin is not None
        model = self.model

        def on_response(response: tuple[bytes, ...] | str | None) -> None:
            self._manifests_in_flight.discard(version)
            if response is None:
                self.telemetry.event(
                    "manifest.failed", version=version, source=ORIGIN, reason="not kept"
                )
                self.manifests.record_not_kept(model, version)
                return
            if isinstance(response, str):
                self.telemetry.event(
                    "manifest.failed", version=version, source=ORIGIN, reason=response
                )
                return
            self.manifests.record_response(model, version, response)

        self.origin.fetch_manifest(origin_service.origin, model, version, on_response)

    def _on_manifest(self, model: str, version: int) -> None:
        digests = self.manifests.get(model, version)
        if model != self.model or digests is None:
            return
        self.versions.set_manifest(version, digests)
        self._on_versions_changed()
        self.transfer.start_fetches()

    def _origin_service(self) -> Service | None:
        services = self._services.values()
        return next((service for service in services if service.origin is not None), None)

    def _locate_chunk(self, digest: bytes) -> ChunkLocation | None:
        origin_service = self._origin_service()
        version_and_index = self.versions.locate(digest)
        if origin_service is None or origin_service.origin is None or version_and_index is None:
            return None
        return ChunkLocation(origin_service.origin, self.model, *version_and_index)

    def _on_chunk_stored(self) -> None:
        if self.transfer.ring.missing:
            return
        target = self.versions.to_load()
        if target is not None:
            self.telemetry.event("version.complete", model=self.model, version=target.version)
            self._stage_and_load(self.clock.now())
        self.transfer.set_wanted(self.versions.wanted_digests())

    # Links.

    def link_up(self, peer_id: str, hello: Hello) -> None:
        """Handles a new link to another stager."""
        self.transfer.peer_up(peer_id)
        if hello.kind == ACCEPTS_MANIFESTS:
            self.manifests.peer_up(peer_id)
        self.transfer.start_fetches()

    def link_down(self, peer_id: str, reason: str) -> None:
        """Handles the loss of a link to another stager."""
        self.telemetry.event("link.down", peer=peer_id, reason=reason)
        self.transfer.peer_down(peer_id)
        self.manifests.peer_down(peer_id)
        self.transfer.start_fetches()

    def message(self, peer_id: str, msg: Message) -> None:
        """Handles a message of another stager."""
        if isinstance(msg, VersionManifest):
            self.manifests.receive(msg, peer_id)
        else:
            self.transfer.receive(msg, peer_id)

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.telemetry.count(name)

    def _update_ring(self) -> None:
        """Recomputes the ring and keeps links to the predecessors of this stager."""
        origin_service = self._origin_service()
        connections = 1 if origin_service is None else origin_service.max_connections
        wanted = self.transfer.ring.set_order(
            self._ring_order(origin_service), connections, self._origin_chunks_per_s(origin_service)
        )
        for peer_id in self.hub.maintained_peers() - set(wanted):
            self.hub.disconnect(peer_id)
        for peer_id in wanted:
            self.hub.connect(peer_id, peer_id, self.settings.peer_port + LINK_PORT_OFFSET)

    def _ring_order(self, origin_service: Service | None) -> list[str]:
        """Returns the IPs of the stagers in ring order: by region, that of the origin first.

        Stagers that read the same registry compute the same order.
        """
        cfg = self.settings
        origin_region = (
            ""
            if origin_service is None
            else cfg.region_by_data_centre.get(origin_service.data_centre, "")
        )
        stagers = {
            (registration.data_centre, registration.address.ip)
            for registration in self._registrations.values()
            if registration.service == cfg.service and registration.state is UpstreamState.READY
        }
        ips_by_region: dict[str, list[str]] = {origin_region: []}
        for data_centre, ip in sorted(stagers | {(cfg.data_centre, cfg.ip)}):
            ips_by_region.setdefault(
                cfg.region_by_data_centre.get(data_centre, data_centre), []
            ).append(ip)
        other_regions = sorted(region for region in ips_by_region if region != origin_region)
        return [ip for region in [origin_region, *other_regions] for ip in ips_by_region[region]]

    def _max_chunk_bytes(self) -> int:
        """Returns the size of the largest chunk of the engine's model, in bytes."""
        service = self._services.get(self.settings.service)
        engine = None if service is None else service.engine
        return engine.chunk_bytes if engine is not None and engine.chunk_bytes else MAX_BODY_BYTES

    def _origin_chunks_per_s(self, origin_service: Service | None) -> float:
        """Returns the chunks per second that the link of the origin carries, infinity if unknown."""
        service = self._services.get(self.settings.service)
        engine = None if service is None else service.engine
        if origin_service is None or not origin_service.link_bits_s or engine is None:
            return float("inf")
        return origin_service.link_bits_s / 8 / max(1, engine.chunk_bytes)

    def _download_s(self) -> float:
        """Returns the estimated seconds to download one version, 0 if it cannot be estimated."""
        service = self._services.get(self.settings.service)
        link_bits_s = self.settings.link_bits_s
        if service is None or service.engine is None or not link_bits_s:
            return 0.0
        return (
            service.engine.chunks
            * service.engine.chunk_bytes
            * 8
            / (link_bits_s * USABLE_LINK_SHARE)
        )

    # Records of operators and of the registry.

    def _on_operator_record(self, record: KeyedRecord) -> None:
        decoded = self.decode_record(decode_operator_record, record)
        if isinstance(decoded, Configuration):
            if decoded.version < self._config_version:
                self.telemetry.count("config.outdated")
                return
            self._config_version, self._services = decoded.version, decoded.services
            self.versions.download_s = self._download_s()
            self.transfer.max_chunk_bytes = self._max_chunk_bytes()
            self._update_ring()
            self._plan_declared_version()
        elif isinstance(decoded, VersionDeclaration):
            known = self._declarations.get(decoded.model, (0, 0))
            self._declarations[decoded.model] = max(known, (decoded.version, record.offset))
            self._plan_declared_version()

    def _on_operator_snapshot(self, _keys: frozenset[str]) -> None:
        if self.operator_feed.delivery.source == STORE_SOURCE:
            self.kept_query.start(self.operator_feed.era, self.clock.now())

    def _plan_declared_version(self) -> None:
        """Plans the declared version of the engine's model.

        The declaration may arrive before the configuration, which names the model.
        """
        if self.model not in self._declarations:
            return
        version, offset = self._declarations.pop(self.model)
        self.telemetry.event("version.declared", model=self.model, version=version, offset=offset)
        self.versions.declare(version, self.clock.now())
        self._on_versions_changed()
        self._request_manifests(self.clock.now())

    def _on_registration(self, record: KeyedRecord) -> None:
        registration = self.decode_record(decode_registration, record)
        if registration is not None and self._is_outdated(registration):
            self.telemetry.count("registration.outdated")
            return
        previous = self._registrations.pop(record.key, None)
        if registration is not None:
            self._registrations[record.key] = registration
        elif previous is not None:
            self._removed.add(previous)
        # Each heartbeat of a replica writes a record; few of them change the ring.
        if _ring_key(previous) != _ring_key(registration):
            self._update_ring()

    def _is_outdated(self, registration: Registration) -> bool:
        """Returns whether an entry is older than the known one, or of a replica known to be gone."""
        known = self._registrations.get(registration.instance)
        if known is None:
            return self._removed.is_outdated(registration)
        return registration.is_older_than(known.born_ms, known.heartbeats)

    def _on_registry_snapshot(self, keys: frozenset[str]) -> None:
        self._registry_known = True
        for key in self._registrations.keys() - keys:
            self._removed.add(self._registrations.pop(key))
        self._update_ring()


def _ring_key(registration: Registration | None) -> tuple[object, ...] | None:
    """Returns the fields that determine the position of a replica's stager in the ring."""
    if registration is None:
        return None
    return (
        registration.service,
        registration.state,
        registration.data_centre,
        registration.address.ip,
    )
