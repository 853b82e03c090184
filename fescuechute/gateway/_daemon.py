"""The gateway daemon: accepts requests from clients and forwards them to replicas."""

from __future__ import annotations

import math

from fescuechute.catalog import Configuration, Evacuation, VersionDeclaration
from fescuechute.errors import Problem, Reason, SettingsError, refusal
from fescuechute.feeds import STORE_SOURCE, DatedBy, FeedSettings, KeyedRecord
from fescuechute.forwarding import (
    ClientRequest,
    ClientServer,
    MemoryAccount,
    ResponseBuffers,
    UpstreamClient,
    header,
)
from fescuechute.gateway._access import AccessControl, Denied
from fescuechute.gateway._choice import Chooser
from fescuechute.gateway._cold import ColdStart
from fescuechute.gateway._crash_monitor import CrashMonitor
from fescuechute.gateway._dispatch import Dispatcher
from fescuechute.gateway._drain import Drain
from fescuechute.gateway._evacuations import EvacuationTable
from fescuechute.gateway._loads import LoadListener
from fescuechute.gateway._subset import SubsetSelector
from fescuechute.gateway._transfer import Transfer
from fescuechute.gateway._upstreams import REREGISTRATION_WINDOW_S, UpstreamRow, UpstreamTable
from fescuechute.gateway._versions import VersionTable
from fescuechute.platform import (
    READY_PATH,
    Topic,
    decode_operator_record,
    decode_registration,
    decode_request,
    evacuated_data_centre,
    is_operator_record,
    is_version_declaration,
    operator_record_rank,
)
from fescuechute.relay import (
    DateQuery,
    FirstRead,
    KeptQuery,
    RelayAddress,
    RelayAnnouncer,
    RelayRouter,
    RelayServer,
)
from fescuechute.runtime import REGISTRY_INTERVAL_S, Process
from fescuechute.wire import AnswerReport, CrashReport, Message, RelayOffer, Relays

#: Seconds between ticks; the resolution of deadlines.
TICK_S = 0.02
#: Seconds for which a long poll of the operators' records waits. Keys are accepted for 5 s after
#: the last successful poll was sent, so a single lost poll must not use up that time.
OPERATORS_LONG_POLL_S = 1.5
#: Seconds for which a call to a relay waits for a change of the registry, and from the start of one
#: call to the next. Readers call the store each `REGISTRY_INTERVAL_S`.
REGISTRY_WAIT_S = 1.0
REGISTRY_FOLLOW_INTERVAL_S = 0.2
#: Seconds from the start for which the first read of the operators' records waits for a relay, and the
#: longest random time that is added.
FIRST_READ_WAIT_S = 0.5
FIRST_READ_SPREAD_S = 1.0
#: Seconds for which a gateway that starts by a copy of the store waits until a relay has told what it
#: keeps.
KEPT_WAIT_S = 1.0
#: Port at which the operators' records are passed on, counted from the peer port of the VM.
RELAY_PORT_OFFSET = 3
#: Share of the memory of the process that incomplete responses may take.
RESPONSE_MEMORY_SHARE = 0.125
#: Share that is held for peers in all, such as bodies of requests and responses.
HELD_MEMORY_SHARE = 0.375
#: Share of the sockets of the process that clients may take; replicas and listeners need the others.
CLIENT_SOCKET_SHARE = 0.75
#: Limit on connections to the address for readiness checks.
MAX_CHECK_CONNECTIONS = 64
#: Memory of the process in bytes if the settings name none.
DEFAULT_MEMORY_BYTES = 256 << 20
#: Share of the age that is allowed to keys for which a return of the store does not confirm them.
SETTLING_SHARE = 0.2


