"""Networking on top of circuits: TCP links, an HTTP client, UDP datagrams and the event loop."""

from fescuechute.net._clock import Clock, ManualClock, SystemClock
from fescuechute.net._datagrams import DatagramSocket
from fescuechute.net._framing import BodyParts, check_head, declares_body
from fescuechute.net._http import MAX_BODY_BYTES, HttpCall, HttpClient, HttpResult
from fescuechute.net._links import Link, LinkHandler, LinkHub
from fescuechute.net._loop import Loop, tick
from fescuechute.net._sockets import (
    LINGER_S,
    MAX_DISCARDED_BYTES,
    MAX_DISCARDING,
    MAX_LINGER_S,
    PEER_CLOSED,
    Connection,
    SocketOwner,
    is_connection_refused,
)

__all__ = [
    "LINGER_S",
    "MAX_BODY_BYTES",
    "MAX_DISCARDED_BYTES",
    "MAX_DISCARDING",
    "MAX_LINGER_S",
    "PEER_CLOSED",
    "BodyParts",
    "Clock",
    "Connection",
    "DatagramSocket",
    "HttpCall",
    "HttpClient",
    "HttpResult",
    "Link",
    "LinkHandler",
    "LinkHub",
    "Loop",
    "ManualClock",
    "SocketOwner",
    "SystemClock",
    "check_head",
    "declares_body",
    "is_connection_refused",
    "tick",
]
