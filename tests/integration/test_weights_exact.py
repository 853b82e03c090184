"""With real processes, no engine serves partial weights or weights that no note declared together.

Each engine appends every request, with the weights that were loaded at its start and end, to a file
that survives a crash. After each scenario, all records are compared with the accepted notes.
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
#: Size of one model version; it has enough chunks for faults to occur between them.
MODEL_BYTES = 3 << 20
#: Seconds within which every agent must apply a withdrawal (I7).
PROPAGATION_S = 3.0


class RecordedSystem(System):
    """A system whose engines record their requests in one file per replica."""

    def __init__(self, fleet, layout):
        super().__init__(fleet, layout)
        self.declared_sets = []

    def _start_upstream(self, pool):
        number = sum("engine" in process.name for process in self.fleet.processes)
        return self.start_engine(self.fleet.directory / f"history-{number}.jsonl")

    def start_engine(self, history, port=0):
        """Starts an engine; pass the file and port of its predecessor to restart it."""
        process = start_engine(
            self.fleet,
            name="engine",
            port=port,
            slots=self.layout.slots,
            load_s=0.3,
            history_file=history,
        )
        process.history = history
        # An engine that refuses orders with missing blobs would hide faults of the agent.
        set_faults(process.port, accept_partial=True)
        return process

    def declare(self, releases, **fields):
        """Publishes a note and remembers the set of weights that it declares."""
        self.publish(releases, **fields)
        changed = {(r["kind"], r["name"]): r["version"] for r in releases}
        before = dict(self.declared_sets[-1]) if self.declared_sets else {}
        withdrawn = {(w["kind"], w["name"]) for w in fields.get("withdraw", [])}
        after = {key: version for key, version in before.items() if key not in withdrawn}
        self.declared_sets.append(after | changed)

    def records(self):
        """Returns the last record of each request by (file name, boot id, request id)."""
        found = {}
        for path in sorted(self.fleet.directory.glob("history-*.jsonl")):
            for line in path.read_text().splitlines():
                record = json.loads(line)
                found[(path.name, record["boot_id"], record["request_id"])] = record
        return found

    def adapter(self, version):
        """Uploads an adapter of the model and returns its release."""
        return self.release("yard", version, 1 << 18, kind="adapter", model="assistant")

    def loaded_weights(self):
        """Returns the weights loaded by each live engine, None for one that is loading."""
        loaded = []
        for replica in self.replicas:
            if replica.upstream.alive:
                body = http_json("GET", replica.upstream.port, "/state")[1]
                weights = {(w["kind"], w["name"]): w["version"] for w in body["weights"]}
                loaded.append(None if body["loading"] else weights)
        return loaded

    def wait_converged(self, deadline_s=30.0):
        """Waits until each engine has loaded the newest declared set and each entry reports it."""
        newest = self.declared_sets[-1]
        wanted = sorted([kind, name, version] for (kind, name), version in newest.items())

        def entries_converged():
            rows = [row for e in self.entries for row in self.status(e)["upstreams"]]
            return rows and all(row["weights"] == wanted for row in rows)

        wait_until(
            lambda: all(loaded == newest for loaded in self.loaded_weights()),
            deadline_s,
            f"engines at {newest}",
        )
        wait_until(entries_converged, deadline_s, f"entries at {newest}")


def start_system(fleet, replicas=3, **fields):
    layout = Layout(pools=(Pool("assistant", replicas),), **fields)
    system = RecordedSystem(fleet, layout).start()
    system.declare([system.release("assistant", "v1", MODEL_BYTES)])
    system.wait_converged()
    return system


def start_traffic(system, seed):
    async def make(traffic, rng):
        await traffic.generate(max_tokens=rng.choice((5, 20, 60)), timeout_s=15.0)

    return Traffic(lambda: [entry.port for entry in system.entries], seed, 25, make)


def assert_weights_were_declared(system):
    """Compares each request that an engine served with the notes; returns the completed ones."""
    declared = [
        sorted([kind, name, version] for (kind, name), version in weights.items())
        for weights in system.declared_sets
    ]
    records = list(system.records().values())
    complete = [record for record in records if record["outcome"] == "complete"]
    for record in records:
        moments = ["weights_start"] + ["weights_end"] * (record["outcome"] == "complete")
        for moment in moments:
            loaded = sorted([w["kind"], w["name"], w["version"]] for w in record[moment])
            assert loaded in declared, f"{moment} is no declared set of weights: {record}"
            assert all(w["complete"] for w in record[moment]), f"{moment} lacks blobs: {record}"
    for record in complete:
        assert record["weights_start"] == record["weights_end"], (
            f"weights changed during the request: {record}"
        )
    return complete


def assert_exact_weights(system, requests):
    """Checks the engines' records, and that each answer names the version that produced it."""
    complete = assert_weights_were_declared(system)
    versions = {}
    for record in complete:
        request_id = record["request_id"].rpartition("/")[0]
        version = next(w["version"] for w in record["weights_end"] if w["kind"] == "model")
        versions.setdefault(request_id, set()).add(version)
    answers = [a for request in requests for a in request.attempts if a.outcome == "answered"]
    assert answers, summary(requests)
    for answer in answers:
        assert answer.version in versions[answer.request_id], answer
    wrong = [a for request in requests for a in request.attempts if a.outcome == "wrong"]
    assert not wrong, wrong
    print(f"{len(complete)} completed by engines, {len(answers)} answers; {summary(requests)}")


