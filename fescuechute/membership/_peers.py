"""Choice of the links of a process: gossip peers, and the agents of an entry."""

from __future__ import annotations

from collections.abc import Iterable

from fescuechute.membership._rendezvous import rendezvous, score
from fescuechute.membership._rows import VmRow


def choose_peers(
    process_id: str, region: str, data_centre: str, rows: Iterable[VmRow], n: int
) -> list[str]:
    """Returns the ids of the gossip peers of a process.

    The required peers keep the graph connected as long as all processes know the same rows: the
    successor on the hash ring of the data centre, one peer in each other data centre of the region,
    and one in each other region. Further peers in the same data centre are added up to `n` in all.
    The result has at most `n` peers, or the number of required peers if that is higher.
    """
    same_data_centre: list[str] = []
    remote: dict[tuple[str, str], list[str]] = {}
    for row in rows:
        if row.id == process_id:
            continue
        if row.region != region:
            remote.setdefault(("region", row.region), []).append(row.id)
        elif row.data_centre != data_centre:
            remote.setdefault(("data_centre", row.data_centre), []).append(row.id)
        else:
            same_data_centre.append(row.id)
    peers = _successor(process_id, same_data_centre)
    for zone in sorted(remote):
        peers += rendezvous(f"peer/{process_id}", remote[zone], 1)
    remaining = n - len(peers)
    if remaining > 0:
        peers += rendezvous(f"peer/{process_id}", set(same_data_centre) - set(peers), remaining)
    return peers


def assigned_agents(
    entry_id: str, region: str, entries: Iterable[VmRow], agents: Iterable[VmRow], per_agent: int
) -> list[VmRow]:
    """Returns the agents to which an entry maintains links.

    Each agent is assigned to `per_agent` entries: to all entries if there are no more than that,
    otherwise to one outside its region, which keeps it reachable when its region loses all entries,
    and to the rest inside its region. Choosing entries for each agent, rather than agents for each
    entry, leaves no agent without a link.
    """
    entry_regions = {entry_id: region, **{entry.id: entry.region for entry in entries}}
    if len(entry_regions) <= per_agent:
        return list(agents)
    entries_by_region: dict[str, list[str]] = {}
    for other_id, entry_region in entry_regions.items():
        entries_by_region.setdefault(entry_region, []).append(other_id)
    assigned = []
    for agent in agents:
        local_entries = entries_by_region.get(agent.region, [])
        key = f"entries/{agent.id}"
        if region == agent.region:
            is_assigned = entry_id in rendezvous(key, local_entries, per_agent - 1)
        else:
            remote_entries = [
                other_id
                for other_id, entry_region in entry_regions.items()
                if entry_region != agent.region
            ]
            remote_count = 1 if local_entries else per_agent
            is_assigned = entry_id in rendezvous(key, remote_entries, remote_count)
        if is_assigned:
            assigned.append(agent)
    return assigned


def _successor(process_id: str, other_ids: list[str]) -> list[str]:
    """Returns the successor of a process on the hash ring, or an empty list without others."""
    if not other_ids:
        return []
    ring = sorted((score("ring", member), member) for member in other_ids)
    own_position = (score("ring", process_id), process_id)
    return [
        next(
            (member for position in ring for member in position[1:] if position > own_position),
            ring[0][1],
        )
    ]
