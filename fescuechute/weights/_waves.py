"""Rollout waves, which limit how many replicas of a model in a region switch at a time."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from fescuechute.weights._rendezvous import rendezvous_order

#: Share of the replicas of one model in a region that may switch at the same time.
WAVE_SHARE = 0.25


@attrs.frozen
class Replica:
    """An agent that serves a model in a region, as seen by the observing agent."""

    id: str
    #: Whether it has announced the declared set of the revision in force as confirmed.
    confirmed: bool
    #: Whether it is linked and not leaving.
    alive: bool
    #: Unix seconds at which the observer accepted the revision, or first saw the agent if later.
    accepted_at: float


def wave_width(replicas: int, share: float = WAVE_SHARE) -> int:
    """Returns how many replicas may switch at the same time: their share, but at least one."""
    return max(1, int(replicas * share))


def may_switch(
    agent_id: str,
    revision: int,
    replicas: Sequence[Replica],
    width: int,
    now: float,
    switch_timeout_s: float,
) -> bool:
    """Returns whether an agent may start to switch.

    The agents of a region are ordered by rendezvous hash of the revision and switch in waves of
    `width`. An agent may start when each agent at least `width` positions ahead of it is confirmed,
    is not alive, or has passed its deadline. The deadline allows `switch_timeout_s` for each wave
    up to and including the agent's own, because later waves start later.
    """
    rows_by_id = {row.id: row for row in replicas}
    order = rendezvous_order(revision.to_bytes(8, "big"), rows_by_id.keys() | {agent_id})
    own_position = order.index(agent_id)
    for position, other_id in enumerate(order[: max(0, own_position - width + 1)]):
        row = rows_by_id[other_id]
        deadline = row.accepted_at + switch_timeout_s * (1 + position // width)
        if row.alive and not row.confirmed and now < deadline:
            return False
    return True
