"""A replica that speaks the platform's protocol: seals responses and streams events.

Paths that end in `/stream` respond with `--events` events, all others echo the request body.
Faults: `delay_s` before each response, `fail_next` (the next n requests get a 500), `refuse_next` (the
next n requests are not executed and get a 503), `cut_next` (the next n streams are reset after their
first event), `pause_s` between events.
`GET /runs` lists the ids and header fields of the executed requests. `--runs-file` names a file that gets
a line with the id and the unix seconds of each, which outlives a kill.
"""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

from aiohttp import web

from standins._server import Faults, make_app, make_parser, run

_REQUEST_ID = "X-Fescuechute-Request-Id"
#: Seconds between the first event of a stream and the reset of its connection.
_RESET_DELAY_S = 0.1


class Replica:
    """Answers requests and records those that it executed."""

    def __init__(self, faults: Faults, instance: str, events: int, runs_file: Path | None):
        self._faults = faults
        self._instance = instance
        self._events = events
        self._runs_file = runs_file
        self._runs: list[dict[str, Any]] = []

    async def answer(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {
            _REQUEST_ID: request.headers.get(_REQUEST_ID, ""),
            "X-Fescuechute-Instance-Id": self._instance,
        }
        if request.headers.get("X-Fescuechute-Target-Instance") != self._instance:
            return web.Response(status=421, headers=headers)
        if self._faults.consume("refuse_next"):
            headers["X-Fescuechute-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        self._runs.append({"id": headers[_REQUEST_ID], "headers": dict(request.headers)})
        if self._runs_file is not None:
            line = json.dumps({"id": headers[_REQUEST_ID], "at": time.time()})
            with self._runs_file.open("a") as file:
                print(line, file=file)
        headers["X-Fescuechute-Response-Seal"] = f"seal.{headers[_REQUEST_ID]}"
        await asyncio.sleep(self._faults["delay_s"])
        if self._faults.consume("fail_next"):
            return web.Response(status=500, headers=headers, body=b"failed")
        if request.path.endswith("/stream"):
            return await self._stream(request, headers)
        return web.Response(headers=headers, body=b"echo " + body)

    async def _stream(self, request: web.Request, headers: dict[str, str]) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        await response.prepare(request)
        first_id = int(request.headers.get("Last-Event-Id", "0")) + 1
        resets = self._faults.consume("cut_next")
        for event_id in range(first_id, self._events + 1):
            await response.write(f"id: {event_id}\ndata: token {event_id}\n\n".encode())
            if resets:
                # A reset discards unread data, so the client needs time to read the first event.
                await asyncio.sleep(_RESET_DELAY_S)
                assert request.transport is not None
                request.transport.abort()
                return response
            await asyncio.sleep(self._faults["pause_s"])
        await response.write_eof()
        return response

    async def runs(self, _request: web.Request) -> web.Response:
        return web.json_response(self._runs)


def main() -> None:
    """Runs the stand-in until it is terminated."""
    parser = make_parser(__doc__)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--events", type=int, default=5)
    parser.add_argument("--runs-file", type=Path)
    args = parser.parse_args()
    faults = Faults(delay_s=0.0, fail_next=0, refuse_next=0, cut_next=0, pause_s=0.0)
    replica = Replica(faults, args.instance, args.events, args.runs_file)
    app = make_app(faults, ())
    app.router.add_get("/runs", replica.runs)
    app.router.add_route("*", "/{path:.+}", replica.answer)
    run(app, args.port)


if __name__ == "__main__":
    main()
