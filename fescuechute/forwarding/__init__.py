"""HTTP/1.1 between clients and replicas: whole requests in, whole or streamed answers out.

`CallerServer` hands complete requests to a function with an `Answer`. `UpstreamClient` sends a
request to one replica and reports to a `CallListener`. Neither decides anything about routing.
"""

from fescuechute.forwarding._callers import Answer, CallerRequest, CallerServer
from fescuechute.forwarding._events import EventSplitter, StreamEvent
from fescuechute.forwarding._headers import Headers, end_to_end, header, keep_alive_s
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
    "keep_alive_s",
]
