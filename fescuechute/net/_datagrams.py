"""UDP messages, one per datagram, for periodic updates whose loss is tolerable."""

from __future__ import annotations

import socket
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from fescuechute.errors import WireError
from fescuechute.net._sockets import is_usable_address
from fescuechute.wire import FrameDecoder, Message, encode

#: Receive buffer: the largest UDP payload over IPv4, in bytes.
_MAX_DATAGRAM_BYTES = 65_507
#: Datagrams read per readable event, so that a flood cannot starve connections.
_DATAGRAMS_PER_EVENT = 64

#: IP address and port.
Endpoint = tuple[str, int]


class DatagramSocket(BaseComponent):
    """Sends and receives messages over UDP, one message per datagram."""

    channel = "datagrams"

    def __init__(
        self, on_message: Callable[[Endpoint, Message], None], count: Callable[[str], None]
    ):
        super().__init__()
        self._on_message = on_message
        self._count = count
        self._poller: EPoll | None = None
        self._sock: socket.socket | None = None

    def use_poller(self, poller: EPoll) -> None:
        """Sets the poller; must be called before `open`."""
        self._poller = poller

    def open(self, address: str, port: int) -> int:
        """Binds the socket and returns its port."""
        assert self._poller is not None, "use_poller must be called first"
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((address, port))
        self._sock = sock
        self._poller.addReader(self, sock)
        return int(sock.getsockname()[1])

    def send(self, to: Endpoint, msg: Message) -> None:
        """Sends a message, or drops and counts it if the kernel does not accept it immediately."""
        if self._sock is None:
            return
        if not is_usable_address(*to):
            self._count("datagrams.not_sent.unusable_address")
            return
        try:
            self._sock.sendto(encode(msg), to)
        except OSError as exc:
            self._count(f"datagrams.not_sent.{type(exc).__name__}")

    def run_deferred(self) -> None:
        """Does nothing; datagrams have no connections with deferred work."""

    def close_connections(self) -> None:
        """Closes the socket."""
        sock, self._sock = self._sock, None
        if sock is not None and self._poller is not None:
            self._poller.discard(sock)
            sock.close()

    @handler("_read")
    def _on_readable(self, sock: socket.socket) -> None:
        if sock is not self._sock:
            return
        for _ in range(_DATAGRAMS_PER_EVENT):
            try:
                data, sender = sock.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                # An ICMP error caused by an earlier send; the socket remains usable.
                self._count(f"datagrams.error.{type(exc).__name__}")
                return
            self._decode(data, sender)

    def _decode(self, data: bytes, sender: Endpoint) -> None:
        try:
            messages = FrameDecoder().feed(data)
        except WireError as exc:
            self._count(f"datagrams.invalid.{type(exc).__name__}")
            return
        for msg in messages:
            self._on_message(sender, msg)
