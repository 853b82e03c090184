"""Sends the load of the engine on this VM to the gateways."""

from __future__ import annotations

from collections.abc import Callable

from fescuechute.catalog import EngineReport
from fescuechute.checks import Address
from fescuechute.wire import Gateways, Greet, Load, Message

#: Seconds between two messages to a gateway: the minimum, and the maximum while the load does not
#: change.
MIN_INTERVAL_S = 0.1
MAX_INTERVAL_S = 0.5
#: Seconds after its last Greet message at which the subscription of a gateway expires.
SUBSCRIPTION_TTL_S = 3.0


class LoadReporter:
    """Keeps the gateways that subscribed by a Greet message and sends them the engine's load.

    Args:
      engine: Address at which the engine accepts requests.
      send: Sends a datagram.
    """

    def __init__(self, engine: Address, send: Callable[[tuple[str, int], Message], None]):
        self._engine = engine
        self._send = send
        #: Address of each gateway and the unix seconds at which it expires, by process id.
        self._gateways: dict[str, tuple[tuple[str, int], float]] = {}
        self._last_load: Load | None = None
        self._sent_at = 0.0

    def receive(self, msg: Message, now: float) -> None:
        """Renews the subscription of a gateway and replies with all subscribed gateways."""
        if not isinstance(msg, Greet):
            return
        address = (msg.ip, msg.port)
        self._gateways[msg.process_id] = (address, now + SUBSCRIPTION_TTL_S)
        known = tuple(
            (process_id, *known_address)
            for process_id, (known_address, expires_at) in self._gateways.items()
            if expires_at > now
        )
        self._send(address, Gateways(known))

    def tick(self, report: EngineReport | None, now: float) -> None:
        """Sends the load when it has changed or was last sent MAX_INTERVAL_S ago."""
        if report is None or now < self._sent_at + MIN_INTERVAL_S:
            return
        load = Load(
            self._engine.ip,
            self._engine.port,
            report.running,
            report.waiting,
            report.relative_step_time,
            report.loading,
            tuple((model.name, model.version) for model in report.models),
            report.born_ms,
        )
        if load == self._last_load and now < self._sent_at + MAX_INTERVAL_S:
            return
        self._last_load, self._sent_at = load, now
        for process_id, (address, expires_at) in list(self._gateways.items()):
            if expires_at <= now:
                del self._gateways[process_id]
            else:
                self._send(address, load)
