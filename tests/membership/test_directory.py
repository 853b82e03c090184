"""Directory: each case guards against a lagging or faulty VM list misdirecting the system."""

import pytest

from fescuechute.membership import Directory, duty_holders, rendezvous

#: Recorded from the first release that hashes this way.
STABLE_ORDER = ["a", "d", "b", "c"]


def _vm(vm_id="a1", **changes):
    fields = {
        "id": vm_id,
        "role": "agent",
        "address": "127.0.0.1",
        "link_port": 9000,
        "http_port": 9001,
        "region": "norte",
        "data_centre": "norte-1",
        "upstream": "assistant",
        "kind": "engine",
        "state": "live",
    }
    return fields | changes


def _entry(vm_id, **changes):
    return _vm(vm_id, role="entry", upstream="", kind="", **changes)


def test_older_list_and_empty_list_are_ignored():
    """A list that goes back in time or comes up empty must not empty the tables."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2")], 10.0, 11.0)
    assert not directory.apply_list([_vm("a1")], 9.0, 12.0).applied
    assert not directory.apply_list([], 11.0, 12.0).applied
    assert not directory.apply_list([_vm("a1")], 1e6, 12.0).applied
    assert directory.live_ids() == ["a1", "a2"]
    assert directory.ignored_lists == 3
    assert directory.apply_list([_vm("a2"), _vm("a3")], 12.0, 13.0).removed == ("a1",)


def test_changed_row_of_a_known_vm_is_taken_over():
    """A row kept from the last list would send links to an address that is gone."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2")], 1.0, 1.0)
    before = directory.version
    assert directory.apply_list([_vm("a1"), _vm("a2")], 2.0, 2.0).applied
    assert directory.version == before
    directory.apply_list([_vm("a1", address="127.0.0.9"), _vm("a2", state="leaving")], 3.0, 3.0)
    assert directory.row("a1").address == "127.0.0.9"
    assert directory.live_ids() == ["a1"]
    assert directory.apply_list([_vm("a1", address="bad"), _vm("a2")], 4.0, 4.0).skipped == 1


@pytest.mark.parametrize(
    "row",
    [
        pytest.param("text", id="not_a_row"),
        pytest.param(_vm(id=7), id="id_type"),
        pytest.param(_vm(role="origin"), id="role"),
        pytest.param(_vm(address="host.example"), id="host_name"),
        pytest.param(_vm(link_port=True), id="bool_port"),
        pytest.param(_vm(link_port=70000), id="port_range"),
        pytest.param(_vm(state="gone"), id="state"),
        pytest.param(_vm(upstream=""), id="agent_without_upstream"),
        pytest.param(_vm(kind="database"), id="kind"),
        pytest.param(_vm(region=None), id="no_region"),
        pytest.param(_vm("good", state="leaving"), id="repeated_id"),
    ],
)
def test_malformed_row_is_skipped_and_counted(row):
    """One bad row must not cost the whole list, nor pass unseen."""
    directory = Directory()
    change = directory.apply_list([_vm("good"), row], 1.0, 1.0)
    assert change.skipped == directory.skipped_rows == 1
    assert directory.live_ids() == ["good"]


def test_own_announcement_beats_the_lagging_list():
    """A leaving upstream that the list still shows live must receive no new work."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2")], 1.0, 1.0)
    directory.observed_leaving("a1", "boot1")
    directory.apply_list([_vm("a1"), _vm("a2")], 2.0, 2.0)
    directory.observed_up("a1", "boot1")
    assert [row.id for row in directory.agents()] == ["a2"]
    assert directory.row("a1").state == "leaving"
    directory.apply_list([_vm("a2")], 3.0, 3.0)
    directory.apply_list([_vm("a1"), _vm("a2")], 4.0, 4.0)
    assert [row.id for row in directory.agents()] == ["a1", "a2"]


def test_process_that_returns_with_another_boot_id_is_live_again():
    """A VM restarted in place must not stay shut out because its predecessor left."""
    directory = Directory()
    directory.apply_list([_vm("a1")], 1.0, 1.0)
    directory.observed_leaving("a1", "boot1")
    directory.observed_up("a1", "boot2")
    assert directory.live_ids() == ["a1"]


def test_process_that_left_is_dialled_again_while_the_list_shows_it_live():
    """A process restarted under its id must be found again, though nobody but it was told."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2", state="leaving"), _vm("a3")], 1.0, 1.0)
    directory.observed_leaving("a1")
    assert [row.id for row in directory.agents_to_dial()] == ["a3"]
    directory.observed_down("a1")
    assert [row.id for row in directory.agents()] == ["a3"]
    assert [row.id for row in directory.agents_to_dial()] == ["a1", "a3"]
    directory.observed_up("a1", "boot2")
    assert [row.id for row in directory.agents()] == ["a1", "a3"]


