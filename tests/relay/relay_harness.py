"""A feed with a relay server, and a relayed log, on a manual clock."""

from random import Random

from fescuechute.feeds import EraWatch, Feed, FeedSettings, RecordBatch, SnapshotPage
from fescuechute.forwarding import ClientRequest
from fescuechute.net import HttpResult, ManualClock
from fescuechute.relay import (
    RelayAddress,
    RelayedLog,
    RelayServer,
    RelayTiming,
    SourceSelector,
    decode_batch,
)

TIMING = RelayTiming.from_config_apply(2.0)
RELAYS = [RelayAddress(f"front-{n}/a", f"10.0.0.{n}", 17703) for n in range(2)]


class FakeStore:
    """Records the calls; the test completes each of them."""

    def __init__(self):
        self.calls = []

    def snapshot(self, topic, after, on_end):
        self.calls.append((("snapshot", after), on_end, None))

    def read(self, topic, offset, wait_s, on_end, on_progress=None):
        self.calls.append((("read", offset, wait_s), on_end, on_progress))


class FakeHttp:
    """Records the calls to relays."""

    def __init__(self):
        self.calls = []

    def call(self, method, server, path, on_end, *, idle_timeout_s):
        self.calls.append((server[0], path, idle_timeout_s, on_end))


class FakeResponse:
    """Keeps the response to one call."""

    def __init__(self):
        self.is_open = True
        self.status = None
        self.body = b""

    def send(self, status, headers, body):
        self.status, self.body, self.is_open = status, body, False

    @property
    def batch(self):
        return decode_batch(self.body, "relay", 0.0)


class Reader:
    """A relay that reads from the store."""

    def __init__(self, superseded_ttl_s=0.0, rank=None):
        self.clock, self.store, self.http = ManualClock(100.0), FakeStore(), FakeHttp()
        selector = SourceSelector("front-0/a", "d", lambda _now: [RELAYS[0]])
        self.eras = EraWatch()
        self.log = RelayedLog(
            self.store, self.http, selector, TIMING, self.clock.now, eras=self.eras
        )
        self.log.relaying = True
        self.server = RelayServer(
            "t", self.log, self.clock.now, lambda _name: None, lambda _key: superseded_ttl_s, rank
        )
        self.feed = Feed(
            self.log,
            FeedSettings("t", 9.0),
            self.clock.now,
            self.server.add,
            self.server.retain,
            lambda _reason: None,
            Random(1),
            self.eras,
        )
        self.server.start(self.feed)

    def complete(self, outcome, after_s=0.0):
        """Starts the due call of the feed and completes it after `after_s`."""
        self.feed.tick(self.clock.time)
        self.clock.advance(after_s)
        _, on_end, _ = self.store.calls.pop()
        on_end(outcome)
        self.server.tick(self.clock.time)

    def load(self, *records):
        """Completes a snapshot."""
        self.complete(SnapshotPage(records, False, records[-1].offset + 1 if records else 0))

    def ask(self, offset, wait_ms=0):
        """Sends a call of another process and returns its response."""
        return self.send(f"/records?topic=t&from={offset}&wait_ms={wait_ms}")

    def send(self, target):
        """Sends any request and returns its response."""
        response = FakeResponse()
        self.server.handle(
            ClientRequest(b"GET", target.encode(), [], b"", self.clock.time, False, response)
        )
        return response


def make_result(status=200, body=b"", error=""):
    return HttpResult(status, body, error, True)


def empty_batch(end):
    return RecordBatch((), end)
