"""The agent daemon: a proxy next to each upstream, which executes the requests of entries."""

from __future__ import annotations

from functools import singledispatchmethod

import fescuechute.wire as wire
from fescuechute.admission import FairQueue
from fescuechute.agent._engine import EngineExecutor
from fescuechute.agent._service import ServiceExecutor
from fescuechute.agent._status import status_page
from fescuechute.agent._weights import WeightUpdater
from fescuechute.agent._work import WorkTable
from fescuechute.errors import Reason, RefusedError
from fescuechute.net import HttpResult
from fescuechute.node import Node, socket_address
from fescuechute.routing import Verdict
from fescuechute.settings import AgentSettings, Settings
from fescuechute.web import CallerServer, HttpRequest, Responder

#: Limit on request bodies in bytes; the requests of operators have none.
_MAX_BODY_BYTES = 1024
#: Seconds between Status messages to entries while the state does not change.
STATUS_INTERVAL_S = 0.5
#: The same for other agents, which need them only for rollout waves.
PEER_STATUS_INTERVAL_S = 2.0
#: Number of links for notes and crash reports, in addition to those to agents of the same upstream.
GOSSIP_PEERS = 4
#: Seconds between probes of a plain service.
PROBE_INTERVAL_S = 1.0
#: Seconds without data after which a probe fails. The sum of the probe interval and this timeout stays
#: below the 3 s in which a dead connection must be detected.
PROBE_SILENCE_S = 1.5
#: Minimum seconds between the announcement of a stop and the close, so that it reaches the entries.
CLOSE_DELAY_S = 1.0


