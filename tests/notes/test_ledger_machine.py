"""Property-based state machine test: all readers of a log must reach the same verdicts.

The expected verdicts are computed by a separate, minimal fold in this file.
"""

from collections import OrderedDict
from unittest import mock

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from note_examples import note, record, release, withdrawal

from fescuechute.notes import Ledger, _ledger

#: Small, so that a history of a few dozen records exceeds it.
MAX_FOLDED_RECORDS = 3
NAMES = ("m1", "m2")
READERS = 3


class ReferenceFold:
    """Minimal fold: base check, withdrawal check, and deduplication by id and content."""

    def __init__(self):
        self.folded = OrderedDict()
        self.versions = {}
        self.revision = 0
        #: Verdict (or None), revision and versions after the record, by offset.
        self.results = []

    def add(self, item):
        verdict = None if "snapshot" in item["data"] else self._verdict(item["id"], item["data"])
        self.results.append((verdict, self.revision, dict(self.versions)))

    def _verdict(self, record_id, data):
        if record_id in self.folded:
            return None if self.folded[record_id] == data else False
        self.folded[record_id] = data
        while len(self.folded) > MAX_FOLDED_RECORDS:
            self.folded.popitem(last=False)
        if data.get("base") != self.revision:
            return False
        if any(item["name"] not in self.versions for item in data.get("withdraw", ())):
            return False
        for item in data.get("withdraw", ()):
            del self.versions[item["name"]]
        for item in data.get("set", ()):
            self.versions[item["name"]] = item["version"]
        self.revision += 1
        return True


class Reader:
    """A process that reads the log, possibly with a delay, and may restart."""

    def __init__(self):
        self.restart()

    def restart(self):
        self.ledger = Ledger(None)
        self.highest_revision = 0


class LedgerMachine(RuleBasedStateMachine):
    """Random interleavings of operators, snapshot writers, retention and lagging readers."""

    def __init__(self):
        super().__init__()
        self.patch = mock.patch.object(_ledger, "MAX_FOLDED_RECORDS", MAX_FOLDED_RECORDS)
        self.patch.start()
        self.log = []
        self.first_retained = 0
        self.expected = ReferenceFold()
        self.readers = [Reader() for _ in range(READERS)]

    def teardown(self):
        self.patch.stop()

    def append(self, record_id, data):
        item = record(len(self.log), data, id=record_id)
        self.log.append(item)
        self.expected.add(item)

    @rule(name=st.sampled_from(NAMES), base_lag=st.integers(0, 2))
    def publish(self, name, base_lag):
        base = max(0, self.expected.revision - base_lag)
        serial = len(self.log)
        self.append(
            f"r{serial}", note(f"n{serial}", base, set=[release(name, version=str(serial))])
        )

    @rule(name=st.sampled_from(NAMES))
    def withdraw(self, name):
        serial = len(self.log)
        data = note(f"n{serial}", self.expected.revision, withdraw=[withdrawal(name)])
        self.append(f"r{serial}", data)

    @precondition(lambda self: self.log)
    @rule(distance=st.integers(1, 8))
    def append_duplicate(self, distance):
        item = self.log[-min(distance, len(self.log))]
        self.append(item["id"], item["data"])

    @precondition(lambda self: self.log)
    @rule(distance=st.integers(1, 8))
    def reuse_id(self, distance):
        serial = len(self.log)
        item = self.log[-min(distance, len(self.log))]
        data = note(f"n{serial}", self.expected.revision, set=[release(version=f"x{serial}")])
        self.append(item["id"], data)

    @rule()
    def append_invalid_note(self):
        self.append(f"r{len(self.log)}", {"schema": 7})

    @rule(reader_index=st.integers(0, READERS - 1))
    def append_snapshot(self, reader_index):
        ledger = self.readers[reader_index].ledger
        if ledger.is_current and ledger.next_offset:
            self.append(f"s{len(self.log)}", ledger.snapshot())

    @rule(reader_index=st.integers(0, READERS - 1), count=st.integers(1, 10))
    def read(self, reader_index, count):
        ledger = self.readers[reader_index].ledger
        first = max(ledger.next_offset, self.first_retained)
        for item in self.log[first : first + count]:
            self.apply_and_check(ledger, item)

    def apply_and_check(self, ledger, item):
        """Applies a record; each folded record must get the expected verdict exactly once."""
        offset, was_current = item["offset"], ledger.is_current
        entries = ledger.apply(item)
        for entry in entries:
            verdict, revision, _ = self.expected.results[entry.offset]
            assert entry.accepted is verdict, entry
            assert entry.revision == revision
        if not ledger.is_current:
            first = offset + 1
        elif was_current or offset == 0:
            first = offset
        else:
            first = item["data"]["covers"] + 1
        verdicts = {i: self.expected.results[i][0] for i in range(first, offset + 1)}
        expected_offsets = [i for i, verdict in verdicts.items() if verdict is not None]
        assert [entry.offset for entry in entries] == expected_offsets

    @rule(reader_index=st.integers(0, READERS - 1))
    def restart(self, reader_index):
        self.readers[reader_index].restart()

    @precondition(lambda self: self.first_retained < len(self.log))
    @rule(count=st.integers(1, 6))
    def remove_old_records(self, count):
        self.first_retained = min(self.first_retained + count, len(self.log))

    @invariant()
    def revision_never_decreases(self):
        for reader in self.readers:
            assert reader.ledger.state.revision >= reader.highest_revision
            reader.highest_revision = reader.ledger.state.revision

    @invariant()
    def current_readers_have_the_expected_state(self):
        for reader in self.readers:
            ledger = reader.ledger
            if ledger.is_current and ledger.next_offset:
                _, revision, versions = self.expected.results[ledger.next_offset - 1]
                declared = {name: item.version for (_, name), item in ledger.state.releases.items()}
                assert (ledger.state.revision, declared) == (revision, versions)

    @invariant()
    def new_reader_is_current_if_the_log_suffices(self):
        ledger = Ledger(None)
        sufficient = self.first_retained == 0 and bool(self.log)
        for item in self.log[self.first_retained :]:
            self.apply_and_check(ledger, item)
            covers = item["data"].get("covers", -2)
            sufficient = sufficient or covers + 1 >= self.first_retained
        assert ledger.is_current == sufficient


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
