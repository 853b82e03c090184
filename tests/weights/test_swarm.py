"""Simulated swarms of exchanges: time, copies from the origin and completion under faults.

Many exchanges run over the link model of `bench.swarm`. The bounds are the targets in section 8 of
the design page.
"""

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from bench.swarm import Swarm
from bench.swarm_config import Stall, SwarmConfig

REGIONS = ("norte", "centro", "sur")
#: Targets of the design page: time relative to the lower bound, and copies sent by the origin.
RATIO = 1.3
ORIGIN_COPIES = 1.1
ORIGIN_COPIES_UNDER_FAULTS = 1.25
#: Simulated seconds within which every VM must be complete under any faults: ten times the time that
#: one copy takes on the link of the origin alone, plus two blocks of a minute.
LIMIT_S = 10 * 30.0 + 2 * 60.0


def config(vms=12, chunks=150, **changes):
    regions = dict.fromkeys(REGIONS, vms // 3)
    return SwarmConfig(regions=regions, sizes=(256 << 10,) * chunks, **changes)


@pytest.mark.parametrize("vms", [12, 24])
@pytest.mark.parametrize("seed", [1, 2])
def test_targets_without_faults(vms, seed):
    """Guards against more than one copy into a region, and against slow distribution."""
    result = Swarm(config(vms, 300, seed=seed)).run(LIMIT_S)
    assert result.finished
    assert result.entries_max == 1
    assert result.origin_copies <= ORIGIN_COPIES
    assert result.ratio <= RATIO


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_origin_copies_under_the_stated_faults(seed):
    """Guards against faults that make agents fetch further copies from the origin."""
    faults = {
        "kills": ((10.0, 1), (20.0, 10)),
        "stalls": (Stall(15.0, 2, 3, float("inf")),),
        "corruption_probability": 0.02,
    }
    result = Swarm(config(12, 300, seed=seed, **faults)).run(LIMIT_S)
    assert result.finished
    assert result.origin_copies <= ORIGIN_COPIES_UNDER_FAULTS


#: No shrinking, because one example takes seconds and the printed one can be run again as it is.
QUICK = settings(
    max_examples=8,
    deadline=None,
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=[HealthCheck.too_slow],
)


@QUICK
@given(seed=st.integers(0, 10_000), vms=st.sampled_from([3, 6, 12, 15]))
def test_each_chunk_enters_a_region_once_without_faults(seed, vms):
    """Guards against handovers while the designated agents are delivering."""
    result = Swarm(config(vms, seed=seed)).run(LIMIT_S)
    assert result.finished
    assert result.entries_max == 1
    assert result.origin_copies <= ORIGIN_COPIES


@QUICK
@given(
    seed=st.integers(0, 10_000),
    first=st.integers(0, 11),
    second=st.integers(0, 11),
    at=st.floats(1.0, 60.0),
    a=st.integers(0, 11),
    offset=st.integers(1, 11),
    reconnects=st.booleans(),
)
def test_origin_copies_under_the_stated_faults_at_any_vm_and_time(
    seed, first, second, at, a, offset, reconnects
):
    """Guards against a VM or time of a fault that causes a further copy from the origin."""
    stall = Stall(at, a, (a + offset) % 12, at if reconnects else float("inf"))
    faults = {
        "kills": ((at, first), (at + 5.0, second)),
        "stalls": (stall,),
        "corruption_probability": 0.02,
    }
    result = Swarm(config(seed=seed, **faults)).run(LIMIT_S)
    assert result.finished
    assert result.origin_copies <= ORIGIN_COPIES_UNDER_FAULTS


@QUICK
@given(
    seed=st.integers(0, 10_000),
    false_announcers=st.sets(st.integers(0, 11), max_size=2),
    kills=st.lists(st.tuples(st.floats(0.1, 80.0), st.integers(0, 11)), max_size=4),
    corruption_probability=st.sampled_from([0.0, 0.02, 0.1]),
    origin_outage=st.sampled_from([(0.0, 0.0), (0.0, 60.0), (20.0, 80.0)]),
)
def test_every_vm_completes_under_any_faults(
    seed, false_announcers, kills, corruption_probability, origin_outage
):
    """Guards against agents that give up or wait for each other."""
    result = Swarm(
        config(
            chunks=90,
            seed=seed,
            false_announcers=tuple(sorted(false_announcers)),
            kills=tuple(kills),
            corruption_probability=corruption_probability,
            origin_outage=origin_outage,
        )
    ).run(LIMIT_S)
    assert result.finished


def test_equal_seeds_give_equal_runs():
    """Guards against runs that cannot be reproduced from a printed seed."""
    changes = {"seed": 7, "corruption_probability": 0.02, "kills": ((10.0, 1),)}
    first, second = (Swarm(config(6, 60, **changes)).run(LIMIT_S) for _ in range(2))
    assert first == second
