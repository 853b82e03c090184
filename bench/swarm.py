"""Simulates a network in discrete time steps around the real decision code of the blob exchange.

Many `Exchange` objects run in one process. The simulation provides the rates of the origin's link,
of each VM's link in both directions and of the link between each pair of regions, the delay of
messages, and faults. No other part of the system is simulated.
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

#: Seconds of silence after which both ends close a link, as in the design of links.
SILENCE_S = 2.0
#: Seconds until a closed link is connected again once its network path works.
RECONNECT_S = 0.5


@attrs.define(eq=False)
class Transfer:
    """A chunk in transit."""

    #: Index of the uploading VM; None for the origin.
    source: int | None
    receiver: int
    digest: bytes
    bytes_left: float
    #: Rate-limited links that the transfer uses.
    resources: tuple[Any, ...]


@attrs.define(eq=False)
class Vm:
    """A simulated VM and its exchange."""

    index: int
    id: str
    region: str
    exchange: Any
    held: dict[bytes, None]
    upload_bucket: TokenBucket
    uploads: UploadQueue
    #: Chunks held but not yet announced to peers.
    unannounced: list[bytes] = attrs.field(factory=list)
    links: set[int] = attrs.field(factory=set)
    #: Indexes of the VMs that an upload is in flight to, as keys.
    uploading_to: dict[int, int] = attrs.field(factory=dict)
    #: Bytes of started uploads that are not yet transferred.
    backlog_bytes: float = 0.0
    alive: bool = True
    #: Whether the VM announces every chunk and refuses all fetches.
    announces_falsely: bool = False
    completed_at: float | None = None


class Swarm:
    """Simulates one run of a swarm."""

    def __init__(self, cfg: SwarmConfig):
        self.cfg = cfg
        self.now = 1000.0
        self.started_at = self.now
        self.rng = random.Random(f"swarm/{cfg.seed}")
        self.home_region = next(iter(cfg.regions))
        self.sizes = {
            digest_of(f"{cfg.seed}/{index}".encode()): size for index, size in enumerate(cfg.sizes)
        }
        self.vms: list[Vm] = []
        self.transfers: list[Transfer] = []
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = 0
        self.origin_bytes = 0.0
        self.region_entries: dict[tuple[str, bytes], int] = {}
        self.message_delays_s: list[float] = []
        self.stalled_links: set[frozenset[int]] = set()
        self._make_vms()
        self.index_by_id = {vm.id: vm.index for vm in self.vms}
        self._schedule_faults()

    # Setup.

    def _make_vms(self) -> None:
        cfg = self.cfg
        agents = {
            region: [f"{region}-{n}" for n in range(count)] for region, count in cfg.regions.items()
        }
        vm_bytes_per_s = cfg.vm_copies * cfg.total_bytes / cfg.target_s
        for region, ids in agents.items():
            for vm_id in ids:
                index = len(self.vms)
                held: dict[bytes, None] = {}
                rng = random.Random(f"{cfg.seed}/{vm_id}")
                exchange = cfg.policy(vm_id, region, self.home_region, held, rng, cfg.limits)
                # A burst smaller than one step plus two of the largest chunks would limit the
                # upload rate to less than the rate of the link.
                burst = 2 * max(cfg.sizes) + vm_bytes_per_s * cfg.step_s
                upload_bucket = TokenBucket(vm_bytes_per_s, burst)
                uploads = UploadQueue(total=cfg.queue_total)
                self.vms.append(Vm(index, vm_id, region, exchange, held, upload_bucket, uploads))
        for vm in self.vms:
            vm.exchange.set_agents(agents)
            for other in self.vms:
                if other is not vm:
                    vm.exchange.peer_up(other.id, other.region)
                    vm.links.add(other.index)
            vm.exchange.want(self.sizes)
        for index in cfg.false_announcers:
            self.vms[index].announces_falsely = True
            self.vms[index].unannounced = list(self.sizes)

    def _schedule_faults(self) -> None:
        for at, index in self.cfg.kills:
            self._schedule(at, self._kill, index)
        for stall in self.cfg.stalls:
            self._schedule(stall.at, self._stall, stall)

    # Events.

    def _schedule(self, delay_s: float, action: Callable[..., None], *args: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay_s, self.sequence, action, args))

    def _kill(self, index: int) -> None:
        vm = self.vms[index]
        vm.alive = False
        self.transfers = [t for t in self.transfers if index not in (t.source, t.receiver)]
        for other in vm.links:
            self.vms[other].uploading_to.pop(index, None)
            self._schedule(SILENCE_S, self._link_down, other, index)

    def _stall(self, stall: Stall) -> None:
        self.stalled_links.add(frozenset((stall.a, stall.b)))
        for index, peer in ((stall.a, stall.b), (stall.b, stall.a)):
            self._schedule(SILENCE_S, self._link_down, index, peer)
        if stall.until < float("inf"):
            delay = max(stall.until - stall.at, SILENCE_S) + RECONNECT_S
            self._schedule(delay, self._link_up, stall.a, stall.b)

    def _link_down(self, index: int, other: int) -> None:
        vm = self.vms[index]
        vm.links.discard(other)
        vm.uploading_to.pop(other, None)
        vm.uploads.peer_down(self.vms[other].id)
        vm.exchange.peer_down(self.vms[other].id)
        self.transfers = [t for t in self.transfers if {t.source, t.receiver} != {index, other}]

    def _link_up(self, a: int, b: int) -> None:
        self.stalled_links.discard(frozenset((a, b)))
        if not (self.vms[a].alive and self.vms[b].alive):
            return
        for vm, peer in ((self.vms[a], self.vms[b]), (self.vms[b], self.vms[a])):
            vm.links.add(peer.index)
            vm.exchange.peer_up(peer.id, peer.region)
            vm.exchange.record_announcement(
                peer.id, self.sizes if peer.announces_falsely else list(peer.held)
            )

    def _usable_link(self, a: int, b: int) -> bool:
        return (
            b in self.vms[a].links
            and self.vms[b].alive
            and (not self.stalled_links or frozenset((a, b)) not in self.stalled_links)
        )

    def _send(self, vm: Vm, receiver: int, action: Callable[..., None], *args: Any) -> None:
        """Delivers a message in the next step, or after the sender's queued chunks."""
        if not self._usable_link(vm.index, receiver):
            return
        delay = self.cfg.step_s
        if self.cfg.shared_queue:
            delay += (
                vm.backlog_bytes * self.cfg.target_s / (self.cfg.vm_copies * self.cfg.total_bytes)
            )
        self.message_delays_s.append(delay)
        self._schedule(delay, action, vm.index, receiver, *args)

    # Message handlers; they take the indexes of the sender and the receiver first.

    def _on_fetch_request(self, sender: int, receiver: int, digest: bytes) -> None:
        vm, peer = self.vms[receiver], self.vms[sender]
        if not vm.alive:
            return
        if vm.announces_falsely or digest not in vm.held:
            self._send(vm, sender, self._on_refusal, digest, "missing")
            return
        is_first = getattr(vm.exchange, "is_first_copy", lambda *_: False)(peer.id, digest)
        if not vm.uploads.offer(peer.id, digest, is_first):
            self._send(vm, sender, self._on_refusal, digest, "busy")

    def _on_refusal(self, sender: int, receiver: int, digest: bytes, reason: str) -> None:
        if self.vms[receiver].alive:
            self.vms[receiver].exchange.record_failure(
                digest, self.vms[sender].id, reason, self.now
            )

    def _on_announcement(self, sender: int, receiver: int, digests: list[bytes]) -> None:
        if self.vms[receiver].alive and sender in self.vms[receiver].links:
            self.vms[receiver].exchange.record_announcement(self.vms[sender].id, digests)

    # Simulation steps.

    def run(self, limit_s: float) -> SwarmResult:
        """Runs until every live VM is complete, or for `limit_s` simulated seconds."""
        while not self.complete and self.now - self.started_at < limit_s:
            self.step()
        return self.result()

    @property
    def complete(self) -> bool:
        """Whether every live VM holds every chunk, except for those that announce falsely."""
        return all(
            vm.completed_at is not None or vm.announces_falsely for vm in self.vms if vm.alive
        )

    def step(self) -> None:
        """Advances the simulation by one time step."""
        self.now += self.cfg.step_s
        while self.events and self.events[0][0] <= self.now + 1e-9:
            _, _, action, args = heapq.heappop(self.events)
            action(*args)
        for vm in self.vms:
            if vm.alive:
                self._announce(vm)
                if not vm.announces_falsely:
                    self._execute(vm, vm.exchange.plan(self.now))
                self._upload(vm)
        self._transfer_bytes()

    def _announce(self, vm: Vm) -> None:
        if vm.unannounced:
            for other in vm.links:
                self._send(vm, other, self._on_announcement, vm.unannounced)
            vm.unannounced = []

    def _execute(self, vm: Vm, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case FetchFromPeer(peer_id, digest, _):
                    self._send(vm, self.index_by_id[peer_id], self._on_fetch_request, digest)
                case FetchFromOrigin(digest, _):
                    self._fetch_from_origin(vm, digest)
                case CancelFetch(source, digest) if source == ORIGIN:
                    self.transfers = [
                        t
                        for t in self.transfers
                        if (t.source, t.receiver, t.digest) != (None, vm.index, digest)
                    ]

    def _fetch_from_origin(self, vm: Vm, digest: bytes) -> None:
        since, until = self.cfg.origin_outage
        if since <= self.now - self.started_at < until:
            vm.exchange.record_failure(digest, ORIGIN, "busy", self.now)
            return
        resources: tuple[Any, ...] = (ORIGIN, ("down", vm.index))
        if vm.region != self.home_region:
            resources += ((self.home_region, vm.region),)
        self.transfers.append(Transfer(None, vm.index, digest, self.sizes[digest], resources))

    def _upload(self, vm: Vm) -> None:
        """Starts queued uploads within the upload rate, at most one at a time to each peer."""
        ids = {self.vms[other].id: other for other in vm.links} if len(vm.uploads) else {}
        while len(vm.uploads):
            if vm.upload_bucket.ready_at(max(self.cfg.sizes), self.now) > self.now:
                return
            upload = vm.uploads.take(lambda peer_id: ids.get(peer_id) not in vm.uploading_to)
            if upload is None:
                return
            size = self.sizes[upload.digest]
            vm.upload_bucket.try_take(size, self.now)
            receiver = ids[upload.peer_id]
            resources: tuple[Any, ...] = (("up", vm.index), ("down", receiver))
            if vm.region != self.vms[receiver].region:
                resources += ((vm.region, self.vms[receiver].region),)
            vm.uploading_to[receiver] = 1
            vm.backlog_bytes += size
            self.transfers.append(Transfer(vm.index, receiver, upload.digest, size, resources))

    def _bytes_per_s(self, resource: Any) -> float:
        if resource == ORIGIN:
            copies = self.cfg.origin_copies
        elif resource[0] in ("up", "down"):
            copies = self.cfg.vm_copies
        else:
            copies = self.cfg.pair_copies
        return copies * self.cfg.total_bytes / self.cfg.target_s

    def _transfer_bytes(self) -> None:
        """Transfers the bytes of one step: equal shares of each link first, then unused shares."""
        active_transfers = [
            t for t in self.transfers if t.source is None or self._usable_link(t.source, t.receiver)
        ]
        self.rng.shuffle(active_transfers)
        counts: dict[Any, int] = {}
        for transfer in active_transfers:
            for resource in transfer.resources:
                counts[resource] = counts.get(resource, 0) + 1
        budget = {resource: self._bytes_per_s(resource) * self.cfg.step_s for resource in counts}
        fair_shares = {resource: budget[resource] / count for resource, count in counts.items()}
        for limits in (fair_shares, budget):
            for transfer in active_transfers:
                amount = min(transfer.bytes_left, *(limits[r] for r in transfer.resources))
                amount = min(amount, *(budget[r] for r in transfer.resources))
                if amount > 0:
                    transfer.bytes_left -= amount
                    for resource in transfer.resources:
                        budget[resource] -= amount
                    if transfer.source is None:
                        self.origin_bytes += amount
                    else:
                        self.vms[transfer.source].backlog_bytes -= amount
        completed = [t for t in active_transfers if t.bytes_left <= 1e-6]
        if completed:
            completed_ids = set(map(id, completed))
            self.transfers = [t for t in self.transfers if id(t) not in completed_ids]
            for transfer in completed:
                self._deliver(transfer)

    def _deliver(self, transfer: Transfer) -> None:
        vm = self.vms[transfer.receiver]
        digest = transfer.digest
        source_region = ""
        source_id = ORIGIN
        if transfer.source is not None:
            source = self.vms[transfer.source]
            source.uploading_to.pop(transfer.receiver, None)
            source_region, source_id = source.region, source.id
        if source_region != vm.region:
            key = (vm.region, digest)
            self.region_entries[key] = self.region_entries.get(key, 0) + 1
        if self.rng.random() < self.cfg.corruption_probability:
            vm.exchange.record_corrupt(digest, source_id, self.now)
            return
        if digest not in vm.held:
            vm.held[digest] = None
            vm.unannounced.append(digest)
            if len(vm.held) == len(self.sizes):
                vm.completed_at = self.now
        vm.exchange.record_arrival(digest, source_id, self.now)

    # Results.

    def result(self) -> SwarmResult:
        """Returns the result of the run so far."""
        completion_times = [
            vm.completed_at for vm in self.vms if vm.alive and vm.completed_at is not None
        ]
        seconds = (max(completion_times) if completion_times else self.now) - self.started_at
        entered = dict.fromkeys(self.cfg.regions, 0.0)
        for (region, digest), count in self.region_entries.items():
            entered[region] += count * self.sizes[digest] / self.cfg.total_bytes
        sorted_delays_s = sorted(self.message_delays_s)
        return SwarmResult(
            finished=self.complete,
            seconds=seconds,
            ratio=seconds / self.cfg.lower_bound_s,
            origin_copies=self.origin_bytes / self.cfg.total_bytes,
            entered=entered,
            entries_max=max(self.region_entries.values(), default=0),
            message_p95_s=sorted_delays_s[int(len(sorted_delays_s) * 0.95)]
            if sorted_delays_s
            else 0.0,
        )
