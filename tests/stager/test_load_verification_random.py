"""Load planner and verification against a simulated engine with random faults and a manual clock.

Guards against a load taken for whole that was not, and against an engine that is never loaded again.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import attrs
import pytest

from fescuechute.catalog import EngineReport, LoadedModel, LoadState
from fescuechute.stager import (
    LoadPlanner,
    OrderLoad,
    OrderResult,
    ReadLoadedChunk,
    StageChunk,
    UnloadEngine,
    VerifyChunk,
    VersionPlan,
)
from fescuechute.stager._load_planner import (
    FAILURE_PAUSE_S,
    LATE_STAGE_S,
    ORDER_SETTLE_S,
)

SEEDS = range(150)
CHUNKS = 6
MODEL = "m"
#: Bound of the rule on the time for which a chunk may have been corrupt when it is taken.
MAX_CORRUPT_S = 3.0
TICK_S = 0.05
REPORT_POLL_S = 0.1
CALL_TIMEOUT_S = 1.0
LOAD_S = 0.3
#: Longest way of a call or of a response without faults.
LATENCY_S = 0.01
LATE_PUT_S = 3.0
LATE_ORDER_S = 8.0
#: Seconds with faults, and until a version is downloaded.
FAULTS_S = 40.0
DOWNLOAD_S = (0.2, 2.0)
#: One round of staging, verification, order, load and report without faults.
ROUND_S = 2 * CHUNKS * (2 * LATENCY_S + TICK_S) + ORDER_SETTLE_S + LOAD_S + 2 * REPORT_POLL_S
#: After the last calls have timed out and the last late staging has passed, an order of unknown outcome
#: is settled by a round, an unverified load is unloaded in another one, and the newest version is loaded.
RECOVERY_S = DOWNLOAD_S[1] + CALL_TIMEOUT_S + FAILURE_PAUSE_S + LATE_STAGE_S + 4 * ROUND_S


def digest_of(version: int, index: int) -> bytes:
    return b"%d/%d" % (version, index)


@attrs.define
class Staged:
    """A staged chunk."""

    digest: bytes
    corrupt_since: float | None = None


class Simulation:
    """Events in the order of their times."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.faults_until = self.now + FAULTS_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def has_faults(self) -> bool:
        return self.now < self.faults_until

    def chance(self, share: float) -> bool:
        return self.has_faults and self.rng.random() < share

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(when, self.now), next(self._numbers), call))

    def run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end


class SimulatedEngine:
    """Stages chunks, and loads them when it accepts an order; knows which loads were whole."""

    def __init__(self, sim: Simulation):
        self._sim = sim
        self.born_ms, self.orders, self.version = 1, 0, 1
        self.loading_until = 0.0
        self.stopped_until = 0.0
        #: Time until which it accepts no connection after a crash.
        self._down_until = 0.0
        self.staged = {index: Staged(digest_of(1, index)) for index in range(CHUNKS)}
        #: Whether each load was whole, by start time and accepted orders; an empty engine counts as whole.
        self.whole = {(1, 0): True}

    def call(self, delay_s: float, execute: Callable[[], object], respond) -> None:
        """Carries a call out after a delay, unless the engine has crashed by then."""
        if self._sim.now < self._down_until:
            return
        born_ms = self.born_ms

        def run() -> None:
            if self._sim.now < self.stopped_until:
                self._sim.at(self.stopped_until, run)
            elif born_ms == self.born_ms:
                respond(execute())

        due_at = self._sim.now + delay_s
        if delay_s > LATENCY_S:
            due_at = min(due_at, self._sim.faults_until)
        self._sim.at(due_at, run)

    def stop(self, seconds: float) -> None:
        until = min(self._sim.now + seconds, self._sim.faults_until)
        self.stopped_until = max(self.stopped_until, until)

    def restart(self, loses_power: bool) -> None:
        self.born_ms, self.orders, self.version, self.loading_until = self.born_ms + 1, 0, 0, 0.0
        self.whole[self.born_ms, 0] = True
        self.stopped_until = self._sim.now
        self._down_until = min(
            self._sim.now + self._sim.rng.uniform(0.0, 3.0), self._sim.faults_until
        )
        if loses_power:
            self.staged.clear()

    def corrupt(self) -> None:
        for index in self._sim.rng.sample(range(CHUNKS), self._sim.rng.randint(1, 3)):
            chunk = self.staged.get(index)
            if chunk is not None and chunk.corrupt_since is None:
                chunk.corrupt_since = self._sim.now

    def put(self, index: int, digest: bytes) -> bool:
        self.staged[index] = Staged(digest)
        return True

    def get(self, index: int) -> bytes | None:
        chunk = self.staged.get(index)
        if chunk is None:
            return None
        return chunk.digest if chunk.corrupt_since is None else b"corrupt"

    def order(self, command: OrderLoad | UnloadEngine) -> OrderResult:
        if self._sim.now < self.loading_until or command.expected_orders != self.orders:
            return OrderResult.REFUSED
        unloads = isinstance(command, UnloadEngine)
        if unloads != (command.version == self.version):
            return OrderResult.REFUSED if unloads else OrderResult.IN_EFFECT
        self.orders += 1
        self.version = 0 if unloads else command.version
        self.loading_until = self._sim.now + LOAD_S
        self.whole[self.born_ms, self.orders] = unloads or all(
            self._is_whole(index, command.version) for index in range(CHUNKS)
        )
        return OrderResult.ACCEPTED

    def _is_whole(self, index: int, version: int) -> bool:
        chunk = self.staged.get(index)
        if chunk is None or chunk.digest != digest_of(version, index):
            return False
        return chunk.corrupt_since is None or self._sim.now - chunk.corrupt_since <= MAX_CORRUPT_S

    def report(self) -> EngineReport:
        models = (LoadedModel(MODEL, self.version),) if self.version else ()
        loading = self._sim.now < self.loading_until
        return EngineReport(models, loading, self.orders, 0, 0, 0, 0, 1.0, self.born_ms)


