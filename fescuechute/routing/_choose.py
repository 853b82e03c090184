"""Choice of an upstream for one attempt."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from random import Random

import attrs

from fescuechute.routing._rows import UpstreamRow, Weight

#: A warm upstream is taken while its load is within this factor of the sample's least.
WARM_FACTOR = 1.5


class Policy(enum.StrEnum):
    """How one of several candidates is chosen."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    TWO_CHOICES = "two_choices"
    PREFIX_BOUNDED = "prefix_bounded"


@attrs.frozen
class RouteRequest:
    """What an attempt needs from an upstream."""

    #: Pool that serves the request.
    upstream: str
    #: Region of the entry; its upstreams are preferred.
    region: str
    #: Weights that must be confirmed; empty for a plain service.
    weights: frozenset[Weight] = frozenset()
    #: Agents not to ask, such as those of earlier attempts.
    excluded: frozenset[str] = frozenset()
    #: Prefix fingerprints of the prompt, shortest first.
    prefixes: tuple[int, ...] = ()
    #: The request runs alone, so the emptiest upstream is taken whatever the policy.
    solo: bool = False


def choose(
    rows: Sequence[UpstreamRow],
    req: RouteRequest,
    rng: Random,
    policy: Policy,
    now: float,
    warm_factor: float = WARM_FACTOR,
) -> UpstreamRow | None:
    """Returns the upstream for an attempt, or None when none can take it now.

    Args:
      rows: Rows of any upstreams.
      req: What the attempt needs.
      rng: Seeded source of randomness.
      policy: How one of the candidates is chosen.
      now: Unix seconds.
      warm_factor: Bound on the load of a warm upstream, as a factor of the least sampled load.
    """
    usable = [row for row in rows if is_candidate(row, req, now)]
    near = [row for row in usable if row.region == req.region]
    candidates = near or usable
    if not candidates:
        return None
    if req.solo:
        return _least_outstanding(candidates, req, rng, warm_factor)
    return _POLICIES[policy](candidates, req, rng, warm_factor)


def is_candidate(row: UpstreamRow, req: RouteRequest, now: float) -> bool:
    """Returns whether an upstream can take the attempt now."""
    return (
        row.linked
        and row.state == "live"
        and row.upstream == req.upstream
        and row.outstanding < row.capacity
        and now >= row.not_before
        and req.weights <= row.weights
        and row.agent_id not in req.excluded
    )


def _random(
    candidates: Sequence[UpstreamRow], req: RouteRequest, rng: Random, warm_factor: float
) -> UpstreamRow:
    return rng.choice(candidates)


def _round_robin(
    candidates: Sequence[UpstreamRow], req: RouteRequest, rng: Random, warm_factor: float
) -> UpstreamRow:
    # The least recently used one, so that the turn needs no state besides the rows.
    return min(candidates, key=lambda row: (row.last_sent_at, row.agent_id))


def _least_outstanding(
    candidates: Sequence[UpstreamRow], req: RouteRequest, rng: Random, warm_factor: float
) -> UpstreamRow:
    return min(candidates, key=lambda row: (row.load, rng.random()))


def _two_choices(
    candidates: Sequence[UpstreamRow], req: RouteRequest, rng: Random, warm_factor: float
) -> UpstreamRow:
    return min(rng.sample(candidates, min(2, len(candidates))), key=lambda row: row.load)


def _prefix_bounded(
    candidates: Sequence[UpstreamRow], req: RouteRequest, rng: Random, warm_factor: float
) -> UpstreamRow:
    cold = _two_choices(candidates, req, rng, warm_factor)
    warm = _warmest(candidates, req)
    if warm is None:
        return cold
    # The request itself is counted, or an idle sample would rule out every warm upstream.
    with_warm = (warm.outstanding + 1) / warm.slots
    with_cold = (cold.outstanding + 1) / cold.slots
    return warm if with_warm <= warm_factor * with_cold else cold


def _warmest(candidates: Sequence[UpstreamRow], req: RouteRequest) -> UpstreamRow | None:
    """Returns the least loaded of the candidates that hold the longest known prefix."""
    for print_ in reversed(req.prefixes):
        warm = [row for row in candidates if print_ in row.prefixes]
        if warm:
            return min(warm, key=lambda row: row.load)
    return None


_POLICIES: dict[
    Policy, Callable[[Sequence[UpstreamRow], RouteRequest, Random, float], UpstreamRow]
] = {
    Policy.RANDOM: _random,
    Policy.ROUND_ROBIN: _round_robin,
    Policy.LEAST_OUTSTANDING: _least_outstanding,
    Policy.TWO_CHOICES: _two_choices,
    Policy.PREFIX_BOUNDED: _prefix_bounded,
}
