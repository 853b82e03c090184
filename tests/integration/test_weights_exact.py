"""Exact weights with real processes: no VM ever serves partial weights or a mix of versions.

Engines write every request with the weights that they held at its start and end to a file, which
outlives them. After each scenario all of these records are compared with the accepted notes.
"""

import json
import random
import signal
import socket
import threading
import time

import pytest

from tests.harness import (
    Layout,
    Pool,
    System,
    add_target,
    http_json,
    set_faults,
    start_agent,
    start_engine,
    start_proxy,
    wait_until,
)
from tests.integration.traffic import Traffic, summary

SEED = 20271
#: Size of one version: enough chunks for faults to strike in the middle.
SIZE = 3 << 20
#: Seconds in which a withdrawal must be in force everywhere (I7).
IN_FORCE_S = 3.0


class RecordedSystem(System):
    """A system whose engines keep their history in files, by replica."""

    def __init__(self, fleet, layout):
        super().__init__(fleet, layout)
        self.declared = []

    def _start_upstream(self, pool):
        number = sum("engine" in process.name for process in self.fleet.processes)
        return self.start_engine(self.fleet.directory / f"history-{number}.jsonl")

    def start_engine(self, history, port=0):
        """Starts an engine; an engine started again goes on with the same file and port."""
        process = start_engine(
            self.fleet,
            name="engine",
            port=port,
            slots=self.layout.slots,
            load_s=0.3,
            history_file=history,
        )
        process.history = history
        # An engine that refuses an order for missing blobs would hide a fault of the agent.
        set_faults(process.port, accept_partial=True)
        return process

    def declare(self, releases, **fields):
        """Publishes a note and keeps the sets that it declares for a place."""
        self.publish(releases, **fields)
        changed = {(r["kind"], r["name"]): r["version"] for r in releases}
        before = dict(self.declared[-1]) if self.declared else {}
        gone = {(w["kind"], w["name"]) for w in fields.get("withdraw", [])}
        after = {key: version for key, version in before.items() if key not in gone}
        self.declared.append(after | changed)

    def records(self):
        """Returns the last record of each request by (boot id, request id)."""
        found = {}
        for path in sorted(self.fleet.directory.glob("history-*.jsonl")):
            for line in path.read_text().splitlines():
                record = json.loads(line)
                found[(path.name, record["boot_id"], record["request_id"])] = record
        return found

    def adapter(self, version):
        """Returns the release of an adapter of the model."""
        return self.release("yard", version, 1 << 18, kind="adapter", model="assistant")

    def held(self):
        """Returns what each engine that answers holds now."""
        found = []
        for replica in self.replicas:
            if replica.upstream.alive:
                body = http_json("GET", replica.upstream.port, "/state")[1]
                weights = {(w["kind"], w["name"]): w["version"] for w in body["weights"]}
                found.append(None if body["loading"] else weights)
        return found

    def wait_exact(self, deadline_s=30.0):
        """Waits until each engine holds the newest declared set and each entry knows it."""
        newest = self.declared[-1]
        wanted = sorted([kind, name, version] for (kind, name), version in newest.items())

        def known():
            rows = [row for e in self.entries for row in self.status(e)["upstreams"]]
            return rows and all(row["weights"] == wanted for row in rows)

        wait_until(
            lambda: all(h == newest for h in self.held()), deadline_s, f"engines at {newest}"
        )
        wait_until(known, deadline_s, f"entries at {newest}")


def start(fleet, replicas=3, **fields):
    layout = Layout(pools=(Pool("assistant", replicas),), **fields)
    system = RecordedSystem(fleet, layout).start()
    system.declare([system.release("assistant", "v1", SIZE)])
    system.wait_exact()
    return system


def traffic_of(system, seed):
    async def make(traffic, rng):
        await traffic.generate(max_tokens=rng.choice((5, 20, 60)), timeout_s=15.0)

    return Traffic(lambda: [entry.port for entry in system.entries], seed, 25, make)


