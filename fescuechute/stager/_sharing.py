"""Carries out the chain: fetches from peers and from the origin, and gives chunks to peers."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Protocol

import attrs

from fescuechute.checks import Address
from fescuechute.net import HttpCall
from fescuechute.telemetry import Telemetry
from fescuechute.weights import (
    ORIGIN,
    BlobStore,
    CancelFetch,
    Chain,
    Command,
    FetchFromOrigin,
    FetchFromPeer,
)
from fescuechute.wire import Blob, BlobRefused, FetchBlob, Have, Message


class Links(Protocol):
    """Links to other agents."""

    def send(self, peer_id: str, msg: Message) -> bool:
        """Sends a message; False when there is no usable link."""


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

    def cancel(self, call: HttpCall) -> None:
        """Ends a call without its callback."""


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


class Sharing:
    """Chunks of one agent.

    Args:
      self_id: Id of this agent.
      links: Links to other agents.
      origin: The origin of weights.
      place_of: Returns where the origin keeps a chunk, or None when no origin is known.
      on_chunk: Called after a chunk was stored.
      now: Returns unix seconds.
      telemetry: Counts where chunks came from.
    """

    def __init__(
        self,
        self_id: str,
        links: Links,
        origin: Origin,
        place_of: Callable[[bytes], ChunkPlace | None],
        on_chunk: Callable[[], None],
        now: Callable[[], float],
        telemetry: Telemetry,
    ):
        self.store = BlobStore(sha256)
        self.chain = Chain(self_id, self.store)
        self._links = links
        self._origin = origin
        self._place_of = place_of
        self._on_chunk = on_chunk
        self._now = now
        self._telemetry = telemetry
        self._calls: dict[bytes, HttpCall] = {}
        #: Position up to which each peer was told what is held here.
        self._told: dict[str, int] = {}

    # Inputs.

    def want(self, digests: Iterable[bytes]) -> None:
        """Replaces the wanted chunks and drops those no longer wanted."""
        wanted = list(digests)
        self.store.retain(wanted)
        self.chain.want(wanted)

    def add(self, digest: bytes, data: bytes) -> bool:
        """Stores a chunk found elsewhere than at a source; False when its digest differs."""
        if not self.store.put(digest, data):
            return False
        self.chain.arrived(digest, self._now())
        return True

    def peer_up(self, peer_id: str) -> None:
        """A link to an agent is up."""
        self.chain.peer_up(peer_id)
        self._told[peer_id] = 0
        self._announce(peer_id)

    def peer_down(self, peer_id: str) -> None:
        """A link is gone."""
        self.chain.peer_down(peer_id)
        self._told.pop(peer_id, None)

    @singledispatchmethod
    def receive(self, msg: Message, peer_id: str) -> None:
        """Handles a message of an agent; others than those of the exchange are ignored."""

    @receive.register
    def _(self, msg: Have, peer_id: str) -> None:
        self.chain.peer_has(peer_id, msg.blobs, self._now())
        self.run()

    @receive.register
    def _(self, msg: Blob, peer_id: str) -> None:
        self._arrived(msg.digest, peer_id, msg.data)

    @receive.register
    def _(self, msg: BlobRefused, peer_id: str) -> None:
        self._telemetry.count("chunk.refused", msg.reason)
        self.chain.refused(msg.digest, peer_id, self._now())
        self.run()

    @receive.register
    def _(self, msg: FetchBlob, peer_id: str) -> None:
        data = self.store.get(msg.digest)
        if data is None:
            self._links.send(peer_id, BlobRefused(msg.digest, "missing"))
            return
        self._telemetry.count("chunk.sent")
        self._links.send(peer_id, Blob(msg.digest, data))

    # Systems.

    def run(self) -> None:
        """Starts the fetches that are due and announces what is new."""
        for command in self.chain.plan(self._now()):
            self._carry_out(command)
        for peer_id in list(self._told):
            self._announce(peer_id)

    @singledispatchmethod
    def _carry_out(self, command: Command) -> None:
        raise TypeError(f"Unknown command {command!r}")

    @_carry_out.register
    def _(self, command: FetchFromPeer) -> None:
        if not self._links.send(command.peer_id, FetchBlob(command.digest)):
            self.chain.refused(command.digest, command.peer_id, self._now())

    @_carry_out.register
    def _(self, command: FetchFromOrigin) -> None:
        place = self._place_of(command.digest)
        if place is None:
            self.chain.refused(command.digest, ORIGIN, self._now())
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
        call = self._calls.pop(command.digest, None) if command.source == ORIGIN else None
        if call is not None:
            self._origin.cancel(call)

    def _origin_answered(self, digest: bytes, answer: bytes | str) -> None:
        self._calls.pop(digest, None)
        if isinstance(answer, bytes):
            self._arrived(digest, ORIGIN, answer)
            return
        self._telemetry.event("chunk.failed", source=ORIGIN, reason=answer)
        self.chain.refused(digest, ORIGIN, self._now())
        self.run()

    def _arrived(self, digest: bytes, source: str, data: bytes) -> None:
        if self.store.put(digest, data):
            self._telemetry.count("chunk.arrived", ORIGIN if source == ORIGIN else "peer")
            self.chain.arrived(digest, self._now())
            self._on_chunk()
        else:
            self._telemetry.event("chunk.corrupt", source=source, digest=digest.hex()[:16])
            self.chain.bad(digest, source, self._now())
        self.run()

    def _announce(self, peer_id: str) -> None:
        digests, cursor = self.store.added_since(self._told[peer_id])
        self._told[peer_id] = cursor
        if digests:
            self._links.send(peer_id, Have(digests))
