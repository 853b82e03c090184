"""Random orders of returns, outages, cuts and starts at a relay and two followers."""

import heapq
from random import Random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from fescuechute.feeds import (
    EraWatch,
    Failure,
    Feed,
    FeedSettings,
    KeyedRecord,
    RecordBatch,
    SnapshotPage,
    Trimmed,
)
from fescuechute.forwarding import ClientRequest
from fescuechute.gateway import VersionTable
from fescuechute.net import HttpResult, ManualClock
from fescuechute.relay import RelayAddress, RelayedLog, RelayServer, SourceSelector
from tests.relay.relay_harness import TIMING, FakeResponse

RELAY = RelayAddress("a", "10.0.0.0", 17703)
PROCESSES = st.integers(0, 2)
#: Seconds after which everything must be known; the longest wait, settling and backoff fit in.
QUIET_S = 12.0
#: Age in seconds of the last confirmation from which keys are rejected.
REVOKE_S = 5.0


def rank(_key, value):
    return int(value)


class World:
    """A clock, a store with eras, and calls on their way."""

    def __init__(self):
        self.clock, self.events, self.count = ManualClock(100.0), [], 0
        self.era, self.records, self.down = 0, [], False
        #: Number of records after each write, for copies.
        self.written_at = []

    def later(self, delay_s, call):
        self.count += 1
        heapq.heappush(self.events, (self.clock.time + delay_s, self.count, call))

    def write(self, key, version):
        self.records.append((key, b"%d" % version))

    def newest(self, key):
        return max((int(value) for k, value in self.records if k == key), default=0)

    def snapshot(self):
        rows = {key: (n, value) for n, (key, value) in enumerate(self.records)}
        page = tuple(KeyedRecord(n, key, v, self.era) for key, (n, v) in sorted(rows.items()))
        return SnapshotPage(page, False, len(self.records), era=self.era)

    def read(self, offset):
        if offset > len(self.records):
            return Trimmed(self.era)
        rows = enumerate(self.records[offset:], offset)
        records = tuple(KeyedRecord(n, *row, self.era) for n, row in rows)
        return RecordBatch(records, len(self.records), era=self.era)


class Process:
    """A feed with its relay; only process 0 is known as a relay."""

    def __init__(self, world, number, processes):
        self.world, self.number, self.processes = world, number, processes
        self.open, self.cut, self.configuration, self.delay_s = True, False, 0, 0.01
        self.versions, self.bounds = VersionTable(8.0), {}
        eras, now = EraWatch(), world.clock.now
        selector = SourceSelector("abc"[number], "d", lambda _now: [RELAY])
        self.log = RelayedLog(self, self, selector, TIMING, now, eras=eras)
        self.log.relaying = number == 0
        self.server = RelayServer("t", self.log, now, len, rank=rank)
        cfg = FeedSettings("t", 1.5, settle_s=2.0)
        self.feed = Feed(
            self.log, cfg, now, self.on_record, self.server.retain, len, Random(number), eras
        )
        self.server.start(self.feed)

    def on_record(self, record):
        self.server.add(record)
        if record.key == "config":
            self.configuration = max(self.configuration, int(record.value))
            return
        date = self.feed.earliest_appended_at
        self.versions.declare("m", int(record.value), float("-inf") if date is None else date)

    def end(self, on_end, outcome):
        """Passes on an answer after the delay of this process, unless it has ended meanwhile."""
        self.world.later(self.delay_s, lambda: self.open and on_end(outcome()))

    # The store and the client for calls to the relay.

    def snapshot(self, _topic, _after, on_end):
        is_down = self.cut or self.world.down
        outcome = Failure("silent") if is_down else self.world.snapshot()
        self.end(on_end, lambda: outcome)

    def read(self, _topic, offset, wait_s, on_end, _on_progress=None):
        def ask():
            return Failure("silent") if self.cut or self.world.down else self.world.read(offset)

        def poll(until):
            outcome = ask()
            is_empty = isinstance(outcome, RecordBatch) and not outcome.records
            if is_empty and self.world.clock.time < until:
                self.world.later(0.05, lambda: poll(until))
            else:
                self.end(on_end, lambda: outcome)

        poll(self.world.clock.time + wait_s)

    def call(self, _method, _server, path, on_end, *, idle_timeout_s):
        response, relay = FakeResponse(), self.processes[0]
        now = self.world.clock.time
        if not self.cut and relay.open:
            relay.server.handle(ClientRequest(b"GET", path.encode(), [], b"", now, False, response))

        def poll(until):
            if response.is_open and self.world.clock.time < until:
                self.world.later(0.05, lambda: poll(until))
            elif response.is_open:
                self.end(on_end, lambda: HttpResult(0, b"", "silent", True))
            else:
                self.end(on_end, lambda: HttpResult(response.status, response.body, "", True))

        poll(now + idle_timeout_s)


