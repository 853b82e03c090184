"""Inference engine with continuous batching, a prefix cache, and staging and loading of weights.

Faults: `crash_on` (exits with code 70, `--crash-after-s` after the start of a request whose prompt
contains this text), `crash_now`, `delay_s` (added before each response), `stall` (running requests
get no tokens), `load_s`, `token_interval_ms`, `accept_partial` (load orders are accepted even if
blobs are missing).
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

from standins._batch import PRIORITY_RANKS, Batch, Job
from standins._loader import Loader
from standins._prefix_cache import PrefixCache
from standins._server import (
    Faults,
    error_response,
    make_app,
    make_parser,
    read_json_object,
    start_server,
    wait_for_termination,
)

#: Exit code of an injected crash.
CRASH_EXIT_CODE = 70
#: Seconds between the load samples from which the delayed load report is taken.
LOAD_SAMPLE_INTERVAL_S = 0.05


class Engine:
    """HTTP handlers of the engine."""

    def __init__(self, args: Namespace, faults: Faults):
        self._faults = faults
        faults.on_set = self._on_faults_set
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
            on_record=self._append_history,
        )
        self._batch.on_start = self._on_job_start
        self._load_samples: deque[dict[str, Any]] = deque()

    async def run(self) -> None:
        """Runs the batch and samples the load until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._batch.run())
            group.create_task(self._sample_load())

    async def _sample_load(self) -> None:
        while True:
            now = time.time()
            self._load_samples.append(
                {"at": now, "running": len(self._batch.running), "queued": self._batch.queue_length}
            )
            while (
                len(self._load_samples) > 1
                and self._load_samples[1]["at"] <= now - self._report_lag_s
            ):
                self._load_samples.popleft()
            await asyncio.sleep(LOAD_SAMPLE_INTERVAL_S)

    def _append_history(self, record: dict[str, Any]) -> None:
        if self._history_file is not None:
            self._history_file.write(json.dumps({"boot_id": self._boot_id} | record) + "\n")
            self._history_file.flush()

    async def _on_faults_set(self, changes: dict[str, Any]) -> None:
        if changes.get("crash_now"):
            # The delay lets the response to `POST /faults` be sent.
            asyncio.get_running_loop().call_later(0.02, os._exit, CRASH_EXIT_CODE)

    def _on_job_start(self, job: Job) -> None:
        if self._faults["crash_on"] and self._faults["crash_on"] in job.prompt:
            asyncio.get_running_loop().call_later(self._crash_after_s, os._exit, CRASH_EXIT_CODE)

    async def generate(self, request: web.Request) -> web.StreamResponse:
        body = await read_json_object(request)
        if not _is_generate_request(body):
            return error_response(400, "malformed request")
        if self._loader.loading:
            return error_response(503, "loading")
        job = Job(
            body, lambda: request.transport is not None and not request.transport.is_closing()
        )
        self._batch.submit(job)
        status, reason = await job.start_result
        if reason:
            return error_response(status, reason)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        try:
            await response.prepare(request)
            while (line := await job.lines.get()) is not None:
                await response.write(json.dumps(line).encode() + b"\n")
            await response.write_eof()
        except ConnectionError:
            pass  # The batch finishes the job as disconnected at its next step.
        return response

    async def cancel(self, request: web.Request) -> web.Response:
        request_id = (await read_json_object(request)).get("request_id", "")
        return web.json_response({"cancelled": self._batch.cancel(request_id)})

    async def stage_blob(self, request: web.Request) -> web.Response:
        blob = await request.read()
        digest = request.match_info["digest"]
        if blake3(blob).hexdigest() != digest:
            return error_response(422, "the body does not have this digest")
        self._loader.staged_sizes[digest] = len(blob)
        return web.json_response({"size": len(blob)})

    async def get_staged(self, _: web.Request) -> web.Response:
        return web.json_response(self._loader.staged_sizes)

    async def post_order(self, request: web.Request) -> web.Response:
        status, response = self._loader.submit_order(await read_json_object(request))
        return web.json_response(response, status=status)

    async def get_state(self, _: web.Request) -> web.Response:
        fields = ("kind", "name", "version")
        return web.json_response(
            {
                "weights": [{name: item[name] for name in fields} for item in self._loader.weights],
                "loading": self._loader.loading,
                "fence": self._loader.fence,
                "revision": self._loader.revision,
                "running": len(self._batch.running),
                "queued": self._batch.queue_length,
                "slots": self._batch.slots,
                "boot_id": self._boot_id,
                "load_report": self._load_samples[0],
            }
        )

    async def get_cache_events(self, request: web.Request) -> web.Response:
        try:
            first_number = int(request.query.get("from", "0"))
        except ValueError:
            return error_response(400, "from must be a number")
        return web.json_response(self._cache.read_events(max(0, first_number), time.time()))

    def _cache_keys(self, body: dict[str, Any]) -> list[str] | None:
        job = Job({"request_id": "", "max_tokens": 0} | body, lambda: True)
        return self._batch.cache_keys(job) if self._batch.bind_versions(job) else None

    async def export_kv(self, request: web.Request) -> web.Response:
        body = await read_json_object(request)
        if not all(isinstance(body.get(name), str) for name in ("model", "prompt")):
            return error_response(400, "model and prompt are needed")
        keys = self._cache_keys(body)
        if keys is None:
            return error_response(404, "not loaded")
        count = self._cache.match_prefix(keys)
        if not count:
            return error_response(404, "no cached prefix")
        blob = json.dumps({"weights": self._loader.loaded_items(), "blocks": keys[:count]}).encode()
        return web.Response(body=blob, content_type="application/octet-stream")

    async def import_kv(self, request: web.Request) -> web.Response:
        body = await read_json_object(request)
        if not isinstance(body.get("blocks"), list):
            return error_response(400, "not an exported prefix")
        if body.get("weights") != self._loader.loaded_items():
            return error_response(409, "exported with other weights")
        self._cache.store(body["blocks"], time.time())
        return web.json_response({"blocks": len(body["blocks"])})

    async def get_history(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "boot_id": self._boot_id,
                "requests": self._batch.history,
                "orders": self._loader.order_history,
            }
        )