class SimulatedStager:
    """Drives a planner as the daemon does."""

    def __init__(
        self,
        sim: Simulation,
        engine: SimulatedEngine,
        declared: list[int],
        on_order: Callable[[], None],
    ):
        self._sim, self._engine, self._declared = sim, engine, declared
        self._on_order = on_order
        self.alive = True
        self.stopped_until = 0.0
        self._held: set[bytes] = set()
        self.versions = VersionPlan(self._held)
        self._available: dict[int, float] = {}
        self.planner = LoadPlanner(lambda: sim.now)
        self.report: EngineReport | None = None
        self._report_in_flight = False
        self._next_report_at = 0.0
        self._sim.at(sim.now, self._tick)

    def _tick(self) -> None:
        if not self.alive:
            return
        self._sim.at(max(self._sim.now + TICK_S, self.stopped_until), self._tick)
        if self._sim.now < self.stopped_until:
            return
        for version in self._declared:
            if version not in self._available:
                self.versions.declare(version)
                self._available[version] = self._sim.now + self._sim.rng.uniform(*DOWNLOAD_S)
            if self._available[version] <= self._sim.now:
                digests = tuple(digest_of(version, index) for index in range(CHUNKS))
                self._held.update(digests)
                self.versions.set_manifest(version, digests)
        if not self._report_in_flight and self._sim.now >= self._next_report_at:
            self._report_in_flight = True
            self._next_report_at = self._sim.now + REPORT_POLL_S
            self._call(self._engine.report, self._on_report)
        self._plan()

    def _call(self, execute, on_end, late_s: float = 0.0) -> None:
        """Calls the engine; `on_end` gets the result, or None if no response arrived in time."""
        sim, ended = self._sim, []

        def end(result: object) -> None:
            if not self.alive or ended:
                return
            if sim.now < self.stopped_until:
                # Either a response that waits is read first, or the call times out.
                delay_s = sim.rng.choice((0.0, 0.001)) if result is None else 0.0
                sim.at(self.stopped_until + delay_s, lambda: end(result))
                return
            ended.append(True)
            on_end(result)

        def respond(result: object) -> None:
            if not sim.chance(0.03):
                delay_s = sim.rng.uniform(0, 1.5) if sim.chance(0.05) else LATENCY_S
                sim.at(sim.now + delay_s, lambda: end(result))

        delay_s = LATENCY_S
        if sim.chance(0.05):
            delay_s = sim.rng.uniform(0, late_s)
        self._engine.call(delay_s, execute, respond)
        sim.at(sim.now + CALL_TIMEOUT_S, lambda: end(None))

    def _on_report(self, report: EngineReport | None) -> None:
        self._report_in_flight = False
        self.report = report
        if report is None:
            return
        version = {model.name: model.version for model in report.models}.get(MODEL, 0)
        if version != self.versions.loaded:
            self.versions.set_loaded(version)
        self.planner.verification.observe(report)
        self._check()

    def _check(self) -> None:
        report = self.report
        if report is None or self.planner.verification.state is not LoadState.VERIFIED:
            return
        load = report.born_ms, report.orders
        assert self._engine.whole[load], f"load {load} is verified and was not whole"

    def _plan(self) -> None:
        loaded = self.versions.get(self.versions.loaded)
        can_reload = loaded is not None and loaded.is_complete(self._held)
        target = self.versions.to_load()
        for command in self.planner.plan(target, self.report, self._sim.now, loaded, can_reload):
            self._execute(command)
        self._check()

    def _execute(self, command) -> None:
        engine, planner = self._engine, self.planner
        if isinstance(command, StageChunk):

            def on_staged(done: bool | None) -> None:
                planner.on_staged(command.index, "" if done else "silent")
                self._plan()

            self._call(lambda: engine.put(command.index, command.digest), on_staged, LATE_PUT_S)
        elif isinstance(command, VerifyChunk):

            def on_read(digest: bytes | None) -> None:
                planner.on_verified(command.index, digest == command.digest)
                self._plan()

            self._call(lambda: engine.get(command.index), on_read, 1.0)
        elif isinstance(command, ReadLoadedChunk):

            def on_read_back(response: tuple[bytes | None] | None) -> None:
                if response is None:
                    planner.on_read_failed(command)
                    return
                (digest,) = response
                loaded = self.versions.get(self.versions.loaded)
                known = frozenset(self.versions.retained_digests())
                planner.verification.record_read(command, digest, loaded, known)
                self._plan()

            self._call(lambda: (engine.get(command.index),), on_read_back, 1.0)
        elif isinstance(command, OrderLoad):

            def on_ordered(result: OrderResult | None) -> None:
                planner.on_order_ended(result or OrderResult.UNKNOWN)

            if self._sim.now > command.send_deadline:
                planner.on_order_ended(OrderResult.FAILED)
                return
            self._on_order()
            self._call(lambda: engine.order(command), on_ordered, LATE_ORDER_S)
        else:

            def on_unloaded(result: OrderResult | None) -> None:
                planner.on_unload_ended(result or OrderResult.UNKNOWN)

            self._call(lambda: engine.order(command), on_unloaded, LATE_ORDER_S)


