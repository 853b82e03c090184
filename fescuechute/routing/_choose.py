"""Choice of an upstream for one attempt."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from random import Random

import attrs

from fescuechute.membership import rendezvous
from fescuechute.routing._pool import Pool
from fescuechute.routing._rows import UpstreamRow, Weight

#: A warm upstream is taken while its load is within this factor of the sample's least.
WARM_FACTOR = 2.0
#: Random probes before a group is searched in full. While half of the rows are usable, two of them
#: are missed by 16 probes about once in 4,000 choices.
PROBES = 16


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
      rows: Rows to choose from. A `Pool` is searched by sampling; any other sequence is grouped
        anew in each call, which takes time in proportion to its length.
      req: What the attempt needs.
      rng: Seeded source of randomness.
      policy: How one of the candidates is chosen.
      now: Unix seconds.
      warm_factor: Bound on the load of a warm upstream, as a factor of the least sampled load.
    """
    pool = rows if isinstance(rows, Pool) else Pool(rows)
    pick = _least_outstanding if req.solo else _POLICIES[policy]
    search = _Search(pool, req, rng, now, warm_factor)
    for group in (pool.region(req.region), pool.elsewhere(req.region)):
        row = pick(group, search)
        if row is not None:
            return row
    return None


def solo_upstream(
    rows: Sequence[UpstreamRow], fingerprint: str, crashed: frozenset[str]
) -> UpstreamRow | None:
    """Returns the one live upstream that may run a suspect alone, or None.

    Every entry names the same upstream, and an agent takes one such request at a time. With a free
    choice each entry that the caller tries would lose an upstream of its own before the second
    crash is known.

    Args:
      rows: Upstreams that hold the weights.
      fingerprint: Content of the request.
      crashed: Agents whose upstreams it has crashed; they come last, because one that restarts
        would otherwise change the choice while the request runs elsewhere.
    """
    live = {row.agent_id: row for row in rows if row.linked and row.state == "live"}
    ids = live.keys() - crashed or live.keys()
    return next((live[agent_id] for agent_id in rendezvous(fingerprint, ids)), None)


def is_candidate(row: UpstreamRow, req: RouteRequest, now: float) -> bool:
    """Returns whether an upstream can take the attempt now."""
    return (
        row.linked
        and row.state == "live"
        and row.upstream == req.upstream
        and now >= row.not_before
        and row.outstanding < row.capacity
        and req.weights <= row.weights
        and row.agent_id not in req.excluded
    )


@attrs.frozen
class _Search:
    """Arguments of one choice."""

    pool: Pool
    req: RouteRequest
    rng: Random
    now: float
    warm_factor: float

    def usable(self, row: UpstreamRow) -> bool:
        """Returns whether the row is a candidate."""
        return is_candidate(row, self.req, self.now)

    def sample(self, group: Sequence[UpstreamRow], wanted: int) -> list[UpstreamRow]:
        """Returns up to `wanted` different random candidates.

        Random probes come first, so that the usual effort does not depend on the group's size.
        """
        found: list[UpstreamRow] = []
        if len(group) > PROBES:
            for _ in range(PROBES):
                row = group[int(self.rng.random() * len(group))]
                if row not in found and self.usable(row):
                    found.append(row)
                    if len(found) == wanted:
                        return found
        usable = [row for row in group if self.usable(row)]
        return self.rng.sample(usable, min(wanted, len(usable)))


def _random(group: Sequence[UpstreamRow], search: _Search) -> UpstreamRow | None:
    return next(iter(search.sample(group, 1)), None)


def _round_robin(group: Sequence[UpstreamRow], search: _Search) -> UpstreamRow | None:
    # The least recently used one, so that the turn needs no state besides the rows.
    usable = filter(search.usable, group)
    return min(usable, key=lambda row: (row.last_sent_at, row.agent_id), default=None)


def _least_outstanding(group: Sequence[UpstreamRow], search: _Search) -> UpstreamRow | None:
    usable = filter(search.usable, group)
    return min(usable, key=lambda row: (row.load, search.rng.random()), default=None)


def _two_choices(group: Sequence[UpstreamRow], search: _Search) -> UpstreamRow | None:
    best = min(search.sample(group, 2), key=lambda row: row.load, default=None)
    if best is not None and best.load + 1 / max(1, best.slots) > 1:
        # Both look full. One more pair costs less than a wait in an upstream's queue; further pairs
        # gave no more in the experiments, and made entries meet at the same few free upstreams.
        best = min([best, *search.sample(group, 2)], key=lambda row: row.load)
    return best


def _prefix_bounded(group: Sequence[UpstreamRow], search: _Search) -> UpstreamRow | None:
    cold = _two_choices(group, search)
    if cold is None or not search.req.prefixes:
        return cold
    warm = _warmest(cold, search)
    if warm is None:
        return cold
    # The request itself is counted, or an idle sample would rule out every warm upstream.
    with_warm = warm.load + 1 / max(1, warm.slots)
    with_cold = cold.load + 1 / max(1, cold.slots)
    return warm if with_warm <= search.warm_factor * with_cold else cold


def _warmest(cold: UpstreamRow, search: _Search) -> UpstreamRow | None:
    """Returns the least loaded upstream with the longest known prefix, in the region of `cold`."""
    for print_ in reversed(search.req.prefixes):
        warm = [
            row
            for row in search.pool.warm(print_)
            if row.region == cold.region and search.usable(row)
        ]
        if warm:
            return min(warm, key=lambda row: row.load)
    return None


_POLICIES: dict[Policy, Callable[[Sequence[UpstreamRow], _Search], UpstreamRow | None]] = {
    Policy.RANDOM: _random,
    Policy.ROUND_ROBIN: _round_robin,
    Policy.LEAST_OUTSTANDING: _least_outstanding,
    Policy.TWO_CHOICES: _two_choices,
    Policy.PREFIX_BOUNDED: _prefix_bounded,
}
