"""Blob server, used as the weight store and as the origin of weights.

Faults: `down`, `slow` (seconds before each answer), `corrupt_every_n` (one byte of every nth
response is changed), `lose_answers` (the next n requests take effect without an answer),
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
    error,
    lose_answer,
    make_app,
    make_parser,
    run,
)

#: Seconds of unused link time that a late timer may still use, so that timers cost no rate.
CATCH_UP_S = 0.002
#: Bytes sent in one turn; concurrent responses take turns on the shared link.
PIECE_BYTES = 16 << 10


class SharedLink:
    """One link's rate, shared by all responses in the order of their pieces."""

    def __init__(self) -> None:
        self._free_at = 0.0

    async def pass_through(self, size: int, bytes_per_s: float) -> None:
        """Returns when a piece of this size has passed the link."""
        if bytes_per_s <= 0:
            return
        now = time.monotonic()
        self._free_at = max(now - CATCH_UP_S, self._free_at) + size / bytes_per_s
        await asyncio.sleep(max(0.0, self._free_at - now))


class BlobServer:
    """Blobs in memory with their traffic counts."""

    def __init__(self, faults: Faults):
        self._faults = faults
        self._blobs: dict[str, bytes] = {}
        self._bucket = TokenBucket()
        self._link = SharedLink()
        self._requests: Counter[str] = Counter()
        self._bytes: Counter[str] = Counter()
        self._served = 0
        self._refused = 0

    async def get(self, request: web.Request) -> web.StreamResponse:
        if not self._bucket.admit(self._faults["requests_per_s"]):
            self._refused += 1
            return error(429, "too many requests")
        await asyncio.sleep(self._faults["slow"])
        digest = request.match_info["digest"]
        blob = self._blobs.get(digest)
        if blob is None:
            return error(404, "no such blob")
        self._requests[digest] += 1
        self._served += 1
        every = self._faults["corrupt_every_n"]
        if every and self._served % every == 0 and blob:
            middle = len(blob) // 2
            blob = blob[:middle] + bytes([blob[middle] ^ 0xFF]) + blob[middle + 1 :]
        if self._faults.take("lose_answers"):
            return lose_answer(request)
        return await self._send(request, digest, blob)

    async def _send(self, request: web.Request, digest: str, blob: bytes) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/octet-stream"})
        response.content_length = len(blob)
        await response.prepare(request)
        try:
            for begin in range(0, len(blob), PIECE_BYTES):
                piece = blob[begin : begin + PIECE_BYTES]
                await self._link.pass_through(len(piece), self._faults["bytes_per_s"])
                await response.write(piece)
                self._bytes[digest] += len(piece)
            await response.write_eof()
        except ConnectionError:
            pass  # The client gave up; what was sent stays counted.
        return response

    async def put(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self._faults["slow"])
        blob = await request.read()
        digest = request.match_info["digest"]
        if blake3(blob).hexdigest() != digest:
            return error(422, "the body does not have this digest")
        self._blobs[digest] = blob
        if self._faults.take("lose_answers"):
            return lose_answer(request)
        return web.json_response({"size": len(blob)})

    async def stats(self, _: web.Request) -> web.Response:
        blobs = {
            digest: {"requests": count, "bytes": self._bytes[digest]}
            for digest, count in self._requests.items()
        }
        return web.json_response(
            {
                "bytes": sum(self._bytes.values()),
                "requests": sum(self._requests.values()),
                "refused": self._refused,
                "stored_blobs": len(self._blobs),
                "stored_bytes": sum(map(len, self._blobs.values())),
                "blobs": blobs,
            }
        )


def main() -> None:
    """Runs the blob server."""
    parser = make_parser(__doc__)
    parser.add_argument("--bytes-per-s", type=float, default=0.0, help="of all responses together")
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
            web.get("/blobs/{digest}", server.get),
            web.put("/blobs/{digest}", server.put),
            web.get("/stats", server.stats),
        ]
    )
    run(app, args.port)


if __name__ == "__main__":
    main()