class Deployment:
    """An engine and its stager, which stop, crash and restart at random while versions are declared."""

    def __init__(self, seed: int):
        self.sim = Simulation(seed)
        self.engine = SimulatedEngine(self.sim)
        self.declared = [1]
        self.stager = self._start_stager()
        self.sim.at(self.sim.now, self._disturb)

    def run(self, seconds: float) -> None:
        self.sim.run_until(self.sim.now + seconds)

    def is_loaded(self) -> bool:
        """Returns whether the newest version is loaded and known to be whole."""
        return (
            self.engine.version == self.declared[-1]
            and self.engine.whole[self.engine.born_ms, self.engine.orders]
            and self.stager.planner.verification.state is LoadState.VERIFIED
        )

    def _declare(self) -> None:
        self.declared.append(self.declared[-1] + 1)

    def _start_stager(self) -> SimulatedStager:
        return SimulatedStager(self.sim, self.engine, self.declared, self._disturb_order)

    def _disturb_order(self) -> None:
        """Stops the engine, often the stager too, just as an order is sent, and corrupts chunks."""
        sim = self.sim
        if not sim.chance(0.5):
            return
        stop_s = sim.rng.uniform(0.2, 6.0)
        self.engine.stop(stop_s)
        sim.at(sim.now + sim.rng.uniform(0.0, 0.5), self.engine.corrupt)
        if sim.chance(0.5):
            self._stop_stager(stop_s + sim.rng.uniform(-0.5, 0.5))
        if sim.chance(0.3):
            sim.at(sim.now + sim.rng.uniform(0.0, 2.0), self._restart_stager)

    def _disturb(self) -> None:
        sim = self.sim
        if not sim.has_faults:
            return
        sim.at(sim.now + sim.rng.uniform(0.1, 4.0), self._disturb)
        sim.rng.choice([
            self._declare,
            self._declare,
            self._declare,
            self.engine.corrupt,
            self.engine.corrupt,
            lambda: self.engine.stop(sim.rng.uniform(0.2, 6.0)),
            lambda: self.engine.restart(sim.rng.random() < 0.3),
            lambda: self._stop_stager(sim.rng.uniform(0.2, 6.0)),
            self._restart_stager,
        ])()  # fmt: skip

    def _stop_stager(self, seconds: float) -> None:
        until = min(self.sim.now + seconds, self.sim.faults_until)
        self.stager.stopped_until = max(self.stager.stopped_until, until)

    def _restart_stager(self) -> None:
        self.stager.alive = False
        self.stager = self._start_stager()


@pytest.mark.parametrize("seed", SEEDS)
def test_verified_loads_are_whole(seed):
    """Guards against a load that is taken for whole and was corrupt, incomplete or of two versions."""
    deployment = Deployment(seed)
    deployment.run(FAULTS_S + RECOVERY_S)


@pytest.mark.parametrize("seed", SEEDS)
def test_newest_version_is_loaded_and_verified_after_faults(seed):
    """Guards against an engine that stays empty, on an old version or on a load nobody can verify."""
    deployment = Deployment(seed)
    deployment.run(FAULTS_S + RECOVERY_S)
    assert deployment.is_loaded(), (
        deployment.engine.report(),
        deployment.declared[-1],
        deployment.stager.planner.verification.state,
    )
