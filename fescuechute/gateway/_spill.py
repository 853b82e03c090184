"""Share of the places of a far replica that a gateway may use between two of its reports.

Load pattern: the near replicas of all gateways are full at the same time. A far replica reports seldom,
and its report is the same for all of them. If each gateway took its places for its own, all of them
would send to the few replicas that have reported free places, and the error would grow with the number
of gateways.
"""

from __future__ import annotations

from random import Random
from weakref import WeakKeyDictionary

import attrs

from fescuechute.gateway._upstreams import UpstreamRow

#: Share of the gateways that are presumed to send to far replicas at the same time. A lower one uses
#: more of the free places of other regions if only some regions are full.
SPILLING_SHARE = 0.5
#: Seconds after which places count as free again if no report has arrived.
WINDOW_S = 2.0


@attrs.define
class _Window:
    """The time between two reports of one replica."""

    reported_at: float
    started_at: float
    #: Requests of this gateway sent between the report and the start of the window.
    sent_before: int
    #: Random number from 0 to 1; decides about the fraction of a place.
    draw: float


class SpillQuota:
    """Decides whether a gateway may send another request to a far replica.

    The free places of a report are divided by the number of gateways that are presumed to use them. If
    the share is less than one place, it is the probability that this gateway may use one.

    Args:
      rng: Seeded random number generator.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._windows: WeakKeyDictionary[UpstreamRow, _Window] = WeakKeyDictionary()

    def allows(self, row: UpstreamRow, max_requests: float, gateways: int, now: float) -> bool:
        """Returns whether another request may be sent to a far replica.

        Args:
          row: The replica. One that has never reported has no quota.
          max_requests: Requests that it may hold for one of the rank in question to be sent to it.
          gateways: Number of gateways, including this one.
          now: Unix seconds.
        """
        if not row.reported_at:
            return True
        window = self._windows.get(row)
        if window is None or window.reported_at != row.reported_at:
            window = _Window(row.reported_at, row.reported_at, 0, self._rng.random())
            self._windows[row] = window
        if now - window.started_at >= WINDOW_S:
            window.started_at, window.draw = now, self._rng.random()
            window.sent_before = row.sent_since_report
        free = max(0.0, max_requests - row.reported_requests)
        share = free / max(1.0, gateways * SPILLING_SHARE)
        return row.sent_since_report - window.sent_before < int(share + window.draw)
