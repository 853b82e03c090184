"""Fault-injecting TCP proxy that emulates one network link shared by all its connections.

A process may listen for several targets; all share the link. `up` is the direction from callers to
targets. For a target added with `"reverse": true` the directions are swapped: its callers send on
`down`. One process can thus emulate the link between two regions, with connections opened from
either side.

Faults: `delay_s` (one way), `bytes_per_s` (in each direction, shared by all connections), `cut`
(`up`, `down` or `both`: bytes, FINs and RSTs in that direction are dropped; a connection that lost
any stays silent in that direction, since TCP never delivers bytes after a gap), `stall` (everything
is buffered, and delivered when the fault ends), `silence_existing` (existing connections deliver
nothing from then on), `corrupt_every_bytes` (every nth byte is changed), `refuse` (new connections
are refused), `reset` (existing connections are reset).
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from aiohttp import web

from standins._pipes import Direction, Endpoint, ProxiedConnection
from standins._server import (
    Faults,
    error_response,
    make_app,
    make_parser,
    read_json_object,
    start_server,
    wait_for_termination,
)

#: Receive buffer of all sockets, in bytes. The system default grows to megabytes, which would queue
#: seconds of traffic of a rate-limited link outside of the emulation.
RECEIVE_BUFFER_BYTES = 64 << 10


class Listener:
    """Listening port that forwards to one target."""

    def __init__(self, proxy: Proxy, port: int, target: tuple[str, int], reverse: bool):
        self._proxy = proxy
        self._target = target
        self._reverse = reverse
        self._server: asyncio.Server | None = None
        self._lock = asyncio.Lock()
        # Reserves the port while connections are refused; this socket never listens.
        self._reserved_socket = _bind_socket(port)
        self.port: int = self._reserved_socket.getsockname()[1]

    async def apply_refuse_fault(self) -> None:
        """Starts or stops listening according to the current value of the fault `refuse`."""
        async with self._lock:
            if self._proxy.refuses_connections and self._server is not None:
                self._server.close()
                self._server = None
            elif not self._proxy.refuses_connections and self._server is None:
                self._server = await asyncio.get_running_loop().create_server(
                    self._create_client_endpoint, sock=_bind_socket(self.port), backlog=1024
                )

    def _create_client_endpoint(self) -> Endpoint:
        return self._proxy.add_connection(self._target, self._reverse).client


class Proxy:
    """Owns the listeners and connections of the link and applies the faults to them."""

    def __init__(self, faults: Faults):
        self._faults = faults
        faults.on_set = self._on_faults_set
        self._up = Direction("up", faults)
        self._down = Direction("down", faults)
        self._connections: set[ProxiedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners: list[Listener] = []
        self._accepted_count = 0
        self._not_stalled = asyncio.Event()
        self._not_stalled.set()

    @property
    def refuses_connections(self) -> bool:
        """Whether the fault `refuse` is set."""
        return bool(self._faults["refuse"])

    async def add_listener(self, port: int, target: tuple[str, int], reverse: bool) -> int:
        """Starts listening for a target and returns the port."""
        listener = Listener(self, port, target, reverse)
        self._listeners.append(listener)
        await listener.apply_refuse_fault()
        return listener.port

    def add_connection(self, target: tuple[str, int], reverse: bool) -> ProxiedConnection:
        """Returns a new connection that dials the target once the caller has connected."""
        directions = (self._down, self._up) if reverse else (self._up, self._down)
        connection = ProxiedConnection(*directions, self._connections.discard)
        connection.connect_target = lambda: self._start_task(self._dial(connection, target))
        self._connections.add(connection)
        self._accepted_count += 1
        return connection

    async def _dial(self, connection: ProxiedConnection, target: tuple[str, int]) -> None:
        # The TCP handshake takes one round trip on the link.
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

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _on_faults_set(self, changes: dict[str, Any]) -> None:
        if changes.get("silence_existing"):
            for connection in self._connections:
                connection.silence()
        if changes.get("reset"):
            for connection in list(self._connections):
                connection.reset()
        self._faults.values |= {"silence_existing": False, "reset": False}
        if "refuse" in changes:
            for listener in self._listeners:
                await listener.apply_refuse_fault()
        if self._faults["stall"]:
            self._not_stalled.clear()
        else:
            self._not_stalled.set()
        for connection in list(self._connections):
            connection.deliver_due()

    async def post_target(self, request: web.Request) -> web.Response:
        body = await read_json_object(request)
        try:
            target = parse_target(str(body.get("target")))
        except ValueError as exc:
            return error_response(400, str(exc))
        port = await self.add_listener(0, target, bool(body.get("reverse")))
        return web.json_response({"port": port})

    async def get_stats(self, _: web.Request) -> web.Response:
        counters: dict[str, Any] = {
            "accepted": self._accepted_count,
            "open": len(self._connections),
            "silenced": sum(connection.silenced for connection in self._connections),
        }
        for direction in (self._up, self._down):
            counters[direction.name] = {
                "bytes": direction.delivered_bytes,
                "discarded": direction.discarded_bytes,
                "corrupted": direction.corrupted_bytes,
            }
        return web.json_response(counters)


def parse_target(text: str) -> tuple[str, int]:
    """Parses a target into address and port.

    Raises:
      ValueError: `text` is not of the form `ip:port`.
    """
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit():
        raise ValueError(f"expected ip:port, found {text!r}")
    return address, int(port)


def _bind_socket(port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
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
    app.add_routes([web.post("/targets", proxy.post_target), web.get("/stats", proxy.get_stats)])
    ports = [
        await proxy.add_listener(0 if number else listen_port, target, reverse=False)
        for number, target in enumerate(targets)
    ]
    ready_ports = {"ports": ports, "port": ports[0]} if ports else {"ports": []}
    await wait_for_termination(control_port=await start_server(app, control_port), **ready_ports)


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
