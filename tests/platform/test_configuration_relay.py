"""Distribution of configurations within a region."""

import pytest

from tests.platform.deployment import Deployment, StagerStandIn, wait_until

#: Seconds within which a configuration is in force; `config_apply_ms` of the settings.
CONFIG_APPLY_S = 2.0
#: A configuration of 1,000 routes takes about 200 KB, so two copies cross the link in time.
ADDED_ROUTES = 1000
LINK_BYTES_S = 400_000


@pytest.fixture
def stager():
    stager = StagerStandIn()
    stager.start()
    yield stager
    stager.close()


def start_region(fleet, tmp_path, stager, gateways):
    """Starts gateways of one region and waits until they know each other."""
    deployment = Deployment(fleet, tmp_path, gateways=gateways)
    deployment.register_engine(stager.ip)
    deployment.start()
    wait_until(lambda: len([n for n in stager.greeted.values() if n >= 3]) == gateways)
    return deployment


def is_in_force(deployment, gateway, path):
    return deployment.send(path=path, conn=deployment.connect(gateway)).status == 200


def test_large_configuration_is_in_force_in_time_behind_a_shared_link(fleet, tmp_path, stager):
    """Guards against one copy per VM on the link to the store, which made configurations late."""
    deployment = start_region(fleet, tmp_path, stager, gateways=6)
    deployment.set_faults(deployment.store, link_bytes_s=LINK_BYTES_S)
    deployment.configure(added_routes=ADDED_ROUTES)
    path = f"/added{ADDED_ROUTES - 1}/x"
    elapsed = wait_until(lambda: all(is_in_force(deployment, n, path) for n in range(6)))
    assert elapsed < CONFIG_APPLY_S
