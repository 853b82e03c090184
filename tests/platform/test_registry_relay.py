"""Distribution of the registry within a region."""

import json
import os
import signal
import threading
import time

import pytest

from tests.platform.deployment import Deployment, StagerStandIn, call_standin, wait_until
from tests.platform.test_configuration_relay import has_settled

GATEWAYS = 5
#: Seconds after which a leaving replica gets no new requests; `drain_ms` of the settings.
DRAIN_S = 2.0
REGISTRY = "keyed.servers"


@pytest.fixture
def region(fleet, tmp_path):
    """Gateways of one region that know each other, and the instances that they use."""
    stager = StagerStandIn()
    stager.start()
    deployment = Deployment(fleet, tmp_path, replicas=2, gateways=GATEWAYS)
    deployment.register_engine(stager.ip)
    deployment.start()
    wait_until(lambda: has_settled(deployment, GATEWAYS))
    # Ends the calls that were sent to the store before the other relays were known.
    deployment.configure(added_routes=1)
    wait_until(lambda: all(is_known(deployment, n, "configuration", version=2) for n in range(5)))
    yield deployment
    stager.close()


def is_known(deployment, gateway, event, **fields):
    wanted = {"event": event, **fields}.items()
    return any(wanted <= line.items() for line in deployment.log_lines(gateway))


def readers(deployment):
    """Returns the gateways that read the operators' records from the store, and so the registry."""
    found = []
    for gateway in range(GATEWAYS):
        lines = [line for line in deployment.log_lines(gateway) if line["event"] == "configuration"]
        if lines[-1]["source"] == "store":
            found.append(gateway)
    return found


def reads(deployment):
    """Returns the calls and bytes of the registry that the store has served."""
    return json.loads(call_standin(deployment.store.port, "GET", "/reads"))[REGISTRY]


def wait_for_all(deployment, gateways, event, **fields):
    return wait_until(
        lambda: all(is_known(deployment, gateway, event, **fields) for gateway in gateways)
    )


class Heartbeats:
    """Writes the entry of a replica again and again, as replicas do."""

    def __init__(self, deployment, index):
        self._deployment, self._index = deployment, index
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._write, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_exc):
        self._stopped.set()
        self._thread.join()

    def _write(self):
        while not self._stopped.wait(0.05):
            self._deployment.register(self._index)


def test_heartbeats_are_read_by_the_readers_only(region):
    """Guards against a link to the store that is filled by each process reading each heartbeat."""
    with Heartbeats(region, 0):
        time.sleep(1.0)
        before = reads(region)
        started_at = time.monotonic()
        time.sleep(3.0)
        elapsed_s = time.monotonic() - started_at
        calls = reads(region)[0] - before[0]
    # Two readers call once a second; one more for the edges of the time.
    assert calls <= 2 * (elapsed_s + 1)


def test_draining_replica_is_known_everywhere_in_time(region):
    """Guards against requests to a leaving replica from gateways that do not read the store."""
    with Heartbeats(region, 1):
        region.register(0, state="draining")
        elapsed = wait_for_all(
            region, range(GATEWAYS), "upstream", upstream="i-0", state="draining"
        )
        assert elapsed < DRAIN_S
        region.withdraw(0)
        assert wait_for_all(region, range(GATEWAYS), "upstream.gone", upstream="i-0") < DRAIN_S


def test_draining_replica_is_known_in_time_while_a_reader_is_stopped(region):
    """Guards against gateways that wait for a relay that does not respond."""
    stopped = readers(region)[0]
    others = [gateway for gateway in range(GATEWAYS) if gateway != stopped]
    os.kill(region.gateways[stopped].pid, signal.SIGSTOP)
    try:
        region.register(0, state="draining")
        elapsed = wait_for_all(region, others, "upstream", upstream="i-0", state="draining")
    finally:
        os.kill(region.gateways[stopped].pid, signal.SIGCONT)
    assert elapsed < DRAIN_S


def test_moved_replica_is_used_at_its_new_address(region):
    """Guards against requests to an address that another replica has taken over."""
    region.withdraw(0)
    wait_for_all(region, range(GATEWAYS), "upstream.gone", upstream="i-0")
    region.register(0)
    wait_until(
        lambda: all(
            len([line for line in region.log_lines(n) if line.get("upstream") == "i-0"]) >= 3
            for n in range(GATEWAYS)
        )
    )
    for gateway in range(GATEWAYS):
        for number in range(6):
            conn = region.connect(gateway)
            assert region.send(request_id=f"{gateway}-{number}", conn=conn).status == 200


def test_entry_that_lapsed_in_an_outage_may_return_at_every_gateway(region):
    """Guards against replicas that are given up by the gateways which did not notice the outage."""
    region.set_faults(region.store, turn_away=True)
    for gateway in readers(region):
        region.wait_for_line("dependency.lost", gateway, dependency=f"store/{REGISTRY}")
    region.withdraw(0)
    region.set_faults(region.store, turn_away=False)
    time.sleep(1.0)
    region.register(0)
    time.sleep(1.5)
    for gateway in range(GATEWAYS):
        assert not is_known(region, gateway, "upstream.gone", upstream="i-0"), gateway
