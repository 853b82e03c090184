"""Update of an engine to the declared weights: fetch, staging, load order and read-back."""

from __future__ import annotations

import json
import random
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from fescuechute.agent._exchange import ChunkExchange
from fescuechute.errors import Reason
from fescuechute.net import HttpResult
from fescuechute.notes import Release
from fescuechute.weights import (
    Command,
    Drain,
    Manifest,
    ManifestError,
    ReadBack,
    Replica,
    SendOrder,
    Serve,
    Stage,
    StopServing,
    Switch,
    SwitchState,
    Weight,
    may_switch,
    parse_manifest,
    wave_width,
)
from fescuechute.wire import Status

if TYPE_CHECKING:
    from fescuechute.agent._daemon import AgentDaemon

#: Seconds without data from the engine after which a read-back fails.
_SILENCE_S = 2.0
#: The same for staging a blob.
_STAGE_SILENCE_S = 5.0
#: Minimum of the same for a load order, which otherwise has until its deadline.
_MIN_ORDER_SILENCE_S = 0.1
#: Seconds between read-backs while the engine is loading.
_LOADING_POLL_S = 0.1
#: Maximum seconds for which fetches wait until the VM list contains this agent. Without the list, each
#: agent would assume that it is the only one and fetch its own copy from the origin.
_VM_LIST_WAIT_S = 5.0


