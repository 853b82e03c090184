"""Polls of the VM list: guards against a list whose size breaks the budget for control."""

import json

from fescuechute.membership import Directory
from fescuechute.net import HttpResult, ManualClock
from fescuechute.node import VmListPoller


class Http:
    """Answers every call at once."""

    def __init__(self, body: bytes):
        self.body = body
        self.calls = 0

    def call(self, method, server, path, on_end):
        self.calls += 1
        on_end(HttpResult(200, self.body, "", sent=True))


def polls(rows: int, seconds: int) -> tuple[int, int]:
    """Returns polls and bytes in a time."""
    vm = {"id": "a", "role": "agent", "address": "10.0.0.1", "link_port": 1, "http_port": 0}
    vm |= {"region": "r", "data_centre": "d", "upstream": "m", "kind": "engine", "state": "live"}
    body = json.dumps({"as_of": 1.0, "vms": [{**vm, "id": f"a{n}"} for n in range(rows)]}).encode()
    http, clock = Http(body), ManualClock(1000.0)
    poller = VmListPoller(
        ("127.0.0.1", 1), http, Directory(), clock, lambda: None, lambda name: None
    )
    for _ in range(seconds * 10):
        poller.tick(clock.now())
        clock.advance(0.1)
    return http.calls, http.calls * len(body)


def test_short_list_is_read_every_second():
    """At the size of today a new VM must be found within a second or two."""
    assert polls(rows=20, seconds=20)[0] >= 18


def test_long_list_keeps_the_budget_of_bytes():
    """With 5,460 VMs one read has 1.2 MB; a node may spend 23 KB/s on control."""
    calls, size = polls(rows=5460, seconds=600)
    assert calls >= 2
    assert size / 600 < 23_000
