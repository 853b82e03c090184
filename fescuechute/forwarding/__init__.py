"""HTTP/1.1 server for clients and HTTP/1.1 client for upstreams.

`CallerServer` buffers each request and passes it to a handler, which responds through an `Answer`,
at once or as a stream. `UpstreamClient` sends a request to one given upstream and reports the
response to a `CallListener`. Neither of them makes routing decisions.
"""

from fescuechute.forwarding._events import EventSplitter, StreamEvent
from fescuechute.forwarding._headers import Headers, end_to_end, header, keep_alive_timeout_s
from fescuechute.forwarding._server import Answer, CallerRequest, CallerServer
from fescuechute.forwarding._upstreams import (
    CallListener,
    Ended,
    OutboundRequest,
    UpstreamCall,
    UpstreamClient,
)

__all__ = [
    "Answer",
    "CallListener",
    "CallerRequest",
    "CallerServer",
    "Ended",
    "EventSplitter",
    "Headers",
    "OutboundRequest",
    "StreamEvent",
    "UpstreamCall",
    "UpstreamClient",
    "end_to_end",
    "header",
    "keep_alive_timeout_s",
]
