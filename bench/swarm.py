"""Model of links in discrete steps around the real decision code of the blob exchange.

Many `Exchange` objects run in one process. The model holds what surrounds them: the rates of the
origin's link, of each VM's link in both directions and of the link between each pair of regions,
the delay of messages, and faults. It stands for no other part of the system.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

import attrs

from bench.swarm_config import Stall, SwarmConfig, SwarmResult
from fescuechute.weights import (
    ORIGIN,
    CancelFetch,
    Command,
    FetchFromOrigin,
    FetchFromPeer,
    TokenBucket,
    UploadQueue,
    digest_of,
)

#: Seconds of silence after which both ends drop a link, as in the design of links.
SILENCE_S = 2.0
#: Seconds until a dropped link that works again is back.
RECONNECT_S = 0.5


@attrs.define(eq=False)
class Transfer:
    """A chunk on its way."""

    source: int | None
    to: int
    digest: bytes
    left: float
    resources: tuple[Any, ...]


@attrs.define(eq=False)
class Vm:
    """One VM and its decision object."""

    index: int
    id: str
    region: str
    exchange: Any
    held: dict[bytes, None]
    bucket: TokenBucket
    uploads: UploadQueue
    #: Chunks not yet announced.
    fresh: list[bytes] = attrs.field(factory=list)
    links: set[int] = attrs.field(factory=set)
    sending: dict[int, int] = attrs.field(factory=dict)
    backlog: float = 0.0
    alive: bool = True
    liar: bool = False
    done_at: float | None = None


class Swarm:
    """Runs one experiment."""

    def __init__(self, cfg: SwarmConfig):
        self.cfg = cfg
        self.now = 1000.0
        self.start_at = self.now
        self.rng = random.Random(f"swarm/{cfg.seed}")
        self.home = next(iter(cfg.regions))
        self.sizes = {
            digest_of(f"{cfg.seed}/{index}".encode()): size for index, size in enumerate(cfg.sizes)
        }
        self.vms: list[Vm] = []
        self.transfers: list[Transfer] = []
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = 0
        self.origin_bytes = 0.0
        self.entered: dict[tuple[str, bytes], int] = {}
        self.delays: list[float] = []
        self.silent: set[frozenset[int]] = set()
        self._make_vms()
        self.index = {vm.id: vm.index for vm in self.vms}
        self._schedule_faults()

    # Setup.

    def _make_vms(self) -> None:
        cfg = self.cfg
        agents = {
            region: [f"{region}-{n}" for n in range(count)] for region, count in cfg.regions.items()
        }
        vm_rate = cfg.vm_copies * cfg.total / cfg.target_s
        for region, ids in agents.items():
            for vm_id in ids:
                index = len(self.vms)
                held: dict[bytes, None] = {}
                rng = random.Random(f"{cfg.seed}/{vm_id}")
                exchange = cfg.policy(vm_id, region, self.home, held, rng, cfg.limits)
                # The burst covers one step and two of the largest chunks; a smaller one would cap
                # the rate below the link's.
                burst = 2 * max(cfg.sizes) + vm_rate * cfg.step_s
                bucket = TokenBucket(vm_rate, burst)
                uploads = UploadQueue(total=cfg.queue_total)
                self.vms.append(Vm(index, vm_id, region, exchange, held, bucket, uploads))
        for vm in self.vms:
            vm.exchange.set_agents(agents)
            for other in self.vms:
                if other is not vm:
                    vm.exchange.peer_up(other.id, other.region)
                    vm.links.add(other.index)
            vm.exchange.want(self.sizes)
        for index in cfg.liars:
            self.vms[index].liar = True
            self.vms[index].fresh = list(self.sizes)

    def _schedule_faults(self) -> None:
        for at, index in self.cfg.kills:
            self._later(at, self._kill, index)
        for stall in self.cfg.stalls:
            self._later(stall.at, self._stall, stall)

    # Events.

    def _later(self, delay: float, action: Callable[..., None], *args: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay, self.sequence, action, args))

    def _kill(self, index: int) -> None:
        vm = self.vms[index]
        vm.alive = False
        self.transfers = [t for t in self.transfers if index not in (t.source, t.to)]
        for other in vm.links:
            self.vms[other].sending.pop(index, None)
            self._later(SILENCE_S, self._link_down, other, index)

    def _stall(self, stall: Stall) -> None:
        self.silent.add(frozenset((stall.a, stall.b)))
        for one, other in ((stall.a, stall.b), (stall.b, stall.a)):
            self._later(SILENCE_S, self._link_down, one, other)
        if stall.until < float("inf"):
            delay = max(stall.until - stall.at, SILENCE_S) + RECONNECT_S
            self._later(delay, self._link_up, stall.a, stall.b)

    def _link_down(self, index: int, other: int) -> None:
        vm = self.vms[index]
        vm.links.discard(other)
        vm.sending.pop(other, None)
        vm.uploads.peer_down(self.vms[other].id)
        vm.exchange.peer_down(self.vms[other].id)
        self.transfers = [t for t in self.transfers if {t.source, t.to} != {index, other}]

    def _link_up(self, a: int, b: int) -> None:
        self.silent.discard(frozenset((a, b)))
        if not (self.vms[a].alive and self.vms[b].alive):
            return
        for one, other in ((self.vms[a], self.vms[b]), (self.vms[b], self.vms[a])):
            one.links.add(other.index)
            one.exchange.peer_up(other.id, other.region)
            one.exchange.record_announcement(
                other.id, self.sizes if other.liar else list(other.held)
            )

    def _usable_link(self, a: int, b: int) -> bool:
        return (
            b in self.vms[a].links
            and self.vms[b].alive
            and (not self.silent or frozenset((a, b)) not in self.silent)
        )

    def _send(self, vm: Vm, to: int, action: Callable[..., None], *args: Any) -> None:
        """Delivers a message in the next step, or behind the sender's chunks."""
        if not self._usable_link(vm.index, to):
            return
        delay = self.cfg.step_s
        if self.cfg.shared_queue:
            delay += vm.backlog * self.cfg.target_s / (self.cfg.vm_copies * self.cfg.total)
        self.delays.append(delay)
        self._later(delay, action, vm.index, to, *args)

    # Messages: (from, to, ...).

    def _on_fetch(self, source: int, to: int, digest: bytes) -> None:
        vm, peer = self.vms[to], self.vms[source]
        if not vm.alive:
            return
        if vm.liar or digest not in vm.held:
            self._send(vm, source, self._on_refused, digest, "missing")
            return
        is_first = getattr(vm.exchange, "is_first_copy", lambda *_: False)(peer.id, digest)
        if not vm.uploads.offer(peer.id, digest, is_first):
            self._send(vm, source, self._on_refused, digest, "busy")

    def _on_refused(self, source: int, to: int, digest: bytes, reason: str) -> None:
        if self.vms[to].alive:
            self.vms[to].exchange.record_failure(digest, self.vms[source].id, reason, self.now)

    def _on_have(self, source: int, to: int, digests: list[bytes]) -> None:
        if self.vms[to].alive and source in self.vms[to].links:
            self.vms[to].exchange.record_announcement(self.vms[source].id, digests)

    # Steps.

    def run(self, limit_s: float) -> SwarmResult:
        """Runs until every live VM is complete, at most `limit_s` model seconds."""
        while not self.complete and self.now - self.start_at < limit_s:
            self.step()
        return self.result()

    @property
    def complete(self) -> bool:
        """Whether every live VM holds every chunk."""
        return all(vm.done_at is not None or vm.liar for vm in self.vms if vm.alive)

    def step(self) -> None:
        """Advances the model by one step."""
        self.now += self.cfg.step_s
        while self.events and self.events[0][0] <= self.now + 1e-9:
            _, _, action, args = heapq.heappop(self.events)
            action(*args)
        for vm in self.vms:
            if vm.alive:
                self._announce(vm)
                if not vm.liar:
                    self._carry_out(vm, vm.exchange.plan(self.now))
                self._upload(vm)
        self._flow()

    def _announce(self, vm: Vm) -> None:
        if vm.fresh:
            for other in vm.links:
                self._send(vm, other, self._on_have, vm.fresh)
            vm.fresh = []

    def _carry_out(self, vm: Vm, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case FetchFromPeer(peer_id, digest, _):
                    self._send(vm, self.index[peer_id], self._on_fetch, digest)
                case FetchFromOrigin(digest, _):
                    self._fetch_from_origin(vm, digest)
                case CancelFetch(source, digest) if source == ORIGIN:
                    self.transfers = [
                        t
                        for t in self.transfers
                        if (t.source, t.to, t.digest) != (None, vm.index, digest)
                    ]

    def _fetch_from_origin(self, vm: Vm, digest: bytes) -> None:
        since, until = self.cfg.origin_out
        if since <= self.now - self.start_at < until:
            vm.exchange.record_failure(digest, ORIGIN, "busy", self.now)
            return
        resources: tuple[Any, ...] = (ORIGIN, ("down", vm.index))
        if vm.region != self.home:
            resources += ((self.home, vm.region),)
        self.transfers.append(Transfer(None, vm.index, digest, self.sizes[digest], resources))

    def _upload(self, vm: Vm) -> None:
        """Starts uploads as the rate allows, one at a time for each peer."""
        ids = {self.vms[other].id: other for other in vm.links} if len(vm.uploads) else {}
        while len(vm.uploads):
            if vm.bucket.ready_at(max(self.cfg.sizes), self.now) > self.now:
                return
            upload = vm.uploads.take(lambda peer_id: ids.get(peer_id) not in vm.sending)
            if upload is None:
                return
            size = self.sizes[upload.digest]
            vm.bucket.try_take(size, self.now)
            to = ids[upload.peer_id]
            resources: tuple[Any, ...] = (("up", vm.index), ("down", to))
            if vm.region != self.vms[to].region:
                resources += ((vm.region, self.vms[to].region),)
            vm.sending[to] = 1
            vm.backlog += size
            self.transfers.append(Transfer(vm.index, to, upload.digest, size, resources))

    def _rate(self, resource: Any) -> float:
        if resource == ORIGIN:
            copies = self.cfg.origin_copies
        elif resource[0] in ("up", "down"):
            copies = self.cfg.vm_copies
        else:
            copies = self.cfg.pair_copies
        return copies * self.cfg.total / self.cfg.target_s

    def _flow(self) -> None:
        """Moves bytes: an equal share of every resource first, then what is left over."""
        moving = [
            t for t in self.transfers if t.source is None or self._usable_link(t.source, t.to)
        ]
        self.rng.shuffle(moving)
        counts: dict[Any, int] = {}
        for transfer in moving:
            for resource in transfer.resources:
                counts[resource] = counts.get(resource, 0) + 1
        budget = {resource: self._rate(resource) * self.cfg.step_s for resource in counts}
        share = {resource: budget[resource] / count for resource, count in counts.items()}
        for limits in (share, budget):
            for transfer in moving:
                amount = min(transfer.left, *(limits[r] for r in transfer.resources))
                amount = min(amount, *(budget[r] for r in transfer.resources))
                if amount > 0:
                    transfer.left -= amount
                    for resource in transfer.resources:
                        budget[resource] -= amount
                    if transfer.source is None:
                        self.origin_bytes += amount
                    else:
                        self.vms[transfer.source].backlog -= amount
        done = [t for t in moving if t.left <= 1e-6]
        if done:
            gone = set(map(id, done))
            self.transfers = [t for t in self.transfers if id(t) not in gone]
            for transfer in done:
                self._deliver(transfer)

    def _deliver(self, transfer: Transfer) -> None:
        vm = self.vms[transfer.to]
        digest = transfer.digest
        source_region = ""
        source_id = ORIGIN
        if transfer.source is not None:
            source = self.vms[transfer.source]
            source.sending.pop(transfer.to, None)
            source_region, source_id = source.region, source.id
        if source_region != vm.region:
            key = (vm.region, digest)
            self.entered[key] = self.entered.get(key, 0) + 1
        if self.rng.random() < self.cfg.corrupt:
            vm.exchange.record_corrupt(digest, source_id, self.now)
            return
        if digest not in vm.held:
            vm.held[digest] = None
            vm.fresh.append(digest)
            if len(vm.held) == len(self.sizes):
                vm.done_at = self.now
        vm.exchange.record_arrival(digest, source_id, self.now)

    # Results.

    def result(self) -> SwarmResult:
        """Returns what the run showed so far."""
        ended = [vm.done_at for vm in self.vms if vm.alive and vm.done_at is not None]
        seconds = (max(ended) if ended else self.now) - self.start_at
        entered = dict.fromkeys(self.cfg.regions, 0.0)
        for (region, digest), count in self.entered.items():
            entered[region] += count * self.sizes[digest] / self.cfg.total
        delays = sorted(self.delays)
        return SwarmResult(
            finished=self.complete,
            seconds=seconds,
            ratio=seconds / self.cfg.lower_bound_s,
            origin_copies=self.origin_bytes / self.cfg.total,
            entered=entered,
            entries_max=max(self.entered.values(), default=0),
            message_p95_s=delays[int(len(delays) * 0.95)] if delays else 0.0,
        )
