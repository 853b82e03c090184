"""Gossip peers of a process."""

from __future__ import annotations

from collections.abc import Iterable

from fescuechute.membership._rendezvous import rendezvous, score
from fescuechute.membership._rows import VmRow


def choose_peers(
    process_id: str, region: str, data_centre: str, rows: Iterable[VmRow], n: int
) -> list[str]:
    """Returns the peers that a process keeps links to.

    The first peers keep the graph connected while all processes know the same rows: the successor
    on the data centre's hash ring, one peer in each other data centre of the region, and one in
    each other region. Further peers of the own data centre fill up to `n`. The bound is `n` or the
    number of those first peers, whichever is higher.
    """
    own: list[str] = []
    elsewhere: dict[tuple[str, str], list[str]] = {}
    for row in rows:
        if row.id == process_id:
            continue
        if row.region != region:
            elsewhere.setdefault(("region", row.region), []).append(row.id)
        elif row.data_centre != data_centre:
            elsewhere.setdefault(("data_centre", row.data_centre), []).append(row.id)
        else:
            own.append(row.id)
    peers = _successor(process_id, own)
    for place in sorted(elsewhere):
        peers += rendezvous(f"peer/{process_id}", elsewhere[place], 1)
    room = n - len(peers)
    if room > 0:
        peers += rendezvous(f"peer/{process_id}", set(own) - set(peers), room)
    return peers


def assigned_agents(
    entry_id: str, region: str, entries: Iterable[VmRow], agents: Iterable[VmRow], per_agent: int
) -> list[VmRow]:
    """Returns the agents that an entry keeps links to.

    Each agent is assigned to `per_agent` entries: to all of them when there are no more, otherwise
    to one outside its region, for the time when its region has lost its entries, and the rest
    inside. Choosing entries for each agent, rather than agents for each entry, leaves no agent
    without a link.
    """
    places = {entry_id: region, **{entry.id: entry.region for entry in entries}}
    if len(places) <= per_agent:
        return list(agents)
    inside: dict[str, list[str]] = {}
    for name, place in places.items():
        inside.setdefault(place, []).append(name)
    assigned = []
    for agent in agents:
        near = inside.get(agent.region, [])
        key = f"entries/{agent.id}"
        if region == agent.region:
            mine = entry_id in rendezvous(key, near, per_agent - 1)
        else:
            far = [name for name, place in places.items() if place != agent.region]
            wanted = 1 if near else per_agent
            mine = entry_id in rendezvous(key, far, wanted)
        if mine:
            assigned.append(agent)
    return assigned


def _successor(process_id: str, others: list[str]) -> list[str]:
    if not others:
        return []
    ring = sorted((score("ring", member), member) for member in others)
    here = (score("ring", process_id), process_id)
    return [next((member for place in ring for member in place[1:] if place > here), ring[0][1])]
