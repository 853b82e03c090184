"""Service with non-idempotent operations. It does not deduplicate requests.

Faults: `down`, `delay_s`, `lose_answers` (the next n operations are executed but get no response),
`fail_next` (the next n operations fail with 500 before execution). An operation whose arguments
contain `"reject": text` gets a 422 response and is not executed.
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

from standins._server import (
    Faults,
    drop_response,
    error_response,
    make_app,
    make_parser,
    read_json_object,
    run,
)


class Service:
    """Executes operations and logs each execution, optionally to a file that survives restarts."""

    def __init__(self, faults: Faults, slots: int, work_s: float, executions_file: Path | None):
        self._faults = faults
        self._slots = slots
        self._work_s = work_s
        self._executions_file = executions_file
        self._free_slots = asyncio.Semaphore(slots)
        self._boot_id = secrets.token_hex(8)
        self._running = 0
        self._queued = 0
        self._execution_log: list[dict[str, Any]] = []
        if executions_file is not None and executions_file.exists():
            self._execution_log = [
                json.loads(line) for line in executions_file.read_text().splitlines()
            ]

    async def post_operation(self, request: web.Request) -> web.Response:
        body = await read_json_object(request)
        self._queued += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._queued -= 1
        self._running += 1
        try:
            return await self._execute(request, body)
        finally:
            self._running -= 1
            self._free_slots.release()

    async def _execute(self, request: web.Request, body: dict[str, Any]) -> web.Response:
        if self._faults.consume("fail_next"):
            return error_response(500, "failed before execution")
        arguments = body.get("arguments") or {}
        if "reject" in arguments:
            return error_response(422, str(arguments["reject"]))
        await asyncio.sleep(self._work_s)
        entry = {
            "key": body.get("key") or "",
            "request_id": body.get("request_id"),
            "op": request.match_info["op"],
            "time": time.time(),
        }
        self._execution_log.append(entry)
        if self._executions_file is not None:
            with self._executions_file.open("a") as output:
                output.write(json.dumps(entry) + "\n")
        if self._faults.consume("lose_answers"):
            return drop_response(request)
        result = {"op": entry["op"], "key": entry["key"], "arguments": arguments}
        return web.json_response({"result": result | {"execution": len(self._execution_log)}})

    async def get_execution_counts(self, _: web.Request) -> web.Response:
        return web.json_response(
            Counter(entry["key"] for entry in self._execution_log if entry["key"])
        )

    async def get_execution_log(self, _: web.Request) -> web.Response:
        return web.json_response(self._execution_log)

    async def get_state(self, _: web.Request) -> web.Response:
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
    parser.add_argument(
        "--executions-file", type=Path, help="keeps the execution log across restarts"
    )
    args = parser.parse_args()
    faults = Faults(down=False, delay_s=0.0, lose_answers=0, fail_next=0)
    service = Service(faults, args.slots, args.work_ms / 1000, args.executions_file)
    app = make_app(faults, ("/operations", "/state"))
    app.add_routes(
        [
            web.post("/operations/{op}", service.post_operation),
            web.get("/executions", service.get_execution_counts),
            web.get("/executions/log", service.get_execution_log),
            web.get("/state", service.get_state),
        ]
    )
    run(app, args.port)


if __name__ == "__main__":
    main()
