"""Whole answers and true refusals of model requests while engines, agents and links fail."""

import pytest

from tests.harness import Fleet, Layout, Pool
from tests.integration.faulty import FaultySystem, Supervisor, check_callers, fault, run_load

RATE_PER_S = 30.0


@pytest.fixture(scope="module")
def system():
    layout = Layout(
        pools=(Pool("assistant", 3),),
        entries=2,
        slots=8,
        engine_options={"token_interval_ms": 10},
    )
    with Fleet() as fleet:
        running = FaultySystem(fleet, layout)
        running.start()
        running.publish([running.release("assistant", "v1", 256 << 10)])
        running.wait_confirmed("v1", 3)
        yield running


def kill_engine(system, replica):
    return [(1.0, replica.upstream.kill)]


def kill_agent(system, replica):
    def restart():
        replica.agent.wait_end(5)
        system.restart_agent(replica)

    return [(1.0, replica.agent.kill), (1.5, restart)]


def link_fault(heal_at=2.5, **faults):
    def steps(system, replica):
        proxy = system.link_proxies[replica.agent_id]
        return [
            (1.0, fault(proxy, **faults)),
            (heal_at, fault(proxy, **dict.fromkeys(faults))),
        ]

    return steps


def stall_engine(system, replica):
    return [(1.0, fault(replica.upstream, stall=True)), (4.2, fault(replica.upstream, stall=None))]


def reset_links(system, replica):
    return [(at, fault(system.link_proxies[replica.agent_id], reset=True)) for at in (1.0, 1.5)]


FAULTS = [
    pytest.param(kill_engine, "retried.upstream_lost", 11, id="engine_killed"),
    pytest.param(kill_agent, "retried.upstream_lost", 12, id="agent_killed"),
    pytest.param(link_fault(4.0, cut="both"), "retried.upstream_lost", 13, id="link_cut"),
    pytest.param(link_fault(4.0, cut="down"), "retried.upstream_lost", 14, id="link_cut_one_way"),
    pytest.param(link_fault(4.0, stall=True), "retried.upstream_lost", 15, id="link_stalled"),
    pytest.param(link_fault(3.0, bytes_per_s=3000.0), "", 16, id="link_slowed"),
    pytest.param(
        link_fault(corrupt_every_bytes=5000), "retried.upstream_lost", 17, id="link_corrupted"
    ),
    pytest.param(reset_links, "retried.upstream_lost", 18, id="link_reset"),
    pytest.param(stall_engine, "retried.upstream_lost", 19, id="engine_stalled"),
]


@pytest.mark.parametrize(("steps", "counter", "seed"), FAULTS)
def test_answers_stay_whole_while_a_replica_fails(system, steps, counter, seed):
    """A failing replica must not mix, cut or lose an answer, or make a refusal untrue."""
    before = system.counters()
    with Supervisor(system):
        plan = steps(system, system.replicas[0])
        rows = run_load(system, seed, RATE_PER_S, 4.5, plan)
        system.wait_confirmed("v1", 3)
    change = system.counters() - before
    shown = {name: n for name, n in change.items() if name.startswith(("retried", "resumed"))}
    found = check_callers(system, rows, f"{steps.__name__} {shown}")
    assert found["answered"] >= 0.7 * len(rows)
    assert not counter or change[counter], "the fault hit no request, so nothing was shown"
