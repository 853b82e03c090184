"""Planned stops of a gateway, in calm: guards against requests that end without an answer.

Times count from SIGTERM; the grace period of the settings is 8 s.
"""

import http.client
import os
import signal
import socket
import threading
import time

import pytest

from tests.platform.deployment import HOST, Deployment, wait_until

GRACE_S = 8.0
#: The platform ends the process at the end of the grace period, so an answer must be out before.
ANSWERED_BY_S = 7.5
FIELDS = {
    "Host": HOST,
    "X-Fescuechute-Request-Id": "9c41",
    "Authorization": "Token k1",
    "X-Fescuechute-Deadline-Ms": "20000",
}


@pytest.fixture
def deployment(fleet, tmp_path) -> Deployment:
    deployment = Deployment(fleet, tmp_path)
    deployment.start()
    return deployment


def configure(deployment, **changes):
    deployment.configure(**changes)
    deployment.wait_for_line("configuration", version=2)


def terminate(deployment):
    os.kill(deployment.gateway.pid, signal.SIGTERM)
    deployment.wait_for_line("stopping")
    return time.monotonic()


def send(deployment, path, conn=None):
    conn = conn or deployment.connect()
    conn.request("POST", path, body=b"body", headers=FIELDS)
    response = conn.getresponse()
    return response.status, dict(response.getheaders()), response.read()


def delay_replicas(deployment, **faults):
    for replica in deployment.replicas:
        deployment.set_faults(replica, **faults)


@pytest.mark.parametrize(
    ("path", "sent_at_s"), [("/once/x", 0.0), ("/once/x", 2.5), ("/a/x", 2.5), ("/s/stream", 2.5)]
)
def test_request_that_outlasts_the_grace_period_is_answered(deployment, path, sent_at_s):
    """Guards against a client that cannot tell a request in progress from a lost one."""
    configure(deployment, timeout_ms=20000)
    delay_replicas(deployment, delay_s=20.0)
    stopped_at = terminate(deployment)
    time.sleep(sent_at_s)
    status, headers, _ = send(deployment, path)
    assert time.monotonic() - stopped_at <= ANSWERED_BY_S
    assert status == 504
    assert headers["Connection"] == "close"
    assert len(deployment.executed_requests()) == 1
    wait_until(lambda: not deployment.gateway.alive)
    assert time.monotonic() - stopped_at <= GRACE_S


def test_stream_that_outlasts_the_grace_period_is_visibly_incomplete(deployment):
    """Guards against the start of a stream that passes for a whole one."""
    configure(deployment, timeout_ms=20000)
    for replica in deployment.replicas:
        deployment.set_faults(replica, pause_s=1.0, delay_s=4.0)
    terminate(deployment)
    time.sleep(2.0)
    conn = deployment.connect()
    conn.request("POST", "/s/stream", headers=FIELDS)
    response = conn.getresponse()
    with pytest.raises(http.client.IncompleteRead) as caught:
        response.read()
    assert b"token 1" in caught.value.partial


def test_unrepeatable_request_that_cannot_finish_is_refused_at_once(deployment):
    """Guards against a run whose outcome its client never learns."""
    configure(deployment, timeout_ms=20000, target_latency_ms=1500)
    stopped_at = terminate(deployment)
    time.sleep(2.0)
    assert send(deployment, "/a/x")[0] == 200, "one that may be repeated has no margin"
    sent_at = time.monotonic()
    status, headers, _ = send(deployment, "/once/x")
    assert time.monotonic() - sent_at < 0.5
    assert (status, headers["Connection"]) == (503, "close")
    assert float(headers["Retry-After"]) > 0
    assert len(deployment.executed_requests()) == 1
    assert time.monotonic() - stopped_at < 3.0


