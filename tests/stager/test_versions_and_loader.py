"""Versions and loads: guards against partial weights, rot, and links that carry two copies at once."""

import pytest

from fescuechute.catalog import EngineReport
from fescuechute.stager import Loader, OrderLoad, StageChunk, VersionPlan, VersionRow

ONE, TWO, THREE = (b"1a", b"1b"), (b"2a", b"2b"), (b"3a", b"3b")


def plan(held, **manifests) -> VersionPlan:
    versions = VersionPlan(held)
    for name, digests in manifests.items():
        version = int(name[1:])
        versions.declare(version)
        versions.set_manifest(version, digests)
    return versions


def report(busy=False) -> EngineReport:
    return EngineReport((), busy, 0, 0, 0, 0, 0, 1.0, 5)


class TestVersions:
    """What is fetched, kept and loaded."""

    def test_a_version_under_way_is_completed_first(self):
        """Guards against two copies that share the link, so that neither is whole in time."""
        held = {b"2a"}
        versions = plan(held, v1=ONE, v2=TWO, v3=THREE)
        assert versions.wanted() == TWO
        held.add(b"2b")
        assert versions.wanted() == THREE

    def test_a_version_that_has_not_begun_is_skipped(self):
        """Guards against a copy that is not needed any more when it is whole."""
        assert plan(set(), v1=ONE, v2=TWO, v3=THREE).wanted() == THREE

    @pytest.mark.parametrize(
        ("name", "apart_s", "wanted"),
        [
            ("soon after, the older one is given up", 2.0, THREE),
            ("later, most of the older one is there already", 4.0, TWO),
        ],
    )
    def test_a_version_declared_soon_after_replaces_the_one_under_way(self, name, apart_s, wanted):
        """Guards against two copies one after the other, the second of them far behind its bound."""
        versions = VersionPlan({b"2a"})
        versions.copy_s = 6.0
        for version, digests in ((2, TWO), (3, THREE)):
            versions.declare(version, 100.0 + (version - 2) * apart_s)
            versions.set_manifest(version, digests)
        assert versions.wanted() == wanted, name

    def test_only_whole_versions_are_loaded(self):
        """Guards against partial weights."""
        held = {b"2a"}
        versions = plan(held, v1=ONE, v2=TWO)
        versions.set_loaded(1)
        assert versions.to_load() is None
        held.add(b"2b")
        assert versions.to_load().version == 2

    def test_an_engine_that_restarted_is_loaded_again(self):
        """Guards against an engine that stays empty after a crash."""
        versions = plan(set(ONE), v1=ONE)
        versions.set_loaded(1)
        assert versions.to_load() is None
        versions.set_loaded(0)
        assert versions.to_load().version == 1

    def test_the_first_version_is_asked_for_only_while_it_is_in_use(self):
        """Guards against endless requests for a manifest that the origin does not keep (incident)."""
        versions = plan(set())
        assert versions.unknown() == [1]
        versions.declare(3)
        assert versions.unknown() == [3]
        versions.set_loaded(1)
        assert versions.unknown() == [1, 3]

    def test_older_versions_are_forgotten(self):
        """Guards against memory that grows with each version."""
        versions = plan(set(ONE) | set(TWO), v1=ONE, v2=TWO)
        versions.set_loaded(2)
        assert set(versions.kept()) == set(TWO)

    def test_a_chunk_has_a_place_while_its_version_is_known(self):
        """Guards against a request to the origin for a chunk of a forgotten version."""
        versions = plan(set(), v1=ONE, v2=TWO)
        assert versions.place(b"2b") == (2, 1)
        versions.set_loaded(2)
        assert versions.place(b"1a") is None

    def test_a_version_that_the_engine_names_is_known(self):
        """Guards against a step back when an engine is ahead of the declarations."""
        versions = plan(set())
        versions.set_loaded(4)
        assert (versions.newest, versions.unknown()) == (4, [4])


class TestLoader:
    """Staging and the order."""

    def drive(self, loader, row, now, fail=()):
        """Carries out the commands for a while; returns those carried out."""
        done = []
        for command in loader.plan(row, report(), now):
            done.append(command)
            if isinstance(command, StageChunk):
                loader.staged(command.index, "no space" if command.index in fail else "")
        return done

    def test_orders_only_once_everything_is_staged(self):
        """Guards against an engine that loads an old chunk among new ones."""
        loader = Loader(lambda: 0.0)
        row = VersionRow(2, tuple(b"%d" % n for n in range(10)))
        seen = []
        while not any(isinstance(command, OrderLoad) for command in seen):
            seen += self.drive(loader, row, 0.0) or [None]
            assert len(seen) < 50
        staged = [command.index for command in seen if isinstance(command, StageChunk)]
        assert sorted(staged) == list(range(10))
        assert loader.plan(row, report(), 0.0) == [], "one order at a time"

    def test_what_was_staged_long_ago_is_staged_again(self):
        """Guards against chunks that rotted before the order."""
        clock = [0.0]
        loader = Loader(lambda: clock[0])
        row = VersionRow(2, (b"a", b"b"))
        for command in loader.plan(row, report(), 0.0):
            loader.staged(command.index, "")
        clock[0] = 3.0
        again = loader.plan(row, report(), 3.0)
        assert [command.index for command in again] == [0, 1]

    def test_a_failed_chunk_is_staged_again_after_a_pause(self):
        """Guards against an order that leaves a chunk of the old version in place."""
        loader = Loader(lambda: 0.0)
        row = VersionRow(2, (b"a", b"b"))
        self.drive(loader, row, 0.0, fail=(1,))
        assert loader.plan(row, report(), 0.1) == []
        assert [command.index for command in loader.plan(row, report(), 0.5)] == [1]

    def test_nothing_is_done_while_the_engine_is_busy_or_silent(self):
        """Guards against chunks that change under a load."""
        loader = Loader(lambda: 0.0)
        row = VersionRow(2, (b"a",))
        assert loader.plan(row, report(busy=True), 0.0) == []
        assert loader.plan(row, None, 0.0) == []
        assert loader.plan(None, report(), 0.0) == []

    def test_an_order_without_answer_is_settled_by_the_report(self):
        """Guards against two orders for one load."""
        loader = Loader(lambda: 0.0)
        row = VersionRow(2, (b"a",))
        for command in loader.plan(row, report(), 0.0):
            loader.staged(command.index, "")
        assert loader.plan(row, report(), 0.0) == [OrderLoad(2)]
        loader.ordered(True)
        assert loader.plan(row, report(), 0.4) == []
