"""Forwards reports about crashes of upstreams from each gateway to all gateways."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from fescuechute.wire import AnswerReport, CrashReport, Message, encode

#: Seconds for which a report is kept for gateways that start later, and not forwarded again.
REPORT_TTL_S = 600.0
#: Limit on the reports kept; the oldest are discarded.
MAX_REPORTS = 512
#: Bytes a second that are forwarded on average, and the most at once.
FORWARDED_BYTES_PER_S = 16_000.0
MAX_BURST_BYTES = 1_000_000.0


class CrashRelay:
    """Forwards each report once to the gateways known, and later to those that start.

    Args:
      gateways: Returns the addresses of the known gateways by process id, given unix seconds.
      send: Sends a datagram.
    """

    def __init__(
        self,
        gateways: Callable[[float], dict[str, tuple[str, int]]],
        send: Callable[[tuple[str, int], Message], None],
    ):
        self._gateways = gateways
        self._send = send
        #: Unix seconds at which each report arrived, in the order of arrival.
        self._reports: OrderedDict[CrashReport | AnswerReport, float] = OrderedDict()
        #: Process ids of the gateways that were sent the reports kept.
        self._informed: set[str] = set()
        self._allowance_bytes = MAX_BURST_BYTES
        self._refilled_at = 0.0

    def receive(self, msg: CrashReport | AnswerReport, now: float) -> None:
        """Keeps a report and forwards it, unless it is known."""
        if msg in self._reports:
            return
        self._reports[msg] = now
        if len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)
        for address in self._gateways(now).values():
            self._forward(address, msg, now)

    def tick(self, now: float) -> None:
        """Discards old reports and sends the others to gateways that have started."""
        while self._reports and next(iter(self._reports.values())) + REPORT_TTL_S <= now:
            self._reports.popitem(last=False)
        gateways = self._gateways(now)
        for process_id in gateways.keys() - self._informed:
            for msg in self._reports:
                self._forward(gateways[process_id], msg, now)
        self._informed = set(gateways)

    def _forward(self, address: tuple[str, int], msg: Message, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._allowance_bytes = min(
            MAX_BURST_BYTES, self._allowance_bytes + elapsed_s * FORWARDED_BYTES_PER_S
        )
        size = len(encode(msg))
        if size <= self._allowance_bytes:
            self._allowance_bytes -= size
            self._send(address, msg)
