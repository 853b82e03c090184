"""Load balancing over upstreams, retries, and quarantine of requests that crash upstreams."""

from fescuechute.routing._choose import Policy, RouteRequest, choose, solo_upstream
from fescuechute.routing._crash_suspects import MAX_SUSPECTS, CrashSuspects
from fescuechute.routing._pool import Pool
from fescuechute.routing._prefixes import prefix_fingerprints
from fescuechute.routing._quarantine import Quarantine, Verdict
from fescuechute.routing._retries import RetryBudget, next_attempt_at
from fescuechute.routing._rows import UpstreamRow, Weight

__all__ = [
    "MAX_SUSPECTS",
    "CrashSuspects",
    "Policy",
    "Pool",
    "Quarantine",
    "RetryBudget",
    "RouteRequest",
    "UpstreamRow",
    "Verdict",
    "Weight",
    "choose",
    "next_attempt_at",
    "prefix_fingerprints",
    "solo_upstream",
]
