"""Crashes of replicas, seen by several gateways: guards against false accusations and lost reports."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import pytest

from fescuechute.catalog import Registration, UpstreamState
from fescuechute.checks import Address
from fescuechute.gateway import CrashMonitor, UpstreamRow
from fescuechute.stager import CrashRelay
from fescuechute.wire import AnswerReport, CrashReport

D, W = b"deadly--", b"shared--"


class Telemetry:
    """Records the names and reasons of events."""

    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields.get("reason", "")))

    def count(self, name, reason=""):
        self.events.append((name, reason))


class Network:
    """Gateways that exchange reports through relays."""

    def __init__(self, gateways=3, relays=2):
        self.now = 1000.0
        #: Whether connections are refused after a loss.
        self.refused = True
        self.registered = True
        self.names = {f"g{n}": (f"g{n}", 1) for n in range(gateways)}
        self.relays = {
            (f"s{n}", 1): CrashRelay(lambda _now: self.names, self._to_gateway)
            for n in range(relays)
        }
        self.gateways = {name: self._make_gateway(seed) for seed, name in enumerate(self.names)}

    def _make_gateway(self, seed=1):
        return CrashMonitor(
            lambda _address, on_result: on_result(self.refused),
            lambda _row: self.registered,
            lambda: list(self.relays),
            lambda to, msg: self.relays[to].receive(msg, self.now),
            lambda: len(self.names),
            lambda: self.now,
            Random(seed),
            Telemetry(),
        )

    def _to_gateway(self, address, msg):
        gateways = getattr(self, "gateways", {})
        if address[0] in gateways:
            gateways[address[0]].receive(msg)

    def advance(self, seconds=0.3):
        self.now += seconds
        for gateway in self.gateways.values():
            gateway.tick(self.now)
        for relay in self.relays.values():
            relay.tick(self.now)

    def crash(self, name, number, *contents, state=UpstreamState.READY, leaving=False):
        entry = Registration(f"i-{number}", "app", Address("10.0.0.1", 1), "z", state, 4)
        self.gateways[name].record_loss(UpstreamRow(entry, "r", leaving=leaving), contents)

    def quarantined(self):
        return {name: set(g.quarantined([D, W])) for name, g in self.gateways.items()}


def test_crashes_seen_by_different_gateways_add_up():
    """Guards against as many crashes as there are gateways."""
    network = Network()
    for number, name in enumerate(network.names):
        network.crash(name, number, D)
    assert network.quarantined() == {"g0": {D}, "g1": {D}, "g2": {D}}


def test_content_answered_at_one_gateway_is_cleared_at_all():
    """Guards against the refusal of sound requests that share a part with those that crash."""
    network = Network()
    network.gateways["g1"].record_answer([W])
    for number in range(3):
        network.crash("g0", number, D, W)
    network.advance()
    assert network.quarantined() == {"g0": {D}, "g1": {D}, "g2": {D}}


def test_restarted_gateway_learns_the_quarantine():
    """Guards against further crashes after the restart of a gateway."""
    network = Network()
    for number in range(3):
        network.crash("g0", number, D, W)
    network.gateways["g1"].record_answer([W])
    network.advance()
    del network.names["g2"]
    network.advance()
    network.gateways["g2"] = network._make_gateway()
    network.names["g2 again"] = ("g2", 1)
    network.advance()
    assert network.quarantined()["g2"] == {D}


@pytest.mark.parametrize(
    ("name", "refused", "registered", "state", "crashes"),
    [
        ("crash", True, True, UpstreamState.READY, True),
        ("lost connection", False, True, UpstreamState.READY, False),
        ("removed from the registry", True, False, UpstreamState.READY, False),
        ("planned stop", True, True, UpstreamState.DRAINING, False),
    ],
)
def test_what_counts_as_a_crash(name, refused, registered, state, crashes):
    """Guards against sound contents that are accused of cut links and planned stops."""
    network = Network()
    network.refused, network.registered = refused, registered
    for number in range(4):
        network.crash("g0", number, D, state=state)
    assert bool(network.quarantined()["g0"]) is crashes, name


def test_stop_that_a_replica_announced_is_no_crash():
    """Guards against sound contents that are accused of a stop before the registry shows it."""
    network = Network()
    for number in range(4):
        network.crash("g0", number, D, leaving=True)
    assert network.quarantined()["g0"] == set()


def test_real_crash_after_a_lost_connection_is_noticed():
    """Guards against a lost connection that hides the crash of the same replica."""
    network = Network()
    network.refused = False
    for number in range(3):
        network.crash("g0", number, W)
    network.refused = True
    for number in range(3):
        network.crash("g0", number, D)
    assert network.quarantined()["g0"] == {D}


def test_losses_of_one_crash_count_once():
    """Guards against a quarantine of all contents of a busy replica after its crash."""
    network = Network()
    for name in network.names:
        for _ in range(4):
            network.crash(name, 1, D)
    assert network.quarantined() == {"g0": set(), "g1": set(), "g2": set()}


@pytest.mark.parametrize("gateways", [1, 4, 12])
def test_content_that_still_crashes_replicas_costs_few_after_its_quarantine(gateways):
    """Guards against a crash for each gateway whenever a quarantine ends, and against endless ones."""
    network = Network(gateways)
    for number in range(3):
        network.crash("g0", number, D)
    crashed_at = []
    running = {}
    while network.now < 2000.0:
        for name, gateway in network.gateways.items():
            if running.get(name, network.now + 1) <= network.now:
                del running[name]
                crashed_at.append(network.now)
                network.crash(name, 100 + len(crashed_at), D)
            if name not in running and gateway.may_send([D]):
                running[name] = network.now + 0.3
        network.advance(0.1)
    # The fifth crash in all is the second one here; three more requests may follow in a day.
    assert 2 <= len(crashed_at) <= 5


def test_content_answered_on_trial_is_free_at_all_gateways():
    """Guards against a sound content that stays refused at some gateways."""
    network = Network()
    for number in range(3):
        network.crash("g0", number, W)
    assert not any(gateway.may_send([W]) for gateway in network.gateways.values())
    network.advance(30.5)
    while not network.gateways["g1"].may_send([W]):
        network.advance(0.1)
    assert not network.gateways["g1"].may_send([W])
    network.gateways["g1"].record_answer([W])
    network.advance()
    for gateway in network.gateways.values():
        assert gateway.may_send([W]) and gateway.may_send([W])


@pytest.mark.parametrize(
    "msg",
    [
        CrashReport("i-1", 1, (b"short",)),
        CrashReport("i-1", 1, tuple(b"%08d" % n for n in range(300))),
        CrashReport("i" * 1000, 1, (D,)),
        AnswerReport((b"too long to be one",), 5),
    ],
)
def test_invalid_report_is_counted_and_dropped(msg):
    """Guards against reports that fill the memory of all gateways."""
    gateway = Network().gateways["g0"]
    gateway.receive(msg)
    assert [name for name, _ in gateway._telemetry.events] == ["crash_report.invalid"]
    gateway.tick(2000.0)


def test_reports_are_forwarded_once_and_within_a_rate():
    """Guards against a link that is filled by reports."""
    sent = []
    gateways = {f"g{n}": (f"g{n}", 1) for n in range(100)}
    relay = CrashRelay(lambda _now: gateways, lambda to, msg: sent.append((to, msg)))
    clock = SimpleNamespace(now=1000.0)
    for second in range(600):
        for number in range(20):
            msg = CrashReport(f"i-{second}-{number}", 1, (D,) * 10)
            relay.receive(msg, clock.now)
            relay.receive(msg, clock.now)
        clock.now += 1.0
    assert len(set(sent)) == len(sent)
    assert len(sent) * 100 <= 600 * 23_000