def _is_generate_request(body: dict[str, Any]) -> bool:
    resume = body.get("resume") or []
    return (
        all(isinstance(body.get(name), str) for name in ("request_id", "prompt", "model"))
        and isinstance(body.get("adapter") or "", str)
        and type(body.get("max_tokens")) is int
        and body.get("priority", "ordinary") in PRIORITY_RANKS
        and isinstance(resume, list)
        and all(isinstance(token, str) for token in resume)
    )


def _parse_args() -> Namespace:
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
    parser.add_argument(
        "--history-file", help="appends a JSON line at the start and end of each request"
    )
    return parser.parse_args()


async def _serve(args: Namespace, faults: Faults) -> None:
    engine = Engine(args, faults)
    app = make_app(faults, ("/generate", "/cancel", "/staging", "/orders", "/state", "/kv"))
    app.add_routes(
        [
            web.post("/generate", engine.generate),
            web.post("/cancel", engine.cancel),
            web.put("/staging/{digest}", engine.stage_blob),
            web.get("/staging", engine.get_staged),
            web.post("/orders", engine.post_order),
            web.get("/state", engine.get_state),
            web.get("/cache-events", engine.get_cache_events),
            web.post("/kv/export", engine.export_kv),
            web.post("/kv/import", engine.import_kv),
            web.get("/history", engine.get_history),
        ]
    )
    engine_task = asyncio.create_task(engine.run())
    port = await start_server(app, args.port)
    await wait_for_termination(port=port)
    engine_task.cancel()


def main() -> None:
    """Runs the engine."""
    args = _parse_args()
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
