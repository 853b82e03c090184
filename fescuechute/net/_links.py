"""Links: one multiplexed msgpack connection between two processes.

Either side may open the connection. When both do, the newer connection replaces the older one, so
that a restarted peer or a fresh connection always wins over a silent one.
"""

from __future__ import annotations

import random
from typing import Protocol

import attrs

from fescuechute.errors import WireError
from fescuechute.net._clock import Clock
from fescuechute.net._sockets import Connection, SocketOwner
from fescuechute.wire import PROTOCOL_VERSION, FrameDecoder, Hello, Message, Ping, encode

#: Seconds after the last frame until a heartbeat is sent.
PING_EVERY_S = 0.5
#: Seconds of silence after which a link is dropped. With reconnection it keeps detection below 3 s.
SILENCE_S = 2.0
#: Bounds of the reconnect backoff, in seconds.
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0
#: Seconds that the higher of two ids waits for the other side to dial.
_YIELD_S = 0.5
#: Bytes that may wait on one link. A peer that stops reading must not exhaust our memory.
MAX_BUFFERED_BYTES = 16 << 20


class LinkHandler(Protocol):
    """What a daemon does with links."""

    def link_up(self, peer_id: str, hello: Hello) -> None:
        """The handshake with a peer is complete."""

    def link_down(self, peer_id: str, reason: str) -> None:
        """The link is gone; nothing sent on it can be relied upon."""

    def message(self, peer_id: str, msg: Message) -> None:
        """A message arrived."""

    def count(self, name: str) -> None:
        """Adds one to a counter."""


@attrs.define(eq=False)
class LinkRow:
    """One connection, before or after its handshake."""

    conn: Connection
    #: Peer that we dialled; empty for accepted connections.
    dialled: str
    #: Unix seconds at which the link is dropped unless something arrives.
    silent_deadline: float
    next_ping_at: float
    decoder: FrameDecoder = attrs.field(factory=FrameDecoder)
    hello: Hello | None = None


@attrs.define
class _Target:
    """A peer that this process keeps a link to."""

    address: str
    port: int
    next_attempt_at: float = 0.0
    backoff_s: float = BACKOFF_MIN_S
    row: LinkRow | None = None


