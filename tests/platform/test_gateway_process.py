"""The gateway as a process: guards against faults that occur only in the complete daemon."""

import json
import os
import signal
import threading
import time

import pytest

from tests.platform.deployment import Deployment, call_standin, wait_until


@pytest.fixture
def deployment(fleet, tmp_path) -> Deployment:
    return Deployment(fleet, tmp_path)


def test_not_ready_without_a_configuration(deployment):
    """Guards against 404 responses from a gateway that has not read a configuration yet."""
    wait_until(lambda: any(line["event"] == "start" for line in deployment.log_lines()))
    assert not deployment.is_ready()
    answer = deployment.send()
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    deployment.start()


def test_not_ready_before_a_replica_is_known(deployment):
    """Guards against 503 responses from a gateway that read the registry before any replica was in it."""
    deployment.configure()
    deployment.wait_for_line("configuration")
    ends_at = time.monotonic() + 1.5
    while time.monotonic() < ends_at:
        assert not deployment.is_ready()
        time.sleep(0.05)
    deployment.register(0)
    wait_until(deployment.is_ready)
    assert deployment.send().status == 200


def test_request_is_served_logged_and_counted(deployment):
    """Guards against altered responses, API keys sent to replicas, and unlogged requests."""
    deployment.start()
    answer = deployment.send(body=b"load plan")
    assert (answer.status, answer.body) == (200, b"echo load plan")
    assert answer.headers["X-Fescuechute-Response-Seal"] == "seal.9c41"
    (run,) = deployment.executed_requests()
    assert "Authorization" not in run["headers"]
    assert run["headers"]["X-Fescuechute-Tenant"] == "taller"
    wait_until(lambda: any(line["event"] == "request" for line in deployment.log_lines()))
    line = next(line for line in deployment.log_lines() if line["event"] == "request")
    assert (line["id"], line["status"], line["workspace"]) == ("9c41", 200, "taller")
    page = deployment.get(9464, "/metrics").body
    assert b"fescuechute_latency_seconds_bucket" in page


@pytest.mark.parametrize(
    ("name", "request_", "status"),
    [
        ("unknown key", {"key": "k9"}, 401),
        ("no key", {"key": ""}, 401),
        ("unknown path", {"path": "/b/x"}, 404),
        ("unknown host", {"host": "b.example"}, 404),
        ("body over the limit", {"body": b"x" * (2 << 20)}, 413),
    ],
)
def test_invalid_requests_are_refused(deployment, name, request_, status):
    """Guards against forwarding requests that the configuration does not allow."""
    deployment.start()
    assert deployment.send(**request_).status == status, name
    assert deployment.executed_requests() == []


def test_new_configuration_is_applied_in_time(deployment):
    """Guards against API keys that stay valid after their removal from the configuration."""
    deployment.start()
    deployment.configure(keys=("k2",))
    assert wait_until(lambda: deployment.send(key="k2").status == 200) < 2.0
    assert deployment.send(key="k1").status == 401


def test_keys_are_rejected_while_the_configuration_is_stale(deployment):
    """Guards against accepting a revoked key while the store rejects the gateway's calls."""
    deployment.start()
    deployment.set_faults(deployment.store, turn_away=True)
    assert deployment.send().status == 200
    wait_until(lambda: deployment.send().status == 503)
    deployment.set_faults(deployment.store, turn_away=False)
    wait_until(lambda: deployment.send().status == 200)


def test_requests_are_served_when_the_store_stops_responding(deployment):
    """Guards against a store outage that immediately becomes a gateway outage."""
    deployment.start()
    deployment.set_faults(deployment.store, silent=True)
    assert deployment.send().status == 200
    wait_until(lambda: any(line["event"] == "dependency.lost" for line in deployment.log_lines()))


def test_draining_replica_gets_no_requests_after_two_seconds(deployment):
    """Guards against requests sent to a draining replica."""
    deployment.start()
    deployment.register(0, state="draining")
    wait_until(
        lambda: any(
            line["event"] == "upstream" and line["state"] == "draining"
            for line in deployment.log_lines()
        ),
        2.0,
    )
    before = len(json.loads(call_standin(deployment.replicas[0].port, "GET", "/runs")))
    for number in range(8):
        assert deployment.send(request_id=f"r{number}").status == 200
    after = len(json.loads(call_standin(deployment.replicas[0].port, "GET", "/runs")))
    assert after == before


