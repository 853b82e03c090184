"""Carries out the exchange of blobs: fetches from peers and origin, uploads to peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from fescuechute.net import HttpCall, HttpResult
from fescuechute.node import pair
from fescuechute.weights import (
    CHUNK_BYTES,
    ORIGIN,
    BlobStore,
    CancelFetch,
    Command,
    Exchange,
    ExchangeLimits,
    FetchFromOrigin,
    FetchFromPeer,
    TokenBucket,
    UploadQueue,
)
from fescuechute.wire import Blob, BlobRefused, FetchBlob, Have

if TYPE_CHECKING:
    from fescuechute.agent._daemon import AgentDaemon

#: Digests in one Have message; 32 bytes each, far below the frame limit.
_HAVE_DIGESTS = 4096
#: Bytes that may wait on a peer's link before the next blob is sent to it. More would delay the
#: requests and answers that share the link.
_MAX_BUFFERED = 2 * CHUNK_BYTES


class ExchangeSystem:
    """Blobs of one agent."""

    def __init__(self, node: AgentDaemon, on_blob: Callable[[bytes], None]):
        cfg = node.cfg
        proc = cfg.process
        self._node = node
        self._on_blob = on_blob
        rng = random.Random(f"exchange/{proc.id}/{node.boot_id}")
        limits = ExchangeLimits(parallel=cfg.exchange.parallel)
        self.store = BlobStore()
        home = cfg.platform.store_region
        self.plan = Exchange(proc.id, proc.region, home, self.store, rng, limits)
        self._sources = [pair(cfg.platform.origin), pair(cfg.platform.store)]
        self._failures = 0
        self._calls: dict[bytes, HttpCall] = {}
        self._uploads = UploadQueue()
        self._upload = TokenBucket(cfg.exchange.upload_bytes_s, CHUNK_BYTES)
        self._download = TokenBucket(cfg.exchange.download_bytes_s, CHUNK_BYTES)
        #: Position up to which each peer was told what is held here.
        self._told: dict[str, int] = {}
        self._wake_at = 0.0

    # Inputs.

    def want(self, digests: Iterable[bytes]) -> None:
        """Replaces the wanted blobs and drops those no longer wanted."""
        wanted = list(digests)
        self.plan.want(wanted)
        self.store.retain(wanted)

    def peer_up(self, peer_id: str, region: str) -> None:
        """A link to an agent is up."""
        self.plan.peer_up(peer_id, region)
        self._told[peer_id] = 0
        self._announce(peer_id)

    def peer_down(self, peer_id: str) -> None:
        """A link is gone."""
        self.plan.peer_down(peer_id)
        self._uploads.peer_down(peer_id)
        self._told.pop(peer_id, None)

    def on_have(self, peer_id: str, msg: Have) -> None:
        """A peer announces blobs."""
        self.plan.record_announcement(peer_id, msg.blobs)
        self.run(self._node.clock.now())

    def on_blob(self, peer_id: str, msg: Blob) -> None:
        """A peer delivers a blob."""
        self._arrived(msg.digest, peer_id, msg.data)

    def on_blob_refused(self, peer_id: str, msg: BlobRefused) -> None:
        """A peer cannot deliver a blob now."""
        now = self._node.clock.now()
        self._node.count(f"chunks.refused.{msg.reason}")
        self.plan.record_failure(msg.digest, peer_id, msg.reason, now)
        self.run(now)

    def on_fetch(self, peer_id: str, msg: FetchBlob) -> None:
        """A peer asks for a blob."""
        if not self.store.has(msg.digest):
            self._node.hub.send(peer_id, BlobRefused(msg.digest, "missing"))
        elif self._uploads.offer(peer_id, msg.digest, self.plan.is_first_copy(peer_id, msg.digest)):
            self.run(self._node.clock.now())
        else:
            self._node.count("chunks.busy")
            self._node.hub.send(peer_id, BlobRefused(msg.digest, "busy"))

    def set_load(self, busy: bool, now: float) -> None:
        """Requests run on the upstream: chunks take only their share of the link."""
        share = self._node.cfg.exchange.share_under_load if busy else 1.0
        self._upload.set_share(share, now)
        self._download.set_share(share, now)

    # Systems.

    def run(self, now: float) -> None:
        """Starts the fetches and uploads that are due."""
        while True:
            allowed = 1 if self._download.ready_at(CHUNK_BYTES, now) <= now else 0
            commands = self.plan.plan(now, allowed)
            if not commands:
                break
            for command in commands:
                self._carry_out(command)
        self._send_uploads(now)
        for peer_id in list(self._told):
            self._announce(peer_id)

    @singledispatchmethod
    def _carry_out(self, command: Command) -> None:
        raise TypeError(f"Unknown command {command!r}")

    @_carry_out.register
    def _(self, command: FetchFromPeer) -> None:
        now = self._node.clock.now()
        self._download.try_take(CHUNK_BYTES, now)
        self._node.count("chunks.asked_peer")
        if not self._node.hub.send(command.peer_id, FetchBlob(command.digest)):
            self.plan.record_failure(command.digest, command.peer_id, "busy", now)

    @_carry_out.register
    def _(self, command: FetchFromOrigin) -> None:
        self._download.try_take(CHUNK_BYTES, self._node.clock.now())
        self._node.count("chunks.asked_origin")
        # The store is asked after the origin failed, and the origin again after that.
        server = self._sources[self._failures % 2]
        digest = command.digest
        self._calls[digest] = self._node.http.call(
            "GET",
            server,
            f"/blobs/{digest.hex()}",
            lambda result: self._origin_answered(digest, result),
            silence_s=max(2.0, command.deadline - self._node.clock.now()),
            deadline=command.deadline,
        )

    @_carry_out.register
    def _(self, command: CancelFetch) -> None:
        call = self._calls.pop(command.digest, None) if command.source == ORIGIN else None
        if call is not None:
            self._node.http.cancel(call)

    def _origin_answered(self, digest: bytes, result: HttpResult) -> None:
        self._calls.pop(digest, None)
        if result.ok:
            self._node.count("chunks.from_origin")
            self._arrived(digest, ORIGIN, result.body)
            return
        self._failures += 1
        now = self._node.clock.now()
        self._node.count("chunks.origin_failed")
        self.plan.record_failure(digest, ORIGIN, result.error or str(result.status), now)

    def _arrived(self, digest: bytes, source: str, data: bytes) -> None:
        now = self._node.clock.now()
        if self.store.put(digest, data):
            self.plan.record_arrival(digest, source, now)
            self._on_blob(digest)
        else:
            self._node.count("chunks.corrupt")
            self._node.log.warn("A chunk from {} does not match its digest.", source)
            self.plan.record_corrupt(digest, source, now)
        self.run(now)

    def _send_uploads(self, now: float) -> None:
        hub = self._node.hub
        while len(self._uploads):
            ready_at = self._upload.ready_at(CHUNK_BYTES, now)
            if ready_at > now:
                self._wake(ready_at, now)
                return
            upload = self._uploads.take(lambda peer_id: hub.buffered(peer_id) < _MAX_BUFFERED)
            if upload is None:
                return
            data = self.store.get(upload.digest)
            if data is None:
                hub.send(upload.peer_id, BlobRefused(upload.digest, "missing"))
                continue
            self._upload.try_take(len(data), now)
            self._node.count("chunks.sent")
            hub.send(upload.peer_id, Blob(upload.digest, data))

    def _wake(self, at: float, now: float) -> None:
        if self._wake_at <= now:
            self._wake_at = at
            self._node.loop.call_at(at, lambda: self.run(self._node.clock.now()))

    def _announce(self, peer_id: str) -> None:
        digests, cursor = self.store.added_since(self._told[peer_id])
        self._told[peer_id] = cursor
        for begin in range(0, len(digests), _HAVE_DIGESTS):
            self._node.hub.send(peer_id, Have(digests[begin : begin + _HAVE_DIGESTS]))
