"""What all stand-ins share: named faults, the ready line and the life of the process."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

#: Bodies up to this size are accepted; blobs are the largest.
MAX_BODY_BYTES = 1 << 30
#: Seconds that streams may go on after SIGTERM.
SHUTDOWN_S = 0.2

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Faults:
    """Named faults with default values that mean "no fault"."""

    def __init__(self, **defaults: Any):
        self._defaults = defaults
        self.values: dict[str, Any] = dict(defaults)
        #: Allowed values by fault, for those that allow only some.
        self.choices: dict[str, tuple[Any, ...]] = {}
        #: Called with the newly set faults; the answer to the change waits for it.
        self.on_set: Callable[[dict[str, Any]], Awaitable[None]] | None = None

    def __getitem__(self, name: str) -> Any:
        return self.values[name]

    async def set(self, changes: object) -> dict[str, Any]:
        """Sets faults; None restores the default.

        Raises:
          ValueError: The change is no object, names an unknown fault or has the wrong type.
        """
        if not isinstance(changes, dict):
            raise ValueError("expected a JSON object of faults")
        checked = {name: self._checked(name, value) for name, value in changes.items()}
        self.values.update(checked)
        if self.on_set is not None:
            await self.on_set(checked)
        return self.values

    def take(self, name: str) -> bool:
        """Uses up one of a counted fault; returns whether one was left."""
        if self.values[name] <= 0:
            return False
        self.values[name] -= 1
        return True

    def _checked(self, name: str, value: Any) -> Any:
        if name not in self._defaults:
            raise ValueError(f"unknown fault {name!r}; known: {', '.join(sorted(self._defaults))}")
        default = self._defaults[name]
        if value is None:
            return default
        kind = type(default)
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise ValueError(f"fault {name!r} takes a value of type {kind.__name__}")
        if name in self.choices and value not in self.choices[name]:
            raise ValueError(f"fault {name!r} takes one of {', '.join(self.choices[name])}")
        return value


class TokenBucket:
    """Admits `rate` events a second with bursts of a tenth of a second; a rate of 0 admits all."""

    def __init__(self) -> None:
        self._level = 1.0
        self._at = time.monotonic()

    def admit(self, rate: float) -> bool:
        """Returns whether one more event fits now."""
        if rate <= 0:
            return True
        now = time.monotonic()
        self._level = min(max(1.0, rate * 0.1), self._level + (now - self._at) * rate)
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


def error(status: int, message: str, **extra: Any) -> web.Response:
    """Returns an answer with an `error` member."""
    return web.json_response({"error": message, **extra}, status=status)


async def read_object(request: web.Request) -> dict[str, Any]:
    """Returns the JSON object of the body.

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


def lose_answer(request: web.Request) -> web.Response:
    """Closes the connection so that the caller gets no answer to an operation that took effect."""
    if request.transport is not None:
        request.transport.abort()
    # aiohttp wants a response object; its bytes go to the closed transport and are dropped.
    return web.Response()


def make_app(faults: Faults, platform_paths: tuple[str, ...]) -> web.Application:
    """Returns an application with `POST /faults`.

    Args:
      faults: `down` and `delay_s`, where present, apply to the platform's interface only.
      platform_paths: Path prefixes of that interface; all others are for tests.
    """

    @web.middleware
    async def apply_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path.startswith(platform_paths):
            if faults.values.get("delay_s"):
                await asyncio.sleep(faults["delay_s"])
            if faults.values.get("down"):
                return error(503, "down")
        return await handler(request)

    async def post_faults(request: web.Request) -> web.Response:
        try:
            return web.json_response(await faults.set(await read_object(request)))
        except ValueError as exc:
            return error(400, str(exc))

    async def get_faults(_: web.Request) -> web.Response:
        return web.json_response(faults.values)

    app = web.Application(middlewares=[apply_faults], client_max_size=MAX_BODY_BYTES)
    app.add_routes([web.post("/faults", post_faults), web.get("/faults", get_faults)])
    return app


def make_parser(description: str | None, *, port: bool = True) -> argparse.ArgumentParser:
    """Returns a parser with the options that all stand-ins have."""
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    if port:
        parser.add_argument("--port", type=int, default=0, help="0 lets the system choose")
    return parser


async def start(app: web.Application, port: int) -> int:
    """Starts listening and returns the port."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, backlog=1024).start()
    return int(runner.addresses[0][1])


async def until_terminated(**ready: Any) -> None:
    """Prints the ready line and returns on SIGTERM or SIGINT."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, ended.set)
    print(json.dumps({"ready": True, **ready}), flush=True)
    await ended.wait()


def run(app: web.Application, port: int) -> None:
    """Serves until SIGTERM."""

    async def main() -> None:
        await until_terminated(port=await start(app, port))

    asyncio.run(main())