class LinkHub(SocketOwner):
    """Keeps links to the wanted peers and accepts links from others."""

    def __init__(self, identity: Hello, handler: LinkHandler, clock: Clock, seed: int = 0):
        super().__init__(channel="links")
        self._hello_frame = encode(identity)
        self._identity = identity
        self._handler = handler
        self._clock = clock
        self._rng = random.Random(f"{identity.process_id}/{seed}")
        self._rows: set[LinkRow] = set()
        self._targets: dict[str, _Target] = {}
        #: Links whose handshake is complete, by peer id.
        self.links: dict[str, LinkRow] = {}

    def connect(self, peer_id: str, address: str, port: int) -> None:
        """Keeps a link to a peer from now on. Repeating the call is harmless."""
        if peer_id == self._identity.process_id:
            return
        target = self._targets.get(peer_id)
        if target is None or (target.address, target.port) != (address, port):
            # When both sides want the link, the lower id dials first. Two connections at once
            # would replace each other, possibly in a different order on each side.
            waits = peer_id < self._identity.process_id
            first = self._clock.now() + _YIELD_S if waits else 0.0
            self._targets[peer_id] = _Target(address, port, first)

    def disconnect(self, peer_id: str) -> None:
        """Stops keeping a link to a peer; an open link stays until the peer closes it."""
        self._targets.pop(peer_id, None)

    def wanted(self) -> set[str]:
        """Returns the peers that links are kept to."""
        return set(self._targets)

    def send(self, peer_id: str, msg: Message) -> bool:
        """Sends a message; False when there is no usable link."""
        row = self.links.get(peer_id)
        if row is None or not row.conn.is_open:
            return False
        frame = encode(msg)
        if row.conn.buffered + len(frame) > MAX_BUFFERED_BYTES:
            # Refused before it is written: callers take False for "the peer never gets it".
            self._handler.count("links.write_buffer_full")
            self.fail_later(row.conn, "the peer does not read")
            return False
        self._write(row, frame)
        return True

    def broadcast(self, msg: Message, role: str = "") -> None:
        """Sends a message to every link, or to those of one role."""
        frame = encode(msg)
        for row in list(self.links.values()):
            if row.hello is not None and role in ("", row.hello.role):
                self._write(row, frame)

    def buffered(self, peer_id: str) -> int:
        """Returns the bytes that wait to be sent to a peer."""
        row = self.links.get(peer_id)
        return row.conn.buffered if row else 0

    def drop(self, peer_id: str, reason: str) -> None:
        """Closes the link to a peer; a wanted peer is dialled again."""
        row = self.links.get(peer_id)
        if row is not None:
            self._remove(row, reason)

    def tick(self, now: float) -> None:
        """Sends heartbeats, drops silent links and dials wanted peers."""
        for row in list(self._rows):
            if now >= row.silent_deadline:
                self._handler.count("links.silent")
                self._remove(row, "silent")
            elif row.hello is not None and now >= row.next_ping_at:
                self._write(row, encode(Ping(sent_at=now)))
        for peer_id, target in self._targets.items():
            if peer_id in self.links or target.row is not None or now < target.next_attempt_at:
                continue
            self._dial(peer_id, target, now)

    def accepted(self, conn: Connection) -> None:
        """Starts the handshake on an accepted connection."""
        self._add(conn, "")
        conn.write(self._hello_frame)

    def _write(self, row: LinkRow, frame: bytes) -> None:
        # Any frame shows the peer that this end is alive, so a busy link needs no heartbeats.
        row.next_ping_at = self._clock.now() + PING_EVERY_S
        row.conn.write(frame)

    def _dial(self, peer_id: str, target: _Target, now: float) -> None:
        target.next_attempt_at = now + target.backoff_s * self._rng.uniform(0.5, 1.0)
        target.backoff_s = min(target.backoff_s * 2, BACKOFF_MAX_S)
        conn = self.open_connection(target.address, target.port)
        target.row = self._add(conn, peer_id)
        conn.write(self._hello_frame)

    def _add(self, conn: Connection, dialled: str) -> LinkRow:
        now = self._clock.now()
        row = LinkRow(conn, dialled, now + SILENCE_S, now + PING_EVERY_S)
        self._rows.add(row)
        conn.on_data = lambda data: self._received(row, data)
        conn.on_closed = lambda reason: self._remove(row, reason)
        return row

    def _received(self, row: LinkRow, data: bytes) -> None:
        row.silent_deadline = self._clock.now() + SILENCE_S
        try:
            messages = row.decoder.feed(data)
            for msg in messages:
                if row not in self._rows:
                    return
                self._dispatch(row, msg)
        except WireError as exc:
            self._handler.count(f"links.invalid.{type(exc).__name__}")
            self._remove(row, str(exc))

    def _dispatch(self, row: LinkRow, msg: Message) -> None:
        if row.hello is None:
            self._handshake(row, msg)
        elif not isinstance(msg, Ping):
            self._handler.message(row.hello.process_id, msg)

    def _handshake(self, row: LinkRow, msg: Message) -> None:
        if not isinstance(msg, Hello):
            raise WireError(
                f"The first message is {type(msg).__name__}, expected Hello.",
                "Check that the peer is a fescuechute process.",
            )
        if msg.version != PROTOCOL_VERSION:
            self._handler.count("links.version")
            self._remove(row, f"peer speaks protocol {msg.version}, we speak {PROTOCOL_VERSION}")
            return
        peer_id = msg.process_id
        older = self.links.get(peer_id)
        if older is not None:
            self._remove(older, "replaced by a newer connection")
        row.hello = msg
        self.links[peer_id] = row
        target = self._targets.get(peer_id)
        if target is not None:
            target.backoff_s = BACKOFF_MIN_S
        self._handler.link_up(peer_id, msg)

    def _remove(self, row: LinkRow, reason: str) -> None:
        if row not in self._rows:
            return
        self._rows.discard(row)
        row.conn.close()
        for target in self._targets.values():
            if target.row is row:
                target.row = None
        if row.hello is not None and self.links.get(row.hello.process_id) is row:
            del self.links[row.hello.process_id]
            self._handler.link_down(row.hello.process_id, reason)