def test_corrupt_chunks_never_reach_an_engine(fleet):
    """Chunks corrupted by the origin, the store or a link must not reach an engine."""
    proxies = []

    class ProxiedLinksSystem(RecordedSystem):
        def register_replica(self, replica, link_port=0):
            if not proxies:
                proxies.append(start_proxy(self.fleet, replica.agent.link_port, name="links"))
                port = proxies[0].port
            else:
                port = add_target(proxies[0], replica.agent.link_port)
            super().register_replica(replica, port)

    system = ProxiedLinksSystem(fleet, Layout(pools=(Pool("assistant", 3),))).start()
    system.declare([system.release("assistant", "v1", MODEL_BYTES)])
    system.wait_converged()
    for server in (system.origin, system.store):
        set_faults(server.port, corrupt_every_n=3)
    # Corrupts about one frame per MiB on each link, including the links from entries to agents.
    set_faults(proxies[0].control_port, corrupt_every_bytes=1 << 20)
    with start_traffic(system, SEED) as traffic:
        system.declare([system.release("assistant", "v2", MODEL_BYTES)])
        system.wait_converged(40)
        set_faults(proxies[0].control_port, corrupt_every_bytes=0)
        requests = traffic.stop()
    assert_exact_weights(system, requests)
    damaged = {}
    for replica in system.replicas:
        status = http_json("GET", replica.agent.http_port, "/v1/status")[1]
        for name, count in status["counters"].items():
            if "corrupt" in name.lower() or "bad" in name.lower() or "invalid" in name.lower():
                damaged[name] = damaged.get(name, 0) + count
    print(f"corruption detected: {damaged}")
    assert sum(damaged.values()) > 0, "no corrupt chunk was detected, so nothing was tested"


def kill_vm(system, replica):
    """Kills an engine and its agent without updating the VM list."""
    for process in (replica.agent, replica.upstream):
        process.kill(signal.SIGKILL)
    for process in (replica.agent, replica.upstream):
        process.wait_exit(5)


def replace_vm(system, replica):
    """Starts an empty VM with the same ids and the same engine address."""
    history, port = replica.upstream.history, replica.upstream.port
    replica.upstream = system.start_engine(history, port)
    replica.upstream.wait_ready()
    replica.agent = start_agent(system.fleet, replica.settings_path, name=replica.agent_id)
    system.register_replica(replica)


def weight_status(replica):
    return http_json("GET", replica.agent.http_port, "/v1/status")[1]["weights"]


def staged_blob_count(replica):
    return len(http_json("GET", replica.upstream.port, "/staging")[1])


def is_loading(replica):
    return http_json("GET", replica.upstream.port, "/state")[1]["loading"]


