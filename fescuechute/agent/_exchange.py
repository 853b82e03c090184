"""Transfer of blobs: fetches from peers and the origin, and uploads to peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from fescuechute.net import HttpCall, HttpResult
from fescuechute.node import socket_address
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

#: Maximum number of digests per Have message; 32 bytes each, far below the frame limit.
_MAX_HAVE_DIGESTS = 4096
#: Number of buffered bytes on a peer's link from which no further blob is sent to it. More would delay
#: the requests and answers that share the link.
_MAX_BUFFERED_BYTES = 2 * CHUNK_BYTES
#: Minimum seconds without data after which a fetch from the origin or the store fails.
_MIN_ORIGIN_SILENCE_S = 2.0


class ChunkExchange:
    """Executes the fetches that `Exchange` plans, and uploads blobs to peers within rate limits."""

    def __init__(self, node: AgentDaemon, on_stored: Callable[[bytes], None]):
        cfg = node.cfg
        proc = cfg.process
        self._node = node
        self._on_stored = on_stored
        rng = random.Random(f"exchange/{proc.id}/{node.boot_id}")
        limits = ExchangeLimits(parallel=cfg.exchange.parallel)
        self.store = BlobStore()
        home = cfg.platform.store_region
        self.planner = Exchange(proc.id, proc.region, home, self.store, rng, limits)
        #: The origin and the store, which are used in turn after failures.
        self._sources = [socket_address(cfg.platform.origin), socket_address(cfg.platform.store)]
        self._origin_failures = 0
        #: Fetches in flight from the origin or the store, by digest.
        self._calls: dict[bytes, HttpCall] = {}
        self._uploads = UploadQueue()
        self._upload_bucket = TokenBucket(cfg.exchange.upload_bytes_s, CHUNK_BYTES)
        self._download_bucket = TokenBucket(cfg.exchange.download_bytes_s, CHUNK_BYTES)
        #: Cursor into the additions of the store up to which they were announced, by peer.
        self._announced_cursors: dict[str, int] = {}
        self._next_run_at = 0.0

    # Inputs.

    def want(self, digests: Iterable[bytes]) -> None:
        """Replaces the set of wanted blobs and drops all others."""
        wanted = list(digests)
        self.planner.want(wanted)
        self.store.retain(wanted)

    def peer_up(self, peer_id: str, region: str) -> None:
        """Adds a peer and announces all held blobs to it."""
        self.planner.peer_up(peer_id, region)
        self._announced_cursors[peer_id] = 0
        self._announce(peer_id)

    def peer_down(self, peer_id: str) -> None:
        """Removes a peer and its upload requests."""
        self.planner.peer_down(peer_id)
        self._uploads.peer_down(peer_id)
        self._announced_cursors.pop(peer_id, None)

    def on_have(self, peer_id: str, msg: Have) -> None:
        """Records the blobs that a peer announces."""
        self.planner.record_announcement(peer_id, msg.blobs)
        self.run(self._node.clock.now())

    def on_blob(self, peer_id: str, msg: Blob) -> None:
        """Verifies and stores a blob from a peer."""
        self._verify_and_store(msg.digest, peer_id, msg.data)

    def on_blob_refused(self, peer_id: str, msg: BlobRefused) -> None:
        """Records that a peer refused to send a blob."""
        now = self._node.clock.now()
        self._node.count(f"chunks.refused.{msg.reason}")
        self.planner.record_failure(msg.digest, peer_id, msg.reason, now)
        self.run(now)

    def on_fetch(self, peer_id: str, msg: FetchBlob) -> None:
        """Queues or refuses the upload of a blob that a peer requests."""
        if not self.store.has(msg.digest):
            self._node.hub.send(peer_id, BlobRefused(msg.digest, "missing"))
        elif self._uploads.offer(
            peer_id, msg.digest, self.planner.is_first_copy(peer_id, msg.digest)
        ):
            self.run(self._node.clock.now())
        else:
            self._node.count("chunks.busy")
            self._node.hub.send(peer_id, BlobRefused(msg.digest, "busy"))

    def set_load(self, busy: bool, now: float) -> None:
        """Limits transfers to their share of the link while requests run on the upstream."""
        share = self._node.cfg.exchange.share_under_load if busy else 1.0
        self._upload_bucket.set_share(share, now)
        self._download_bucket.set_share(share, now)

    # Execution.

    def run(self, now: float) -> None:
        """Starts due fetches and uploads, and announces new blobs."""
        while True:
            max_new_fetches = 1 if self._download_bucket.ready_at(CHUNK_BYTES, now) <= now else 0
            commands = self.planner.plan(now, max_new_fetches)
            if not commands:
                break
            for command in commands:
                self._execute(command)
        self._send_uploads(now)
        for peer_id in list(self._announced_cursors):
            self._announce(peer_id)

    @singledispatchmethod
    def _execute(self, command: Command) -> None:
        raise TypeError(f"Unknown command {command!r}")

    @_execute.register
    def _(self, command: FetchFromPeer) -> None:
        now = self._node.clock.now()
        self._download_bucket.try_take(CHUNK_BYTES, now)
        self._node.count("chunks.asked_peer")
        if not self._node.hub.send(command.peer_id, FetchBlob(command.digest)):
            self.planner.record_failure(command.digest, command.peer_id, "busy", now)

    @_execute.register
    def _(self, command: FetchFromOrigin) -> None:
        self._download_bucket.try_take(CHUNK_BYTES, self._node.clock.now())
        self._node.count("chunks.asked_origin")
        # Each failure switches between the origin and the store.
        server = self._sources[self._origin_failures % 2]
        digest = command.digest
        self._calls[digest] = self._node.http.call(
            "GET",
            server,
            f"/blobs/{digest.hex()}",
            lambda result: self._on_origin_result(digest, result),
            idle_timeout_s=max(_MIN_ORIGIN_SILENCE_S, command.deadline - self._node.clock.now()),
            deadline=command.deadline,
        )

    @_execute.register
    def _(self, command: CancelFetch) -> None:
        call = self._calls.pop(command.digest, None) if command.source == ORIGIN else None
        if call is not None:
            self._node.http.cancel(call)

    def _on_origin_result(self, digest: bytes, result: HttpResult) -> None:
        self._calls.pop(digest, None)
        if result.ok:
            self._node.count("chunks.from_origin")
            self._verify_and_store(digest, ORIGIN, result.body)
            return
        self._origin_failures += 1
        now = self._node.clock.now()
        self._node.count("chunks.origin_failed")
        self.planner.record_failure(digest, ORIGIN, result.error or str(result.status), now)

    def _verify_and_store(self, digest: bytes, source: str, data: bytes) -> None:
        now = self._node.clock.now()
        if self.store.put(digest, data):
            self.planner.record_arrival(digest, source, now)
            self._on_stored(digest)
        else:
            self._node.count("chunks.corrupt")
            self._node.log.warn("A chunk from {} does not match its digest.", source)
            self.planner.record_corrupt(digest, source, now)
        self.run(now)

    def _send_uploads(self, now: float) -> None:
        hub = self._node.hub
        while len(self._uploads):
            ready_at = self._upload_bucket.ready_at(CHUNK_BYTES, now)
            if ready_at > now:
                self._schedule_run(ready_at, now)
                return
            upload = self._uploads.take(lambda peer_id: hub.buffered(peer_id) < _MAX_BUFFERED_BYTES)
            if upload is None:
                return
            data = self.store.get(upload.digest)
            if data is None:
                hub.send(upload.peer_id, BlobRefused(upload.digest, "missing"))
                continue
            self._upload_bucket.try_take(len(data), now)
            self._node.count("chunks.sent")
            hub.send(upload.peer_id, Blob(upload.digest, data))

    def _schedule_run(self, at: float, now: float) -> None:
        if self._next_run_at <= now:
            self._next_run_at = at
            self._node.loop.call_at(at, lambda: self.run(self._node.clock.now()))

    def _announce(self, peer_id: str) -> None:
        digests, cursor = self.store.added_since(self._announced_cursors[peer_id])
        self._announced_cursors[peer_id] = cursor
        for start in range(0, len(digests), _MAX_HAVE_DIGESTS):
            self._node.hub.send(peer_id, Have(digests[start : start + _MAX_HAVE_DIGESTS]))
