"""Tells gateways the load of the engine on this VM."""

from __future__ import annotations

from collections.abc import Callable

from fescuechute.catalog import EngineReport
from fescuechute.checks import Address
from fescuechute.wire import Gateways, Greet, Load, Message

#: Least and most seconds between two messages to a gateway.
LEAST_S = 0.1
MOST_S = 0.5
#: Seconds without a greeting after which a gateway gets no more messages.
TTL_S = 3.0


class LoadTeller:
    """Remembers the gateways that greet and sends them what the engine reports.

    Args:
      engine: Address at which the engine takes requests.
      send: Sends a datagram.
    """

    def __init__(self, engine: Address, send: Callable[[tuple[str, int], Message], None]):
        self._engine = engine
        self._send = send
        #: Address and end of validity of each gateway, by process id.
        self._gateways: dict[str, tuple[tuple[str, int], float]] = {}
        self._last: Load | None = None
        self._sent_at = 0.0

    def receive(self, msg: Message, now: float) -> None:
        """Takes a greeting and answers with the other gateways."""
        if not isinstance(msg, Greet):
            return
        to = (msg.ip, msg.port)
        self._gateways[msg.process_id] = (to, now + TTL_S)
        known = tuple(
            (process_id, *address)
            for process_id, (address, until) in self._gateways.items()
            if until > now
        )
        self._send(to, Gateways(known))

    def tick(self, report: EngineReport | None, now: float) -> None:
        """Sends the load when it changed, and repeats it from time to time."""
        if report is None or now < self._sent_at + LEAST_S:
            return
        load = Load(
            self._engine.ip,
            self._engine.port,
            report.running,
            report.waiting,
            report.pace,
            report.busy,
            tuple((model.name, model.version) for model in report.models),
            report.born_ms,
        )
        if load == self._last and now < self._sent_at + MOST_S:
            return
        self._last, self._sent_at = load, now
        for process_id, (to, until) in list(self._gateways.items()):
            if until <= now:
                del self._gateways[process_id]
            else:
                self._send(to, load)
