"""Selection of an upstream for one attempt."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from random import Random

import attrs

from fescuechute.membership import rendezvous
from fescuechute.routing._pool import Pool
from fescuechute.routing._rows import UpstreamRow, Weight

#: A warm upstream is chosen while its load is at most this multiple of the least sampled load.
WARM_FACTOR = 2.0
#: Random probes of a group before it is scanned in full. When half of the rows are candidates, 16
#: probes fail to find two of them in about one choice in 4,000.
MAX_PROBES = 16


class Policy(enum.StrEnum):
    """Load balancing policy: how one of several candidates is chosen."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    TWO_CHOICES = "two_choices"
    PREFIX_BOUNDED = "prefix_bounded"


@attrs.frozen
class RouteRequest:
    """Requirements of one attempt on its upstream."""

    #: Name of the pool that serves the request.
    upstream: str
    #: Region of the entry; upstreams in it are preferred.
    region: str
    #: Weights that the upstream must have confirmed; empty for a service without a model.
    weights: frozenset[Weight] = frozenset()
    #: Agents to exclude, such as those of earlier attempts.
    excluded: frozenset[str] = frozenset()
    #: Prefix fingerprints of the prompt, shortest first.
    prefixes: tuple[int, ...] = ()
    #: Whether the request must run alone. If so, the least loaded upstream is chosen under any
    #: policy.
    solo: bool = False


def choose(
    rows: Sequence[UpstreamRow],
    req: RouteRequest,
    rng: Random,
    policy: Policy,
    now: float,
    warm_factor: float = WARM_FACTOR,
) -> UpstreamRow | None:
    """Returns the upstream for an attempt, or None if no upstream can accept it now.

    Args:
      rows: Rows to choose from. A `Pool` is sampled; any other sequence is first copied into a
        `Pool`, which takes time proportional to its length.
      req: Requirements of the attempt.
      rng: Seeded random number generator.
      policy: Load balancing policy.
      now: Unix seconds.
      warm_factor: Limit on the load of a warm upstream, as a multiple of the least sampled load.
    """
    pool = rows if isinstance(rows, Pool) else Pool(rows)
    choose_from_group = _least_outstanding if req.solo else _POLICIES[policy]
    selection = _Selection(pool, req, rng, now, warm_factor)
    for group in (pool.in_region(req.region), pool.outside_region(req.region)):
        row = choose_from_group(group, selection)
        if row is not None:
            return row
    return None


def solo_upstream(
    rows: Sequence[UpstreamRow], fingerprint: str, crashed: frozenset[str]
) -> UpstreamRow | None:
    """Returns the live upstream that may run a suspect request alone, or None.

    Rendezvous hashing makes every entry choose the same upstream, and an agent runs one such
    request at a time. If entries chose independently, a client that retries through several entries
    could crash one upstream for each of them before the second crash is known.

    Args:
      rows: Upstreams that have the weights loaded.
      fingerprint: Fingerprint of the request content.
      crashed: Agents whose upstreams this content has crashed. They are chosen only if no other
        upstream is live; otherwise the choice would change when one of them has restarted, while
        the request may still be running on the upstream chosen before.
    """
    live = {row.agent_id: row for row in rows if row.linked and row.state == "live"}
    ids = live.keys() - crashed or live.keys()
    return next((live[agent_id] for agent_id in rendezvous(fingerprint, ids)), None)


def is_candidate(row: UpstreamRow, req: RouteRequest, now: float) -> bool:
    """Returns whether an upstream can accept the attempt now."""
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
class _Selection:
    """Arguments of one call of `choose`, shared by the policy functions."""

    pool: Pool
    req: RouteRequest
    rng: Random
    now: float
    warm_factor: float

    def is_candidate(self, row: UpstreamRow) -> bool:
        """Returns whether the upstream of a row can accept the attempt."""
        return is_candidate(row, self.req, self.now)

    def sample(self, group: Sequence[UpstreamRow], count: int) -> list[UpstreamRow]:
        """Returns up to `count` distinct random candidates.

        Random probes come first, so that the usual cost does not depend on the size of the group.
        """
        found: list[UpstreamRow] = []
        if len(group) > MAX_PROBES:
            for _ in range(MAX_PROBES):
                row = group[int(self.rng.random() * len(group))]
                if row not in found and self.is_candidate(row):
                    found.append(row)
                    if len(found) == count:
                        return found
        candidates = [row for row in group if self.is_candidate(row)]
        return self.rng.sample(candidates, min(count, len(candidates)))


def _random(group: Sequence[UpstreamRow], selection: _Selection) -> UpstreamRow | None:
    return next(iter(selection.sample(group, 1)), None)


def _round_robin(group: Sequence[UpstreamRow], selection: _Selection) -> UpstreamRow | None:
    # Choosing the least recently used candidate needs no state besides the rows.
    candidates = filter(selection.is_candidate, group)
    return min(candidates, key=lambda row: (row.last_sent_at, row.agent_id), default=None)


def _least_outstanding(group: Sequence[UpstreamRow], selection: _Selection) -> UpstreamRow | None:
    candidates = filter(selection.is_candidate, group)
    return min(candidates, key=lambda row: (row.load, selection.rng.random()), default=None)


def _two_choices(group: Sequence[UpstreamRow], selection: _Selection) -> UpstreamRow | None:
    least_loaded = min(selection.sample(group, 2), key=lambda row: row.load, default=None)
    if least_loaded is not None and least_loaded.load + 1 / max(1, least_loaded.slots) > 1:
        # Both seem to be full. Sampling a second pair is cheaper than waiting in the queue of an
        # upstream. Further pairs bring no gain and make entries converge on the same few free
        # upstreams.
        least_loaded = min([least_loaded, *selection.sample(group, 2)], key=lambda row: row.load)
    return least_loaded


def _prefix_bounded(group: Sequence[UpstreamRow], selection: _Selection) -> UpstreamRow | None:
    cold = _two_choices(group, selection)
    if cold is None or not selection.req.prefixes:
        return cold
    warm = _longest_prefix_match(cold, selection)
    if warm is None:
        return cold
    # The request itself is counted; otherwise an idle sample would rule out every warm upstream.
    warm_load = warm.load + 1 / max(1, warm.slots)
    cold_load = cold.load + 1 / max(1, cold.slots)
    return warm if warm_load <= selection.warm_factor * cold_load else cold


def _longest_prefix_match(cold: UpstreamRow, selection: _Selection) -> UpstreamRow | None:
    """Returns the candidate in the region of `cold` with the longest matching prefix, or None.

    The load decides between equally long prefixes.
    """
    for fingerprint in reversed(selection.req.prefixes):
        warm = [
            row
            for row in selection.pool.with_prefix(fingerprint)
            if row.region == cold.region and selection.is_candidate(row)
        ]
        if warm:
            return min(warm, key=lambda row: row.load)
    return None


_POLICIES: dict[Policy, Callable[[Sequence[UpstreamRow], _Selection], UpstreamRow | None]] = {
    Policy.RANDOM: _random,
    Policy.ROUND_ROBIN: _round_robin,
    Policy.LEAST_OUTSTANDING: _least_outstanding,
    Policy.TWO_CHOICES: _two_choices,
    Policy.PREFIX_BOUNDED: _prefix_bounded,
}
