"""Tests of the dispatcher.

They guard against early refusals during and after an outage of a pool: the time without a live upstream
must not lower the estimated service rate.
"""

import random
from types import SimpleNamespace

import pytest

from fescuechute.entry._dispatch import Dispatcher
from fescuechute.entry._rows import RequestRow
from fescuechute.entry._upstreams import UpstreamTable
from fescuechute.errors import Reason, RefusedError
from fescuechute.net import ManualClock
from fescuechute.routing import Policy
from fescuechute.settings import RankSettings
from fescuechute.wire import End, Hello, Status

COST = 20.0
SLOTS = 4


class RecordingHandler:
    """Records why requests were given up and finishes all requests."""

    def __init__(self):
        self.give_up_reasons = []

    def handle_give_up(self, row, reason, retry_at):
        self.give_up_reasons.append(reason)
        row.dispatcher.finish(row)

    def handle_end(self, row, msg):
        row.dispatcher.report_usage(row, COST)
        row.dispatcher.finish(row)

    def handle_failure(self, row, reason, msg):
        row.dispatcher.finish(row)


class Rig:
    """A dispatcher with one agent, whose messages the test sends."""

    def __init__(self):
        self.clock = ManualClock(1000.0)
        self.sent = []
        self.handler = RecordingHandler()
        self.node = SimpleNamespace(
            cfg=SimpleNamespace(ranks=[RankSettings("urgent", 0.0, 1000)], workspaces=[]),
            clock=self.clock,
            count=lambda name: None,
            hub=SimpleNamespace(send=lambda agent, msg: self.sent.append(msg) or True),
            quarantine=SimpleNamespace(record_start=lambda f: None, record_end=lambda f: None),
        )
        self.node.upstreams = UpstreamTable("r", Policy.RANDOM, random.Random(1))
        self.dispatcher = Dispatcher(self.node)
        self.dispatcher.register_route(RequestRow, self._route)
        self.node.upstreams.link_up(Hello(1, "a", "agent", "r", "d", "b", "m", "engine"))
        self.report("live")
        self.last_request_number = 0

    def _route(self, row, now):
        upstream = self.node.upstreams.choose("m", now)
        if upstream is None:
            return None
        row.attempt += 1
        return upstream, row.request_id

    def report(self, state):
        running = len([r for r in self.dispatcher.rows.values() if r.agent_id])
        status = Status(1, "m", "engine", state, running, 0, SLOTS, 1, (), 0.0)
        self.node.upstreams.apply_report("a", status, self.clock.now())

    def submit(self, timeout_s=2.0):
        self.last_request_number += 1
        deadline = self.clock.now() + timeout_s
        row = RequestRow(
            str(self.last_request_number), self.handler, None, "w", "urgent", deadline, "m", COST
        )
        row.__class__.dispatcher = self.dispatcher
        self.dispatcher.submit(row, self.clock.now())

    def run(self, seconds, arrivals_per_step=1, serve=True):
        """Runs steps of 0.1 s and returns the number of refused submissions."""
        refused = 0
        for _ in range(int(seconds * 10)):
            for _ in range(arrivals_per_step):
                try:
                    self.submit()
                except RefusedError as exc:
                    assert exc.reason is Reason.DEADLINE_UNREACHABLE
                    refused += 1
            if serve:
                for row in [r for r in self.dispatcher.rows.values() if r.agent_id]:
                    self.dispatcher.on_end("a", End(row.request_id, row.attempt, 1, "", "", ""))
            self.dispatcher.tick(self.clock.now())
            self.clock.advance(0.1)
        return refused


@pytest.mark.parametrize("state", ["switching", "draining"])
def test_pool_without_live_upstream_does_not_lower_the_service_rate(state):
    """While the only replica switches or drains, requests must be queued, not refused early."""
    rig = Rig()
    # With a backlog, the dispatcher estimates the service rate.
    rig.run(3, arrivals_per_step=6)
    rig.run(3, arrivals_per_step=1)
    rig.report(state)
    assert rig.run(10, serve=False) == 0
    rig.report("live")
    assert rig.run(10) == 0


def test_requests_to_a_pool_too_slow_for_their_deadline_are_refused_early():
    """If a live pool makes no progress, requests must be refused early."""
    rig = Rig()
    rig.run(3, arrivals_per_step=6)
    assert rig.run(30, arrivals_per_step=6, serve=False) > 0
