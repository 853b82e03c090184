"""Carries out the ring: fetches from peers and from the origin, and gives chunks to peers."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Protocol

import attrs

from fescuechute.checks import Address
from fescuechute.forwarding import Answer, CallerRequest
from fescuechute.net import HttpCall, HttpResult
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

#: Part of the link of the VM at which chunks are sent. Packet headers, acknowledgements of what is
#: received at the same time, and answers of the engine take up to 20 in 100; chunks sent faster would
#: queue in front of the link, and each request for the next chunk would wait behind them.
LINK_SHARE = 0.82
#: Bytes of credit that the upload must have before a chunk is sent, and at most. A chunk leaves a
#: debt; the rest of the credit makes up for timers that fire late.
UPLOAD_LEAST = 4096
UPLOAD_BURST = 24 << 10
#: Requests of one peer, and of all peers, that may wait for upload.
WAITING_PER_PEER = 24
WAITING_TOTAL = 72


#: Path prefix of chunks, followed by the digest in hexadecimal.
CHUNK_PATH = "/chunks/"
#: Seconds without a byte after which a chunk from a peer counts as lost.
SILENCE_S = 3.0
#: The same for a chunk that the peer does not have yet; the ring gives up such fetches itself when
#: their source stalls, so this only bounds how long a connection is kept.
AHEAD_SILENCE_S = 30.0


class Links(Protocol):
    """Links to other agents."""

    def send(self, peer_id: str, msg: Message) -> bool:
        """Sends a message; False when there is no usable link."""


class ChunkClient(Protocol):
    """HTTP calls, several at a time to one server, each on a connection of its own."""

    def call(
        self,
        method: str,
        server: tuple[str, int],
        path: str,
        on_end: Callable[[HttpResult], None],
        *,
        silence_s: float,
    ) -> HttpCall:
        """Starts a request."""

    def cancel(self, call: HttpCall) -> None:
        """Ends a call without its callback."""


class Origin(Protocol):
    """The origin of weights."""

    def chunk(
        self,
        origin: Address,
        model: str,
        version: int,
        index: int,
        on_end: Callable[[bytes | str], None],
    ) -> HttpCall:
        """Asks for one chunk."""


@attrs.frozen
class ChunkPlace:
    """Where the origin keeps a chunk."""

    origin: Address
    model: str
    version: int
    index: int


def sha256(data: bytes) -> bytes:
    """Returns the digest that manifests use."""
    return hashlib.sha256(data).digest()


def _digest(path: str) -> bytes | None:
    if not path.startswith(CHUNK_PATH):
        return None
    try:
        return bytes.fromhex(path.removeprefix(CHUNK_PATH))
    except ValueError:
        return None


class Sharing:
    """Chunks of one agent.

    Links carry announcements; chunks travel by HTTP, because one connection with a small window
    does not fill a link whose way back is busy (docs/platform.md has the figures).

    Args:
      self_id: Id of this agent, its IP number.
      links: Links to other agents.
      client: Fetches chunks from other agents.
      port: Port at which agents give chunks.
      origin: The origin of weights.
      place_of: Returns where the origin keeps a chunk, or None when no origin is known.
      on_chunk: Called after a chunk was stored.
      call_at: Calls a function at a unix time.
      link_bits_s: Rate of the link of the VM.
      now: Returns unix seconds.
      telemetry: Counts where chunks came from.
    """

    def __init__(
        self,
        self_id: str,
        links: Links,
        client: ChunkClient,
        port: int,
        origin: Origin,
        place_of: Callable[[bytes], ChunkPlace | None],
        on_chunk: Callable[[], None],
        call_at: Callable[[float, Callable[[], None]], None],
        link_bits_s: float,
        now: Callable[[], float],
        telemetry: Telemetry,
    ):
        self.store = BlobStore(sha256)
        self.ring = Ring(self_id, self.store)
        self._self_id = self_id
        self._links = links
        self._client = client
        self._port = port
        self._origin = origin
        self._place_of = place_of
        self._on_chunk = on_chunk
        self._now = now
        self._telemetry = telemetry
        self._call_at = call_at
        self._uploads = UploadQueue(WAITING_PER_PEER, WAITING_TOTAL, first_run=None)
        self._upload = TokenBucket(link_bits_s / 8 * LINK_SHARE, UPLOAD_BURST)
        self._wake_at = 0.0
        self._waiting: dict[tuple[str, bytes], Answer] = {}
        self._calls: dict[bytes, HttpCall] = {}
        #: Position up to which each peer was told what is held here.
        self._told: dict[str, int] = {}

    # Inputs.

    def keep(self, digests: Iterable[bytes]) -> None:
        """Drops all chunks but these."""
        self.store.retain(digests)

    def want(self, digests: Iterable[bytes]) -> None:
        """Replaces the wanted chunks."""
        self.ring.want(digests)

    def add(self, digest: bytes, data: bytes) -> bool:
        """Stores a chunk found elsewhere than at a source; False when its digest differs."""
        if not self.store.put(digest, data):
            return False
        self.ring.arrived(digest, self._now())
        return True

    def peer_up(self, peer_id: str) -> None:
        """A link to an agent is up."""
        self.ring.peer_up(peer_id)
        self._told[peer_id] = 0

    def peer_down(self, peer_id: str) -> None:
        """A link is gone."""
        self.ring.peer_down(peer_id)
        self._uploads.peer_down(peer_id)
        self._told.pop(peer_id, None)

    @singledispatchmethod
    def receive(self, msg: Message, peer_id: str) -> None:
        """Handles a message of an agent; others than those of the exchange are ignored."""

    @receive.register
    def _(self, msg: Have, peer_id: str) -> None:
        self.ring.peer_has(peer_id, msg.blobs, self._now())
        self.run()

    def serve(self, request: CallerRequest) -> None:
        """Gives a chunk to the agent that asks for it, when its turn has come."""
        path, _, peer_id = request.target.decode("latin-1").partition("?")
        digest = _digest(path)
        if digest is None:
            request.answer.send(404, [], b"")
            return
        if not self.store.has(digest) and len(self._waiting) >= WAITING_TOTAL:
            request.answer.send(503, [], b"")
            return
        self._waiting[peer_id, digest] = request.answer
        request.answer.on_gone = lambda: self._give_up(peer_id, digest)
        # Others are given on as soon as they arrive; the declaration may reach this agent later.
        if self.store.has(digest):
            self._offer(peer_id, digest)
            self._send_uploads()

    def _offer(self, peer_id: str, digest: bytes) -> None:
        if not self._uploads.offer(peer_id, digest, self.ring.is_next(peer_id)):
            self._waiting.pop((peer_id, digest)).send(503, [], b"")

    def _give_up(self, peer_id: str, digest: bytes) -> None:
        self._uploads.cancel(peer_id, digest)
        self._waiting.pop((peer_id, digest), None)

    # Systems.

    def run(self) -> None:
        """Starts the fetches that are due."""
        for command in self.ring.plan(self._now()):
            self._carry_out(command)

    def tick(self) -> None:
        """Starts the fetches that are due and tells the agents behind this one what is new."""
        self.run()
        for peer_id in self._told:
            if self.ring.is_behind(peer_id):
                self._announce(peer_id)

    @singledispatchmethod
    def _carry_out(self, command: Command) -> None:
        raise TypeError(f"Unknown command {command!r}")

    @_carry_out.register
    def _(self, command: FetchFromPeer) -> None:
        digest, peer_id = command.digest, command.peer_id
        self._calls[digest] = self._client.call(
            "GET",
            (peer_id, self._port),
            f"{CHUNK_PATH}{digest.hex()}?{self._self_id}",
            lambda result: self._peer_answered(digest, peer_id, result),
            silence_s=AHEAD_SILENCE_S if command.deadline == float("inf") else SILENCE_S,
        )

    @_carry_out.register
    def _(self, command: FetchFromOrigin) -> None:
        place = self._place_of(command.digest)
        if place is None:
            self.ring.refused(command.digest, ORIGIN, self._now())
            return
        digest = command.digest
        self._calls[digest] = self._origin.chunk(
            place.origin,
            place.model,
            place.version,
            place.index,
            lambda answer: self._origin_answered(digest, answer),
        )

    @_carry_out.register
    def _(self, command: CancelFetch) -> None:
        call = self._calls.pop(command.digest, None)
        if call is not None:
            self._client.cancel(call)

    def _send_uploads(self) -> None:
        now = self._now()
        while len(self._uploads):
            ready_at = self._upload.ready_at(UPLOAD_LEAST, now)
            if ready_at > now:
                if self._wake_at <= now:
                    self._wake_at = ready_at
                    self._call_at(ready_at, self._send_uploads)
                return
            upload = self._uploads.take()
            if upload is None:
                return
            answer = self._waiting.pop((upload.peer_id, upload.digest), None)
            data = self.store.get(upload.digest)
            if answer is None:
                continue
            if data is None:
                answer.send(404, [], b"")
                continue
            self._upload.spend(len(data), now)
            self._telemetry.count("chunk.sent")
            answer.send(200, [], data)

    def _peer_answered(self, digest: bytes, peer_id: str, result: HttpResult) -> None:
        self._calls.pop(digest, None)
        if result.ok:
            self._arrived(digest, peer_id, result.body)
            return
        reason = result.error or f"status {result.status}"
        self._telemetry.event("chunk.failed", source=peer_id, reason=reason)
        self.ring.refused(digest, peer_id, self._now())
        self.run()

    def _origin_answered(self, digest: bytes, answer: bytes | str) -> None:
        self._calls.pop(digest, None)
        if isinstance(answer, bytes):
            self._arrived(digest, ORIGIN, answer)
            return
        self._telemetry.event("chunk.failed", source=ORIGIN, reason=answer)
        self.ring.refused(digest, ORIGIN, self._now())
        self.run()

    def _arrived(self, digest: bytes, source: str, data: bytes) -> None:
        if self.store.put(digest, data):
            self._telemetry.count("chunk.arrived", ORIGIN if source == ORIGIN else "peer")
            self.ring.arrived(digest, self._now())
            self._pass_on(digest)
            self._on_chunk()
        else:
            self._telemetry.event("chunk.corrupt", source=source, digest=digest.hex()[:16])
            self.ring.bad(digest, source, self._now())
        self.run()

    def _pass_on(self, digest: bytes) -> None:
        for peer_id, wanted in list(self._waiting):
            if wanted == digest:
                self._offer(peer_id, digest)
        self._send_uploads()

    def _announce(self, peer_id: str) -> None:
        digests, cursor = self.store.added_since(self._told[peer_id])
        self._told[peer_id] = cursor
        if digests:
            self._links.send(peer_id, Have(digests))
