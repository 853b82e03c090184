"""Contents of a request that may crash a replica, as digests."""

from __future__ import annotations

import blake3

from fescuechute.catalog import RequestMeta
from fescuechute.forwarding import ClientRequest

#: Length of a digest in bytes.
CONTENT_DIGEST_BYTES = 8


def content_digests(request: ClientRequest, meta: RequestMeta) -> tuple[bytes, ...]:
    """Returns the digests of the shared parts of the prompt, and that of the whole request.

    Requests with the same caller, path and body have the same last digest.
    """
    whole = (request.target, (meta.key or "").encode(), request.body)
    return (
        *(_digest(b"part", part.encode()) for part in meta.shared_parts),
        _digest(b"request", *whole),
    )


def _digest(*fields: bytes) -> bytes:
    hasher = blake3.blake3()
    for field in fields:
        hasher.update(len(field).to_bytes(8, "big") + field)
    return hasher.digest(length=CONTENT_DIGEST_BYTES)
