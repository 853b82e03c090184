"""A gateway as a process: guards against faults that only the composed daemon can have."""

import json
import os
import signal
import threading

import pytest

from tests.platform.deployment import Deployment, until


@pytest.fixture
def deployment(fleet, tmp_path) -> Deployment:
    return Deployment(fleet, tmp_path)


def test_not_ready_without_a_configuration(deployment):
    """Guards against clients that get 404 from a process that knows nothing yet."""
    until(lambda: any(line["event"] == "start" for line in deployment.lines()))
    assert not deployment.is_ready()
    answer = deployment.send()
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    deployment.start()


def test_serves_and_says_so(deployment):
    """Guards against changed answers, keys that reach a replica, and requests without a line."""
    deployment.start()
    answer = deployment.send(body=b"load plan")
    assert (answer.status, answer.body) == (200, b"echo load plan")
    assert answer.headers["X-Fescuechute-Response-Seal"] == "seal.9c41"
    (run,) = deployment.runs()
    assert "Authorization" not in run["headers"]
    assert run["headers"]["X-Fescuechute-Tenant"] == "taller"
    until(lambda: any(line["event"] == "request" for line in deployment.lines()))
    line = next(line for line in deployment.lines() if line["event"] == "request")
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
def test_refusals(deployment, name, request_, status):
    """Guards against requests that no configuration allows."""
    deployment.start()
    assert deployment.send(**request_).status == status, name
    assert deployment.runs() == []


def test_a_new_configuration_is_in_force_within_its_promise(deployment):
    """Guards against keys that work after they were taken away."""
    deployment.start()
    deployment.configure(keys=("k2",))
    assert until(lambda: deployment.send(key="k2").status == 200) < 2.0
    assert deployment.send(key="k1").status == 401


def test_keys_are_not_honoured_on_an_old_configuration(deployment):
    """Guards against a revoked key at a gateway that the store turns away."""
    deployment.start()
    deployment.faults(deployment.store, turn_away=True)
    assert deployment.send().status == 200
    until(lambda: deployment.send().status == 503)
    deployment.faults(deployment.store, turn_away=False)
    until(lambda: deployment.send().status == 200)


def test_a_silent_store_does_not_stop_service_at_once(deployment):
    """Guards against an outage of the store that becomes one of the gateway."""
    deployment.start()
    deployment.faults(deployment.store, silent=True)
    assert deployment.send().status == 200
    until(lambda: any(line["event"] == "dependency.lost" for line in deployment.lines()))


def test_a_draining_replica_gets_nothing_after_two_seconds(deployment):
    """Guards against requests at a replica that leaves."""
    deployment.start()
    deployment.register(0, state="draining")
    until(
        lambda: any(
            line["event"] == "upstream" and line["state"] == "draining"
            for line in deployment.lines()
        ),
        2.0,
    )
    before = len(json.loads(deployment._call(deployment.replicas[0].port, "GET", "/runs")))
    for number in range(8):
        assert deployment.send(request_id=f"r{number}").status == 200
    after = len(json.loads(deployment._call(deployment.replicas[0].port, "GET", "/runs")))
    assert after == before


def test_a_replica_withdrawn_after_an_outage_gets_nothing_after_two_seconds(deployment):
    """Guards against a departure that counts as a lease that lapsed during the outage before it."""
    deployment.start()
    deployment.faults(deployment.store, turn_away=True)
    deployment.line("dependency.lost", dependency="store/keyed.servers")
    deployment.faults(deployment.store, turn_away=False)
    returned = deployment.line("dependency.regained", dependency="store/keyed.servers")
    deployment.withdraw(0)
    gone = deployment.line("upstream.gone", upstream="i-0")
    assert gone["at"] - returned["at"] <= 2.2


def test_a_failed_request_runs_once_more_elsewhere(deployment):
    """Guards against failures that a client need not see."""
    deployment.start()
    for replica in deployment.replicas:
        deployment.faults(replica, fail_next=1)
    deployment.send(request_id="first")
    assert len(deployment.runs()) == 2


def test_a_cut_stream_is_resumed(deployment):
    """Guards against missing and doubled events after a crash."""
    deployment.start()
    expected = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 6))
    deployment.faults(deployment.replicas[0], cut_next=1)
    for number in range(8):
        answer = deployment.send(path="/s/stream", request_id=f"s{number}")
        assert answer.body == expected
    resumed = [run for run in deployment.runs() if "Last-Event-ID" in run["headers"]]
    assert [run["headers"]["Last-Event-ID"] for run in resumed] == ["1"]


def test_a_planned_stop_cuts_off_no_request(deployment):
    """Guards against a restart that a client notices."""
    deployment.start()
    for replica in deployment.replicas:
        deployment.faults(replica, delay_s=1.5)
    answers = []
    conn = deployment.connect()
    thread = threading.Thread(target=lambda: answers.append(deployment.send(conn=conn)))
    thread.start()
    until(lambda: len(deployment.runs()) == 1)
    os.kill(deployment.gateway.pid, signal.SIGTERM)
    until(lambda: not deployment.is_ready())
    thread.join(10)
    assert [answer.status for answer in answers] == [200]
    assert answers[0].headers["Connection"] == "close"
    until(lambda: not deployment.gateway.alive)
    assert deployment.lines()[-1]["reason"] == "drained"


def test_a_planned_stop_closes_kept_connections_before_its_grace_ends(deployment):
    """Guards against requests that are taken late in a stop and cut at its end (hunt, LOST)."""
    deployment.start()
    idle = deployment.connect()
    assert deployment.send(conn=idle).status == 200
    for replica in deployment.replicas:
        deployment.faults(replica, delay_s=2.4)
    os.kill(deployment.gateway.pid, signal.SIGTERM)
    until(lambda: not deployment.is_ready())
    until(lambda: deployment.send(request_id="slow").status == 200)
    slow = threading.Thread(target=lambda: deployment.send(request_id="slower"))
    slow.start()
    idle.sock.settimeout(2.0)
    assert idle.sock.recv(1) == b""
    assert slow.is_alive(), "a request that is under way is not cut"
    slow.join(10)


def test_settings_that_change_are_read_again(deployment):
    """Guards against a file that changes without a signal, and against a broken one."""
    deployment.start()
    deployment.settings(heartbeat_ms=900)
    until(lambda: any(line["event"] == "reload" for line in deployment.lines()))
    deployment.settings(ip=7)
    until(lambda: any(line["event"] == "reload.failed" for line in deployment.lines()))
    os.kill(deployment.gateway.pid, signal.SIGHUP)
    assert deployment.send().status == 200
