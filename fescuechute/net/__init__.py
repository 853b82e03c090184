"""circuits components that carry bytes: links, the HTTP client and the process loop."""

from fescuechute.net._clock import Clock, ManualClock, SystemClock
from fescuechute.net._datagrams import DatagramSocket
from fescuechute.net._http import HttpCall, HttpClient, HttpResult
from fescuechute.net._links import LinkHandler, LinkHub, LinkRow
from fescuechute.net._loop import Loop, tick
from fescuechute.net._sockets import PEER_CLOSED, Connection, SocketOwner

__all__ = [
    "PEER_CLOSED",
    "Clock",
    "Connection",
    "DatagramSocket",
    "HttpCall",
    "HttpClient",
    "HttpResult",
    "LinkHandler",
    "LinkHub",
    "LinkRow",
    "Loop",
    "ManualClock",
    "SocketOwner",
    "SystemClock",
    "tick",
]
