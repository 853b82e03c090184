"""Bytes of proxied connections: rate, delay, loss, corruption and back pressure by direction."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from standins._server import Faults

#: Bytes that one direction of one connection holds before the sender is slowed down.
HELD_BYTES = 256 << 10
#: The same for a rate-limited link: seconds of its rate, as the queue of a router.
HELD_S = 0.05
#: Bytes sent in one turn on a rate-limited link; connections take turns.
PIECE_BYTES = 4 << 10
#: Seconds of unused link time that a late timer may still use. Timers fire up to 1 ms late, which
#: would otherwise cost up to a quarter of the rate.
CATCH_UP_S = 0.002
#: Seconds by which delayed bytes are delivered early. The event loop's timers fire 0 to 1 ms late;
#: this makes the delay right on average.
EARLY_S = 0.0005
#: SO_LINGER value that makes close send RST.
LINGER_RESET = struct.pack("ii", 1, 0)


class End(enum.Enum):
    """How a sender ended; travels behind its bytes."""

    EOF = "eof"
    RESET = "reset"


class Direction:
    """What all connections share in one direction: the link's rate and the counts."""

    def __init__(self, name: str, faults: Faults):
        self.name = name
        self.faults = faults
        self.free_at = 0.0
        self.delivered = 0
        self.discarded = 0
        self.corrupted = 0
        self._seen = 0

    @property
    def held_limit(self) -> float:
        """Bytes that one connection may hold."""
        rate = self.faults["bytes_per_s"]
        if rate <= 0:
            return HELD_BYTES
        return max(4.0 * PIECE_BYTES, rate * (HELD_S + self.faults["delay_s"]))

    @property
    def cut(self) -> bool:
        """Whether bytes of this direction are lost."""
        return self.faults["cut"] in (self.name, "both")

    def reserve(self, size: int, now: float) -> float:
        """Takes link time for some bytes and returns when they have passed."""
        rate = self.faults["bytes_per_s"]
        if rate <= 0:
            return now
        self.free_at = max(self.free_at, now - CATCH_UP_S) + size / rate
        return self.free_at

    def corrupt(self, data: bytes) -> bytes:
        """Changes every nth byte of the direction, if that fault is set."""
        every = self.faults["corrupt_every_bytes"]
        if every <= 0:
            return data
        changed = bytearray(data)
        for position in range(-(self._seen + 1) % every, len(data), every):
            changed[position] ^= 0xFF
            self.corrupted += 1
        self._seen += len(data)
        return bytes(changed)