LOAD_STAGES = {
    "chunks missing": lambda r, staged_before: weight_status(r)["missing"] > 0,
    "staging": lambda r, staged_before: (
        weight_status(r)["switch"] == "loading" and staged_blob_count(r) > staged_before
    ),
    "waiting for its wave or draining": lambda r, staged_before: (
        weight_status(r)["switch"] in ("ready_to_switch", "draining", "ordering")
    ),
    "loading": lambda r, staged_before: is_loading(r),
    "just confirmed": lambda r, staged_before: weight_status(r)["switch"] == "live",
}


def test_vm_killed_at_each_load_stage(fleet):
    """A VM that is killed at any stage of a load must load exactly the declared set again."""
    system = start_system(fleet)
    reached = {}
    with start_traffic(system, SEED + 1) as traffic:
        for number, (stage, is_reached) in enumerate(LOAD_STAGES.items(), 2):
            victim = system.replicas[number % len(system.replicas)]
            staged_before = staged_blob_count(victim)
            # Limits the rate so that each stage lasts long enough to be observed.
            set_faults(system.origin.port, bytes_per_s=4 << 20)
            system.declare([system.release("assistant", f"v{number}", MODEL_BYTES)])
            deadline = time.monotonic() + 10
            while (
                not (was_reached := is_reached(victim, staged_before))
                and time.monotonic() < deadline
            ):
                time.sleep(0.002)
            reached[stage] = was_reached
            kill_vm(system, victim)
            replace_vm(system, victim)
            system.wait_converged()
        requests = traffic.stop()
    print(f"stages reached: {reached}")
    assert all(reached.values()), reached
    assert_exact_weights(system, requests)


def test_newer_notes_during_a_load_and_withdrawal(fleet):
    """Newer notes during a load must not mix versions, and withdrawn weights must not serve.

    After the propagation bound, no request may start on an engine until the weights are declared
    again.
    """
    system = start_system(fleet)
    rng = random.Random(SEED + 2)
    with start_traffic(system, SEED + 2) as traffic:
        set_faults(system.origin.port, bytes_per_s=8 << 20)
        releases = [system.release("assistant", f"v{n}", MODEL_BYTES) for n in range(2, 6)]
        for release in releases:
            adapters = [system.adapter(release["version"])] if rng.random() < 0.5 else []
            system.declare([release, *adapters])
            # Random gaps, so that notes arrive during fetching, staging, switching and loading.
            pause = threading.Event()
            pause.wait(rng.uniform(0.05, 1.2))
        system.wait_converged()
        withdraw = [
            {"kind": kind, "name": name, "places": ["*"]}
            for kind, name in sorted(system.declared_sets[-1])
        ]
        withdrawn_at = time.time()
        system.declare([], withdraw=withdraw)
        wait_until(
            lambda: all(weight_status(r)["serving"] == [] for r in system.replicas),
            PROPAGATION_S,
            "all replicas to stop serving withdrawn weights",
        )
        print(f"withdrawal applied everywhere after {time.time() - withdrawn_at:.2f} s")
        resume_at = time.time() + 1.0
        wait_until(lambda: time.time() > resume_at, 3, "requests after the withdrawal")
        system.declare([releases[0]])
        redeclared_at = time.time()
        system.wait_converged()
        print(f"converged after the next declaration in {time.time() - redeclared_at:.2f} s")
        requests = traffic.stop()
    assert_exact_weights(system, requests)
    starts = [record["start"] - withdrawn_at for record in system.records().values()]
    late_starts = [at for at in starts if PROPAGATION_S < at < redeclared_at - withdrawn_at]
    assert not late_starts, late_starts


class OrderDelayProxy:
    """TCP forwarder in front of an engine that can delay connections that carry orders."""

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.orders_allowed = threading.Event()
        self.orders_allowed.set()
        self.delayed_orders = 0
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
            with conn, socket.create_connection(("127.0.0.1", self._target)) as engine_conn:
                responses = threading.Thread(
                    target=self._copy, args=(engine_conn, conn), daemon=True
                )
                responses.start()
                while data := conn.recv(1 << 16):
                    if data.startswith(b"POST /orders") and not self.orders_allowed.is_set():
                        self.delayed_orders += 1
                        self.orders_allowed.wait(20)
                    engine_conn.sendall(data)
                engine_conn.shutdown(socket.SHUT_WR)
                responses.join()
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


