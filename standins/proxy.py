"""Fault-injecting TCP proxy that stands for one link with all its connections.

One process may listen for several targets; all share the link. `up` is the direction from the
callers to the targets. A target added with `"reverse": true` lies at the near end of the link: its
callers send `down`. So one process stands for the link between two regions, whichever of them dials.

Faults: `delay_s` (one way), `bytes_per_s` (each way, all connections together), `cut` (`up`, `down`
or `both`: bytes and ends of that direction are lost; a connection that lost any stays silent in
that direction, as TCP never delivers bytes behind a gap), `stall` (everything is held and delivered
after release), `silence_existing` (present connections go silent for good), `corrupt_every_bytes`,
`refuse` (new connections are refused), `reset` (present connections are reset).
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from aiohttp import web

from standins._pipes import Direction, ProxiedConnection, Side
from standins._server import (
    Faults,
    error,
    make_app,
    make_parser,
    read_object,
    start,
    until_terminated,
)

#: Receive buffer of all sockets. The default grows to megabytes, in which a rate-limited link would
#: hide seconds of queued bytes.
RECEIVE_BUFFER = 64 << 10


class Listener:
    """One listening port in front of one target."""

    def __init__(self, proxy: Proxy, port: int, target: tuple[str, int], reverse: bool):
        self._proxy = proxy
        self._target = target
        self._reverse = reverse
        self._server: asyncio.Server | None = None
        self._lock = asyncio.Lock()
        # Holds the port while connections are refused; it never listens.
        self._holder = _bind(port)
        self.port: int = self._holder.getsockname()[1]

    async def update(self) -> None:
        """Accepts or refuses connections, as the fault `refuse` says now."""
        async with self._lock:
            if self._proxy.refusing and self._server is not None:
                self._server.close()
                self._server = None
            elif not self._proxy.refusing and self._server is None:
                self._server = await asyncio.get_running_loop().create_server(
                    self._accept, sock=_bind(self.port), backlog=1024
                )

    def _accept(self) -> Side:
        return self._proxy.add_connection(self._target, self._reverse).client


class Proxy:
    """Connections, listeners and the faults that apply to them."""

    def __init__(self, faults: Faults):
        self._faults = faults
        faults.on_set = self._faults_set
        self._up = Direction("up", faults)
        self._down = Direction("down", faults)
        self._connections: set[ProxiedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners: list[Listener] = []
        self._accepted = 0
        self._not_stalled = asyncio.Event()
        self._not_stalled.set()

    @property
    def refusing(self) -> bool:
        """Whether new connections are refused."""
        return bool(self._faults["refuse"])

    async def add_listener(self, port: int, target: tuple[str, int], reverse: bool) -> int:
        """Starts listening for a target and returns the port."""
        listener = Listener(self, port, target, reverse)
        self._listeners.append(listener)
        await listener.update()
        return listener.port

    def add_connection(self, target: tuple[str, int], reverse: bool) -> ProxiedConnection:
        """Returns a new connection, which dials its target when the caller is connected."""
        directions = (self._down, self._up) if reverse else (self._up, self._down)
        connection = ProxiedConnection(*directions, self._connections.discard)
        connection.connect = lambda: self._run(self._dial(connection, target))
        self._connections.add(connection)
        self._accepted += 1
        return connection

    async def _dial(self, connection: ProxiedConnection, target: tuple[str, int]) -> None:
        # The handshake takes one round trip of the link.
        await asyncio.sleep(2 * self._faults["delay_s"])
        await self._not_stalled.wait()
        if self._faults["cut"] != "none":
            connection.silence()
        if connection.silenced:
            return
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection.target, *target)
        except OSError:
            connection.reset()

    def _run(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _faults_set(self, changes: dict[str, Any]) -> None:
        if changes.get("silence_existing"):
            for connection in self._connections:
                connection.silence()
        if changes.get("reset"):
            for connection in list(self._connections):
                connection.reset()
        self._faults.values |= {"silence_existing": False, "reset": False}
        if "refuse" in changes:
            for listener in self._listeners:
                await listener.update()
        if self._faults["stall"]:
            self._not_stalled.clear()
        else:
            self._not_stalled.set()
        for connection in list(self._connections):
            connection.pump()

    async def targets(self, request: web.Request) -> web.Response:
        body = await read_object(request)
        try:
            target = parse_target(str(body.get("target")))
        except ValueError as exc:
            return error(400, str(exc))
        port = await self.add_listener(0, target, bool(body.get("reverse")))
        return web.json_response({"port": port})

    async def stats(self, _: web.Request) -> web.Response:
        answer: dict[str, Any] = {
            "accepted": self._accepted,
            "open": len(self._connections),
            "silenced": sum(connection.silenced for connection in self._connections),
        }
        for direction in (self._up, self._down):
            answer[direction.name] = {
                "bytes": direction.delivered,
                "discarded": direction.discarded,
                "corrupted": direction.corrupted,
            }
        return web.json_response(answer)


def parse_target(text: str) -> tuple[str, int]:
    """Returns address and port.

    Raises:
      ValueError: The text is not `ip:port`.
    """
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit():
        raise ValueError(f"expected ip:port, found {text!r}")
    return address, int(port)


def _bind(port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.bind(("127.0.0.1", port))
    sock.setblocking(False)
    return sock


async def _serve(listen_port: int, control_port: int, targets: list[tuple[str, int]]) -> None:
    faults = Faults(
        delay_s=0.0,
        bytes_per_s=0.0,
        cut="none",
        stall=False,
        silence_existing=False,
        corrupt_every_bytes=0,
        refuse=False,
        reset=False,
    )
    faults.choices["cut"] = ("both", "up", "down", "none")
    proxy = Proxy(faults)
    app = make_app(faults, ())
    app.add_routes([web.post("/targets", proxy.targets), web.get("/stats", proxy.stats)])
    ports = [
        await proxy.add_listener(0 if number else listen_port, target, reverse=False)
        for number, target in enumerate(targets)
    ]
    ready_ports = {"ports": ports, "port": ports[0]} if ports else {"ports": []}
    await until_terminated(control_port=await start(app, control_port), **ready_ports)


def main() -> None:
    """Runs the proxy."""
    parser = make_parser(__doc__, port=False)
    parser.add_argument("--listen-port", type=int, default=0, help="for the first target")
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--target", type=parse_target, action="append", default=[])
    args = parser.parse_args()
    asyncio.run(_serve(args.listen_port, args.control_port, args.target))


if __name__ == "__main__":
    main()
