"""Shared code of the stand-ins: named faults, HTTP helpers, the ready line and shutdown."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

#: Largest accepted request body. Blobs of weights are the largest bodies.
MAX_BODY_BYTES = 1 << 30
#: Seconds after SIGTERM until open responses are cancelled.
SHUTDOWN_TIMEOUT_S = 0.2

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Faults:
    """Current values of the named faults; the defaults mean "no fault"."""

    def __init__(self, **defaults: Any):
        self._defaults = defaults
        self.values: dict[str, Any] = dict(defaults)
        #: Allowed values of the faults that accept a fixed set of values.
        self.choices: dict[str, tuple[Any, ...]] = {}
        #: Awaited with the changed faults before `POST /faults` responds.
        self.on_set: Callable[[dict[str, Any]], Awaitable[None]] | None = None

    def __getitem__(self, name: str) -> Any:
        return self.values[name]

    async def set(self, changes: object) -> dict[str, Any]:
        """Sets faults and returns the values of all; None restores a default.

        Raises:
          ValueError: `changes` is not an object, names an unknown fault or has an invalid value.
        """
        if not isinstance(changes, dict):
            raise ValueError("expected a JSON object of faults")
        validated = {name: self._validate(name, value) for name, value in changes.items()}
        self.values.update(validated)
        if self.on_set is not None:
            await self.on_set(validated)
        return self.values

    def consume(self, name: str) -> bool:
        """Decrements a counted fault; returns False if the count was already 0."""
        if self.values[name] <= 0:
            return False
        self.values[name] -= 1
        return True

    def _validate(self, name: str, value: Any) -> Any:
        if name not in self._defaults:
            raise ValueError(f"unknown fault {name!r}; known: {', '.join(sorted(self._defaults))}")
        default = self._defaults[name]
        if value is None:
            return default
        expected_type = type(default)
        if expected_type is float and type(value) is int:
            return float(value)
        if type(value) is not expected_type:
            raise ValueError(f"fault {name!r} takes a value of type {expected_type.__name__}")
        if name in self.choices and value not in self.choices[name]:
            raise ValueError(f"fault {name!r} takes one of {', '.join(self.choices[name])}")
        return value


class TokenBucket:
    """Rate limiter that allows bursts of `rate` times 0.1 s, but at least one event."""

    def __init__(self) -> None:
        self._tokens = 1.0
        self._refilled_at = time.monotonic()

    def admit(self, rate: float) -> bool:
        """Takes a token for one event; returns False if none is left.

        Args:
          rate: Events per second; 0 means no limit.
        """
        if rate <= 0:
            return True
        now = time.monotonic()
        self._tokens = min(max(1.0, rate * 0.1), self._tokens + (now - self._refilled_at) * rate)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def error_response(status: int, message: str, **extra: Any) -> web.Response:
    """Returns a JSON response with an `error` member and the extra members."""
    return web.json_response({"error": message, **extra}, status=status)


async def read_json_object(request: web.Request) -> dict[str, Any]:
    """Returns the request body, which must be a JSON object.

    Raises:
      web.HTTPBadRequest: The body is not a JSON object.
    """
    try:
        body = await request.json()
    except ValueError:
        body = None
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(
            text='{"error": "expected a JSON object"}', content_type="application/json"
        )
    return body


def drop_response(request: web.Request) -> web.Response:
    """Aborts the connection, so that the caller gets no response to a completed operation."""
    if request.transport is not None:
        request.transport.abort()
    # aiohttp requires a response object; its bytes are dropped by the aborted transport.
    return web.Response()


def make_app(faults: Faults, service_paths: tuple[str, ...]) -> web.Application:
    """Returns an application with `POST /faults`.

    Args:
      faults: `down` and `delay_s`, where defined, apply only to paths under `service_paths`.
      service_paths: Path prefixes of the imitated system; other paths exist only for tests.
    """

    @web.middleware
    async def apply_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path.startswith(service_paths):
            if faults.values.get("delay_s"):
                await asyncio.sleep(faults["delay_s"])
            if faults.values.get("down"):
                return error_response(503, "down")
        return await handler(request)

    async def post_faults(request: web.Request) -> web.Response:
        try:
            return web.json_response(await faults.set(await read_json_object(request)))
        except ValueError as exc:
            return error_response(400, str(exc))

    async def get_faults(_: web.Request) -> web.Response:
        return web.json_response(faults.values)

    app = web.Application(middlewares=[apply_faults], client_max_size=MAX_BODY_BYTES)
    app.add_routes([web.post("/faults", post_faults), web.get("/faults", get_faults)])
    return app


def make_parser(description: str | None, *, port: bool = True) -> argparse.ArgumentParser:
    """Returns a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    if port:
        parser.add_argument("--port", type=int, default=0, help="0 picks a free port")
    return parser


async def start_server(app: web.Application, port: int) -> int:
    """Starts to serve on 127.0.0.1 and returns the port."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, backlog=1024).start()
    return int(runner.addresses[0][1])


async def wait_for_termination(**ready: Any) -> None:
    """Prints the ready line with the given members and waits for SIGTERM or SIGINT."""
    terminated = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, terminated.set)
    print(json.dumps({"ready": True, **ready}), flush=True)
    await terminated.wait()


def run(app: web.Application, port: int) -> None:
    """Serves an application until SIGTERM or SIGINT."""

    async def main() -> None:
        await wait_for_termination(port=await start_server(app, port))

    asyncio.run(main())
