"""Links of entries to agents: guards against agents that no entry reaches and against full meshes."""

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


def test_each_agent_is_reached_by_the_wanted_number_of_entries():
    """An agent without a link is capacity that nobody uses."""
    reached = Counter(a.id for mine in links(ENTRIES, AGENTS, 3).values() for a in mine)
    assert reached == {agent.id: 3 for agent in AGENTS}


def test_no_entry_has_links_to_a_large_part_of_the_agents():
    """The cost of links must not grow with the product of entries and agents."""
    most = max(len(mine) for mine in links(ENTRIES, AGENTS, 3).values())
    assert most <= 3 * (300 * 3 / 60)


@pytest.mark.parametrize("entries", [1, 3])
def test_few_entries_are_linked_to_all_agents(entries):
    """At the size of today every entry must see every agent."""
    for mine in links(ENTRIES[:entries], AGENTS, 3).values():
        assert len(mine) == len(AGENTS)


def test_agents_of_a_region_without_entries_stay_reachable():
    """A region that lost all its entries must not lose its agents as well."""
    left = [entry for entry in ENTRIES if entry.region != "sur"]
    reached = Counter(a.id for mine in links(left, AGENTS, 3).values() for a in mine)
    assert all(reached[agent.id] == 3 for agent in AGENTS)


def test_an_entry_that_the_list_does_not_show_yet_gets_its_share():
    """A new entry must be able to serve before the lagging list shows it."""
    assert assigned_agents("new", "norte", ENTRIES, AGENTS, 30)
