"""The operators' records at a gateway."""

import json
from collections import Counter

import attrs
import pytest

from fescuechute.catalog import Service
from fescuechute.feeds import Delivery, KeyedRecord, RecordBatch, SnapshotPage, Trimmed
from fescuechute.gateway import GatewayDaemon
from fescuechute.gateway._cold import COUNT_SETTLE_S
from fescuechute.relay import RelayAddress
from fescuechute.wire import Gateways
from tests.gateway.test_choice import entry

RELAY = Delivery("127.0.0.1:17703", 100)
#: Seconds from a declaration from which no request may start on older weights; `version_ms`.
VERSION_S = 8.0


class ScriptedLog:
    """Answers each call with the next outcome."""

    def __init__(self):
        self.outcomes = []

    def snapshot(self, topic, after, on_end):
        on_end(self.outcomes.pop(0))

    def read(self, topic, offset, wait_s, on_end):
        on_end(self.outcomes.pop(0))


class GatewayHarness:
    """A gateway whose operators' topic is read from a scripted log."""

    def __init__(self, directory, zones=None):
        settings = {
            "node_name": "front-1",
            "ip": "127.0.0.1",
            "zone": "z",
            "region": "r",
            "zones": zones or {"z": "r"},
            "listen_addrs": {"front": "127.0.0.1:18005", "ready_addr": "127.0.0.1:18002"},
            "port_range": [17700, 17715],
            "limits": {"memory_mb": 300, "max_fds": 4100, "link_mbps": 7.3},
            "bounds": {"version_ms": VERSION_S * 1000},
            "platform": {"address": "127.0.0.1:2"},
        }
        self._path, self._settings = directory / "node.json", settings
        self._path.write_text(json.dumps(settings))
        self.daemon = GatewayDaemon(str(self._path))
        self.log = ScriptedLog()
        self.daemon.operator_feed._log = self.log
        self.daemon.relay_server.start(self.daemon.operator_feed)
        self.started_at = self.daemon.clock.now()

    def receive(self, *outcomes):
        """Completes one call of the feed with each outcome."""
        for outcome in outcomes:
            self.log.outcomes.append(outcome)
            self.daemon.operator_feed._next_call_at = 0.0
            self.daemon.operator_feed.tick(self.daemon.clock.now())

    def change_version_bound(self, seconds):
        """Changes the bound in the settings file and lets the gateway read it."""
        settings = {**self._settings, "bounds": {"version_ms": seconds * 1000}}
        self._path.write_text(json.dumps(settings))
        self.daemon._reload()

    def required_version(self, after_s=0.0):
        """Returns the oldest allowed version at a time after the start of the gateway."""
        return self.daemon.versions.required_version("m", self.started_at + after_s)


@pytest.fixture
def gateway(tmp_path):
    return GatewayHarness(tmp_path)


def declaration(offset, version):
    value = json.dumps({"model": "m", "version": version}).encode()
    return KeyedRecord(offset, "version/m", value)


def test_snapshot_without_a_superseded_declaration_does_not_extend_its_bound(gateway):
    """Guards against requests on version 1 after the bound of version 2, which version 3 superseded."""
    snapshot = SnapshotPage((declaration(7, 3),), False, 8, RELAY, appended_after_s=(-4.0,))
    gateway.receive(snapshot)
    assert gateway.required_version(after_s=0.1) == 2
    assert gateway.required_version(after_s=VERSION_S - 4.0) == 3


def test_compacted_batch_does_not_extend_the_bound_of_a_superseded_declaration(gateway):
    """Guards against requests on old weights at a gateway whose relay has compacted its records."""
    gateway.receive(SnapshotPage((), False, 5, RELAY))
    batch = RecordBatch((declaration(7, 3),), 8, RELAY, appended_after_s=6.0, compacted=True)
    gateway.receive(batch)
    assert gateway.required_version(after_s=1.0) == 0
    assert gateway.required_version(after_s=VERSION_S + 0.1) == 2
    assert gateway.required_version(after_s=VERSION_S + 6.1) == 3


