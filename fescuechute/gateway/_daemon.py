"""The gateway daemon: takes requests from clients and sends them to replicas."""

from __future__ import annotations

from fescuechute.catalog import Configuration, VersionDeclaration
from fescuechute.errors import Problem, Reason, SettingsError, refusal
from fescuechute.feeds import FeedSettings, KeyedRecord
from fescuechute.forwarding import CallerRequest, CallerServer, UpstreamClient, header
from fescuechute.gateway._access import AccessControl, Denied
from fescuechute.gateway._choice import Chooser
from fescuechute.gateway._dispatch import Dispatcher
from fescuechute.gateway._loads import LoadListener
from fescuechute.gateway._transfer import Transfer
from fescuechute.gateway._upstreams import RETURN_S, UpstreamTable
from fescuechute.gateway._versions import VersionTable
from fescuechute.platform import (
    READY_PATH,
    Topic,
    decode_operator_record,
    decode_registration,
    decode_request,
)
from fescuechute.runtime import Process
from fescuechute.wire import Message

#: Seconds between two ticks; the resolution of deadlines.
TICK_S = 0.02
#: Seconds for which a call for the configuration waits. Keys are honoured for 5 s after the moment
#: at which the last call was made, so a lost call must not use up that time.
OPERATORS_WAIT_S = 1.5
#: Seconds between two reads of the registry; a leaving replica must get nothing new after 2 s.
REGISTRY_EVERY_S = 1.0
#: Seconds for which new connections are still taken after the request to stop. The load balancer
#: asks once a second and takes a process out after two misses.
ACCEPT_S = 3.0
#: Seconds that the program takes to start, at most, before its clock is read.
STARTUP_S = 1.0
#: Part of the time before the kill that is used to end what is under way.
GRACE_SHARE = 0.85