def assert_served_exactly(system):
    """Compares every request that an engine served with the notes; returns the complete ones."""
    allowed = [
        sorted([kind, name, version] for (kind, name), version in declared.items())
        for declared in system.declared
    ]
    records = list(system.records().values())
    complete = [record for record in records if record["outcome"] == "complete"]
    for record in records:
        sides = ["weights_start"] + ["weights_end"] * (record["outcome"] == "complete")
        for side in sides:
            shown = sorted([w["kind"], w["name"], w["version"]] for w in record[side])
            assert shown in allowed, f"{side} is no declared set: {record}"
            assert all(w["complete"] for w in record[side]), f"{side} lacks blobs: {record}"
    for record in complete:
        assert record["weights_start"] == record["weights_end"], f"changed meanwhile: {record}"
    return complete


def assert_exact(system, stories):
    """Checks what engines served, and that each caller was told the version that was held."""
    complete = assert_served_exactly(system)
    versions = {}
    for record in complete:
        request_id = record["request_id"].rpartition("/")[0]
        version = next(w["version"] for w in record["weights_end"] if w["kind"] == "model")
        versions.setdefault(request_id, set()).add(version)
    seen = [s for story in stories for s in story.sends if s.outcome == "answered"]
    assert seen, summary(stories)
    for answer in seen:
        assert answer.version in versions[answer.request_id], answer
    wrong = [s for story in stories for s in story.sends if s.outcome == "wrong"]
    assert not wrong, wrong
    print(f"{len(complete)} complete at engines, {len(seen)} answers; {summary(stories)}")


def test_corrupt_chunks(fleet):
    """A chunk damaged at the origin or between agents must never reach an engine."""
    proxies = []

    class Proxied(RecordedSystem):
        def register_replica(self, replica, link_port=0):
            if not proxies:
                proxies.append(start_proxy(self.fleet, replica.agent.link_port, name="links"))
                port = proxies[0].port
            else:
                port = add_target(proxies[0], replica.agent.link_port)
            super().register_replica(replica, port)

    system = Proxied(fleet, Layout(pools=(Pool("assistant", 3),))).start()
    system.declare([system.release("assistant", "v1", SIZE)])
    system.wait_exact()
    for server in (system.origin, system.store):
        set_faults(server.port, corrupt_every_n=3)
    # Every connection loses about one frame in each MiB, also those between entries and agents.
    set_faults(proxies[0].control_port, corrupt_every_bytes=1 << 20)
    with traffic_of(system, SEED) as traffic:
        system.declare([system.release("assistant", "v2", SIZE)])
        system.wait_exact(40)
        set_faults(proxies[0].control_port, corrupt_every_bytes=0)
        stories = traffic.stop()
    assert_exact(system, stories)
    bad = {}
    for replica in system.replicas:
        page = http_json("GET", replica.agent.http_port, "/v1/status")[1]
        for name, count in page["counters"].items():
            if "corrupt" in name.lower() or "bad" in name.lower() or "invalid" in name.lower():
                bad[name] = bad.get(name, 0) + count
    print(f"damage noticed: {bad}")
    assert sum(bad.values()) > 0, "no corrupt chunk was ever sent, so the test shows nothing"


def kill_vm(system, replica):
    """Kills engine and agent; the VM list learns of the replacement only."""
    for process in (replica.agent, replica.upstream):
        process.kill(signal.SIGKILL)
    for process in (replica.agent, replica.upstream):
        process.wait_end(5)


def replace_vm(system, replica):
    """Starts a VM with the same addresses of engine and agent and nothing kept."""
    history, port = replica.upstream.history, replica.upstream.port
    replica.upstream = system.start_engine(history, port)
    replica.upstream.wait_ready()
    replica.agent = start_agent(system.fleet, replica.settings_path, name=replica.agent_id)
    system.register_replica(replica)


def progress(replica):
    return http_json("GET", replica.agent.http_port, "/v1/status")[1]["weights"]


def staged(replica):
    return len(http_json("GET", replica.upstream.port, "/staging")[1])


