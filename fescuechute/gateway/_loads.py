"""Loads of engines, as the agents beside them tell."""

from __future__ import annotations

from collections.abc import Callable

from fescuechute.catalog import EngineReport, LoadedModel
from fescuechute.gateway._upstreams import UpstreamTable
from fescuechute.wire import Gateways, Greet, Load, Message

#: Seconds between two greetings to an agent.
GREET_EVERY_S = 1.0
#: Seconds after which another gateway that no agent has heard of counts as gone.
GATEWAY_TTL_S = 3.0


class LoadListener:
    """Greets the agents beside engines and takes over the loads that they send.

    Args:
      process_id: This gateway.
      ip: Address at which it receives datagrams.
      port: Port of datagrams, the same on all VMs.
      upstreams: Replicas that the loads belong to.
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
        self._greet_at = 0.0
        #: Unix seconds until which each other gateway counts as present.
        self._gateways: dict[str, float] = {}

    def gateways(self, now: float) -> int:
        """Returns the number of gateways that are believed to run, this one included."""
        others = [
            name
            for name, until in self._gateways.items()
            if until > now and name != self._greeting.process_id
        ]
        return len(others) + 1

    def tick(self, now: float) -> None:
        """Greets the agents that are known."""
        if now < self._greet_at:
            return
        self._greet_at = now + GREET_EVERY_S
        for ip in {row.entry.address.ip for row in self._upstreams if row.entry.models}:
            self._send((ip, self._port), self._greeting)

    def receive(self, _sender: tuple[str, int], msg: Message, now: float) -> None:
        """Takes over a message of an agent."""
        if isinstance(msg, Load):
            self._load(msg, now)
        elif isinstance(msg, Gateways):
            for process_id, _ip, _port in msg.known:
                self._gateways[process_id] = now + GATEWAY_TTL_S

    def _load(self, msg: Load, now: float) -> None:
        row = self._upstreams.at_ip(msg.ip, msg.port)
        if row is None or (row.entry.born_ms and msg.born_ms != row.entry.born_ms):
            return
        models = tuple(LoadedModel(name, version) for name, version in msg.versions)
        row.report(
            EngineReport(
                models, msg.loading, 0, msg.waiting, msg.running, 0, 0, msg.pace, msg.born_ms
            ),
            now,
            self.gateways(now) - 1,
        )
