"""A stager and its engine: guards against tokens made with wrong weights.

The random test takes other seeds from the environment: `WEIGHT_SEEDS=1,2,3`.
"""

import os
import random
import signal
import time

import pytest

from standins.platform.engine import Engine, EngineFaults, chunk
from tests.platform.deployment import wait_until
from tests.platform.stager_deployment import CHUNK_BYTES, CHUNKS, StagerDeployment

SEEDS = tuple(map(int, os.environ.get("WEIGHT_SEEDS", "1,2").split(",")))
#: Seconds for which the random test injects faults, and within which the last version is then loaded.
FAULTS_S = 12.0
CALM_S = 15.0


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


class FaultInjector:
    """Injects random faults into an engine and its stager."""

    def __init__(self, deployment: StagerDeployment, seed: int):
        self._deployment = deployment
        self._engine = deployment.engine
        self._rng = random.Random(seed)

    def inject(self) -> None:
        """Injects one fault; some last until the same kind is drawn again."""
        faults = [
            self.late, self.slow, self.twice, self.engine_stop, self.stager_stop, self.both_stop,
            self.crash, self.power_loss, self.corruption, self.kill,
        ]  # fmt: skip
        self._rng.choice(faults)()

    def late(self) -> None:
        self._engine.faults.late_share = self._rng.choice([0.0, 0.02, 0.1])

    def slow(self) -> None:
        self._engine.faults.call_s = self._rng.choice([(0.0, 0.0), (0.0, 0.01), (0.0, 0.05)])

    def twice(self) -> None:
        self._engine.faults.twice_share = self._rng.choice([0.0, 0.03, 0.1])

    def engine_stop(self) -> None:
        self._engine.running.clear()
        time.sleep(self._rng.uniform(0.2, 2.0))
        self._engine.running.set()

    def stager_stop(self) -> None:
        self._deployment.signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.2, 4.0))
        self._deployment.signal(signal.SIGCONT)

    def both_stop(self) -> None:
        self._engine.running.clear()
        self.stager_stop()
        self._engine.running.set()

    def crash(self) -> None:
        self._engine.restart(keeps_staged=True)

    def power_loss(self) -> None:
        self._engine.restart(keeps_staged=False)

    def corruption(self) -> None:
        self._engine.corrupt(self._rng.sample(range(CHUNKS), 2))

    def kill(self) -> None:
        self._deployment.kill_stager()
        self._deployment.start_stager()


@pytest.mark.parametrize("seed", SEEDS)
def test_engine_loads_only_whole_versions_under_random_faults(seed, fleet, tmp_path):
    """Guards against wrong weights after faults that overlap, and against a stager that stops loading."""
    deployment = StagerDeployment(fleet, tmp_path, seed)
    deployment.start()
    injector, rng, version = FaultInjector(deployment, seed), random.Random(seed), 1
    calm_at, next_version_at = time.monotonic() + FAULTS_S, 0.0
    while time.monotonic() < calm_at:
        if time.monotonic() >= next_version_at:
            version += 1
            deployment.declare(version)
            next_version_at = time.monotonic() + rng.uniform(0.3, 4.0)
        injector.inject()
        time.sleep(rng.uniform(0.0, 0.6))
    deployment.engine.faults = EngineFaults()
    wait_until(lambda: deployment.engine.version == version, CALM_S)
    assert deployment.wrong_loads() == []
    deployment.close()
