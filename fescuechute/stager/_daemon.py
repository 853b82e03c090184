"""The stager daemon: keeps the engine on its VM at the declared version of its model."""

from __future__ import annotations

from collections.abc import Callable

from fescuechute.catalog import (
    Configuration,
    EngineReport,
    Registration,
    Service,
    UpstreamState,
    VersionDeclaration,
)
from fescuechute.errors import Problem, SettingsError
from fescuechute.feeds import FeedSettings, KeyedRecord
from fescuechute.forwarding import CallerServer
from fescuechute.net import LinkHub
from fescuechute.platform import (
    EngineClient,
    OrderAnswer,
    OriginClient,
    Topic,
    decode_operator_record,
    decode_registration,
)
from fescuechute.runtime import Process
from fescuechute.stager._loader import Loader, OrderLoad, StageChunk
from fescuechute.stager._recovery import Recovery
from fescuechute.stager._reports import LoadTeller
from fescuechute.stager._sharing import LINK_SHARE, ChunkPlace, Sharing
from fescuechute.stager._versions import VersionPlan
from fescuechute.wire import PROTOCOL_VERSION, Hello, Message

#: Seconds between two ticks.
TICK_S = 0.05
#: Seconds for which a call for declarations waits. A store that goes silent meanwhile is noticed at the
#: end only, and a declared version must be in force after 8 s.
OPERATORS_WAIT_S = 3.0
#: Seconds between two reads of the registry, which names the agents of the ring: while the engine
#: is empty, and otherwise. Agents that start together must find each other before each of them
#: takes a copy from the origin.
REGISTRY_BUSY_S = 0.4
REGISTRY_EVERY_S = 3.0
#: Seconds between two questions for the engine's report; it costs nothing on the same VM.
REPORT_EVERY_S = 0.1
#: Seconds between two attempts to get a manifest.
MANIFEST_EVERY_S = 0.3
#: Seconds between two lines about chunks that are still missing.
PROGRESS_EVERY_S = 1.0
#: Offset of the port for links between agents from the first port between processes.
LINK_PORT_OFFSET = 1
#: Offset of the port at which chunks are given.
CHUNK_PORT_OFFSET = 2
#: Seconds for which a stopping agent goes on giving chunks to others.
LINGER_S = 0.3


