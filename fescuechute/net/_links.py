"""Links: multiplexed msgpack connections, at most one per pair of processes.

Either side may open the connection. If both do, the newer connection replaces the older one, so
that a restarted peer or a new connection always takes precedence over a dead one.
"""

from __future__ import annotations

import random
from typing import Protocol

import attrs

from fescuechute.errors import WireError
from fescuechute.net._clock import Clock
from fescuechute.net._sockets import Connection, SocketOwner
from fescuechute.wire import PROTOCOL_VERSION, FrameDecoder, Hello, Message, Ping, encode

#: Seconds after the last sent frame at which a heartbeat is sent.
PING_INTERVAL_S = 0.5
#: Seconds without incoming data after which a link is closed. Detection and reconnection together
#: must take less than 3 s.
SILENCE_TIMEOUT_S = 2.0
#: Bounds of the reconnect backoff, in seconds.
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0
#: Seconds that the process with the higher id waits for its peer to dial first.
_DIAL_DELAY_S = 0.5
#: Maximum bytes buffered per link, so that a peer that stops reading cannot exhaust the memory.
MAX_BUFFERED_BYTES = 16 << 20


class LinkHandler(Protocol):
    """Callbacks through which a daemon handles its links."""

    def link_up(self, peer_id: str, hello: Hello) -> None:
        """Called when the handshake with a peer is complete."""

    def link_down(self, peer_id: str, reason: str) -> None:
        """Called when a link is closed; messages sent on it may not have been delivered."""

    def message(self, peer_id: str, msg: Message) -> None:
        """Handles a message from a peer."""

    def count(self, name: str) -> None:
        """Adds one to a counter."""


@attrs.define(eq=False)
class Link:
    """A connection to another process, before or after its handshake."""

    conn: Connection
    #: Id of the peer if this process dialled; empty for accepted connections.
    dialled_peer_id: str
    #: Unix seconds at which the link is closed unless data arrives.
    silence_deadline: float
    next_ping_at: float
    decoder: FrameDecoder = attrs.field(factory=FrameDecoder)
    #: The peer's Hello; None until the handshake is complete.
    hello: Hello | None = None


@attrs.define
class _DialTarget:
    """A peer to which this process maintains a link."""

    address: str
    port: int
    next_attempt_at: float = 0.0
    backoff_s: float = BACKOFF_MIN_S
    link: Link | None = None


