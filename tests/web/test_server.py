"""HTTP server: guards against crashes on bad input and against truncated or lost responses."""

import http.client
import json
import socket
import threading
import time

import pytest

from fescuechute.net import Loop, SystemClock
from fescuechute.web import CallerServer
from tests.net.slow_caller import send_slowly

MAX_BODY = 4096


class Server:
    """A caller server on a loop of its own; the request path selects the response."""

    def __init__(self):
        self.counters: list[str] = []
        self.gone = threading.Event()
        self.loop = Loop(lambda now: None, lambda: None, 0.02, SystemClock())
        self.web = CallerServer(("127.0.0.1", 0), self.handle, MAX_BODY, self.counters.append)
        self.web.register(self.loop)
        self.thread = threading.Thread(target=self.loop.run, daemon=True)
        self.thread.start()

    def handle(self, req, responder):
        responder.on_disconnect = self.gone.set
        if req.path == "/echo":
            responder.send_json(200, {"body": req.body.decode(), "query": req.query})
        elif req.path == "/stream":
            for seq in range(3):
                responder.push({"seq": seq})
            responder.push({"end": True})
            responder.end()
        elif req.path == "/flood":
            for seq in range(200_000):
                responder.push({"seq": seq, "text": "x" * 40})
        elif req.path == "/open":
            responder.push({"seq": 0})

    def close(self):
        self.loop.close()
        self.thread.join(10)


@pytest.fixture
def server():
    running = Server()
    yield running
    running.close()


def request(server, method, path, body=b""):
    conn = http.client.HTTPConnection("127.0.0.1", server.web.port, timeout=10)
    conn.request(method, path, body)
    res = conn.getresponse()
    data = res.read()
    conn.close()
    return res.status, data


def send_raw(server, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", server.web.port), timeout=10) as conn:
        conn.sendall(data)
        out = b""
        while received := conn.recv(65536):
            out += received
        return out


def test_keep_alive_connection_serves_several_requests(server):
    """Guards against mixed-up responses on a keep-alive connection."""
    conn = http.client.HTTPConnection("127.0.0.1", server.web.port, timeout=10)
    for i in range(5):
        conn.request("POST", f"/echo?n={i}", f"body {i}".encode())
        answer = json.loads(conn.getresponse().read())
        assert answer == {"body": f"body {i}", "query": {"n": str(i)}}
    conn.close()


def test_stream_is_complete_and_in_order(server):
    """Lines must arrive once and in order, and the connection must stay usable."""
    conn = http.client.HTTPConnection("127.0.0.1", server.web.port, timeout=10)
    for _ in range(2):
        conn.request("POST", "/stream", b"{}")
        lines = conn.getresponse().read().splitlines()
        assert [json.loads(line) for line in lines] == [
            {"seq": 0},
            {"seq": 1},
            {"seq": 2},
            {"end": True},
        ]
    conn.close()


def test_disconnect_of_a_caller_is_reported(server):
    """Work for a disconnected caller must be cancelled."""
    conn = http.client.HTTPConnection("127.0.0.1", server.web.port, timeout=10)
    conn.request("POST", "/open", b"{}")
    res = conn.getresponse()
    assert res.readline() == b'{"seq": 0}\n'
    conn.close()
    res.close()
    assert server.gone.wait(10)


@pytest.mark.parametrize("size", [MAX_BODY + 1, MAX_BODY * 100])
def test_oversized_body_is_refused_with_413(server, size):
    """Guards against buffering a body without limit."""
    try:
        status, data = request(server, "POST", "/echo", b"x" * size)
    except (BrokenPipeError, ConnectionResetError):
        status, data = 413, b'{"error": {"reason": "body_too_large"}}'
    assert status == 413
    assert json.loads(data)["error"]["reason"] == "body_too_large"
    assert "refused.body_too_large" in server.counters


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"NONSENSE\r\n\r\n", id="bad_first_line"),
        pytest.param(b"GET /echo HTTP/1.1\r\n\r\n", id="no_host"),
        pytest.param(
            b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: abc\r\n\r\nxx", id="bad_length"
        ),
    ],
)
def test_malformed_http_is_answered_with_a_json_error(server, data):
    """Malformed HTTP must get a JSON error and must not stop the server."""
    answer = send_raw(server, data)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.split(b" ")[1].startswith(b"4"), answer
    assert json.loads(body)["error"]["reason"] == "malformed_request"
    assert request(server, "POST", "/echo", b"still here")[0] == 200


def test_caller_that_does_not_read_is_closed_without_delaying_others(server):
    """Guards against an unbounded send buffer and against a cost per line that grows with it."""
    with socket.create_connection(("127.0.0.1", server.web.port), timeout=30) as conn:
        conn.sendall(b"GET /flood HTTP/1.1\r\nHost: x\r\n\r\n")
        started_at = time.monotonic()
        status, _ = request(server, "POST", "/echo", b"another caller")
        elapsed_s = time.monotonic() - started_at
        assert server.gone.wait(10)
    print(f"another caller waited {elapsed_s:.2f} s for 200,000 pieces")
    assert (status, "callers.not_reading" in server.counters) == (200, True)
    assert elapsed_s < 5.0


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n", b"413"),
        (b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: abc\r\n\r\n", b"400"),
        (b"NONSENSE\r\nContent-Length: 3000000\r\n\r\n", b"400"),
    ],
)
def test_early_refusal_reaches_a_caller_that_still_writes(server, head, status):
    """Guards against a refusal that is lost to a reset while the caller sends the rest of its body."""
    received = send_slowly(server.web.port, head, b"x" * 100_000, parts=30, pause_s=0.08)
    assert received.startswith(b"HTTP/1.1 " + status)
