"""Distribution of configurations within a region."""

import os
import signal
import time

import pytest

from tests.platform.deployment import MODEL_PATH, Deployment, StagerStandIn, wait_until

#: Seconds within which a configuration is in force; `config_apply_ms` of the settings.
CONFIG_APPLY_S = 2.0
#: Seconds from a declaration from which no request may start on older weights; `version_ms`.
VERSION_S = 8.0
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
    wait_until(lambda: has_settled(deployment, gateways))
    # Ends the calls that were sent to the store before the other relays were known.
    deployment.configure(added_routes=0)
    wait_until(
        lambda: all(last_configuration(deployment, n)["version"] == 2 for n in range(gateways))
    )
    return deployment


def has_settled(deployment, gateways):
    """Returns whether all gateways know each other, and two of them are the readers."""
    roles = []
    for number in range(gateways):
        lines = [line for line in deployment.log_lines(number) if line["event"] == "relay.role"]
        roles += lines[-1:]
    known = [line["relays"] == gateways for line in roles]
    return len(known) == gateways and all(known) and sum(line["reader"] for line in roles) == 2


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


def test_configuration_is_in_force_in_time_while_the_readers_are_stopped(fleet, tmp_path, stager):
    """Guards against gateways that wait for relays that do not respond."""
    deployment = start_region(fleet, tmp_path, stager, gateways=5)
    deployment.configure(added_routes=1)
    wait_until(lambda: all(is_in_force(deployment, n, "/added0/x") for n in range(5)))
    sources = [last_configuration(deployment, n)["source"] for n in range(5)]
    readers = [n for n, source in enumerate(sources) if source == "store"]
    assert len(readers) == 2
    others = [n for n in range(5) if n not in readers]
    for n in readers:
        os.kill(deployment.gateways[n].pid, signal.SIGSTOP)
    try:
        deployment.configure(added_routes=2)
        elapsed = wait_until(lambda: all(is_in_force(deployment, n, "/added1/x") for n in others))
    finally:
        for n in readers:
            os.kill(deployment.gateways[n].pid, signal.SIGCONT)
    assert elapsed < CONFIG_APPLY_S


def test_followers_accept_keys_while_the_readers_reach_the_store(fleet, tmp_path, stager):
    """Guards against 503 responses at gateways whose only source is a relay."""
    deployment = start_region(fleet, tmp_path, stager, gateways=4)
    deployment.configure(added_routes=1)
    wait_until(lambda: all(is_in_force(deployment, n, "/added0/x") for n in range(4)))
    # Longer than `revoke_ms`, after which an unconfirmed configuration accepts no keys.
    ends_at = time.monotonic() + 6.0
    while time.monotonic() < ends_at:
        assert all(is_in_force(deployment, n, "/added0/x") for n in range(4))
        time.sleep(0.2)


def test_restarted_gateway_reads_its_first_records_from_a_relay(fleet, tmp_path, stager):
    """Guards against a link to the store that is filled by the snapshots of restarted processes.

    Guards also against requests on old weights: the store does not tell when a version was declared.
    """
    deployment = start_region(fleet, tmp_path, stager, gateways=3)
    deployment.put_record("keyed.op", "version/m", {"model": "m", "version": 2})
    declared_at = time.time()
    for gateway in range(3):
        deployment.wait_for_line("version.declared", gateway, version=2)
    time.sleep(2.0)
    deployment.restart(2)
    line = deployment.wait_for_line("version.declared", 2, version=2)
    assert last_configuration(deployment, 2)["source"] != "store"
    binding_at = line["at"] + line["binding_in_ms"] / 1000
    # The date of a record may be early by the interval of two calls, but never late.
    assert declared_at + VERSION_S - 2.0 <= binding_at <= declared_at + VERSION_S
    deployment.wait_for_line("ready", 2)


@pytest.fixture
def restarted_between_declarations(fleet, tmp_path, stager):
    """A gateway that restarts after versions 2 and 3 were declared, and the time of version 2."""
    deployment = start_region(fleet, tmp_path, stager, gateways=3)
    deployment.configure(has_model=True)
    deployment.run_as_engine(0)
    wait_until(lambda: all(is_in_force(deployment, n, f"{MODEL_PATH}x") for n in range(3)))
    declared_at = 0.0
    for version in (2, 3):
        deployment.put_record("keyed.op", "version/m", {"model": "m", "version": version})
        declared_at = declared_at or time.time()
        for gateway in range(3):
            deployment.wait_for_line("version.declared", gateway, version=version)
        time.sleep(2.0 if version == 2 else 0.0)
    deployment.restart(2)
    deployment.wait_for_line("version.declared", 2, version=3)
    deployment.wait_for_line("ready", 2)
    assert last_configuration(deployment, 2)["source"] != "store"
    return deployment, declared_at


def test_restarted_gateway_keeps_to_the_bound_of_a_superseded_declaration(
    restarted_between_declarations,
):
    """Guards against requests on version 1 after the bound of version 2, which version 3 superseded."""
    deployment, declared_at = restarted_between_declarations
    time.sleep(max(0.0, declared_at + VERSION_S - time.time()))
    # Version 3 was declared 2 s later and binds less than 1 s before its own bound.
    while time.time() < declared_at + VERSION_S + 1.0:
        assert not is_in_force(deployment, 2, f"{MODEL_PATH}x")
        time.sleep(0.1)


def test_restarted_gateway_sends_to_a_version_until_its_bound(restarted_between_declarations):
    """Guards against refusals before the bound because a superseded declaration is not known."""
    deployment, declared_at = restarted_between_declarations
    line = deployment.wait_for_line("version.declared", 2, version=2)
    binding_at = line["at"] + line["binding_in_ms"] / 1000
    assert declared_at + VERSION_S - 2.0 <= binding_at <= declared_at + VERSION_S
    assert line["implied_by"] is None
    assert time.time() < binding_at - 1.0
    while time.time() < binding_at - 1.0:
        assert is_in_force(deployment, 2, f"{MODEL_PATH}x")
        time.sleep(0.1)


def test_declaration_of_unknown_date_binds_at_once(fleet, tmp_path, stager):
    """Guards against requests of a restarted gateway on weights whose bound has passed."""
    deployment = Deployment(fleet, tmp_path)
    deployment.put_record("keyed.op", "version/m", {"model": "m", "version": 2})
    deployment.start()
    line = deployment.wait_for_line("version.declared", version=2)
    assert line["binding_in_ms"] == 0


def test_first_gateway_of_a_region_starts_without_a_relay(fleet, tmp_path, stager):
    """Guards against a region whose gateways wait for each other after a loss of all power."""
    deployment = start_region(fleet, tmp_path, stager, gateways=3)
    for gateway in range(3):
        deployment.restart(gateway)
    started_at = deployment.wait_for_line("start", 2)["at"]
    for gateway in range(3):
        assert deployment.wait_for_line("ready", gateway)["at"] - started_at < CONFIG_APPLY_S


def last_configuration(deployment, gateway):
    lines = [line for line in deployment.log_lines(gateway) if line["event"] == "configuration"]
    return lines[-1]
