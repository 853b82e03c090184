"""The entry daemon: serves callers over HTTP and sends their requests to agents over links."""

from __future__ import annotations

import random
import secrets
from functools import singledispatchmethod

import fescuechute.wire as wire
from fescuechute.entry._calls import CallHandler
from fescuechute.entry._claims import ClaimCoordinator
from fescuechute.entry._dispatch import RETRY_AFTER_S, Dispatcher
from fescuechute.entry._models import ModelRequestHandler
from fescuechute.entry._status import status_page
from fescuechute.entry._upstreams import UpstreamTable
from fescuechute.entry._validate import Validator
from fescuechute.errors import Reason, RefusedError
from fescuechute.membership import assigned_agents
from fescuechute.node import Node
from fescuechute.routing import Policy, RetryBudget
from fescuechute.settings import Settings
from fescuechute.web import CallerServer, HttpRequest, Responder

#: Seconds without a new POST request after which a draining entry closes. Closing earlier could reset
#: a connection that was just accepted and carries a request.
DRAIN_QUIET_S = 1.0


class EntryDaemon(Node):
    """Validates, queues and dispatches the requests of callers. Its state ends with the process."""

    def __init__(self, cfg: Settings):
        super().__init__(cfg)
        self.rng = random.Random(f"{cfg.process.id}/{self.boot_id}")
        self.validator = Validator(cfg)
        self.upstreams = UpstreamTable(cfg.process.region, Policy(cfg.entry.policy), self.rng)
        self.retry_budget = RetryBudget(cfg.retry.budget)
        self.dispatcher = Dispatcher(self)
        self.model_requests = ModelRequestHandler(self)
        self.calls = CallHandler(self)
        self.claims = ClaimCoordinator(self)
        self.web: CallerServer | None = None
        self._last_post_at = 0.0
        self._drain_deadline = 0.0

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.notes.ready and not self.draining

    def start(self) -> None:
        """Starts listening for links and for callers."""
        super().start()
        bind = (self.cfg.process.address, self.cfg.process.http_port)
        self.web = CallerServer(bind, self._on_request, self.cfg.entry.max_body_bytes, self.count)
        self.web.register(self.loop)

    def http_port(self) -> int:
        """Returns the port on which callers connect, or 0 before the start."""
        return self.web.port if self.web is not None else 0

    def stop(self) -> None:
        """Begins a drain: refuses new requests, completes those in flight, then closes."""
        if not self.draining:
            self.log.info("Draining.")
            self.draining = True
            now = self.clock.now()
            self._last_post_at = now
            self._drain_deadline = now + self.cfg.entry.drain_timeout_s

    def refuse(self, responder: Responder, exc: RefusedError, request_id: str) -> None:
        """Refuses a request and counts the reason."""
        self.count(f"refused.{exc.reason}")
        responder.refuse(exc, request_id)

    # Hooks of `Node`.

    def on_tick(self, now: float) -> None:
        """Dispatches queued requests, runs the claim table and ends a drain that is complete."""
        self.dispatcher.tick(now)
        self.claims.run(now)
        self.quarantine.expire(now)
        if self.web is not None:
            self.web.tick()
        if self.draining and self._may_close(now):
            self.close()

    def is_busy(self) -> bool:
        """Returns whether requests are in flight, claim records are pending or the entry drains."""
        return bool(self.dispatcher.rows or self.claims.pending_count or self.draining)

    def vms_changed(self) -> None:
        """Connects to the agents assigned to this entry and disconnects from all others."""
        proc = self.cfg.process
        assigned = assigned_agents(
            proc.id,
            proc.region,
            self.directory.entries(),
            self.directory.agents_to_dial(),
            self.cfg.entry.entries_per_agent,
        )
        for row in assigned:
            self.hub.connect(row.id, row.address, row.link_port)
        assigned_ids = {row.id for row in assigned}
        for agent_id in [name for name in self.upstreams.rows if name not in assigned_ids]:
            self.hub.disconnect(agent_id)
            self.upstreams.remove_if_unlinked(agent_id)

    def on_link_up(self, peer_id: str, hello: wire.Hello) -> None:
        """Adds an agent; it receives requests once it has reported its status."""
        self.upstreams.link_up(hello)

    def on_link_down(self, peer_id: str, reason: str) -> None:
        """Fails the attempts in flight at the agent, which may have run."""
        self.upstreams.link_down(peer_id)
        self.dispatcher.on_link_down(peer_id)

    def handle(self, msg: wire.Message, peer_id: str) -> None:
        """Dispatches a message of an agent to the handler of its type."""
        self._handle(msg, peer_id)

    @singledispatchmethod
    def _handle(self, msg: wire.Message, peer_id: str) -> None:
        self.count("messages.unexpected")

    @_handle.register
    def _(self, msg: wire.Status, peer_id: str) -> None:
        now = self.clock.now()
        self.upstreams.apply_report(peer_id, msg, now)
        if msg.state == "draining":
            self.directory.observed_leaving(peer_id)
        self.dispatcher.dispatch_pool(msg.upstream, now)

    @_handle.register
    def _(self, msg: wire.Accepted, peer_id: str) -> None:
        self.dispatcher.on_accepted(peer_id, msg)

    @_handle.register
    def _(self, msg: wire.Piece, peer_id: str) -> None:
        self.dispatcher.on_piece(peer_id, msg)

    @_handle.register
    def _(self, msg: wire.End, peer_id: str) -> None:
        self.dispatcher.on_end(peer_id, msg)

    @_handle.register
    def _(self, msg: wire.Refused, peer_id: str) -> None:
        self.dispatcher.on_refused(peer_id, msg)

    @_handle.register
    def _(self, msg: wire.Failed, peer_id: str) -> None:
        self.dispatcher.on_failed(peer_id, msg)

    # Requests of callers.

    def _on_request(self, http: HttpRequest, responder: Responder) -> None:
        request_id = f"{self.cfg.process.id}-{secrets.token_hex(8)}"
        self.restore_tick_interval()
        if http.method != "GET":
            # Health checks and status requests continue during a drain and must not prolong it.
            self._last_post_at = self.clock.now()
        try:
            self._serve(http, responder, request_id)
        except RefusedError as exc:
            self.refuse(responder, exc, request_id)

    def _serve(self, http: HttpRequest, responder: Responder, request_id: str) -> None:
        if http.method == "GET":
            self._serve_get(http, responder)
            return
        if http.method != "POST" or http.path not in ("/v1/generate", "/v1/call"):
            raise _not_found(http)
        now = self.clock.now()
        if self.draining:
            raise RefusedError(Reason.DRAINING, "This entry is about to stop.", retry_at=now)
        if not self.ready:
            found = "This entry does not know the note in force yet."
            raise RefusedError(Reason.NOT_READY, found, retry_at=now + RETRY_AFTER_S)
        if http.path == "/v1/generate":
            self.model_requests.submit(
                request_id, self.validator.generate(http.body, now), responder
            )
        else:
            self.calls.submit(request_id, self.validator.call(http.body, now), responder)

    def _serve_get(self, http: HttpRequest, responder: Responder) -> None:
        parts = http.path.strip("/").split("/")
        if http.path == "/healthz":
            responder.send_json(200 if self.ready else 503, {"ready": self.ready})
        elif http.path == "/v1/status":
            responder.send_json(200, status_page(self))
        elif len(parts) == 4 and parts[:2] == ["v1", "outcomes"]:
            workspace = self.validator.workspace(http.query.get("workspace", ""))
            responder.send_json(200, self.claims.lookup(workspace, parts[2], parts[3]))
        else:
            raise _not_found(http)

    def _may_close(self, now: float) -> bool:
        if now >= self._drain_deadline:
            self.log.warn("Closing with {} requests in flight.", len(self.dispatcher.rows))
            return True
        quiet = now >= self._last_post_at + DRAIN_QUIET_S
        busy = self.dispatcher.rows or self.claims.pending_count
        return quiet and not busy and (self.web is None or self.web.idle)


def _not_found(http: HttpRequest) -> RefusedError:
    return RefusedError(Reason.NOT_FOUND, f"{http.method} {http.path} does not exist.")
