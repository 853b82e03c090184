"""A stager and its engine: guards against tokens made with wrong weights."""

import pytest

from standins.platform.engine import Engine, EngineFaults, chunk
from tests.platform.deployment import wait_until
from tests.platform.stager_deployment import CHUNK_BYTES, CHUNKS, StagerDeployment


@pytest.fixture
def deployment(fleet, tmp_path):
    deployment = StagerDeployment(fleet, tmp_path)
    deployment.start()
    yield deployment
    deployment.close()


def is_staged(engine: Engine, version: int) -> bool:
    """Returns whether all chunks of a version are staged, so that the order is near."""
    staged = dict(engine.staged)
    return all(staged.get(index) == chunk(version, index, CHUNK_BYTES) for index in range(CHUNKS))


@pytest.mark.parametrize(
    ("name", "faults"),
    [
        ("none", EngineFaults()),
        ("staging confirmed and not carried out", EngineFaults(dropped_share=0.1)),
        ("responses sent twice", EngineFaults(twice_share=0.1, call_s=(0.0, 0.03))),
    ],
)
def test_engine_loads_only_whole_versions(name, faults, deployment):
    """Guards against loading a chunk of another version that a response had confirmed as staged."""
    deployment.engine.faults = faults
    for version in range(2, 5):
        deployment.declare(version)
        deployment.wait_loaded(version)
    assert deployment.wrong_loads() == [], name
    assert [load.version for load in deployment.engine.loads] == [2, 3, 4]


def test_engine_that_loses_its_power_before_the_order_is_staged_again(deployment):
    """Guards against loading a version whose staged chunks were lost with the power of the engine."""
    engine = deployment.engine
    engine.faults = EngineFaults(call_s=(0.0, 0.02))
    for version in range(2, 12):
        deployment.declare(version)
        wait_until(lambda version=version: is_staged(engine, version))
        engine.restart(keeps_staged=False)
        deployment.wait_loaded(version)
    assert deployment.wrong_loads() == []