def is_loading(replica):
    return http_json("GET", replica.upstream.port, "/state")[1]["loading"]


STAGES = {
    "chunks missing": lambda r, held: progress(r)["missing"] > 0,
    "staging": lambda r, held: progress(r)["switch"] == "loading" and staged(r) > held,
    "waiting for its wave or draining": lambda r, held: (
        progress(r)["switch"] in ("ready_to_switch", "draining", "ordering")
    ),
    "loading": lambda r, held: is_loading(r),
    "just confirmed": lambda r, held: progress(r)["switch"] == "live",
}


def test_vm_death_at_every_stage(fleet):
    """A VM that dies while it loads must come back with exactly the declared set."""
    system = start(fleet)
    reached = {}
    with traffic_of(system, SEED + 1) as traffic:
        for number, (stage, is_reached) in enumerate(STAGES.items(), 2):
            victim = system.replicas[number % len(system.replicas)]
            held = staged(victim)
            # Slow enough that the stages can be told apart.
            set_faults(system.origin.port, bytes_per_s=4 << 20)
            system.declare([system.release("assistant", f"v{number}", SIZE)])
            limit = time.monotonic() + 10
            while not (reached_now := is_reached(victim, held)) and time.monotonic() < limit:
                time.sleep(0.002)
            reached[stage] = reached_now
            kill_vm(system, victim)
            replace_vm(system, victim)
            system.wait_exact()
        stories = traffic.stop()
    print(f"stages reached: {reached}")
    assert all(reached.values()), reached
    assert_exact(system, stories)


def test_newer_note_in_mid_flight_and_withdrawal(fleet):
    """Notes that overtake a load, and a withdrawal, must leave no mix and no withdrawn service."""
    system = start(fleet)
    rng = random.Random(SEED + 2)
    with traffic_of(system, SEED + 2) as traffic:
        set_faults(system.origin.port, bytes_per_s=8 << 20)
        releases = [system.release("assistant", f"v{n}", SIZE) for n in range(2, 6)]
        for release in releases:
            adapters = [system.adapter(release["version"])] if rng.random() < 0.5 else []
            system.declare([release, *adapters])
            # Uneven gaps strike fetching, staging, switching and loading.
            pause = threading.Event()
            pause.wait(rng.uniform(0.05, 1.2))
        system.wait_exact()
        withdraw = [
            {"kind": kind, "name": name, "places": ["*"]}
            for kind, name in sorted(system.declared[-1])
        ]
        withdrawn_at = time.time()
        system.declare([], withdraw=withdraw)
        wait_until(
            lambda: all(progress(r)["serving"] == [] for r in system.replicas),
            IN_FORCE_S,
            "no replica serves what is withdrawn",
        )
        print(f"withdrawn everywhere after {time.time() - withdrawn_at:.2f} s")
        later = time.time() + 1.0
        wait_until(lambda: time.time() > later, 3, "requests after the withdrawal")
        system.declare([releases[0]])
        back_at = time.time()
        system.wait_exact()
        print(f"declared again and exact after {time.time() - back_at:.2f} s")
        stories = traffic.stop()
    assert_exact(system, stories)
    starts = [record["start"] - withdrawn_at for record in system.records().values()]
    late = [at for at in starts if IN_FORCE_S < at < back_at - withdrawn_at]
    assert not late, late


class OrderDelay:
    """TCP forwarder in front of an engine that can hold back the connections with orders."""

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.released = threading.Event()
        self.released.set()
        self.held = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._forward, args=(conn,), daemon=True).start()

    def _forward(self, conn):
        try:
            with conn, socket.create_connection(("127.0.0.1", self._target)) as far:
                back = threading.Thread(target=self._copy, args=(far, conn), daemon=True)
                back.start()
                while data := conn.recv(1 << 16):
                    if data.startswith(b"POST /orders") and not self.released.is_set():
                        self.held += 1
                        self.released.wait(20)
                    far.sendall(data)
                far.shutdown(socket.SHUT_WR)
                back.join()
        except OSError:
            return

    @staticmethod
    def _copy(source, sink):
        try:
            while data := source.recv(1 << 16):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


