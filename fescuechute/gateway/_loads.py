"""Receives the loads of engines, each reported by the agent on the engine's VM."""

from __future__ import annotations

from collections.abc import Callable

from fescuechute.catalog import EngineReport, LoadedModel
from fescuechute.gateway._upstreams import UpstreamTable
from fescuechute.wire import Gateways, Greet, Load, Message

#: Seconds between greetings to an agent.
GREET_INTERVAL_S = 1.0
#: Seconds after which a gateway that no agent has reported counts as gone.
GATEWAY_TTL_S = 3.0


class LoadListener:
    """Greets the agents of engines and applies the loads that they send back.

    Args:
      process_id: Process id of this gateway.
      ip: Address at which it receives datagrams.
      port: Datagram port, the same on all VMs.
      upstreams: Table of the replicas whose loads are updated.
      send: Sends a datagram.
    """

    def __init__(
        self,
        process_id: str,
        ip: str,
        port: int,
        upstreams: UpstreamTable,
        send: Callable[[tuple[str, int], Message], None],
    ):
        self._greeting = Greet(process_id, ip, port)
        self._port = port
        self._upstreams = upstreams
        self._send = send
        self._next_greet_at = 0.0
        #: Unix seconds at which each gateway stops counting as running, by process id.
        self._gateway_expiry: dict[str, float] = {}

    def gateway_count(self, now: float) -> int:
        """Returns the number of gateways presumed running, including this one."""
        other_ids = [
            process_id
            for process_id, expires_at in self._gateway_expiry.items()
            if expires_at > now and process_id != self._greeting.process_id
        ]
        return len(other_ids) + 1

    def tick(self, now: float) -> None:
        """Greets the agents of all known engines when the interval has passed."""
        if now < self._next_greet_at:
            return
        self._next_greet_at = now + GREET_INTERVAL_S
        for ip in {row.entry.address.ip for row in self._upstreams if row.entry.models}:
            self._send((ip, self._port), self._greeting)

    def receive(self, _sender: tuple[str, int], msg: Message, now: float) -> None:
        """Applies a message from an agent."""
        if isinstance(msg, Load):
            self._apply_load(msg, now)
        elif isinstance(msg, Gateways):
            for process_id, _ip, _port in msg.known:
                self._gateway_expiry[process_id] = now + GATEWAY_TTL_S

    def _apply_load(self, msg: Load, now: float) -> None:
        row = self._upstreams.at_address(msg.ip, msg.port)
        if row is None or (row.entry.born_ms and msg.born_ms != row.entry.born_ms):
            return
        models = tuple(LoadedModel(name, version) for name, version in msg.versions)
        row.apply_report(
            EngineReport(
                models, msg.loading, 0, msg.waiting, msg.running, 0, 0, msg.pace, msg.born_ms
            ),
            now,
            self.gateway_count(now) - 1,
        )