class GatewayDaemon(Process):
    """Serves clients on one VM."""

    def __init__(self, settings_path: str):
        super().__init__("gateway", settings_path, TICK_S)
        cfg = self.settings
        if cfg.clients is None or cfg.readiness is None:
            found = "A gateway needs addresses for clients and readiness."
            remedy = "Run it on a VM of the class that has them."
            raise SettingsError([Problem(settings_path, "", found, remedy)])
        now = self.clock.now
        count = self.telemetry.count
        self.access = AccessControl(cfg.promises.revoke_s)
        self.upstreams = UpstreamTable(cfg.regions)
        self.versions = VersionTable(cfg.promises.version_s)
        self.client = UpstreamClient(self.clock)
        self.callers = CallerServer(self.clock, self._handle, count)
        self.readiness = CallerServer(self.clock, self._answer_readiness, count, "readiness")
        for owner in (self.client, self.callers, self.readiness):
            self.loop.add(owner)
        self.loads = LoadListener(
            self.process_id, cfg.ip, cfg.peer_port, self.upstreams, self.datagrams.send
        )
        chooser = Chooser(self.upstreams, self.versions, cfg.data_centre, cfg.region, self.rng)
        self.dispatcher = Dispatcher(
            self.client, chooser, cfg.promises, self.telemetry, self._gateways, now, self.rng
        )
        self.operators = self.feed(
            FeedSettings(Topic.OPERATORS, OPERATORS_WAIT_S), self._on_operator, lambda _keys: None
        )
        self.registry = self.feed(
            FeedSettings(Topic.REGISTRY, 0.0, REGISTRY_EVERY_S),
            self._on_registration,
            self._on_registry,
        )
        self._started_at = now()
        self._registry_failed_at = 0.0
        self._accept_until = float("inf")
        self._close_by = float("inf")
        self._was_ready = False

    def start(self) -> None:
        """Opens the listeners."""
        super().start()
        clients, readiness = self.settings.clients, self.settings.readiness
        assert clients is not None and readiness is not None
        self.callers.listen(clients.ip, clients.port)
        self.readiness.listen(readiness.ip, readiness.port)

    @property
    def ready(self) -> bool:
        """Whether clients should be sent here."""
        return self.access.table is not None and self.registry.complete and not self.stopping

    # Systems.

    def on_tick(self, now: float) -> None:
        """Runs the systems of the gateway."""
        self.operators.tick(now)
        self.registry.tick(now)
        if self.registry.failing:
            self._registry_failed_at = now
        for row in self.upstreams.expire(now):
            self._forget(row.instance, "lapsed")
        self.loads.tick(now)
        self.client.tick(now)
        self.callers.tick(now)
        self.readiness.tick(now)
        self.dispatcher.tick(now)
        if self.ready is not self._was_ready:
            self._was_ready = self.ready
            self.telemetry.event("ready" if self.ready else "not_ready")
        if self.stopping:
            self._drain(now)

    def on_stop(self, now: float) -> None:
        """Answers what is under way and takes no more once the load balancer knows."""
        self._accept_until = now + ACCEPT_S
        self._close_by = now + self.settings.promises.grace_s * GRACE_SHARE
        self.callers.draining = True

    def on_settings(self) -> None:
        """Takes over changed promises."""
        self.access.revoke_s = self.settings.promises.revoke_s

    def on_datagram(self, sender: tuple[str, int], msg: Message) -> None:
        """Takes over loads of engines."""
        self.loads.receive(sender, msg, self.clock.now())

    def _gateways(self) -> int:
        return self.loads.gateways(self.clock.now())

    def _drain(self, now: float) -> None:
        if now < self._accept_until and now < self._close_by:
            return
        self.callers.stop_listening()
        # Whatever came on a kept connection from here on might not end within the grace.
        self.callers.close_idle()
        if self.callers.busy == 0:
            self.close("drained")
        elif now >= self._close_by:
            self.close("grace is over")

    # Requests.

    def _handle(self, request: CallerRequest) -> None:
        now = self.clock.now()
        meta = decode_request(request.headers)
        if now >= self._accept_until:
            self._deny(request, meta.request_id, Denied(Reason.NOT_READY, "stopping"), now)
            return
        host = (header(request.headers, b"host") or b"").decode("latin-1").partition(":")[0]
        verdict = self.access.judge(host, request.path, meta, self.operators.confirmed_at, now)
        if isinstance(verdict, Denied):
            self._deny(request, meta.request_id, verdict, now)
            return
        table = self.access.table
        service = table.service(verdict.service) if table is not None else None
        if service is None:
            self._deny(request, meta.request_id, Denied(Reason.NOT_FOUND, "no service"), now)
            return
        self.dispatcher.start(Transfer(request, meta, verdict, service, self.dispatcher))

    def _deny(self, request: CallerRequest, request_id: str, denied: Denied, now: float) -> None:
        status = refusal(denied.reason).status
        confirmed_at = self.operators.confirmed_at
        table = self.access.table
        self.telemetry.event(
            "request",
            id=request_id,
            status=status,
            reason=denied.reason,
            detail=denied.detail,
            path=request.path,
            cfg=table.configuration.version if table is not None else None,
            cfg_age_ms=None if confirmed_at is None else round((now - confirmed_at) * 1000),
        )
        fields = [(b"Retry-After", b"1")] if status == 503 else []
        request.answer.send(status, fields, denied.detail.encode())

    def _answer_readiness(self, request: CallerRequest) -> None:
        status = 200 if self.ready else 503
        request.answer.send(status if request.path == READY_PATH else 404, [], b"")

    # Records.

    def _on_operator(self, record: KeyedRecord) -> None:
        decoded = self.decoded(decode_operator_record, record)
        if isinstance(decoded, Configuration):
            self._take_configuration(decoded, record.offset)
        elif isinstance(decoded, VersionDeclaration):
            self._take_version(decoded, record.offset)

    def _take_configuration(self, configuration: Configuration, offset: int) -> None:
        if self.access.update(configuration):
            self.callers.limits = configuration.limits
            self.telemetry.event(
                "configuration",
                version=configuration.version,
                offset=offset,
                routes=len(configuration.routes),
                services=len(configuration.services),
            )

    def _take_version(self, declared: VersionDeclaration, offset: int) -> None:
        promises = self.settings.promises
        # Nothing is known of the time before the first read. Bounds hold only once the process has
        # run for a while, so the declaration is taken to bind from then on.
        since = self.operators.news_since
        if since is None:
            settled_at = self._started_at - STARTUP_S + promises.settle_s
            since = settled_at - promises.version_s
        if self.versions.declare(declared.model, declared.version, since):
            self.telemetry.event(
                "version.declared",
                model=declared.model,
                version=declared.version,
                offset=offset,
                binding_in_ms=round((since + promises.version_s - self.clock.now()) * 1000),
            )

    def _on_registration(self, record: KeyedRecord) -> None:
        entry = self.decoded(decode_registration, record)
        if entry is None:
            if record.value is not None:
                self.telemetry.count("registration.invalid")
            self._withdrawn(record.key)
            return
        known = self.upstreams.get(entry.instance)
        before = known.entry if known is not None else None
        if self.upstreams.register(entry) or (before and before.state is not entry.state):
            self.telemetry.event(
                "upstream",
                upstream=entry.instance,
                service=entry.service,
                address=str(entry.address),
                state=entry.state,
                offset=record.offset,
            )
        if before is not None and before.address != entry.address:
            self.client.drop(entry.instance)

    def _on_registry(self, keys: frozenset[str]) -> None:
        for row in list(self.upstreams):
            if row.instance not in keys:
                self._withdrawn(row.instance)

    def _withdrawn(self, instance: str) -> None:
        """Drops a replica; one that lapsed while the store was away may come back."""
        # Counted from the return of the store: what is withdrawn later did not lapse meanwhile.
        back_by = self._registry_failed_at + RETURN_S
        lapses_at = back_by if self.clock.now() < back_by else None
        if self.upstreams.remove(instance, lapses_at) is not None:
            self._forget(instance, "withdrawn")

    def _forget(self, instance: str, reason: str) -> None:
        self.client.drop(instance)
        self.telemetry.event("upstream.gone", upstream=instance, reason=reason)
