"""Sends the load of the engine on this VM to the gateways, to each at the rate that it asks for."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from fescuechute.catalog import EngineReport, LoadState
from fescuechute.checks import Address
from fescuechute.wire import Gateways, Greet, Load, Message

#: Shortest interval in seconds that a gateway may ask for. One that asks for it uses this engine
#: before others.
MIN_INTERVAL_S = 0.1
#: Intervals after which a report is repeated although the load has not changed.
REPEAT_INTERVALS = 5
#: Longest time in seconds until a report is repeated.
MAX_REPEAT_S = 2.0
#: Seconds after its last Greet message at which the subscription of a gateway expires.
SUBSCRIPTION_TTL_S = 5.0


@attrs.define
class _Subscription:
    """A gateway that receives reports; times are unix seconds."""

    address: tuple[str, int]
    interval_s: float
    wants_count: bool
    expires_at: float
    sent_at: float = 0.0
    sent: Load | None = None

    def is_due(self, load: Load, now: float) -> bool:
        """Returns whether a report is due."""
        repeat_s = min(MAX_REPEAT_S, REPEAT_INTERVALS * self.interval_s)
        return now >= self.sent_at + (self.interval_s if load != self.sent else repeat_s)


class LoadReporter:
    """Keeps the gateways that subscribed by a Greet message and sends them the engine's load.

    Args:
      engine: Address at which the engine accepts requests.
      send: Sends a datagram.
    """

    def __init__(self, engine: Address, send: Callable[[tuple[str, int], Message], None]):
        self._engine = engine
        self._send = send
        #: Subscriptions by process id.
        self._subscriptions: dict[str, _Subscription] = {}

    def receive(self, msg: Message, now: float) -> None:
        """Renews the subscription of a gateway; replies with the number of gateways if asked."""
        if not isinstance(msg, Greet):
            return
        address = (msg.ip, msg.port)
        expires_at = now + SUBSCRIPTION_TTL_S
        interval_s = max(MIN_INTERVAL_S, msg.interval_ms / 1000)
        subscription = self._subscriptions.get(msg.process_id)
        if subscription is None:
            subscription = _Subscription(address, interval_s, msg.wants_count, expires_at)
            self._subscriptions[msg.process_id] = subscription
        subscription.address, subscription.interval_s = address, interval_s
        subscription.wants_count, subscription.expires_at = msg.wants_count, expires_at
        if msg.wants_count:
            self._send(address, Gateways(len(self.counted_gateways(now))))

    def counted_gateways(self, now: float) -> dict[str, tuple[str, int]]:
        """Returns the addresses of the gateways that ask for their number, by process id."""
        return {
            process_id: subscription.address
            for process_id, subscription in self._subscriptions.items()
            if subscription.wants_count and subscription.expires_at > now
        }

    def tick(self, report: EngineReport | None, state: LoadState, now: float) -> None:
        """Sends the load to each gateway to which a report is due.

        Args:
          report: Latest report of the engine, or None while it does not respond.
          state: What is known of the weights that it holds.
          now: Unix seconds.
        """
        for process_id in [id_ for id_, s in self._subscriptions.items() if s.expires_at <= now]:
            del self._subscriptions[process_id]
        if report is None or not self._subscriptions:
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
            sum(s.interval_s <= MIN_INTERVAL_S for s in self._subscriptions.values()),
            -1 if report.orders is None else report.orders,
            state,
        )
        for subscription in self._subscriptions.values():
            if subscription.is_due(load, now):
                subscription.sent, subscription.sent_at = load, now
                self._send(subscription.address, load)
