"""Links of entries to agents: guards against unreachable agents and against a full mesh."""

from collections import Counter

import pytest

from fescuechute.membership import VmRow, assigned_agents

REGIONS = ("norte", "centro", "sur")


def row(name: str, role: str, region: str) -> VmRow:
    upstream = "m" if role == "agent" else ""
    kind = "engine" if role == "agent" else ""
    return VmRow(name, role, "10.0.0.1", 1, 1, region, f"{region}-1", upstream, kind, "live")


def links(entries: list[VmRow], agents: list[VmRow], per_agent: int) -> dict[str, list[VmRow]]:
    return {e.id: assigned_agents(e.id, e.region, entries, agents, per_agent) for e in entries}


ENTRIES = [row(f"e{n}", "entry", REGIONS[n % 3]) for n in range(60)]
AGENTS = [row(f"a{n}", "agent", REGIONS[n % 3]) for n in range(300)]


def test_each_agent_is_linked_to_the_configured_number_of_entries():
    """Guards against agents without a link, whose capacity stays unused."""
    link_counts = Counter(a.id for assigned in links(ENTRIES, AGENTS, 3).values() for a in assigned)
    assert link_counts == {agent.id: 3 for agent in AGENTS}


def test_links_of_an_entry_are_bounded():
    """Guards against a number of links that grows with the product of entries and agents."""
    most = max(len(assigned) for assigned in links(ENTRIES, AGENTS, 3).values())
    assert most <= 3 * (300 * 3 / 60)


@pytest.mark.parametrize("entries", [1, 3])
def test_few_entries_are_linked_to_all_agents(entries):
    """Guards against unlinked agents in a small fleet, where every entry links to every agent."""
    for assigned in links(ENTRIES[:entries], AGENTS, 3).values():
        assert len(assigned) == len(AGENTS)


def test_agents_of_a_region_without_entries_stay_reachable():
    """Guards against the loss of the agents of a region that has lost all of its entries."""
    remaining = [entry for entry in ENTRIES if entry.region != "sur"]
    link_counts = Counter(
        a.id for assigned in links(remaining, AGENTS, 3).values() for a in assigned
    )
    assert all(link_counts[agent.id] == 3 for agent in AGENTS)


def test_entry_missing_from_the_list_is_assigned_agents():
    """Guards against a new entry that cannot serve until the lagging list contains it."""
    assert assigned_agents("new", "norte", ENTRIES, AGENTS, 30)
