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


def _successor(process_id: str, others: list[str]) -> list[str]:
    if not others:
        return []
    ring = sorted((score("ring", member), member) for member in others)
    here = (score("ring", process_id), process_id)
    return [next((member for place in ring for member in place[1:] if place > here), ring[0][1])]
