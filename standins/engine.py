"""Model engine with continuous batching, a prefix cache, staging and orders to load weights.

Faults: `crash_on` (exit with code 70 shortly after a prompt with this text starts to run),
`crash_now`, `delay_s` (each answer starts late), `stall` (running requests get no tokens),
`load_s`, `token_interval_ms`, `accept_partial` (orders are obeyed although blobs are missing).
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import time
from argparse import Namespace
from collections import deque
from typing import Any

from aiohttp import web
from blake3 import blake3

from standins._batch import RANKS, Batch, Job
from standins._loader import Loader
from standins._prefixes import PrefixCache
from standins._server import (
    Faults,
    error,
    make_app,
    make_parser,
    read_object,
    start,
    until_terminated,
)

#: Exit code of a crash.
CRASH_CODE = 70
#: Seconds between samples of the load for the lagged report.
SAMPLE_S = 0.05


class Engine:
    """HTTP interface of the engine."""

    def __init__(self, args: Namespace, faults: Faults):
        self._faults = faults
        faults.on_set = self._faults_set
        self._crash_after_s: float = args.crash_after_s
        self._report_lag_s: float = args.report_lag_s
        self._history_file = open(args.history_file, "a") if args.history_file else None  # noqa: SIM115
        self._boot_id = secrets.token_hex(8)
        self._loader = Loader(faults, enforce_fencing=args.enforce_fencing)
        self._cache = PrefixCache(
            args.cache_blocks, args.cache_event_lag_s, args.cache_event_gap_every
        )
        self._batch = Batch(
            self._loader,
            self._cache,
            faults,
            slots=args.slots,
            prefill_us_per_char=args.prefill_us_per_char,
            on_record=self._keep_record,
        )
        self._batch.on_start = self._job_started
        self._samples: deque[dict[str, Any]] = deque()

    async def run(self) -> None:
        """Runs the batch and samples the load."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._batch.run())
            group.create_task(self._sample())

    async def _sample(self) -> None:
        while True:
            now = time.time()
            self._samples.append(
                {"at": now, "running": len(self._batch.running), "queued": self._batch.queued}
            )
            while len(self._samples) > 1 and self._samples[1]["at"] <= now - self._report_lag_s:
                self._samples.popleft()
            await asyncio.sleep(SAMPLE_S)

    def _keep_record(self, record: dict[str, Any]) -> None:
        if self._history_file is not None:
            self._history_file.write(json.dumps({"boot_id": self._boot_id} | record) + "\n")
            self._history_file.flush()

    async def _faults_set(self, changes: dict[str, Any]) -> None:
        if changes.get("crash_now"):
            # The answer to the order to crash still goes out.
            asyncio.get_running_loop().call_later(0.02, os._exit, CRASH_CODE)

    def _job_started(self, job: Job) -> None:
        if self._faults["crash_on"] and self._faults["crash_on"] in job.prompt:
            asyncio.get_running_loop().call_later(self._crash_after_s, os._exit, CRASH_CODE)

    async def generate(self, request: web.Request) -> web.StreamResponse:
        body = await read_object(request)
        if not _is_generate(body):
            return error(400, "malformed request")
        if self._loader.loading:
            return error(503, "loading")
        job = Job(
            body, lambda: request.transport is not None and not request.transport.is_closing()
        )
        self._batch.submit(job)
        status, reason = await job.started
        if reason:
            return error(status, reason)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        try:
            await response.prepare(request)
            while (line := await job.lines.get()) is not None:
                await response.write(json.dumps(line).encode() + b"\n")
            await response.write_eof()
        except ConnectionError:
            pass  # The batch ends the job at its next step.
        return response

    async def cancel(self, request: web.Request) -> web.Response:
        request_id = (await read_object(request)).get("request_id", "")
        return web.json_response({"cancelled": self._batch.cancel(request_id)})

    async def stage(self, request: web.Request) -> web.Response:
        blob = await request.read()
        digest = request.match_info["digest"]
        if blake3(blob).hexdigest() != digest:
            return error(422, "the body does not have this digest")
        self._loader.staged[digest] = len(blob)
        return web.json_response({"size": len(blob)})

    async def staged(self, _: web.Request) -> web.Response:
        return web.json_response(self._loader.staged)

    async def orders(self, request: web.Request) -> web.Response:
        status, answer = self._loader.order(await read_object(request))
        return web.json_response(answer, status=status)

    async def state(self, _: web.Request) -> web.Response:
        names = ("kind", "name", "version")
        return web.json_response(
            {
                "weights": [{name: item[name] for name in names} for item in self._loader.weights],
                "loading": self._loader.loading,
                "fence": self._loader.fence,
                "revision": self._loader.revision,
                "running": len(self._batch.running),
                "queued": self._batch.queued,
                "slots": self._batch.slots,
                "boot_id": self._boot_id,
                "load_report": self._samples[0],
            }
        )

    async def cache_events(self, request: web.Request) -> web.Response:
        try:
            first = int(request.query.get("from", "0"))
        except ValueError:
            return error(400, "from must be a number")
        return web.json_response(self._cache.events(max(0, first), time.time()))

    def _kv_keys(self, body: dict[str, Any]) -> list[str] | None:
        job = Job({"request_id": "", "max_tokens": 0} | body, lambda: True)
        return self._batch.block_keys(job) if self._batch.bind(job) else None

    async def kv_export(self, request: web.Request) -> web.Response:
        body = await read_object(request)
        if not all(isinstance(body.get(name), str) for name in ("model", "prompt")):
            return error(400, "model and prompt are needed")
        keys = self._kv_keys(body)
        if keys is None:
            return error(404, "not loaded")
        count = self._cache.cached_blocks(keys)
        if not count:
            return error(404, "no cached prefix")
        blob = json.dumps({"weights": self._loader.held(), "blocks": keys[:count]}).encode()
        return web.Response(body=blob, content_type="application/octet-stream")

    async def kv_import(self, request: web.Request) -> web.Response:
        body = await read_object(request)
        if not isinstance(body.get("blocks"), list):
            return error(400, "not an exported prefix")
        if body.get("weights") != self._loader.held():
            return error(409, "exported with other weights")
        self._cache.store(body["blocks"], time.time())
        return web.json_response({"blocks": len(body["blocks"])})

    async def history(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "boot_id": self._boot_id,
                "requests": self._batch.history,
                "orders": self._loader.orders,
            }
        )