def test_lost_link_takes_a_process_out_of_the_duties():
    """A duty held by a dead process would be held by nobody until the list catches up."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2"), _vm("a3")], 1.0, 1.0)
    (holder,) = duty_holders("log-reader", directory.live_ids("norte-1"), 1)
    directory.observed_down(holder)
    (successor,) = duty_holders("log-reader", directory.live_ids("norte-1"), 1)
    assert successor != holder
    directory.observed_up(holder)
    assert duty_holders("log-reader", directory.live_ids("norte-1"), 1) == [holder]


def test_vm_that_left_the_list_comes_back_as_live():
    """A replaced VM with a known id must not inherit the lost link of its predecessor."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2")], 1.0, 1.0)
    directory.observed_down("a1")
    directory.apply_list([_vm("a2")], 2.0, 2.0)
    directory.apply_list([_vm("a1"), _vm("a2")], 3.0, 3.0)
    assert directory.live_ids() == ["a1", "a2"]


def test_selection_by_role_upstream_and_region():
    """A wrong filter would dial the wrong processes."""
    directory = Directory()
    rows = [_vm("a1"), _vm("a2", region="sur"), _vm("a3", upstream="portal"), _entry("e1")]
    directory.apply_list(rows, 1.0, 1.0)
    assert [row.id for row in directory.agents("assistant", "norte")] == ["a1"]
    assert [row.id for row in directory.agents()] == ["a1", "a2", "a3"]
    assert [row.id for row in directory.entries()] == ["e1"]


def test_rendezvous_moves_only_the_keys_of_a_member_that_leaves():
    """Moving other keys would make a single failure reassign everything."""
    ids = [f"vm{i}" for i in range(40)]
    for key in (f"key{i}" for i in range(200)):
        before = rendezvous(key, ids, 3)
        gone = before[1]
        after = rendezvous(key, [member for member in ids if member != gone], 3)
        assert after[:2] == [before[0], before[2]]


def test_rendezvous_is_stable_across_processes_and_releases():
    """Processes that disagree on the hash would all hold, or all miss, the same duty."""
    assert rendezvous("log-reader", ["a", "b", "c", "d"], 4) == STABLE_ORDER


def test_rendezvous_spreads_keys_evenly():
    """A skewed hash would load one process with most duties."""
    ids = [f"vm{i}" for i in range(10)]
    counts = dict.fromkeys(ids, 0)
    for i in range(5000):
        counts[rendezvous(f"key{i}", ids)[0]] += 1
    assert max(counts.values()) < 1.2 * 500
    assert min(counts.values()) > 0.8 * 500


def _reachable(peers):
    links = {vm: set(chosen) for vm, chosen in peers.items()}
    for vm, chosen in peers.items():
        for peer in chosen:
            links[peer].add(vm)
    seen, todo = set(), [next(iter(links))]
    while todo:
        vm = todo.pop()
        if vm not in seen:
            seen.add(vm)
            todo += links[vm]
    return seen


@pytest.mark.parametrize(
    ("sizes", "n"),
    [
        pytest.param({("r1", "d1"): 30}, 1, id="one_data_centre"),
        pytest.param({("r1", "d1"): 9, ("r1", "d2"): 1}, 2, id="two_data_centres"),
        pytest.param(
            {("r1", "d1"): 12, ("r1", "d2"): 8, ("r2", "d3"): 20, ("r3", "d4"): 1},
            6,
            id="three_regions",
        ),
        pytest.param({(f"r{i % 6}", f"d{i}"): 12 for i in range(16)}, 10, id="design_places"),
    ],
)
def test_gossip_graph_is_connected_and_bounded(sizes, n):
    """A part of the fleet without a path to the rest would miss notes while the log is out."""
    rows = [
        _vm(f"{dc}-{i}", region=region, data_centre=dc)
        for (region, dc), size in sizes.items()
        for i in range(size)
    ]
    directory = Directory()
    directory.apply_list(rows, 1.0, 1.0)
    regions = {row["region"] for row in rows}
    peers = {row["id"]: directory.peers_for(row["id"], n) for row in rows}
    assert _reachable(peers) == set(peers)
    region_of = {row["id"]: row["region"] for row in rows}
    for vm, chosen in peers.items():
        assert vm not in chosen
        assert len(chosen) == len(set(chosen)) <= max(n, len(sizes))
        assert {region_of[peer] for peer in chosen} >= regions - {region_of[vm]}


def test_process_that_the_list_does_not_show_yet_finds_peers():
    """A new process must be able to learn the newest note before the list catches up."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2", region="sur", data_centre="sur-1")], 1.0, 1.0)
    assert directory.peers_for("new", 4, "norte", "norte-1") == ["a1", "a2"]
