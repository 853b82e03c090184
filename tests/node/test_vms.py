"""Tests of VM list polling: the poll interval must respect the control traffic budget."""

import json

from fescuechute.membership import Directory
from fescuechute.net import HttpResult, ManualClock
from fescuechute.node import VmListPoller


class FakeHttpClient:
    """HTTP client that answers every call immediately."""

    def __init__(self, body: bytes):
        self.body = body
        self.calls = 0

    def call(self, method, server, path, on_end):
        self.calls += 1
        on_end(HttpResult(200, self.body, "", sent=True))


def run_polls(rows: int, seconds: int) -> tuple[int, int]:
    """Runs a poller for a time span and returns the number of polls and the bytes received."""
    vm = {"id": "a", "role": "agent", "address": "10.0.0.1", "link_port": 1, "http_port": 0}
    vm |= {"region": "r", "data_centre": "d", "upstream": "m", "kind": "engine", "state": "live"}
    body = json.dumps({"as_of": 1.0, "vms": [{**vm, "id": f"a{n}"} for n in range(rows)]}).encode()
    http, clock = FakeHttpClient(body), ManualClock(1000.0)
    poller = VmListPoller(
        ("127.0.0.1", 1), http, Directory(), clock, lambda: None, lambda name: None
    )
    for _ in range(seconds * 10):
        poller.tick(clock.now())
        clock.advance(0.1)
    return http.calls, http.calls * len(body)


def test_short_list_is_polled_every_second():
    """With a short list, a new VM must be discovered within one or two seconds."""
    assert run_polls(rows=20, seconds=20)[0] >= 18


def test_long_list_stays_within_the_byte_budget():
    """The list of 5,460 VMs takes 1.2 MB per poll; the control budget of a node is 23 KB/s."""
    calls, byte_count = run_polls(rows=5460, seconds=600)
    assert calls >= 2
    assert byte_count / 600 < 23_000
