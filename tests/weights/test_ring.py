"""Distribution along the ring: time to all VMs, copies from the origin, and faults."""

import pytest

from fescuechute.weights import ORIGIN, FetchFromOrigin, FetchFromPeer, Ring, RingLimits
from tests.weights.ring_simulation import CHUNK_S, RingSimulation

#: Maximum time to all VMs relative to the lower bound; a requirement of the users.
MAX_TIME_RATIO = 1.3
#: Seconds within which others take over from a lost agent.
REPAIR_S = 1.0


def lower_bound_s(count: int, chunks: int) -> float:
    """Lower bound: one copy on a link, plus one chunk for each further VM of the ring."""
    return CHUNK_S * (chunks + count - 1)


@pytest.mark.parametrize("count", [1, 3, 10, 29])
def test_distribution_takes_little_longer_than_one_copy(count):
    """Guards against many agents that share the uplink of one common source."""
    simulation = RingSimulation(count, 96)
    assert simulation.run() <= MAX_TIME_RATIO * lower_bound_s(count, 96)
    assert simulation.origin_sent <= 1.05 * 96


@pytest.mark.parametrize(("count", "chunks"), [(29, 64), (50, 64), (60, 96), (120, 96)])
def test_long_ring_takes_little_longer_than_one_copy(count, chunks):
    """Guards against a time that grows with the number of agents, each of which delays a chunk.

    Load pattern: a version is declared on a site with 29 to 120 engines.
    """
    simulation = RingSimulation(count, chunks)
    assert simulation.run() <= MAX_TIME_RATIO * chunks * CHUNK_S
    assert simulation.origin_sent <= 1.05 * chunks


def test_origin_with_a_narrow_link_sends_one_copy():
    """Guards against so many downloads at a time that agents take each of them for stalled.

    Load pattern: a version is declared on a site whose origin has hardly more bandwidth than one VM.
    """
    simulation = RingSimulation(60, 96, origin_speed=1.3, shares_origin=True)
    simulation.run()
    assert simulation.origin_sent <= 1.05 * 96


def test_long_ring_is_repaired_when_an_agent_is_lost():
    """Guards against chunks that nobody fetches because the way past a lost agent is interrupted."""
    simulation = RingSimulation(50, 64)
    simulation.at(1.0, lambda: simulation.kill("a24"))
    assert simulation.run() <= MAX_TIME_RATIO * 64 * CHUNK_S + REPAIR_S


@pytest.mark.parametrize(
    ("name", "lost"), [("neighbours", range(10, 14)), ("far_links", range(0, 50, 11))]
)
def test_long_ring_is_repaired_when_several_agents_are_lost(name, lost):
    """Guards against agents that lose all of their predecessors, or both ways of a chunk, at once."""
    simulation = RingSimulation(50, 64)
    for number in lost:
        simulation.at(1.0, lambda number=number: simulation.kill(f"a{number:02}"))
    assert simulation.run() <= MAX_TIME_RATIO * 64 * CHUNK_S + REPAIR_S, name
    assert simulation.origin_sent <= 1.5 * 64


def test_long_ring_bypasses_a_slow_agent():
    """Guards against agents behind one slow link that all wait for it."""
    simulation = RingSimulation(50, 64)
    simulation.agents["a20"].slowdown = 10.0
    simulation.run(120.0)
    done = [agent.completed_at for name, agent in simulation.agents.items() if name != "a20"]
    assert max(done) <= MAX_TIME_RATIO * 64 * CHUNK_S + REPAIR_S


def test_distribution_completes_if_the_origin_fails_after_one_copy():
    """Guards against an underused link of the origin.

    After an outage, only chunks that the origin has already sent can be distributed.
    """
    simulation = RingSimulation(10, 96)
    # The link of the origin is twice as fast as that of a VM.
    links_s = 0.2
    simulation.at(
        links_s + 1.1 * 96 * CHUNK_S / 2, lambda: setattr(simulation, "origin_down", True)
    )
    assert simulation.run() <= MAX_TIME_RATIO * lower_bound_s(10, 96)


def test_missing_chunks_are_downloaded_once_after_an_origin_outage():
    """Guards against agents that all download the same chunks when the origin recovers."""
    simulation = RingSimulation(10, 96)
    simulation.at(1.0, lambda: setattr(simulation, "origin_down", True))
    simulation.at(7.0, lambda: setattr(simulation, "origin_down", False))
    assert simulation.run() <= 7.0 + lower_bound_s(10, 96)
    assert simulation.origin_sent <= 1.2 * 96


@pytest.mark.parametrize("connections", [2, 16, 48])
def test_connection_limit_of_the_origin_is_shared(connections):
    """Guards against exceeding the connection limit, and against shares without a downloader."""
    simulation = RingSimulation(12, 96, connections=connections)
    assert simulation.run() <= MAX_TIME_RATIO * lower_bound_s(12, 96)
    assert simulation.origin_sent <= 1.05 * 96


@pytest.mark.parametrize("victims", [["a00"], ["a05"], ["a04", "a05"]])
def test_share_of_a_lost_agent_is_downloaded_by_others(victims):
    """Guards against a share that no agent downloads from the origin."""
    simulation = RingSimulation(10, 96)
    for victim in victims:
        simulation.at(1.0, lambda victim=victim: simulation.kill(victim))
    assert simulation.run() <= 2 * lower_bound_s(10, 96) + 2.0