def test_snapshot_after_a_trimmed_log_does_not_extend_the_bound_of_a_superseded_declaration(
    gateway,
):
    """Guards against requests on old weights at a gateway that missed records of the log."""
    gateway.receive(SnapshotPage((), False, 5, RELAY), Trimmed())
    snapshot = SnapshotPage((declaration(7, 3),), False, 8, RELAY, appended_after_s=(6.0,))
    gateway.receive(snapshot)
    assert gateway.required_version(after_s=1.0) == 0
    assert gateway.required_version(after_s=VERSION_S + 0.1) == 2
    assert gateway.required_version(after_s=VERSION_S + 6.1) == 3


@pytest.mark.parametrize("bound_s", [4.0, 12.0])
@pytest.mark.parametrize("declared_first", [True, False])
def test_changed_bound_holds_for_declarations(gateway, bound_s, declared_first):
    """Guards against requests on old weights, or refusals, by a bound that is no longer in force."""
    gateway.receive(SnapshotPage((), False, 5, RELAY))
    batch = RecordBatch((declaration(5, 2),), 6, RELAY, appended_after_s=0.0)
    steps = [lambda: gateway.receive(batch), lambda: gateway.change_version_bound(bound_s)]
    for step in steps if declared_first else reversed(steps):
        step()
    assert gateway.required_version(after_s=bound_s - 1.0) == 0
    assert gateway.required_version(after_s=bound_s + 0.1) == 2


def test_version_that_was_not_declared_does_not_bind(gateway):
    """Guards against refusals because of a version number that the operators left out."""
    gateway.receive(
        SnapshotPage((), False, 5),
        RecordBatch((declaration(5, 3),), 6, appended_after_s=6.0),
    )
    assert gateway.required_version(after_s=VERSION_S + 5.0) == 0
    assert gateway.required_version(after_s=VERSION_S + 6.1) == 3


@pytest.mark.parametrize(
    ("name", "key", "valid"),
    [
        ("configuration", "config", b'{"version": 2, "routes": [], "services": []}'),
        ("declaration", "version/m", b'{"model": "m", "version": 2}'),
    ],
)
def test_malformed_record_does_not_replace_the_one_in_force_at_a_relay(gateway, name, key, valid):
    """Guards against gateways that lose the configuration or a declaration when they restart."""
    gateway.receive(
        SnapshotPage((KeyedRecord(0, key, valid),), False, 1),
        RecordBatch((KeyedRecord(1, key, b"{"),), 2),
    )
    cached = gateway.daemon.relay_server._cache.since(0)
    assert [item.record.value for item in cached] == [valid], name


def test_deletions_and_unused_records_are_passed_on(gateway):
    """Guards against keys that stay at processes that read from a relay."""
    gateway.receive(
        SnapshotPage((KeyedRecord(0, "config", b"{"), KeyedRecord(1, "other", b"{")), False, 2),
        RecordBatch((KeyedRecord(2, "config", None),), 3),
    )
    cached = gateway.daemon.relay_server._cache.since(0)
    assert [(item.record.offset, item.record.value) for item in cached] == [(1, b"{"), (2, None)]


def config(offset, version, *regions):
    route = {"host": "a.example", "path_prefix": "/a/", "service": "lm"}
    body = {
        "version": version,
        "routes": [{**route, "regions_allowed": list(regions)}],
        "services": [{"name": "lm"}],
    }
    return KeyedRecord(offset, "config", json.dumps(body).encode())


