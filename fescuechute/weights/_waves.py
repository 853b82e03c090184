"""Waves: how many replicas of a model in a region may switch at a time."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from fescuechute.weights._rendezvous import ranked

#: Share of the replicas of one model in a region that may be switching at a time.
WAVE_SHARE = 0.25


@attrs.frozen
class Replica:
    """One agent of a model in a region, as seen by an observer."""

    id: str
    #: Has announced the set of the revision in force as confirmed.
    confirmed: bool
    #: Linked and not leaving.
    alive: bool
    #: Unix seconds at which the observer accepted the revision, or first saw the agent if later.
    since: float


def wave_width(replicas: int, share: float = WAVE_SHARE) -> int:
    """Returns how many of the replicas may switch at a time: the share, and at least one."""
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

    The agents of a region order themselves by rendezvous hash of the revision. An agent may start
    when each agent at least `width` places before it has confirmed, is gone, or has passed its
    deadline. The deadline allows `switch_timeout_s` for each wave up to the agent's own, since a
    late wave cannot be expected to finish in the time of the first.
    """
    rows = {row.id: row for row in replicas}
    order = ranked(revision.to_bytes(8, "big"), rows.keys() | {agent_id})
    place = order.index(agent_id)
    for before, other_id in enumerate(order[: max(0, place - width + 1)]):
        row = rows[other_id]
        deadline = row.since + switch_timeout_s * (1 + before // width)
        if row.alive and not row.confirmed and now < deadline:
            return False
    return True