def test_order_delayed_beyond_a_newer_order(fleet):
    """An agent must not let a delayed order undo a newer one, even if the engine does not fence."""
    proxies = []

    class DelayedOrdersSystem(RecordedSystem):
        def start_replica(self, pool, region, upstream=None):
            proxy = OrderDelayProxy(upstream.port)
            proxies.append(proxy)
            # The agent's settings name the forwarder; the test queries the engine directly.
            actual_ready, upstream._ready = upstream.ready, {"port": proxy.port}
            replica = super().start_replica(pool, region, upstream)
            upstream._ready = actual_ready
            return replica

    system = DelayedOrdersSystem(fleet, Layout(pools=(Pool("assistant", 2),))).start()
    model = system.release("assistant", "v1", MODEL_BYTES)
    adapter = system.adapter("a1")
    system.declare([model, adapter])
    system.wait_converged()
    with start_traffic(system, SEED + 3) as traffic:
        proxies[0].orders_allowed.clear()
        # The delayed order unloads the adapter. The newer order declares the blobs of both sets, so
        # the engine still has all that the delayed order needs to succeed.
        withdraw = [{"kind": "adapter", "name": "yard", "places": ["*"]}]
        system.declare([], withdraw=withdraw)
        wait_until(lambda: proxies[0].delayed_orders >= 1, 15, "an order to be delayed")
        system.declare([adapter])
        wait_end = time.time() + 4.0
        wait_until(lambda: time.time() > wait_end, 6, "the newer order to be applied first")
        proxies[0].orders_allowed.set()
        system.wait_converged()
        wait_end = time.time() + 1.0
        wait_until(lambda: time.time() > wait_end, 3, "requests after the delayed order")
        system.wait_converged()
        requests = traffic.stop()
    for proxy in proxies:
        proxy.close()
    assert_exact_weights(system, requests)


def test_agent_paused_and_engine_restarted(fleet):
    """An agent paused during a switch, and an engine restarted empty, must converge again."""
    system = start_system(fleet)
    paused, restarted = system.replicas[0], system.replicas[1]
    with start_traffic(system, SEED + 4) as traffic:
        system.declare([system.release("assistant", "v2", MODEL_BYTES)])
        wait_until(
            lambda: weight_status(paused)["switch"] not in ("live", "loading"),
            15,
            "the switch to begin",
        )
        paused.agent.pause()
        system.declare([system.release("assistant", "v3", MODEL_BYTES)])
        wait_end = time.time() + 4.0
        wait_until(lambda: time.time() > wait_end, 6, "links to the paused agent to be dropped")
        paused.agent.resume()
        system.wait_converged()
        restarted.upstream.kill(signal.SIGKILL)
        restarted.upstream.wait_exit(5)
        restarted.upstream = system.start_engine(
            restarted.upstream.history, restarted.upstream.port
        )
        restarted.upstream.wait_ready()
        system.wait_converged()
        requests = traffic.stop()
    assert_exact_weights(system, requests)


INVALID_RECORDS = [
    pytest.param(lambda r: r["weights_start"][0].update(complete=False), "lacks", id="partial"),
    pytest.param(lambda r: r["weights_end"][0].update(version="v2"), "changed", id="changed"),
    pytest.param(lambda r: r["weights_end"][0].update(version="v3"), "no declared", id="unknown"),
    pytest.param(
        lambda r: r["weights_start"].append({**r["weights_start"][0], "version": "v2"}),
        "no declared",
        id="mixed",
    ),
]


@pytest.mark.parametrize(("corrupt", "found"), INVALID_RECORDS)
def test_checker_rejects_an_invalid_record(corrupt, found):
    """The check of the other tests must detect partial, changed, undeclared and mixed weights."""
    held = {"kind": "model", "name": "assistant", "version": "v1", "complete": True}
    record = {
        "request_id": "r1/1",
        "outcome": "complete",
        "weights_start": [dict(held)],
        "weights_end": [dict(held)],
    }

    class History:
        declared_sets = ({("model", "assistant"): "v1"}, {("model", "assistant"): "v2"})

        def records(self):
            return {"r1": record}

    assert assert_weights_were_declared(History()) == [record]
    corrupt(record)
    with pytest.raises(AssertionError, match=found):
        assert_weights_were_declared(History())
