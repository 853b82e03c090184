"""The agent daemon: one beside each upstream, in the request path."""

from __future__ import annotations

from functools import singledispatchmethod

import fescuechute.wire as wire
from fescuechute.admission import FairQueue
from fescuechute.agent._engine import EngineExecutor
from fescuechute.agent._service import ServiceExecutor
from fescuechute.agent._status import status_page
from fescuechute.agent._weights import WeightSystem
from fescuechute.agent._work import WorkTable
from fescuechute.errors import Reason, RefusedError
from fescuechute.net import HttpResult
from fescuechute.node import Node, pair
from fescuechute.routing import Verdict
from fescuechute.settings import AgentSettings, Settings
from fescuechute.web import CallerServer, HttpRequest, Responder

#: Operators send no bodies.
_MAX_BODY_BYTES = 1024
#: Seconds between Status messages to entries without a change.
STATUS_EVERY_S = 0.5
#: The same to other agents, which need it for waves of switches only.
PEER_STATUS_EVERY_S = 2.0
#: Links kept for notes and crash reports, besides those to agents of the same upstream.
GOSSIP_PEERS = 4
#: Seconds between probes of a plain service.
PROBE_EVERY_S = 1.0
#: Seconds without an answer after which a probe fails. The sum of both stays below the 3 s in which
#: connections that went silent for good must be noticed.
PROBE_SILENCE_S = 1.5
#: Seconds between the announcement of a stop and the close, so that entries learn of it.
LINGER_S = 1.0