def test_requests_that_can_finish_are_taken_while_the_balancer_sends_them(deployment):
    """Guards against refusals in the seconds in which the load balancer does not know of the stop."""
    delay_replicas(deployment, delay_s=0.5)
    stopped_at = terminate(deployment)
    while time.monotonic() - stopped_at < 2.2:
        for path in ("/a/x", "/once/x", "/s/stream"):
            assert send(deployment, path)[0] == 200


def test_body_that_completes_after_the_last_accepted_request_is_refused(deployment):
    """Guards against a request that is passed on when too little of the grace period is left."""
    stopped_at = terminate(deployment)
    conn = deployment.connect()
    conn.putrequest("POST", "/once/x", skip_host=True)
    for name, value in {**FIELDS, "Content-Length": "4"}.items():
        conn.putheader(name, value)
    conn.endheaders()
    conn.send(b"bo")
    time.sleep(max(0.0, stopped_at + 4.0 - time.monotonic()))
    conn.send(b"dy")
    assert conn.getresponse().status == 503
    assert deployment.executed_requests() == []


def test_body_that_never_completes_is_answered(deployment):
    """Guards against a client that waits for an answer after the process has ended."""
    stopped_at = terminate(deployment)
    conn = deployment.connect()
    conn.putrequest("POST", "/once/x", skip_host=True)
    for name, value in {**FIELDS, "Content-Length": "4"}.items():
        conn.putheader(name, value)
    conn.endheaders()
    assert conn.getresponse().status == 503
    assert time.monotonic() - stopped_at <= ANSWERED_BY_S


@pytest.mark.parametrize("seconds", [0.5, 3.0])
def test_whole_answer_reaches_a_client_that_reads_slowly(deployment, seconds):
    """Guards against an answer that is cut because the process ends, or its connection does."""
    body = os.urandom(1 << 19) * 2
    body = body[: (1 << 20) - 64]
    delay_replicas(deployment, delay_s=0.5)
    conn = deployment.connect()
    conn.sock = socket.socket()
    conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    conn.sock.connect((conn.host, conn.port))
    conn.request("POST", "/a/x", body=body, headers=FIELDS)
    wait_until(lambda: len(deployment.executed_requests()) == 1)
    stopped_at = terminate(deployment)
    received = bytearray()
    # The head and the first bytes wait in the buffers until the answer is complete at the gateway.
    time.sleep(1.0)
    parts = 64
    while True:
        data = conn.sock.recv(len(body) // parts)
        if not data:
            break
        received += data
        time.sleep(seconds / parts if time.monotonic() - stopped_at < 5.0 else 0.0)
    assert bytes(received).endswith(body[-1000:])
    assert len(received) > len(body)


def test_second_signal_changes_nothing(deployment):
    """Guards against a stop that starts again, or ends at once, at the second SIGTERM."""
    delay_replicas(deployment, delay_s=2.0)
    answers = []
    thread = threading.Thread(target=lambda: answers.append(send(deployment, "/once/x")[0]))
    thread.start()
    wait_until(lambda: len(deployment.executed_requests()) == 1)
    stopped_at = terminate(deployment)
    for _ in range(4):
        time.sleep(0.3)
        os.kill(deployment.gateway.pid, signal.SIGTERM)
    thread.join(10)
    assert answers == [200]
    wait_until(lambda: not deployment.gateway.alive)
    assert 2.5 <= time.monotonic() - stopped_at <= 5.0
    assert sum(line["event"] == "stopping" for line in deployment.log_lines()) == 1


def test_stop_before_the_gateway_is_ready(fleet, tmp_path):
    """Guards against a process that does not end because it has never been ready."""
    deployment = Deployment(fleet, tmp_path)
    deployment.wait_for_line("start")
    stopped_at = terminate(deployment)
    assert send(deployment, "/once/x")[0] == 503
    wait_until(lambda: not deployment.gateway.alive)
    assert time.monotonic() - stopped_at <= 5.0
    assert deployment.log_lines()[-1]["reason"] == "drained"