class AgentDaemon(Node):
    """Executes requests on its upstream and keeps the upstream at the declared weights."""

    def __init__(self, cfg: Settings):
        agent = cfg.agent
        if agent is None:
            raise ValueError("The settings of an agent need a table [agent]")
        super().__init__(cfg, upstream=agent.upstream, kind=agent.kind)
        self.agent_cfg: AgentSettings = agent
        self.log_server = socket_address(cfg.platform.log)
        upstream = socket_address(agent.upstream_address)
        ranks = [(rank.name, rank.protected_share) for rank in cfg.ranks]
        weights = {workspace.name: workspace.weight for workspace in cfg.workspaces}
        queue = FairQueue(ranks, weights)
        self.table = WorkTable(agent.slots, queue, self.hub.send, self.count)
        self.engine: EngineExecutor | None = None
        self.service: ServiceExecutor | None = None
        self.weights: WeightUpdater | None = None
        if agent.kind == "engine":
            self.weights = WeightUpdater(self, upstream, agent.enforces_fencing)
            self.engine = EngineExecutor(self, self.table, upstream)
            self.table.executor = self.engine
        else:
            self.service = ServiceExecutor(self, self.table, upstream)
            self.table.executor = self.service
        #: Last Status of each linked agent.
        self.peer_status: dict[str, wire.Status] = {}
        self.web: CallerServer | None = None
        self._service_up = False
        self._next_probe_at = 0.0
        self._status_seq = 0
        self._next_status_at = 0.0
        self._next_peer_status_at = 0.0
        self._last_status_key: tuple[object, ...] = ()
        self._earliest_close_at = 0.0
        self._drain_deadline = 0.0

    @property
    def engine_boot_id(self) -> str:
        """Boot id from the last state read from the engine; empty for a plain service."""
        return self.weights.boot_id if self.weights is not None else ""

    def start(self) -> None:
        """Starts listening for links and for the status requests of operators."""
        super().start()
        bind = (self.cfg.process.address, self.cfg.process.http_port)
        self.web = CallerServer(bind, self._on_request, _MAX_BODY_BYTES, self.count)
        self.web.register(self.loop)

    def http_port(self) -> int:
        """Returns the port for status requests, or 0 before the start."""
        return self.web.port if self.web is not None else 0

    def _on_request(self, http: HttpRequest, responder: Responder) -> None:
        if http.method == "GET" and http.path == "/v1/status":
            responder.send_json(200, status_page(self))
        elif http.method == "GET" and http.path == "/healthz":
            ready = self.notes.ready and not self.draining
            responder.send_json(200 if ready else 503, {"ready": ready})
        else:
            found = f"{http.method} {http.path} does not exist."
            responder.refuse(RefusedError(Reason.NOT_FOUND, found))

    def stop(self) -> None:
        """Begins a drain: announces the stop, completes requests in flight, then closes."""
        if self.draining:
            return
        now = self.clock.now()
        self.log.info("Draining with {} requests in flight.", len(self.table.running))
        self.draining = True
        self._earliest_close_at = now + CLOSE_DELAY_S
        self._drain_deadline = now + self.agent_cfg.drain_timeout_s
        self.table.refuse_waiting(Reason.DRAINING, now)
        self.send_status()

    # Hooks of `Node`.

    def is_busy(self) -> bool:
        """Returns whether requests are active, the agent drains or the weights are being updated."""
        updating = self.weights is not None and self.weights.updating
        return not self.table.idle or self.draining or updating

    def on_tick(self, now: float) -> None:
        """Expires and starts requests, updates weights, sends status messages and ends a drain."""
        self.table.expire(now)
        self.table.start_queued(now)
        if self.weights is not None:
            self.weights.run(now)
        if self.engine is not None:
            self.engine.tick(now)
        if self.service is not None:
            self.service.tick(now)
            self._probe(now)
        self.quarantine.expire(now)
        if self.web is not None:
            self.web.tick()
        if now >= self._next_peer_status_at or self._status_key() != self._last_status_key:
            self.send_status()
        elif now >= self._next_status_at:
            self.send_status("entry")
        if self.draining and self._may_close(now):
            self.close()

    def send_status(self, role: str = "") -> None:
        """Sends the status of the upstream to all peers, or to those of one role."""
        now = self.clock.now()
        self._status_seq += 1
        self._next_status_at = now + STATUS_INTERVAL_S
        if not role:
            self._next_peer_status_at = now + PEER_STATUS_INTERVAL_S
            self._last_status_key = self._status_key()
        self.hub.broadcast(self._make_status(), role)

    def vms_changed(self) -> None:
        """Connects to agents of the same upstream and to gossip peers; disconnects from others."""
        own = self.cfg.process.id
        row = self.directory.row(own)
        if row is not None and row.state == "leaving":
            self.stop()
        wanted_ids = {agent.id for agent in self.directory.agents(upstream=self.hello.upstream)}
        proc = self.cfg.process
        wanted_ids |= set(
            self.directory.peers_for(own, GOSSIP_PEERS, proc.region, proc.data_centre)
        )
        for peer_id in wanted_ids - {own}:
            peer = self.directory.row(peer_id)
            if peer is not None and peer.role == "agent":
                self.hub.connect(peer.id, peer.address, peer.link_port)
        for peer_id in self.hub.maintained_peers() - wanted_ids:
            self.hub.disconnect(peer_id)
        if self.weights is not None:
            self.weights.set_agents()

    def notes_changed(self) -> None:
        """Applies the weights that the note in force declares."""
        if self.weights is not None:
            self.weights.notes_changed(self.clock.now())
        self.send_status()

    def on_link_up(self, peer_id: str, hello: wire.Hello) -> None:
        """Sends the current status to a new peer."""
        self.hub.send(peer_id, self._make_status())
        if self.weights is not None and hello.role == "agent":
            self.weights.exchange.peer_up(peer_id, hello.region)

    def on_link_down(self, peer_id: str, reason: str) -> None:
        """Cancels the requests of a disconnected entry, except calls under a claim."""
        self.peer_status.pop(peer_id, None)
        self.table.link_down(peer_id, self.clock.now())
        if self.service is not None:
            self.service.peer_down(peer_id)
        if self.weights is not None:
            self.weights.exchange.peer_down(peer_id)

    def handle(self, msg: wire.Message, peer_id: str) -> None:
        """Dispatches a message to the handler of its type."""
        self._handle(msg, peer_id)

    @singledispatchmethod
    def _handle(self, msg: wire.Message, peer_id: str) -> None:
        self.count("messages.unexpected")

    @_handle.register
    def _(self, msg: wire.Generate, peer_id: str) -> None:
        now = self.clock.now()
        self.restore_tick_interval()
        reason = self._refusal_reason(msg)
        if reason is not None:
            self.table.refuse(peer_id, msg, reason, now)
        else:
            self.table.submit(peer_id, msg, now)

    @_handle.register
    def _(self, msg: wire.Call, peer_id: str) -> None:
        now = self.clock.now()
        if self.draining:
            self.table.refuse(peer_id, msg, Reason.DRAINING, now)
        elif self.service is None or msg.service != self.hello.upstream:
            self.table.refuse(peer_id, msg, Reason.NO_UPSTREAM, now)
        else:
            self.table.submit(peer_id, msg, now)

    @_handle.register
    def _(self, msg: wire.Cancel, peer_id: str) -> None:
        self.table.cancel(peer_id, msg, self.clock.now())

    @_handle.register
    def _(self, msg: wire.Status, peer_id: str) -> None:
        self.peer_status[peer_id] = msg
        if msg.state == "draining":
            self.directory.observed_leaving(peer_id)
        if self.weights is not None:
            self.weights.on_peer_status(msg)

    @_handle.register
    def _(self, msg: wire.Have, peer_id: str) -> None:
        if self.weights is not None:
            self.weights.exchange.on_have(peer_id, msg)

    @_handle.register
    def _(self, msg: wire.FetchBlob, peer_id: str) -> None:
        if self.weights is not None:
            self.weights.exchange.on_fetch(peer_id, msg)
        else:
            self.hub.send(peer_id, wire.BlobRefused(msg.digest, "missing"))

    @_handle.register
    def _(self, msg: wire.Blob, peer_id: str) -> None:
        if self.weights is not None:
            self.weights.exchange.on_blob(peer_id, msg)

    @_handle.register
    def _(self, msg: wire.BlobRefused, peer_id: str) -> None:
        if self.weights is not None:
            self.weights.exchange.on_blob_refused(peer_id, msg)

    # Reports of the executors.

    def on_completed(self, msg: wire.Generate) -> None:
        """Clears the content of a completed request of its crashes, if it ran alone."""
        if msg.solo:
            self.quarantine.clear(msg.fingerprint)

    def on_engine_crashed(self) -> None:
        """Records a crash of the engine, which holds no weights until they are loaded again."""
        self.count("engine.crashes")
        if self.weights is not None:
            self.weights.on_engine_crashed(self.clock.now())

    # Helpers.

    def _refusal_reason(self, msg: wire.Generate) -> Reason | None:
        """Returns the reason for refusing a model request, or None if it can run."""
        if self.draining:
            return Reason.DRAINING
        if self.weights is None:
            return Reason.NO_UPSTREAM
        serving = self.weights.serving
        if not serving:
            return Reason.SWITCHING
        needed = {("model", msg.model, msg.version)}
        if msg.adapter:
            needed.add(("adapter", msg.adapter, msg.adapter_version))
        if not needed <= serving:
            return Reason.WRONG_VERSION
        if self.quarantine.verdict(msg.fingerprint) is Verdict.QUARANTINED:
            return Reason.QUARANTINED
        return None

    @property
    def state(self) -> str:
        """State of the upstream as sent in Status messages."""
        if self.draining:
            return "draining"
        if self.weights is not None:
            return self.weights.state
        return "live" if self._service_up else "starting"

    def _make_status(self) -> wire.Status:
        serving = self.weights.serving if self.weights is not None else frozenset()
        return wire.Status(
            self._status_seq,
            self.hello.upstream,
            self.hello.kind,
            self.state,
            len(self.table.running),
            self.table.queued,
            self.table.slots,
            self.notes.ledger.state.revision,
            tuple(sorted(serving)),
            self.engine.token_rate if self.engine is not None else 0.0,
        )

    def _status_key(self) -> tuple[object, ...]:
        """Returns the fields whose changes are sent at once; load changes wait for the next interval."""
        return (self.state, self.notes.ledger.state.revision)

    def _probe(self, now: float) -> None:
        if now < self._next_probe_at:
            return
        self._next_probe_at = now + PROBE_INTERVAL_S

        def on_result(result: HttpResult) -> None:
            if not result.ok:
                self.count("service.unreachable")
            self._service_up = result.ok

        service = socket_address(self.agent_cfg.upstream_address)
        self.http.call("GET", service, "/state", on_result, idle_timeout_s=PROBE_SILENCE_S)

    def _may_close(self, now: float) -> bool:
        if now >= self._drain_deadline:
            self.log.warn("Closing with {} requests in flight.", len(self.table.running))
            return True
        unrecorded = self.service.unrecorded if self.service is not None else 0
        flushed = not any(self.hub.buffered(peer_id) for peer_id in self.hub.links)
        return now >= self._earliest_close_at and self.table.idle and not unrecorded and flushed