class WeightUpdater:
    """Updates one engine to the declared set of weights."""

    def __init__(self, node: AgentDaemon, engine: tuple[str, int], enforces_fencing: bool):
        self._node = node
        self._engine = engine
        rng = random.Random(f"switch/{node.cfg.process.id}/{node.boot_id}")
        self.exchange = ChunkExchange(node, self._on_blob_stored)
        self.switch = Switch(enforces_fencing, rng)
        self._releases: tuple[Release, ...] = ()
        self._manifests: dict[bytes, Manifest] = {}
        self._missing_digests: set[bytes] = set()
        self._declared_revision = 0
        #: Unix seconds at which this agent applied the declared revision.
        self._declared_at = 0.0
        self._started_at = node.clock.now()
        #: Boot id from the last read-back; empty before the first.
        self.boot_id = ""
        self._newest_read_id = 0

    @property
    def state(self) -> str:
        """State of the engine as sent in Status messages."""
        if self.switch.serving is not None:
            return "live"
        if self.switch.state in (SwitchState.STARTING, SwitchState.LOADING):
            return "loading"
        return "switching"

    @property
    def serving(self) -> frozenset[tuple[str, str, str]]:
        """Confirmed (kind, name, version) triples that may be served; empty while none may."""
        return frozenset(weight.triple for weight in self.switch.serving or ())

    @property
    def updating(self) -> bool:
        """Whether the engine does not yet serve the weights that the note in force declares."""
        return bool(self._missing_digests) or self.switch.state is not SwitchState.LIVE

    def progress(self) -> dict[str, object]:
        """Returns the progress of the update for the status page."""
        return {
            "declared": sorted((r.kind, r.name, r.version) for r in self._releases),
            "serving": sorted(self.serving),
            "switch": str(self.switch.state),
            "missing": len(self._missing_digests),
            "held": len(self.exchange.store),
            "held_bytes": self.exchange.store.bytes_held,
            "in_flight": self.exchange.planner.in_flight,
        }

    # Inputs.

    def notes_changed(self, now: float) -> None:
        """Applies the weights that the note in force declares for this VM."""
        state = self._node.notes.ledger.state
        if not self._node.notes.ready or state.revision == self._declared_revision:
            return
        self._declared_revision = state.revision
        self._declared_at = now
        proc = self._node.cfg.process
        upstream = self._node.hello.upstream
        self._releases = state.declared_for(upstream, proc.region, proc.data_centre)
        self._update_target()
        self.run(now)

    def on_engine_crashed(self, now: float) -> None:
        """Records a crash of the engine."""
        self.switch.engine_lost(now)
        self.run(now)

    # Planning.

    def run(self, now: float) -> None:
        """Runs the exchange and executes the commands of the switch."""
        self.exchange.set_load(bool(self._node.table.running), now)
        if self._may_fetch(now):
            self.exchange.run(now)
        self.switch.set_blobs_ready(not self._missing_digests)
        self.switch.set_running_requests(len(self._node.table.running))
        self.switch.set_may_start(self._is_allowed_by_wave(now))
        for command in self.switch.plan(now):
            self._execute(command)

    def _may_fetch(self, now: float) -> bool:
        listed = self._node.directory.row(self._node.cfg.process.id) is not None
        return listed or now >= self._started_at + _VM_LIST_WAIT_S

    def set_agents(self) -> None:
        """Passes the agents of the same upstream, by region, to the exchange."""
        agents: dict[str, list[str]] = {}
        for row in self._node.directory.agents(upstream=self._node.hello.upstream):
            agents.setdefault(row.region, []).append(row.id)
        self.exchange.planner.set_agents(agents)

    def _on_blob_stored(self, digest: bytes) -> None:
        self._missing_digests.discard(digest)
        if any(release.manifest == digest.hex() for release in self._releases):
            self._update_target()
        now = self._node.clock.now()
        if not self._missing_digests:
            self.run(now)

    def _update_target(self) -> None:
        """Requests the manifests and known chunks; sets the target once all manifests are known."""
        digests: list[bytes] = []
        weights: list[Weight] = []
        for release in self._releases:
            key = bytes.fromhex(release.manifest)
            digests.append(key)
            manifest = self._load_manifest(key, release)
            if manifest is not None:
                digests += manifest.digests
                weights.append(
                    Weight(release.kind, release.name, release.version, manifest.digests)
                )
        self.exchange.want(digests)
        self._missing_digests = {
            digest for digest in digests if not self.exchange.store.has(digest)
        }
        if len(weights) == len(self._releases):
            fence = self._node.notes.ledger.state.offset
            self.switch.set_target(self._declared_revision, fence, weights)

    def _load_manifest(self, key: bytes, release: Release) -> Manifest | None:
        cached = self._manifests.get(key)
        data = self.exchange.store.get(key) if cached is None else None
        if cached is not None or data is None:
            return cached
        try:
            manifest = parse_manifest(data, key)
        except ManifestError as exc:
            self._node.count("weights.bad_manifest")
            self._node.log.error(
                "The manifest of {} {} is invalid: {}", release.name, release.version, exc
            )
            return None
        self._manifests[key] = manifest
        return manifest

    def _is_allowed_by_wave(self, now: float) -> bool:
        proc = self._node.cfg.process
        target = self.switch.target
        if target is None:
            return False
        rows = []
        agents = self._node.directory.agents(upstream=self._node.hello.upstream, region=proc.region)
        for agent in agents:
            status = self._node.peer_status.get(agent.id)
            linked = agent.id in self._node.hub.links
            confirmed = status is not None and frozenset(status.weights) == target.triples
            rows.append(Replica(agent.id, confirmed, linked, self._declared_at))
        width = wave_width(len(rows))
        timeout = self._node.agent_cfg.switch_timeout_s
        return may_switch(proc.id, self._declared_revision, rows, width, now, timeout)

    # Commands.

    @singledispatchmethod
    def _execute(self, command: Command) -> None:
        raise TypeError(f"Unknown command {command!r}")

    @_execute.register
    def _(self, command: Stage) -> None:
        data = self.exchange.store.get(command.digest)
        if data is None:
            return

        def on_result(result: HttpResult) -> None:
            if result.ok:
                self.switch.staged(command.digest)
            else:
                self._node.count("engine.stage_failed")
            self.run(self._node.clock.now())

        path = f"/staging/{command.digest.hex()}"
        self._node.http.call(
            "PUT", self._engine, path, on_result, body=data, idle_timeout_s=_STAGE_SILENCE_S
        )

    @_execute.register
    def _(self, command: SendOrder) -> None:
        body = {
            "order": "load",
            "fence": command.fence,
            "revision": command.revision,
            "weights": [
                {
                    "kind": weight.kind,
                    "name": weight.name,
                    "version": weight.version,
                    "blobs": [digest.hex() for digest in weight.blobs],
                }
                for weight in command.weights
            ],
        }
        self._node.count("engine.orders")
        self._node.log.info(
            "Ordering the engine to load revision {} with fence {}.",
            command.revision,
            command.fence,
        )

        def on_result(result: HttpResult) -> None:
            now = self._node.clock.now()
            status = result.status if not result.error else None
            if status is None and not result.sent:
                # The order was not sent, which is equivalent to a refusal without effect.
                status = 503
            self.switch.order_result(command.order_id, status, now)
            self.run(now)

        self._node.http.call(
            "POST",
            self._engine,
            "/orders",
            on_result,
            body=json.dumps(body).encode(),
            idle_timeout_s=max(_MIN_ORDER_SILENCE_S, command.deadline - self._node.clock.now()),
            deadline=command.deadline,
        )

    @_execute.register
    def _(self, command: ReadBack) -> None:
        self._newest_read_id = command.read_id
        self._read_back(command.read_id)

    def _read_back(self, read_id: int) -> None:
        if read_id == self._newest_read_id:
            self._node.http.call(
                "GET",
                self._engine,
                "/state",
                lambda result: self._on_state(read_id, result),
                idle_timeout_s=_SILENCE_S,
            )

    def _on_state(self, read_id: int, result: HttpResult) -> None:
        now = self._node.clock.now()
        body = result.json() if result.ok else None
        if not isinstance(body, dict):
            self._node.count("engine.unreachable")
            self.switch.engine_lost(now)
        elif body.get("loading"):
            # Until the load has ended, the loaded set is neither the old nor the new one.
            self._node.loop.call_at(now + _LOADING_POLL_S, lambda: self._read_back(read_id))
        else:
            self.boot_id = str(body["boot_id"])
            triples = [(w["kind"], w["name"], w["version"]) for w in body["weights"]]
            self.switch.engine_state(self.boot_id, triples, int(body["fence"]), now, read_id)
        self.run(now)

    @_execute.register
    def _(self, command: Drain) -> None:
        self._node.log.info("Draining the engine before a switch.")
        self._node.table.refuse_waiting(Reason.SWITCHING, self._node.clock.now())
        self._node.send_status()

    @_execute.register
    def _(self, command: Serve) -> None:
        names = ", ".join(f"{w.name} {w.version}" for w in command.weights)
        self._node.log.info("Serving {}.", names)
        self._node.send_status()

    @_execute.register
    def _(self, command: StopServing) -> None:
        self._node.log.info("Stopped serving.")
        self._node.table.refuse_waiting(Reason.SWITCHING, self._node.clock.now())
        self._node.send_status()

    def on_peer_status(self, msg: Status) -> None:
        """Runs the switch if it waits for its wave, because the status of a peer may allow it now."""
        if self.switch.state is SwitchState.READY_TO_SWITCH:
            self.run(self._node.clock.now())