def test_replica_withdrawn_after_an_outage_is_removed_within_two_seconds(deployment):
    """Guards against treating a withdrawal after an outage as a lease that expired during it."""
    deployment.start()
    deployment.set_faults(deployment.store, turn_away=True)
    deployment.wait_for_line("dependency.lost", dependency="store/keyed.servers")
    deployment.set_faults(deployment.store, turn_away=False)
    regained = deployment.wait_for_line("dependency.regained", dependency="store/keyed.servers")
    deployment.withdraw(0)
    gone = deployment.wait_for_line("upstream.gone", upstream="i-0")
    assert gone["at"] - regained["at"] <= 2.2


def test_failed_request_is_retried_once_at_another_replica(deployment):
    """Guards against client-visible failures that a retry would avoid."""
    deployment.start()
    for replica in deployment.replicas:
        deployment.set_faults(replica, fail_next=1)
    deployment.send(request_id="first")
    assert len(deployment.executed_requests()) == 2


def test_interrupted_stream_is_resumed(deployment):
    """Guards against missing and duplicate events after a replica crash."""
    deployment.start()
    expected = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 6))
    deployment.set_faults(deployment.replicas[0], cut_next=1)
    for number in range(8):
        answer = deployment.send(path="/s/stream", request_id=f"s{number}")
        assert answer.body == expected
    resumed = [run for run in deployment.executed_requests() if "Last-Event-ID" in run["headers"]]
    assert [run["headers"]["Last-Event-ID"] for run in resumed] == ["1"]


def test_planned_stop_completes_active_requests(deployment):
    """Guards against a restart that fails requests in flight."""
    deployment.start()
    for replica in deployment.replicas:
        deployment.set_faults(replica, delay_s=1.5)
    answers = []
    conn = deployment.connect()
    thread = threading.Thread(target=lambda: answers.append(deployment.send(conn=conn)))
    thread.start()
    wait_until(lambda: len(deployment.executed_requests()) == 1)
    os.kill(deployment.gateway.pid, signal.SIGTERM)
    wait_until(lambda: not deployment.is_ready())
    thread.join(10)
    assert [answer.status for answer in answers] == [200]
    assert answers[0].headers["Connection"] == "close"
    wait_until(lambda: not deployment.gateway.alive)
    assert deployment.log_lines()[-1]["reason"] == "drained"


def test_planned_stop_closes_idle_connections_before_the_grace_period_ends(deployment):
    """Guards against requests accepted late in a stop and cut off when the process exits.

    They arrive on keep-alive connections that were idle when the stop started, so their clients
    get no response and cannot tell whether they ran.
    """
    deployment.start()
    idle = deployment.connect()
    assert deployment.send(conn=idle).status == 200
    for replica in deployment.replicas:
        deployment.set_faults(replica, delay_s=2.4)
    os.kill(deployment.gateway.pid, signal.SIGTERM)
    wait_until(lambda: not deployment.is_ready())
    wait_until(lambda: deployment.send(request_id="slow").status == 200)
    slow = threading.Thread(target=lambda: deployment.send(request_id="slower"))
    slow.start()
    idle.sock.settimeout(2.0)
    assert idle.sock.recv(1) == b""
    assert slow.is_alive(), "an active request is not interrupted"
    slow.join(10)


def test_changed_settings_are_reloaded(deployment):
    """Guards against missing a change of the file, and against failing on an invalid file."""
    deployment.start()
    deployment.write_settings(heartbeat_ms=900)
    wait_until(lambda: any(line["event"] == "reload" for line in deployment.log_lines()))
    deployment.write_settings(ip=7)
    wait_until(lambda: any(line["event"] == "reload.failed" for line in deployment.log_lines()))
    os.kill(deployment.gateway.pid, signal.SIGHUP)
    assert deployment.send().status == 200
