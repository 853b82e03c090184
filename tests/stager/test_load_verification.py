"""Verification of loads: guards against requests on weights that were not whole when they were taken."""

import pytest

from fescuechute.catalog import EngineReport, LoadState
from fescuechute.stager import (
    LoadId,
    LoadPlanner,
    LoadVerification,
    OrderLoad,
    OrderResult,
    ReadLoadedChunk,
    StageChunk,
    UnloadEngine,
    VerifyChunk,
    VersionState,
)

DIGESTS = (b"a", b"b")
LOADED = VersionState(2, DIGESTS)
KNOWN = {b"a", b"b", b"chunk of another version"}


def report(orders=0, loading=False, born_ms=5) -> EngineReport:
    return EngineReport((), loading, orders, 0, 0, 0, 0, 1.0, born_ms)


def verification_of(*reports: EngineReport) -> LoadVerification:
    verification = LoadVerification()
    for item in reports:
        verification.observe(item)
    return verification


def read_all(verification, latest, *digests) -> None:
    """Reads the loaded chunks back, which have these digests."""
    commands = verification.plan(latest, LOADED, True)
    assert [command.index for command in commands] == [0, 1]
    for command, digest in zip(commands, digests, strict=True):
        verification.record_read(command, digest, LOADED, KNOWN)


@pytest.mark.parametrize(
    ("name", "reports", "state"),
    [
        ("weights with which the engine started", [report()], LoadState.VERIFIED),
        ("load on an order of an earlier stager", [report(orders=1)], LoadState.UNKNOWN),
        ("load whose order was not answered", [report(), report(orders=1)], LoadState.UNVERIFIED),
        (
            "engine that restarted and accepted an order",
            [report(), report(orders=1, born_ms=6)],
            LoadState.UNVERIFIED,
        ),
        ("engine that does not count its orders", [report(orders=None)], LoadState.UNKNOWN),
    ],
)
def test_state_follows_from_the_reports(name, reports, state):
    """Guards against weights that are taken for verified because the engine reports their version."""
    assert verification_of(*reports).state is state, name


@pytest.mark.parametrize(
    ("answered_at", "state"), [(3.0, LoadState.VERIFIED), (3.1, LoadState.UNVERIFIED)]
)
@pytest.mark.parametrize("report_first", [False, True])
def test_order_answered_in_time_verifies_its_load(answered_at, state, report_first):
    """Guards against a load of chunks that were verified more than 3 s before the order was accepted."""
    verification = verification_of(report(orders=4))
    verification.record_order(False)
    if report_first:
        verification.observe(report(orders=5, loading=True))
    verification.record_acceptance(LoadId(5, 5), oldest_verified_at=0.0, now=answered_at)
    verification.observe(report(orders=5, loading=True))
    assert verification.state is state


def test_answer_of_an_engine_that_restarted_since_its_report_verifies_nothing():
    """Guards against an order that an engine accepts after it has lost its staged chunks."""
    verification = verification_of(report())
    verification.record_order(False)
    verification.record_acceptance(LoadId(5, 1), oldest_verified_at=0.0, now=0.1)
    verification.observe(report(orders=1, born_ms=6))
    assert verification.state is LoadState.UNVERIFIED


@pytest.mark.parametrize(
    ("name", "own", "digest", "state"),
    [
        ("whole", True, b"b", LoadState.VERIFIED),
        ("whole, earlier stager", False, b"b", LoadState.VERIFIED),
        ("corrupt", True, b"?", LoadState.UNVERIFIED),
        ("corrupt, earlier stager", False, b"?", LoadState.UNVERIFIED),
        ("of another version", True, b"chunk of another version", LoadState.UNVERIFIED),
        (
            "of a version that an earlier stager staged later",
            False,
            b"chunk of another version",
            LoadState.UNKNOWN,
        ),
        ("missing", True, None, LoadState.UNVERIFIED),
        ("missing, earlier stager", False, None, LoadState.UNVERIFIED),
    ],
)
def test_loaded_chunks_are_read_back(name, own, digest, state):
    """Guards against requests on a load with one wrong chunk, and against a good load that is not used."""
    latest = report(orders=1)
    verification = verification_of(report(), latest) if own else verification_of(latest)
    read_all(verification, latest, b"a", digest)
    assert verification.state is state, name
    replaces = [UnloadEngine(2, 1)] if state is LoadState.UNVERIFIED else []
    assert verification.plan(latest, LOADED, True) == replaces


def test_load_is_replaced_only_while_all_chunks_are_held():
    """Guards against an engine without weights that waits for a download."""
    latest = report(orders=1)
    verification = verification_of(report(), latest)
    read_all(verification, latest, b"a", b"?")
    assert verification.plan(latest, LOADED, False) == []


@pytest.mark.parametrize(
    "latest", [report(orders=1, loading=True), report(orders=0), report(orders=None)]
)
def test_nothing_is_read_while_nothing_is_to_be_verified(latest):
    """Guards against calls for a load that is in progress, verified or not identified."""
    assert verification_of(report(), latest).plan(latest, LOADED, True) == []


