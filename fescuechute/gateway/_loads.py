"""Receives the loads of engines, each reported by the stager on the engine's VM."""

from __future__ import annotations

from collections.abc import Callable

from fescuechute.catalog import EngineReport, LoadedModel, LoadState
from fescuechute.gateway._subset import SubsetSelector
from fescuechute.gateway._upstreams import UpstreamTable
from fescuechute.membership import duty_holders
from fescuechute.wire import Gateways, Greet, Load, Message

#: Seconds between greetings to the stagers of near engines, and of far ones.
NEAR_GREET_INTERVAL_S = 1.0
FAR_GREET_INTERVAL_S = 2.0
#: Shortest milliseconds between the reports of a near engine, and of a far one.
NEAR_REPORT_INTERVAL_MS = 100
FAR_REPORT_INTERVAL_MS = 1000
#: Stagers that count all gateways. Several, so that the count outlasts the loss of some.
COUNTING_STAGERS = 4
#: Seconds for which a count is used. A count that is too high for some time keeps the shares of all
#: gateways small, which is safe.
COUNT_TTL_S = 10.0


class LoadListener:
    """Greets the stagers of engines and applies the loads that they send back.

    Args:
      process_id: Process id of this gateway.
      ip: Address at which it receives datagrams.
      port: Datagram port, the same on all VMs.
      upstreams: Table of the replicas whose loads are updated.
      subsets: Decides which engines are near.
      send: Sends a datagram.
    """

    def __init__(
        self,
        process_id: str,
        ip: str,
        port: int,
        upstreams: UpstreamTable,
        subsets: SubsetSelector,
        send: Callable[[tuple[str, int], Message], None],
    ):
        self._process_id = process_id
        self._ip = ip
        self._port = port
        self._upstreams = upstreams
        self._subsets = subsets
        self._send = send
        self._next_greet_at = 0.0
        self._next_far_greet_at = 0.0
        #: IP addresses of the stagers to greet at the next tick.
        self._greet_soon: set[str] = set()
        #: IP addresses of the stagers that count all gateways.
        self.counting_stagers: frozenset[str] = frozenset()
        #: Latest count of each counting stager and the unix seconds at which it expires, by address.
        self._counts: dict[str, tuple[int, float]] = {}

    def gateway_count(self, now: float) -> int:
        """Returns the number of gateways presumed running, including this one."""
        return max(1, self.reported_gateway_count(now))

    def reported_gateway_count(self, now: float) -> int:
        """Returns the highest number of gateways that a stager has counted, 0 without a count."""
        return max((count for count, until in self._counts.values() if until > now), default=0)

    def tick(self, now: float) -> None:
        """Greets the stagers to which a greeting is due."""
        renews = now >= self._next_greet_at
        if not renews and not self._greet_soon:
            return
        near = self._subsets.near_engine_ips()
        ips = {row.entry.address.ip for row in self._upstreams if row.entry.models}
        self.counting_stagers = counting = frozenset(
            duty_holders("gateways", ips, COUNTING_STAGERS)
        )
        # An engine without weights is known by the reports of its stager.
        ips |= {row.entry.address.ip for row in self._upstreams if row.reported_at}
        greet_soon, self._greet_soon = self._greet_soon, set()
        due: set[str] = set()
        if renews:
            self._next_greet_at = now + NEAR_GREET_INTERVAL_S
            self._counts = {ip: known for ip, known in self._counts.items() if known[1] > now}
            due = near | counting
            if now >= self._next_far_greet_at:
                self._next_far_greet_at = now + FAR_GREET_INTERVAL_S
                due = ips
        for ip in (due & ips) | greet_soon:
            interval_ms = NEAR_REPORT_INTERVAL_MS if ip in near else FAR_REPORT_INTERVAL_MS
            greeting = Greet(self._process_id, self._ip, self._port, interval_ms, ip in counting)
            self._send((ip, self._port), greeting)

    def greet_soon(self, ip: str) -> None:
        """Greets the stager on one VM at the next tick; later ticks renew the greeting."""
        self._greet_soon.add(ip)

    def greet_all_soon(self) -> None:
        """Renews the greetings of the near engines at the next tick, as others are near now."""
        self._next_greet_at = 0.0

    def receive(self, sender: tuple[str, int], msg: Message, now: float) -> None:
        """Applies a message from a stager."""
        if isinstance(msg, Load):
            self._apply_load(msg, now)
        elif isinstance(msg, Gateways):
            self._counts[sender[0]] = (msg.count, now + COUNT_TTL_S)

    def _apply_load(self, msg: Load, now: float) -> None:
        row = self._upstreams.at_address(msg.ip, msg.port)
        if row is None:
            return
        if row.entry.born_ms and msg.born_ms != row.entry.born_ms:
            if msg.born_ms > row.entry.born_ms:
                row.record_restart(msg.born_ms, now)
            return
        models = tuple(LoadedModel(name, version) for name, version in msg.versions)
        orders = None if msg.orders < 0 else msg.orders
        report = EngineReport(
            models, msg.loading, orders, msg.waiting, msg.running, 0, 0, msg.pace, msg.born_ms
        )
        other_gateways = msg.near_gateways - self._subsets.is_near(row)
        row.apply_report(report, now, other_gateways, _load_state(msg.load_state))


def _load_state(value: str) -> LoadState:
    try:
        return LoadState(value)
    except ValueError:
        # A state that a newer stager may add.
        return LoadState.UNKNOWN