def test_order_delayed_past_its_successor(fleet):
    """An engine that ignores fencing numbers must not be turned back by a late order."""
    delays = []

    class Delayed(RecordedSystem):
        def start_replica(self, pool, region, upstream=None):
            delay = OrderDelay(upstream.port)
            delays.append(delay)
            # The agent's settings name the forwarder; the engine itself is asked directly.
            real, upstream._ready = upstream.ready, {"port": delay.port}
            replica = super().start_replica(pool, region, upstream)
            upstream._ready = real
            return replica

    system = Delayed(fleet, Layout(pools=(Pool("assistant", 2),))).start()
    model = system.release("assistant", "v1", SIZE)
    adapter = system.adapter("a1")
    system.declare([model, adapter])
    system.wait_exact()
    with traffic_of(system, SEED + 3) as traffic:
        delays[0].released.clear()
        # The delayed order takes the adapter away. Its successor holds all blobs of both sets, so
        # that the late order would succeed.
        withdraw = [{"kind": "adapter", "name": "yard", "places": ["*"]}]
        system.declare([], withdraw=withdraw)
        wait_until(lambda: delays[0].held >= 1, 15, "the order under way")
        system.declare([adapter])
        until = time.time() + 4.0
        wait_until(lambda: time.time() > until, 6, "the successor to overtake")
        delays[0].released.set()
        system.wait_exact()
        until = time.time() + 1.0
        wait_until(lambda: time.time() > until, 3, "requests after the late order")
        system.wait_exact()
        stories = traffic.stop()
    for delay in delays:
        delay.close()
    assert_exact(system, stories)


def test_agent_frozen_and_engine_restarted(fleet):
    """A long pause of an agent in a switch, or an engine that comes back empty, must not show."""
    system = start(fleet)
    frozen, emptied = system.replicas[0], system.replicas[1]
    with traffic_of(system, SEED + 4) as traffic:
        system.declare([system.release("assistant", "v2", SIZE)])
        wait_until(
            lambda: progress(frozen)["switch"] not in ("live", "loading"), 15, "the switch to begin"
        )
        frozen.agent.freeze()
        system.declare([system.release("assistant", "v3", SIZE)])
        until = time.time() + 4.0
        wait_until(lambda: time.time() > until, 6, "links to the frozen agent to be dropped")
        frozen.agent.thaw()
        system.wait_exact()
        emptied.upstream.kill(signal.SIGKILL)
        emptied.upstream.wait_end(5)
        emptied.upstream = system.start_engine(emptied.upstream.history, emptied.upstream.port)
        emptied.upstream.wait_ready()
        system.wait_exact()
        stories = traffic.stop()
    assert_exact(system, stories)


SPOILT = [
    pytest.param(lambda r: r["weights_start"][0].update(complete=False), "lacks", id="partial"),
    pytest.param(lambda r: r["weights_end"][0].update(version="v2"), "changed", id="changed"),
    pytest.param(lambda r: r["weights_end"][0].update(version="v3"), "no declared", id="unknown"),
    pytest.param(
        lambda r: r["weights_start"].append({**r["weights_start"][0], "version": "v2"}),
        "no declared",
        id="mixed",
    ),
]


@pytest.mark.parametrize(("spoil", "found"), SPOILT)
def test_checker_finds_a_spoilt_history(spoil, found):
    """A checker that passes everything would hide a mix."""
    held = {"kind": "model", "name": "assistant", "version": "v1", "complete": True}
    record = {
        "request_id": "r1/1",
        "outcome": "complete",
        "weights_start": [dict(held)],
        "weights_end": [dict(held)],
    }

    class History:
        declared = ({("model", "assistant"): "v1"}, {("model", "assistant"): "v2"})

        def records(self):
            return {"r1": record}

    assert assert_served_exactly(History()) == [record]
    spoil(record)
    with pytest.raises(AssertionError, match=found):
        assert_served_exactly(History())
