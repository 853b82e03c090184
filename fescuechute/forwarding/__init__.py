"""HTTP/1.1 server for clients and HTTP/1.1 client for upstreams.

`ClientServer` buffers each request and passes it to a handler, which responds through a `Response`,
at once or as a stream. `UpstreamClient` sends a request to one given upstream and reports the
response to a `CallListener`. Neither of them makes routing decisions.
"""

from fescuechute.forwarding._buffers import ResponseBuffers
from fescuechute.forwarding._events import EventSplitter, StreamEvent
from fescuechute.forwarding._headers import Headers, end_to_end, header, keep_alive_timeout_s
from fescuechute.forwarding._memory import MemoryAccount
from fescuechute.forwarding._requests import ClientRequest, Response
from fescuechute.forwarding._server import ClientServer
from fescuechute.forwarding._upstreams import (
    CallFailure,
    CallListener,
    OutboundRequest,
    UpstreamCall,
    UpstreamClient,
)

__all__ = [
    "CallFailure",
    "CallListener",
    "ClientRequest",
    "ClientServer",
    "EventSplitter",
    "Headers",
    "MemoryAccount",
    "OutboundRequest",
    "Response",
    "ResponseBuffers",
    "StreamEvent",
    "UpstreamCall",
    "UpstreamClient",
    "end_to_end",
    "header",
    "keep_alive_timeout_s",
]