@pytest.mark.parametrize(
    ("name", "records", "placed", "greeted"),
    [
        ("evacuation", [KeyedRecord(5, "evacuate/z", b"{}")], 1, 1),
        (
            "its end",
            [KeyedRecord(5, "evacuate/z", b"{}"), KeyedRecord(6, "evacuate/z", None)],
            2,
            2,
        ),
        ("end of none", [KeyedRecord(5, "evacuate/z", None)], 0, 0),
        ("configuration", [config(5, 1, "r")], 1, 0),
        ("older configuration", [config(5, 2, "r"), config(6, 1)], 1, 0),
    ],
)
def test_news_places_unsent_requests_anew(gateway, monkeypatch, name, records, placed, greeted):
    """Guards against requests that go where news forbids it, and near engines that do not report."""
    gateway.receive(SnapshotPage((), False, 5, RELAY))
    calls = Counter()
    daemon = gateway.daemon
    monkeypatch.setattr(daemon.dispatcher, "place_unsent", lambda: calls.update(["placed"]))
    monkeypatch.setattr(daemon.load_listener, "greet_all_soon", lambda: calls.update(["greeted"]))
    gateway.receive(RecordBatch(tuple(records), 7, RELAY))
    assert (calls["placed"], calls["greeted"]) == (placed, greeted), name


def test_configuration_sets_the_homes_and_drops_subsets_of_regions(gateway):
    """Guards against bound requests without places, and subsets of regions that nothing names."""
    gateway.receive(SnapshotPage((), False, 5, RELAY))
    chooser = gateway.daemon.chooser
    for version, regions in enumerate([{"r"}, {"r", "s"}, set()], 1):
        subset = chooser._subsets.subset("lm", frozenset({"r"}))
        record = config(4 + version, version, *sorted(regions))
        gateway.receive(RecordBatch((record,), 5 + version, RELAY))
        assert chooser.home_regions == regions
        assert chooser._subsets.subset("lm", frozenset({"r"})) is not subset


def test_evacuation_without_a_name_is_kept_by_a_snapshot_that_contains_it(gateway):
    """Guards against a state that differs from the topic, and logs that say an evacuation ended."""
    record = KeyedRecord(3, "evacuate/", b"{}")
    gateway.receive(SnapshotPage((record,), False, 5, RELAY), Trimmed())
    gateway.receive(SnapshotPage((record,), False, 8, RELAY))
    assert gateway.daemon.evacuations.is_evacuated("")


def test_end_of_an_evacuation_makes_the_replicas_of_the_data_centre_cold(gateway):
    """Guards against a burst on replicas that a data centre brings back, before they report."""
    daemon = gateway.daemon
    now = daemon.clock.now()
    for zone in ("z", "other"):
        daemon.upstreams.register(entry(f"i-{zone}", 1, zone), now - 100)
    service = Service("lm", cold_s=3.0, cold_requests_per_s=26.0)
    gateway.receive(
        SnapshotPage((KeyedRecord(3, "evacuate/z", b"{}"),), False, 5, RELAY),
        RecordBatch((KeyedRecord(5, "evacuate/z", None),), 6, RELAY),
    )
    until, source = daemon.cold_start.cold_until(daemon.upstreams.get("i-z"), service)
    assert (source, until) == ("evacuation", daemon.evacuations.ended_at("z") + 3.0)
    assert until >= now + 3.0
    assert daemon.cold_start.cold_until(daemon.upstreams.get("i-other"), service)[0] < now


def test_region_has_at_least_its_part_of_the_counted_gateways(tmp_path):
    """Guards against a gateway that takes 18 of 37 requests while it knows no relay of 16 gateways."""
    daemon = GatewayHarness(tmp_path, {"z": "r", "y": "r", "x": "s", "w": "t"}).daemon
    now = daemon.clock.now()
    assert daemon._region_gateway_count(now) == 1
    daemon.load_listener.receive(("127.0.0.9", 17700), Gateways(16), now)
    assert (len(daemon.region_relays(now)), daemon._region_gateway_count(now)) == (1, 6)
    daemon.cold_start.tick(now)
    assert daemon.cold_start._region_counts.presumed(now + COUNT_SETTLE_S) == 12
    for number in range(8):
        relay = RelayAddress(f"g-{number}", "127.0.0.9", 18000 + number)
        daemon.relays.add("r", relay, now)
    assert daemon._region_gateway_count(now) == 9