class Pipe:
    """One direction of one connection.

    Bytes first pass the shared link (`_sending`), then travel for the delay (`_travelling`), then
    are written to the sink. Once anything was discarded the pipe stays silent, because TCP never
    delivers bytes behind a gap.
    """

    def __init__(self, direction: Direction, when_drained: Callable[[], None]):
        self._direction = direction
        self._faults = direction.faults
        self._when_drained = when_drained
        self._loop = asyncio.get_running_loop()
        self._sending: deque[bytes | End] = deque()
        self._travelling: deque[tuple[float, bytes | End]] = deque()
        self._held = 0
        self._in_turn = False
        self._timer: asyncio.TimerHandle | None = None
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.sink_full = False
        self.silent = False

    @property
    def drained(self) -> bool:
        """Whether nothing more will be written."""
        return self.silent or not (self._sending or self._travelling or self._in_turn)

    def feed(self, item: bytes | End) -> None:
        """Takes what arrived from the source."""
        if self.silent:
            self._discard(item)
            return
        if isinstance(item, bytes):
            self._held += len(item)
            if self._held > self._direction.held_limit and self.source is not None:
                self.source.pause_reading()
            item = self._direction.corrupt(item)
        self._sending.append(item)
        self._take_turn()

    def silence(self) -> None:
        """Discards everything from now on."""
        self.silent = True
        for item in [*self._sending, *(item for _, item in self._travelling)]:
            self._discard(item)
        self._sending.clear()
        self._travelling.clear()

    def _discard(self, item: bytes | End) -> None:
        if isinstance(item, bytes):
            self._direction.discarded += len(item)

    def _take_turn(self) -> None:
        while self._sending and not self._in_turn:
            item = self._sending.popleft()
            if isinstance(item, bytes) and self._faults["bytes_per_s"] > 0:
                if len(item) > PIECE_BYTES:
                    self._sending.appendleft(item[PIECE_BYTES:])
                    item = item[:PIECE_BYTES]
                self._in_turn = True
                passed_at = self._direction.reserve(len(item), self._loop.time())
                self._loop.call_at(passed_at, self._end_turn, item)
            else:
                self._travel(item)

    def _end_turn(self, item: bytes | End) -> None:
        self._in_turn = False
        if self.silent:
            self._discard(item)
            return
        self._travel(item)
        self._take_turn()

    def _travel(self, item: bytes | End) -> None:
        self._travelling.append((self._loop.time() + self._faults["delay_s"], item))
        self.pump()

    def pump(self) -> None:
        """Delivers what is due; called again by a timer or when a fault ends."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._travelling and not self.sink_full and self.sink is not None:
            if self._direction.cut:
                self.silence()
                break
            due_at, item = self._travelling[0]
            if self._faults["stall"]:
                return
            if due_at - EARLY_S > self._loop.time():
                self._timer = self._loop.call_at(due_at - EARLY_S, self.pump)
                return
            self._travelling.popleft()
            self._deliver(item, self.sink)
        if self.drained:
            self._when_drained()

    def _deliver(self, item: bytes | End, sink: asyncio.Transport) -> None:
        if isinstance(item, bytes):
            self._held -= len(item)
            self._direction.delivered += len(item)
            if not sink.is_closing():
                sink.write(item)
            if self._held <= self._direction.held_limit / 2 and self.source is not None:
                self.source.resume_reading()
        elif item is End.RESET:
            reset(sink)
        elif not sink.is_closing():
            sink.write_eof()


def reset(transport: asyncio.Transport | None) -> None:
    """Closes a connection with RST."""
    if transport is None or transport.is_closing():
        return
    sock = cast(socket.socket, transport.get_extra_info("socket"))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


class Side(asyncio.Protocol):
    """One of the two sockets of a proxied connection."""

    def __init__(self, on_connect: Callable[[Side], None], on_ended: Callable[[], None]):
        self._on_connect = on_connect
        self._on_ended = on_ended
        self.transport: asyncio.Transport | None = None
        #: Carries what this side sends.
        self.outgoing: Pipe | None = None
        #: Carries what this side receives.
        self.incoming: Pipe | None = None
        #: Whether this side sends no more.
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        assert self.outgoing is not None
        self.outgoing.feed(data)

    def eof_received(self) -> bool:
        """Keeps the transport open for the other direction."""
        self._end(End.EOF)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(End.EOF if exc is None else End.RESET)

    def _end(self, how: End) -> None:
        if self.outgoing is not None and (not self.ended or how is End.RESET):
            self.outgoing.feed(how)
        self.ended = True
        self._on_ended()

    def pause_writing(self) -> None:
        if self.incoming is not None:
            self.incoming.sink_full = True

    def resume_writing(self) -> None:
        if self.incoming is not None:
            self.incoming.sink_full = False
            self.incoming.pump()


class ProxiedConnection:
    """A client's connection and the one to the target."""

    def __init__(self, up: Direction, down: Direction, forget: Callable[[Any], None]):
        self._forget = forget
        self.client = Side(self._client_connected, self._check_end)
        self.target = Side(self._target_connected, self._check_end)
        self.up = Pipe(up, self._check_end)
        self.down = Pipe(down, self._check_end)
        self.client.outgoing = self.target.incoming = self.up
        self.target.outgoing = self.client.incoming = self.down
        self.silenced = False
        #: Set by the proxy; starts the connection to the target.
        self.connect: Callable[[], None] = lambda: None

    def _client_connected(self, side: Side) -> None:
        assert side.transport is not None
        # Nothing is read before the target has answered, so nothing is acknowledged for it.
        side.transport.pause_reading()
        self.up.source = self.down.sink = side.transport
        self.connect()

    def _target_connected(self, side: Side) -> None:
        self.down.source = self.up.sink = side.transport
        if self.silenced:
            self.silence()
        elif self.client.transport is not None:
            self.client.transport.resume_reading()
            # The client may have ended before the target answered.
            self.up.pump()

    def silence(self) -> None:
        """Makes both directions silent for good; the sockets stay open."""
        self.silenced = True
        for side, pipe in ((self.client, self.up), (self.target, self.down)):
            pipe.silence()
            if side.transport is not None:
                side.transport.pause_reading()

    def reset(self) -> None:
        """Closes both sockets with RST."""
        self.up.silence()
        self.down.silence()
        reset(self.client.transport)
        reset(self.target.transport)
        self._forget(self)

    def pump(self) -> None:
        """Delivers what was held by a fault that has ended."""
        self.up.pump()
        self.down.pump()

    def _check_end(self) -> None:
        if self.client.ended and self.target.ended and self.up.drained and self.down.drained:
            for side in (self.client, self.target):
                if side.transport is not None:
                    side.transport.close()
            self._forget(self)
