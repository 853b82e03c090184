"""Commands that the exchange, the ring and the switch return to the daemon."""

from __future__ import annotations

import attrs

#: Source id of the weight origin; all other source ids are peer ids.
ORIGIN = "origin"


@attrs.frozen
class Weight:
    """One version of a model or adapter in a declared set."""

    #: `model` or `adapter`.
    kind: str
    name: str
    version: str
    #: Digests of the chunks, in order.
    blobs: tuple[bytes, ...] = ()

    @property
    def triple(self) -> tuple[str, str, str]:
        """The (kind, name, version) that engines report."""
        return (self.kind, self.name, self.version)


@attrs.frozen
class Command:
    """Base of all commands."""


@attrs.frozen
class FetchFromPeer(Command):
    """Fetch a blob from a peer."""

    peer_id: str
    digest: bytes
    #: Unix seconds at which this attempt expires; infinity for a chunk that the peer has yet to
    #: announce.
    deadline: float


@attrs.frozen
class FetchFromOrigin(Command):
    """Fetch a blob from the origin."""

    digest: bytes
    #: Unix seconds at which this attempt expires.
    deadline: float


@attrs.frozen
class CancelFetch(Command):
    """Cancel a fetch. A blob that arrives nevertheless may be used if it is still wanted."""

    #: Peer id, or ORIGIN.
    source: str
    digest: bytes


@attrs.frozen
class Stage(Command):
    """Upload a blob to the staging area of the engine."""

    digest: bytes


@attrs.frozen
class Drain(Command):
    """Refuse new requests and report the number of running requests until it reaches 0."""


@attrs.frozen
class SendOrder(Command):
    """Order the engine to load exactly this set of weights."""

    #: Unique for each attempt; passed back with the result.
    order_id: int
    #: Fencing number; an engine that enforces fencing refuses numbers below the last accepted one.
    fence: int
    revision: int
    weights: tuple[Weight, ...]
    #: Unix seconds after which a missing answer means an unknown outcome.
    deadline: float


@attrs.frozen
class ReadBack(Command):
    """Read back the weights that the engine holds."""

    #: Unique for each attempt; passed back with the state, so that a stale answer is ignored.
    read_id: int


@attrs.frozen
class Serve(Command):
    """Announce this set as confirmed and accept requests for it."""

    weights: tuple[Weight, ...]


@attrs.frozen
class StopServing(Command):
    """Refuse new requests with reason `switching` and announce no set."""
