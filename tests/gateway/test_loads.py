"""Loads of engines between a gateway and its stagers: guards against reports that grow with both."""

from __future__ import annotations

from collections import Counter

from fescuechute.catalog import EngineReport, LoadedModel, LoadState
from fescuechute.checks import Address
from fescuechute.gateway import LoadListener, SubsetSelector
from fescuechute.stager import LoadReporter
from fescuechute.wire import Load
from tests.gateway.test_subset import table_of

PORT = 7700
STEP_S = 0.05


class Network:
    """Gateways and stagers whose datagrams are delivered at once."""

    def __init__(self, engines_by_zone, gateways_by_region):
        self.now = 100.0
        self.sent: Counter[str] = Counter()
        self.running = Counter()
        self.gateways = {}
        self.stagers = {}
        for region, count in gateways_by_region.items():
            for number in range(count):
                ip = f"11.{region[1:]}.0.{number}"
                table = table_of(engines_by_zone)
                subsets = SubsetSelector(ip, region, table)
                send = self._sender(ip)
                self.gateways[ip] = (LoadListener(ip, ip, PORT, table, subsets, send), table)
        for row in table:
            ip = row.entry.address.ip
            self.stagers[ip] = LoadReporter(Address(ip, 80), self._sender(ip))

    def _sender(self, ip):
        def send(to, msg):
            self.sent[type(msg).__name__] += 1
            if to[0] in self.stagers:
                self.stagers[to[0]].receive(msg, self.now)
            elif to[0] in self.gateways:
                self.gateways[to[0]][0].receive((ip, PORT), msg, self.now)

        return send

    def run(self, seconds):
        """Plays a time in which the load of each engine changes all the time."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += STEP_S
            for listener, _ in self.gateways.values():
                listener.tick(self.now)
            for ip, reporter in self.stagers.items():
                self.running[ip] += 1
                models = (LoadedModel("m", 1),)
                report = EngineReport(models, False, 0, 0, self.running[ip], 0, 0, 1.0, 5)
                reporter.tick(report, LoadState.VERIFIED, self.now)


def test_datagrams_grow_with_the_engines_and_not_with_the_gateways():
    """Guards against links and processors that are filled by load reports.

    Each engine may report ten times a second to the gateways of its region; all others together may
    cost it no more than one report a second each.
    """
    network = Network({f"z{n}": 24 for n in range(5)}, {f"r{n}": 7 for n in range(5)})
    network.run(4.0)
    network.sent.clear()
    network.run(4.0)
    near, far = 120 * 7, 120 * 28
    assert network.sent["Load"] <= 4.0 * (10 * near + 1 * far) * 1.1
    assert network.sent["Greet"] <= 4.0 * (near + far / 2 + 35 * 4) * 1.1
    assert network.sent["Gateways"] <= 4.0 * 35 * 4 * 1.1


def test_every_gateway_knows_the_number_of_gateways():
    """Guards against a retry budget or connections to a replica that exceed their common limit."""
    network = Network({"z0": 24, "z1": 24}, {"r0": 5, "r1": 9})
    network.run(3.0)
    counts = {listener.gateway_count(network.now) for listener, _ in network.gateways.values()}
    assert counts == {14}


def test_number_of_gateways_survives_the_loss_of_stagers():
    """Guards against gateways that take each other for gone when some stagers fail."""
    network = Network({"z0": 24}, {"r0": 6})
    network.run(3.0)
    for ip in list(network.stagers)[:12]:
        del network.stagers[ip]
    network.run(12.0)
    counts = {listener.gateway_count(network.now) for listener, _ in network.gateways.values()}
    assert counts == {6}


def test_report_names_the_other_gateways_that_use_the_engine():
    """Guards against an estimate that counts gateways which use other engines."""
    network = Network({"z0": 24, "z1": 24}, {"r0": 5, "r1": 9})
    network.run(3.0)
    _, table = network.gateways["11.0.0.0"]
    others = {row.region: row.other_gateway_count for row in table}
    assert others == {"r0": 4, "r1": 9}


def test_change_of_load_is_reported_within_the_interval():
    """Guards against requests to an engine that was last seen idle."""
    sent = []
    reporter = LoadReporter(Address("10.0.0.1", 80), lambda to, msg: sent.append((to[0], msg)))
    network = Network({"z0": 1}, {"r0": 1})
    listener, _ = network.gateways["11.0.0.0"]
    listener._send = lambda to, msg: reporter.receive(msg, 0.0)
    listener.tick(0.0)
    times = []
    for step in range(100):
        report = EngineReport((), False, 0, 0, step // 20, 0, 0, 1.0, 5)
        reporter.tick(report, LoadState.VERIFIED, step * STEP_S)
        times += [step * STEP_S] * len(sent)
        sent.clear()
    changes = [n * 20 * STEP_S for n in range(5)]
    for change in changes:
        assert any(change <= time <= change + 0.1 for time in times), change


def test_expired_subscription_gets_no_reports():
    """Guards against datagrams to gateways that have ended."""
    sent = []
    network = Network({"z0": 1}, {"r0": 1})
    listener, _ = network.gateways["11.0.0.0"]
    reporter = LoadReporter(Address("10.0.0.1", 80), lambda to, msg: sent.append(msg))
    listener._send = lambda to, msg: reporter.receive(msg, 0.0)
    listener.tick(0.0)
    report = EngineReport((), False, 0, 0, 1, 0, 0, 1.0, 5)
    reporter.tick(report, LoadState.VERIFIED, 1.0)
    assert isinstance(sent[-1], Load)
    sent.clear()
    reporter.tick(report, LoadState.VERIFIED, 9.0)
    assert sent == []


def test_engine_that_restarted_is_not_used_before_the_registry_shows_it():
    """Guards against requests to weights that an engine loaded after a restart and nobody has verified."""
    network = Network({"z0": 1}, {"r0": 1})
    listener, table = network.gateways["11.0.0.0"]
    (row,) = table
    address = row.entry.address
    fields = (address.ip, address.port, 0, 0, 1.0, False, (("m", 2),))
    born_ms = row.entry.born_ms
    for born, versions in [(born_ms, {"m": 2}), (born_ms - 1, {"m": 2}), (born_ms + 1, {})]:
        msg = Load(*fields, born, 0, 1, LoadState.VERIFIED)
        listener.receive((address.ip, PORT), msg, 1.0)
        assert row.versions == versions, born


def test_new_engine_is_greeted_at_once():
    """Guards against requests to a new engine before its stager has reported its load."""
    sent = []
    network = Network({"z0": 1}, {"r0": 1})
    listener, _ = network.gateways["11.0.0.0"]
    listener._send = lambda to, msg: sent.append(to[0])
    listener.tick(0.0)
    sent.clear()
    listener.tick(0.05)
    assert sent == []
    listener.greet_soon("10.0.0.9")
    listener.tick(0.1)
    assert sent == ["10.0.0.9"]
