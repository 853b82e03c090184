"""Blob server that serves as the weight store and as the origin.

Faults: `down`, `slow` (seconds of delay before each response), `corrupt_every_n` (one byte of every
nth response is changed), `lose_answers` (the next n requests take effect but get no response),
`bytes_per_s` and `requests_per_s` (0 means no limit).
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter

from aiohttp import web
from blake3 import blake3

from standins._server import (
    Faults,
    TokenBucket,
    drop_response,
    error_response,
    make_app,
    make_parser,
    run,
)

#: Seconds of unused link time that may be used later, so that late timers do not lower the rate.
MAX_LINK_CREDIT_S = 0.002
#: Bytes per write; concurrent responses interleave on the shared link at this size.
SEGMENT_BYTES = 16 << 10


class SharedLink:
    """Rate limit of a link that all responses share, first come, first served by segment."""

    def __init__(self) -> None:
        self._free_at = 0.0

    async def transmit(self, size: int, bytes_per_s: float) -> None:
        """Waits until a segment of `size` bytes has passed the link; a rate of 0 means no limit."""
        if bytes_per_s <= 0:
            return
        now = time.monotonic()
        self._free_at = max(now - MAX_LINK_CREDIT_S, self._free_at) + size / bytes_per_s
        await asyncio.sleep(max(0.0, self._free_at - now))


class BlobServer:
    """Blobs in memory, with counts of requests and sent bytes."""

    def __init__(self, faults: Faults):
        self._faults = faults
        self._blobs: dict[str, bytes] = {}
        self._rate_limiter = TokenBucket()
        self._link = SharedLink()
        self._requests: Counter[str] = Counter()
        self._bytes_sent: Counter[str] = Counter()
        self._responses_served = 0
        self._requests_refused = 0

    async def get_blob(self, request: web.Request) -> web.StreamResponse:
        if not self._rate_limiter.admit(self._faults["requests_per_s"]):
            self._requests_refused += 1
            return error_response(429, "too many requests")
        await asyncio.sleep(self._faults["slow"])
        digest = request.match_info["digest"]
        blob = self._blobs.get(digest)
        if blob is None:
            return error_response(404, "no such blob")
        self._requests[digest] += 1
        self._responses_served += 1
        corrupt_every = self._faults["corrupt_every_n"]
        if corrupt_every and self._responses_served % corrupt_every == 0 and blob:
            middle = len(blob) // 2
            blob = blob[:middle] + bytes([blob[middle] ^ 0xFF]) + blob[middle + 1 :]
        if self._faults.consume("lose_answers"):
            return drop_response(request)
        return await self._send_blob(request, digest, blob)

    async def _send_blob(
        self, request: web.Request, digest: str, blob: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/octet-stream"})
        response.content_length = len(blob)
        await response.prepare(request)
        try:
            for offset in range(0, len(blob), SEGMENT_BYTES):
                segment = blob[offset : offset + SEGMENT_BYTES]
                await self._link.transmit(len(segment), self._faults["bytes_per_s"])
                await response.write(segment)
                self._bytes_sent[digest] += len(segment)
            await response.write_eof()
        except ConnectionError:
            pass  # The client disconnected; the bytes already sent stay counted.
        return response

    async def put_blob(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self._faults["slow"])
        blob = await request.read()
        digest = request.match_info["digest"]
        if blake3(blob).hexdigest() != digest:
            return error_response(422, "the body does not have this digest")
        self._blobs[digest] = blob
        if self._faults.consume("lose_answers"):
            return drop_response(request)
        return web.json_response({"size": len(blob)})

    async def get_stats(self, _: web.Request) -> web.Response:
        blobs = {
            digest: {"requests": count, "bytes": self._bytes_sent[digest]}
            for digest, count in self._requests.items()
        }
        return web.json_response(
            {
                "bytes": sum(self._bytes_sent.values()),
                "requests": sum(self._requests.values()),
                "refused": self._requests_refused,
                "stored_blobs": len(self._blobs),
                "stored_bytes": sum(map(len, self._blobs.values())),
                "blobs": blobs,
            }
        )


def main() -> None:
    """Runs the blob server."""
    parser = make_parser(__doc__)
    parser.add_argument(
        "--bytes-per-s",
        type=float,
        default=0.0,
        help="rate shared by all responses; 0 means no limit",
    )
    parser.add_argument("--requests-per-s", type=float, default=0.0, help="429 beyond")
    args = parser.parse_args()
    faults = Faults(
        down=False,
        slow=0.0,
        corrupt_every_n=0,
        lose_answers=0,
        bytes_per_s=args.bytes_per_s,
        requests_per_s=args.requests_per_s,
    )
    server = BlobServer(faults)
    app = make_app(faults, ("/blobs",))
    app.add_routes(
        [
            web.get("/blobs/{digest}", server.get_blob),
            web.put("/blobs/{digest}", server.put_blob),
            web.get("/stats", server.get_stats),
        ]
    )
    run(app, args.port)


if __name__ == "__main__":
    main()