class LinkHub(SocketOwner):
    """Maintains links to selected peers and accepts links from others."""

    def __init__(self, identity: Hello, handler: LinkHandler, clock: Clock, seed: int = 0):
        super().__init__(channel="links")
        self._hello_frame = encode(identity)
        self._identity = identity
        self._handler = handler
        self._clock = clock
        self._rng = random.Random(f"{identity.process_id}/{seed}")
        self._open_links: set[Link] = set()
        self._dial_targets: dict[str, _DialTarget] = {}
        #: Links whose handshake is complete, by peer id.
        self.links: dict[str, Link] = {}

    def connect(self, peer_id: str, address: str, port: int) -> None:
        """Starts maintaining a link to a peer. Idempotent."""
        if peer_id == self._identity.process_id:
            return
        target = self._dial_targets.get(peer_id)
        if target is None or (target.address, target.port) != (address, port):
            # If both sides want the link, the lower id dials first. Simultaneous connections would
            # replace each other, possibly in a different order on each side.
            dials_second = peer_id < self._identity.process_id
            first_attempt_at = self._clock.now() + _DIAL_DELAY_S if dials_second else 0.0
            self._dial_targets[peer_id] = _DialTarget(address, port, first_attempt_at)

    def disconnect(self, peer_id: str) -> None:
        """Stops maintaining a link to a peer; an open link stays until the peer closes it."""
        self._dial_targets.pop(peer_id, None)

    def maintained_peers(self) -> set[str]:
        """Returns the ids of the peers to which links are maintained."""
        return set(self._dial_targets)

    def send(self, peer_id: str, msg: Message) -> bool:
        """Sends a message; returns False, with none of it sent, if there is no usable link."""
        link = self.links.get(peer_id)
        if link is None or not link.conn.is_open:
            return False
        if link.conn.buffered > MAX_BUFFERED_BYTES:
            self._handler.count("links.write_buffer_full")
            self.fail_later(link.conn, "the peer does not read")
            return False
        self._write(link, encode(msg))
        return True

    def broadcast(self, msg: Message, role: str = "") -> None:
        """Sends a message to all peers, or to the peers with a given role."""
        frame = encode(msg)
        for link in list(self.links.values()):
            if link.hello is not None and role in ("", link.hello.role):
                self._write(link, frame)

    def buffered(self, peer_id: str) -> int:
        """Returns the number of bytes buffered for a peer."""
        link = self.links.get(peer_id)
        return link.conn.buffered if link else 0

    def close_link(self, peer_id: str, reason: str) -> None:
        """Closes the link to a peer; a peer passed to `connect` is dialled again."""
        link = self.links.get(peer_id)
        if link is not None:
            self._remove(link, reason)

    def tick(self, now: float) -> None:
        """Sends heartbeats, closes silent links and dials peers that have no link."""
        for link in list(self._open_links):
            if now >= link.silence_deadline:
                self._handler.count("links.silent")
                self._remove(link, "silent")
            elif link.hello is not None and now >= link.next_ping_at:
                self._write(link, encode(Ping(sent_at=now)))
        for peer_id, target in self._dial_targets.items():
            if peer_id in self.links or target.link is not None or now < target.next_attempt_at:
                continue
            self._dial(peer_id, target, now)

    def on_accepted(self, conn: Connection) -> None:
        """Starts the handshake on an accepted connection."""
        self._add_link(conn, "")
        conn.write(self._hello_frame)

    def _write(self, link: Link, frame: bytes) -> None:
        # Any frame proves liveness to the peer, so a busy link needs no heartbeats.
        link.next_ping_at = self._clock.now() + PING_INTERVAL_S
        link.conn.write(frame)

    def _dial(self, peer_id: str, target: _DialTarget, now: float) -> None:
        target.next_attempt_at = now + target.backoff_s * self._rng.uniform(0.5, 1.0)
        target.backoff_s = min(target.backoff_s * 2, BACKOFF_MAX_S)
        conn = self.open_connection(target.address, target.port)
        target.link = self._add_link(conn, peer_id)
        conn.write(self._hello_frame)

    def _add_link(self, conn: Connection, dialled_peer_id: str) -> Link:
        now = self._clock.now()
        link = Link(conn, dialled_peer_id, now + SILENCE_TIMEOUT_S, now + PING_INTERVAL_S)
        self._open_links.add(link)
        conn.on_data = lambda data: self._on_data(link, data)
        conn.on_closed = lambda reason: self._remove(link, reason)
        return link

    def _on_data(self, link: Link, data: bytes) -> None:
        link.silence_deadline = self._clock.now() + SILENCE_TIMEOUT_S
        try:
            messages = link.decoder.feed(data)
            for msg in messages:
                if link not in self._open_links:
                    return
                self._dispatch(link, msg)
        except WireError as exc:
            self._handler.count(f"links.invalid.{type(exc).__name__}")
            self._remove(link, str(exc))

    def _dispatch(self, link: Link, msg: Message) -> None:
        if link.hello is None:
            self._complete_handshake(link, msg)
        elif not isinstance(msg, Ping):
            self._handler.message(link.hello.process_id, msg)

    def _complete_handshake(self, link: Link, msg: Message) -> None:
        if not isinstance(msg, Hello):
            raise WireError(
                f"The first message is {type(msg).__name__}, expected Hello.",
                "Check that the peer is a fescuechute process.",
            )
        if msg.version != PROTOCOL_VERSION:
            self._handler.count("links.version")
            self._remove(link, f"peer speaks protocol {msg.version}, we speak {PROTOCOL_VERSION}")
            return
        peer_id = msg.process_id
        previous = self.links.get(peer_id)
        if previous is not None:
            self._remove(previous, "replaced by a newer connection")
        link.hello = msg
        self.links[peer_id] = link
        target = self._dial_targets.get(peer_id)
        if target is not None:
            target.backoff_s = BACKOFF_MIN_S
        self._handler.link_up(peer_id, msg)

    def _remove(self, link: Link, reason: str) -> None:
        if link not in self._open_links:
            return
        self._open_links.discard(link)
        link.conn.close()
        for target in self._dial_targets.values():
            if target.link is link:
                target.link = None
        if link.hello is not None and self.links.get(link.hello.process_id) is link:
            del self.links[link.hello.process_id]
            self._handler.link_down(link.hello.process_id, reason)
