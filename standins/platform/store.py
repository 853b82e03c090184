"""The platform's metadata store: keyed topics with snapshots and long polling.

A test writes records with `PUT /records/TOPIC/KEY`. An empty body deletes the key. `GET /reads` returns
the number of calls and of bytes read by topic.
Faults: `down` (503 for every call), `silent` (no response), `turn_away` (429 for every call),
`link_bytes_s` (rate of the link that all responses to reads share; 0 for no limit).
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
from collections import defaultdict

from aiohttp import web

from standins._server import Faults, make_app, make_parser, run

#: Bytes of one response that cross a limited link before it is the turn of the next response.
_LINK_QUANTUM_BYTES = 4096


class Topic:
    """One keyed topic: its records by offset, and an event that is set on each append."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.appended = asyncio.Event()

    def append(self, key: str, value: bytes) -> None:
        self.records.append((key, value))
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    """HTTP handlers of the store."""

    def __init__(self, faults: Faults):
        self._faults = faults
        self._topics: dict[str, Topic] = defaultdict(Topic)
        self._link = asyncio.Lock()
        #: Calls and bytes by topic.
        self._reads: dict[str, list[int]] = defaultdict(lambda: [0, 0])

    async def reads(self, _request: web.Request) -> web.Response:
        return web.json_response(self._reads)

    async def put(self, request: web.Request) -> web.Response:
        topic = self._topics[request.match_info["topic"]]
        topic.append(request.match_info["key"], await request.read())
        return web.json_response({"end": len(topic.records)})

    async def newest(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults()
        topic = self._topics[request.query["topic"]]
        newest = {key: (offset, value) for offset, (key, value) in enumerate(topic.records)}
        after = request.query.get("after", "")
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        page = {"items": items, "has_more": False, "end": len(topic.records)}
        return await self._respond(request, json.dumps(page).encode())

    async def read(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults()
        topic = self._topics[request.query["topic"]]
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start >= len(topic.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.appended.wait(), wait_s)
            await self._apply_faults()
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return await self._respond(request, body)

    async def _respond(self, request: web.Request, body: bytes) -> web.StreamResponse:
        totals = self._reads[request.query["topic"]]
        totals[0], totals[1] = totals[0] + 1, totals[1] + len(body)
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        for start in range(0, len(body), _LINK_QUANTUM_BYTES):
            quantum = body[start : start + _LINK_QUANTUM_BYTES]
            if self._faults["link_bytes_s"]:
                async with self._link:
                    await asyncio.sleep(len(quantum) / self._faults["link_bytes_s"])
            await response.write(quantum)
        await response.write_eof()
        return response

    async def _apply_faults(self) -> None:
        if self._faults["silent"]:
            await asyncio.sleep(3600)
        if self._faults["turn_away"]:
            raise web.HTTPTooManyRequests


def main() -> None:
    """Runs the stand-in until it is terminated."""
    args = make_parser(__doc__).parse_args()
    faults = Faults(down=False, silent=False, turn_away=False, link_bytes_s=0)
    store = Store(faults)
    app = make_app(faults, ("/fescuechute/",))
    app.router.add_put("/records/{topic}/{key:.+}", store.put)
    app.router.add_get("/reads", store.reads)
    app.router.add_get("/fescuechute/log-newest", store.newest)
    app.router.add_get("/fescuechute/log-read", store.read)
    run(app, args.port)


if __name__ == "__main__":
    main()
