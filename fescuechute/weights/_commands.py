"""Commands that the exchange and the switch return to the daemon."""

from __future__ import annotations

import attrs

#: Name of the weight origin where a source is named.
ORIGIN = "origin"


@attrs.frozen
class Weight:
    """One model or adapter of a declared set."""

    #: `model` or `adapter`.
    kind: str
    name: str
    version: str
    #: Digests of its chunks, in order.
    blobs: tuple[bytes, ...] = ()

    @property
    def triple(self) -> tuple[str, str, str]:
        """(kind, name, version), as engines report it."""
        return (self.kind, self.name, self.version)


@attrs.frozen
class Command:
    """Base of all commands."""


@attrs.frozen
class FetchFromPeer(Command):
    """Ask a peer for a blob."""

    peer_id: str
    digest: bytes
    #: Unix seconds after which the exchange asks another source.
    deadline: float


@attrs.frozen
class FetchFromOrigin(Command):
    """Ask the origin for a blob."""

    digest: bytes
    #: Unix seconds after which the exchange gives this attempt up.
    deadline: float


@attrs.frozen
class CancelFetch(Command):
    """Stop a fetch. What still arrives of it may be used when it is wanted."""

    #: Peer id, or ORIGIN.
    source: str
    digest: bytes


@attrs.frozen
class Stage(Command):
    """Give a blob to the engine."""

    digest: bytes


@attrs.frozen
class Drain(Command):
    """Refuse new requests and report the number running until it is 0."""


@attrs.frozen
class SendOrder(Command):
    """Order the engine to load exactly this set."""

    #: Unique for each attempt; the result names it.
    order_id: int
    fence: int
    revision: int
    weights: tuple[Weight, ...]
    #: Unix seconds after which the outcome counts as unknown.
    deadline: float


@attrs.frozen
class ReadBack(Command):
    """Read the engine's state."""

    #: Unique for each attempt; the state names it, so that an old answer confirms nothing.
    read_id: int


@attrs.frozen
class Serve(Command):
    """Announce this set as confirmed and accept requests for it."""

    weights: tuple[Weight, ...]


@attrs.frozen
class StopServing(Command):
    """Refuse new requests as `switching` and announce no set."""
