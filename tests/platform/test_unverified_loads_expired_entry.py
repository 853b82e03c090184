"""A late load of an engine whose registry entry expires while it is stopped, with requests all the while."""

import time

import pytest

from tests.platform.deployment import call_standin, wait_until
from tests.platform.serving_deployment import INSTANCE, ServingDeployment
from tests.platform.test_unverified_loads import (
    SERVED_S,
    VERSION,
    assert_only_whole_loads_serve,
    corrupt_chunks,
)

#: Seconds for which the engine stops, and after which the store deletes its entry.
STOP_S = 8.0
EXPIRES_S = 3.6
#: Seconds that each call of the stager takes after the stop, and for how long.
SLOW_CALL_S = 0.4
CALLS_S = 5.0


@pytest.fixture
def deployment(fleet, tmp_path):
    deployment = ServingDeployment(fleet, tmp_path)
    deployment.start()
    yield deployment
    deployment.close()


def declare_and_stop_engine(deployment) -> float:
    """Declares a version; returns when the engine has stopped with the order unread."""
    deployment.engine.next_stop_s = STOP_S
    deployment.declare(VERSION)
    assert deployment.engine.stopped.wait(SERVED_S)
    return time.monotonic()


def expire_entry(deployment, stopped_at: float) -> None:
    """Deletes the entry of the stopped engine, as the store does after three missed heartbeats."""
    time.sleep(max(0.0, stopped_at + EXPIRES_S - time.monotonic()))
    call_standin(deployment.store.port, "PUT", f"/records/keyed.servers/{INSTANCE}")
    wait_until(lambda: "upstream.gone" in deployment.gateway.stdout.read_text())
    assert not deployment.engine.running.is_set()


def test_no_request_runs_on_a_late_load_after_the_entry_expired(deployment):
    """Guards against a gateway that takes the version of a new registry entry for a whole load."""
    stopped_at = declare_and_stop_engine(deployment)
    corrupt_chunks(deployment, stopped_at)
    expire_entry(deployment, stopped_at)
    assert_only_whole_loads_serve(deployment)


def test_no_request_runs_on_a_late_load_of_a_killed_stager_after_the_entry_expired(deployment):
    """Guards against a gateway that forgets the verified load of an engine whose entry expired."""
    stopped_at = declare_and_stop_engine(deployment)
    time.sleep(0.2)
    deployment.kill_stager()
    corrupt_chunks(deployment, stopped_at)
    time.sleep(max(0.0, stopped_at + 2.2 - time.monotonic()))
    deployment.start_stager()
    deployment.engine.faults.call_s = (SLOW_CALL_S, SLOW_CALL_S)
    expire_entry(deployment, stopped_at)
    deployment.engine.running.wait()
    time.sleep(CALLS_S)
    # No version is loaded at this pace: its chunks would be verified too long before the order.
    deployment.engine.faults.call_s = (0.0, 0.0)
    assert_only_whole_loads_serve(deployment)


def test_no_request_runs_on_a_late_load_that_no_stager_has_read_back(deployment):
    """Guards against a gateway that takes the registry for proof while the stager does not run."""
    stopped_at = declare_and_stop_engine(deployment)
    time.sleep(0.2)
    deployment.kill_stager()
    corrupt_chunks(deployment, stopped_at)
    expire_entry(deployment, stopped_at)
    deployment.engine.running.wait()
    time.sleep(2.0)
    assert not deployment.wrong_runs(), len(deployment.wrong_runs())
