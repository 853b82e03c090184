"""Tests of the version plan and the load planner.

They guard against partial weights, corrupt staged chunks and two downloads that share the link.
"""

import pytest

from fescuechute.catalog import EngineReport
from fescuechute.stager import (
    LoadPlanner,
    OrderLoad,
    OrderResult,
    StageChunk,
    VerifyChunk,
    VersionPlan,
    VersionState,
)

CHUNKS_1, CHUNKS_2, CHUNKS_3 = (b"1a", b"1b"), (b"2a", b"2b"), (b"3a", b"3b")


def version_plan(held, **manifests) -> VersionPlan:
    versions = VersionPlan(held)
    for name, digests in manifests.items():
        version = int(name[1:])
        versions.declare(version)
        versions.set_manifest(version, digests)
    return versions


def engine_report(loading=False, orders=0, born_ms=5) -> EngineReport:
    return EngineReport((), loading, orders, 0, 0, 0, 0, 1.0, born_ms)


class TestVersionPlan:
    """Which chunks are downloaded and retained, and which version is loaded."""

    def test_a_partially_downloaded_version_is_completed_first(self):
        """Guards against two downloads that share the link, so that neither is complete in time."""
        held = {b"2a"}
        versions = version_plan(held, v1=CHUNKS_1, v2=CHUNKS_2, v3=CHUNKS_3)
        assert versions.wanted_digests() == CHUNKS_2
        held.add(b"2b")
        assert versions.wanted_digests() == CHUNKS_3

    def test_a_version_that_was_not_started_is_skipped(self):
        """Guards against downloading a version that is superseded before it is complete."""
        assert (
            version_plan(set(), v1=CHUNKS_1, v2=CHUNKS_2, v3=CHUNKS_3).wanted_digests() == CHUNKS_3
        )

    @pytest.mark.parametrize(
        ("name", "apart_s", "wanted"),
        [
            ("declared soon after: the older one is abandoned", 2.0, CHUNKS_3),
            ("declared later: most of the older one is downloaded", 4.0, CHUNKS_2),
        ],
    )
    def test_a_version_declared_soon_after_supersedes_a_partial_one(self, name, apart_s, wanted):
        """Guards against two successive downloads of which the second ends far beyond its time limit."""
        versions = VersionPlan({b"2a"})
        versions.download_s = 6.0
        for version, digests in ((2, CHUNKS_2), (3, CHUNKS_3)):
            versions.declare(version, 100.0 + (version - 2) * apart_s)
            versions.set_manifest(version, digests)
        assert versions.wanted_digests() == wanted, name

    def test_the_loaded_version_is_not_downloaded_before_a_newer_one(self):
        """Guards against a stager that completes what its engine holds while a newer version waits."""
        versions = version_plan({b"a"}, v1=(b"a", b"b"), v2=(b"c", b"d"))
        versions.set_loaded(1)
        assert versions.wanted_digests() == (b"c", b"d")

    def test_only_complete_versions_are_loaded(self):
        """Guards against an engine that loads partial weights."""
        held = {b"2a"}
        versions = version_plan(held, v1=CHUNKS_1, v2=CHUNKS_2)
        versions.set_loaded(1)
        assert versions.to_load() is None
        held.add(b"2b")
        assert versions.to_load().version == 2

    def test_a_restarted_engine_is_loaded_again(self):
        """Guards against an engine that stays empty after a crash."""
        versions = version_plan(set(CHUNKS_1), v1=CHUNKS_1)
        versions.set_loaded(1)
        assert versions.to_load() is None
        versions.set_loaded(0)
        assert versions.to_load().version == 1

    def test_the_manifest_of_the_first_version_is_requested_only_while_it_is_in_use(self):
        """Guards against endless requests for a manifest that the origin no longer has."""
        versions = version_plan(set())
        assert versions.without_manifest() == [1]
        versions.declare(3)
        assert versions.without_manifest() == [3]
        versions.set_loaded(1)
        assert versions.without_manifest() == [1, 3]

    def test_dropped_versions_are_not_requested_from_the_origin(self):
        """Guards against engines of the first version, after a loss of power, that ask for it for good."""
        versions = version_plan(set())
        versions.declare(2)
        versions.set_loaded(1)
        assert versions.at_origin() == [1, 2]
        versions.declare(3)
        assert versions.at_origin() == [2, 3]

    def test_versions_older_than_the_loaded_one_are_forgotten(self):
        """Guards against a store that grows with each version."""
        versions = version_plan(set(CHUNKS_1) | set(CHUNKS_2), v1=CHUNKS_1, v2=CHUNKS_2)
        versions.set_loaded(2)
        assert set(versions.retained_digests()) == set(CHUNKS_2)

    def test_a_chunk_is_located_while_its_version_is_known(self):
        """Guards against a request to the origin for a chunk of a forgotten version."""
        versions = version_plan(set(), v1=CHUNKS_1, v2=CHUNKS_2)
        assert versions.locate(b"2b") == (2, 1)
        versions.set_loaded(2)
        assert versions.locate(b"1a") is None

    def test_a_version_reported_by_the_engine_is_known(self):
        """Guards against a downgrade of an engine that is ahead of the declarations."""
        versions = version_plan(set())
        versions.set_loaded(4)
        assert (versions.newest, versions.without_manifest()) == (4, [4])


