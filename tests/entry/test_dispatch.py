"""Dispatch: guards against an outage that makes the entry refuse work after the pool is back."""

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


class Owner:
    """Records what became of requests."""

    def __init__(self):
        self.gave_up_reasons = []

    def gave_up(self, row, reason, retry_at):
        self.gave_up_reasons.append(reason)
        row.dispatcher.finish(row)

    def ended(self, row, msg):
        row.dispatcher.settle(row, COST)
        row.dispatcher.finish(row)

    def failed(self, row, reason, msg):
        row.dispatcher.finish(row)


class Rig:
    """A dispatcher with one agent whose messages the test sends."""

    def __init__(self):
        self.clock = ManualClock(1000.0)
        self.sent = []
        self.owner = Owner()
        self.node = SimpleNamespace(
            cfg=SimpleNamespace(ranks=[RankSettings("urgent", 0.0, 1000)], workspaces=[]),
            clock=self.clock,
            count=lambda name: None,
            hub=SimpleNamespace(send=lambda agent, msg: self.sent.append(msg) or True),
            quarantine=SimpleNamespace(started=lambda f: None, ended=lambda f: None),
        )
        self.node.upstreams = UpstreamTable("r", Policy.RANDOM, random.Random(1))
        self.dispatcher = Dispatcher(self.node)
        self.dispatcher.route(RequestRow, self._route)
        self.node.upstreams.link_up(Hello(1, "a", "agent", "r", "d", "b", "m", "engine"))
        self.report("live")
        self.number = 0

    def _route(self, row, now):
        upstream = self.node.upstreams.choose("m", now)
        if upstream is None:
            return None
        row.attempt += 1
        return upstream, row.request_id

    def report(self, state):
        running = len([r for r in self.dispatcher.rows.values() if r.agent_id])
        status = Status(1, "m", "engine", state, running, 0, SLOTS, 1, (), 0.0)
        self.node.upstreams.status("a", status, self.clock.now())

    def submit(self, timeout_s=2.0):
        self.number += 1
        deadline = self.clock.now() + timeout_s
        row = RequestRow(str(self.number), self.owner, None, "w", "urgent", deadline, "m", COST)
        row.__class__.dispatcher = self.dispatcher
        self.dispatcher.submit(row, self.clock.now())

    def run(self, seconds, arrivals_per_step=1, serve=True):
        """Steps of 0.1 s; returns how many submissions were refused."""
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
def test_pool_that_does_not_serve_is_not_taken_for_a_slow_one(state):
    """During a switch of the only replica, requests must wait instead of being refused early."""
    rig = Rig()
    # A backlog teaches the dispatcher the service rate first.
    rig.run(3, arrivals_per_step=6)
    rig.run(3, arrivals_per_step=1)
    rig.report(state)
    assert rig.run(10, serve=False) == 0
    rig.report("live")
    assert rig.run(10) == 0


def test_pool_that_is_too_slow_for_the_deadline_is_refused_early():
    """A live pool without progress must still lead to early refusals."""
    rig = Rig()
    rig.run(3, arrivals_per_step=6)
    assert rig.run(30, arrivals_per_step=6, serve=False) > 0