def test_return_of_the_store_takes_nothing_back(gateway):
    """Guards against older configurations, new bounds and ended evacuations after a return."""
    old = [config(0, 2, "r"), KeyedRecord(1, "evacuate/z", b"{}"), declaration(2, 2)]
    gateway.receive(SnapshotPage((), False, 0, RELAY))
    gateway.receive(RecordBatch(tuple(old), 3, RELAY, appended_after_s=0.0))
    bound = gateway.daemon.versions.cancel_unstarted_at("m", 1)
    copy = attrs.evolve(config(0, 1), era=1)
    gateway.receive(Trimmed(1), SnapshotPage((copy,), False, 1, era=1))
    assert gateway.daemon.access.table.configuration.version == 2
    assert gateway.daemon.evacuations.is_evacuated("z")
    cached = [item.record for item in gateway.daemon.relay_server._cache.since(0)]
    assert cached == old
    metrics = gateway.daemon.telemetry.render_metrics().decode()
    for name, n in [("store.era", 1), ("record.kept", 3)]:
        assert f'fescuechute_events_total{{name="{name}",reason=""}} {n}.0' in metrics
    again = [attrs.evolve(record, era=1, offset=n) for n, record in enumerate(reversed(old), 1)]
    gateway.receive(RecordBatch(tuple(again), 4, era=1))
    assert gateway.daemon.versions.cancel_unstarted_at("m", 1) == bound
    items = gateway.daemon.relay_server._cache.since(0)
    assert [item.record for item in items] == again
    assert len({item.appended_after for item in items}) == 1
    gateway.receive(RecordBatch((KeyedRecord(4, "evacuate/z", None, 1),), 5, era=1))
    assert not gateway.daemon.evacuations.is_evacuated("z")


#: State and heartbeat count of a replica in the copy, after (ready, 9), and whether followers read it from
#: this gateway in the new era before its next heartbeat.
COPIES = {
    "same entry": ("ready", 9, True),
    "older entry without a change": ("ready", 8, True),
    "older entry of another state": ("draining", 8, False),
    "newer entry": ("ready", 10, True),
}


@pytest.mark.parametrize(("state", "sequence", "at_once"), COPIES.values(), ids=COPIES)
def test_followers_read_each_replica_in_the_new_era(gateway, state, sequence, at_once):
    """Guards against a region without replicas after a return of the store that changed none of them."""
    daemon, log = gateway.daemon, ScriptedLog()
    daemon.registry_feed._log = log
    daemon.registry_relay.start(daemon.registry_feed)
    for row_state, count, offset, era in (("ready", 9, 7, 0), (state, sequence, 3, 1)):
        body = {"service": "lm", "address": "10.0.0.1:80", "zone": "z", "state": row_state}
        value = json.dumps({**body, "born": 5, "sequence": count}).encode()
        daemon._on_registration(KeyedRecord(offset, "i-1", value, era))
        daemon.upstreams.get("i-1").first_seen_at = float("-inf")
        daemon.registry_relay._cache.retain(frozenset({"i-1"}), 8, era)

    def read():
        return {cached.record.era for cached in daemon.registry_relay._cache.since(0)}

    assert read() == ({1} if at_once else set())
    value = json.dumps({**body, "state": "ready", "born": 5, "sequence": 11}).encode()
    daemon._on_registration(KeyedRecord(9, "i-1", value, 1))
    assert read() == {1}


def test_replica_that_a_second_copy_lists_need_not_register_again(gateway):
    """Guards against a replica that is given up because the copy of an earlier return lacked it."""
    daemon = gateway.daemon
    daemon.registry_relay.start(daemon.registry_feed)
    body = {"service": "lm", "address": "10.0.0.1:80", "zone": "z", "state": "ready", "born": 5}
    records = [
        KeyedRecord(n, "i-1", json.dumps({**body, "sequence": 9 - n}).encode(), n) for n in (0, 2)
    ]
    daemon._on_registration(records[0])
    row = daemon.upstreams.get("i-1")
    assert daemon.upstreams.await_entry(row, 0.0)
    daemon._on_registration(records[1])
    assert daemon.upstreams.expire(1.0, 1.0) == []