class Returns(RuleBasedStateMachine):
    """Guards against older configurations and later bounds because of a return of the store."""

    def __init__(self):
        super().__init__()
        self.world, self.processes = World(), []
        self.operators = {"config": 0, "version": 1}
        #: Unix seconds of the first acknowledgement by key and version.
        self.acked_at = {}
        self.seen = [(0, {}) for _ in range(3)]
        for number in range(3):
            self.processes.append(Process(self.world, number, self.processes))
        self.write("config")
        self.run(2.0)

    def run(self, seconds):
        until = self.world.clock.time + seconds
        while self.world.clock.time < until:
            self.world.clock.advance(0.05)
            now = self.world.clock.time
            while self.world.events and self.world.events[0][0] <= now:
                heapq.heappop(self.world.events)[2]()
            for process in self.processes:
                process.feed.tick(now)
                process.server.tick(now)
            self.check()

    def write(self, key):
        if self.world.down:
            return
        self.operators[key] += 1
        self.world.write(key, self.operators[key])
        self.acked_at[key, self.operators[key]] = self.world.clock.time

    @rule(key=st.sampled_from(["config", "version"]))
    def write_record(self, key):
        self.write(key)

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.5, 6.0]))
    def wait(self, seconds):
        self.run(seconds)

    @rule(
        lost=st.integers(0, 4),
        outage_s=st.sampled_from([0.0, 0.3, 1.5]),
        repeat=st.booleans(),
        written=st.lists(st.sampled_from(["config", "version"]), max_size=5),
    )
    def come_back(self, lost, outage_s, repeat, written):
        """The store is away and comes back without its last records, which operators may repeat."""
        self.world.down = True
        self.run(outage_s)
        kept = max(1, len(self.world.records) - lost)
        del self.world.records[kept:]
        self.world.era, self.world.down = self.world.era + 1, False
        for key in written:
            self.write(key)
        if repeat:
            self.run(0.3)
            self.repeat()

    @rule()
    def repeat(self):
        for key, version in sorted(self.operators.items(), reverse=True):
            if version > 1 and self.world.newest(key) < version:
                self.world.write(key, version)

    @rule(seconds=st.sampled_from([0.3, 3.0]))
    def lose_store(self, seconds):
        self.world.down = True
        self.run(seconds)
        self.world.down = False

    @rule(number=PROCESSES, is_cut=st.booleans())
    def cut(self, number, is_cut):
        self.processes[number].cut = is_cut

    @rule(number=PROCESSES, delay_s=st.sampled_from([0.01, 0.4, 1.2]))
    def delay(self, number, delay_s):
        self.processes[number].delay_s = delay_s

    @rule(number=PROCESSES)
    def restart(self, number):
        self.processes[number].open = False
        self.processes[number].server.close()
        self.processes[number] = Process(self.world, number, self.processes)
        self.seen[number] = (0, {})

    def check(self):
        for number, process in enumerate(self.processes):
            configuration, bounds = self.seen[number]
            assert process.configuration >= configuration, "an older configuration"
            assert process.configuration <= self.operators["config"]
            dates = {d.version: d for d in process.versions._declarations.get("m", [])}
            for version, item in dates.items():
                acked_at = self.acked_at.get(("version", version), float("inf"))
                date = item.earliest_declared_at
                assert date <= acked_at + 0.001, f"version {version} is dated too late"
                assert date == bounds.get(version, date), "a date has changed"
            self.seen[number] = (
                process.configuration,
                {version: item.earliest_declared_at for version, item in dates.items()},
            )

    @rule()
    def all_know_the_newest_after_quiet(self):
        for process in self.processes:
            process.cut, process.delay_s = False, 0.01
        self.repeat()
        self.run(QUIET_S)
        for process in self.processes:
            assert process.configuration == self.operators["config"]
            assert process.feed.next_offset == len(self.world.records)
            assert process.feed.era == self.world.era
            assert self.world.clock.time - process.feed.confirmed_at < REVOKE_S


TestReturns = Returns.TestCase
TestReturns.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
