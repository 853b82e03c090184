"""Proxied connections with rate limit, delay, loss, corruption and back pressure per direction."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from standins._server import Faults

#: Bytes buffered in one direction of a connection before reading from the sender is paused.
MAX_BUFFERED_BYTES = 256 << 10
#: Buffer limit on a rate-limited link, in seconds at its rate, like the queue of a router.
MAX_QUEUE_S = 0.05
#: Bytes sent at a time on a rate-limited link; connections interleave at this size.
SEGMENT_BYTES = 4 << 10
#: Seconds of unused link time that may be used later. Timers fire up to 1 ms late, which would
#: otherwise lower the rate by up to a quarter.
MAX_LINK_CREDIT_S = 0.002
#: Seconds by which delivery timers are set early. The event loop's timers fire 0 to 1 ms late, so
#: this makes the average delay correct.
TIMER_ADVANCE_S = 0.0005
#: SO_LINGER value (on, 0 s) that makes close() send RST.
LINGER_RESET = struct.pack("ii", 1, 0)


class StreamEnd(enum.Enum):
    """How a sender closed the stream; queued after its last bytes."""

    EOF = "eof"
    RESET = "reset"


class Direction:
    """One direction of the link, shared by all connections: its rate limit and counters."""

    def __init__(self, name: str, faults: Faults):
        self.name = name
        self.faults = faults
        #: Loop time at which all reserved bytes have been transmitted.
        self.link_free_at = 0.0
        self.delivered_bytes = 0
        self.discarded_bytes = 0
        self.corrupted_bytes = 0
        self._bytes_seen = 0

    @property
    def buffer_limit(self) -> float:
        """Bytes that one connection may buffer before its sender is paused."""
        rate = self.faults["bytes_per_s"]
        if rate <= 0:
            return MAX_BUFFERED_BYTES
        return max(4.0 * SEGMENT_BYTES, rate * (MAX_QUEUE_S + self.faults["delay_s"]))

    @property
    def is_cut(self) -> bool:
        """Whether the fault `cut` drops the bytes of this direction."""
        return self.faults["cut"] in (self.name, "both")

    def reserve(self, size: int, now: float) -> float:
        """Reserves link time for `size` bytes; returns the loop time at which they are sent."""
        rate = self.faults["bytes_per_s"]
        if rate <= 0:
            return now
        self.link_free_at = max(self.link_free_at, now - MAX_LINK_CREDIT_S) + size / rate
        return self.link_free_at

    def corrupt(self, data: bytes) -> bytes:
        """Returns the data with every nth byte of the direction inverted, if that fault is set."""
        interval = self.faults["corrupt_every_bytes"]
        if interval <= 0:
            return data
        corrupted_data = bytearray(data)
        for position in range(-(self._bytes_seen + 1) % interval, len(data), interval):
            corrupted_data[position] ^= 0xFF
            self.corrupted_bytes += 1
        self._bytes_seen += len(data)
        return bytes(corrupted_data)


class Pipe:
    """One direction of one connection.

    Bytes wait for the shared link (`_send_queue`), are delayed (`_in_flight`), and are then written
    to the sink. Once anything is discarded the pipe delivers nothing more, because TCP never
    delivers bytes after a gap.
    """

    def __init__(self, direction: Direction, on_drained: Callable[[], None]):
        self._direction = direction
        self._faults = direction.faults
        self._on_drained = on_drained
        self._loop = asyncio.get_running_loop()
        self._send_queue: deque[bytes | StreamEnd] = deque()
        self._in_flight: deque[tuple[float, bytes | StreamEnd]] = deque()
        self._buffered_bytes = 0
        self._transmitting = False
        self._timer: asyncio.TimerHandle | None = None
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.sink_paused = False
        self.silent = False

    @property
    def drained(self) -> bool:
        """Whether nothing is left to deliver."""
        return self.silent or not (self._send_queue or self._in_flight or self._transmitting)

    def feed(self, item: bytes | StreamEnd) -> None:
        """Queues bytes or the end of stream received from the source."""
        if self.silent:
            self._discard(item)
            return
        if isinstance(item, bytes):
            self._buffered_bytes += len(item)
            if self._buffered_bytes > self._direction.buffer_limit and self.source is not None:
                self.source.pause_reading()
            item = self._direction.corrupt(item)
        self._send_queue.append(item)
        self._transmit_queued()

    def silence(self) -> None:
        """Discards everything queued or in flight, and everything fed later."""
        self.silent = True
        for item in [*self._send_queue, *(item for _, item in self._in_flight)]:
            self._discard(item)
        self._send_queue.clear()
        self._in_flight.clear()

    def _discard(self, item: bytes | StreamEnd) -> None:
        if isinstance(item, bytes):
            self._direction.discarded_bytes += len(item)

    def _transmit_queued(self) -> None:
        while self._send_queue and not self._transmitting:
            item = self._send_queue.popleft()
            if isinstance(item, bytes) and self._faults["bytes_per_s"] > 0:
                if len(item) > SEGMENT_BYTES:
                    self._send_queue.appendleft(item[SEGMENT_BYTES:])
                    item = item[:SEGMENT_BYTES]
                self._transmitting = True
                transmitted_at = self._direction.reserve(len(item), self._loop.time())
                self._loop.call_at(transmitted_at, self._on_transmitted, item)
            else:
                self._propagate(item)

    def _on_transmitted(self, item: bytes | StreamEnd) -> None:
        self._transmitting = False
        if self.silent:
            self._discard(item)
            return
        self._propagate(item)
        self._transmit_queued()

    def _propagate(self, item: bytes | StreamEnd) -> None:
        self._in_flight.append((self._loop.time() + self._faults["delay_s"], item))
        self.deliver_due()

    def deliver_due(self) -> None:
        """Writes the items whose delay has passed to the sink; sets a timer for the next one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._in_flight and not self.sink_paused and self.sink is not None:
            if self._direction.is_cut:
                self.silence()
                break
            due_at, item = self._in_flight[0]
            if self._faults["stall"]:
                return
            if due_at - TIMER_ADVANCE_S > self._loop.time():
                self._timer = self._loop.call_at(due_at - TIMER_ADVANCE_S, self.deliver_due)
                return
            self._in_flight.popleft()
            self._deliver(item, self.sink)
        if self.drained:
            self._on_drained()

    def _deliver(self, item: bytes | StreamEnd, sink: asyncio.Transport) -> None:
        if isinstance(item, bytes):
            self._buffered_bytes -= len(item)
            self._direction.delivered_bytes += len(item)
            if not sink.is_closing():
                sink.write(item)
            if self._buffered_bytes <= self._direction.buffer_limit / 2 and self.source is not None:
                self.source.resume_reading()
        elif item is StreamEnd.RESET:
            reset_transport(sink)
        elif not sink.is_closing():
            sink.write_eof()


