"""A stager and its engine: guards against tokens made with wrong weights."""

import pytest

from standins.platform.engine import EngineFaults
from tests.platform.stager_deployment import StagerDeployment


@pytest.fixture
def deployment(fleet, tmp_path):
    deployment = StagerDeployment(fleet, tmp_path)
    deployment.start()
    yield deployment
    deployment.close()


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
