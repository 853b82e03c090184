"""A load that the engine accepts long after the stager has verified the staged chunks.

A gateway, a stager and an engine, with requests all the while.
"""

import signal
import time

import pytest

from tests.platform.deployment import wait_until
from tests.platform.serving_deployment import ServingDeployment

VERSION = 2
CORRUPT = [3, 11]
#: Seconds for which the engine, the stager or both stop.
STOP_S = 4.0
#: Seconds from the beginning of the stop until chunks are corrupted.
CORRUPT_AFTER_S = 0.3
#: Seconds after the stop within which the version is served.
SERVED_S = 15.0
#: Seconds for which requests are sent once the version is served.
LATER_S = 1.0


@pytest.fixture
def deployment(fleet, tmp_path):
    deployment = ServingDeployment(fleet, tmp_path)
    deployment.start()
    yield deployment
    deployment.close()


def declare_and_stop_engine(deployment) -> float:
    """Declares a version; returns when the engine has stopped with the order unread."""
    engine = deployment.engine
    engine.next_stop_s = STOP_S
    deployment.declare(VERSION)
    assert engine.stopped.wait(SERVED_S)
    return time.monotonic()


def corrupt_chunks(deployment, stopped_at: float) -> None:
    time.sleep(max(0.0, stopped_at + CORRUPT_AFTER_S - time.monotonic()))
    deployment.engine.corrupt(CORRUPT)


def assert_only_whole_loads_serve(deployment) -> None:
    """Asserts that no request runs on a wrong load, and that the version is served in time."""
    deployment.engine.running.wait()
    served_by = time.monotonic() + SERVED_S
    while not deployment.serves(VERSION) and not deployment.wrong_runs():
        if time.monotonic() > served_by:
            break
        time.sleep(0.05)
    time.sleep(LATER_S)
    wrong = deployment.wrong_runs()
    loads, failed = deployment.engine.loads, deployment.clients.failed
    assert not wrong, f"{len(wrong)} requests ran on a wrong load, the first: {wrong[0]}; {loads}"
    assert deployment.serves(VERSION), f"version {VERSION} is not served: {loads}, {failed}"


def test_no_request_runs_on_a_load_whose_order_was_read_late(deployment):
    """Guards against tokens made with chunks that became corrupt while the order waited unread."""
    stopped_at = declare_and_stop_engine(deployment)
    corrupt_chunks(deployment, stopped_at)
    assert_only_whole_loads_serve(deployment)


def test_no_request_runs_on_a_late_load_of_a_killed_stager(deployment):
    """Guards against a stager that takes the load of its predecessor, read late, for a verified one."""
    stopped_at = declare_and_stop_engine(deployment)
    time.sleep(0.2)
    deployment.kill_stager()
    corrupt_chunks(deployment, stopped_at)
    time.sleep(max(0.0, stopped_at + 2.2 - time.monotonic()))
    deployment.start_stager()
    assert not deployment.engine.running.is_set()
    assert_only_whole_loads_serve(deployment)


def test_no_request_runs_on_a_load_after_a_stop_of_the_whole_vm(deployment):
    """Guards against tokens made on a load whose order waited while engine and stager were stopped."""
    stopped_at = declare_and_stop_engine(deployment)
    deployment.signal(signal.SIGSTOP)
    corrupt_chunks(deployment, stopped_at)
    deployment.engine.running.wait()
    deployment.signal(signal.SIGCONT)
    assert_only_whole_loads_serve(deployment)


def test_load_answered_late_is_verified_without_another_load(deployment):
    """Guards against a second load of a version only because the response to its order came late."""
    engine = deployment.engine
    engine.on_next_load = lambda: deployment.signal(signal.SIGSTOP)
    deployment.declare(VERSION)
    wait_until(lambda: bool(engine.loads))
    time.sleep(STOP_S)
    deployment.signal(signal.SIGCONT)
    continued_at = time.monotonic()
    wait_until(lambda: deployment.serves(VERSION, continued_at), SERVED_S)
    time.sleep(LATER_S)
    assert [(load.version, load.wrong) for load in engine.loads] == [(VERSION, {})]
    assert deployment.wrong_runs() == []