class StagerDaemon(Process):
    """Runs beside one engine."""

    def __init__(self, settings_path: str):
        super().__init__("stager", settings_path, TICK_S)
        cfg = self.settings
        if cfg.engine is None:
            found = "A stager needs the address of its engine."
            remedy = "Run it on a VM of the class that has them."
            raise SettingsError([Problem(settings_path, "", found, remedy)])
        self.engine = EngineClient(self.http, cfg.engine)
        self.origin = OriginClient(self.http)
        hello = Hello(
            PROTOCOL_VERSION,
            cfg.ip,
            "stager",
            cfg.region,
            cfg.data_centre,
            self.process_id,
            cfg.service,
        )
        self.hub = LinkHub(hello, self, self.clock)
        self.loop.add(self.hub)
        now = self.clock.now
        self.sharing = Sharing(
            cfg.ip,
            self.hub,
            self.http,
            cfg.peer_port + CHUNK_PORT_OFFSET,
            self.origin,
            self._place_of,
            self._chunk_arrived,
            self.loop.call_at,
            cfg.link_bits_s,
            now,
            self.telemetry,
        )
        self.chunks = CallerServer(self.clock, self.sharing.serve, self.telemetry.count, "chunks")
        self.loop.add(self.chunks)
        self.versions = VersionPlan(self.sharing.store)
        self.loader = Loader(now)
        self.recovery = Recovery(self._read_staged, self._found_staged)
        self.teller = LoadTeller(cfg.engine, self.datagrams.send)
        self.operators = self.feed(
            FeedSettings(Topic.OPERATORS, OPERATORS_WAIT_S), self._on_operator, lambda _keys: None
        )
        self.registry = self.feed(
            FeedSettings(Topic.REGISTRY, 0.0, REGISTRY_EVERY_S),
            self._on_registration,
            self._on_registry,
        )
        self._services: dict[str, Service] = {}
        self._entries: dict[str, Registration] = {}
        self._report: EngineReport | None = None
        self._report_at = 0.0
        self._report_asked = False
        self._manifest_at = 0.0
        self._manifests_asked: set[int] = set()
        self._close_at = float("inf")
        self._progress_at = 0.0

    def start(self) -> None:
        """Opens the links."""
        super().start()
        cfg = self.settings
        self.hub.listen(cfg.ip, cfg.peer_port + LINK_PORT_OFFSET)
        self.chunks.listen(cfg.ip, cfg.peer_port + CHUNK_PORT_OFFSET)

    @property
    def model(self) -> str:
        """Name of the model of the engine, empty before the configuration is known."""
        service = self._services.get(self.settings.service)
        return service.engine.model if service is not None and service.engine is not None else ""

    # Systems.

    def on_tick(self, now: float) -> None:
        """Runs the systems of the stager."""
        self.operators.tick(now)
        self.registry.set_pace(REGISTRY_EVERY_S if self.versions.loaded else REGISTRY_BUSY_S)
        self.registry.tick(now)
        self.hub.tick(now)
        self.chunks.tick(now)
        if not self._report_asked and now >= self._report_at:
            self._report_asked = True
            self._report_at = now + REPORT_EVERY_S
            self.engine.report(self._on_report)
        self._ask_manifests(now)
        self.sharing.tick()
        self._load(now)
        self._tell_progress(now)
        self.teller.tick(self._report, now)
        if now >= self._close_at:
            self.close("stopped")

    def on_stop(self, now: float) -> None:
        """Gives chunks for a moment more, then ends."""
        self._close_at = now + LINGER_S

    def on_datagram(self, sender: tuple[str, int], msg: Message) -> None:
        """Takes greetings of gateways."""
        self.teller.receive(msg, self.clock.now())

    def _load(self, now: float) -> None:
        target = self.versions.to_load()
        for command in self.loader.plan(target, self._report, now):
            if isinstance(command, StageChunk):
                self._stage(command)
            else:
                self._order(command)

    def _stage(self, command: StageChunk) -> None:
        data = self.sharing.store.get(command.digest)
        if data is None:
            self.loader.staged(command.index, "not held")
            return
        self.engine.stage(
            self.model, command.index, data, lambda error: self._staged(command.index, error)
        )

    def _staged(self, index: int, error: str) -> None:
        if error:
            self.telemetry.event("stage.failed", index=index, reason=error)
        self.loader.staged(index, error)
        self._load(self.clock.now())

    def _order(self, command: OrderLoad) -> None:
        version = command.version

        def ended(answer: OrderAnswer, detail: str) -> None:
            self.telemetry.event(
                "order", model=self.model, version=version, reason=answer, detail=detail
            )
            accepted = answer in (OrderAnswer.BEGUN, OrderAnswer.DONE, OrderAnswer.UNKNOWN)
            self.loader.ordered(accepted)

        self.engine.load(self.model, version, ended)

    def _tell_progress(self, now: float) -> None:
        missing = self.sharing.ring.missing
        if now >= self._progress_at and missing:
            self._progress_at = now + PROGRESS_EVERY_S
            ring = self.sharing.ring
            self.telemetry.event(
                "version.progress",
                missing=missing,
                announced=ring.sources(),
                fetching=ring.fetching(),
            )

    # The engine.

    def _on_report(self, report: EngineReport | str) -> None:
        self._report_asked = False
        before = self._report
        if isinstance(report, str):
            self._report = None
            if before is not None:
                self.telemetry.event("dependency.lost", dependency="engine", reason=report)
            return
        self._report = report
        if before is None:
            self.telemetry.event("dependency.regained", dependency="engine", born=report.born_ms)
        held = {model.name: model.version for model in report.models}
        version = held.get(self.model, 0)
        if self.model and version != self.versions.loaded:
            self.telemetry.event("engine.version", model=self.model, version=version)
            self.versions.set_loaded(version)
            self._want()
        self.teller.tick(report, self.clock.now())

    # Chunks.

    def _want(self) -> None:
        if self.versions.unknown():
            self._manifest_at = 0.0
        self._recover()
        self.sharing.keep(self.versions.kept())
        self.sharing.want(self.versions.wanted())

    def _recover(self) -> None:
        """Reads back what the engine has staged, once its version and manifest are known."""
        row = self.versions.row(self.versions.loaded)
        if self.recovery.started or row is None or row.digests is None:
            return
        self.recovery.start(range(len(row.digests)))

    def _read_staged(self, index: int, on_end: Callable[[bytes | None], None]) -> None:
        self.engine.staged(self.model, index, on_end)

    def _found_staged(self, index: int, data: bytes) -> None:
        row = self.versions.row(self.versions.loaded)
        if row is not None and row.digests is not None and index < len(row.digests):
            kept = self.sharing.add(row.digests[index], data)
            self.telemetry.count("chunk.recovered" if kept else "chunk.stale")

    def _ask_manifests(self, now: float) -> None:
        place = self._origin_service()
        if now < self._manifest_at or place is None or not self.model:
            return
        self._manifest_at = now + MANIFEST_EVERY_S
        for version in self.versions.unknown():
            if version not in self._manifests_asked:
                self._manifests_asked.add(version)
                self._ask_manifest(place, version)

    def _ask_manifest(self, origin: Service, version: int) -> None:
        assert origin.origin is not None

        def ended(answer: tuple[bytes, ...] | str) -> None:
            self._manifests_asked.discard(version)
            if isinstance(answer, str):
                self.telemetry.event("manifest.failed", version=version, reason=answer)
                return
            self.telemetry.event("manifest", model=self.model, version=version, chunks=len(answer))
            self.versions.set_manifest(version, answer)
            self._want()
            self.sharing.run()

        self.origin.manifest(origin.origin, self.model, version, ended)

    def _origin_service(self) -> Service | None:
        services = self._services.values()
        return next((service for service in services if service.origin is not None), None)

    def _place_of(self, digest: bytes) -> ChunkPlace | None:
        origin = self._origin_service()
        place = self.versions.place(digest)
        if origin is None or origin.origin is None or place is None:
            return None
        return ChunkPlace(origin.origin, self.model, *place)

    def _chunk_arrived(self) -> None:
        if self.sharing.ring.missing:
            return
        row = self.versions.to_load()
        if row is not None:
            self.telemetry.event("version.complete", model=self.model, version=row.version)
            self._load(self.clock.now())
        self.sharing.want(self.versions.wanted())

    # Links.

    def link_up(self, peer_id: str, hello: Hello) -> None:
        """A link to another agent is usable."""
        self.sharing.peer_up(peer_id)
        self.sharing.run()

    def link_down(self, peer_id: str, reason: str) -> None:
        """A link is gone."""
        self.telemetry.event("link.down", peer=peer_id, reason=reason)
        self.sharing.peer_down(peer_id)
        self.sharing.run()

    def message(self, peer_id: str, msg: Message) -> None:
        """A message of another agent arrived."""
        self.sharing.receive(msg, peer_id)

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.telemetry.count(name)

    def _connect(self) -> None:
        """Keeps links to the agents before this one."""
        origin = self._origin_service()
        connections = 1 if origin is None else origin.max_connections
        wanted = self.sharing.ring.set_order(self._agents(origin), connections)
        for peer_id in self.hub.wanted() - set(wanted):
            self.hub.disconnect(peer_id)
        for peer_id in wanted:
            self.hub.connect(peer_id, peer_id, self.settings.peer_port + LINK_PORT_OFFSET)

    def _agents(self, origin: Service | None) -> list[str]:
        """Returns the agents of the ring; all of them that read the same registry agree on it."""
        cfg = self.settings
        first = "" if origin is None else cfg.regions.get(origin.data_centre, "")
        agents = {
            (entry.data_centre, entry.address.ip)
            for entry in self._entries.values()
            if entry.service == cfg.service and entry.state is UpstreamState.READY
        }
        regions: dict[str, list[str]] = {first: []}
        for data_centre, ip in sorted(agents | {(cfg.data_centre, cfg.ip)}):
            regions.setdefault(cfg.regions.get(data_centre, data_centre), []).append(ip)
        rest = sorted(region for region in regions if region != first)
        return [ip for region in [first, *rest] for ip in regions[region]]

    def _copy_s(self) -> float:
        """Returns the seconds in which a copy of the weights arrives, 0 while that is unknown."""
        service = self._services.get(self.settings.service)
        link_bits_s = self.settings.link_bits_s
        if service is None or service.engine is None or not link_bits_s:
            return 0.0
        return service.engine.chunks * service.engine.chunk_bytes * 8 / (link_bits_s * LINK_SHARE)

    # Records.

    def _on_operator(self, record: KeyedRecord) -> None:
        decoded = self.decoded(decode_operator_record, record)
        if isinstance(decoded, Configuration):
            self._services = decoded.services
            self.versions.copy_s = self._copy_s()
            self._connect()
        elif isinstance(decoded, VersionDeclaration) and decoded.model == self.model:
            self.telemetry.event(
                "version.declared",
                model=decoded.model,
                version=decoded.version,
                offset=record.offset,
            )
            self.versions.declare(decoded.version, self.clock.now())
            self._want()
            self._ask_manifests(self.clock.now())

    def _on_registration(self, record: KeyedRecord) -> None:
        before = self._entries.pop(record.key, None)
        entry = self.decoded(decode_registration, record)
        if entry is not None:
            self._entries[record.key] = entry
        # Replicas write each heartbeat; the ring changes only with their places and states.
        if _place(before) != _place(entry):
            self._connect()

    def _on_registry(self, keys: frozenset[str]) -> None:
        for key in self._entries.keys() - keys:
            del self._entries[key]
        self._connect()


def _place(entry: Registration | None) -> tuple[object, ...] | None:
    """Returns what decides the place of a replica's agent in the ring."""
    if entry is None:
        return None
    return (entry.service, entry.state, entry.data_centre, entry.address.ip)