class TestLoadPlanner:
    """Staging and verification of chunks, and the order to load them."""

    def make(self, chunks=2):
        """Returns a clock, a planner that was started long ago and a target of this many chunks."""
        clock = [-60.0]
        planner = LoadPlanner(lambda: clock[0])
        clock[0] = 0.0
        return (
            clock,
            planner,
            VersionState(2, tuple(map(str.encode, "abcdefghij"[:chunks]))),
        )

    def execute(self, planner, commands, fail=(), wrong=()):
        """Completes the commands; those with these indexes fail, or read back another digest."""
        for command in commands:
            if isinstance(command, StageChunk):
                planner.on_staged(command.index, "no space" if command.index in fail else "")
            elif isinstance(command, VerifyChunk):
                planner.on_verified(command.index, command.index not in wrong)

    def until_order(self, planner, target, clock):
        """Executes the plans until the load is ordered; returns all commands, the order last."""
        commands = []
        while not (commands and isinstance(commands[-1], OrderLoad)):
            planned = planner.plan(target, engine_report(), clock[0])
            self.execute(planner, planned)
            commands += planned
            assert planned and len(commands) < 100
        return commands

    def test_load_is_ordered_once_all_chunks_are_staged(self):
        """Guards against an engine that loads a mix of old and new chunks."""
        clock, planner, target = self.make(chunks=10)
        commands = self.until_order(planner, target, clock)
        for kind in StageChunk, VerifyChunk:
            indexes = [command.index for command in commands if isinstance(command, kind)]
            assert sorted(indexes) == list(range(10)), kind
        assert planner.plan(target, engine_report(), 0.0) == [], (
            "a second order while one is in flight"
        )

    def test_chunk_with_another_digest_is_staged_again(self):
        """Guards against loading a chunk whose staging was confirmed but not carried out."""
        clock, planner, target = self.make()
        self.execute(planner, planner.plan(target, engine_report(), 0.0))
        verifications = planner.plan(target, engine_report(), 0.0)
        assert verifications == [VerifyChunk(0, b"a"), VerifyChunk(1, b"b")]
        self.execute(planner, verifications, wrong=(1,))
        assert planner.plan(target, engine_report(), 0.0) == []
        clock[0] = 0.1
        commands = self.until_order(planner, target, clock)
        assert commands[:2] == [StageChunk(2, 1, b"b"), VerifyChunk(1, b"b")]

    def test_chunks_verified_long_ago_are_verified_again(self):
        """Guards against loading chunks that became corrupt after they were verified."""
        clock, planner, target = self.make()
        self.execute(planner, planner.plan(target, engine_report(), 0.0))
        self.execute(planner, planner.plan(target, engine_report(), 0.0))
        clock[0] = 3.0
        again = planner.plan(target, engine_report(), 3.0)
        assert again == [VerifyChunk(0, b"a"), VerifyChunk(1, b"b")]

    def test_the_age_of_a_verification_counts_from_its_start(self):
        """Guards against loading chunks that became corrupt while the stager was stopped (review/3)."""
        clock, planner, target = self.make()
        self.execute(planner, planner.plan(target, engine_report(), 0.0))
        verifications = planner.plan(target, engine_report(), 0.0)
        # The process is stopped between sending the requests and reading the responses.
        clock[0] = 4.0
        self.execute(planner, verifications)
        assert planner.plan(target, engine_report(), 4.0) == verifications

    def test_an_order_is_not_sent_long_after_the_oldest_verification(self):
        """Guards against an order that leaves a stopped process after staged chunks became corrupt."""
        clock, planner, target = self.make(chunks=5)
        for now in (0.0, 0.0, 1.0):
            clock[0] = now
            self.execute(planner, planner.plan(target, engine_report(), now))
        (order,) = planner.plan(target, engine_report(), 1.95)
        assert order == OrderLoad(2, 0, oldest_verified_at=0.0, send_deadline=2.5)

    def test_a_failed_chunk_is_staged_again_after_a_pause(self):
        """Guards against ordering a load while a chunk of the old version is still staged."""
        clock, planner, target = self.make()
        self.execute(planner, planner.plan(target, engine_report(), 0.0), fail=(1,))
        assert planner.plan(target, engine_report(), 0.1) == []
        clock[0] = 0.5
        assert planner.plan(target, engine_report(), 0.5)[0] == StageChunk(2, 1, b"b")

    def test_nothing_is_planned_without_a_target_or_an_idle_engine(self):
        """Guards against replacing staged chunks while the engine loads them."""
        _clock, planner, target = self.make()
        assert planner.plan(target, engine_report(loading=True), 0.0) == []
        assert planner.plan(target, None, 0.0) == []
        assert planner.plan(None, engine_report(), 0.0) == []

    def test_no_second_order_before_a_report_can_show_the_first(self):
        """Guards against two orders for one load."""
        clock, planner, target = self.make()
        assert self.until_order(planner, target, clock)[-1] == OrderLoad(2, 0, 0.0, 2.5)
        planner.on_order_ended(OrderResult.ACCEPTED)
        assert planner.plan(target, engine_report(), 0.4) == []

    def test_chunks_are_staged_again_at_a_restarted_engine(self):
        """Guards against an order to load chunks that were lost with the power of the engine."""
        _clock, planner, target = self.make()
        self.execute(planner, planner.plan(target, engine_report(), 0.0))
        verifications = planner.plan(target, engine_report(), 0.0)
        restarted = engine_report(born_ms=6)
        assert planner.plan(target, restarted, 0.1) == []
        self.execute(planner, verifications)
        assert planner.plan(target, restarted, 0.1) == [
            StageChunk(2, 0, b"a"),
            StageChunk(2, 1, b"b"),
        ]

    @pytest.mark.parametrize("orders", [0, 7, None])
    def test_order_names_the_orders_that_the_engine_has_accepted(self, orders):
        """Guards against an order that reaches an engine that restarted after its last report."""
        _clock, planner, target = self.make()
        report = engine_report(orders=orders)
        for _ in range(2):
            self.execute(planner, planner.plan(target, report, 0.0))
        assert planner.plan(target, report, 0.0) == [OrderLoad(2, orders, 0.0, 2.5)]

    def test_chunk_is_verified_once_a_late_staging_of_another_version_has_passed(self):
        """Guards against a chunk of the old version that replaces a new one after its verification."""
        clock, planner, old = self.make()
        self.execute(planner, planner.plan(old, engine_report(), 0.0), fail=(1,))
        clock[0] = 0.5
        target = VersionState(3, (b"c", b"d"))
        self.execute(planner, planner.plan(target, engine_report(), 0.5))
        assert planner.plan(target, engine_report(), 0.5) == []
        assert planner.plan(target, engine_report(), 2.9) == []
        assert VerifyChunk(1, b"d") in planner.plan(target, engine_report(), 3.0)

    def test_late_stagings_of_two_versions_are_awaited(self):
        """Guards against a chunk of the oldest version, whose late staging a later failure hides."""
        clock, planner, old = self.make()
        self.execute(planner, planner.plan(old, engine_report(), 0.0), fail=(1,))
        clock[0] = 0.5
        target = VersionState(3, (b"c", b"d"))
        self.execute(planner, planner.plan(target, engine_report(), 0.5), fail=(1,))
        early = []
        for clock[0] in (0.9, 1.0, 2.9):
            commands = planner.plan(target, engine_report(), clock[0])
            self.execute(planner, commands)
            early += commands
        assert not any(isinstance(command, VerifyChunk) for command in early)
        assert VerifyChunk(1, b"d") in planner.plan(target, engine_report(), 3.0)

    def test_confirmed_staging_of_another_version_is_awaited(self):
        """Guards against a staging that an earlier response had confirmed and that is carried out late."""
        _clock, planner, old = self.make()
        self.execute(planner, planner.plan(old, engine_report(), 0.0))
        target = VersionState(3, (b"c", b"d"))
        self.execute(planner, planner.plan(target, engine_report(), 0.0))
        assert planner.plan(target, engine_report(), 2.9) == []
        verifications = [VerifyChunk(0, b"c"), VerifyChunk(1, b"d")]
        assert planner.plan(target, engine_report(), 3.0) == verifications

    def test_chunks_are_verified_once_late_stagings_of_an_earlier_stager_have_passed(self):
        """Guards against a chunk that a killed stager had sent and the engine stages after its reading."""
        clock = [0.0]
        planner = LoadPlanner(lambda: clock[0])
        target = VersionState(2, (b"a",))
        self.execute(planner, planner.plan(target, engine_report(), 0.0))
        assert planner.plan(target, engine_report(), 2.9) == []
        assert planner.plan(target, engine_report(), 3.0) == [VerifyChunk(0, b"a")]

    def test_failed_staging_of_the_same_version_delays_nothing(self):
        """Guards against a load that waits although a late call would change nothing."""
        clock, planner, target = self.make()
        self.execute(planner, planner.plan(target, engine_report(), 0.0), fail=(1,))
        clock[0] = 0.5
        commands = self.until_order(planner, target, clock)
        assert VerifyChunk(1, b"b") in commands

    @pytest.mark.parametrize(
        ("result", "pinned"),
        [
            (OrderResult.UNKNOWN, True),
            (OrderResult.ACCEPTED, False),
            (OrderResult.REFUSED, False),
            (OrderResult.FAILED, False),
        ],
    )
    def test_no_other_version_is_staged_while_an_order_may_be_accepted(self, result, pinned):
        """Guards against an order that takes effect while the next version is being staged."""
        clock, planner, old = self.make()
        self.until_order(planner, old, clock)
        planner.on_order_ended(result)
        clock[0] = 1.0
        newer = VersionState(3, (b"c", b"d"))
        version = old.version if pinned else 3
        assert {command.version for command in planner.plan(newer, engine_report(), 1.0)} == {
            version
        }

    @pytest.mark.parametrize(
        ("name", "report"),
        [
            ("the engine has accepted the order", engine_report(orders=1)),
            ("the engine has restarted", engine_report(born_ms=6)),
        ],
    )
    def test_next_version_is_staged_once_the_order_is_settled(self, name, report):
        """Guards against a stager that waits for ever for an order without a response."""
        clock, planner, old = self.make()
        self.until_order(planner, old, clock)
        planner.on_order_ended(OrderResult.UNKNOWN)
        clock[0] = 1.0
        newer = VersionState(3, (b"c", b"d"))
        commands = planner.plan(newer, report, 1.0)
        assert [command.version for command in commands] == [3, 3], name

    def test_unknown_order_is_settled_by_the_next_one(self):
        """Guards against a stager that stages a version for ever whose second order was answered."""
        clock, planner, old = self.make()
        self.until_order(planner, old, clock)
        planner.on_order_ended(OrderResult.UNKNOWN)
        clock[0] = 1.0
        newer = VersionState(3, (b"c", b"d"))
        assert self.until_order(planner, newer, clock)[-1].version == 2
        planner.on_order_ended(OrderResult.REFUSED)
        clock[0] = 2.0
        assert planner.plan(newer, engine_report(), 2.0)[0] == StageChunk(3, 0, b"c")
