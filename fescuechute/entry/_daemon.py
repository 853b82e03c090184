"""The entry daemon: callers on one side, agents on the other."""

from __future__ import annotations

import random
import secrets
from functools import singledispatchmethod

import fescuechute.wire as wire
from fescuechute.entry._calls import CallSystem
from fescuechute.entry._claims import ClaimSystem
from fescuechute.entry._dispatch import Dispatcher
from fescuechute.entry._models import ModelSystem
from fescuechute.entry._status import status_page
from fescuechute.entry._upstreams import UpstreamTable
from fescuechute.entry._validate import Validator
from fescuechute.errors import Reason, RefusedError
from fescuechute.membership import assigned_agents
from fescuechute.node import Node
from fescuechute.routing import Policy, RetryBudget
from fescuechute.settings import Settings
from fescuechute.web import CallerServer, HttpRequest, Responder

#: Seconds without a new POST request before a draining entry closes. A connection accepted just before
#: would otherwise be reset with a request in it.
LINGER_S = 1.0


class EntryDaemon(Node):
    """Serves callers. Keeps nothing that outlives the process."""

    def __init__(self, cfg: Settings):
        super().__init__(cfg)
        self.rng = random.Random(f"{cfg.process.id}/{self.boot_id}")
        self.validator = Validator(cfg)
        self.upstreams = UpstreamTable(cfg.process.region, Policy(cfg.entry.policy), self.rng)
        self.retry_budget = RetryBudget(cfg.retry.budget)
        self.dispatcher = Dispatcher(self)
        self.models = ModelSystem(self)
        self.calls = CallSystem(self)
        self.claims = ClaimSystem(self)
        self.web: CallerServer | None = None
        self._last_request_at = 0.0
        self._drain_deadline = 0.0

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.notes.ready and not self.draining

    def start(self) -> None:
        """Opens the links and the callers' listener."""
        super().start()
        bind = (self.cfg.process.address, self.cfg.process.http_port)
        self.web = CallerServer(bind, self._on_request, self.cfg.entry.max_body_bytes, self.count)
        self.web.register(self.loop)

    def http_port(self) -> int:
        """Port of the callers' listener."""
        return self.web.port if self.web is not None else 0

    def stop(self) -> None:
        """Refuses new requests, completes those in flight, then closes."""
        if not self.draining:
            self.log.info("Draining.")
            self.draining = True
            now = self.clock.now()
            self._last_request_at = now
            self._drain_deadline = now + self.cfg.entry.drain_timeout_s

    def refused(self, responder: Responder, exc: RefusedError, request_id: str) -> None:
        """Refuses a request, counts the reason and logs it."""
        self.count(f"refused.{exc.reason}")
        responder.refuse(exc, request_id)

    # Systems.

    def on_tick(self, now: float) -> None:
        """Runs the systems of the entry."""
        self.dispatcher.tick(now)
        self.claims.run(now)
        self.quarantine.expire(now)
        if self.web is not None:
            self.web.tick()
        if self.draining and self._may_close(now):
            self.close()

    def busy(self) -> bool:
        """Whether requests are in flight."""
        return bool(self.dispatcher.rows or self.claims.unsettled or self.draining)

    def vms_changed(self) -> None:
        """Keeps links to the agents that this entry is assigned to."""
        proc = self.cfg.process
        wanted = assigned_agents(
            proc.id,
            proc.region,
            self.directory.entries(),
            self.directory.agents_to_dial(),
            self.cfg.entry.entries_per_agent,
        )
        for row in wanted:
            self.hub.connect(row.id, row.address, row.link_port)
        listed = {row.id for row in wanted}
        for agent_id in [name for name in self.upstreams.rows if name not in listed]:
            self.hub.disconnect(agent_id)
            self.upstreams.forget(agent_id)

    def on_link_up(self, peer_id: str, hello: wire.Hello) -> None:
        """An agent can be used once it reports its status."""
        self.upstreams.link_up(hello)

    def on_link_down(self, peer_id: str, reason: str) -> None:
        """What was in flight at the agent may have run."""
        self.upstreams.link_down(peer_id)
        self.dispatcher.on_link_down(peer_id)

    def handle(self, msg: wire.Message, peer_id: str) -> None:
        """Handles the messages of agents."""
        self._handle(msg, peer_id)

    @singledispatchmethod
    def _handle(self, msg: wire.Message, peer_id: str) -> None:
        self.count("messages.unexpected")

    @_handle.register
    def _(self, msg: wire.Status, peer_id: str) -> None:
        now = self.clock.now()
        self.upstreams.status(peer_id, msg, now)
        if msg.state == "draining":
            self.directory.observed_leaving(peer_id)
        self.dispatcher.pump(msg.upstream, now)

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

    # Callers.

    def _on_request(self, http: HttpRequest, responder: Responder) -> None:
        request_id = f"{self.cfg.process.id}-{secrets.token_hex(8)}"
        self.wake()
        if http.method != "GET":
            # Health checks and status pages go on during a drain and must not prolong it.
            self._last_request_at = self.clock.now()
        try:
            self._serve(http, responder, request_id)
        except RefusedError as exc:
            self.refused(responder, exc, request_id)

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
            raise RefusedError(Reason.NOT_READY, found, retry_at=now + 1.0)
        if http.path == "/v1/generate":
            self.models.submit(request_id, self.validator.generate(http.body, now), responder)
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
        quiet = now >= self._last_request_at + LINGER_S
        busy = self.dispatcher.rows or self.claims.unsettled
        return quiet and not busy and (self.web is None or self.web.idle)


def _not_found(http: HttpRequest) -> RefusedError:
    return RefusedError(Reason.NOT_FOUND, f"{http.method} {http.path} does not exist.")