def reset_transport(transport: asyncio.Transport | None) -> None:
    """Closes a transport with RST."""
    if transport is None or transport.is_closing():
        return
    sock = cast(socket.socket, transport.get_extra_info("socket"))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


class Endpoint(asyncio.Protocol):
    """Protocol of one of the two sockets of a proxied connection."""

    def __init__(self, on_connect: Callable[[Endpoint], None], on_send_closed: Callable[[], None]):
        self._on_connect = on_connect
        self._on_send_closed = on_send_closed
        self.transport: asyncio.Transport | None = None
        #: Carries the bytes that this endpoint's peer sends to the proxy.
        self.outgoing: Pipe | None = None
        #: Carries the bytes that the proxy writes to this endpoint's peer.
        self.incoming: Pipe | None = None
        #: Whether the peer sends no more: it sent FIN or RST, or the transport was closed.
        self.send_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        assert self.outgoing is not None
        self.outgoing.feed(data)

    def eof_received(self) -> bool:
        """Forwards the FIN; returning True keeps the transport open for writing."""
        self._close_sending(StreamEnd.EOF)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._close_sending(StreamEnd.EOF if exc is None else StreamEnd.RESET)

    def _close_sending(self, end: StreamEnd) -> None:
        if self.outgoing is not None and (not self.send_closed or end is StreamEnd.RESET):
            self.outgoing.feed(end)
        self.send_closed = True
        self._on_send_closed()

    def pause_writing(self) -> None:
        if self.incoming is not None:
            self.incoming.sink_paused = True

    def resume_writing(self) -> None:
        if self.incoming is not None:
            self.incoming.sink_paused = False
            self.incoming.deliver_due()


class ProxiedConnection:
    """The connection from a client and the corresponding connection to the target."""

    def __init__(self, up: Direction, down: Direction, on_closed: Callable[[Any], None]):
        self._on_closed = on_closed
        self.client = Endpoint(self._on_client_connected, self._close_if_finished)
        self.target = Endpoint(self._on_target_connected, self._close_if_finished)
        self.up = Pipe(up, self._close_if_finished)
        self.down = Pipe(down, self._close_if_finished)
        self.client.outgoing = self.target.incoming = self.up
        self.target.outgoing = self.client.incoming = self.down
        self.silenced = False
        #: Dials the target; set by the proxy.
        self.connect_target: Callable[[], None] = lambda: None

    def _on_client_connected(self, endpoint: Endpoint) -> None:
        assert endpoint.transport is not None
        # Read nothing before the target accepts, so that no bytes are acknowledged on its behalf.
        endpoint.transport.pause_reading()
        self.up.source = self.down.sink = endpoint.transport
        self.connect_target()

    def _on_target_connected(self, endpoint: Endpoint) -> None:
        self.down.source = self.up.sink = endpoint.transport
        if self.silenced:
            self.silence()
        elif self.client.transport is not None:
            self.client.transport.resume_reading()
            # The client may have closed before the target accepted.
            self.up.deliver_due()

    def silence(self) -> None:
        """Stops delivery in both directions permanently; the sockets stay open."""
        self.silenced = True
        for endpoint, pipe in ((self.client, self.up), (self.target, self.down)):
            pipe.silence()
            if endpoint.transport is not None:
                endpoint.transport.pause_reading()

    def reset(self) -> None:
        """Discards all buffered bytes and closes both sockets with RST."""
        self.up.silence()
        self.down.silence()
        reset_transport(self.client.transport)
        reset_transport(self.target.transport)
        self._on_closed(self)

    def deliver_due(self) -> None:
        """Delivers items that are due in both directions; called after faults change."""
        self.up.deliver_due()
        self.down.deliver_due()

    def _close_if_finished(self) -> None:
        if (
            self.client.send_closed
            and self.target.send_closed
            and self.up.drained
            and self.down.drained
        ):
            for endpoint in (self.client, self.target):
                if endpoint.transport is not None:
                    endpoint.transport.close()
            self._on_closed(self)
