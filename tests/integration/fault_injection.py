"""A system with fault-injecting proxies, a load generator with scheduled faults, and checks."""

from __future__ import annotations

import asyncio
import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from bench._load import LoadGenerator, RequestResult, count_outcomes
from tests.harness import (
    Fleet,
    Layout,
    Pool,
    Process,
    Replica,
    System,
    http_json,
    set_faults,
    start_agent,
    start_engine,
    start_proxy,
)


class ProxiedSystem(System):
    """A system with a proxy on each chosen hop; its engines record all requests that they run.

    Args:
      fleet: Owns the processes.
      layout: Size and places of the system.
      hops: Any of `links` (to agents), `upstreams` (agent to upstream) and `log`.
    """

    def __init__(self, fleet: Fleet, layout: Layout, hops: Sequence[str] = ("links",)):
        #: The engines append to this file, so that their records survive a crash.
        self.history_file: Path = fleet.directory / "history.jsonl"
        layout.engine_options.update(history_file=str(self.history_file))
        self._hops = hops
        #: Proxies by agent id.
        self.link_proxies: dict[str, Process] = {}
        self.upstream_proxies: dict[str, Process] = {}
        self.log_proxy: Process | None = None
        super().__init__(fleet, layout)

    def base_settings(self, process_id: str, role: str, region: str) -> dict[str, Any]:
        """Routes connections to the log through a proxy if that hop is chosen."""
        settings = super().base_settings(process_id, role, region)
        if "log" in self._hops:
            if self.log_proxy is None:
                self.log_proxy = start_proxy(self.fleet, self.log.port, name="proxy-log")
            settings["platform"]["log"] = f"127.0.0.1:{self.log_proxy.port}"
        return settings

    def start_replica(self, pool: Pool, region: str, upstream: Process | None = None) -> Replica:
        """Routes connections to the upstream through a proxy if that hop is chosen."""
        actual_upstream = upstream or self._start_upstream(pool)
        if "upstreams" not in self._hops:
            return super().start_replica(pool, region, actual_upstream)
        proxy = start_proxy(self.fleet, actual_upstream.port, name="proxy-upstream")
        replica = super().start_replica(pool, region, proxy)
        replica.upstream = actual_upstream
        self.upstream_proxies[replica.agent_id] = proxy
        return replica

    def register_replica(self, replica: Replica, link_port: int = 0) -> None:
        """Registers the agent with the port of a proxy if that hop is chosen."""
        if "links" in self._hops and not link_port:
            proxy = start_proxy(self.fleet, replica.agent.link_port, name="proxy-link")
            self.link_proxies[replica.agent_id] = proxy
            link_port = proxy.port
        super().register_replica(replica, link_port)

    def restart_agent(self, replica: Replica) -> None:
        """Restarts an agent that has ended."""
        replica.agent = start_agent(self.fleet, replica.settings_path, name=replica.agent_id)
        self.register_replica(replica)

    def restart_engine(self, replica: Replica) -> None:
        """Restarts an engine that has ended, on the same port."""
        options = {"slots": self.layout.slots, "load_s": 0.05, **self.layout.engine_options}
        port = replica.upstream.port
        replica.upstream = start_engine(self.fleet, name="engine", port=port, **options)

    def engine_replicas(self) -> list[Replica]:
        """Returns the replicas whose upstream is an engine."""
        return [replica for replica in self.replicas if replica.pool.kind == "engine"]

    def engine_records(self) -> dict[str, list[dict[str, Any]]]:
        """Returns the engines' records by request id, for requests that occupied a slot."""
        records: dict[str, list[dict[str, Any]]] = {}
        if self.history_file.exists():
            for line in self.history_file.read_text().splitlines():
                record = json.loads(line)
                records.setdefault(record["request_id"].rpartition("/")[0], []).append(record)
        return records

    def entry_counters(self) -> Counter[str]:
        """Returns the counters summed over all entries."""
        total: Counter[str] = Counter()
        for entry in self.entries:
            total.update(self.status(entry)["counters"])
        return total

    def agent_status(self, replica: Replica) -> dict[str, Any]:
        """Returns the status page of an agent."""
        return dict(http_json("GET", replica.agent.http_port, "/v1/status")[1])


class EngineSupervisor:
    """Context manager that restarts crashed engines on their ports and counts the restarts."""

    def __init__(self, system: ProxiedSystem):
        self._system = system
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.restarts = 0

    def __enter__(self) -> EngineSupervisor:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(0.02):
            for replica in self._system.engine_replicas():
                if not replica.upstream.alive:
                    self.restarts += 1
                    self._system.restart_engine(replica)


def run_load(
    system: System,
    seed: int,
    rate_per_s: float,
    seconds: float,
    steps: Sequence[tuple[float, Callable[[], Any]]] = (),
    *,
    max_tokens: int = 40,
    timeout_s: float = 8.0,
) -> list[RequestResult]:
    """Sends model requests, half of them streamed, and runs each step at its time.

    Args:
      system: The system under load.
      seed: Seed of the arrival times and request parameters; printed.
      rate_per_s: Requests per second.
      seconds: Duration of the load.
      steps: Pairs of seconds since the start and a function to call then, in order of time.
      max_tokens: Upper bound of the answer length; the lower bound is half of it.
      timeout_s: Seconds from sending a request to its deadline.

    Returns:
      The result of each request, as its caller saw it.
    """
    print(f"seed {seed}")

    async def send_all() -> list[RequestResult]:
        async with LoadGenerator([entry.port for entry in system.entries], seed) as load:

            def make(rng: random.Random) -> Any:
                return load.generate(
                    rank=rng.choice(["urgent", "ordinary"]),
                    workspace=rng.choice(["w1", "w2", "w3"]),
                    prompt=f"load plan {rng.getrandbits(64):x}",
                    max_tokens=rng.randint(max_tokens // 2, max_tokens),
                    stream=rng.random() < 0.5,
                    timeout_s=timeout_s,
                )

            started_at = time.time()
            sending = asyncio.create_task(load.send_poisson(rate_per_s, started_at + seconds, make))
            for at, step in steps:
                await asyncio.sleep(max(0.0, started_at + at - time.time()))
                await asyncio.to_thread(step)
            await sending
        return load.rows

    return asyncio.run(send_all())


def check_answers(system: ProxiedSystem, rows: Sequence[RequestResult], label: str) -> Counter[str]:
    """Asserts that each request got a whole answer or a true refusal; returns the outcomes."""
    executed = system.engine_records()
    counts = count_outcomes(rows)
    print(f"{label}: {dict(counts)} ran={dict(Counter(row.ran for row in rows if row.ran))}")
    assert not [row for row in rows if row.outcome == "wrong"], "an answer has the wrong text"
    assert not [row for row in rows if row.outcome == "lost"], (
        "an answer ended without an end marker or an error"
    )
    false_refusals = [row for row in rows if row.ran == "not_run" and row.request_id in executed]
    assert not false_refusals, (
        f"refused as not run, but executed by an engine: {false_refusals[:3]}"
    )
    return counts


def fault_step(process: Process, **faults: Any) -> Callable[[], Any]:
    """Returns a function that sets faults of a stand-in or a proxy."""
    port = process.control_port if "control_port" in process.ready else process.port
    return lambda: set_faults(port, **faults)
