"""The platform's metadata store: keyed topics with snapshots and long polling.

A test writes records with `PUT /records/TOPIC/KEY`. An empty body deletes the key. `GET /records/TOPIC`
lists the records, `GET /reads` returns the number of calls and of bytes read by topic, `GET /under-way`
the number of calls without a response. `POST /trim` deletes the records of a `topic` before the offset
`before`.

`POST /copy` takes a copy. `POST /return` loses what was written since: `age_s` is the age of the copy
or "copy" for the last one taken, `away_s` the seconds for which the store is away, `connections` is
"reset" or "hang" for calls in this time. It responds when the store is back, in the next era. `GET
/lost` lists the records that were lost and not written again. `POST /rewrite` writes them from `after_s`
on, with `gap_s` seconds in between, in the `order` "same", "reversed" or "shuffled" by a `seed`; a `topic`
limits it to the records of one.

Faults: `down` (503 for every call), `silent` (no response), `turn_away` (429 for every call),
`link_bytes_s` (rate of the link that all responses to reads share; 0 for no limit), `page_records`
(records of one page of a snapshot), `answer_delay_s` (seconds from the execution of a read to its
response), `late_answers_s` (seconds after a return at which reads that were under way get the response
of the old era; 0 closes their connections).
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
import time
from collections import defaultdict
from typing import Any

from aiohttp import web

from standins._server import (
    Faults,
    drop_response,
    error_response,
    make_app,
    make_parser,
    read_json_object,
    run,
)
from standins.platform._log import Log, LostRecord, Topic

#: Bytes of one response that cross a limited link before it is the turn of the next response.
_LINK_QUANTUM_BYTES = 4096
#: Limit on the records of one page of a snapshot.
_PAGE_RECORDS = 500
_ERA_HEADER = "Store-Era"
#: Key under which a request holds the era in which it was executed.
_EXECUTED_ERA = "executed_era"
_SERVICE_PATHS = ("/fescuechute/",)
READ_PATH = "/fescuechute/log-read"
NEWEST_PATH = "/fescuechute/log-newest"


class Store:
    """HTTP handlers of the store."""

    def __init__(self, faults: Faults, era: int):
        self._faults = faults
        self._log = Log(era, time.time())
        self._appended: dict[str, asyncio.Event] = defaultdict(asyncio.Event)
        #: Set when the present era ends.
        self._era_ended = asyncio.Event()
        #: Set while the store is there.
        self._present = asyncio.Event()
        self._present.set()
        self._resets = False
        self._link = asyncio.Lock()
        self._under_way = 0
        #: Calls and bytes by topic.
        self._reads: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        self._rewrites: set[asyncio.Task[None]] = set()

    async def add_era(self, request: web.Request, response: web.StreamResponse) -> None:
        """Adds the header to a response that is about to be sent."""
        response.headers[_ERA_HEADER] = str(request.get(_EXECUTED_ERA, self._log.era))

    @web.middleware
    async def be_away(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Leaves calls without a response while the store is away."""
        if not request.path.startswith(_SERVICE_PATHS):
            return await handler(request)
        if not self._present.is_set():
            if not self._resets:
                await self._present.wait()
            return drop_response(request)
        self._under_way += 1
        try:
            return await handler(request)
        finally:
            self._under_way -= 1

    async def reads(self, _request: web.Request) -> web.Response:
        return web.json_response(self._reads)

    async def under_way(self, _request: web.Request) -> web.Response:
        return web.json_response(self._under_way)

    async def put(self, request: web.Request) -> web.Response:
        value = await request.read()
        if not self._present.is_set():
            return error_response(503, "the store is away")
        topic, key = request.match_info["topic"], request.match_info["key"]
        offset = self._log.append(topic, key, value, time.time())
        self._wake(topic)
        return web.json_response({"end": offset + 1, "offset": offset})

    async def records(self, request: web.Request) -> web.Response:
        topic = self._log.topics[request.match_info["topic"]]
        return web.json_response(
            [
                {"offset": n, "key": record.key, "value": record.value.decode(), "at": record.at}
                for n, record in enumerate(topic.records)
            ]
        )

    async def trim(self, request: web.Request) -> web.Response:
        body = await read_json_object(request)
        if not isinstance(body.get("topic"), str) or not isinstance(body.get("before"), int):
            return error_response(400, "expected a `topic` and an offset `before`")
        first = self._log.trim(body["topic"], body["before"], time.time())
        return web.json_response({"first": first})

    async def take_copy(self, _request: web.Request) -> web.Response:
        self._log.take_copy(time.time())
        return web.json_response({})

    async def come_back(self, request: web.Request) -> web.Response:
        body = await read_json_object(request)
        if not self._present.is_set():
            return error_response(409, "the store is away already")
        try:
            age_s = None if body["age_s"] == "copy" else float(body["age_s"])
            away_s = float(body.get("away_s", 0.0))
            copy = self._log.copy_of_age(age_s, time.time())
        except (KeyError, TypeError, ValueError) as exc:
            return error_response(400, f"invalid return: {type(exc).__name__}: {exc}")
        connections = body.get("connections", "reset")
        if connections not in ("reset", "hang"):
            return error_response(400, f"connections are reset or hang, not {connections!r}")
        self._resets = connections == "reset"
        self._present.clear()
        self._era_ended.set()
        self._era_ended = asyncio.Event()
        await asyncio.sleep(away_s)
        self._log.return_to(copy, time.time())
        self._present.set()
        return web.json_response({"era": self._log.era, "lost": len(self._log.lost)})

    async def lost(self, _request: web.Request) -> web.Response:
        return web.json_response(
            [
                {"topic": lost.topic, "offset": lost.offset, "key": lost.key}
                | {"value": lost.value.decode()}
                for lost in self._log.lost
            ]
        )

    async def rewrite(self, request: web.Request) -> web.Response:
        body = await read_json_object(request)
        try:
            order, seed = body.get("order", "same"), int(body.get("seed", 0))
            records = self._log.order_lost(body.get("topic", ""), order, seed)
            after_s, gap_s = float(body.get("after_s", 0.0)), float(body.get("gap_s", 0.0))
        except (TypeError, ValueError) as exc:
            return error_response(400, f"invalid rewrite: {exc}")
        task = asyncio.create_task(self._rewrite_all(records, after_s, gap_s))
        self._rewrites.add(task)
        task.add_done_callback(self._rewrites.discard)
        return web.json_response({"records": len(records)})

    async def _rewrite_all(self, records: list[LostRecord], after_s: float, gap_s: float) -> None:
        await asyncio.sleep(after_s)
        for record in records:
            await self._present.wait()
            # Another rewrite may have written it.
            if record in self._log.lost:
                self._log.rewrite(record, time.time())
                self._wake(record.topic)
            await asyncio.sleep(gap_s)

    async def newest(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults()
        topic = self._log.topics[request.query["topic"]]
        limit = self._faults["page_records"]
        records, has_more = topic.newest(request.query.get("after", ""), limit)
        items = [
            {"key": record.key, "value": base64.b64encode(record.value).decode(), "offset": offset}
            for offset, record in records
        ]
        page = {"items": items, "has_more": has_more, "end": topic.end}
        return await self._respond(request, json.dumps(page).encode())

    async def read(self, request: web.Request) -> web.StreamResponse:
        await self._apply_faults()
        name = request.query["topic"]
        topic = self._log.topics[name]
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start == topic.end and start >= topic.first and wait_s:
            era, ended = self._log.era, self._era_ended
            if await self._wait_for_record(name, wait_s, ended):
                request[_EXECUTED_ERA] = era
                return await self._respond(request, _encode_read(topic, start), ended)
            await self._apply_faults()
        if not topic.has_offset(start):
            return error_response(410, "no such offset", first=topic.first)
        return await self._respond(request, _encode_read(topic, start))

    async def _wait_for_record(self, topic: str, wait_s: float, ended: asyncio.Event) -> bool:
        """Waits for a record or the end of the era; returns whether the era has ended."""
        events = (self._appended[topic], ended)
        waits = [asyncio.create_task(event.wait()) for event in events]
        await asyncio.wait(waits, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        return ended.is_set()

    def _wake(self, topic: str) -> None:
        self._appended.pop(topic, asyncio.Event()).set()

    async def _respond(
        self, request: web.Request, body: bytes, ended: asyncio.Event | None = None
    ) -> web.StreamResponse:
        """Sends a response that was made in the era whose end is `ended`, by default the present one."""
        ended = ended or self._era_ended
        request.setdefault(_EXECUTED_ERA, self._log.era)
        totals = self._reads[request.query["topic"]]
        totals[0], totals[1] = totals[0] + 1, totals[1] + len(body)
        if self._faults["answer_delay_s"]:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(ended.wait(), self._faults["answer_delay_s"])
        if ended.is_set():
            if not self._faults["late_answers_s"]:
                return drop_response(request)
            await self._present.wait()
            await asyncio.sleep(self._faults["late_answers_s"])
        return await self._send(request, body, ended)

    async def _send(
        self, request: web.Request, body: bytes, ended: asyncio.Event
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        for start in range(0, len(body), _LINK_QUANTUM_BYTES):
            quantum = body[start : start + _LINK_QUANTUM_BYTES]
            if self._faults["link_bytes_s"]:
                async with self._link:
                    await asyncio.sleep(len(quantum) / self._faults["link_bytes_s"])
            if ended.is_set() and not self._faults["late_answers_s"]:
                drop_response(request)
                return response
            await response.write(quantum)
        await response.write_eof()
        return response

    async def _apply_faults(self) -> None:
        if self._faults["silent"]:
            await asyncio.sleep(3600)
        if self._faults["turn_away"]:
            raise web.HTTPTooManyRequests


def _encode_read(topic: Topic, start: int) -> bytes:
    body = struct.pack(">QQ", topic.end, topic.first)
    for record in topic.records[start:]:
        content = bytes([len(record.key)]) + record.key.encode() + record.value
        body += struct.pack(">I", len(content)) + content
    return body


def main() -> None:
    """Runs the stand-in until it is terminated."""
    parser = make_parser(__doc__)
    parser.add_argument("--era", type=int, default=1, help="number of the first era")
    args = parser.parse_args()
    faults = Faults(
        down=False, silent=False, turn_away=False, link_bytes_s=0, page_records=_PAGE_RECORDS,
        answer_delay_s=0.0, late_answers_s=0.0,
    )  # fmt: skip
    store = Store(faults, args.era)
    app = make_app(faults, _SERVICE_PATHS)
    app.middlewares.append(store.be_away)
    app.on_response_prepare.append(store.add_era)
    app.add_routes(
        [
            web.put("/records/{topic}/{key:.+}", store.put),
            web.get("/records/{topic}", store.records),
            web.get("/reads", store.reads),
            web.get("/under-way", store.under_way),
            web.post("/trim", store.trim),
            web.post("/copy", store.take_copy),
            web.post("/return", store.come_back),
            web.get("/lost", store.lost),
            web.post("/rewrite", store.rewrite),
            web.get(NEWEST_PATH, store.newest),
            web.get(READ_PATH, store.read),
        ]
    )
    run(app, args.port)


if __name__ == "__main__":
    main()