def test_added_vm_fetches_its_copy_from_its_neighbours():
    """Guards against one copy from the origin for each VM that is added."""
    simulation = RingSimulation(6, 96, holders=5)
    assert simulation.run() <= MAX_TIME_RATIO * lower_bound_s(1, 96)
    assert simulation.origin_sent == 0


@pytest.mark.parametrize("victim", ["a00", "a03", "a09"])
@pytest.mark.parametrize("at_s", [0.3, 2.0])
def test_dead_agent_is_bypassed(victim, at_s):
    """Guards against a distribution that ends at a dead agent of the ring."""
    simulation = RingSimulation(10, 96)
    simulation.at(at_s, lambda: simulation.kill(victim))
    # At most one stall, and one further copy of what only the victim held.
    assert simulation.run() <= 2 * lower_bound_s(10, 96) + 2.0


def test_slow_agent_does_not_slow_down_its_successors():
    """Guards against one slow link that limits the rate of all successors."""
    simulation = RingSimulation(10, 96)
    simulation.agents["a04"].slowdown = 4.0
    simulation.run()
    others = [a.completed_at for a in simulation.agents.values() if a.name != "a04"]
    assert max(others) <= 2 * lower_bound_s(10, 96)


def test_origin_is_retried_after_a_pause():
    """Guards against a distribution that never resumes after an outage of the origin."""
    simulation = RingSimulation(3, 20)
    simulation.origin_down = True
    simulation.at(1.0, lambda: setattr(simulation, "origin_down", False))
    assert simulation.run() <= 1.0 + 2 * lower_bound_s(3, 20) + 1.0


def test_corrupt_chunk_is_fetched_again():
    """Guards against a chunk that is abandoned after it failed verification."""
    ring = Ring("a", set())
    ring.set_order(["a"], 48)
    ring.want([b"1"])
    assert [type(c) for c in ring.plan(0.0)] == [FetchFromOrigin]
    ring.record_corrupt(b"1", ORIGIN, 0.1)
    assert ring.plan(0.1) == []
    assert [type(c) for c in ring.plan(1.0)] == [FetchFromOrigin]


def test_source_of_corrupt_chunks_is_avoided_for_longer_each_time():
    """Guards against a peer that keeps the link busy with chunks that fail verification."""
    ring = Ring("b", set())
    ring.set_order(["a", "b"], 2)
    ring.peer_up("a")
    ring.want([b"1"])
    ring.record_announcement("a", [b"1"], 0.0)
    now, pauses = 0.0, []
    for _ in range(3):
        while not any(isinstance(c, FetchFromPeer) for c in ring.plan(now)):
            now += 0.05
        ring.record_corrupt(b"1", "a", now)
        corrupt_at = now
        ring.record_announcement("a", [b"1"], now)
        pauses.append(corrupt_at)
    assert pauses[1] - pauses[0] >= RingLimits().corrupt_avoid_s
    assert pauses[2] - pauses[1] >= 2 * RingLimits().corrupt_avoid_s - 0.1


def test_refused_chunk_is_not_requested_again_at_once():
    """Guards against a busy loop of requests to an agent that lacks the chunk."""
    ring = Ring("b", set())
    ring.set_order(["a", "b"], 2)
    ring.peer_up("a")
    ring.want([b"1"])
    ring.record_announcement("a", [b"1"], 0.0)
    assert [type(c) for c in ring.plan(0.0)] == [FetchFromPeer]
    ring.record_failure(b"1", "a", 0.01)
    assert ring.plan(0.02) == []


def test_replaced_wanted_chunks_are_cancelled():
    """Guards against fetches of a version that is no longer wanted."""
    ring = Ring("a", set(), RingLimits(origin_window=2))
    ring.set_order(["a"], 48)
    ring.want([b"1", b"2"])
    ring.plan(0.0)
    ring.want([b"3"])
    commands = ring.plan(0.1)
    assert {c.digest for c in commands if not isinstance(c, FetchFromOrigin)} == {b"1", b"2"}
    assert [c.digest for c in commands if isinstance(c, FetchFromOrigin)] == [b"3"]


def test_window_shrinks_on_a_slow_link():
    """Guards against requests that are queued for seconds behind chunks on a slow link."""
    ring = Ring("b", set())
    ring.set_order(["a", "b"], 2)
    ring.peer_up("a")
    digests = [b"%d" % n for n in range(60)]
    ring.want(digests)
    ring.record_announcement("a", digests, 0.0)
    in_flight = [command.digest for command in ring.plan(0.0)]
    assert len(in_flight) == RingLimits().window
    now = 0.0
    for _ in range(30):
        now += 0.25
        ring.record_arrival(in_flight.pop(0), now)
        in_flight += [c.digest for c in ring.plan(now) if isinstance(c, FetchFromPeer)]
    assert len(in_flight) == RingLimits().min_window


def test_unknown_agent_counts_as_successor():
    """Guards against an added agent that gets no announcements from its neighbours.

    In an incident, it got none until they had read the registry again.
    """
    ring = Ring("c", set())
    ring.set_order(["a", "b", "c", "d", "e", "f", "g"], 48)
    assert [name for name in "abdefg" if ring.is_successor(name)] == ["d", "e", "f"]
    assert ring.is_successor("new")
