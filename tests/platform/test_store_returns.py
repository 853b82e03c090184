"""Returns of the store to a copy at gateway processes: guards against what a lost stretch leaves behind."""

import json
import os
import signal
import threading
import time

import pytest

from tests.platform.deployment import MODEL_PATH, StagerStandIn, call_standin, wait_until
from tests.platform.test_configuration_relay import (
    CONFIG_APPLY_S,
    VERSION_S,
    is_in_force,
    start_region,
)

GATEWAYS = 3
REVOKED_KEY = "k2"
DROPPED_PATH = "/added0/x"
#: Seconds for which replicas may take to register again, of PROTOCOL.md.
REGISTRATION_S = 2.0
#: Seconds after which a replica is no longer new to a gateway; longer than some heartbeats.
SETTLED_S = 6.0


@pytest.fixture
def stager():
    stager = StagerStandIn()
    stager.start()
    yield stager
    stager.close()


@pytest.fixture
def region(fleet, tmp_path, stager):
    """Gateways of one region that are in step with the store."""
    return start_region(fleet, tmp_path, stager, GATEWAYS)


def call_store(deployment, path, **body):
    return json.loads(call_standin(deployment.store.port, "POST", path, body))


def take_copy(deployment):
    call_store(deployment, "/copy")


def come_back(deployment):
    """Lets the store come back from the last copy; calls are reset for a moment."""
    call_store(deployment, "/return", age_s="copy", away_s=0.3, connections="reset")


def configure(deployment, **changes):
    """Writes a configuration and waits until all gateways have applied it."""
    version = deployment.configure(**changes)
    for gateway in range(GATEWAYS):
        deployment.wait_for_line("configuration", gateway, version=version)


def status(deployment, gateway, path="/a/x", key="k1"):
    """Returns the status of a request, 0 if the gateway does not accept connections."""
    try:
        return deployment.send(path, key, conn=deployment.connect(gateway)).status
    except OSError:
        return 0


def knows_all_for(deployment, gateway, seconds):
    """Returns whether a gateway has not learned of any replica for some seconds."""
    lines = [line for line in deployment.log_lines(gateway) if line["event"] == "upstream"]
    return bool(lines) and time.time() - lines[-1]["at"] > seconds


def assert_taken_away(deployment, gateway):
    """Checks that a gateway serves neither the revoked key nor the dropped route."""
    assert status(deployment, gateway, key=REVOKED_KEY) in (0, 401, 503)
    assert status(deployment, gateway, path=DROPPED_PATH) in (0, 404, 503)


@pytest.mark.parametrize("restarted", [None, 2])
def test_older_configuration_of_the_copy_is_not_served(region, restarted):
    """Guards against revoked keys and dropped routes that the copy brings back.

    Guards also against replicas that followers lose because their entries are the same as before.
    """
    wait_until(lambda: all(knows_all_for(region, n, SETTLED_S) for n in range(GATEWAYS)))
    configure(region, keys=("k1", REVOKED_KEY), added_routes=1)
    assert is_in_force(region, 0, DROPPED_PATH)
    take_copy(region)
    configure(region)
    come_back(region)
    if restarted is not None:
        region.restart(restarted)
    ends_at = time.monotonic() + 3.0
    while time.monotonic() < ends_at:
        for gateway in range(GATEWAYS):
            assert_taken_away(region, gateway)
            assert gateway == restarted or status(region, gateway) == 200
        time.sleep(0.1)
    call_store(region, "/rewrite")
    wait_until(lambda: all(status(region, n) == 200 for n in range(GATEWAYS)))
    for gateway in range(GATEWAYS):
        assert status(region, gateway, key=REVOKED_KEY) == 401
        assert status(region, gateway, path=DROPPED_PATH) == 404


def test_version_that_is_written_again_keeps_its_first_bound(region):
    """Guards against a bound on old weights that starts anew, also at a gateway that starts later."""
    configure(region, has_model=True)
    region.run_as_engine(0)
    wait_until(lambda: all(is_in_force(region, n, f"{MODEL_PATH}x") for n in range(GATEWAYS)))
    take_copy(region)
    region.put_record("keyed.op", "version/m", {"model": "m", "version": 2})
    declared_at = time.time()
    for gateway in range(GATEWAYS):
        region.wait_for_line("version.declared", gateway, version=2)
    time.sleep(max(0.0, declared_at + 3.0 - time.time()))
    come_back(region)
    call_store(region, "/rewrite", after_s=1.0)
    wait_until(lambda: not json.loads(call_standin(region.store.port, "GET", "/lost")))
    region.restart(2)
    region.wait_for_line("ready", 2)
    time.sleep(max(0.0, declared_at + VERSION_S - time.time()))
    # The bound of the second writing is 4 s later.
    while time.time() < declared_at + VERSION_S + 3.0:
        for gateway in range(GATEWAYS):
            assert status(region, gateway, path=f"{MODEL_PATH}x") != 200
        time.sleep(0.1)


@pytest.mark.parametrize("stopped", [None, 0, 1, 2])
@pytest.mark.parametrize("passes_offsets", [False, True])
def test_configuration_at_a_reused_offset_is_in_force_in_time(region, stopped, passes_offsets):
    """Guards against processes that read on from an offset of the lost stretch."""
    take_copy(region)
    configure(region, added_routes=1)
    configure(region, added_routes=2)
    if stopped is not None:
        os.kill(region.gateways[stopped].pid, signal.SIGSTOP)
    try:
        come_back(region)
        region.configure(added_routes=3)
        acknowledged_at = time.monotonic()
        for number in range(4 if passes_offsets else 0):
            region.put_record("keyed.op", f"other/{number}", {})
        running = [n for n in range(GATEWAYS) if n != stopped]
        wait_until(lambda: all(is_in_force(region, n, "/added2/x") for n in running))
        assert time.monotonic() - acknowledged_at < CONFIG_APPLY_S
    finally:
        if stopped is not None:
            os.kill(region.gateways[stopped].pid, signal.SIGCONT)
    assert (
        wait_until(lambda: status(region, stopped or 0, path="/added2/x") == 200) < CONFIG_APPLY_S
    )


def test_replica_that_the_copy_lacks_is_used_until_it_registers_again(region):
    """Guards against replicas that are given up because the store forgot them."""
    region.withdraw(1)
    for gateway in range(GATEWAYS):
        region.wait_for_line("upstream.gone", gateway, upstream="i-1")
    take_copy(region)
    region.register(1, born=7, sequence=1)
    for gateway in range(GATEWAYS):
        wait_until(lambda gateway=gateway: uses(region, gateway, "i-1"))
    come_back(region)
    returned_at = time.monotonic()
    registered = threading.Event()

    def register_again():
        # Another record has the offset of the lost entry when the replica writes its own.
        region.register(0, born=5, sequence=2)
        region.register(1, born=7, sequence=2)
        assert time.monotonic() - returned_at < REGISTRATION_S, "the test was late itself"
        registered.set()

    timer = threading.Timer(0.75 * REGISTRATION_S, register_again)
    timer.start()
    while time.monotonic() < returned_at + 3 * REGISTRATION_S:
        for gateway in range(GATEWAYS):
            assert uses(region, gateway, "i-1")
        time.sleep(0.1)
    timer.join()
    assert registered.is_set()


def uses(deployment, gateway, instance):
    """Returns whether the last log line of a gateway about a replica says that it is known."""
    lines = [line for line in deployment.log_lines(gateway) if line.get("upstream") == instance]
    events = [line["event"] for line in lines if line["event"].startswith("upstream")]
    return bool(events) and events[-1] == "upstream"
