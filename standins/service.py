"""Plain service with operations that must not be repeated. It does not deduplicate.

Faults: `down`, `delay_s`, `lose_answers` (the next n operations are executed without an answer),
`fail_next` (the next n operations fail with 500 before execution). An operation whose arguments
hold `"reject": text` is answered with 422 and not executed.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections import Counter
from pathlib import Path
from typing import Any

from aiohttp import web

from standins._server import Faults, error, lose_answer, make_app, make_parser, read_object, run


class Service:
    """Executions with their log, optionally kept in a file across restarts."""

    def __init__(self, faults: Faults, slots: int, work_s: float, file: Path | None):
        self._faults = faults
        self._slots = slots
        self._work_s = work_s
        self._file = file
        self._free = asyncio.Semaphore(slots)
        self._boot_id = secrets.token_hex(8)
        self._running = 0
        self._queued = 0
        self._log: list[dict[str, Any]] = []
        if file is not None and file.exists():
            self._log = [json.loads(line) for line in file.read_text().splitlines()]

    async def operate(self, request: web.Request) -> web.Response:
        body = await read_object(request)
        self._queued += 1
        try:
            await self._free.acquire()
        finally:
            self._queued -= 1
        self._running += 1
        try:
            return await self._run(request, body)
        finally:
            self._running -= 1
            self._free.release()

    async def _run(self, request: web.Request, body: dict[str, Any]) -> web.Response:
        if self._faults.take("fail_next"):
            return error(500, "failed before execution")
        arguments = body.get("arguments") or {}
        if "reject" in arguments:
            return error(422, str(arguments["reject"]))
        await asyncio.sleep(self._work_s)
        entry = {
            "key": body.get("key") or "",
            "request_id": body.get("request_id"),
            "op": request.match_info["op"],
            "time": time.time(),
        }
        self._log.append(entry)
        if self._file is not None:
            with self._file.open("a") as file:
                file.write(json.dumps(entry) + "\n")
        if self._faults.take("lose_answers"):
            return lose_answer(request)
        result = {"op": entry["op"], "key": entry["key"], "arguments": arguments}
        return web.json_response({"result": result | {"execution": len(self._log)}})

    async def executions(self, _: web.Request) -> web.Response:
        return web.json_response(Counter(entry["key"] for entry in self._log if entry["key"]))

    async def execution_log(self, _: web.Request) -> web.Response:
        return web.json_response(self._log)

    async def state(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "running": self._running,
                "queued": self._queued,
                "slots": self._slots,
                "boot_id": self._boot_id,
            }
        )


def main() -> None:
    """Runs the service."""
    parser = make_parser(__doc__)
    parser.add_argument("--work-ms", type=float, default=5.0)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--executions-file", type=Path, help="keeps executions across restarts")
    args = parser.parse_args()
    faults = Faults(down=False, delay_s=0.0, lose_answers=0, fail_next=0)
    service = Service(faults, args.slots, args.work_ms / 1000, args.executions_file)
    app = make_app(faults, ("/operations", "/state"))
    app.add_routes(
        [
            web.post("/operations/{op}", service.operate),
            web.get("/executions", service.executions),
            web.get("/executions/log", service.execution_log),
            web.get("/state", service.state),
        ]
    )
    run(app, args.port)


if __name__ == "__main__":
    main()
