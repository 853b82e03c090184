"""Odd registry entries over real sockets: guards against machines that end or stop following the list."""

import http.client
import json
import os
import signal
import time
import urllib.parse

import pytest

from tests.platform.deployment import HOST, Deployment, StagerStandIn, wait_until
from tests.platform.test_odd_records import DEEP, HUGE

SOUND = {"service": "app", "address": "127.0.0.1:9", "zone": "z", "slots": 4, "state": "ready"}


def changed(**changes):
    return json.dumps({**SOUND, **changes}).encode()


ODD_ENTRIES = {
    "nested": DEEP,
    "slots": changed(slots=HUGE),
    "digits": b'{"slots":' + b"9" * 5000 + b"}",
    "infinite": changed(born=float("inf")),
    "born": changed(born=1 << 70),
    "port": changed(address="127.0.0.1:70000"),
    "port-0": changed(address="127.0.0.1:0"),
    "ipv6": changed(address="[::1]:80"),
    "host": changed(address="a.invalid:80"),
    "bytes": b"\xff\xfe\x00",
    "surrogate": changed(service="app\ud800"),
    "null\0": changed(),
    "models": changed(models=[{"name": "m", "version": 1 << 64}]),
}


def put_raw(deployment, key, value):
    conn = http.client.HTTPConnection("127.0.0.1", deployment.store.port, timeout=10)
    path = "/records/keyed.servers/" + urllib.parse.quote(key)
    conn.request("PUT", path, body=value)
    assert conn.getresponse().status == 200


def put_odd_entries(deployment):
    for key, value in ODD_ENTRIES.items():
        put_raw(deployment, key, value)


def faults(deployment, gateway=0):
    return [line for line in deployment.log_lines(gateway) if line["event"] == "fault"]


@pytest.fixture
def stager():
    stager = StagerStandIn()
    stager.start()
    yield stager
    stager.close()


@pytest.mark.parametrize("before_start", [True, False])
def test_gateways_follow_the_registry_past_odd_entries(fleet, tmp_path, stager, before_start):
    """Guards against replicas that no gateway learns of, or leaves, after an odd entry."""
    deployment = Deployment(fleet, tmp_path, gateways=3)
    if before_start:
        put_odd_entries(deployment)
    deployment.register_engine(stager.ip)
    deployment.register(0)
    deployment.configure()
    wait_until(deployment.is_ready)
    put_odd_entries(deployment)
    deployment.register(1)
    for gateway in range(3):
        deployment.wait_for_line("upstream", gateway, upstream="i-1")
    put_odd_entries(deployment)
    deployment.register(0, state="draining")
    for gateway in range(3):
        deployment.wait_for_line("upstream", gateway, upstream="i-0", state="draining")
    for gateway in range(3):
        for number in range(6):
            conn = deployment.connect(gateway)
            assert deployment.send(request_id=f"r{number}", conn=conn).status == 200
        lines = deployment.log_lines(gateway)
        invalid = [line["key"] for line in lines if line["event"] == "record.invalid"]
        assert sorted(invalid) == sorted(set(invalid)), "each is logged once"
        assert set(invalid) == set(ODD_ENTRIES)
        assert faults(deployment, gateway) == []
        assert sum(line["event"] == "start" for line in lines) == 1


def test_stager_follows_the_registry_past_odd_entries(fleet, tmp_path):
    """Guards against a stager that does nothing else after an odd entry, and does not even stop."""
    deployment = Deployment(fleet, tmp_path)
    ip = f"127.77.{os.getpid() >> 8 & 127}.{os.getpid() & 255}"
    settings = {**deployment._node_settings(ip, "side-1"), "app": f"{ip}:9", "service": "app"}
    settings["listen_addrs"] = {}
    path = tmp_path / "side.json"
    path.write_text(json.dumps(settings))
    put_odd_entries(deployment)
    stager = fleet.spawn_module("fescuechute", "stager", "--settings", str(path), name="stager")
    put_odd_entries(deployment)
    deployment.put_record("keyed.op", "version/m", {"model": "m", "version": 1})

    def lines():
        return [json.loads(line) for line in stager.stdout.read_text().splitlines()]

    wait_until(
        lambda: (
            {line["key"] for line in lines() if line["event"] == "record.invalid"}
            == set(ODD_ENTRIES)
        )
    )
    time.sleep(1.0)
    assert [line for line in lines() if line["event"] == "fault"] == []
    os.kill(stager.pid, signal.SIGTERM)
    assert wait_until(lambda: not stager.alive) < 3.0
    assert lines()[-1]["reason"] == "stopped"


def test_request_with_a_huge_deadline_is_answered(fleet, tmp_path):
    """Guards against a connection without an answer because of a number in a request."""
    deployment = Deployment(fleet, tmp_path)
    deployment.start()
    conn = deployment.connect()
    headers = {"Host": HOST, "X-Fescuechute-Request-Id": "9c41", "Authorization": "Token k1"}
    headers["X-Fescuechute-Deadline-Ms"] = "9" * 5000
    conn.request("POST", "/a/x", body=b"body", headers=headers)
    assert conn.getresponse().status == 200