def _is_generate(body: dict[str, Any]) -> bool:
    resume = body.get("resume") or []
    return (
        all(isinstance(body.get(name), str) for name in ("request_id", "prompt", "model"))
        and isinstance(body.get("adapter") or "", str)
        and type(body.get("max_tokens")) is int
        and body.get("priority", "ordinary") in RANKS
        and isinstance(resume, list)
        and all(isinstance(token, str) for token in resume)
    )


def _parse() -> Namespace:
    parser = make_parser(__doc__)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-interval-ms", type=float, default=10.0)
    parser.add_argument("--prefill-us-per-char", type=float, default=0.0)
    parser.add_argument("--cache-blocks", type=int, default=4096, help="prefix cache, in blocks")
    parser.add_argument("--cache-event-lag-s", type=float, default=0.5)
    parser.add_argument("--cache-event-gap-every", type=int, default=10, help="0 means no gaps")
    parser.add_argument("--report-lag-s", type=float, default=0.5)
    parser.add_argument("--load-s", type=float, default=0.1)
    parser.add_argument("--enforce-fencing", action="store_true")
    parser.add_argument("--crash-on", default="", metavar="TEXT")
    parser.add_argument("--crash-after-s", type=float, default=0.03)
    parser.add_argument("--history-file", help="JSON lines at start and end of each request")
    return parser.parse_args()


async def _serve(args: Namespace, faults: Faults) -> None:
    engine = Engine(args, faults)
    app = make_app(faults, ("/generate", "/cancel", "/staging", "/orders", "/state", "/kv"))
    app.add_routes(
        [
            web.post("/generate", engine.generate),
            web.post("/cancel", engine.cancel),
            web.put("/staging/{digest}", engine.stage),
            web.get("/staging", engine.staged),
            web.post("/orders", engine.orders),
            web.get("/state", engine.state),
            web.get("/cache-events", engine.cache_events),
            web.post("/kv/export", engine.kv_export),
            web.post("/kv/import", engine.kv_import),
            web.get("/history", engine.history),
        ]
    )
    running = asyncio.create_task(engine.run())
    port = await start(app, args.port)
    await until_terminated(port=port)
    running.cancel()


def main() -> None:
    """Runs the engine."""
    args = _parse()
    faults = Faults(
        crash_on=args.crash_on,
        crash_now=False,
        delay_s=0.0,
        stall=False,
        load_s=args.load_s,
        token_interval_ms=args.token_interval_ms,
        accept_partial=False,
    )
    asyncio.run(_serve(args, faults))


if __name__ == "__main__":
    main()
