"""Transfer of chunks: executes the fetches that the ring decides and serves chunks to peers."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Protocol

import attrs

from fescuechute.checks import Address
from fescuechute.forwarding import ClientRequest, Response
from fescuechute.net import MAX_BODY_BYTES, HttpCall, HttpResult
from fescuechute.telemetry import Telemetry
from fescuechute.weights import (
    ORIGIN,
    BlobStore,
    CancelFetch,
    Command,
    FetchFromOrigin,
    FetchFromPeer,
    Ring,
    TokenBucket,
    UploadQueue,
)
from fescuechute.wire import Have, Message

#: Share of the bandwidth of the VM's link that is used to send chunks. Packet headers,
#: acknowledgements of received data and responses of the engine take up to 20% of the link. Chunks
#: sent faster would queue in front of the link and delay requests for further chunks.
USABLE_LINK_SHARE = 0.82
#: Upload credit, in bytes, that is required before a chunk is sent, and the most that accumulates.
#: Sending a chunk leaves a debt; credit above the minimum compensates for timers that fire late.
MIN_UPLOAD_CREDIT_BYTES = 4096
MAX_UPLOAD_CREDIT_BYTES = 24 << 10
#: Requests of one peer, and of all peers, that may wait for upload.
MAX_WAITING_PER_PEER = 24
MAX_WAITING_TOTAL = 72


#: Path prefix of chunks, followed by the digest in hexadecimal.
CHUNK_PATH = "/chunks/"
#: Seconds without a received byte after which a fetch of a chunk from a peer fails.
CHUNK_IDLE_TIMEOUT_S = 3.0
#: The same for a chunk that the peer has not announced yet. The ring cancels such a fetch when its
#: source stalls, so this only bounds how long the connection is kept.
UNANNOUNCED_CHUNK_IDLE_TIMEOUT_S = 30.0


class PeerLinks(Protocol):
    """Links to other stagers."""

    def send(self, peer_id: str, msg: Message) -> bool:
        """Sends a message; returns False if there is no usable link."""


class ChunkClient(Protocol):
    """HTTP client that runs concurrent calls to one server on separate connections."""

    def call(
        self,
        method: str,
        server: tuple[str, int],
        path: str,
        on_end: Callable[[HttpResult], None],
        *,
        idle_timeout_s: float,
        max_body_bytes: int,
    ) -> HttpCall:
        """Starts a request."""

    def cancel(self, call: HttpCall) -> None:
        """Cancels a call; its callback is not called."""


class Origin(Protocol):
    """The origin of weights."""

    def fetch_chunk(
        self,
        origin: Address,
        model: str,
        version: int,
        index: int,
        on_end: Callable[[bytes | str], None],
        *,
        max_bytes: int,
    ) -> HttpCall:
        """Requests one chunk; passes on its bytes, or the reason of the failure."""


@attrs.frozen
class ChunkLocation:
    """Where a chunk is found at the origin."""

    origin: Address
    model: str
    version: int
    index: int


def sha256(data: bytes) -> bytes:
    """Returns the SHA-256 digest, by which manifests identify chunks."""
    return hashlib.sha256(data).digest()


def _digest_from_path(path: str) -> bytes | None:
    if not path.startswith(CHUNK_PATH):
        return None
    try:
        return bytes.fromhex(path.removeprefix(CHUNK_PATH))
    except ValueError:
        return None


class ChunkTransfer:
    """Stores the chunks of one stager, fetches missing ones and serves them to peers.

    Announcements are sent over links and chunks over HTTP, on several connections at a time: a single
    connection with a small window does not fill a link whose return direction is busy
    (docs/platform.md has the figures).

    Args:
      self_id: Id of this stager, its IP address.
      links: Links to other stagers.
      client: Fetches chunks from other stagers.
      port: Port at which every stager serves chunks.
      origin: The origin of weights.
      locate_chunk: Returns where a chunk is found at the origin, or None if that is not known.
      on_stored: Called after a fetched chunk was stored.
      call_at: Calls a function at a time in unix seconds.
      link_bits_s: Bandwidth of the VM's link in bits per second.
      now: Returns unix seconds.
      telemetry: Receives counters and log lines.
    """

    def __init__(
        self,
        self_id: str,
        links: PeerLinks,
        client: ChunkClient,
        port: int,
        origin: Origin,
        locate_chunk: Callable[[bytes], ChunkLocation | None],
        on_stored: Callable[[], None],
        call_at: Callable[[float, Callable[[], None]], None],
        link_bits_s: float,
        now: Callable[[], float],
        telemetry: Telemetry,
    ):
        self.store = BlobStore(sha256)
        self.ring = Ring(self_id, self.store)
        #: Limit in bytes on a chunk that is fetched.
        self.max_chunk_bytes = MAX_BODY_BYTES
        self._self_id = self_id
        self._links = links
        self._client = client
        self._port = port
        self._origin = origin
        self._locate_chunk = locate_chunk
        self._on_stored = on_stored
        self._now = now
        self._telemetry = telemetry
        self._call_at = call_at
        self._upload_queue = UploadQueue(
            MAX_WAITING_PER_PEER, MAX_WAITING_TOTAL, max_first_copy_run=None
        )
        self._upload_bucket = TokenBucket(
            link_bits_s / 8 * USABLE_LINK_SHARE, MAX_UPLOAD_CREDIT_BYTES
        )
        #: Unix seconds for which the next sending of queued uploads is scheduled.
        self._next_send_at = 0.0
        #: Unanswered requests of peers, by peer id and digest. Those for chunks that are not held
        #: are not in the upload queue yet.
        self._waiting_responses: dict[tuple[str, bytes], Response] = {}
        #: Fetches in flight, by digest.
        self._fetch_calls: dict[bytes, HttpCall] = {}
        #: Chunks fetched from the origin and from peers since the start.
        self.fetched_from_origin = 0
        self.fetched_from_peers = 0
        #: Cursor into the store up to which chunks were announced to each linked peer.
        self._announced_up_to: dict[str, int] = {}

    # Inputs.

    def retain(self, digests: Iterable[bytes]) -> None:
        """Deletes all stored chunks except these."""
        self.store.retain(digests)

    def set_wanted(self, digests: Iterable[bytes]) -> None:
        """Replaces the set of chunks to fetch."""
        self.ring.want(digests)

    def add(self, digest: bytes, data: bytes) -> bool:
        """Verifies and stores a chunk that was not fetched; returns False if its digest differs."""
        if not self.store.put(digest, data):
            return False
        self.ring.record_arrival(digest, self._now())
        return True

    def peer_up(self, peer_id: str) -> None:
        """Handles a new link to a peer."""
        self.ring.peer_up(peer_id)
        self._announced_up_to[peer_id] = 0

    def peer_down(self, peer_id: str) -> None:
        """Handles the loss of a link to a peer."""
        self.ring.peer_down(peer_id)
        self._upload_queue.peer_down(peer_id)
        self._announced_up_to.pop(peer_id, None)

    @singledispatchmethod
    def receive(self, msg: Message, peer_id: str) -> None:
        """Handles an announcement of a peer; messages of other types are ignored."""

    @receive.register
    def _(self, msg: Have, peer_id: str) -> None:
        self.ring.record_announcement(peer_id, msg.blobs, self._now())
        self.start_fetches()

    def serve(self, request: ClientRequest) -> None:
        """Accepts a peer's request for a chunk, or rejects it with status 404 or 503."""
        path, _, peer_id = request.target.decode("latin-1").partition("?")
        digest = _digest_from_path(path)
        if digest is None:
            request.response.send(404, [], b"")
            return
        if not self.store.has(digest) and len(self._waiting_responses) >= MAX_WAITING_TOTAL:
            request.response.send(503, [], b"")
            return
        self._waiting_responses[peer_id, digest] = request.response
        request.response.on_disconnect = lambda: self._cancel_upload(peer_id, digest)
        # A chunk that is not held is sent once it arrives; the declaration of its version may still
        # be on its way to this stager.
        if self.store.has(digest):
            self._queue_upload(peer_id, digest)
            self._send_uploads()

    def _queue_upload(self, peer_id: str, digest: bytes) -> None:
        if not self._upload_queue.offer(peer_id, digest, self.ring.is_direct_successor(peer_id)):
            self._waiting_responses.pop((peer_id, digest)).send(503, [], b"")

    def _cancel_upload(self, peer_id: str, digest: bytes) -> None:
        self._upload_queue.cancel(peer_id, digest)
        self._waiting_responses.pop((peer_id, digest), None)

    # Periodic work.

    def start_fetches(self) -> None:
        """Executes the commands of the ring that are due."""
        for command in self.ring.plan(self._now()):
            self._execute(command)

    def tick(self) -> None:
        """Starts the fetches that are due and announces new chunks to the successors in the ring."""
        self.start_fetches()
        for peer_id in self._announced_up_to:
            if self.ring.is_successor(peer_id):
                self._announce(peer_id)

    @singledispatchmethod
    def _execute(self, command: Command) -> None:
        raise TypeError(f"Unknown command {command!r}")

    @_execute.register
    def _(self, command: FetchFromPeer) -> None:
        digest, peer_id = command.digest, command.peer_id
        self._fetch_calls[digest] = self._client.call(
            "GET",
            (peer_id, self._port),
            f"{CHUNK_PATH}{digest.hex()}?{self._self_id}",
            lambda result: self._on_peer_response(digest, peer_id, result),
            idle_timeout_s=UNANNOUNCED_CHUNK_IDLE_TIMEOUT_S
            if command.deadline == float("inf")
            else CHUNK_IDLE_TIMEOUT_S,
            max_body_bytes=self.max_chunk_bytes,
        )

    @_execute.register
    def _(self, command: FetchFromOrigin) -> None:
        location = self._locate_chunk(command.digest)
        if location is None:
            self.ring.record_failure(command.digest, ORIGIN, self._now())
            return
        digest = command.digest
        self._fetch_calls[digest] = self._origin.fetch_chunk(
            location.origin,
            location.model,
            location.version,
            location.index,
            lambda response: self._on_origin_response(digest, response),
            max_bytes=self.max_chunk_bytes,
        )

    @_execute.register
    def _(self, command: CancelFetch) -> None:
        call = self._fetch_calls.pop(command.digest, None)
        if call is not None:
            self._client.cancel(call)

    def _send_uploads(self) -> None:
        now = self._now()
        while len(self._upload_queue):
            ready_at = self._upload_bucket.ready_at(MIN_UPLOAD_CREDIT_BYTES, now)
            if ready_at > now:
                if self._next_send_at <= now:
                    self._next_send_at = ready_at
                    self._call_at(ready_at, self._send_uploads)
                return
            upload = self._upload_queue.take()
            if upload is None:
                return
            response = self._waiting_responses.pop((upload.peer_id, upload.digest), None)
            data = self.store.get(upload.digest)
            if response is None:
                continue
            if data is None:
                response.send(404, [], b"")
                continue
            self._upload_bucket.spend(len(data), now)
            self._telemetry.count("chunk.sent")
            response.send(200, [], data)

    def _on_peer_response(self, digest: bytes, peer_id: str, result: HttpResult) -> None:
        self._fetch_calls.pop(digest, None)
        if result.ok:
            self._on_chunk_received(digest, peer_id, result.body)
            return
        reason = result.error or f"status {result.status}"
        self._telemetry.event("chunk.failed", source=peer_id, reason=reason)
        self.ring.record_failure(digest, peer_id, self._now())
        self.start_fetches()

    def _on_origin_response(self, digest: bytes, response: bytes | str) -> None:
        self._fetch_calls.pop(digest, None)
        if isinstance(response, bytes):
            self._on_chunk_received(digest, ORIGIN, response)
            return
        self._telemetry.event("chunk.failed", source=ORIGIN, reason=response)
        self.ring.record_failure(digest, ORIGIN, self._now())
        self.start_fetches()

    def _on_chunk_received(self, digest: bytes, source: str, data: bytes) -> None:
        if self.store.put(digest, data):
            self._telemetry.count("chunk.arrived", ORIGIN if source == ORIGIN else "peer")
            if source == ORIGIN:
                self.fetched_from_origin += 1
            else:
                self.fetched_from_peers += 1
            self.ring.record_arrival(digest, self._now())
            self._queue_waiting_uploads(digest)
            self._on_stored()
        else:
            self._telemetry.event("chunk.corrupt", source=source, digest=digest.hex()[:16])
            self.ring.record_corrupt(digest, source, self._now())
        self.start_fetches()

    def _queue_waiting_uploads(self, digest: bytes) -> None:
        for peer_id, wanted_digest in list(self._waiting_responses):
            if wanted_digest == digest:
                self._queue_upload(peer_id, digest)
        self._send_uploads()

    def _announce(self, peer_id: str) -> None:
        digests, cursor = self.store.added_since(self._announced_up_to[peer_id])
        self._announced_up_to[peer_id] = cursor
        if digests:
            self._links.send(peer_id, Have(digests))
