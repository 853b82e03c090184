"""Deadlines of a planned stop, and the requests that are still accepted during it."""

from __future__ import annotations

import attrs

from fescuechute.catalog import Route

#: Seconds after a stop request for which new connections are still accepted. The load balancer
#: checks readiness once a second and removes a process after two failed checks.
DRAIN_ACCEPT_S = 3.0
#: Shares of the grace period before the kill after which the requests in flight are ended, and the
#: process closes. The time between them is for their answers to be written.
FINISH_SHARE = 0.85
CLOSE_SHARE = 0.95
#: Target latencies of its route within which a request that may not be repeated is expected to end.
UNREPEATABLE_TARGETS = 4


@attrs.frozen
class Drain:
    """Deadlines of a planned stop in unix seconds; infinite while none is in progress."""

    #: Until when new connections and requests are accepted.
    accept_until: float = float("inf")
    #: When the requests that are still in flight are ended.
    finish_deadline: float = float("inf")
    #: When the process closes, also if answers are not written completely.
    close_deadline: float = float("inf")

    @classmethod
    def start(cls, now: float, grace_s: float) -> Drain:
        """Returns the deadlines of a stop that starts now, `grace_s` seconds before the kill."""
        return cls(now + DRAIN_ACCEPT_S, now + grace_s * FINISH_SHARE, now + grace_s * CLOSE_SHARE)

    def can_finish(self, route: Route, client_timeout_s: float | None, now: float) -> bool:
        """Returns whether a request can be expected to end before those in flight are ended.

        Another gateway can run what is refused here. A request that may not be repeated needs a
        margin, since its client cannot send it again once it was cut.

        Args:
          route: Route of the request.
          client_timeout_s: Seconds that the client will wait, or None if not stated.
          now: Unix seconds.
        """
        timeout_s = route.timeout_s
        if client_timeout_s is not None:
            timeout_s = min(timeout_s, client_timeout_s)
        targets = 1 if route.retryable else UNREPEATABLE_TARGETS
        return now + min(timeout_s, targets * route.target_latency_s) <= self.finish_deadline
