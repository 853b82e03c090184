"""A system whose hops run through fault proxies, callers under a load, and checks of both."""

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

from bench._load import Load, Seen, outcomes
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


class FaultySystem(System):
    """A system with a proxy on each chosen hop and a record of all requests that engines ran."""

    def __init__(self, fleet: Fleet, layout: Layout, hops: Sequence[str] = ("links",)):
        #: Engines write here, so that their history survives a crash.
        self.history_file: Path = fleet.directory / "history.jsonl"
        layout.engine_options.update(history_file=str(self.history_file))
        self._hops = hops
        #: Proxies by agent id.
        self.link_proxies: dict[str, Process] = {}
        self.upstream_proxies: dict[str, Process] = {}
        self.log_proxy: Process | None = None
        super().__init__(fleet, layout)

    def base_settings(self, process_id: str, role: str, region: str) -> dict[str, Any]:
        """Puts the log behind its proxy if that hop is chosen."""
        settings = super().base_settings(process_id, role, region)
        if "log" in self._hops:
            if self.log_proxy is None:
                self.log_proxy = start_proxy(self.fleet, self.log.port, name="proxy-log")
            settings["platform"]["log"] = f"127.0.0.1:{self.log_proxy.port}"
        return settings

    def start_replica(self, pool: Pool, region: str, upstream: Process | None = None) -> Replica:
        """Puts the upstream behind its proxy if that hop is chosen."""
        real = upstream or self._start_upstream(pool)
        if "upstreams" not in self._hops:
            return super().start_replica(pool, region, real)
        proxy = start_proxy(self.fleet, real.port, name="proxy-upstream")
        replica = super().start_replica(pool, region, proxy)
        replica.upstream = real
        self.upstream_proxies[replica.agent_id] = proxy
        return replica

    def register_replica(self, replica: Replica, link_port: int = 0) -> None:
        """Lets entries and agents reach the agent through its proxy if that hop is chosen."""
        if "links" in self._hops and not link_port:
            proxy = start_proxy(self.fleet, replica.agent.link_port, name="proxy-link")
            self.link_proxies[replica.agent_id] = proxy
            link_port = proxy.port
        super().register_replica(replica, link_port)

    def restart_agent(self, replica: Replica) -> None:
        """Starts an agent again that has ended."""
        replica.agent = start_agent(self.fleet, replica.settings_path, name=replica.agent_id)
        self.register_replica(replica)

    def restart_engine(self, replica: Replica) -> None:
        """Starts an engine again that has ended, on the same port, as a supervisor does."""
        options = {"slots": self.layout.slots, "load_s": 0.05, **self.layout.engine_options}
        port = replica.upstream.port
        replica.upstream = start_engine(self.fleet, name="engine", port=port, **options)

    def engines(self) -> list[Replica]:
        """Returns the replicas with engines."""
        return [replica for replica in self.replicas if replica.pool.kind == "engine"]

    def ran(self) -> dict[str, list[dict[str, Any]]]:
        """Returns the records of each request id that reached a slot of an engine."""
        records: dict[str, list[dict[str, Any]]] = {}
        if self.history_file.exists():
            for line in self.history_file.read_text().splitlines():
                record = json.loads(line)
                records.setdefault(record["request_id"].rpartition("/")[0], []).append(record)
        return records

    def counters(self) -> Counter[str]:
        """Returns the counters of all entries together."""
        total: Counter[str] = Counter()
        for entry in self.entries:
            total.update(self.status(entry)["counters"])
        return total

    def agent_status(self, replica: Replica) -> dict[str, Any]:
        """Returns the status page of an agent."""
        return dict(http_json("GET", replica.agent.http_port, "/v1/status")[1])


class Supervisor:
    """Restarts crashed engines on their ports and counts the crashes."""

    def __init__(self, system: FaultySystem):
        self._system = system
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.restarts = 0

    def __enter__(self) -> Supervisor:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._ended.wait(0.02):
            for replica in self._system.engines():
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
) -> list[Seen]:
    """Sends model requests, half of them streamed, and carries out steps at their times.

    Args:
      system: The system under load.
      seed: Seed of arrival times and kinds; printed.
      rate_per_s: Requests a second.
      seconds: How long requests are sent.
      steps: Seconds from the start and what happens then, in order.
      max_tokens: Length of the longest answers.
      timeout_s: Deadline of each request.

    Returns:
      What each caller saw.
    """
    print(f"seed {seed}")

    async def play() -> list[Seen]:
        async with Load([entry.port for entry in system.entries], seed) as load:

            def make(rng: random.Random) -> Any:
                return load.generate(
                    rank=rng.choice(["urgent", "ordinary"]),
                    workspace=rng.choice(["w1", "w2", "w3"]),
                    prompt=f"load plan {rng.getrandbits(64):x}",
                    max_tokens=rng.randint(max_tokens // 2, max_tokens),
                    stream=rng.random() < 0.5,
                    timeout_s=timeout_s,
                )

            began = time.time()
            sending = asyncio.create_task(load.poisson(rate_per_s, began + seconds, make))
            for at, step in steps:
                await asyncio.sleep(max(0.0, began + at - time.time()))
                await asyncio.to_thread(step)
            await sending
        return load.rows

    return asyncio.run(play())


def check_callers(system: FaultySystem, rows: Sequence[Seen], label: str) -> Counter[str]:
    """Checks that each caller got its whole answer or a true refusal; returns the outcomes."""
    ran = system.ran()
    found = outcomes(rows)
    print(f"{label}: {dict(found)} ran={dict(Counter(row.ran for row in rows if row.ran))}")
    assert not [row for row in rows if row.outcome == "wrong"], "an answer holds other text"
    assert not [row for row in rows if row.outcome == "lost"], "an answer ended without a word"
    false = [row for row in rows if row.ran == "not_run" and row.request_id in ran]
    assert not false, f"refused as not run, but an engine ran it: {false[:3]}"
    return found


def fault(process: Process, **faults: Any) -> Callable[[], Any]:
    """Returns a step that sets faults of a stand-in or a proxy."""
    port = process.control_port if "control_port" in process.ready else process.port
    return lambda: set_faults(port, **faults)
