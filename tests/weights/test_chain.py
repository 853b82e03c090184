"""The chain: guards against a burst that takes longer than its links need, and against stalls."""

import pytest

from fescuechute.weights import ORIGIN, Chain, FetchFromOrigin, FetchFromPeer, split_chains
from tests.weights.chains import CHUNK_S, Swarm

#: Time to all machines relative to the lower bound; the target of the users.
TARGET = 1.3


def bound_s(count: int, chunks: int) -> float:
    """Time of one copy on a link, and of a chunk for each further machine of the chain."""
    return CHUNK_S * (chunks + count - 1)


@pytest.mark.parametrize("count", [1, 3, 10, 29])
def test_a_burst_takes_little_more_than_one_copy(count):
    """Guards against machines that split the link of one that they all ask."""
    swarm = Swarm(count, 96)
    assert swarm.run() <= TARGET * bound_s(count, 96)
    assert swarm.origin_sent <= 1.05 * 96


def test_two_chains_are_half_as_long():
    """Guards against agents of two chains that wait for each other."""
    one, two = Swarm(20, 96), Swarm(20, 96, chains=2)
    assert two.run() < one.run()
    assert two.origin_sent <= 1.05 * 2 * 96


@pytest.mark.parametrize(
    ("name", "regions", "count", "expected"),
    [
        ("one chain", ["abcd", "efg", "hij"], 1, ["abcdefghij"]),
        ("cut where a region begins", ["abcd", "efg", "hij"], 2, ["abcd", "efghij"]),
        ("cut within the first region", ["abcdefgh", "i"], 2, ["abcd", "efghi"]),
        ("a long region is cut", ["a", "bcdefghijklmn"], 2, ["abcdefg", "hijklmn"]),
        ("fewer agents than chains", ["a"], 3, ["a"]),
        ("no agent in the first region", ["", "ab"], 1, ["ab"]),
    ],
)
def test_chains_begin_where_regions_do(name, regions, count, expected):
    """Guards against copies that cross a boundary between regions twice."""
    chains = split_chains([list(region) for region in regions], count)
    assert ["".join(chain) for chain in chains] == expected, name


def test_an_empty_machine_takes_its_copy_from_its_neighbours():
    """Guards against a copy from the origin for each machine that is added."""
    swarm = Swarm(6, 96, holders=5)
    assert swarm.run() <= TARGET * bound_s(1, 96)
    assert swarm.origin_sent == 0


@pytest.mark.parametrize("victim", ["a00", "a03", "a09"])
@pytest.mark.parametrize("at_s", [0.3, 2.0])
def test_a_machine_that_dies_is_passed_over(victim, at_s):
    """Guards against a chain that ends at a dead machine."""
    swarm = Swarm(10, 96)
    swarm.at(at_s, lambda: swarm.kill(victim))
    # One stall, and one copy more at most for what only the victim had.
    assert swarm.run() <= 2 * bound_s(10, 96) + 2.0


def test_a_slow_machine_does_not_slow_those_behind_it():
    """Guards against a squeezed link in the middle that becomes the pace of all behind it."""
    swarm = Swarm(10, 96)
    swarm.agents["a04"].slow = 4.0
    swarm.run()
    others = [a.done_at for a in swarm.agents.values() if a.name != "a04"]
    assert max(others) <= 2 * bound_s(10, 96)


def test_the_origin_is_asked_again_after_a_pause():
    """Guards against an outage of the origin that ends the distribution."""
    swarm = Swarm(3, 20)
    swarm.origin_down = True
    swarm.at(1.0, lambda: setattr(swarm, "origin_down", False))
    assert swarm.run() <= 1.0 + 2 * bound_s(3, 20) + 1.0


def test_a_chunk_that_fails_verification_is_asked_for_again():
    """Guards against a chunk that is given up."""
    chain = Chain("a", set())
    chain.set_order(["a"])
    chain.want([b"1"])
    assert [type(c) for c in chain.plan(0.0)] == [FetchFromOrigin]
    chain.bad(b"1", ORIGIN, 0.1)
    assert chain.plan(0.1) == []
    assert [type(c) for c in chain.plan(1.0)] == [FetchFromOrigin]


def test_a_refusal_is_not_asked_for_again_at_once():
    """Guards against a loop of requests to an agent that does not have the chunk."""
    chain = Chain("b", set())
    chain.set_order(["a", "b"])
    chain.peer_up("a")
    chain.want([b"1"])
    chain.peer_has("a", [b"1"], 0.0)
    assert [type(c) for c in chain.plan(0.0)] == [FetchFromPeer]
    chain.refused(b"1", "a", 0.01)
    assert chain.plan(0.02) == []


def test_wanted_chunks_may_be_replaced():
    """Guards against fetches of a version that nobody wants any more."""
    chain = Chain("a", set())
    chain.set_order(["a"])
    chain.want([b"1", b"2"])
    chain.plan(0.0)
    chain.want([b"3"])
    commands = chain.plan(0.1)
    assert {c.digest for c in commands if not isinstance(c, FetchFromOrigin)} == {b"1", b"2"}
    assert [c.digest for c in commands if isinstance(c, FetchFromOrigin)] == [b"3"]
