"""Messages between processes and their encoding as msgpack frames.

Example:
  >>> from fescuechute.wire import FrameDecoder, Ping, encode
  >>> FrameDecoder().feed(encode(Ping(sent_at=1.0)))
  [Ping(sent_at=1.0)]
"""

from fescuechute.wire._frames import MAX_FRAME_BYTES, FrameDecoder, encode
from fescuechute.wire._messages import (
    PROTOCOL_VERSION,
    Accepted,
    Blob,
    BlobRefused,
    Call,
    Cancel,
    Crash,
    Digest,
    End,
    Failed,
    FetchBlob,
    Gateways,
    Generate,
    Greet,
    Have,
    Hello,
    Load,
    Message,
    Piece,
    Ping,
    PullRecords,
    Records,
    Refused,
    RelayOffer,
    Relays,
    Status,
    VersionManifest,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Accepted",
    "Blob",
    "BlobRefused",
    "Call",
    "Cancel",
    "Crash",
    "Digest",
    "End",
    "Failed",
    "FetchBlob",
    "FrameDecoder",
    "Gateways",
    "Generate",
    "Greet",
    "Have",
    "Hello",
    "Load",
    "Message",
    "Piece",
    "Ping",
    "PullRecords",
    "Records",
    "Refused",
    "RelayOffer",
    "Relays",
    "Status",
    "VersionManifest",
    "encode",
]