def test_chunks_staged_after_the_order_verify_nothing():
    """Guards against a repeated staging that repairs a chunk after the engine has loaded it."""
    latest = report(orders=1)
    verification = verification_of(report())
    verification.record_order(False)
    verification.record_staging()
    verification.observe(latest)
    assert verification.plan(latest, LOADED, True) == [UnloadEngine(2, 1)]


def test_late_staging_after_the_order_verifies_nothing():
    """Guards against a staging without a response that repairs a chunk after the engine has loaded it."""
    latest = report(orders=1)
    verification = verification_of(report())
    verification.record_order(True)
    verification.observe(latest)
    assert verification.plan(latest, LOADED, True) == [UnloadEngine(2, 1)]


def test_chunk_read_of_an_earlier_load_is_ignored():
    """Guards against a chunk that was read before the engine accepted the order."""
    verification = verification_of(report(), report(orders=1))
    commands = verification.plan(report(orders=1), LOADED, True)
    verification.observe(report(orders=2))
    for command in commands:
        verification.record_read(command, DIGESTS[command.index], LOADED, KNOWN)
    assert verification.state is LoadState.UNVERIFIED


class TestLoadPlanner:
    """Loads that are verified, read back or replaced as the planner orders them."""

    def order(self, planner, now) -> OrderLoad:
        """Plans until the order."""
        while True:
            for command in planner.plan(LOADED, report(), now):
                if isinstance(command, StageChunk):
                    planner.on_staged(command.index, "")
                elif isinstance(command, VerifyChunk):
                    planner.on_verified(command.index, True)
                else:
                    return command

    @pytest.mark.parametrize(
        ("result", "state"),
        [
            (OrderResult.ACCEPTED, LoadState.VERIFIED),
            (OrderResult.IN_EFFECT, LoadState.UNVERIFIED),
            (OrderResult.UNKNOWN, LoadState.UNVERIFIED),
        ],
    )
    def test_only_an_accepted_order_verifies_its_load(self, result, state):
        """Guards against a load that a repeated order finds in effect and nobody has verified."""
        now = [0.0]
        planner = LoadPlanner(lambda: now[0])
        now[0] = 10.0
        self.order(planner, 10.0)
        planner.on_order_ended(result)
        planner.plan(None, report(orders=1, loading=True), 10.2)
        assert planner.verification.state is state

    def test_unverified_load_is_read_back_and_replaced_once_at_a_time(self):
        """Guards against a corrupt load that stays, and against two orders to replace it."""
        now = [0.0]
        planner = LoadPlanner(lambda: now[0])
        now[0] = 10.0
        self.order(planner, 10.0)
        planner.on_order_ended(OrderResult.UNKNOWN)
        latest, now[0] = report(orders=1), 11.0
        reads = planner.plan(None, latest, 11.0, LOADED, True)
        assert reads == [ReadLoadedChunk(LoadId(5, 1), index) for index in (0, 1)]
        for command in reads:
            planner.verification.record_read(command, b"?", LOADED, KNOWN)
        assert planner.plan(None, latest, 11.0, LOADED, True) == [UnloadEngine(2, 1)]
        assert planner.plan(None, latest, 11.1, LOADED, True) == []
        planner.on_unload_ended(OrderResult.ACCEPTED)
        assert planner.plan(None, latest, 11.2, LOADED, True) == []
        assert planner.plan(LOADED, report(orders=2), 12.0)[0] == StageChunk(2, 0, b"a")

    def test_failed_reading_is_repeated_after_a_pause(self):
        """Guards against an engine that is emptied because a call to it timed out."""
        planner = LoadPlanner(lambda: 10.0)
        planner.plan(None, report(), 10.0)
        reads = planner.plan(None, report(orders=1), 10.0, LOADED, True)
        for command in reads:
            planner.on_read_failed(command)
        assert planner.plan(None, report(orders=1), 10.2, LOADED, True) == []
        assert planner.plan(None, report(orders=1), 10.3, LOADED, True) == reads

    def test_unsupported_order_to_unload_is_repeated_rarely(self):
        """Guards against orders without pause to an engine that cannot be emptied."""
        planner = LoadPlanner(lambda: 10.0)
        planner.plan(None, report(), 10.0)
        for command in planner.plan(None, report(orders=1), 10.0, LOADED, True):
            planner.verification.record_read(command, b"?", LOADED, KNOWN)
        assert planner.plan(None, report(orders=1), 10.0, LOADED, True) == [UnloadEngine(2, 1)]
        planner.on_unload_ended(OrderResult.FAILED)
        assert planner.plan(None, report(orders=1), 14.9, LOADED, True) == []
        assert planner.plan(None, report(orders=1), 15.0, LOADED, True) == [UnloadEngine(2, 1)]