class GatewayDaemon(Process):
    """Forwards the requests of clients on one VM."""

    def __init__(self, settings_path: str):
        super().__init__("gateway", settings_path, TICK_S)
        cfg = self.settings
        if cfg.client_address is None or cfg.readiness_address is None:
            found = "A gateway needs addresses for clients and for readiness checks."
            remedy = "Run it on a VM of a class that has both addresses."
            raise SettingsError([Problem(settings_path, "", found, remedy)])
        now = self.clock.now
        count = self.telemetry.count
        self.access = AccessControl(cfg.service_levels.revoke_s)
        self.upstreams = UpstreamTable(cfg.region_by_data_centre)
        self.versions = VersionTable(cfg.service_levels.version_switch_s)
        self.evacuations = EvacuationTable()
        self.upstream_client = UpstreamClient(self.clock)
        memory_bytes = cfg.max_memory_bytes or DEFAULT_MEMORY_BYTES
        self.memory = MemoryAccount(int(HELD_MEMORY_SHARE * memory_bytes))
        self.callers = ClientServer(
            self.clock,
            self._handle,
            count,
            account=self.memory,
            max_connections=max(1, int(CLIENT_SOCKET_SHARE * cfg.max_sockets)),
            limits_output=True,
        )
        self.readiness = ClientServer(
            self.clock,
            self._handle_readiness,
            count,
            "readiness",
            self.memory,
            MAX_CHECK_CONNECTIONS,
        )
        for owner in (self.upstream_client, self.callers, self.readiness):
            self.loop.add(owner)
        subsets = SubsetSelector(self.process_id, cfg.region, self.upstreams, self.evacuations)
        self._subsets = subsets
        self.load_listener = LoadListener(
            self.process_id, cfg.ip, cfg.peer_port, self.upstreams, subsets, self.datagrams.send
        )
        self.cold_start = ColdStart(
            self.process_id,
            cfg.region,
            cfg.service_levels,
            lambda: self.load_listener.reported_gateway_count(now()),
            lambda: self._region_gateway_count(now()),
            self.evacuations.ended_at,
            started_at=now(),
            on_cold=self._on_cold,
            on_held_back=lambda: count("cold.held_back"),
        )
        self.chooser = Chooser(
            subsets,
            self.versions,
            cfg.data_centre,
            cfg.region,
            self._gateway_count,
            self.rng,
            self.cold_start,
        )
        self.crashes = CrashMonitor(
            self.upstream_client.check_refused,
            lambda row: self.upstreams.get(row.instance) is row,
            lambda: [(ip, cfg.peer_port) for ip in self.load_listener.counting_stagers],
            self.datagrams.send,
            self._gateway_count,
            now,
            self.rng,
            self.telemetry,
        )
        self.dispatcher = Dispatcher(
            self.upstream_client,
            self.upstreams,
            self.chooser,
            cfg.service_levels,
            self.telemetry,
            self._gateway_count,
            now,
            self.rng,
            ResponseBuffers(int(RESPONSE_MEMORY_SHARE * memory_bytes), self.memory),
            self.crashes,
            self.access.regions,
        )
        self.operator_log.relaying = True
        self.relay_server = RelayServer(
            Topic.OPERATORS,
            self.operator_log,
            now,
            count,
            self._superseded_ttl_s,
            operator_record_rank,
        )
        self.registry_log.relaying = True
        self.registry_relay = RelayServer(Topic.REGISTRY, self.registry_log, now, count)
        self.relay_router = RelayRouter(
            {Topic.OPERATORS: self.relay_server, Topic.REGISTRY: self.registry_relay}
        )
        self.relay_listener = ClientServer(
            self.clock, self.relay_router.handle, count, "relay", self.memory
        )
        self.loop.add(self.relay_listener)
        self._relay_address = RelayAddress(
            self.process_id, cfg.ip, cfg.peer_port + RELAY_PORT_OFFSET
        )
        self.relay_announcer = RelayAnnouncer(
            RelayOffer(
                self.process_id, cfg.ip, self._relay_address.port, cfg.region, cfg.peer_port
            ),
            self.datagrams.send,
        )
        self.operator_feed = self.make_feed(
            FeedSettings(
                Topic.OPERATORS,
                OPERATORS_LONG_POLL_S,
                settle_s=_settle_s(cfg.service_levels.revoke_s),
            ),
            self._on_operator_record,
            self._on_operator_snapshot,
            self.operator_log,
        )
        self.registry_feed = self.make_feed(
            FeedSettings(Topic.REGISTRY, REGISTRY_WAIT_S, REGISTRY_INTERVAL_S),
            self._on_registration,
            self._on_registry_snapshot,
            self.registry_log,
        )
        self.date_query = DateQuery(Topic.OPERATORS, self.http, self._on_record_date)
        self.kept_query = KeptQuery(
            Topic.OPERATORS, self.http, self.eras, self.operator_feed.apply_kept, self.rng
        )
        #: Unix seconds until which relays are asked for dates, None before the first complete read.
        self._dates_wanted_until: float | None = None
        self._first_read = FirstRead(now(), FIRST_READ_WAIT_S, FIRST_READ_SPREAD_S, self.rng)
        #: Whether any replica was ever known; the registry may be read before replicas are in it.
        self._has_known_replicas = False
        self._planned_stop = Drain()
        self._was_ready = False
        #: Whether all records of the operators were read once; evacuations follow the configuration.
        self._has_read_operators = False
        #: Unix seconds until which a gateway that has started waits for what the relays keep.
        self._kept_wanted_until = float("-inf")
        #: Whether this gateway reads from the store, and the number of relays known in its region.
        self._relay_role = (False, 0)

    def start(self) -> None:
        """Opens the listeners."""
        super().start()
        client_address, readiness_address = (
            self.settings.client_address,
            self.settings.readiness_address,
        )
        assert client_address is not None and readiness_address is not None
        self.callers.listen(client_address.ip, client_address.port)
        self.readiness.listen(readiness_address.ip, readiness_address.port)
        self.relay_listener.listen(self._relay_address.ip, self._relay_address.port)
        self.relay_server.start(self.operator_feed)
        self.registry_relay.start(self.registry_feed)

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send clients to this gateway."""
        informed = self._is_informed(self.clock.now()) and self.access.table is not None
        informed = informed and self._has_known_replicas
        return informed and self.registry_feed.has_read and not self.stopping

    # Callbacks of the process.

    def on_tick(self, now: float) -> None:
        """Advances the feeds, connections, transfers and a drain in progress."""
        if self._may_read_operators(now):
            self.operator_feed.tick(now)
        self.registry_feed.set_poll_interval(
            REGISTRY_INTERVAL_S
            if self.source_selector.is_reader(now)
            else REGISTRY_FOLLOW_INTERVAL_S
        )
        self.registry_feed.tick(now)
        self._ask_for_dates(now)
        self._keep_records(now)
        for row in self.upstreams.expire(now, self.registry_feed.confirmed_at):
            self._on_upstream_gone(row.instance, "lapsed")
        self._relay_records(now)
        self.load_listener.tick(now)
        self.upstream_client.tick(now)
        self.callers.tick(now)
        self.readiness.tick(now)
        self.cold_start.tick(now)
        self.dispatcher.tick(now)
        if self.ready is not self._was_ready:
            self._was_ready = self.ready
            self.telemetry.event("ready" if self.ready else "not_ready")
        if self.stopping:
            self._drain(now)

    def on_stop(self, now: float) -> None:
        """Starts to drain; new connections are accepted until the load balancer has noticed."""
        self._planned_stop = Drain.start(now, self.settings.service_levels.grace_s)
        self.callers.draining = True
        self.operator_log.relaying = self.registry_log.relaying = False
        self.relay_router.close()

    def on_settings(self) -> None:
        """Applies a changed `revoke_s` and `version_switch_s`."""
        service_levels = self.settings.service_levels
        self.access.max_configuration_age_s = service_levels.revoke_s
        self.versions.bound_s = service_levels.version_switch_s
        self.operator_feed.set_settling(_settle_s(service_levels.revoke_s))

    def on_datagram(self, sender: tuple[str, int], msg: Message) -> None:
        """Records the relays of the region; passes on reports of crashes and of loads."""
        now = self.clock.now()
        if isinstance(msg, Relays):
            for process_id, ip, port in msg.known:
                self.relays.add(self.settings.region, RelayAddress(process_id, ip, port), now)
        elif isinstance(msg, CrashReport | AnswerReport):
            self.crashes.receive(msg)
        else:
            self.load_listener.receive(sender, msg, now)

    def region_relays(self, now: float) -> list[RelayAddress]:
        """Returns the known relays of the region, including this gateway unless it is stopping."""
        own = self._relay_address
        # The process before a restart of this one was at the same address.
        others = [
            relay
            for relay in super().region_relays(now)
            if (relay.ip, relay.port) != (own.ip, own.port)
        ]
        return others if self.stopping else [*others, self._relay_address]

    def _relay_records(self, now: float) -> None:
        """Answers other processes of the region, and offers to do so."""
        self.relay_listener.tick(now)
        self.relay_router.tick(now)
        if self.stopping or not self.relay_announcer.is_due(now):
            return
        role = (self.source_selector.is_reader(now), len(self.region_relays(now)))
        if role != self._relay_role:
            self._relay_role = role
            self.telemetry.event("relay.role", reader=role[0], relays=role[1])
        stager_ips = {row.entry.address.ip for row in self.upstreams if self._has_near_stager(row)}
        if not self.operator_feed.complete:
            self.relay_announcer.ask(now, stager_ips)
        else:
            self.relay_announcer.announce(
                now,
                stager_ips,
                is_reader=self.source_selector.is_reader(now),
                is_current=self.relay_router.is_current(now),
            )

    def _has_near_stager(self, row: UpstreamRow) -> bool:
        """Returns whether a replica is an engine of the region; one without weights has a stager too."""
        table = self.access.table
        service = None if table is None else table.service(row.entry.service)
        is_engine = bool(row.entry.models) or (service is not None and service.engine is not None)
        return is_engine and row.region == self.settings.region

    def _offer_relay(self, row: UpstreamRow, now: float) -> None:
        """Offers this gateway as a relay to the stager of a new engine, which waits for one."""
        is_current = self.source_selector.is_reader(now) and self.relay_router.is_current(now)
        if is_current and not self.stopping and self._has_near_stager(row):
            self.relay_announcer.offer_to(row.entry.address.ip)

    def _ask_for_dates(self, now: float) -> None:
        """Asks the relays for dates that the store did not tell, until all bounds have passed anyway."""
        if not self.operator_feed.complete:
            return
        if self._dates_wanted_until is None:
            self._dates_wanted_until = now + self.versions.bound_s
        if now < self._dates_wanted_until and self.versions.any_undated(now):
            self.date_query.tick(now, self._other_relays(now))

    def _other_relays(self, now: float) -> list[RelayAddress]:
        return [relay for relay in self.region_relays(now) if relay != self._relay_address]

    def _ask_for_kept(self, era: int) -> None:
        """Asks the relays for what a copy lacks; a gateway that starts serves by it only after that."""
        now = self.clock.now()
        if self._has_read_operators:
            self.kept_query.start(era, now)
            return
        self.kept_query.start(era, now, spread_s=0.0)
        if era and self._other_relays(now):
            self._kept_wanted_until = now + KEPT_WAIT_S

    def _is_informed(self, now: float) -> bool:
        """Returns whether the operators' records have been read, and what a relay keeps if one is known."""
        waits = now < self._kept_wanted_until and not self.kept_query.has_answer
        return self._has_read_operators and not waits

    def _keep_records(self, now: float) -> None:
        """Asks the relays for what the store has lost; ends what was not written again in time."""
        if self.kept_query.is_asking(now):
            self.kept_query.tick(now, self._other_relays(now))
        feed = self.operator_feed
        if feed.complete and now >= self.eras.kept_until:
            for data_centre in self.evacuations.expire(feed.era, now):
                self._on_evacuation(data_centre, "lapsed", None)

    def _may_read_operators(self, now: float) -> bool:
        """Returns whether to read the operators' records; the first read waits for relays for a time.

        Processes that restart together would otherwise fill the link to the store with snapshots.
        """
        has_relays = len(self.region_relays(now)) > 1
        return self.operator_feed.complete or self._first_read.is_due(now, has_relays)

    def _gateway_count(self) -> int:
        return self.load_listener.gateway_count(self.clock.now())

    def _region_gateway_count(self, now: float) -> int:
        """Returns the number of gateways in the region, including this one.

        It is at least an even part of all: the relays become known one after the other.
        """
        regions = max(1, len(set(self.settings.region_by_data_centre.values())))
        part = math.ceil(self.load_listener.reported_gateway_count(now) / regions)
        return max(len(self.region_relays(now)), part)

    def _drain(self, now: float) -> None:
        stop = self._planned_stop
        if now < min(stop.accept_until, stop.finish_deadline):
            return
        self.callers.stop_listening()
        # A request that arrives on a keep-alive connection from now on might not finish in the
        # grace period.
        self.callers.close_idle()
        if now >= stop.finish_deadline:
            if self.dispatcher.active_transfers:
                cut = self.dispatcher.active_transfers
                self.telemetry.event("drain.cut", requests=cut)
            self.dispatcher.stop()
            self.callers.reject_incomplete("The gateway stops; send the request again.")
        if self.callers.open_connections == 0:
            self.close("drained")
        elif now >= stop.close_deadline:
            self.close("grace is over")

    # Requests.

    def _handle(self, request: ClientRequest) -> None:
        now = self.clock.now()
        meta = decode_request(request.headers)
        if now >= self._planned_stop.accept_until:
            self._deny(request, meta.request_id, Denied(Reason.NOT_READY, "stopping"), now)
            return
        if not self._is_informed(now):
            denied = Denied(Reason.NOT_READY, "operators' records not read yet")
            self._deny(request, meta.request_id, denied, now)
            return
        host = (header(request.headers, b"host") or b"").decode("latin-1").partition(":")[0]
        decision = self.access.authorize(
            host, request.path, meta, self.operator_feed.confirmed_at, now
        )
        if isinstance(decision, Denied):
            self._deny(request, meta.request_id, decision, now)
            return
        if not self._planned_stop.can_finish(decision.route, meta.client_timeout_s, now):
            denied = Denied(Reason.DRAINING, "stopping", decision.route)
            self._deny(request, meta.request_id, denied, now)
            return
        table = self.access.table
        service = table.service(decision.service) if table is not None else None
        if service is None:
            self._deny(request, meta.request_id, Denied(Reason.NOT_FOUND, "no service"), now)
            return
        self.dispatcher.start(Transfer(request, meta, decision, service, self.dispatcher))

    def _deny(self, request: ClientRequest, request_id: str, denied: Denied, now: float) -> None:
        status = refusal(denied.reason).status
        route = denied.route
        confirmed_at = self.operator_feed.confirmed_at
        table = self.access.table
        self.telemetry.event(
            "request",
            id=request_id,
            route=None if route is None else route.name,
            target_ms=None if route is None else round(route.target_latency_s * 1000),
            status=status,
            reason=denied.reason,
            detail=denied.detail,
            path=request.path,
            cfg=table.configuration.version if table is not None else None,
            cfg_age_ms=None if confirmed_at is None else round((now - confirmed_at) * 1000),
        )
        fields = [(b"Retry-After", b"1")] if status == 503 else []
        request.response.send(status, fields, denied.detail.encode())

    def _handle_readiness(self, request: ClientRequest) -> None:
        status = 200 if self.ready else 503
        request.response.send(status if request.path == READY_PATH else 404, [], b"")

    # Records.

    def _superseded_ttl_s(self, key: str) -> float:
        # The bound of a superseded declaration ends before that of the newer one.
        return self.settings.service_levels.version_switch_s if is_version_declaration(key) else 0.0

    def _on_operator_record(self, record: KeyedRecord) -> None:
        decoded = self.decode_record(decode_operator_record, record)
        malformed = decoded is None and record.value is not None and is_operator_record(record.key)
        # After a malformed record the one before it holds, also at processes that start later.
        if not malformed:
            self.relay_server.add(record)
        if isinstance(decoded, Configuration):
            self._apply_configuration(decoded, record.offset)
        elif isinstance(decoded, VersionDeclaration):
            self._apply_version_declaration(decoded, record.offset)
        elif isinstance(decoded, Evacuation):
            now, source = self.clock.now(), self.operator_feed.delivery.source
            if self.evacuations.start(decoded.data_centre, record.offset, now, source, record.era):
                self._on_evacuation(decoded.data_centre, "started", record.offset)
        elif record.value is None:
            data_centre = evacuated_data_centre(record.key)
            if data_centre is not None and self.evacuations.end(
                data_centre, record.offset, self.clock.now(), record.era
            ):
                self._on_evacuation(data_centre, "ended", record.offset)

    def _on_operator_snapshot(self, keys: frozenset[str]) -> None:
        end, era = self.operator_feed.next_offset or 0, self.operator_feed.era
        for key in self.relay_server.retain(keys):
            self.telemetry.event("record.kept", key=key, era=era)
        if self.operator_feed.delivery.source == STORE_SOURCE:
            self._ask_for_kept(era)
        self._has_read_operators = True
        names = [name for name in map(evacuated_data_centre, keys) if name is not None]
        for data_centre in self.evacuations.retain(names, end, self.clock.now(), era):
            self._on_evacuation(data_centre, "ended", end - 1)

    def _on_evacuation(self, data_centre: str, change: str, offset: int | None) -> None:
        """Places requests anew that have not been sent, and greets the engines that are near now."""
        appended_at = self.operator_feed.earliest_appended_at
        self.telemetry.event(
            "evacuation",
            reason=change,
            data_centre=data_centre,
            offset=offset,
            source=self.operator_feed.delivery.source,
            # An upper bound; unknown for a record of the first snapshot.
            age_ms=None if appended_at is None else round((self.clock.now() - appended_at) * 1000),
            replicas=sum(row.entry.data_centre == data_centre for row in self.upstreams),
        )
        self.telemetry.gauge("evacuated_data_centres", len(self.evacuations.evacuated))
        self.load_listener.greet_all_soon()
        self.dispatcher.place_unsent()

    def _apply_configuration(self, configuration: Configuration, offset: int) -> None:
        if self.access.apply(configuration):
            self.callers.limits = configuration.limits
            self.chooser.home_regions = self.access.home_regions
            self._subsets.forget_regions()
            self.dispatcher.place_unsent()
            self.telemetry.event(
                "configuration",
                version=configuration.version,
                offset=offset,
                routes=len(configuration.routes),
                services=len(configuration.services),
                source=self.operator_feed.delivery.source,
                size=self.operator_feed.delivery.size,
                transfer_ms=round(self.operator_feed.delivery.transfer_s * 1000),
            )

    def _apply_version_declaration(self, declared: VersionDeclaration, offset: int) -> None:
        # A declaration of unknown date binds at once. Its bound may have passed, and a request that is
        # sent to an older version now may be delayed on its way.
        unknown = float("-inf")
        earliest_declared_at = self.operator_feed.earliest_appended_at
        earliest_omitted_at = self.operator_feed.earliest_omitted_at
        added = self.versions.declare(
            declared.model,
            declared.version,
            unknown if earliest_declared_at is None else earliest_declared_at,
            unknown if earliest_omitted_at is None else earliest_omitted_at,
        )
        bound_s = self.settings.service_levels.version_switch_s
        for item in added:
            binding_in_s = 0.0
            if item.earliest_declared_at > unknown:
                binding_in_s = item.earliest_declared_at + bound_s - self.clock.now()
            self.telemetry.event(
                "version.declared",
                model=declared.model,
                version=item.version,
                offset=offset,
                binding_in_ms=round(binding_in_s * 1000),
                dated_by=self.operator_feed.dated_by,
                source=self.operator_feed.delivery.source,
                # Not declared as far as known, but possibly superseded by this version.
                implied_by=None if item.version == declared.version else declared.version,
            )

    def _on_record_date(self, record: KeyedRecord, appended_after: float) -> None:
        if record.value is None or not is_version_declaration(record.key):
            return
        declared = self.decode_record(decode_operator_record, record)
        if not isinstance(declared, VersionDeclaration):
            return
        if self.versions.postpone(declared.model, declared.version, appended_after):
            binding_at = appended_after + self.versions.bound_s
            self.telemetry.event(
                "version.dated",
                model=declared.model,
                version=declared.version,
                binding_in_ms=round((binding_at - self.clock.now()) * 1000),
                dated_by=DatedBy.SOURCE,
            )

    def _on_registration(self, record: KeyedRecord) -> None:
        entry = self.decode_record(decode_registration, record)
        if entry is None:
            if record.value is not None:
                self.telemetry.count("registration.invalid")
            self.registry_relay.add(record)
            self._on_entry_removed(record.key)
            return
        self._has_known_replicas = True
        row = self.upstreams.get(entry.instance)
        if self.upstreams.is_outdated(entry):
            self.telemetry.count("registration.outdated")
            if row is not None and entry == row.entry:
                # The copy of the store lists it, so it need not register again in time.
                row.expires_at = None
                self._relay_registration(record, row)
            return
        previous = row.entry if row is not None else None
        now = self.clock.now()
        # Heartbeats that change nothing are passed on only for a short time: a follower that has removed
        # the replica takes the first one that is newer than the entries it knew.
        is_relayed = (
            row is None
            or entry != row.entry
            or row.changes_cold(entry, now)
            or row.expires_at is not None
            or row.is_recent(now)
        )
        if self.upstreams.register(entry, now) or (previous and previous.state is not entry.state):
            self.telemetry.event(
                "upstream",
                upstream=entry.instance,
                service=entry.service,
                address=str(entry.address),
                state=entry.state,
                offset=record.offset,
            )
        known = self.upstreams.get(entry.instance)
        if known is not None:
            self._relay_registration(record, known, is_relayed)
        if known is not None and (previous is None or previous.address != entry.address):
            self._offer_relay(known, self.clock.now())
        if previous is None or previous.models != entry.models:
            # If it is an engine, its stager tells whether its weights were loaded whole.
            self.load_listener.greet_soon(entry.address.ip)
        if previous is not None and previous.address != entry.address:
            self.upstream_client.close_idle(entry.instance)

    def _relay_registration(
        self, record: KeyedRecord, row: UpstreamRow, is_relayed: bool = False
    ) -> None:
        """Passes an entry on to followers if they want it, or have none of the replica in its era."""
        if is_relayed or row.relayed_era < record.era:
            row.relayed_era = record.era
            self.registry_relay.add(record)

    def _on_registry_snapshot(self, keys: frozenset[str]) -> None:
        self.registry_relay.retain(keys)
        # A replica that the copy of the store lacks registers again, which readers notice at their next
        # call.
        expires_at = self.eras.risen_at + REREGISTRATION_WINDOW_S + REGISTRY_INTERVAL_S
        for row in list(self.upstreams):
            if row.instance in keys:
                continue
            if self.clock.now() >= expires_at or not self.upstreams.await_entry(row, expires_at):
                self._on_entry_removed(row.instance)

    def _on_entry_removed(self, instance: str) -> None:
        """Removes a replica without a valid entry.

        One whose entry may have expired during an outage of the store gets time to register again.
        """
        # The window starts when the store recovers; an entry that is removed after the window did
        # not expire in the outage.
        reregister_by = self.registry_feed.failed_at + REREGISTRATION_WINDOW_S
        expires_at = reregister_by if self.clock.now() < reregister_by else None
        if self.upstreams.remove(instance, expires_at) is not None:
            self._on_upstream_gone(instance, "withdrawn")

    def _on_cold(self, row: UpstreamRow, source: str, until: float) -> None:
        left_ms = round((until - self.clock.now()) * 1000)
        self.telemetry.event("replica.cold", upstream=row.instance, source=source, for_ms=left_ms)

    def _on_upstream_gone(self, instance: str, reason: str) -> None:
        self.upstream_client.close_idle(instance)
        self.telemetry.event("upstream.gone", upstream=instance, reason=reason)


def _settle_s(revoke_s: float | None) -> float:
    """Returns the settling time in seconds for an age that is allowed to keys, None for any age."""
    return 0.0 if revoke_s is None else SETTLING_SHARE * revoke_s
