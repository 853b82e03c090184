"""Ledger under random histories: guards against verdicts that differ between readers.

The expected verdicts come from a second, minimal fold in this file.
"""

from collections import OrderedDict
from unittest import mock

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from note_examples import note, record, release, withdrawal

from fescuechute.notes import Ledger, _ledger

#: Small, so that histories of a few dozen records move ids out of the window.
FOLDED_KEPT = 3
NAMES = ("m1", "m2")
READERS = 3


class Expected:
    """Minimal fold: base check, withdrawal check, and deduplication by id and content."""

    def __init__(self):
        self.folded = OrderedDict()
        self.versions = {}
        self.revision = 0
        #: For each offset: verdict (None without one), revision and versions after the record.
        self.after = []

    def add(self, item):
        verdict = None if "snapshot" in item["data"] else self._judge(item["id"], item["data"])
        self.after.append((verdict, self.revision, dict(self.versions)))

    def _judge(self, record_id, data):
        if record_id in self.folded:
            return None if self.folded[record_id] == data else False
        self.folded[record_id] = data
        while len(self.folded) > FOLDED_KEPT:
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
    """A process that reads the log, possibly late and after restarts."""

    def __init__(self):
        self.restart()

    def restart(self):
        self.ledger = Ledger(None)
        self.highest = 0


class LedgerMachine(RuleBasedStateMachine):
    """Operators, snapshot writers, retention and lagging readers in any order."""

    def __init__(self):
        super().__init__()
        self.patch = mock.patch.object(_ledger, "FOLDED_KEPT", FOLDED_KEPT)
        self.patch.start()
        self.log = []
        self.oldest = 0
        self.expected = Expected()
        self.readers = [Reader() for _ in range(READERS)]

    def teardown(self):
        self.patch.stop()

    def append(self, record_id, data):
        item = record(len(self.log), data, id=record_id)
        self.log.append(item)
        self.expected.add(item)

    @rule(name=st.sampled_from(NAMES), behind=st.integers(0, 2))
    def publish(self, name, behind):
        base = max(0, self.expected.revision - behind)
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
    @rule(back=st.integers(1, 8))
    def repeat(self, back):
        item = self.log[-min(back, len(self.log))]
        self.append(item["id"], item["data"])

    @precondition(lambda self: self.log)
    @rule(back=st.integers(1, 8))
    def reuse_id(self, back):
        serial = len(self.log)
        item = self.log[-min(back, len(self.log))]
        data = note(f"n{serial}", self.expected.revision, set=[release(version=f"x{serial}")])
        self.append(item["id"], data)

    @rule()
    def append_garbage(self):
        self.append(f"r{len(self.log)}", {"schema": 7})

    @rule(which=st.integers(0, READERS - 1))
    def append_snapshot(self, which):
        ledger = self.readers[which].ledger
        if ledger.is_current and ledger.next_offset:
            self.append(f"s{len(self.log)}", ledger.snapshot())

    @rule(which=st.integers(0, READERS - 1), count=st.integers(1, 10))
    def read(self, which, count):
        ledger = self.readers[which].ledger
        first = max(ledger.next_offset, self.oldest)
        for item in self.log[first : first + count]:
            self.read_one(ledger, item)

    def read_one(self, ledger, item):
        """Applies a record; each record that is folded must get its verdict exactly once."""
        offset, was_current = item["offset"], ledger.is_current
        entries = ledger.apply(item)
        for entry in entries:
            verdict, revision, _ = self.expected.after[entry.offset]
            assert entry.accepted is verdict, entry
            assert entry.revision == revision
        if not ledger.is_current:
            first = offset + 1
        elif was_current or offset == 0:
            first = offset
        else:
            first = item["data"]["covers"] + 1
        verdicts = {i: self.expected.after[i][0] for i in range(first, offset + 1)}
        judged = [i for i, verdict in verdicts.items() if verdict is not None]
        assert [entry.offset for entry in entries] == judged

    @rule(which=st.integers(0, READERS - 1))
    def restart(self, which):
        self.readers[which].restart()

    @precondition(lambda self: self.oldest < len(self.log))
    @rule(count=st.integers(1, 6))
    def age_out(self, count):
        self.oldest = min(self.oldest + count, len(self.log))

    @invariant()
    def revision_never_reverts(self):
        for reader in self.readers:
            assert reader.ledger.state.revision >= reader.highest
            reader.highest = reader.ledger.state.revision

    @invariant()
    def current_readers_hold_the_expected_state(self):
        for reader in self.readers:
            ledger = reader.ledger
            if ledger.is_current and ledger.next_offset:
                _, revision, versions = self.expected.after[ledger.next_offset - 1]
                held = {name: item.version for (_, name), item in ledger.state.releases.items()}
                assert (ledger.state.revision, held) == (revision, versions)

    @invariant()
    def new_reader_is_current_when_the_log_allows_it(self):
        ledger = Ledger(None)
        usable = self.oldest == 0 and bool(self.log)
        for item in self.log[self.oldest :]:
            self.read_one(ledger, item)
            covers = item["data"].get("covers", -2)
            usable = usable or covers + 1 >= self.oldest
        assert ledger.is_current == usable


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
