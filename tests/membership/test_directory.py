"""Directory: guards against wrong links and duties caused by a lagging or faulty VM list."""

import pytest

from fescuechute.membership import Directory, duty_holders, rendezvous

#: Order recorded from the first release with this hash.
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
    """Guards against an outdated, empty or future-dated list that replaces a valid one."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2")], 10.0, 11.0)
    assert not directory.apply_list([_vm("a1")], 9.0, 12.0).applied
    assert not directory.apply_list([], 11.0, 12.0).applied
    assert not directory.apply_list([_vm("a1")], 1e6, 12.0).applied
    assert directory.live_ids() == ["a1", "a2"]
    assert directory.ignored_lists == 3
    assert directory.apply_list([_vm("a2"), _vm("a3")], 12.0, 13.0).removed == ("a1",)


def test_changed_row_of_a_known_vm_is_applied():
    """Guards against a row cached from the previous list, which may have an outdated address."""
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
    """Guards against one malformed row that invalidates the whole list or is dropped silently."""
    directory = Directory()
    change = directory.apply_list([_vm("good"), row], 1.0, 1.0)
    assert change.skipped == directory.skipped_rows == 1
    assert directory.live_ids() == ["good"]


def test_leaving_announcement_overrides_the_lagging_list():
    """Guards against new work for a leaving process that the list still shows as live."""
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
    """Guards against a process restarted in place that still counts as leaving."""
    directory = Directory()
    directory.apply_list([_vm("a1")], 1.0, 1.0)
    directory.observed_leaving("a1", "boot1")
    directory.observed_up("a1", "boot2")
    assert directory.live_ids() == ["a1"]


def test_process_that_left_is_dialled_again_while_the_list_shows_it_live():
    """Guards against a process restarted under the same id to which nobody links any more."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2", state="leaving"), _vm("a3")], 1.0, 1.0)
    directory.observed_leaving("a1")
    assert [row.id for row in directory.agents_to_dial()] == ["a3"]
    directory.observed_down("a1")
    assert [row.id for row in directory.agents()] == ["a3"]
    assert [row.id for row in directory.agents_to_dial()] == ["a1", "a3"]
    directory.observed_up("a1", "boot2")
    assert [row.id for row in directory.agents()] == ["a1", "a3"]


def test_lost_link_reassigns_the_duties_of_a_process():
    """Guards against a duty that stays with a dead process until the list catches up."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2"), _vm("a3")], 1.0, 1.0)
    (holder,) = duty_holders("log-reader", directory.live_ids("norte-1"), 1)
    directory.observed_down(holder)
    (successor,) = duty_holders("log-reader", directory.live_ids("norte-1"), 1)
    assert successor != holder
    directory.observed_up(holder)
    assert duty_holders("log-reader", directory.live_ids("norte-1"), 1) == [holder]


def test_vm_that_returns_to_the_list_is_live():
    """Guards against a replacement VM that inherits the lost link of the VM with the same id."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2")], 1.0, 1.0)
    directory.observed_down("a1")
    directory.apply_list([_vm("a2")], 2.0, 2.0)
    directory.apply_list([_vm("a1"), _vm("a2")], 3.0, 3.0)
    assert directory.live_ids() == ["a1", "a2"]


def test_selection_by_role_upstream_and_region():
    """Guards against links to the wrong processes because of a wrong filter."""
    directory = Directory()
    rows = [_vm("a1"), _vm("a2", region="sur"), _vm("a3", upstream="portal"), _entry("e1")]
    directory.apply_list(rows, 1.0, 1.0)
    assert [row.id for row in directory.agents("assistant", "norte")] == ["a1"]
    assert [row.id for row in directory.agents()] == ["a1", "a2", "a3"]
    assert [row.id for row in directory.entries()] == ["e1"]


def test_rendezvous_moves_only_the_keys_of_a_member_that_leaves():
    """Guards against a single failure that also reassigns keys of other members."""
    ids = [f"vm{i}" for i in range(40)]
    for key in (f"key{i}" for i in range(200)):
        before = rendezvous(key, ids, 3)
        removed = before[1]
        after = rendezvous(key, [member for member in ids if member != removed], 3)
        assert after[:2] == [before[0], before[2]]


def test_rendezvous_is_stable_across_processes_and_releases():
    """Guards against a duty with several holders or none because processes disagree on the hash."""
    assert rendezvous("log-reader", ["a", "b", "c", "d"], 4) == STABLE_ORDER


def test_rendezvous_spreads_keys_evenly():
    """Guards against a skewed hash that assigns most duties to one process."""
    ids = [f"vm{i}" for i in range(10)]
    counts = dict.fromkeys(ids, 0)
    for i in range(5000):
        counts[rendezvous(f"key{i}", ids)[0]] += 1
    assert max(counts.values()) < 1.2 * 500
    assert min(counts.values()) > 0.8 * 500


def _reachable(peers):
    links = {vm: set(peer_ids) for vm, peer_ids in peers.items()}
    for vm, peer_ids in peers.items():
        for peer in peer_ids:
            links[peer].add(vm)
    visited, pending = set(), [next(iter(links))]
    while pending:
        vm = pending.pop()
        if vm not in visited:
            visited.add(vm)
            pending += links[vm]
    return visited


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
    """Guards against a gossip partition, in which notes would be missed during a log outage."""
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
    for vm, peer_ids in peers.items():
        assert vm not in peer_ids
        assert len(peer_ids) == len(set(peer_ids)) <= max(n, len(sizes))
        assert {region_of[peer] for peer in peer_ids} >= regions - {region_of[vm]}


def test_process_missing_from_the_list_gets_peers():
    """Guards against a new process that cannot learn the latest note until the list catches up."""
    directory = Directory()
    directory.apply_list([_vm("a1"), _vm("a2", region="sur", data_centre="sur-1")], 1.0, 1.0)
    assert directory.peers_for("new", 4, "norte", "norte-1") == ["a1", "a2"]