class AgentDaemon(Node):
    """Runs requests on its upstream and keeps the upstream at what the note declares."""

    def __init__(self, cfg: Settings):
        agent = cfg.agent
        if agent is None:
            raise ValueError("The settings of an agent need a table [agent]")
        super().__init__(cfg, upstream=agent.upstream, kind=agent.kind)
        self.agent_cfg: AgentSettings = agent
        self.log_server = pair(cfg.platform.log)
        upstream = pair(agent.upstream_address)
        ranks = [(rank.name, rank.protected_share) for rank in cfg.ranks]
        weights = {workspace.name: workspace.weight for workspace in cfg.workspaces}
        queue = FairQueue(ranks, weights)
        self.table = WorkTable(agent.slots, queue, self.hub.send, self.count)
        self.engine: EngineExecutor | None = None
        self.service: ServiceExecutor | None = None
        self.weights: WeightSystem | None = None
        if agent.kind == "engine":
            self.weights = WeightSystem(self, upstream, agent.enforces_fencing)
            self.engine = EngineExecutor(self, self.table, upstream)
            self.table.executor = self.engine
        else:
            self.service = ServiceExecutor(self, self.table, upstream)
            self.table.executor = self.service
        #: Last Status of each linked agent.
        self.peer_status: dict[str, wire.Status] = {}
        self.web: CallerServer | None = None
        self._service_up = False
        self._probe_at = 0.0
        self._status_seq = 0
        self._status_at = 0.0
        self._peer_status_at = 0.0
        self._last_status: tuple[object, ...] = ()
        self._close_at = 0.0
        self._drain_deadline = 0.0

    @property
    def engine_boot_id(self) -> str:
        """Boot id of the engine as last read."""
        return self.weights.boot_id if self.weights is not None else ""

    def start(self) -> None:
        """Opens the links and the operators' listener."""
        super().start()
        bind = (self.cfg.process.address, self.cfg.process.http_port)
        self.web = CallerServer(bind, self._on_request, _MAX_BODY_BYTES, self.count)
        self.web.register(self.loop)

    def http_port(self) -> int:
        """Port of the operators' listener."""
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
        """Announces the stop, completes what is in flight, then closes."""
        if self.draining:
            return
        now = self.clock.now()
        self.log.info("Draining with {} requests in flight.", len(self.table.running))
        self.draining = True
        self._close_at = now + LINGER_S
        self._drain_deadline = now + self.agent_cfg.drain_timeout_s
        self.table.refuse_waiting(Reason.DRAINING, now)
        self.send_status()

    # Systems.

    def busy(self) -> bool:
        """Whether requests are in flight or a switch is under way."""
        moving = self.weights is not None and self.weights.moving
        return not self.table.idle or self.draining or moving

    def on_tick(self, now: float) -> None:
        """Runs the systems of the agent."""
        self.table.expire(now)
        self.table.pump(now)
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
        if now >= self._peer_status_at or self._status_key() != self._last_status:
            self.send_status()
        elif now >= self._status_at:
            self.send_status("entry")
        if self.draining and self._may_close(now):
            self.close()

    def send_status(self, role: str = "") -> None:
        """Tells all links, or those of one role, the state of the upstream."""
        now = self.clock.now()
        self._status_seq += 1
        self._status_at = now + STATUS_EVERY_S
        if not role:
            self._peer_status_at = now + PEER_STATUS_EVERY_S
            self._last_status = self._status_key()
        self.hub.broadcast(self._status(), role)

    def vms_changed(self) -> None:
        """Keeps links to agents of the same upstream and to gossip peers."""
        own = self.cfg.process.id
        row = self.directory.row(own)
        if row is not None and row.state == "leaving":
            self.stop()
        wanted = {agent.id for agent in self.directory.agents(upstream=self.hello.upstream)}
        proc = self.cfg.process
        wanted |= set(self.directory.peers_for(own, GOSSIP_PEERS, proc.region, proc.data_centre))
        for peer_id in wanted - {own}:
            peer = self.directory.row(peer_id)
            if peer is not None and peer.role == "agent":
                self.hub.connect(peer.id, peer.address, peer.link_port)
        for peer_id in self.hub.wanted() - wanted:
            self.hub.disconnect(peer_id)
        if self.weights is not None:
            self.weights.set_agents()

    def notes_changed(self) -> None:
        """A new note may declare other weights."""
        if self.weights is not None:
            self.weights.notes_changed(self.clock.now())
        self.send_status()

    def on_link_up(self, peer_id: str, hello: wire.Hello) -> None:
        """Greets a peer with the present status."""
        self.hub.send(peer_id, self._status())
        if self.weights is not None and hello.role == "agent":
            self.weights.exchange.peer_up(peer_id, hello.region)

    def on_link_down(self, peer_id: str, reason: str) -> None:
        """Ends the requests of an entry that is gone, except those that must be completed."""
        self.peer_status.pop(peer_id, None)
        self.table.link_down(peer_id, self.clock.now())
        if self.service is not None:
            self.service.peer_gone(peer_id)
        if self.weights is not None:
            self.weights.exchange.peer_down(peer_id)

    def handle(self, msg: wire.Message, peer_id: str) -> None:
        """Handles requests and the messages of other agents."""
        self._handle(msg, peer_id)

    @singledispatchmethod
    def _handle(self, msg: wire.Message, peer_id: str) -> None:
        self.count("messages.unexpected")

    @_handle.register
    def _(self, msg: wire.Generate, peer_id: str) -> None:
        now = self.clock.now()
        self.wake()
        reason = self._refusal(msg)
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
            self.weights.note_status(msg)

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

    # What the executors report.

    def completed(self, msg: wire.Generate) -> None:
        """A model request completed; a suspect that ran alone is cleared."""
        if msg.solo:
            self.quarantine.completed(msg.fingerprint)

    def engine_crashed(self) -> None:
        """The engine crashed: it holds nothing until it was loaded again."""
        self.count("engine.crashes")
        if self.weights is not None:
            self.weights.engine_lost(self.clock.now())

    # Details.

    def _refusal(self, msg: wire.Generate) -> Reason | None:
        """Returns why a model request cannot run here, or None."""
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
        """State for Status."""
        if self.draining:
            return "draining"
        if self.weights is not None:
            return self.weights.state
        return "live" if self._service_up else "starting"

    def _status(self) -> wire.Status:
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
        """What entries must learn at once; the load alone may wait for the next period."""
        return (self.state, self.notes.ledger.state.revision)

    def _probe(self, now: float) -> None:
        if now < self._probe_at:
            return
        self._probe_at = now + PROBE_EVERY_S

        def answered(result: HttpResult) -> None:
            if not result.ok:
                self.count("service.unreachable")
            self._service_up = result.ok

        service = pair(self.agent_cfg.upstream_address)
        self.http.call("GET", service, "/state", answered, silence_s=PROBE_SILENCE_S)

    def _may_close(self, now: float) -> bool:
        if now >= self._drain_deadline:
            self.log.warn("Closing with {} requests in flight.", len(self.table.running))
            return True
        unrecorded = self.service.unrecorded if self.service is not None else 0
        flushed = not any(self.hub.buffered(peer_id) for peer_id in self.hub.links)
        return now >= self._close_at and self.table.idle and not unrecorded and flushed
